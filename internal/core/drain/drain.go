// Package drain decides which requests a host may still send while it stops. It makes no
// difference whether they come from a caller, from another host, or from an earlier
// attempt.
package drain

import "time"

// answerMargin is the time before the end of a stop at which requests in progress are
// answered. margin is the time before it at which new attempts must have ended: an
// answer at a deadline takes a moment longer.
const (
	answerMargin = 200 * time.Millisecond
	margin       = 500 * time.Millisecond
)

// Plan is the schedule of a planned stop.
type Plan struct {
	// Stale is when callers and other hosts know that the host stops. Few requests
	// arrive from then on, and other hosts can serve them.
	Stale time.Time
	// End is when the connections of requests in progress are closed.
	End time.Time
}

// Attempt is what a decision on an attempt depends on.
type Attempt struct {
	// Deadline is that of the request.
	Deadline time.Time
	// Expected is the time that almost all attempts like this one take, 0 if unknown.
	Expected time.Duration
	// Ran is set if an earlier attempt may have run, so that the request can't be
	// refused as not run, and Begun if part of the response has reached the caller.
	Ran, Begun bool
}

// Allows reports whether an attempt may begin now. Until Stale, and after an attempt that
// may have run, the attempt is expected to end in time. From Stale on only the deadline
// counts, which bounds even the longest attempt. A response that has begun always goes on:
// without another attempt it is cut off for certain.
func (p Plan) Allows(a Attempt, now time.Time) bool {
	if a.Begun {
		return now.Before(p.AnswerAt())
	}
	ends := a.Deadline
	expected := now.Add(a.Expected)
	if a.Expected > 0 && expected.Before(ends) && (a.Ran || !now.After(p.Stale)) {
		ends = expected
	}
	return ends.Add(margin).Before(p.End)
}

// AnswerAt returns when requests in progress are answered with a failure, rather than
// that their connections are closed without an answer at End.
func (p Plan) AnswerAt() time.Time { return p.End.Add(-answerMargin) }
