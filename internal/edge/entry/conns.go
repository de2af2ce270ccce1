package entry

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// conns follows the connections of callers. It is safe for concurrent use.
type conns struct {
	mu   sync.Mutex
	open map[net.Conn]bool
	// idle are those between requests, and fresh those that have sent nothing
	// yet, each with the time since when.
	idle, fresh map[net.Conn]time.Time
}

func newConns() *conns {
	return &conns{open: make(map[net.Conn]bool), idle: make(map[net.Conn]time.Time), fresh: make(map[net.Conn]time.Time)}
}

// State is the ConnState hook of a server.
func (s *conns) State(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.idle, c)
	delete(s.fresh, c)
	switch state {
	case http.StateNew:
		s.open[c] = true
		s.fresh[c] = time.Now()
	case http.StateIdle:
		s.idle[c] = time.Now()
	case http.StateClosed, http.StateHijacked:
		delete(s.open, c)
	}
}

// Open returns the number of open connections.
func (s *conns) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// Sweep closes connections that have been idle for longer than limit. A
// request whose first byte was read makes its connection active, so none that
// is being served is cut off.
func (s *conns) Sweep(now time.Time, limit time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, since := range s.idle {
		if now.Sub(since) > limit {
			delete(s.idle, c)
			_ = c.Close() // idle: nothing is lost
		}
	}
}

// Drain closes connections that have been idle for longer than limit, and those
// on which nothing has come for longer than patience, and returns the number of
// connections that are still open.
func (s *conns) Drain(now time.Time, limit, patience time.Duration) int {
	s.Sweep(now, limit)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, since := range s.fresh {
		if now.Sub(since) > patience {
			delete(s.fresh, c)
			_ = c.Close() // nothing has come on it
		}
	}
	return len(s.open)
}
