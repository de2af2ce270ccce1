package poison

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/pick"
)

// broken are the parts of the requests that a process broke off, with their greatest
// positions, and the time of the first of these requests.
type broken struct {
	at    time.Time
	parts map[Part]int
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

// Broken records that a process broke off a request of this host before its response had
// begun. It counts as a crash once the process is known to have ended.
func (d *Detector) Broken(p pick.Process, parts []Part, now time.Time) []Change {
	if len(parts) == 0 {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.pending[p]
	if b == nil {
		maps.DeleteFunc(d.pending, func(_ pick.Process, b *broken) bool { return now.Sub(b.at) > pendingTTL })
		if len(d.pending) >= maxPending {
			return nil
		}
		b = &broken{at: now, parts: make(map[Part]int)}
		d.pending[p] = b
	}
	for i, part := range parts[:min(len(parts), MaxParts)] {
		if pos, ok := b.parts[part]; ok || len(b.parts) < maxPerBreak {
			b.parts[part] = max(pos, i)
		}
	}
	if at, ok := d.ended[p]; ok && now.Sub(at) <= pendingTTL {
		return d.confirm(p, now)
	}
	return nil
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
	for part, pos := range b.parts {
		added = d.addCrash(part, pos, crash{p, b.at, Own}, now) || added
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
	explained := map[pick.Process]bool{}
	counts := make(map[Part]int, len(d.crashed))
	for part := range d.crashed {
		counts[part] = d.countCrashes(part, explained, now)
	}
	list := slices.Collect(maps.Keys(counts))
	slices.SortFunc(list, func(a, b Part) int {
		return cmp.Or(cmp.Compare(counts[a], counts[b]), d.crashed[a].last.Compare(d.crashed[b].last))
	})
	for _, part := range list[:len(list)/4] {
		delete(d.crashed, part)
	}
}

// Begun records that a response to a request of this host with these parts has begun.
func (d *Detector) Begun(parts []Part, now time.Time) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	var changes []Change
	for _, part := range parts[:min(len(parts), MaxParts)] {
		changes = append(changes, d.recordBegun(part, now, Own, now)...)
	}
	return changes
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

// evaluate suspects the parts that explain the crashes best, the one with the most crashes
// first. A crash that a suspected part explains does not count for other parts.
func (d *Detector) evaluate(now time.Time) []Change {
	explained := d.explained()
	var changes []Change
	for {
		part, n := d.likeliest(explained, now)
		if n < threshold {
			return changes
		}
		d.suspect(part, &suspect{since: now, asked: now, own: d.crashedHere(part)})
		for _, x := range d.crashed[part].list {
			explained[x.process] = true
		}
		changes = append(changes, Change{Part: part, Crashes: n})
	}
}

// explained returns the processes that ended under a suspected part.
func (d *Detector) explained() map[pick.Process]bool {
	set := make(map[pick.Process]bool)
	for part := range d.suspects {
		if c := d.crashed[part]; c != nil {
			for _, x := range c.list {
				set[x.process] = true
			}
		}
	}
	return set
}

// likeliest returns the part that is not suspected and has the most crashes that are not
// explained, with their number. Of parts with equally many it is the one under which no
// response has begun for longest, then the one that comes latest in its prompts: earlier
// parts are shared by more requests.
func (d *Detector) likeliest(explained map[pick.Process]bool, now time.Time) (Part, int) {
	var best Part
	most := 0
	for part, c := range d.crashed {
		if d.suspects[part] != nil {
			continue
		}
		n := d.countCrashes(part, explained, now)
		if n > most || n == most && n > 0 && d.likelier(part, c.position, best) {
			best, most = part, n
		}
	}
	return best, most
}

// likelier reports whether a part at a position is a likelier cause than another one with
// as many crashes.
func (d *Detector) likelier(part Part, position int, other Part) bool {
	if c := d.begun.at(part).Compare(d.begun.at(other)); c != 0 {
		return c < 0
	}
	if p := d.crashed[other].position; p != position {
		return position > p
	}
	return part < other
}

// countCrashes returns the number of crashes under a part since a response to a request
// with it last began, without those that are explained. Crashes within spacing of one
// another count once.
func (d *Detector) countCrashes(part Part, explained map[pick.Process]bool, now time.Time) int {
	begun := d.begun.at(part)
	var times []time.Time
	for _, x := range d.crashed[part].list {
		if x.at.After(begun) && now.Sub(x.at) <= crashTTL && !explained[x.process] {
			times = append(times, x.at)
		}
	}
	return countSpaced(times)
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
