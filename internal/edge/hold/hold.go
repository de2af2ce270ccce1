// Package hold keeps requests in order while they wait for room at the servers of a service:
// the more urgent first, and those of one priority as they arrived.
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
	line     *Line
	priority int // 0 is the most urgent
	ready    chan struct{}
	lost     chan struct{}
}

// Join adds a request to the line, behind those of its priority. If most requests or more
// wait already, the last one loses its place to a more urgent one; without a less urgent one
// to give way, Join returns false.
func (l *Line) Join(most, priority int) (*Place, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n := len(l.waiting); n > 0 && n >= most {
		last := l.waiting[n-1]
		if last.priority <= priority {
			return nil, false
		}
		l.waiting = l.waiting[:n-1]
		close(last.lost)
	}
	p := &Place{line: l, priority: priority, ready: make(chan struct{}, 1), lost: make(chan struct{})}
	i := len(l.waiting)
	for i > 0 && l.waiting[i-1].priority > priority {
		i--
	}
	l.waiting = slices.Insert(l.waiting, i, p)
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
	l.wake(0)
}

// wake lets the request at a position look for room, if there is one. The caller holds mu.
func (l *Line) wake(i int) {
	if i >= len(l.waiting) {
		return
	}
	select {
	case l.waiting[i].ready <- struct{}{}:
	default: // it has not looked since the last call
	}
}

// Ready returns a channel that receives a value when the request should look for room.
func (p *Place) Ready() <-chan struct{} { return p.ready }

// Lost returns a channel that is closed when a more urgent request has taken the place.
func (p *Place) Lost() <-chan struct{} { return p.lost }

// First reports whether no other request is before this one.
func (p *Place) First() bool {
	p.line.mu.Lock()
	defer p.line.mu.Unlock()
	return len(p.line.waiting) > 0 && p.line.waiting[0] == p
}

// Pass lets the next request look for room: this one has found none that it may use.
func (p *Place) Pass() {
	l := p.line
	l.mu.Lock()
	defer l.mu.Unlock()
	if i := slices.Index(l.waiting, p); i >= 0 {
		l.wake(i + 1)
	}
}

// Leave removes the request from the line, and lets the first one look for room.
func (p *Place) Leave() {
	l := p.line
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting = slices.DeleteFunc(l.waiting, func(x *Place) bool { return x == p })
	l.wake(0)
}
