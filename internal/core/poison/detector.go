package poison

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/pick"
)

// broken are the parts of the requests that a process broke off, and the time at which it
// broke off the first of them.
type broken struct {
	at    time.Time
	parts map[Part]brokenPart
}

// brokenPart is the greatest position of a part in the requests that have it, and when the last of
// them was sent.
type brokenPart struct {
	position int
	sent     time.Time
}

// Detector finds the parts of prompts that make the servers of one service crash.
type Detector struct {
	mu sync.Mutex
	// pending are requests of this host that broke off and whose process may still
	// run; ended are processes that are known to have ended.
	pending map[pick.Process]*broken
	ended   map[pick.Process]time.Time
	crashed map[Part]*crashes
	begun   recent
	// suspects are the suspected parts, cleared those that were suspected wrongly.
	suspects map[Part]*suspect
	cleared  map[Part]clearance
	// records are the revisions of the store's records that were taken over.
	records map[Part]Record
}

// NewDetector returns a detector without suspicions.
func NewDetector() *Detector {
	return &Detector{
		pending: make(map[pick.Process]*broken), ended: make(map[pick.Process]time.Time), crashed: make(map[Part]*crashes),
		suspects: make(map[Part]*suspect), cleared: make(map[Part]clearance), records: make(map[Part]Record),
	}
}

// Broken records that a process broke off a request of this host that was sent at a time.
// The argument parts holds its parts if the response had not begun, and the whole request.
// It counts as a crash once the process is known to have ended. Broken reports whether
// this is the first such request to the process, so that it should be checked whether it
// has ended.
func (d *Detector) Broken(p pick.Process, parts []Part, sent, now time.Time) (changes []Change, first bool) {
	if len(parts) == 0 {
		return nil, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.pending[p]
	if b == nil {
		maps.DeleteFunc(d.pending, func(_ pick.Process, b *broken) bool { return now.Sub(b.at) > pendingTTL })
		if len(d.pending) >= maxPending {
			return nil, false
		}
		b = &broken{at: now, parts: make(map[Part]brokenPart)}
		d.pending[p] = b
		first = true
	}
	for i, part := range parts[:min(len(parts), MaxParts+1)] {
		m, ok := b.parts[part]
		if !ok && len(b.parts) >= maxPerBreak {
			continue
		}
		m.position = max(m.position, i)
		if part.Whole() {
			m.position = MaxParts
		}
		if sent.After(m.sent) {
			m.sent = sent
		}
		b.parts[part] = m
	}
	if at, ok := d.ended[p]; ok && now.Sub(at) <= pendingTTL {
		return d.confirm(p, now), false
	}
	return nil, first
}

// Ended records that a process has ended: it no longer accepts connections, or another one
// has taken its place.
func (d *Detector) Ended(p pick.Process, now time.Time) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.recordEnd(p, now)
}

// Listed records the processes that the store lists. Those whose requests broke off and
// that are not listed have ended.
func (d *Detector) Listed(listed map[pick.Process]bool, now time.Time) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	var changes []Change
	for p, b := range d.pending {
		if !listed[p] && now.Sub(b.at) <= pendingTTL {
			changes = append(changes, d.recordEnd(p, now)...)
		}
	}
	return changes
}

// recordEnd is Ended for callers that hold d.mu.
func (d *Detector) recordEnd(p pick.Process, now time.Time) []Change {
	if len(d.ended) >= maxEnded {
		maps.DeleteFunc(d.ended, func(_ pick.Process, at time.Time) bool { return now.Sub(at) > pendingTTL })
	}
	if len(d.ended) < maxEnded {
		d.ended[p] = now
	}
	return d.confirm(p, now)
}

// confirm turns the requests that broke off with a process into crashes.
func (d *Detector) confirm(p pick.Process, now time.Time) []Change {
	b := d.pending[p]
	delete(d.pending, p)
	if b == nil || now.Sub(b.at) > pendingTTL {
		return nil
	}
	added := false
	for part, m := range b.parts {
		added = d.addCrash(part, m.position, crash{p, m.sent, b.at, Own}, now) || added
	}
	if !added {
		return nil
	}
	return d.evaluate(now)
}

// addCrash records a crash under a part and reports whether it is new.
func (d *Detector) addCrash(part Part, position int, x crash, now time.Time) bool {
	c := d.crashed[part]
	if c == nil {
		if len(d.crashed) >= maxCrashed {
			d.evict(now)
		}
		c = &crashes{}
		d.crashed[part] = c
	}
	if s := d.suspects[part]; s != nil && x.scope == Own {
		s.own = true
	}
	return c.add(x, position)
}

// evict removes a quarter of the parts with crashes: those under which a response has begun
// since or whose last crash is too long ago, then those with the fewest crashes and the
// oldest last one.
func (d *Detector) evict(now time.Time) {
	type entry struct {
		part Part
		n    int
		last time.Time
	}
	list := make([]entry, 0, len(d.crashed))
	for part, c := range d.crashed {
		n, _ := d.countCrashes(part, nil, now)
		list = append(list, entry{part, n, c.last})
	}
	slices.SortFunc(list, func(a, b entry) int { return cmp.Or(cmp.Compare(a.n, b.n), a.last.Compare(b.last)) })
	for _, e := range list[:len(list)/4] {
		delete(d.crashed, e.part)
	}
}

// Begun records that a response to a request of this host with these parts has begun, or,
// for a whole request, is complete.
func (d *Detector) Begun(parts []Part, now time.Time) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	var changes []Change
	for _, part := range parts[:min(len(parts), MaxParts)] {
		// Most whole requests come once: those that broke nothing need no memory.
		if !part.Whole() || d.known(part) {
			changes = append(changes, d.recordBegun(part, now, Own, now)...)
		}
	}
	return changes
}

// Watching reports whether requests with some part have broken off or are suspected. As long as
// it does not, nothing need be known of the responses to whole requests.
func (d *Detector) Watching() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.crashed)+len(d.suspects)+len(d.pending) > 0
}

// known reports whether a process has broken off a request with a part.
func (d *Detector) known(part Part) bool {
	if d.crashed[part] != nil || d.suspects[part] != nil {
		return true
	}
	for _, b := range d.pending {
		if _, ok := b.parts[part]; ok {
			return true
		}
	}
	return false
}

// recordBegun records that a response to a request with a part began at a time, and ends
// the suspicion of the part if it is older.
func (d *Detector) recordBegun(part Part, at time.Time, s Scope, now time.Time) []Change {
	d.begun.add(part, at, s)
	suspected := d.suspects[part]
	if suspected == nil || !d.begunSince(part, suspected.since) {
		return nil
	}
	delete(d.suspects, part)
	if len(d.cleared) >= maxCleared {
		maps.DeleteFunc(d.cleared, func(_ Part, c clearance) bool { return now.Sub(c.at) > clearedTTL })
	}
	if len(d.cleared) < maxCleared {
		d.cleared[part] = clearance{at: now, own: s == Own}
	}
	return []Change{{Part: part, Cleared: true}}
}

// begunSince reports whether a response to a request with a part has begun after a time,
// as far as times of different hosts can be compared.
func (d *Detector) begunSince(part Part, since time.Time) bool {
	return d.begun.at(part).After(since.Add(-maxSkew))
}

// crashedHere reports whether this host has lost a request with a part in a crash.
func (d *Detector) crashedHere(part Part) bool {
	for _, x := range d.crashed[part].list {
		if x.scope == Own {
			return true
		}
	}
	return false
}
