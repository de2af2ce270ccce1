package relay

import (
	"slices"
	"sync"
)

const (
	// flightShare is the share of a host's memory for bodies that may be in flight to one server: no server
	// states its memory, and one that reads slowly must not use up that of its hosts.
	flightShare = 0.25
	// minFlight is the size in bytes from which on a body counts. The connections to a server bound the
	// smaller ones.
	minFlight = 64 << 10
)

// flight is the size in bytes of the large bodies that this host has in flight to each server, from the
// choice of the server to the end of the response. It is safe for concurrent use.
type flight struct {
	// max bounds the bytes at one server. A single body may exceed it.
	max int64

	mu sync.Mutex
	at map[string]int64 // by the ID of the server
}

func newFlight(limit int64) *flight { return &flight{max: limit, at: make(map[string]int64)} }

// add adds a body of n bytes at a server and reports whether the limit permits it.
func (f *flight) add(server string, n int64) bool {
	if n < minFlight {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.permitsLocked(server, n) {
		return false
	}
	f.at[server] += n
	return true
}

// remove removes a body that add has added.
func (f *flight) remove(server string, n int64) {
	if n < minFlight {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.at[server] -= n; f.at[server] == 0 {
		delete(f.at, server)
	}
}

// full returns the servers to which a body of n bytes may not be sent now.
func (f *flight) full(n int64) []string {
	if n < minFlight {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []string
	for server := range f.at {
		if !f.permitsLocked(server, n) {
			list = append(list, server)
		}
	}
	return list
}

// permitsLocked is add without adding, for callers that hold f.mu.
func (f *flight) permitsLocked(server string, n int64) bool {
	return f.at[server] == 0 || f.at[server]+n <= f.max
}

// most returns the bytes at the server with the most.
func (f *flight) most() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	var n int64
	for _, held := range f.at {
		n = max(n, held)
	}
	return n
}

// MostInFlight returns the bytes of large bodies that are in flight to the server with the most.
func (s *Relay) MostInFlight() int64 { return s.flight.most() }

// excludeFull excludes the servers to which the body may not be sent now from the choice of one, until the
// returned function is called.
func (q *request) excludeFull() (restore func()) {
	full := q.s.flight.full(int64(len(q.body)))
	q.flightFull = len(full) > 0
	if !q.flightFull {
		return func() {}
	}
	target, excluded := q.target, q.target.Exclude
	target.Exclude = append(slices.Clip(excluded), full...)
	return func() { target.Exclude = excluded }
}
