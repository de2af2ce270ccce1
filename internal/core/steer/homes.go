package steer

import (
	"slices"
	"sync"
)

const (
	// enough is the number of requests from which a misfit is derived.
	enough = 30
	// forgetAt is the number at which older requests count half.
	forgetAt = 1000
)

// Homes counts the homes of requests, so that regions are judged by the
// traffic that there is and not by routes without any. It is safe for
// concurrent use; the zero value is ready.
type Homes struct {
	mu    sync.Mutex
	total float64
	at    map[string]float64
}

// Add counts a request that may be served in regions only.
func (h *Homes) Add(regions []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.at == nil {
		h.at = make(map[string]float64)
	}
	h.total++
	for _, r := range regions {
		h.at[r]++
	}
	if h.total < forgetAt {
		return
	}
	h.total /= 2
	for r := range h.at {
		h.at[r] /= 2
	}
}

// Misfit returns the part of the requests that may not be served in region. It
// is 1 while too few were seen and none of the homes in static, those of all
// routes, contains the region.
func (h *Homes) Misfit(region string, static []string, homed bool) float64 {
	if !homed || slices.Contains(static, region) {
		return 0
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.total < enough {
		return 1
	}
	return 1 - h.at[region]/h.total
}
