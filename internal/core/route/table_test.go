package route_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/yuccalb/yuccalb/internal/core/route"
)

var start = time.Unix(1e9, 0)

func addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), 9000)
}

// newTable returns a table with n idle servers in region west.
func newTable(n int) *route.Table {
	table := route.NewTable(route.DefaultConfig("west"), rand.New(rand.NewPCG(1, 1)))
	var servers []route.Server
	for i := range n {
		servers = append(servers, route.Server{Addr: addr(i), RTT: time.Millisecond})
	}
	table.SetServers(servers, start)
	return table
}

func request(prompt string) *route.Request {
	return &route.Request{Chain: route.Chain([]byte(prompt)), Prompt: len(prompt) / 4, Regions: []string{"west"}}
}

// text returns a prompt of n blocks that starts with name.
func text(name string, n int) string {
	return fmt.Sprintf("%-*s", n*route.BlockBytes, name)
}

// TestChain guards against digests that don't depend on all preceding blocks.
func TestChain(t *testing.T) {
	a, b := route.Chain([]byte(text("a", 3))), route.Chain([]byte(text("b", 3)))
	for i := range a {
		if a[i] == b[i] {
			t.Errorf("block %d: prompts that differ in their first block have the same digest", i)
		}
	}
	longer := route.Chain([]byte(text("a", 3) + "tail"))
	if diff := cmp.Diff(a, longer); diff != "" {
		t.Errorf("an incomplete block changed the digests:\n%s", diff)
	}
	if n := len(route.Chain(make([]byte, 100*route.BlockBytes))); n != route.MaxBlocks {
		t.Errorf("%d blocks are tracked, want %d", n, route.MaxBlocks)
	}
}

// TestPickConstraints guards against a preference that overrides a hard
// constraint: server 0 has the lowest expected time in every case and must not
// be chosen.
func TestPickConstraints(t *testing.T) {
	cases := map[string]struct {
		change func(*route.Table, *route.Request)
		want   error
	}{
		"region":   {func(_ *route.Table, r *route.Request) { r.Regions = []string{"east"} }, route.ErrRegion},
		"none":     {func(_ *route.Table, r *route.Request) { r.Regions = nil }, route.ErrRegion},
		"excluded": {func(_ *route.Table, r *route.Request) { r.Exclude = []netip.AddrPort{addr(0)} }, nil},
		"leaving": {func(table *route.Table, _ *route.Request) {
			table.SetServers([]route.Server{{Addr: addr(0), Leaving: true}, {Addr: addr(1)}}, start)
		}, nil},
		"leaving, with a report that does not say so": {func(table *route.Table, _ *route.Request) {
			table.SetServers([]route.Server{{Addr: addr(0), Leaving: true}, {Addr: addr(1)}}, start)
			table.UpdateLoads([]route.Load{{Addr: addr(0), At: start}})
		}, nil},
		"leaving by report": {func(table *route.Table, _ *route.Request) {
			table.UpdateLoads([]route.Load{{Addr: addr(0), Leaving: true, At: start}})
		}, nil},
		"leaving by report, then listed again": {func(table *route.Table, _ *route.Request) {
			table.UpdateLoads([]route.Load{{Addr: addr(0), Leaving: true, At: start}})
			table.SetServers([]route.Server{{Addr: addr(0)}, {Addr: addr(1)}}, start)
		}, nil},
		"down": {func(table *route.Table, _ *route.Request) {
			table.UpdateLoads([]route.Load{{Addr: addr(0), Down: true, At: start}})
		}, nil},
		"removed": {func(table *route.Table, _ *route.Request) {
			table.SetServers([]route.Server{{Addr: addr(1)}}, start)
		}, nil},
		"no server": {func(table *route.Table, _ *route.Request) { table.SetServers(nil, start) }, route.ErrNoServer},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := newTable(2)
			table.UpdateLoads([]route.Load{{Addr: addr(1), Pending: 1e6, Prefill: 1000, At: start}})
			req := request(text("p", 8))
			c.change(table, req)
			choice, err := table.Pick(req, start)
			if !errors.Is(err, c.want) {
				t.Fatalf("error %v, want %v", err, c.want)
			}
			if err == nil && choice.Addr != addr(1) {
				t.Errorf("server %v was chosen, want %v", choice.Addr, addr(1))
			}
		})
	}
}

// TestReportLag guards against a load report that discards the requests sent
// after it was made, and against one that counts earlier requests twice.
func TestReportLag(t *testing.T) {
	expected := func(reported time.Duration) time.Duration {
		table := newTable(1)
		if _, err := table.Pick(request(text("p", 64)), start); err != nil {
			t.Fatal(err)
		}
		table.UpdateLoads([]route.Load{{Addr: addr(0), BatchSize: 16, Prefill: 1000, At: start.Add(reported)}})
		c, err := table.Pick(request(text("q", 1)), start.Add(time.Second))
		if err != nil {
			t.Fatal(err)
		}
		return c.Expected.Round(10 * time.Millisecond)
	}
	// 4,096 tokens at 1,000 tokens per second, one second later.
	if got, want := expected(-time.Second), 3160*time.Millisecond; got != want {
		t.Errorf("report before the request: expected time %v, want %v", got, want)
	}
	if got, want := expected(500*time.Millisecond), 70*time.Millisecond; got != want {
		t.Errorf("report after the request: expected time %v, want %v", got, want)
	}
}

// TestBackoff guards against a failed server that gets several requests before
// it has responded to one, and against one that never gets requests again.
func TestBackoff(t *testing.T) {
	table := newTable(2)
	// The other server is so busy that it is chosen only if the first one is
	// unavailable.
	table.UpdateLoads([]route.Load{{Addr: addr(1), BatchSize: 16, Prefill: 1000, Pending: 1_000_000, At: start}})
	pick := func(at time.Duration) (route.Choice, bool) {
		c, err := table.Pick(request(text("p", 1)), start.Add(at))
		if err != nil {
			t.Fatal(err)
		}
		return c, c.Addr == addr(0)
	}
	fail := func(c route.Choice, at time.Duration) {
		table.Done(c, route.Result{Failed: true, Cached: -1}, start.Add(at))
	}
	c, _ := pick(0)
	late, _ := pick(0)
	fail(c, 0)
	fail(late, 0) // must not double the backoff
	if _, ok := pick(900 * time.Millisecond); ok {
		t.Error("the server got a request during its backoff")
	}
	c, ok := pick(1100 * time.Millisecond)
	if !ok || !c.Probe {
		t.Fatal("the server got no probe after its backoff")
	}
	if _, ok := pick(1200 * time.Millisecond); ok {
		t.Error("the server got a second probe while the first was in progress")
	}
	fail(c, 1200*time.Millisecond)
	if _, ok := pick(3 * time.Second); ok {
		t.Error("the backoff did not double")
	}
	c, ok = pick(3300 * time.Millisecond)
	if !ok {
		t.Fatal("the server got no probe after its second backoff")
	}
	table.Done(c, route.Result{Aborted: true, Cached: -1}, start.Add(3400*time.Millisecond))
	c, ok = pick(3500 * time.Millisecond)
	if !ok || !c.Probe {
		t.Fatal("an aborted probe blocks the server or marks it as recovered")
	}
	table.Done(c, route.Result{Cached: -1}, start.Add(4*time.Second))
	if c, ok := pick(4 * time.Second); !ok || c.Probe {
		t.Error("the server is not in use again after a successful probe")
	}
}

// TestLastResort guards against a service that becomes unavailable because each
// of its servers failed one request, and against requests to a server that is
// reported as down.
func TestLastResort(t *testing.T) {
	table := newTable(2)
	for range 2 {
		c, err := table.Pick(request(text("p", 1)), start)
		if err != nil {
			t.Fatal(err)
		}
		table.Done(c, route.Result{Failed: true, Cached: -1}, start)
	}
	req := request(text("p", 1))
	c, err := table.Pick(req, start.Add(time.Millisecond))
	if err != nil {
		t.Fatalf("all servers in backoff: %v", err)
	}
	req.Exclude = []netip.AddrPort{c.Addr}
	other, err := table.Pick(req, start.Add(time.Millisecond))
	if err != nil || other.Addr == c.Addr {
		t.Fatalf("chose %v after %v failed: %v", other.Addr, c.Addr, err)
	}
	for i := range 2 {
		table.UpdateLoads([]route.Load{{Addr: addr(i), Down: true, At: start.Add(time.Millisecond)}})
	}
	if c, err := table.Pick(request(text("p", 1)), start.Add(2*time.Millisecond)); !errors.Is(err, route.ErrNoServer) {
		t.Errorf("chose %v, which is down: %v", c.Addr, err)
	}
}

// TestCacheSources guards against placements and cache events that have no
// effect, and against late evictions that undo newer placements.
func TestCacheSources(t *testing.T) {
	prompt := text("p", 48)
	chain := route.Chain([]byte(prompt))
	last := route.CacheEvent{Digest: chain[31], Tokens: 32 * route.BlockTokens, At: start}
	evicted := last
	evicted.Evicted = true
	cases := map[string]struct {
		feed func(*route.Table)
		want int // cached blocks expected at server 2
	}{
		"nothing": {func(*route.Table) {}, 0},
		"placement": {func(t *route.Table) {
			t.AddPeerPlacements([]route.Placement{{Addr: addr(2), Digest: chain[31], Tokens: 2048}}, start)
		}, 32},
		"event":    {func(t *route.Table) { t.ApplyCacheEvents(addr(2), []route.CacheEvent{last}) }, 32},
		"eviction": {func(t *route.Table) { t.ApplyCacheEvents(addr(2), []route.CacheEvent{last, evicted}) }, 0},
		"late eviction": {func(t *route.Table) {
			t.ApplyCacheEvents(addr(2), []route.CacheEvent{last})
			t.AddPeerPlacements([]route.Placement{{Addr: addr(2), Digest: chain[31], Tokens: 2048}}, start.Add(time.Second))
			t.ApplyCacheEvents(addr(2), []route.CacheEvent{evicted})
		}, 32},
		"server removed": {func(t *route.Table) {
			t.ApplyCacheEvents(addr(2), []route.CacheEvent{last})
			t.SetServers([]route.Server{{Addr: addr(0)}}, start)
			t.SetServers([]route.Server{{Addr: addr(0)}, {Addr: addr(9)}, {Addr: addr(2)}}, start)
		}, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := newTable(4)
			c.feed(table)
			choice, err := table.Pick(request(prompt), start)
			if err != nil {
				t.Fatal(err)
			}
			if want := c.want * route.BlockTokens; choice.Cached != want || want > 0 && choice.Addr != addr(2) {
				t.Errorf("%v was chosen with %d cached tokens, want %d", choice.Addr, choice.Cached, want)
			}
		})
	}
}

// TestPlacementsReachPeers guards against hosts that don't use each other's
// placements, which are sent in heartbeats.
func TestPlacementsReachPeers(t *testing.T) {
	a, b := newTable(4), newTable(4)
	c, err := a.Pick(request(text("p", 40)), start)
	if err != nil {
		t.Fatal(err)
	}
	placements := a.TakePlacements(nil)
	if len(placements) > 8 {
		t.Errorf("%d placements were queued for one request, want at most 8", len(placements))
	}
	b.AddPeerPlacements(placements, start)
	got, err := b.Pick(request(text("p", 40)+"a tail of its own"), start)
	if err != nil {
		t.Fatal(err)
	}
	if got.Addr != c.Addr || got.Cached != 40*route.BlockTokens {
		t.Errorf("the peer chose %v with %d cached tokens, want %v with %d", got.Addr, got.Cached, c.Addr, 40*route.BlockTokens)
	}
	if rest := a.TakePlacements(nil); len(rest) != 0 {
		t.Errorf("%d placements were sent twice", len(rest))
	}
}

// TestConcurrent guards against data races between request and control
// goroutines. It is effective only under the race detector.
func TestConcurrent(_ *testing.T) {
	table := newTable(20)
	var wg sync.WaitGroup
	for g := range 8 {
		wg.Go(func() {
			for i := range 500 {
				c, err := table.Pick(request(text(fmt.Sprint(g, i%7), 20)), start.Add(time.Duration(i)*time.Millisecond))
				if err == nil {
					table.Done(c, route.Result{Failed: i%50 == 0, Cached: 64 * (i % 20)}, start.Add(time.Duration(i+5)*time.Millisecond))
				}
			}
		})
	}
	for i := range 200 {
		var servers []route.Server
		for k := range 100 + i {
			servers = append(servers, route.Server{Addr: addr((k + i) % 250)})
		}
		table.SetServers(servers, start)
		table.UpdateLoads([]route.Load{{Addr: addr(i), Running: i, BatchSize: 16, At: start}})
		table.TakePlacements(nil)
	}
	wg.Wait()
}
