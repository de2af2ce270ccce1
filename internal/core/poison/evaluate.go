package poison

import (
	"cmp"
	"slices"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/pick"
)

// evaluate suspects the parts that explain the crashes best, the one with the most crashes
// first. A crash that a suspected part explains does not count for other parts.
func (d *Detector) evaluate(now time.Time) []Change {
	explained := d.explained()
	var changes []Change
	for {
		list := d.candidates(explained, partThreshold, now)
		i := slices.IndexFunc(list, candidate.suspicious)
		if i < 0 {
			return changes
		}
		c := list[i]
		d.suspect(c.part, &suspect{since: now, asked: now, own: d.crashedHere(c.part)})
		explained.add(c.part, c.crashes)
		changes = append(changes, Change{Part: c.part, Crashes: c.n})
	}
}

// causes holds the processes that ended under a suspected part, and whether this part is one
// of prompts. A suspected request explains a crash for other requests, but for parts of
// prompts only in part.
type causes map[pick.Process]bool

// add adds the crashes under a suspected part.
func (s causes) add(part Part, c *crashes) {
	for _, x := range c.list {
		s[x.process] = s[x.process] || !part.Whole()
	}
}

// explained returns the processes that ended under a suspected part.
func (d *Detector) explained() causes {
	set := make(causes)
	for part := range d.suspects {
		if c := d.crashed[part]; c != nil {
			set.add(part, c)
		}
	}
	return set
}

// candidate is a part that may make servers crash, with the number of its crashes that are
// not explained, and when a response to a request with it last began. The flag shared is
// set if a suspected request explains further crashes under it.
type candidate struct {
	*crashes
	part   Part
	n      int
	shared bool
	begun  time.Time
}

// suspicious reports whether enough processes have ended under the part.
func (c candidate) suspicious() bool {
	return c.n >= threshold || c.n >= partThreshold && c.shared && !c.part.Whole()
}

// compare orders candidates: those with the most crashes first, then those under which no
// response has begun for longest, then those that come latest in their prompts, since
// earlier parts are shared by more requests.
func (c candidate) compare(o candidate) int {
	return cmp.Or(
		cmp.Compare(o.n, c.n), c.begun.Compare(o.begun), cmp.Compare(o.position, c.position),
		o.last.Compare(c.last), cmp.Compare(c.part, o.part),
	)
}

// candidates returns the parts that are not suspected and have crashes that are not
// explained, the likeliest cause first. It leaves out those with fewer crashes than least.
func (d *Detector) candidates(explained causes, least int, now time.Time) []candidate {
	var list []candidate
	for part, c := range d.crashed {
		if len(c.list) < least {
			continue // most have one crash
		}
		n, shared := d.countCrashes(part, explained, now)
		if n > 0 && d.suspects[part] == nil {
			list = append(list, candidate{c, part, n, shared, d.begun.at(part)})
		}
	}
	slices.SortFunc(list, candidate.compare)
	return list
}

// countCrashes returns the number of crashes under a part since a response to a request
// with it last began, without those that are explained, and whether a suspected request
// explains others. Crashes that countSpaced does not count apart count once.
func (d *Detector) countCrashes(part Part, explained causes, now time.Time) (n int, shared bool) {
	begun := d.begun.at(part)
	var buf [4]crash // most parts have few crashes
	list := buf[:0]
	for _, x := range d.crashed[part].list {
		if !x.at.After(begun) || now.Sub(x.at) > crashTTL {
			continue
		}
		byPart, found := explained[x.process]
		if !found {
			list = append(list, x)
		}
		shared = shared || found && !byPart
	}
	return countSpaced(list, part.Whole()), shared
}
