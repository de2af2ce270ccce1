package steer

import (
	"slices"
	"sync"
)

const (
	// minRequests is the number of requests from which DeniedShare derives its
	// result.
	minRequests = 30
	// decayAt is the number of requests at which the counts are halved, so that
	// newer requests weigh more.
	decayAt = 1000
)

// HomeCounts counts requests by home region, the regions that may serve them, so
// that DeniedShare reflects the actual traffic and ignores unused routes. It is
// safe for concurrent use; the zero value is ready.
type HomeCounts struct {
	mu       sync.Mutex
	total    float64
	byRegion map[string]float64
}

// Add counts a request that may be served only in regions.
func (h *HomeCounts) Add(regions []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.byRegion == nil {
		h.byRegion = make(map[string]float64)
	}
	h.total++
	for _, r := range regions {
		h.byRegion[r]++
	}
	if h.total < decayAt {
		return
	}
	h.total /= 2
	for r := range h.byRegion {
		h.byRegion[r] /= 2
	}
}

// DeniedShare returns the fraction of counted requests that may not be served in
// region. It is 0 if no route is restricted to home regions, as hasHomes states,
// or if region is in commonHomes, the regions that are a home of every restricted
// route. Otherwise it is 1 until enough requests were counted.
func (h *HomeCounts) DeniedShare(region string, commonHomes []string, hasHomes bool) float64 {
	if !hasHomes || slices.Contains(commonHomes, region) {
		return 0
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.total < minRequests {
		return 1
	}
	return 1 - h.byRegion[region]/h.total
}
