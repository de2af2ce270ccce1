package node

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"github.com/yuccalb/yuccalb/internal/core/model"
	"github.com/yuccalb/yuccalb/internal/fake/server"
)

// partitionTime exceeds all timeouts after which an unreachable host, data centre or
// summary is treated as failed or expired.
const partitionTime = 11 * time.Second

// Guards against a data centre that rejects requests, or forwards them to another one,
// while it is isolated from all others and from the platform (I3).
func TestIsolatedRegion(t *testing.T) {
	f := newFleet(t, fleetSpec{hosts: []string{"east-a", "east-a", "west-a", "west-a"}, servers: []string{"east-a", "west-a"}})
	f.links.Cut("east-a", "west-a", platformGroup)
	services := f.cfg.Services
	n := 0
	for end := time.Now().Add(partitionTime); time.Now().Before(end); n++ {
		for i, host := range f.nodes {
			id := fmt.Sprintf("cut-%d-%d", n, i)
			for what, r := range map[string]result{"chat": host.chat(id, 5), "look-up": host.lookup(id)} {
				if err := r.Failure(); err != nil {
					t.Fatalf("%s %s at %s, %d rounds after the partition began: %v", what, id, host.site, n, err)
				}
				trail := strings.Join(r.Header.Values("X-Trail"), ", ")
				for _, svc := range services {
					for _, s := range svc.Servers {
						if s.Site != host.site && strings.Contains(trail, s.Addr.String()) {
							t.Fatalf("%s %s at %s was served in another data centre: %s", what, id, host.site, trail)
						}
					}
				}
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Logf("%d rounds of chat and look-up at each of %d hosts", n, len(f.nodes))
	f.links.Heal("east-a", "west-a", platformGroup)
	f.eventually("all data centres are reachable again", f.checkJoined)
}

// boundKey belongs to an organisation whose requests may be served only in region east.
const boundKey = "yk_bound"

// Guards against a request that is served outside its allowed region (I1), or reported
// as not run although it ran (I9), while that region is unreachable or has no available
// backend server.
func TestResidencyDuringPartition(t *testing.T) {
	f := newFleet(t, fleetSpec{
		hosts: []string{"east-a", "west-a"}, servers: []string{"east-a", "west-a"},
		orgs: []model.Org{{Name: "bound", Rate: 1_000_000, Burst: 10_000_000, Regions: []string{"east"}, Keys: []model.Key{{Hash: model.HashKey(boundKey)}}}},
	})
	west := f.at("west-a")[0]
	chat := func(id string) result {
		return west.send(request{key: boundKey, id: id, method: http.MethodPost, path: "/v1/chat/completions", body: chatBody(3, true)})
	}
	f.eventually("a bound chat is forwarded", func() error { return chat("bound-before").Failure() })
	var notRun []string
	for _, c := range []struct {
		name           string
		inject, repair func()
	}{
		{"cut", func() { f.links.Cut("east-a", "west-a") }, func() { f.links.Heal("east-a", "west-a") }},
		{"isolated", func() { f.links.Cut("east-a", "west-a", platformGroup) }, func() { f.links.Heal("east-a", "west-a", platformGroup) }},
		{"down", func() { f.engines["east-a"].SetFault(server.Fault{Refuse: true}) }, func() { f.engines["east-a"].SetFault(server.Fault{}) }},
		{"leaving", func() { f.engines["east-a"].SetFault(server.Fault{Leaving: true}) }, func() { f.engines["east-a"].SetFault(server.Fault{}) }},
	} {
		c.inject()
		n := 0
		// Stale summaries and load reports may still route requests to region east, where
		// they are served or lost. After that, each request must be rejected at once.
		f.eventually(c.name+": bound chats are rejected as not run", func() error {
			n++
			id := fmt.Sprintf("bound-%s-%d", c.name, n)
			r := chat(id)
			if r.Run() != "no" {
				return fmt.Errorf("%d, run %q: %.100s", r.Status, r.Run(), r.Body)
			}
			notRun = append(notRun, id)
			return nil
		})
		for range 10 {
			n++
			id := fmt.Sprintf("bound-%s-%d", c.name, n)
			if r := chat(id); r.Run() != "no" || r.Reason() != "no_server" || r.Header.Get("Retry-After") == "" {
				t.Errorf("%s: status %d, run %q, Retry-After %q: %s", c.name, r.Status, r.Run(), r.Header.Get("Retry-After"), r.Body)
			}
			notRun = append(notRun, id)
		}
		if err := west.chat("free", 3).Failure(); err != nil {
			t.Errorf("%s: a chat of an organisation without restriction: %v", c.name, err)
		}
		c.repair()
		f.eventually(c.name+": bound chats are served again", func() error { return chat("bound-after").Failure() })
	}
	for _, r := range f.engines["west-a"].Requests() {
		if strings.HasPrefix(r.ID, "bound") {
			t.Errorf("the engine in the wrong region received %s", r.ID)
		}
	}
	for ref := range f.engines["east-a"].Runs() {
		for _, id := range notRun {
			if strings.HasPrefix(ref, id+".") {
				t.Errorf("%s ran and was reported as not run", ref)
			}
		}
	}
}

// hostVisits is a span processor that records the hosts that handled each request.
type hostVisits struct {
	mu    sync.Mutex
	hosts map[trace.TraceID][]string
}

// OnStart implements sdk.SpanProcessor.
func (v *hostVisits) OnStart(context.Context, sdk.ReadWriteSpan) {}

// OnEnd implements sdk.SpanProcessor.
func (v *hostVisits) OnEnd(s sdk.ReadOnlySpan) {
	if s.Name() != "entry" && s.Name() != "accept" {
		return
	}
	host, _ := s.Resource().Set().Value("host.address")
	v.mu.Lock()
	defer v.mu.Unlock()
	id := s.SpanContext().TraceID()
	v.hosts[id] = append(v.hosts[id], host.AsString())
}

// forwarded returns the number of requests that more than one host handled.
func (v *hostVisits) forwarded() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	n := 0
	for _, hosts := range v.hosts {
		if len(hosts) > 1 {
			n++
		}
	}
	return n
}

// Shutdown implements sdk.SpanProcessor.
func (v *hostVisits) Shutdown(context.Context) error { return nil }

// ForceFlush implements sdk.SpanProcessor.
func (v *hostVisits) ForceFlush(context.Context) error { return nil }

// Guards against requests that are forwarded back and forth between two data centres
// that both lack capacity (I2). A request may be handled by its entry host and at most
// one other host.
func TestForwardedAtMostOnce(t *testing.T) {
	visited := &hostVisits{hosts: make(map[trace.TraceID][]string)}
	f := newFleet(t, fleetSpec{
		hosts: []string{"east-a", "east-a", "west-a", "west-a"}, servers: []string{"east-a", "west-a"}, spans: visited,
		engine: server.EngineConfig{Limit: 2, Token: 10 * time.Millisecond},
	})
	load := func(nodes []*testNode, callers, chats int) (served int64) {
		var ok atomic.Int64
		var wg sync.WaitGroup
		for i := range callers {
			wg.Go(func() {
				for n := range chats {
					if nodes[i%len(nodes)].chat(fmt.Sprintf("load-%d-%d", i, n), 20).Failure() == nil {
						ok.Add(1)
					}
				}
			})
		}
		wg.Wait()
		return ok.Load()
	}
	// At first only one data centre is busy. It forwards requests as soon as it has
	// received the other one's free capacity.
	busy := int64(0)
	f.eventually("requests of a busy data centre are forwarded", func() error {
		busy += load(f.at("east-a"), 24, 4)
		if visited.forwarded() == 0 {
			return errors.New("no request was forwarded yet")
		}
		return nil
	})
	for _, e := range f.engines {
		e.SetFault(server.Fault{Full: true})
	}
	full := load(f.nodes, 24, 20)
	forwarded := visited.forwarded()
	visited.mu.Lock()
	defer visited.mu.Unlock()
	for id, hosts := range visited.hosts {
		if len(hosts) > 2 {
			t.Errorf("request %s was handled by %d hosts: %v", id, len(hosts), hosts)
		}
	}
	t.Logf("%d chats served while busy, %d of 480 while full; %d of %d requests forwarded", busy, full, forwarded, len(visited.hosts))
}
