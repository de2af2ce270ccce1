package pick

import (
	"maps"
	"time"
)

// limitTTL is how long a limit is remembered after the last response that named it,
// and its end after the response that showed it.
const limitTTL = time.Minute

// ServerLimit is what a response of a server process stated about its limit, as hosts
// of a region report it to each other.
type ServerLimit struct {
	Process Process `cbor:"1,keyasint"`
	// Rate is the limit in requests per second over all hosts. It does not apply if
	// Ended is set: the response named no limit, but an earlier one did.
	Rate  float64 `cbor:"2,keyasint,omitempty"`
	Ended bool    `cbor:"3,keyasint,omitempty"`
	// Age is the time since the response arrived.
	Age time.Duration `cbor:"4,keyasint"`
}

// namedLimit is the newest statement about the limit of a server process.
type namedLimit struct {
	rate  float64
	ended bool
	// at is when the response arrived at this host or, unless local is set, at the
	// one that reported it.
	at    time.Time
	local bool
}

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
	return t.setLimit(c.Process(), namedLimit{rate: limit, at: now, local: true}, now)
}

// EndLimit records that a response of the server of a choice named no limit, and
// returns whether this ends one. Responses may overtake each other, so that only
// a request which was sent after the last response with a limit can show its end.
func (t *Table) EndLimit(c *Choice, now time.Time) (LimitChange, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := c.Process()
	old, known := t.limits[p]
	if !known || old.ended || !c.sent.After(old.at) {
		return LimitChange{}, false
	}
	return t.setLimit(p, namedLimit{ended: true, at: now, local: true}, now)
}

// MergeLimits records the limits that another host of the region has reported, in so
// far as its responses are newer than those that this host knows of. It returns what
// has changed.
func (t *Table) MergeLimits(list []ServerLimit, received time.Time) []LimitChange {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changes []LimitChange
	for _, l := range list {
		at := received.Add(-l.Age)
		if old, known := t.limits[l.Process]; known && !at.After(old.at) {
			continue
		}
		if c, changed := t.setLimit(l.Process, namedLimit{rate: l.Rate, ended: l.Ended, at: at}, received); changed {
			changes = append(changes, c)
		}
	}
	return changes
}

// setLimit replaces what is known of the limit of a server process, and returns whether
// that changes it. When a limit begins, the token bucket is empty: the server has just
// got more requests than it takes.
func (t *Table) setLimit(p Process, l namedLimit, now time.Time) (LimitChange, bool) {
	old, limited := t.limit(p)
	t.limits[p] = l
	if l.ended {
		return LimitChange{Server: p.ID, Ended: true}, limited
	}
	if s := t.servers[p.ID]; s != nil && !limited {
		s.level = 0
		s.refilledAt = now
	}
	if limited && old == l.rate {
		return LimitChange{}, false // most responses: the part takes a hash for each host
	}
	part := t.hostsAt(now).named(l.rate, t.hosts.rank(p.ID)).rate
	return LimitChange{Server: p.ID, Limit: l.rate, Part: part}, true
}

// Limits returns the limits that this host knows of from responses to its own requests.
// Those that others have reported are left out: passing them on would make them
// seem newer each time.
func (t *Table) Limits(now time.Time) []ServerLimit {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []ServerLimit
	for p, l := range t.limits {
		if age := now.Sub(l.at); l.local && age <= limitTTL {
			list = append(list, ServerLimit{Process: p, Rate: l.rate, Ended: l.ended, Age: max(age, 0)})
		}
	}
	return list
}

// limit returns the limit that a server process has named, or false if none applies.
func (t *Table) limit(p Process) (float64, bool) {
	l, ok := t.limits[p]
	return l.rate, ok && !l.ended
}

// expireLimits removes what responses stated more than limitTTL ago.
func (t *Table) expireLimits(now time.Time) {
	maps.DeleteFunc(t.limits, func(_ Process, l namedLimit) bool { return now.Sub(l.at) > limitTTL })
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
