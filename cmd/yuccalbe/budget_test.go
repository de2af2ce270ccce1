package main

import (
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/fake/origin"
)

const (
	// soakRatio and soakBurst bound the arrivals beyond the first of each request in
	// any retryWindow: soakRatio for each request, and soakBurst more.
	soakRatio   = 0.2
	soakBurst   = 50
	retryWindow = 10 * time.Second
)

// arrivals are the times at which requests were sent and at which they arrived at servers
// again. It is safe for concurrent use.
type arrivals struct {
	mu       sync.Mutex
	seen     map[string]bool
	sent     []time.Time
	repeated []time.Time
}

// send records a request of a caller.
func (a *arrivals) send() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sent = append(a.sent, time.Now())
}

// arrive records the arrival of a request at a server, which may reject it.
func (a *arrivals) arrive(x *origin.Exchange) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.seen == nil {
		a.seen = make(map[string]bool)
	}
	if a.seen[x.ID()] {
		a.repeated = append(a.repeated, x.Arrived)
	}
	a.seen[x.ID()] = true
}

// check checks the bound of repeats in each window that begins with one. The requests are those
// in the window, the one before, or the one half a window before.
func (a *arrivals) check(t *testing.T) {
	a.mu.Lock()
	defer a.mu.Unlock()
	slices.SortFunc(a.repeated, time.Time.Compare)
	worst := 0.0
	for _, from := range a.repeated {
		requests := max(within(a.sent, from), within(a.sent, from.Add(-retryWindow/2)), within(a.sent, from.Add(-retryWindow)))
		repeats, allowed := within(a.repeated, from), soakRatio*float64(requests)+soakBurst
		worst = max(worst, float64(repeats)/allowed)
		if float64(repeats) > allowed {
			t.Errorf("%d arrivals beyond the first of %d requests in %v, %v allowed", repeats, requests, retryWindow, allowed)
			return
		}
	}
	t.Logf("%d of %d requests arrived again; at most %.2f of what is allowed in %v", len(a.repeated), len(a.sent), worst, retryWindow)
}

// within returns how many of the sorted times lie in the window from a time on.
func within(times []time.Time, from time.Time) int {
	begin, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	end, _ := slices.BinarySearchFunc(times, from.Add(retryWindow), time.Time.Compare)
	return end - begin
}
