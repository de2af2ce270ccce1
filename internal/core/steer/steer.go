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
)

// Region is what is known of a region.
type Region struct {
	Name string
	// Hosts are the addresses of hosts that take callers.
	Hosts []netip.AddrPort
	// Load is the expected wait of a new request.
	Load time.Duration
	// Open is set when callers of other regions may be led there.
	Open bool
}

// Hosts returns the addresses for a caller of the region named home.
func Hosts(home string, regions []Region, rng *rand.Rand) []netip.AddrPort {
	var own, best *Region
	for i := range regions {
		r := &regions[i]
		if len(r.Hosts) == 0 {
			continue
		}
		if r.Name == home {
			own = r
			continue
		}
		if !r.Open {
			continue
		}
		if best == nil || r.Load < best.Load {
			best = r
		}
	}
	switch {
	case own == nil && best == nil:
		return nil
	case own == nil:
		return best.Hosts
	case best == nil:
		return own.Hosts
	}
	if rng.Float64() < share(own.Load-best.Load) {
		return best.Hosts
	}
	return own.Hosts
}

// share returns the part of the callers to lead away for a difference in load.
func share(d time.Duration) float64 {
	if d <= margin {
		return 0
	}
	return min(float64(d-margin)/float64(fullShare-margin), 1) * maxShare
}
