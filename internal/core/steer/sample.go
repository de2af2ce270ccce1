package steer

import (
	"cmp"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
)

// mostNamed bounds the hosts that a caller is told: enough to go on when some
// fail, and few enough that large hosts are named more often than small ones.
const mostNamed = 6

// Host is a host that takes callers.
type Host struct {
	Addr netip.AddrPort
	// Weight is what it can carry compared with others; 0 stands for 1.
	Weight float64
}

// Sample returns at most n of the hosts, each the more likely the larger its
// weight. Callers choose among them at random.
func Sample(hosts []Host, n int, rng *rand.Rand) []netip.AddrPort {
	type drawn struct {
		addr netip.AddrPort
		key  float64
	}
	list := make([]drawn, 0, len(hosts))
	for _, h := range hosts {
		w := h.Weight
		if w <= 0 {
			w = 1
		}
		// The largest keys are a sample without replacement (Efraimidis and
		// Spirakis, 2006).
		list = append(list, drawn{h.Addr, math.Log(1-rng.Float64()) / w})
	}
	slices.SortFunc(list, func(a, b drawn) int { return cmp.Compare(b.key, a.key) })
	addrs := make([]netip.AddrPort, 0, n)
	for _, d := range list[:min(n, len(list))] {
		addrs = append(addrs, d.addr)
	}
	return addrs
}

// Prefer returns the hosts that meet a condition, or all if none does.
func Prefer(hosts []Host, meets func(netip.AddrPort) bool) []Host {
	var preferred []Host
	for _, h := range hosts {
		if meets(h.Addr) {
			preferred = append(preferred, h)
		}
	}
	if len(preferred) == 0 {
		return hosts
	}
	return preferred
}
