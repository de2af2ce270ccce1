// Package hold keeps requests in the order of package rank while they wait for room at the
// servers of a service.
package hold

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/rank"
)

// Line is the requests that wait for the servers of one service. It is safe for concurrent
// use. The zero value is an empty line.
type Line struct {
	mu      sync.Mutex
	waiting []*Place
	// sortAt is when the order of the waiting requests may next change, zero for never.
	sortAt time.Time
	// counts are the waiting requests by priority.
	counts map[int]int
}

// Place is the place of a request in a Line.
type Place struct {
	line  *Line
	claim rank.Claim
	ready chan struct{}
	lost  chan struct{}
	// by is the request that took the place, and position the place that was lost. Both are
	// set before lost is closed.
	by       rank.Claim
	position int
}

// Join adds a request to the line. If most requests or more wait already, the last one loses
// its place if the new one ranks before it; otherwise Join returns false.
func (l *Line) Join(most int, c rank.Claim) (*Place, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.sort(now)
	if n := len(l.waiting); n > 0 && n >= most {
		last := l.waiting[n-1]
		if rank.Compare(c, last.claim, now) >= 0 {
			return nil, false
		}
		l.remove(n - 1)
		last.by, last.position = c, n
		close(last.lost)
	}
	p := &Place{line: l, claim: c, ready: make(chan struct{}, 1), lost: make(chan struct{})}
	i, _ := slices.BinarySearchFunc(l.waiting, c, func(x *Place, c rank.Claim) int {
		if rank.Compare(x.claim, c, now) <= 0 {
			return -1
		}
		return 1
	})
	l.waiting = slices.Insert(l.waiting, i, p)
	if l.counts == nil {
		l.counts = make(map[int]int)
	}
	l.counts[c.Priority]++
	l.expectChange(p, now)
	return p, true
}

// Len returns the number of requests that wait.
func (l *Line) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiting)
}

// Leads reports whether a request would be the first one in the line.
func (l *Line) Leads(c rank.Claim) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting) == 0 {
		return true
	}
	now := time.Now()
	l.sort(now)
	return rank.Compare(c, l.waiting[0].claim, now) < 0
}

// Counts returns the number of requests that wait by priority. It includes the priorities of
// which requests have waited before.
func (l *Line) Counts() map[int]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.counts)
}

// Wake lets the first request look for room.
func (l *Line) Wake() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wakeFirst()
}

// wakeFirst lets the first request look for room. The caller holds mu.
func (l *Line) wakeFirst() {
	if len(l.waiting) > 0 {
		l.sort(time.Now())
		l.wake(0)
	}
}

// wake lets the request at a position look for room, if there is one. The caller holds mu.
func (l *Line) wake(i int) {
	if i >= len(l.waiting) {
		return
	}
	select {
	case l.waiting[i].ready <- struct{}{}:
	default: // it has not looked since the last call
	}
}

// sort restores the order once the passing of time may have changed it. The caller holds mu.
func (l *Line) sort(now time.Time) {
	if l.sortAt.IsZero() || now.Before(l.sortAt) {
		return
	}
	slices.SortStableFunc(l.waiting, func(a, b *Place) int { return rank.Compare(a.claim, b.claim, now) })
	l.sortAt = time.Time{}
	for _, p := range l.waiting {
		l.expectChange(p, now)
	}
}

// expectChange sets sortAt to the next change of the rank of p, if that is earlier. The caller
// holds mu.
func (l *Line) expectChange(p *Place, now time.Time) {
	if next, ok := p.claim.NextChange(now); ok && (l.sortAt.IsZero() || next.Before(l.sortAt)) {
		l.sortAt = next
	}
}

// remove removes the request at a position. The caller holds mu.
func (l *Line) remove(i int) {
	l.counts[l.waiting[i].claim.Priority]--
	l.waiting = slices.Delete(l.waiting, i, i+1)
}

// Ready returns a channel that receives a value when the request should look for room.
func (p *Place) Ready() <-chan struct{} { return p.ready }

// Lost returns a channel that is closed when a request that ranks before this one has taken
// the place.
func (p *Place) Lost() <-chan struct{} { return p.lost }

// By returns the claim of the request that has taken the place. It may be called once Lost is
// closed.
func (p *Place) By() rank.Claim { return p.by }

// Claim returns the claim with which the request joined the line.
func (p *Place) Claim() rank.Claim { return p.claim }

// Position returns the position of the request, 1 for the first. After the place was lost it
// is that position, and after Leave 0.
func (p *Place) Position() int {
	l := p.line
	l.mu.Lock()
	defer l.mu.Unlock()
	if p.position > 0 {
		return p.position
	}
	l.sort(time.Now())
	return slices.Index(l.waiting, p) + 1
}

// First reports whether no other request is before this one.
func (p *Place) First() bool {
	l := p.line
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sort(time.Now())
	return len(l.waiting) > 0 && l.waiting[0] == p
}

// Pass lets the next request look for room: this one has found none that it may use.
func (p *Place) Pass() {
	l := p.line
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sort(time.Now())
	if i := slices.Index(l.waiting, p); i >= 0 {
		l.wake(i + 1)
	}
}

// Leave removes the request from the line, and lets the first one look for room.
func (p *Place) Leave() {
	l := p.line
	l.mu.Lock()
	defer l.mu.Unlock()
	if i := slices.Index(l.waiting, p); i >= 0 {
		l.remove(i)
	}
	l.wakeFirst()
}
