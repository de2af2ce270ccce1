package entry

import (
	"context"
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
	// dropped holds connections that Sweep and Drain have closed. A request may have
	// been read on them that was not counted as active yet; it must not be served, since
	// its caller gets no response and may send it again.
	dropped map[net.Conn]bool
}

func newConnTracker() *connTracker {
	return &connTracker{open: make(map[net.Conn]bool), idle: make(map[net.Conn]time.Time), unused: make(map[net.Conn]time.Time), dropped: make(map[net.Conn]bool)}
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// ConnContext is the ConnContext hook of an http.Server whose handler is one of Handler.
func (s *connTracker) ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Handler returns a handler that serves the requests on connections that were not closed,
// with h.
func (s *connTracker) Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(net.Conn); ok && !s.begin(c) {
			panic(http.ErrAbortHandler) // the connection is closed
		}
		h.ServeHTTP(w, r)
	})
}

// begin marks a connection as active, unless it was closed while it was idle or unused.
func (s *connTracker) begin(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.idle, c)
	delete(s.unused, c)
	return !s.dropped[c]
}

// drop closes a connection for callers that hold s.mu.
func (s *connTracker) drop(c net.Conn) {
	delete(s.idle, c)
	delete(s.unused, c)
	s.dropped[c] = true
	_ = c.Close() // no request uses it
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
		delete(s.dropped, c)
	}
}

// Open returns the number of open connections.
func (s *connTracker) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// Sweep closes connections that have been idle for longer than limit. A request whose
// handler has begun makes its connection active, and later ones are not served, so no
// request in progress is aborted.
func (s *connTracker) Sweep(now time.Time, limit time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, since := range s.idle {
		if now.Sub(since) > limit {
			s.drop(c)
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
			s.drop(c)
		}
	}
	return len(s.open)
}
