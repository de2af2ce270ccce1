package pick

import (
	"maps"
	"time"
)

// limitTTL is how long a limit is remembered after the last response that stated it,
// and its end after the response that showed it.
const limitTTL = time.Minute

// Statement is what a response of a server process stated about one of its limits, as
// hosts of a region report it to each other.
type Statement[V comparable] struct {
	Process Process `cbor:"1,keyasint"`
	// Value is the limit. It does not apply if Ended is set: the response stated no
	// limit.
	Value V    `cbor:"2,keyasint,omitempty"`
	Ended bool `cbor:"3,keyasint,omitempty"`
	// Age is the time since the response arrived.
	Age time.Duration `cbor:"4,keyasint"`
}

// statement is the newest statement of a server process about one of its limits.
type statement[V comparable] struct {
	value V
	ended bool
	// at is when the response arrived at this host or, unless local is set, at the
	// one that reported it.
	at    time.Time
	local bool
}

// statements are the newest ones of server processes about the same kind of limit.
type statements[V comparable] map[Process]statement[V]

// limit returns the limit that a process has stated, or false if none applies.
func (m statements[V]) limit(p Process) (V, bool) {
	s, known := m[p]
	return s.value, known && !s.ended
}

// ends reports whether a response without a limit, to a request that was sent at a time,
// ends the limit of a process. Responses may overtake each other, so that only a request
// which was sent after the last response with a limit can show its end.
func (m statements[V]) ends(p Process, sent time.Time) bool {
	s, known := m[p]
	return known && !s.ended && sent.After(s.at)
}

// report returns the statements in responses to this host's own requests. Those that
// others have reported are left out: passing them on would make them seem newer each
// time.
func (m statements[V]) report(now time.Time) []Statement[V] {
	var list []Statement[V]
	for p, s := range m {
		if age := now.Sub(s.at); s.local && age <= limitTTL {
			list = append(list, Statement[V]{Process: p, Value: s.value, Ended: s.ended, Age: max(age, 0)})
		}
	}
	return list
}

// expire removes what responses stated more than limitTTL ago.
func (m statements[V]) expire(now time.Time) {
	maps.DeleteFunc(m, func(_ Process, s statement[V]) bool { return now.Sub(s.at) > limitTTL })
}

// merge passes the statements that another host has reported to set, in so far as its
// responses are newer than those that this host knows of. It returns what has changed.
func merge[V comparable, C any](m statements[V], list []Statement[V], received time.Time, set func(Process, statement[V]) (C, bool)) []C {
	var changes []C
	for _, r := range list {
		at := received.Add(-r.Age)
		if old, known := m[r.Process]; known && !at.After(old.at) {
			continue
		}
		if c, changed := set(r.Process, statement[V]{value: r.Value, ended: r.Ended, at: at}); changed {
			changes = append(changes, c)
		}
	}
	return changes
}
