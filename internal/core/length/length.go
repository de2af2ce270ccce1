// Package length estimates how long the responses of a route take, to decide whether
// one can still be completed within a given time.
package length

import (
	"math"
	"sync"
	"time"
)

const (
	// newestWeight is the weight of the newest response; it is greater for the
	// first responses of a route.
	newestWeight = 0.1
	// maxDeviations is the number of standard deviations above the mean within
	// which almost all responses end.
	maxDeviations = 2
	// maxRoutes bounds the number of routes with an estimate, since the names of
	// routes change with the configuration.
	maxRoutes = 4096
)

// Estimator estimates the duration of responses by route. It is safe for concurrent
// use; the zero value is ready to use.
type Estimator struct {
	mu     sync.Mutex
	routes map[string]*estimate
}

// estimate is an exponential moving mean and variance of durations in seconds.
type estimate struct {
	n              int
	mean, variance float64
}

// Record records the duration of a complete response of a route. If there are maxRoutes
// other routes already, their estimates are dropped.
func (b *Estimator) Record(route string, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.routes[route]
	if e == nil {
		if b.routes == nil || len(b.routes) >= maxRoutes {
			b.routes = make(map[string]*estimate)
		}
		e = &estimate{}
		b.routes[route] = e
	}
	e.add(took.Seconds())
}

// add records a value. The first values have equal weights, and each later one has
// newestWeight.
func (e *estimate) add(x float64) {
	e.n++
	w := max(1/float64(e.n), newestWeight)
	d := x - e.mean
	e.mean += w * d
	e.variance = (1 - w) * (e.variance + w*d*d)
}

// Expect returns the time within which almost all responses of a route end, or false if
// none has been recorded.
func (b *Estimator) Expect(route string) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.routes[route]
	if e == nil {
		return 0, false
	}
	return time.Duration((e.mean + maxDeviations*math.Sqrt(e.variance)) * float64(time.Second)), true
}
