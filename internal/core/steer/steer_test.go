package steer

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"
)

func host(n byte) []Host {
	return []Host{{Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 80)}}
}

// TestPick guards against redirecting callers to a region that may not serve
// them or is more loaded, and against returning no host although there is one.
func TestPick(t *testing.T) {
	const ms = time.Millisecond
	a := func(load time.Duration) Region { return Region{Name: "a", Hosts: host(1), Load: load} }
	b := func(load time.Duration, denied float64) Region {
		return Region{Name: "b", Hosts: host(2), Load: load, DeniedShare: denied}
	}
	leaving := Region{Name: "a", Leaving: host(1)}
	tests := []struct {
		name    string
		regions []Region
		remote  [2]float64 // minimum and maximum fraction of callers redirected to host 2
		none    bool
	}{
		{"idle", []Region{a(0), b(0, 0)}, [2]float64{0, 0}, false},
		{"local region loaded", []Region{a(600 * ms), b(0, 0)}, [2]float64{0.7, 0.8}, false},
		{"both regions loaded", []Region{a(600 * ms), b(600*ms, 0)}, [2]float64{0, 0}, false},
		{"remote region is not a home", []Region{a(600 * ms), b(0, 0.5)}, [2]float64{0, 0}, false},
		{"local hosts lost", []Region{b(900*ms, 1)}, [2]float64{1, 1}, false},
		{"local hosts leaving", []Region{leaving, b(0, 0)}, [2]float64{0, 0}, false},
		{"local hosts lost, one remote region is a home", []Region{b(900*ms, 0), {Name: "c", Hosts: host(3), DeniedShare: 1}}, [2]float64{1, 1}, false},
		{"no hosts", nil, [2]float64{0, 0}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 2))
			const n = 1000
			remote := 0
			for range n {
				got, _ := Pick("a", tt.regions, rng)
				if (len(got) == 0) != tt.none {
					t.Fatalf("got %v", got)
				}
				if len(got) > 0 && got[0] == host(2)[0].Addr {
					remote++
				}
			}
			if part := float64(remote) / n; part < tt.remote[0] || part > tt.remote[1] {
				t.Errorf("%v of the callers are redirected, want %v", part, tt.remote)
			}
		})
	}
}

// TestDeniedShare guards against excluding a region because of a route without
// traffic, and against redirecting callers to a region before the traffic is
// known. Trial hunt-1de2-11 of the Comptoir site redirected callers to a region
// that is not a home of their routes.
func TestDeniedShare(t *testing.T) {
	var h HomeCounts
	if m := h.DeniedShare("b", nil, true); m != 1 {
		t.Errorf("denied share %v before any request", m)
	}
	if m := h.DeniedShare("b", []string{"b"}, true); m != 0 {
		t.Errorf("denied share %v for a home of all routes", m)
	}
	for range 995 {
		h.Add([]string{"a", "b"})
	}
	for range 5 {
		h.Add([]string{"c"})
	}
	if m := h.DeniedShare("b", nil, true); m > maxDeniedShare {
		t.Errorf("denied share %v for a home of nearly all requests", m)
	}
	if m := h.DeniedShare("c", nil, true); m < 0.9 {
		t.Errorf("denied share %v for a home of few requests", m)
	}
	for range 2000 {
		h.Add([]string{"c"})
	}
	if m := h.DeniedShare("b", nil, true); m <= maxDeniedShare {
		t.Errorf("denied share %v after the traffic has changed", m)
	}
}

// TestSample draws hosts from a region with hosts of different size. It guards
// against small hosts that get as many callers as large ones, and against sending
// all callers to the same few hosts.
func TestSample(t *testing.T) {
	var hosts []Host
	for i := range 25 {
		h := host(byte(i))[0]
		h.Weight = 0.2
		if i < 4 {
			h.Weight = 0.8
		}
		hosts = append(hosts, h)
	}
	rng := rand.New(rand.NewPCG(1, 2))
	const n = 20_000
	got := make(map[netip.AddrPort]int)
	for range n {
		addrs := Sample(hosts, maxHosts, rng)
		if len(addrs) != maxHosts {
			t.Fatalf("%d hosts, want %d", len(addrs), maxHosts)
		}
		got[addrs[rng.IntN(len(addrs))]]++
	}
	large, small := 0, n
	for _, h := range hosts {
		c := got[h.Addr]
		if h.Weight > 0.5 {
			large = max(large, c)
		} else {
			small = min(small, c)
		}
	}
	if small == 0 || float64(large)/float64(small) < 2 || float64(large)/float64(small) > 5 {
		t.Errorf("a large host got %d callers, a small one %d: want 2 to 5 times as many", large, small)
	}
	if addrs := Sample(hosts[:2], maxHosts, rng); len(addrs) != 2 {
		t.Errorf("%d hosts returned, want 2", len(addrs))
	}
}

// TestConnectionReuse forwards occasional requests to a region with many hosts. It
// guards against opening a connection for each request, which takes as long as the
// request itself.
func TestConnectionReuse(t *testing.T) {
	var hosts []Host
	for i := range 28 {
		hosts = append(hosts, Host{Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80), Weight: 1})
	}
	rng := rand.New(rand.NewPCG(1, 2))
	idle := make(map[netip.AddrPort]bool)
	opened := 0
	for range 100 {
		h := Sample(Prefer(hosts, func(a netip.AddrPort) bool { return idle[a] }), 1, rng)[0]
		if !idle[h] {
			opened++
		}
		idle[h] = true
	}
	if opened > 1 {
		t.Errorf("%d connections were opened for 100 sequential requests", opened)
	}
}
