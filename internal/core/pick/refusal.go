package pick

import (
	"maps"
	"time"
)

// RefusalLimit is what a response of a server process stated about its refusal limit, as
// hosts of a region report it to each other.
type RefusalLimit struct {
	Process Process `cbor:"1,keyasint"`
	// Limit is the number of requests that the server can refuse within a second. It
	// does not apply if Ended is set: the response stated no limit.
	Limit int  `cbor:"2,keyasint,omitempty"`
	Ended bool `cbor:"3,keyasint,omitempty"`
	// Age is the time since the response arrived.
	Age time.Duration `cbor:"4,keyasint"`
}

// refusalLimit is the newest statement about the refusal limit of a server process.
type refusalLimit struct {
	limit int
	ended bool
	// at is when the response arrived at this host or, unless local is set, at the
	// one that reported it.
	at    time.Time
	local bool
}

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
	return t.setRefusalLimit(c.Process(), refusalLimit{limit: limit, at: now, local: true})
}

// EndRefusalLimit records that a response of the server of a choice stated no refusal
// limit, and returns whether this ends one. As for EndLimit, the request must have been
// sent after the last response that stated one.
func (t *Table) EndRefusalLimit(c *Choice, now time.Time) (RefusalChange, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := c.Process()
	old, known := t.refusalLimits[p]
	if known && (old.ended || !c.sent.After(old.at)) || !known && !t.implied.stated {
		return RefusalChange{}, false
	}
	return t.setRefusalLimit(p, refusalLimit{ended: true, at: now, local: true})
}

// MergeRefusalLimits records the refusal limits that another host of the region has
// reported, in so far as its responses are newer than those that this host knows of. It
// returns what has changed.
func (t *Table) MergeRefusalLimits(list []RefusalLimit, received time.Time) []RefusalChange {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changes []RefusalChange
	for _, l := range list {
		at := received.Add(-l.Age)
		if old, known := t.refusalLimits[l.Process]; known && !at.After(old.at) {
			continue
		}
		if c, changed := t.setRefusalLimit(l.Process, refusalLimit{limit: l.Limit, ended: l.Ended, at: at}); changed {
			changes = append(changes, c)
		}
	}
	return changes
}

// setRefusalLimit replaces what is known of the refusal limit of a server process, and
// returns whether that changes it.
func (t *Table) setRefusalLimit(p Process, l refusalLimit) (RefusalChange, bool) {
	old, known := t.refusalLimits[p]
	t.refusalLimits[p] = l
	if known && old.ended == l.ended && old.limit == l.limit {
		return RefusalChange{}, false // most responses
	}
	t.implyRefusalLimit()
	if l.ended {
		return RefusalChange{Server: p.ID, Ended: true}, known
	}
	c := RefusalChange{Server: p.ID, Limit: l.limit}
	if s := t.servers[p.ID]; s != nil {
		r := t.hosts.room(s.room(&t.model), l.limit, t.rank(s))
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
		if !l.ended && (!t.implied.stated || l.limit < t.implied.limit) {
			t.implied = impliedLimit{limit: l.limit, stated: true}
		}
	}
}

// RefusalLimits returns the refusal limits that this host knows of from responses to its
// own requests.
func (t *Table) RefusalLimits(now time.Time) []RefusalLimit {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []RefusalLimit
	for p, l := range t.refusalLimits {
		if age := now.Sub(l.at); l.local && age <= limitTTL {
			list = append(list, RefusalLimit{Process: p, Limit: l.limit, Ended: l.ended, Age: max(age, 0)})
		}
	}
	return list
}

// refusalLimit returns the refusal limit that holds for a server, or false if there is
// none.
func (t *Table) refusalLimit(s *server) (int, bool) {
	if len(t.refusalLimits) == 0 {
		return 0, false
	}
	if l, known := t.refusalLimits[s.process()]; known {
		return l.limit, !l.ended
	}
	return t.implied.limit, t.implied.stated
}

// expireRefusalLimits removes what responses stated more than limitTTL ago.
func (t *Table) expireRefusalLimits(now time.Time) {
	maps.DeleteFunc(t.refusalLimits, func(_ Process, l refusalLimit) bool { return now.Sub(l.at) > limitTTL })
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
