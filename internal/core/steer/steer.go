// Package steer selects the hosts that a caller should send its requests to.
// Callers stay in their local region while it has capacity; otherwise some of
// them are redirected to a less loaded region, which saves forwarding their
// requests between hosts.
package steer

import (
	"math/rand/v2"
	"net/netip"
	"time"
)

const (
	// minLoadDiff is how much lower the load of a remote region must be before
	// callers are redirected to it: about a round trip between regions.
	minLoadDiff = 100 * time.Millisecond
	// maxLoadDiff is the difference in load at which the fraction of redirected
	// callers reaches its maximum, maxRedirected.
	maxLoadDiff   = 500 * time.Millisecond
	maxRedirected = 0.75
	// maxDeniedShare is the largest fraction of requests restricted to other
	// regions with which a region accepts redirected callers.
	maxDeniedShare = 0.02
)

// Region is the current state of a region.
type Region struct {
	Name string
	// Hosts accept callers. Leaving hosts stop soon but still listen.
	Hosts, Leaving []Host
	// Load is the expected time to the first byte of a short request.
	Load time.Duration
	// DeniedShare is the fraction of requests to routes with home regions that
	// may not be served in the region, or 1 if it is unknown.
	DeniedShare float64
}

// open reports whether callers of other regions may be redirected to the region.
func (r *Region) open() bool { return r.DeniedShare <= maxDeniedShare }

// Pick returns the addresses of hosts for a caller in the region named home, and
// the name of their region. It returns nil if no host is available.
func Pick(home string, regions []Region, rng *rand.Rand) ([]netip.AddrPort, string) {
	hosts, region := pick(home, regions, rng)
	if len(hosts) == 0 {
		return nil, region
	}
	return Sample(hosts, maxHosts, rng), region
}

// pick returns all hosts among which Pick selects.
func pick(home string, regions []Region, rng *rand.Rand) ([]Host, string) {
	var local, best *Region
	for i := range regions {
		r := &regions[i]
		switch {
		case r.Name == home:
			local = r
		case len(r.Hosts) == 0:
		case best == nil || better(r, best):
			best = r
		}
	}
	switch {
	case local == nil || len(local.Hosts) == 0 && len(local.Leaving) == 0:
		if best == nil {
			return nil, ""
		}
		return best.Hosts, best.Name
	case len(local.Hosts) == 0:
		return local.Leaving, local.Name
	case best == nil || !best.open():
		return local.Hosts, local.Name
	}
	if rng.Float64() < redirected(local.Load-best.Load) {
		return best.Hosts, best.Name
	}
	return local.Hosts, local.Name
}

// better reports whether a is preferred to b as the target of redirected callers:
// a region that may serve their requests comes first, then the less loaded one.
func better(a, b *Region) bool {
	if a.open() != b.open() {
		return a.open()
	}
	if !a.open() && a.DeniedShare != b.DeniedShare {
		return a.DeniedShare < b.DeniedShare
	}
	return a.Load < b.Load
}

// redirected returns the fraction of callers to redirect for a difference in load.
func redirected(d time.Duration) float64 {
	if d <= minLoadDiff {
		return 0
	}
	return min(float64(d-minLoadDiff)/float64(maxLoadDiff-minLoadDiff), 1) * maxRedirected
}
