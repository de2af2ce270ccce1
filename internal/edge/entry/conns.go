package entry

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// connTracker tracks the connections of callers. It is safe for concurrent use.
type connTracker struct {
	mu   sync.Mutex
	open map[net.Conn]bool
	// idle maps connections between two requests, and unused those on which
	// nothing has been received yet, to the time when they entered that state.
	idle, unused map[net.Conn]time.Time
}

func newConnTracker() *connTracker {
	return &connTracker{open: make(map[net.Conn]bool), idle: make(map[net.Conn]time.Time), unused: make(map[net.Conn]time.Time)}
}

// State is the ConnState hook of an http.Server.
func (s *connTracker) State(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.idle, c)
	delete(s.unused, c)
	switch state {
	case http.StateNew:
		s.open[c] = true
		s.unused[c] = time.Now()
	case http.StateIdle:
		s.idle[c] = time.Now()
	case http.StateClosed, http.StateHijacked:
		delete(s.open, c)
	}
}

// Open returns the number of open connections.
func (s *connTracker) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// Sweep closes connections that have been idle for longer than limit. The first
// byte of a request makes its connection active, so no request in progress is
// aborted.
func (s *connTracker) Sweep(now time.Time, limit time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, since := range s.idle {
		if now.Sub(since) > limit {
			delete(s.idle, c)
			_ = c.Close() // no request uses it
		}
	}
}

// Drain closes connections that have been idle for longer than limit, and those
// that have been unused for longer than unusedLimit. It returns the number of
// connections that are still open.
func (s *connTracker) Drain(now time.Time, limit, unusedLimit time.Duration) int {
	s.Sweep(now, limit)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, since := range s.unused {
		if now.Sub(since) > unusedLimit {
			delete(s.unused, c)
			_ = c.Close() // nothing was received on it
		}
	}
	return len(s.open)
}
