// Package admit decides whether a request can be served in time, and whether in the
// local or in a remote region.
package admit

import (
	"time"

	"github.com/yuccalb/yuccalb/internal/core/pick"
)

const (
	// maxWaitShare is the part of a goal that a request may be expected to wait.
	// Beyond it, the request is refused. The rest is a margin for errors of the
	// estimate.
	maxWaitShare = 0.75
	// remoteDelay is added to the time to the first byte in a remote region.
	remoteDelay = 120 * time.Millisecond
	// remoteByteDelay is added to the score per byte of a body for a remote region,
	// since links between regions have little bandwidth and traffic on them is
	// expensive.
	remoteByteDelay = 5 * time.Microsecond
)

// Estimate is the expected performance of a region: a score to compare regions, lower
// being better, and the time to the first byte.
type Estimate struct{ Score, First time.Duration }

// Demand describes a request to the decisions of this package.
type Demand struct {
	// Goal is the route's latency target for the first byte, 0 for none, and
	// Remaining the time until the request's deadline. ShortestGoal is the
	// shortest goal of requests to the same servers that are at least as urgent,
	// 0 if unknown.
	Goal, Remaining, ShortestGoal time.Duration
	// Slack is for how long the request can let others pass, see rank.Kinds.
	Slack time.Duration
	// Prompt is the number of tokens of the prompt, and Shared the number of these
	// in the prefix that other requests share.
	Prompt, Shared int
	// Pace is the speed of the service's servers.
	Pace pick.Pace
	// Bytes is the length of the body in bytes.
	Bytes int
}

// RemoteEstimate returns the estimate for a remote region. The argument wait is the
// expected time to the first byte of a short request there, and cached is the number
// of shared tokens that one of its servers should have cached.
func (d *Demand) RemoteEstimate(wait time.Duration, cached int) Estimate {
	e := Estimate{First: wait + remoteDelay + d.Pace.PrefillTime(d.Prompt-cached)}
	missed := d.Pace.PrefillTime(d.Shared - cached)
	e.Score = e.First + time.Duration(d.Bytes)*remoteByteDelay + time.Duration((pick.MissWeight-1)*float64(missed))
	return e
}

// PreferRemote reports whether a request should go to the remote region. The argument
// usable is set if a server of the local region may get it.
func PreferRemote(local Estimate, usable bool, remote Estimate) bool {
	return !usable || local.Score > remote.Score
}

// Bound returns the expected time to the first byte beyond which a request is refused:
// a longer queue would not serve more requests, but all of them late. Requests to the
// same servers may wait equally long, as the shortest goal among them allows. Otherwise
// those with longer goals would fill the queue so far that the others are refused. Servers
// prefer the others to a request with a slack, which may therefore wait for that long. The
// prefill time of the request's own prompt is not counted against it, as large prompts
// would never be served then.
func (d *Demand) Bound() time.Duration {
	if d.Goal <= 0 {
		return d.Remaining
	}
	goal := d.Goal
	if d.ShortestGoal > 0 {
		goal = min(goal, d.ShortestGoal)
	}
	wait := max(time.Duration(maxWaitShare*float64(goal)), d.Slack)
	return min(d.Remaining, wait+d.Pace.PrefillTime(d.Prompt))
}

// TooLate reports whether the first byte is expected later than Bound, and if so, after
// what time the caller should retry.
func (d *Demand) TooLate(first time.Duration) (retry time.Duration, late bool) {
	bound := d.Bound()
	if first <= bound {
		return 0, false
	}
	return first - bound/2, true
}
