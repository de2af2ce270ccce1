package pick

import (
	"slices"
	"time"
)

const (
	// keepDeparted is how long a process that said that it leaves is kept in
	// mind after it was last listed: its entry may lapse and come back.
	keepDeparted = time.Minute
	// maxRest bounds how long a server that wants no requests is left alone.
	maxRest = 10 * time.Minute
)

// Process is one start of a backend server.
type Process struct {
	ID string `cbor:"1,keyasint"`
	// Born is the start in Unix milliseconds.
	Born int64 `cbor:"2,keyasint"`
}

// process returns the process that an entry stands for.
func (s *server) process() Process { return Process{ID: s.ID, Born: s.Born} }

// Leaves records that the server of a choice has said that it leaves, and
// reports whether that is news.
func (t *Table) Leaves(c *Choice, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := Process{ID: c.ID, Born: c.born}
	_, known := t.departed[p]
	t.departed[p] = now
	return !known
}

// Depart records processes that other hosts know to leave.
func (t *Table) Depart(list []Process, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range list {
		if _, ok := t.departed[p]; !ok {
			t.departed[p] = now
		}
	}
}

// Departed returns the processes that have said that they leave and that are
// still listed as if they stayed.
func (t *Table) Departed() []Process {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Process
	for p := range t.departed {
		if s := t.servers[p.ID]; s != nil && s.process() == p && !s.Leaving {
			list = append(list, p)
		}
	}
	return list
}

// leaving reports whether a server gets no new requests because it leaves or
// its data centre is evacuated.
func (t *Table) leaving(s *server) bool {
	if s.Leaving || s.evacuated {
		return true
	}
	_, departed := t.departed[s.process()]
	return departed
}

// forget drops processes that have not been listed for long.
func (t *Table) forget(now time.Time) {
	for p, at := range t.departed {
		s := t.servers[p.ID]
		switch {
		case s != nil && s.process() == p:
			t.departed[p] = now
		case now.Sub(at) > keepDeparted:
			delete(t.departed, p)
		}
	}
}

// Rest records that the server of a choice wants no requests of this host for
// a time, and reports whether it rests only since now.
func (t *Table) Rest(c *Choice, d time.Duration, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := c.server
	if s.Born != c.born {
		return false // another process has taken its place
	}
	rested := now.Before(s.restUntil)
	if until := now.Add(min(d, maxRest)); until.After(s.restUntil) {
		s.restUntil = until
	}
	return !rested
}

// Rests returns how long it takes until the first of the resting servers may
// get a request, or false when none rests.
func (t *Table) Rests(req *Request, now time.Time) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	least := time.Duration(-1)
	for _, s := range t.servers {
		d := s.restUntil.Sub(now)
		if d <= 0 || t.leaving(s) || slices.Contains(req.Exclude, s.ID) {
			continue
		}
		if least < 0 || d < least {
			least = d
		}
	}
	return least, least >= 0
}
