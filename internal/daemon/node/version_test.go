package node

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/config"
	"github.com/yuccalb/yuccalb/internal/core/model"
	"github.com/yuccalb/yuccalb/internal/fake/infra"
	"github.com/yuccalb/yuccalb/internal/fake/server"
)

// watchVersions reports hosts that go back to an older version. The returned
// function ends the watch.
func (f *fleet) watchVersions() (stop func()) {
	quit := make(chan struct{})
	var wg sync.WaitGroup
	for _, n := range f.nodes {
		wg.Go(func() {
			for last := uint64(0); ; time.Sleep(time.Millisecond) {
				select {
				case <-quit:
					return
				default:
				}
				if v := n.config.Current().Version; v < last {
					f.t.Errorf("host of %s went back from version %d to %d", n.site, last, v)
				} else {
					last = v
				}
			}
		})
	}
	return func() { close(quit); wg.Wait() }
}

// Guards against a host that never gets a version when the store is healthy or
// slow and loses responses, after it answered with old data, and when the host's
// data centre can't reach the platform (I13).
func TestVersionReachesAll(t *testing.T) {
	f := newFleet(t, plan{hosts: []string{"east-a", "east-a", "west-a", "west-a", "west-b", "west-b"}, servers: []string{"east-a", "west-a"}})
	defer f.watchVersions()()
	for _, c := range []struct {
		name    string
		cut     []string // data centres without the platform
		fault   infra.Fault
		late    bool // the fault begins when the version has arrived
		changes int
	}{
		{name: "healthy", changes: 8},
		{name: "lost responses", fault: infra.Fault{Lose: 2, Slow: 100 * time.Millisecond}, changes: 4},
		{name: "old data", fault: infra.Fault{Old: -1, OldKey: config.HeadKey}, late: true, changes: 4},
		{name: "data centre without the platform", cut: []string{"west-b"}, changes: 4},
	} {
		f.links.Cut(platformGroup, c.cut...)
		var longest time.Duration
		for range c.changes {
			if !c.late {
				f.platform.SetFault(infra.PartKV, c.fault)
			}
			f.cfg.Orgs[0].Rate++
			want, start := f.publish(), time.Now()
			f.eventually(c.name, func() error { return version(f.nodes, want) })
			longest = max(longest, time.Since(start))
			if c.late { // hosts read the head again
				f.platform.SetFault(infra.PartKV, c.fault)
				time.Sleep(time.Second)
			}
			f.platform.SetFault(infra.PartKV, infra.Fault{})
		}
		t.Logf("%s: the slowest of %d versions was in force on %d hosts after %s", c.name, c.changes, len(f.nodes), longest.Round(time.Millisecond))
	}
}

// Guards against a revoked key that keeps working after a heal in the region
// that was cut off, on new requests and running streams (I6), and against a
// store with old data that takes hosts back to the version before (I13).
func TestRevokedDuringCut(t *testing.T) {
	const revoked = "yk_revoked"
	f := newFleet(t, plan{
		hosts: []string{"east-a", "east-a", "west-a", "west-a"}, servers: []string{"east-a", "west-a"},
		engine: server.EngineConfig{Token: 2 * time.Millisecond},
		orgs:   []model.Org{{Name: "former", Rate: 1_000_000, Burst: 10_000_000, Keys: []model.Key{{Hash: model.HashKey(revoked)}}}},
	})
	defer f.watchVersions()()
	east, west := f.at("east-a"), f.at("west-a")
	lookup := func(n *testNode) result {
		return n.send(request{key: revoked, method: http.MethodGet, path: "/v1/call/stock"})
	}
	for _, n := range f.nodes {
		f.eventually("look-up before the cut", func() error { return lookup(n).Failure() })
	}
	f.links.Cut("east-a", "west-a", platformGroup)
	f.cfg.Orgs = f.cfg.Orgs[:1]
	want := f.publish()
	for _, n := range west {
		f.eventually("the key is refused on the other side", func() error { return refused(lookup(n)) })
	}
	stream := make(chan result, 1)
	long := func() {
		stream <- east[0].send(request{key: revoked, method: http.MethodPost, path: "/v1/chat/completions", body: chatBody(12_000, true)})
	}
	go long()
	f.eventually("the stream runs", func() error {
		select {
		case r := <-stream: // the share of this side was not yet full
			if r.Run() != "no" {
				t.Errorf("the stream was rejected with %d, run %q: %.200s", r.Status, r.Run(), r.Body)
			}
			t.Logf("the stream was rejected: %s", r.Body)
			go long()
		default:
		}
		if f.engines["east-a"].Running() == 0 {
			return fmt.Errorf("no request at the engine")
		}
		return nil
	})
	for _, n := range east {
		if err := lookup(n).Failure(); err != nil {
			t.Errorf("look-up in the region that can't know of the revocation: %v", err)
		}
	}
	f.platform.SetFault(infra.PartKV, infra.Fault{Old: -1, OldKey: config.HeadKey})
	f.links.Heal("east-a", "west-a", platformGroup)
	healed := time.Now()
	for _, n := range east {
		f.eventually("the key is refused after the heal", func() error { return refused(lookup(n)) })
	}
	t.Logf("refused by all hosts %s after the heal", time.Since(healed).Round(time.Millisecond))
	if r := <-stream; !strings.Contains(string(r.Body), "key_revoked") || strings.Contains(string(r.Body), "[DONE]") {
		t.Errorf("the running stream ended with %d %v: %.200s", r.Status, r.Err, r.Body[max(0, len(r.Body)-200):])
	}
	t.Logf("the running stream ended %s after the heal", time.Since(healed).Round(time.Millisecond))
	f.eventually("all hosts have the version", func() error { return version(f.nodes, want) })
	for range 100 { // while the store still answers with old data
		if err := version(f.nodes, want); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// refused returns an error unless the request's key was refused.
func refused(r result) error {
	if r.Err != nil || r.Status != http.StatusUnauthorized {
		return fmt.Errorf("status %d, %w", r.Status, r.Err)
	}
	return nil
}
