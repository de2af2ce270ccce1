// Package length learns how long the answers of a route take, to tell whether
// one can still be completed in a given time.
package length

import (
	"math"
	"sync"
	"time"
)

const (
	// weight is that of the newest answer, once some were seen.
	weight = 0.1
	// deviations above the mean within which almost all answers end.
	deviations = 2
	// maxRoutes bounds the routes that are kept: their names change with the
	// configuration.
	maxRoutes = 4096
)

// Book holds the lengths of answers by route. It is safe for concurrent use;
// the zero value is ready.
type Book struct {
	mu     sync.Mutex
	routes map[string]*estimate
}

// estimate is a moving mean and variance in seconds.
type estimate struct {
	n              int
	mean, variance float64
}

// Note records a complete answer of a route.
func (b *Book) Note(route string, took time.Duration) {
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

// add weighs the first values equally, later ones by weight.
func (e *estimate) add(x float64) {
	e.n++
	w := max(1/float64(e.n), weight)
	d := x - e.mean
	e.mean += w * d
	e.variance = (1 - w) * (e.variance + w*d*d)
}

// Expect returns the time within which almost all answers of a route end, or
// false if none was seen.
func (b *Book) Expect(route string) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.routes[route]
	if e == nil {
		return 0, false
	}
	return time.Duration((e.mean + deviations*math.Sqrt(e.variance)) * float64(time.Second)), true
}
