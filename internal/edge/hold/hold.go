// Package hold keeps requests in the order of their arrival while they wait for room at
// the servers of a service.
package hold

import (
	"slices"
	"sync"
)

// Line is the requests that wait for the servers of one service. It is safe for concurrent
// use. The zero value is an empty line.
type Line struct {
	mu      sync.Mutex
	waiting []*Place
}

// Place is the place of a request in a Line.
type Place struct {
	line  *Line
	ready chan struct{}
}

// Join adds a request to the end of the line. It returns false if most requests or more
// wait already.
func (l *Line) Join(most int) (*Place, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting) >= most {
		return nil, false
	}
	p := &Place{line: l, ready: make(chan struct{}, 1)}
	l.waiting = append(l.waiting, p)
	return p, true
}

// Len returns the number of requests that wait.
func (l *Line) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiting)
}

// Wake lets the first request look for room.
func (l *Line) Wake() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wake()
}

// wake is Wake with mu held.
func (l *Line) wake() {
	if len(l.waiting) == 0 {
		return
	}
	select {
	case l.waiting[0].ready <- struct{}{}:
	default: // it has not looked since the last call
	}
}

// Ready returns a channel that receives a value when the request should look for room.
func (p *Place) Ready() <-chan struct{} { return p.ready }

// Leave removes the request from the line, and lets the first one look for room.
func (p *Place) Leave() {
	l := p.line
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting = slices.DeleteFunc(l.waiting, func(x *Place) bool { return x == p })
	l.wake()
}
