package steer

import (
	"cmp"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
)

// maxHosts bounds the hosts returned to a caller: enough to continue when some
// fail, and few enough that large hosts are returned more often than small ones.
const maxHosts = 6

// Host is a host that accepts callers.
type Host struct {
	Addr netip.AddrPort
	// Weight is the capacity relative to other hosts; 0 stands for 1.
	Weight float64
}

// Sample returns at most n of the hosts at random, weighted by Weight and without
// replacement. Callers choose among them at random.
func Sample(hosts []Host, n int, rng *rand.Rand) []netip.AddrPort {
	type candidate struct {
		addr netip.AddrPort
		key  float64
	}
	list := make([]candidate, 0, len(hosts))
	for _, h := range hosts {
		w := h.Weight
		if w <= 0 {
			w = 1
		}
		// The n largest keys are a weighted sample without replacement
		// (Efraimidis and Spirakis, 2006).
		list = append(list, candidate{h.Addr, math.Log(1-rng.Float64()) / w})
	}
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Compare(b.key, a.key) })
	addrs := make([]netip.AddrPort, 0, n)
	for _, d := range list[:min(n, len(list))] {
		addrs = append(addrs, d.addr)
	}
	return addrs
}

// Prefer returns the hosts that meet a condition, or all hosts if none does.
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
