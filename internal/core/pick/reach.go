package pick

import "time"

// OnTrial reports whether this host may send nothing, or only single requests, to each of
// the servers because of failures that it has seen. It is false if there are no servers.
func (t *Table) OnTrial() bool {
	return t.all(func(s *server) bool { return s.failures >= failureThreshold || s.probation })
}

// Failing reports whether each of the servers has failed so that a request would be a test.
// It is false if there are no servers.
func (t *Table) Failing() bool {
	return t.all(func(s *server) bool { return s.failures >= failureThreshold })
}

// all reports whether a condition holds for each server that is not leaving, and there is
// one.
func (t *Table) all(holds func(*server) bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	found := false
	for _, s := range t.servers {
		if t.leaving(s) {
			continue
		}
		if !holds(s) {
			return false
		}
		found = true
	}
	return found
}

// TakeProbe withdraws a probe of a server's health from this host's part of its limits. It
// returns false if the server may get none now: it leaves, is evacuated, has requested a
// pause, has got what its limits allow, or has a refusal limit and no room for certain.
func (t *Table) TakeProbe(id string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[id]
	if s == nil || t.leaving(s) || t.pause(s, now) > 0 {
		return false
	}
	if full, _ := t.full(s, &Request{}, now); full {
		return false
	}
	a, limited := t.allowance(s, now)
	if !limited {
		return true
	}
	s.refill(a, now)
	if s.level < 1 {
		return false
	}
	s.level--
	return true
}

// Confirm records that a server has answered a probe of its health: it may get a request
// again, unless its probation forbids it.
func (t *Table) Confirm(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.servers[id]; s != nil {
		s.failures = 0
		s.downUntil = time.Time{}
	}
}

// SummaryVia is Summary for a host that does not reach the servers itself while others of
// its region do: its failures, and its parts of limits, do not count.
func (t *Table) SummaryVia(now time.Time) Summary {
	t.mu.Lock()
	defer t.mu.Unlock()
	var waits []time.Duration
	for _, s := range t.servers {
		if !t.leaving(s) && t.pause(s, now) == 0 && !now.Before(s.warmAt) {
			waits = append(waits, s.cost(s.total(), &Request{}, &t.model, 0, now).time)
		}
	}
	if len(waits) == 0 {
		return Summary{}
	}
	return Summary{Servers: len(waits), Wait: lowerMean(waits)}
}
