package pick

import "time"

// RefusalLimit is what a response of a server process stated about its refusal limit: the
// number of requests that it can refuse within a second.
type RefusalLimit = Statement[int]

// RefusalChange is a change of the refusal limit of a server.
type RefusalChange struct {
	Server string
	// Limit is the new limit, Room the number of requests that this host may have in
	// progress at the server at once, and Part how many of its refusals this host may
	// cause within a second. They do not apply if Ended is set.
	Limit, Room, Part int
	Ended             bool
}

// StateRefusalLimit records that the server of a choice has stated a refusal limit, and
// returns whether it differs from the last one.
func (t *Table) StateRefusalLimit(c *Choice, limit int, now time.Time) (RefusalChange, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.setRefusalLimit(c.Process(), statement[int]{value: limit, at: now, local: true})
}

// EndRefusalLimit records that a response of the server of a choice stated no refusal
// limit, and returns whether this ends one, or the limit that is implied for it.
func (t *Table) EndRefusalLimit(c *Choice, now time.Time) (RefusalChange, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := c.Process()
	if _, known := t.refusalLimits[p]; known && !t.refusalLimits.ends(p, c.sent) || !known && !t.implied.stated {
		return RefusalChange{}, false
	}
	return t.setRefusalLimit(p, statement[int]{ended: true, at: now, local: true})
}

// MergeRefusalLimits records the refusal limits that another host of the region has
// reported, in so far as its responses are newer than those that this host knows of. It
// returns what has changed.
func (t *Table) MergeRefusalLimits(list []RefusalLimit, received time.Time) []RefusalChange {
	t.mu.Lock()
	defer t.mu.Unlock()
	return merge(t.refusalLimits, list, received, t.setRefusalLimit)
}

// setRefusalLimit replaces what is known of the refusal limit of a server process, and
// returns whether that changes it.
func (t *Table) setRefusalLimit(p Process, l statement[int]) (RefusalChange, bool) {
	old, known := t.refusalLimits[p]
	t.refusalLimits[p] = l
	if known && old.ended == l.ended && old.value == l.value {
		return RefusalChange{}, false // most responses
	}
	t.implyRefusalLimit()
	if l.ended {
		return RefusalChange{Server: p.ID, Ended: true}, known
	}
	c := RefusalChange{Server: p.ID, Limit: l.value}
	if s := t.servers[p.ID]; s != nil {
		r := t.hosts.room(s.room(&t.model), l.value, t.rank(s))
		c.Room, c.Part = r.own, r.refusals
	}
	return c, true
}

// impliedLimit is the least refusal limit that processes of the service state. It holds
// for a process of which no response is known yet, such as one that has just fallen over
// and started again.
type impliedLimit struct {
	limit  int
	stated bool
}

// implyRefusalLimit computes the implied limit.
func (t *Table) implyRefusalLimit() {
	t.implied = impliedLimit{}
	for _, l := range t.refusalLimits {
		if !l.ended && (!t.implied.stated || l.value < t.implied.limit) {
			t.implied = impliedLimit{limit: l.value, stated: true}
		}
	}
}

// RefusalLimits returns the refusal limits that this host knows of from responses to its
// own requests.
func (t *Table) RefusalLimits(now time.Time) []RefusalLimit {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.refusalLimits.report(now)
}

// refusalLimit returns the refusal limit that holds for a server, or false if there is
// none.
func (t *Table) refusalLimit(s *server) (int, bool) {
	if len(t.refusalLimits) == 0 {
		return 0, false
	}
	if l, known := t.refusalLimits[s.process()]; known {
		return l.value, !l.ended
	}
	return t.implied.limit, t.implied.stated
}

// expireRefusalLimits removes what responses stated more than limitTTL ago.
func (t *Table) expireRefusalLimits(now time.Time) {
	t.refusalLimits.expire(now)
	t.implyRefusalLimit()
}

// RefusalLimited returns the number of listed servers with a refusal limit.
func (t *Table) RefusalLimited() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, s := range t.servers {
		if _, limited := t.refusalLimit(s); limited {
			n++
		}
	}
	return n
}
