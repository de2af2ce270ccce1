// Package steer decides which hosts a caller is told to use. Callers stay in
// their region while it has room; part of them is led to a less loaded region
// otherwise, which costs no traffic between hosts.
package steer

import (
	"math/rand/v2"
	"net/netip"
	"time"
)

const (
	// margin is by how much another region must be less loaded before it
	// takes callers: about a round trip between regions.
	margin = 100 * time.Millisecond
	// fullShare is the difference in load at which maxShare of the callers
	// are led away.
	fullShare = 500 * time.Millisecond
	maxShare  = 0.75
	// maxMisfit is the part of the requests with homes that may be led to a
	// region outside them.
	maxMisfit = 0.02
)

// Region is what is known of a region.
type Region struct {
	Name string
	// Hosts take callers, Leaving ones stop soon but still listen.
	Hosts, Leaving []Host
	// Load is the expected wait of a new request.
	Load time.Duration
	// Misfit is the part of the requests on routes with homes that may not be
	// served in the region, or 1 if that is not known.
	Misfit float64
}

// open reports whether callers of other regions may be led to the region.
func (r *Region) open() bool { return r.Misfit <= maxMisfit }

// Pick returns the hosts that a caller of the region named home is told to
// use, and the name of their region. Without any host it returns nil.
func Pick(home string, regions []Region, rng *rand.Rand) ([]netip.AddrPort, string) {
	hosts, region := pick(home, regions, rng)
	if len(hosts) == 0 {
		return nil, region
	}
	return Sample(hosts, mostNamed, rng), region
}

func pick(home string, regions []Region, rng *rand.Rand) ([]Host, string) {
	var own, best *Region
	for i := range regions {
		r := &regions[i]
		switch {
		case r.Name == home:
			own = r
		case len(r.Hosts) == 0:
		case best == nil || better(r, best):
			best = r
		}
	}
	switch {
	case own == nil || len(own.Hosts) == 0 && len(own.Leaving) == 0:
		if best == nil {
			return nil, ""
		}
		return best.Hosts, best.Name
	case len(own.Hosts) == 0:
		return own.Leaving, own.Name
	case best == nil || !best.open():
		return own.Hosts, own.Name
	}
	if rng.Float64() < share(own.Load-best.Load) {
		return best.Hosts, best.Name
	}
	return own.Hosts, own.Name
}

// better reports whether callers are rather led to a than to b: to a region
// that may serve them, and then to the less loaded one.
func better(a, b *Region) bool {
	if a.open() != b.open() {
		return a.open()
	}
	if !a.open() && a.Misfit != b.Misfit {
		return a.Misfit < b.Misfit
	}
	return a.Load < b.Load
}

// share returns the part of the callers to lead away for a difference in load.
func share(d time.Duration) float64 {
	if d <= margin {
		return 0
	}
	return min(float64(d-margin)/float64(fullShare-margin), 1) * maxShare
}
