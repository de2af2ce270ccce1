package pick

import (
	"maps"
	"slices"
	"time"
)

const (
	// leavingTTL is how long the announcement of a leaving process is kept after
	// it was last listed: its entry may expire and be written again.
	leavingTTL = time.Minute
	// maxPause bounds the pause that a server may request.
	maxPause = 10 * time.Minute
)

// Process is a process of a backend server; a restart makes a new one.
type Process struct {
	ID string `cbor:"1,keyasint"`
	// Born is when the process started, in Unix milliseconds.
	Born int64 `cbor:"2,keyasint"`
}

// process returns the process that the server's entry describes.
func (s *server) process() Process { return Process{ID: s.ID, Born: s.Born} }

// MarkLeaving records that the server of a choice has announced that it leaves, and
// reports whether this was unknown before.
func (t *Table) MarkLeaving(c *Choice, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := c.process()
	_, announced := t.leavingProcesses[p]
	t.leavingProcesses[p] = now
	return !announced
}

// MergeLeaving records processes that leave according to reports of other hosts.
func (t *Table) MergeLeaving(list []Process, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range list {
		if _, ok := t.leavingProcesses[p]; !ok {
			t.leavingProcesses[p] = now
		}
	}
}

// LeavingProcesses returns the processes that have announced that they leave but
// whose entries do not yet show it.
func (t *Table) LeavingProcesses() []Process {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Process
	for p := range t.leavingProcesses {
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
	_, announced := t.leavingProcesses[s.process()]
	return announced
}

// expireLeaving removes leaving processes that were last listed more than leavingTTL
// ago.
func (t *Table) expireLeaving(now time.Time) {
	for p, at := range t.leavingProcesses {
		s := t.servers[p.ID]
		switch {
		case s != nil && s.process() == p:
			t.leavingProcesses[p] = now
		case now.Sub(at) > leavingTTL:
			delete(t.leavingProcesses, p)
		}
	}
}

// Pause records that the server of a choice has asked this host to pause its requests
// for a time, and reports whether the host was not pausing them already.
func (t *Table) Pause(c *Choice, d time.Duration, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := c.process()
	old := t.pauses[p]
	if until := now.Add(min(d, maxPause)); until.After(old) {
		t.pauses[p] = until
	}
	return !now.Before(old)
}

// pause returns the time until the end of the pause that a server has requested, 0 if
// there is none.
func (t *Table) pause(s *server, now time.Time) time.Duration {
	return max(t.pauses[s.process()].Sub(now), 0)
}

// expirePauses removes the pauses that have ended.
func (t *Table) expirePauses(now time.Time) {
	maps.DeleteFunc(t.pauses, func(_ Process, until time.Time) bool { return !now.Before(until) })
}

// Wait is the time until a server accepts a request that it does not accept now.
type Wait struct {
	For time.Duration
	// Limited is set if the server's allowance is used up, and unset if the server
	// has requested a pause.
	Limited bool
}

// ShortestWait returns the wait for the first of the servers that accept no request
// because of a pause or an allowance, or false if there is none. Excluded and leaving
// servers do not count.
func (t *Table) ShortestWait(req *Request, now time.Time) (Wait, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var shortest Wait
	found := false
	for _, s := range t.servers {
		if t.leaving(s) || slices.Contains(req.Exclude, s.ID) {
			continue
		}
		if w := t.wait(s, now); w.For > 0 && (!found || w.For < shortest.For) {
			shortest = w
			found = true
		}
	}
	return shortest, found
}

// wait returns the wait for a server, which is zero if neither a pause nor an
// allowance keeps a request from it. The allowance of a failed server does not count:
// its backoff does.
func (t *Table) wait(s *server, now time.Time) Wait {
	w := Wait{For: t.pause(s, now)}
	a, limited := t.allowance(s, now)
	if !limited || s.failures >= failureThreshold {
		return w
	}
	s.refill(a, now)
	if d := a.refillTime(s.level); d > w.For {
		w = Wait{For: d, Limited: true}
	}
	return w
}
