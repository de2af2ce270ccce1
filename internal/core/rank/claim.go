// Package rank orders requests that compete for the capacity of a service, and records which
// kinds of requests can be deferred in favour of others.
package rank

import (
	"cmp"
	"time"
)

// MaxPriority is the least urgent priority of routes and organisations; 0 is the most urgent.
const MaxPriority = 9

// Claim is what a waiting request states about itself. Times that are zero are not set.
type Claim struct {
	// Priority is that of the organisation or the route, and Level that of the route
	// alone; 0 is the most urgent. Level breaks ties between routes of an organisation
	// that has its own priority.
	Priority, Level int
	// Due is when the response must begin to be on time, and Deadline when it must end.
	Due, Deadline time.Time
	// Work is the server time that the request needs until its response begins.
	Work time.Duration
	// Since is when it began to wait, and Until when it may wait no longer.
	Since, Until time.Time
}

// Compare returns a negative number if a is to be served before b, a positive one if b is,
// and 0 if nothing tells them apart. The order is by priority and level, both one more
// urgent for a request that has waited for half of its time; then requests that can still be
// on time; then the earlier latest start; then less work; then the earlier arrival.
func Compare(a, b Claim, now time.Time) int {
	aged, other := a.Aged(now), b.Aged(now)
	if c := cmp.Compare(raise(a.Priority, aged), raise(b.Priority, other)); c != 0 {
		return c
	}
	if c := cmp.Compare(raise(a.Level, aged), raise(b.Level, other)); c != 0 {
		return c
	}
	if late, otherLate := a.Late(now), b.Late(now); late != otherLate {
		if late {
			return 1
		}
		return -1
	}
	if c := compareTimes(a.LatestStart(), b.LatestStart()); c != 0 {
		return c
	}
	if c := cmp.Compare(a.Work, b.Work); c != 0 {
		return c
	}
	return compareTimes(a.Since, b.Since)
}

// Rank returns the priority that Compare uses at now. It is -1 for a request of priority 0
// that has waited for half of its time.
func (c *Claim) Rank(now time.Time) int { return raise(c.Priority, c.Aged(now)) }

// Aged reports whether the request has waited for half of the time for which it may wait.
func (c *Claim) Aged(now time.Time) bool {
	half, ok := c.half()
	return ok && !now.Before(half)
}

// half returns when the request has waited for half of its time, and false if its wait has
// no beginning or no end.
func (c *Claim) half() (time.Time, bool) {
	if c.Since.IsZero() || c.Until.IsZero() {
		return time.Time{}, false
	}
	return c.Since.Add(c.Until.Sub(c.Since) / 2), true
}

// LatestStart returns when the service of the request must begin for its response to be on
// time, or before its deadline if it has no goal. It is zero if it has neither.
func (c *Claim) LatestStart() time.Time {
	due := c.Due
	if due.IsZero() {
		due = c.Deadline
	}
	if due.IsZero() {
		return due
	}
	return due.Add(-c.Work)
}

// Late reports whether the response can no longer be on time.
func (c *Claim) Late(now time.Time) bool {
	start := c.LatestStart()
	return !start.IsZero() && now.After(start)
}

// NextChange returns the first time after now at which Compare may order the request
// differently, and false if there is none.
func (c *Claim) NextChange(now time.Time) (time.Time, bool) {
	var next time.Time
	if half, ok := c.half(); ok && now.Before(half) {
		next = half
	}
	// The response is late from the first moment after the latest start.
	if start := c.LatestStart(); !start.IsZero() && !now.After(start) {
		if late := start.Add(1); next.IsZero() || late.Before(next) {
			next = late
		}
	}
	return next, !next.IsZero()
}

// raise returns a priority that is one more urgent if aged is set.
func raise(priority int, aged bool) int {
	if aged {
		return priority - 1
	}
	return priority
}

// compareTimes orders times that are not set after all others.
func compareTimes(a, b time.Time) int {
	if a.IsZero() || b.IsZero() {
		return cmp.Compare(unset(a), unset(b))
	}
	return a.Compare(b)
}

// unset returns 1 for a time that is not set, and 0 otherwise.
func unset(t time.Time) int {
	if t.IsZero() {
		return 1
	}
	return 0
}
