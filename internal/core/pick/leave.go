package pick

import "time"

// leavingTTL is how long the announcement of a leaving process is kept after it was last
// listed: its entry may expire and be written again, and a version of the configuration
// may leave its service out meanwhile.
const leavingTTL = 10 * time.Minute

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
	p := c.Process()
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
