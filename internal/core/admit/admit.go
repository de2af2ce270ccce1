// Package admit decides whether a request can be served in time, and whether
// in its own region or in another one.
package admit

import (
	"time"

	"github.com/yuccalb/yuccalb/internal/core/pick"
)

const (
	// waitShare of a goal is the longest wait that is expected before a request
	// is refused. The rest of the goal is for what is not foreseen.
	waitShare = 0.75
	// hopDelay is what another region adds to the time to a first byte.
	hopDelay = 120 * time.Millisecond
	// byteDelay is added per byte of a body for another region: such links
	// are narrow and traffic on them is dear.
	byteDelay = 5 * time.Microsecond
)

// Estimate is what is expected of a region: a score to compare it with others,
// and the time to the first byte.
type Estimate struct{ Score, First time.Duration }

// Demand is what the decisions depend on.
type Demand struct {
	// Goal is the route's for the first byte, 0 for none, and Left the time
	// until the request's end. Least is the least goal of requests to the same
	// servers that are as urgent or more, 0 if it is not known.
	Goal, Left, Least time.Duration
	// Prompt and Shared are the tokens to read and those of its parts that
	// other requests share.
	Prompt, Shared int
	// Pace is that of the service's servers.
	Pace pick.Pace
	// Bytes is the length of the body.
	Bytes int
}

// Far rates another region. Wait is its expected time to the first byte of a
// short request, and cached are the shared tokens that one of its servers
// should hold.
func (d *Demand) Far(wait time.Duration, cached int) Estimate {
	e := Estimate{First: wait + hopDelay + d.Pace.PrefillTime(d.Prompt-cached)}
	missed := d.Pace.PrefillTime(d.Shared - cached)
	e.Score = e.First + time.Duration(d.Bytes)*byteDelay + time.Duration((pick.MissWeight-1)*float64(missed))
	return e
}

// Leaves reports whether a request should go to the other region. The argument
// usable is set when a server of the own one may get it.
func Leaves(own Estimate, usable bool, far Estimate) bool {
	return !usable || own.Score > far.Score
}

// Bound returns the expected time to a first byte beyond which a request is
// refused: a longer queue serves no more requests than a shorter one, and all of
// them late. Requests that share servers wait for the same time, or those with
// the longer goal fill the queue up to a length at which the others are refused.
// The time to read its prompt does not count against a request, or large prompts
// would never be served.
func (d *Demand) Bound() time.Duration {
	if d.Goal <= 0 {
		return d.Left
	}
	goal := d.Goal
	if d.Least > 0 {
		goal = min(goal, d.Least)
	}
	return min(d.Left, time.Duration(waitShare*float64(goal))+d.Pace.PrefillTime(d.Prompt))
}

// Late reports whether the first byte is expected too late, and when the
// caller should come back if so.
func (d *Demand) Late(first time.Duration) (retry time.Duration, late bool) {
	bound := d.Bound()
	if first <= bound {
		return 0, false
	}
	return first - bound/2, true
}
