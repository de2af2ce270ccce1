package poison

import (
	"slices"
	"time"
)

// maxGeneration bounds the parts of one generation of a recent.
const maxGeneration = 4096

// Scope is from where a host knows something. Reports to hosts of the region hold what it
// has seen itself, and those to other regions also what hosts of its region have.
type Scope int

// Scopes, the nearest first.
const (
	Own Scope = iota
	Region
	Remote
	scopes int = iota
)

// recent holds the time at which a response to a request with a part last began, for the
// parts used most recently. Of a generation that is full only one more is kept. The zero
// value is empty.
type recent struct {
	newer, older map[Part][scopes]time.Time
}

// add records a time, known from a scope.
func (r *recent) add(part Part, at time.Time, s Scope) {
	times := r.get(part)
	if !at.After(times[s]) {
		return
	}
	times[s] = at
	if _, ok := r.newer[part]; !ok && len(r.newer) >= maxGeneration || r.newer == nil {
		r.older = r.newer
		r.newer = make(map[Part][scopes]time.Time)
	}
	r.newer[part] = times
}

func (r *recent) get(part Part) [scopes]time.Time {
	if times, ok := r.newer[part]; ok {
		return times
	}
	return r.older[part]
}

// at returns the latest time of a part, zero if there is none.
func (r *recent) at(part Part) time.Time { return r.within(part, Remote) }

// within returns the latest time of a part that is known from a scope or a nearer one.
func (r *recent) within(part Part, s Scope) time.Time {
	times := r.get(part)
	latest := times[0]
	for _, at := range times[1 : s+1] {
		if at.After(latest) {
			latest = at
		}
	}
	return latest
}

// countSpaced returns the number of crashes that are at least spacing apart. If resent is
// set, those of requests that were sent after the crash before count as well.
func countSpaced(list []crash, resent bool) int {
	slices.SortFunc(list, func(a, b crash) int { return a.at.Compare(b.at) })
	n := 0
	var last time.Time
	for _, x := range list {
		if n == 0 || x.at.Sub(last) >= spacing || resent && x.sent.After(last) {
			n++
			last = x.at
		}
	}
	return n
}
