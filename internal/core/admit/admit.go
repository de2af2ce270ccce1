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
	// timelyShare is the part of a goal within which a response is to begin. The rest is
	// a margin for errors of the estimate.
	timelyShare = 0.8
	// RemoteDelay is the time that a request and its response take between regions: twice
	// 55 ms, and a margin.
	RemoteDelay = 120 * time.Millisecond
	// remoteByteDelay is added to the score per byte of a body for a remote region,
	// since links between regions have little bandwidth and traffic on them is
	// expensive.
	remoteByteDelay = 5 * time.Microsecond
)

// Estimate is the expected performance of a region: a score to compare regions, lower
// being better, and the time to the first byte.
type Estimate struct {
	Score, First time.Duration
	// Cached is the number of shared tokens that the server is expected to have cached. It
	// is known for remote regions only.
	Cached int
}

// Demand describes a request to the decisions of this package.
type Demand struct {
	// Goal is the route's latency target for the first byte, 0 for none, and
	// Remaining the time until the request's deadline. ShortestGoal is the
	// shortest goal of requests to the same servers that are at least as urgent,
	// 0 if unknown.
	Goal, Remaining, ShortestGoal time.Duration
	// Prompt is the number of tokens of the prompt, and Shared the number of these
	// in the prefix that other requests share.
	Prompt, Shared int
	// Pace is the speed of the service's servers.
	Pace pick.Pace
	// Bytes is the length of the body in bytes.
	Bytes int
}

// Remote is what is known of a remote region.
type Remote struct {
	pick.Summary
	// Cached is the number of shared tokens that a server of the region should have cached,
	// and CachedWait the expected time to the first byte of a short request there.
	Cached     int
	CachedWait time.Duration
	// Requests and Tokens are expected to have been sent there since the region reported,
	// which was Age ago.
	Requests, Tokens int
	Age              time.Duration
}

// RemoteEstimate returns the estimate for a remote region: the better one of a server that
// has the prefix cached and any other server.
func (d *Demand) RemoteEstimate(r Remote) Estimate {
	added := d.addedWait(&r)
	best := d.remoteEstimate(r.Wait+added, 0)
	if r.Cached > 0 {
		if e := d.remoteEstimate(r.CachedWait+added, r.Cached); e.Score < best.Score {
			best = e
		}
	}
	return best
}

// addedWait returns the wait from requests that the region had not got when it reported: for
// their prefill, and for the end of earlier ones once the free batch slots are taken. Without
// it, all hosts of a region at its peak would send to the same remote region until its next
// report. What the free servers have served since is left out.
func (d *Demand) addedWait(r *Remote) time.Duration {
	if r.Slots == 0 {
		return 0
	}
	free := float64(r.Free) / float64(r.Slots)
	wait := d.Pace.PrefillTime(r.Tokens/max(r.Servers, 1)) - time.Duration(free*float64(r.Age))
	if over := float64(r.Requests) - float64(r.Free)*(1+float64(r.Age)/float64(max(d.Pace.SlotTime, time.Millisecond))); over > 0 {
		wait = max(wait, 0) + time.Duration(float64(d.Pace.SlotTime)*over/float64(r.Slots))
	}
	return max(wait, 0)
}

// remoteEstimate returns the estimate for a server of a remote region, at which a short
// request waits for a time and a number of shared tokens is cached.
func (d *Demand) remoteEstimate(wait time.Duration, cached int) Estimate {
	e := Estimate{Cached: cached, First: wait + RemoteDelay + d.Pace.PrefillTime(d.Prompt-cached)}
	missed := d.Pace.PrefillTime(d.Shared - cached)
	e.Score = e.First + time.Duration(d.Bytes)*remoteByteDelay + time.Duration((pick.MissWeight-1)*float64(missed))
	return e
}

// Within returns the time within which the response to a request is to begin at the servers
// to be on time, by the goal of its route, less a margin, and the time since its arrival. It is
// 0 if there is no goal or if the response will be late in any case.
func Within(goal, elapsed time.Duration) time.Duration {
	return max(time.Duration(timelyShare*float64(goal))-elapsed, 0)
}

// PreferRemote reports whether a request should go to the remote region. The argument
// usable is set if a server of the local region may get it, and within is the time within which
// the response is to begin, 0 for none.
func PreferRemote(local Estimate, usable bool, remote Estimate, within time.Duration) bool {
	return !usable || remote.Before(local, within)
}

// Before reports whether e is better than another estimate: the only one within a time, or
// that with the lower score.
func (e Estimate) Before(other Estimate, within time.Duration) bool {
	if timely := e.First <= within; within > 0 && timely != (other.First <= within) {
		return timely
	}
	return e.Score < other.Score
}

// Bound returns the expected time to the first byte beyond which a request is refused:
// a longer queue would not serve more requests, but all of them late. Requests to the
// same servers may wait equally long, as the shortest goal among them allows. Otherwise
// those with longer goals would fill the queue so far that the others are refused. The
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
	return min(d.Remaining, time.Duration(maxWaitShare*float64(goal))+d.Pace.PrefillTime(d.Prompt))
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
