package pick

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/spec"
)

var (
	epoch  = time.Unix(1_700_000_000, 0)
	engine = spec.Service{Name: "chat", Engine: true, Slots: 64, CacheTokens: 348_000, WarmupRate: 5.6}
)

func entryOf(i int) spec.Server {
	return spec.Server{
		ID: fmt.Sprintf("s%d", i), Service: "chat", Site: "a", Slots: 64, Born: 1, Seq: 1,
		Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
	}
}

func entries(n int) []spec.Server {
	list := make([]spec.Server, n)
	for i := range list {
		list[i] = entryOf(i)
	}
	return list
}

// allDiscovered returns the RegionHosts of hosts[0] once it has discovered all hosts.
func allDiscovered(hosts ...string) RegionHosts {
	return RegionHosts{Self: hosts[0], Hosts: hosts, Discovered: true}
}

func newTable(n int) *Table {
	t := NewTable(engine, rand.New(rand.NewPCG(1, 2)))
	t.Update(engine, entries(n), nil, allDiscovered("h0"), epoch)
	return t
}

// longPrompt returns a request with a long shared prefix.
func longPrompt(prefix uint64) *Request {
	return &Request{Parts: []Part{{Key: prefix, Tokens: 13_300}}, Prompt: 17_000, Output: 120}
}

func mustPick(t *testing.T, tab *Table, req *Request, now time.Time) Choice {
	t.Helper()
	c, ok := tab.Pick(req, now)
	if !ok {
		t.Fatal("no server for the request")
	}
	return c
}

// TestPrefixAffinity guards against prefill of a shared prefix on several servers:
// requests with the same prefix go to one server while it has capacity.
func TestPrefixAffinity(t *testing.T) {
	tab := newTable(5)
	first := mustPick(t, tab, longPrompt(7), epoch)
	tab.FirstByte(&first, epoch.Add(300*time.Millisecond))
	tab.Done(&first, Served, epoch.Add(time.Second))
	for i := range 10 {
		at := epoch.Add(time.Duration(i+2) * time.Second)
		c := mustPick(t, tab, longPrompt(7), at)
		if c.ID != first.ID {
			t.Fatalf("request %d was sent to %s, but the prefix is cached by %s", i, c.ID, first.ID)
		}
		tab.FirstByte(&c, at.Add(80*time.Millisecond))
		tab.Done(&c, Served, at.Add(time.Second))
	}
}

// TestHostsAgree guards against hosts of a region that place the same new
// prefix on different servers.
func TestHostsAgree(t *testing.T) {
	for prefix := uint64(1); prefix < 50; prefix++ {
		a := mustPick(t, newTable(5), longPrompt(prefix), epoch)
		b := mustPick(t, newTable(5), longPrompt(prefix), epoch)
		if a.ID != b.ID {
			t.Errorf("prefix %d: hosts chose %s and %s", prefix, a.ID, b.ID)
		}
	}
}

// TestBusyPrefixServer guards against requests that queue at the server with a cached
// prefix while other servers are idle.
func TestBusyPrefixServer(t *testing.T) {
	tab := newTable(3)
	used := make(map[string]int)
	for range 12 {
		c := mustPick(t, tab, longPrompt(7), epoch)
		used[c.ID]++
	}
	if len(used) < 2 {
		t.Errorf("all of 12 concurrent requests were sent to one server: %v", used)
	}
}

// TestLoadOfPeers guards against a choice that ignores the requests of other hosts.
func TestLoadOfPeers(t *testing.T) {
	tab := newTable(2)
	tab.MergePeer("h1", map[string]Load{"s0": {Running: 30, Unread: 60_000, Memory: 60_000}}, nil, epoch)
	for range 5 {
		if c := mustPick(t, tab, &Request{Prompt: 300, Output: 40}, epoch); c.ID != "s1" {
			t.Fatalf("request was sent to %s, which has the load of a peer", c.ID)
		}
	}
	tab.MergePeer("h1", nil, nil, epoch)
	seen := make(map[string]bool)
	for range 20 {
		seen[mustPick(t, tab, &Request{Prompt: 300, Output: 40}, epoch).ID] = true
	}
	if !seen["s0"] {
		t.Error("s0 gets no requests although the peer's load has ended")
	}
}

// TestPlacementsOfPeers guards against a second copy of a prefix that another host has
// already placed.
func TestPlacementsOfPeers(t *testing.T) {
	tab := newTable(5)
	tab.MergePeer("h1", nil, []Placement{{Server: "s3", Parts: longPrompt(7).Parts}}, epoch)
	if c := mustPick(t, tab, longPrompt(7), epoch); c.ID != "s3" {
		t.Errorf("request was sent to %s, but the prefix is cached by s3", c.ID)
	}
}

// TestUnusableServers guards against requests to servers that are leaving, evacuated or
// excluded.
func TestUnusableServers(t *testing.T) {
	tests := []struct {
		name      string
		edit      func(*spec.Server)
		evacuated []string
	}{
		{"leaving", func(s *spec.Server) { s.Leaving = true }, nil},
		{"evacuated", func(s *spec.Server) { s.Site = "b" }, []string{"b"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tab := newTable(2)
			list := entries(2)
			tt.edit(&list[0])
			tab.Update(engine, list, tt.evacuated, allDiscovered("h0"), epoch)
			for range 10 {
				if c := mustPick(t, tab, &Request{Prompt: 10}, epoch); c.ID == "s0" {
					t.Fatal("s0 got a request")
				}
			}
			tab.Update(engine, list[:1], tt.evacuated, allDiscovered("h0"), epoch)
			if c, ok := tab.Pick(&Request{Prompt: 10}, epoch); ok {
				t.Errorf("got %s, want none", c.ID)
			}
		})
	}
	t.Run("excluded", func(t *testing.T) {
		if c := mustPick(t, newTable(2), &Request{Prompt: 10, Exclude: []string{"s0"}}, epoch); c.ID == "s0" {
			t.Error("s0 got a request that it had failed before")
		}
	})
}

// TestUnreachableServer guards against requests to a server that cannot be reached,
// and against never trying it again. A single request probes it after the backoff.
func TestUnreachableServer(t *testing.T) {
	tab := newTable(1)
	c := mustPick(t, tab, &Request{Prompt: 10}, epoch)
	tab.Done(&c, NoConnect, epoch)
	if _, ok := tab.Pick(&Request{Prompt: 10}, epoch.Add(initialBackoff/2)); ok {
		t.Error("an unreachable server got a request during its backoff")
	}
	if !tab.HasProbation() {
		t.Error("the failed server is not reported to be on probation")
	}
	at := epoch.Add(2 * maxBackoff)
	tab.Pick(&Request{Prompt: 10}, at) // starts the refill of the allowance
	probe, ok := tab.Pick(&Request{Prompt: 10}, at.Add(time.Second))
	if !ok {
		t.Fatal("the server was not tried again after its backoff")
	}
	if _, ok := tab.Pick(&Request{Prompt: 10}, at.Add(2*time.Second)); ok {
		t.Error("a second request was sent before the probe had succeeded")
	}
	tab.Done(&probe, Served, at.Add(2*time.Second))
	if _, ok := tab.Pick(&Request{Prompt: 10}, at.Add(3*time.Second)); !ok {
		t.Error("the server gets no requests after a successful probe")
	}
}

// TestOneErrorExcludesNoServer guards against a backoff after error responses, which
// show that the server is reachable.
func TestOneErrorExcludesNoServer(t *testing.T) {
	tab := newTable(1)
	for i := range 20 {
		at := epoch.Add(time.Duration(i) * time.Second)
		c := mustPick(t, tab, &Request{Prompt: 10}, at)
		tab.Done(&c, Failed, at)
	}
}

// TestServerWithErrorsIsAvoided guards against an even split of requests between a
// server that answers with errors and one that does not.
func TestServerWithErrorsIsAvoided(t *testing.T) {
	tab := newTable(2)
	n := 0
	for i := range 200 {
		at := epoch.Add(time.Duration(i) * 50 * time.Millisecond)
		c := mustPick(t, tab, &Request{Prompt: 10}, at)
		o := Served
		if c.ID == "s0" {
			n++
			o = Failed
		}
		tab.Done(&c, o, at)
	}
	if n > 20 {
		t.Errorf("the failing server got %d of 200 requests", n)
	}
}

// TestColdServers guards against hosts that together exceed the rate limit of a cold
// server, however many they are and whether or not they have discovered each other.
func TestColdServers(t *testing.T) {
	limit := int(engine.WarmupRate*1.5 + 3)
	for _, n := range []int{1, 2, 4, 7, 25, 60} {
		for _, discovered := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d hosts, discovered %v", n, discovered), func(t *testing.T) {
				var hosts []string
				for i := range n {
					hosts = append(hosts, fmt.Sprintf("h%d", i))
				}
				got := sendCold(hosts, discovered)
				for second, k := range got {
					if k > limit {
						t.Errorf("second %d: %d requests to the cold server, want at most %d", second, k, limit)
					}
				}
				if discovered && got[2] == 0 {
					t.Error("the cold server got no requests in the last second")
				}
			})
		}
	}
}

// sendCold has each host send all the requests that it may to a cold server for three
// seconds, and returns the number of requests in each second. Hosts that have not
// discovered each other list only themselves, as right after a restart.
func sendCold(hosts []string, discovered bool) [3]int {
	var tabs []*Table
	for _, h := range hosts {
		tab := NewTable(engine, rand.New(rand.NewPCG(1, 2)))
		hosts := RegionHosts{Self: h, Hosts: hosts, Discovered: true}
		if !discovered {
			hosts = RegionHosts{Self: h, Hosts: []string{h}}
		}
		e := entryOf(0)
		e.Warm = time.Minute
		tab.Update(engine, []spec.Server{e}, nil, hosts, epoch)
		tabs = append(tabs, tab)
	}
	var got [3]int
	for ms := 0; ms < 3000; ms += 10 {
		if !discovered && ms >= 1500 {
			break // hosts have discovered each other by then
		}
		at := epoch.Add(time.Duration(ms) * time.Millisecond)
		for _, tab := range tabs {
			if c, ok := tab.Pick(&Request{Prompt: 10}, at); ok {
				got[ms/1000]++
				tab.FirstByte(&c, at)
				tab.Done(&c, Served, at)
			}
		}
	}
	return got
}

// TestColdServerWithLowRate guards against hosts that each send a request at the same
// time to a cold server whose rate limit is lower than one request per second and host.
func TestColdServerWithLowRate(t *testing.T) {
	svc := engine
	svc.WarmupRate = 0.5
	limit := int(svc.WarmupRate*1.5 + 3)
	hosts := []string{"h0", "h1", "h2", "h3", "h4", "h5", "h6"}
	e := entryOf(0)
	e.Warm = time.Minute
	var tabs []*Table
	for _, h := range hosts {
		tab := NewTable(svc, rand.New(rand.NewPCG(1, 2)))
		tab.Update(svc, []spec.Server{e}, nil, RegionHosts{Self: h, Hosts: hosts, Discovered: true}, epoch)
		tabs = append(tabs, tab)
	}
	total := 0
	for second := range 40 {
		got := 0
		for ms := 0; ms < 1000; ms += 50 {
			at := epoch.Add(time.Duration(second)*time.Second + time.Duration(ms)*time.Millisecond)
			for _, tab := range tabs {
				if _, ok := tab.Pick(&Request{Prompt: 10}, at); ok {
					got++
				}
			}
		}
		if got > limit {
			t.Errorf("second %d: %d requests to the cold server, want at most %d", second, got, limit)
		}
		total += got
	}
	if total == 0 {
		t.Error("the cold server got no requests")
	}
}

// TestColdServerDuringPartition guards against hosts that each use the whole rate limit
// of a cold server because a network partition hides the others from them. The server
// then got 12 requests in one second in a load test (Comptoir, scale-2).
func TestColdServerDuringPartition(t *testing.T) {
	limit := int(engine.WarmupRate*1.5 + 3)
	got := 0
	for _, h := range []string{"h0", "h1"} {
		got += sendCold([]string{h}, true)[1]
	}
	got++ // a one-second window may begin between those of the hosts
	if got > limit {
		t.Errorf("%d requests in one second to the cold server, want at most %d", got, limit)
	}
}

// TestSummary guards against a summary by which a region seems idle to other regions
// while its batches are full.
func TestSummary(t *testing.T) {
	tab := newTable(2)
	idle := tab.Summary(epoch)
	tab.MergePeer("h1", map[string]Load{"s0": {Running: 110}, "s1": {Running: 110}}, nil, epoch)
	if full := tab.Summary(epoch); full.Wait < idle.Wait+fullPenalty {
		t.Errorf("expected wait %v with full batches, %v without load", full.Wait, idle.Wait)
	}
}

// TestRestartClearsCache guards against routing a prefix to a server that has
// restarted under the same name and has nothing cached.
func TestRestartClearsCache(t *testing.T) {
	tab := newTable(2)
	c := mustPick(t, tab, longPrompt(7), epoch)
	tab.Done(&c, Served, epoch)
	if len(tab.CachedParts(epoch)) != 1 {
		t.Fatal("the prefix is not listed as cached")
	}
	list := entries(2)
	for i := range list {
		list[i].Born = 2
	}
	tab.Update(engine, list, nil, allDiscovered("h0"), epoch)
	if n := len(tab.CachedParts(epoch)); n != 0 {
		t.Errorf("%d prefixes are listed as cached after the restart", n)
	}
}

// TestDoneOfRemovedServer guards against a load that stays above or drops below
// zero when a server is removed and listed again while a request runs.
func TestDoneOfRemovedServer(t *testing.T) {
	tab := newTable(1)
	c := mustPick(t, tab, longPrompt(7), epoch)
	tab.Update(engine, nil, nil, allDiscovered("h0"), epoch)
	tab.Update(engine, entries(1), nil, allDiscovered("h0"), epoch)
	tab.FirstByte(&c, epoch)
	tab.Done(&c, Served, epoch)
	loads, _ := tab.Report(epoch)
	if len(loads) != 0 {
		t.Errorf("loads after the last request: %v", loads)
	}
}

// TestShortRequestsAtPeak guards against an uneven split at the peak load of a region:
// 450 short requests a second for 10 s to 5 servers of 64 slots, where each request
// takes a slot for 0.7 s.
func TestShortRequestsAtPeak(t *testing.T) {
	tab := newTable(5)
	type running struct {
		c   Choice
		end time.Time
	}
	var open []running
	got := make(map[string]int)
	for i := range 4500 {
		now := epoch.Add(time.Duration(i) * time.Second / 450)
		for len(open) > 0 && !now.Before(open[0].end) {
			tab.Done(&open[0].c, Served, open[0].end)
			open = open[1:]
		}
		c := mustPick(t, tab, &Request{Prompt: 383, Output: 44}, now)
		got[c.ID]++
		tab.FirstByte(&c, now.Add(80*time.Millisecond))
		open = append(open, running{c, now.Add(700 * time.Millisecond)})
	}
	for id, n := range got {
		if n < 800 || n > 1000 {
			t.Errorf("server %s got %d of 4500 requests, want about 900", id, n)
		}
	}
}

// TestConnectionsKept guards against connections to all servers of a large region, in
// which each host sends few requests to each of many equal servers, and against the
// choice of a busier server because a connection to it is open.
func TestConnectionsKept(t *testing.T) {
	tab := newTable(50)
	open := make(map[netip.AddrPort]bool)
	req := &Request{Prompt: 300, Output: 50, Connected: func(a netip.AddrPort) bool { return open[a] }}
	at := epoch
	for range 200 {
		at = at.Add(100 * time.Millisecond)
		c := mustPick(t, tab, req, at)
		s, _ := tab.Server(c.ID)
		open[s.Addr] = true
		tab.FirstByte(&c, at.Add(20*time.Millisecond))
		tab.Done(&c, Served, at.Add(50*time.Millisecond))
	}
	if len(open) > 5 {
		t.Errorf("connections to %d servers were opened, want at most 5", len(open))
	}
	loads := make(map[string]Load)
	for i := range 50 {
		if open[entryOf(i).Addr] {
			loads[entryOf(i).ID] = Load{Running: 20}
		}
	}
	tab.MergePeer("h1", loads, nil, at)
	if c := mustPick(t, tab, req, at); loads[c.ID].Running > 0 {
		t.Error("a busy server was chosen because of its open connection")
	}
}

// TestPaceAfterUpdate guards against engines that are taken for plain servers, or the other way round, because the
// table was made before the service was known, or a version has changed it.
func TestPaceAfterUpdate(t *testing.T) {
	tab := NewTable(spec.Service{Name: "desk"}, rand.New(rand.NewPCG(1, 1)))
	for _, engine := range []bool{true, false} {
		tab.Update(spec.Service{Name: "desk", Engine: engine}, nil, nil, allDiscovered("h0"), epoch)
		if got, want := tab.Pace(), NewPace(engine); got != want {
			t.Errorf("engine %v: pace %+v, want %+v", engine, got, want)
		}
	}
}
