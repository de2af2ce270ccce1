package pick

import "time"

// limitTTL is how long a limit is remembered after the last response that named it,
// and its end after the response that showed it.
const limitTTL = time.Minute

// namedLimit is what the last response of a server process stated about its limit.
type namedLimit struct {
	// rate is the limit in requests per second over all hosts. It does not apply if
	// ended is set: the response named no limit, but an earlier one did.
	rate  float64
	ended bool
	// at is when the response arrived.
	at time.Time
}

// NameLimit records that the server of a choice has named a limit, in requests per
// second over all hosts, and reports whether it differs from the last one.
func (t *Table) NameLimit(c *Choice, rate float64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := c.process()
	old, known := t.limits[p]
	t.limits[p] = namedLimit{rate: rate, at: now}
	return !known || old.ended || old.rate != rate
}

// EndLimit records that a response of the server of a choice named no limit, and
// reports whether this ends one. Responses may overtake each other, so that only
// a request which was sent after the last response with a limit can show its end.
func (t *Table) EndLimit(c *Choice, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := c.process()
	old, known := t.limits[p]
	if !known || old.ended || !c.sent.After(old.at) {
		return false
	}
	t.limits[p] = namedLimit{ended: true, at: now}
	return true
}

// limit returns the limit that a server process has named, or false if none applies.
func (t *Table) limit(p Process) (float64, bool) {
	l, ok := t.limits[p]
	return l.rate, ok && !l.ended
}

// expireLimits removes what responses stated more than limitTTL ago.
func (t *Table) expireLimits(now time.Time) {
	for p, l := range t.limits {
		if now.Sub(l.at) > limitTTL {
			delete(t.limits, p)
		}
	}
}

// LimitedServers returns the number of listed servers that name a limit, and the sum
// of their limits in requests per second over all hosts.
func (t *Table) LimitedServers() (servers int, rate float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.servers {
		if r, ok := t.limit(s.process()); ok {
			servers++
			rate += r
		}
	}
	return servers, rate
}
