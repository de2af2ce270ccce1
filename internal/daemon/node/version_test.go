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

// watchVersions fails the test if a host goes back to an older configuration version,
// until stop is called.
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

// Guards against a host that never gets a configuration version (I13): with a healthy
// store, with a slow one that loses responses, after the store returned stale data, and
// while the host's data centre can't reach the platform.
func TestVersionReachesAllHosts(t *testing.T) {
	f := newFleet(t, fleetSpec{hosts: []string{"east-a", "east-a", "west-a", "west-a", "west-b", "west-b"}, servers: []string{"east-a", "west-a"}})
	defer f.watchVersions()()
	for _, c := range []struct {
		name         string
		isolated     []string // data centres that can't reach the platform
		fault        infra.Fault
		afterArrival bool // inject the fault only after the version has arrived
		changes      int
	}{
		{name: "healthy", changes: 8},
		{name: "lost responses", fault: infra.Fault{Lose: 2, Slow: 100 * time.Millisecond}, changes: 4},
		{name: "old data", fault: infra.Fault{Old: -1, OldKey: config.HeadKey}, afterArrival: true, changes: 4},
		{name: "data centre without the platform", isolated: []string{"west-b"}, changes: 4},
	} {
		f.links.Cut(platformGroup, c.isolated...)
		var longest time.Duration
		for range c.changes {
			if !c.afterArrival {
				f.platform.SetFault(infra.PartKV, c.fault)
			}
			f.cfg.Orgs[0].Rate++
			want, start := f.publish(), time.Now()
			f.eventually(c.name, func() error { return checkVersion(f.nodes, want) })
			longest = max(longest, time.Since(start))
			if c.afterArrival { // long enough that hosts read the head again
				f.platform.SetFault(infra.PartKV, c.fault)
				time.Sleep(time.Second)
			}
			f.platform.SetFault(infra.PartKV, infra.Fault{})
		}
		t.Logf("%s: the slowest of %d versions was in force on %d hosts after %s", c.name, c.changes, len(f.nodes), longest.Round(time.Millisecond))
	}
}

// Guards against a key that was revoked during a partition and, after the partition has
// healed, still works in the region that was isolated, for new requests or running
// streams (I6). Also guards against a store with stale data that makes hosts go back to
// the previous version (I13).
func TestRevocationDuringPartition(t *testing.T) {
	const revoked = "yk_revoked"
	f := newFleet(t, fleetSpec{
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
		f.eventually("look-up before the partition", func() error { return lookup(n).Failure() })
	}
	f.links.Cut("east-a", "west-a", platformGroup)
	f.cfg.Orgs = f.cfg.Orgs[:1]
	want := f.publish()
	for _, n := range west {
		f.eventually("the key is rejected on the other side", func() error { return checkUnauthorized(lookup(n)) })
	}
	stream := make(chan result, 1)
	startStream := func() {
		stream <- east[0].send(request{key: revoked, method: http.MethodPost, path: "/v1/chat/completions", body: chatBody(12_000, true)})
	}
	go startStream()
	f.eventually("the stream runs", func() error {
		select {
		case r := <-stream: // the rate limit share of this side was not yet full
			if r.Run() != "no" {
				t.Errorf("the stream was rejected with %d, run %q: %.200s", r.Status, r.Run(), r.Body)
			}
			t.Logf("the stream was rejected: %s", r.Body)
			go startStream()
		default:
		}
		if f.engines["east-a"].Running() == 0 {
			return fmt.Errorf("no request at the engine")
		}
		return nil
	})
	for _, n := range east {
		if err := lookup(n).Failure(); err != nil {
			t.Errorf("look-up in the region that has not received the revocation: %v", err)
		}
	}
	f.platform.SetFault(infra.PartKV, infra.Fault{Old: -1, OldKey: config.HeadKey})
	f.links.Heal("east-a", "west-a", platformGroup)
	healed := time.Now()
	for _, n := range east {
		f.eventually("the key is rejected after the partition has healed", func() error { return checkUnauthorized(lookup(n)) })
	}
	t.Logf("rejected by all hosts %s after the partition healed", time.Since(healed).Round(time.Millisecond))
	if r := <-stream; !strings.Contains(string(r.Body), "key_revoked") || strings.Contains(string(r.Body), "[DONE]") {
		t.Errorf("the running stream ended with %d %v: %.200s", r.Status, r.Err, r.Body[max(0, len(r.Body)-200):])
	}
	t.Logf("the running stream ended %s after the partition healed", time.Since(healed).Round(time.Millisecond))
	f.eventually("all hosts have the version", func() error { return checkVersion(f.nodes, want) })
	for range 100 { // while the store still returns stale data
		if err := checkVersion(f.nodes, want); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// checkUnauthorized returns an error unless the request was rejected with status 401.
func checkUnauthorized(r result) error {
	if r.Err != nil || r.Status != http.StatusUnauthorized {
		return fmt.Errorf("status %d, %w", r.Status, r.Err)
	}
	return nil
}
