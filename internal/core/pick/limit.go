package pick

import "time"

// ServerLimit is what a response of a server process stated about its limit in requests
// per second over all hosts.
type ServerLimit = Statement[float64]

// LimitChange is a change of the limit of a server.
type LimitChange struct {
	Server string
	// Limit is the new limit in requests per second over all hosts, and Part that of
	// this host. They do not apply if Ended is set: the server has no limit any more.
	Limit, Part float64
	Ended       bool
}

// NameLimit records that the server of a choice has named a limit, in requests per
// second over all hosts, and returns whether it differs from the last one.
func (t *Table) NameLimit(c *Choice, limit float64, now time.Time) (LimitChange, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.setLimit(c.Process(), statement[float64]{value: limit, at: now, local: true}, now)
}

// EndLimit records that a response of the server of a choice named no limit, and
// returns whether this ends one.
func (t *Table) EndLimit(c *Choice, now time.Time) (LimitChange, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := c.Process()
	if !t.limits.ends(p, c.sent) {
		return LimitChange{}, false
	}
	return t.setLimit(p, statement[float64]{ended: true, at: now, local: true}, now)
}

// MergeLimits records the limits that another host of the region has reported, in so
// far as its responses are newer than those that this host knows of. It returns what
// has changed.
func (t *Table) MergeLimits(list []ServerLimit, received time.Time) []LimitChange {
	t.mu.Lock()
	defer t.mu.Unlock()
	return merge(t.limits, list, received, func(p Process, l statement[float64]) (LimitChange, bool) {
		return t.setLimit(p, l, received)
	})
}

// setLimit replaces what is known of the limit of a server process, and returns whether
// that changes it. When a limit begins, the token bucket is empty: the server has just
// got more requests than it takes.
func (t *Table) setLimit(p Process, l statement[float64], now time.Time) (LimitChange, bool) {
	old, limited := t.limits.limit(p)
	t.limits[p] = l
	if l.ended {
		return LimitChange{Server: p.ID, Ended: true}, limited
	}
	if s := t.servers[p.ID]; s != nil && !limited {
		s.level = 0
		s.refilledAt = now
	}
	if limited && old == l.value {
		return LimitChange{}, false // most responses: the part takes a hash for each host
	}
	part := t.hostsAt(now).named(l.value, t.hosts.rank(p.ID)).rate
	return LimitChange{Server: p.ID, Limit: l.value, Part: part}, true
}

// Limits returns the limits that this host knows of from responses to its own requests.
func (t *Table) Limits(now time.Time) []ServerLimit {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limits.report(now)
}

// LimitedServers returns the number of listed servers that name a limit, and the sum
// of their limits in requests per second over all hosts.
func (t *Table) LimitedServers() (servers int, rate float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.servers {
		if r, ok := t.limits.limit(s.process()); ok {
			servers++
			rate += r
		}
	}
	return servers, rate
}
