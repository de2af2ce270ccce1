// Package roster decides among which hosts of a region a limit over all of them is divided,
// and until when this host may use its part.
//
// Each host divides by its own view of who the others are. The parts add up to no more than
// the limit if of any two hosts that use one each counts the other. So a part is a lease: a
// host uses it only for a time after the others are last known to count it, and this time is
// shorter than that for which they do. Two things show that they count it: they have received its
// frames, or its entry in the store is alive and they read lists. Planned stops need no such time, since
// the host that stops says so and uses its part no longer.
package roster

import (
	"maps"
	"slices"
	"time"
)

const (
	// listLease is how long a host may use its part after its list was last known to be current,
	// and entryLease after it has renewed its own entry: this is below the time to live of the entry,
	// so that it is in all lists which are read meanwhile.
	listLease  = 6 * time.Second
	entryLease = 8 * time.Second
	// echoLease is how long a host may use its part after it has sent what all others received.
	// It is below memory and the time for which a host counts as heard of.
	echoLease = 3500 * time.Millisecond
	// memory is how long a host counts one that is neither listed nor heard of any more.
	memory = 2500 * time.Millisecond
	// lateMemory is how long a host that is gone may come back while this one can't read lists
	// any more, and divide limits without it.
	lateMemory = time.Minute
	// exitTime is how long a host is listed at most after the last frame in which it has
	// said that it leaves. One that is listed later has started again.
	exitTime = 4 * time.Second
)

// Peer is another host of the region from which a frame has arrived lately.
type Peer struct {
	Name string
	// Leaving is set if the peer stops soon.
	Leaving bool
	// Echo is when this host sent the last frame that the peer has received, or zero if
	// that is unknown.
	Echo time.Time
}

// View is what this host knows of its region at a moment.
type View struct {
	Self string
	// Listed are the registered hosts, and ListedAt is when the list was last known to be
	// current, or zero if it never was.
	Listed   []string
	ListedAt time.Time
	// EntryAt is when the entry of this host was written that is in the store, and RenewedAt when
	// it was last renewed. Both are zero as long as there is none.
	EntryAt, RenewedAt time.Time

	Peers []Peer
	// Leaving is set if this host stops soon.
	Leaving bool
}

// Members are the hosts among which limits are divided.
type Members struct {
	// Names are sorted and include this host.
	Names []string
	// Lately is the number of hosts, with this one, that were known within lateMemory: for
	// limits of which no part is missed so soon.
	Lately int
	// Until is when this host has to give up its part, unless a later view extends it. It is
	// never zero.
	Until time.Time
}

// Holds reports whether this host may use its part at now.
func (m Members) Holds(now time.Time) bool { return now.Before(m.Until) }

// Roster is the memory of one host. It is not safe for concurrent use. The zero value is
// ready to use.
type Roster struct {
	// First is set when the whole system starts with this host: no other one has a part yet,
	// so that it need not wait for its own.
	First bool

	seen       map[string]time.Time // when a host was last listed or heard of
	known      map[string]time.Time // when a host was last listed or heard of, also one that leaves
	left       map[string]time.Time // when a host has last said that it leaves
	echoes     map[string]time.Time // when this host sent the last frame that a host has received
	firstEntry time.Time            // the first EntryAt
	listed     bool                 // whether the list was ever current
}

// Update returns the members by a view and by what was known before.
func (r *Roster) Update(v View, now time.Time) Members {
	if r.seen == nil {
		r.seen, r.left = make(map[string]time.Time), make(map[string]time.Time)
		r.known, r.echoes = make(map[string]time.Time), make(map[string]time.Time)
	}
	r.hear(v.Peers, now)
	r.read(v, now)
	r.expire(v, now)
	r.listed = r.listed || v.current(now)
	r.seen[v.Self], r.known[v.Self] = now, now
	m := Members{Names: slices.Sorted(maps.Keys(r.seen)), Lately: len(r.known), Until: now}
	if v.Leaving {
		m.Names = withPeers(m.Names, v.Peers)
	} else {
		m.Until = later(now, later(r.untilListed(v, now), r.untilEchoed(v, now)))
	}
	return m
}

// withPeers adds the names of peers, also those that leave: hosts that leave together divide what
// they may still use among all of them.
func withPeers(names []string, peers []Peer) []string {
	for _, p := range peers {
		names = append(names, p.Name)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// hear records from which hosts frames have arrived.
func (r *Roster) hear(peers []Peer, now time.Time) {
	for _, p := range peers {
		r.known[p.Name] = now
		if p.Leaving {
			r.left[p.Name] = now
			delete(r.seen, p.Name)
			continue
		}
		delete(r.left, p.Name)
		r.seen[p.Name] = now
		r.echoes[p.Name] = later(r.echoes[p.Name], p.Echo)
	}
}

// read records which hosts are listed.
func (r *Roster) read(v View, now time.Time) {
	for _, name := range v.Listed {
		r.known[name] = now
		if at, left := r.left[name]; !left || v.ListedAt.Sub(at) > exitTime {
			r.seen[name] = now
		}
	}
}

// expire removes the hosts of which nothing was known for memory, and for lateMemory while the
// list was current.
func (r *Roster) expire(v View, now time.Time) {
	maps.DeleteFunc(r.seen, func(_ string, at time.Time) bool { return now.Sub(at) > memory })
	maps.DeleteFunc(r.left, func(name string, at time.Time) bool {
		return now.Sub(at) > memory && !slices.Contains(v.Listed, name)
	})
	if v.current(now) {
		maps.DeleteFunc(r.known, func(_ string, at time.Time) bool { return now.Sub(at) > lateMemory })
	}
	maps.DeleteFunc(r.echoes, func(name string, _ time.Time) bool { return r.known[name].IsZero() })
}

// current reports whether the list is known to have been current lately.
func (v *View) current(now time.Time) bool { return now.Sub(v.ListedAt) <= listLease }

// attested reports whether all lists that are current name this host: the last one does, and its
// entry was renewed lately. Two hosts with such lists can't both lack the other one.
func (v *View) attested(now time.Time) bool {
	return v.current(now) && now.Sub(v.RenewedAt) <= entryLease && slices.Contains(v.Listed, v.Self)
}

// untilListed returns until when this host may use its part by the store. Any other one that does
// so has read a list with this host in it.
func (r *Roster) untilListed(v View, now time.Time) time.Time {
	if v.EntryAt.IsZero() || v.ListedAt.IsZero() || !slices.Contains(v.Listed, v.Self) {
		return time.Time{}
	}
	if r.firstEntry.IsZero() {
		r.firstEntry = v.EntryAt
	}
	initial := r.First && v.EntryAt.Sub(r.firstEntry) < time.Second
	if !initial && now.Sub(v.EntryAt) < listLease {
		return time.Time{} // others may use their parts by an older list
	}
	list, entry := v.ListedAt.Add(listLease), v.RenewedAt.Add(entryLease)
	if entry.Before(list) {
		return entry
	}
	return list
}

// untilEchoed returns until when this host may use its part since all others have heard of it: those
// that it counts or, if its list is old or lacks its entry, all that may have come back since. Then there
// must be others, and the list must have been current once: a host that hears nobody can't tell an outage
// of the store from being cut off itself. A host without an entry is not known to those that it does
// not hear.
func (r *Roster) untilEchoed(v View, now time.Time) time.Time {
	if v.EntryAt.IsZero() {
		return time.Time{}
	}
	others := r.seen
	if !v.attested(now) {
		others = r.known
		if !r.listed || len(others) < 2 {
			return time.Time{}
		}
	}
	oldest := now
	for name := range others {
		if at := r.echoes[name]; name != v.Self && at.Before(oldest) {
			oldest = at
		}
	}
	return oldest.Add(echoLease)
}

// later returns the later one of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
