package route_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/route"
)

// newLargeTable returns a table of 200 servers with load reports, each of which
// holds some of 40 prefixes of 64 blocks. It also returns a request for each
// prefix and the time of the reports.
func newLargeTable() (*route.Table, []route.Request, time.Time) {
	now := time.Unix(1e9, 0)
	cfg := route.DefaultConfig("west")
	cfg.Cache = 16 * 64 * route.BlockTokens
	table := route.NewTable(cfg, rand.New(rand.NewPCG(1, 1)))
	var servers []route.Server
	var loads []route.Load
	for i := range 200 {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(i)}), 9000)
		servers = append(servers, route.Server{Addr: addr, RTT: time.Millisecond})
		loads = append(loads, route.Load{Addr: addr, Running: i % 16, BatchSize: 16, Pending: i * 40, Prefill: 8000, At: now})
	}
	table.SetServers(servers, now)
	table.UpdateLoads(loads)
	var reqs []route.Request
	for i := range 40 {
		prompt := []byte(fmt.Sprintf("%0*d", route.MaxBlocks*route.BlockBytes, i))
		reqs = append(reqs, route.Request{Chain: route.Chain(prompt), Prompt: 4500, Regions: []string{"west"}})
	}
	for i := range 4000 {
		c, err := table.Pick(&reqs[i%40], now)
		if err != nil {
			panic(err)
		}
		table.Done(c, route.Result{Cached: -1}, now.Add(time.Millisecond))
	}
	return table, reqs, now
}

func BenchmarkPick(b *testing.B) {
	table, reqs, now := newLargeTable()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(200 * time.Microsecond)
		if _, err := table.Pick(&reqs[i%40], now); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkPickDone(b *testing.B) {
	table, reqs, now := newLargeTable()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(200 * time.Microsecond)
		c, err := table.Pick(&reqs[i%40], now)
		if err != nil {
			b.Fatal(err)
		}
		table.Done(c, route.Result{Cached: 4000}, now.Add(time.Millisecond))
	}
}

// BenchmarkPickNew picks servers for prompts that share no prefix with earlier
// ones, so that every decision inserts prefixes and evicts others.
func BenchmarkPickNew(b *testing.B) {
	table, _, now := newLargeTable()
	reqs := make([]route.Request, 20_000)
	for i := range reqs {
		chain := make([]uint64, route.MaxBlocks)
		for k := range chain {
			chain[k] = uint64(1000*i+k) * 0x9e3779b97f4a7c15
		}
		reqs[i] = route.Request{Chain: chain, Prompt: 4500, Regions: []string{"west"}}
	}
	b.ReportAllocs()
	var spent time.Duration
	n := 0
	for ; b.Loop(); n++ {
		now = now.Add(200 * time.Microsecond)
		began := time.Now()
		c, err := table.Pick(&reqs[n%len(reqs)], now)
		spent += time.Since(began)
		if err != nil {
			b.Fatal(err)
		}
		table.Done(c, route.Result{Cached: -1}, now.Add(time.Millisecond))
	}
	b.ReportMetric(float64(spent.Nanoseconds())/float64(n), "pick-ns")
}

// BenchmarkPickParallel measures contention for the mutex. Run it with -cpu 8.
func BenchmarkPickParallel(b *testing.B) {
	table, reqs, start := newLargeTable()
	var n atomic.Int64
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			i := n.Add(1)
			if _, err := table.Pick(&reqs[i%40], start.Add(time.Duration(i)*200*time.Microsecond)); err != nil {
				b.Error(err)
			}
		}
	})
}

// TestPickAllocs guards against allocations on the path of every request.
func TestPickAllocs(t *testing.T) {
	table, reqs, now := newLargeTable()
	i := 0
	allocs := testing.AllocsPerRun(1000, func() {
		i++
		now = now.Add(200 * time.Microsecond)
		c, err := table.Pick(&reqs[i%40], now)
		if err != nil {
			t.Fatal(err)
		}
		table.Done(c, route.Result{Cached: 4000}, now.Add(time.Millisecond))
	})
	if allocs != 0 {
		t.Errorf("Pick and Done made %v allocations, want 0", allocs)
	}
}
