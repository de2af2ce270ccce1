// Package admit decides whether a request can be served in time, and whether
// in its own region or in another one.
package admit

import (
	"time"

	"github.com/yuccalb/yuccalb/internal/core/pick"
)

const (
	// patienceGoals is the expected time to a first byte, in goals of the
	// route, beyond which a request is refused: a longer queue only makes all
	// responses late.
	patienceGoals = 1.5
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
	// until the request's end.
	Goal, Left time.Duration
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
	e := Estimate{First: wait + hopDelay + d.Pace.ReadTime(d.Prompt-cached)}
	missed := d.Pace.ReadTime(d.Shared - cached)
	e.Score = e.First + time.Duration(d.Bytes)*byteDelay + time.Duration((pick.MissWeight-1)*float64(missed))
	return e
}

// Leaves reports whether a request should go to the other region. The argument
// usable is set when a server of the own one may get it.
func Leaves(own Estimate, usable bool, far Estimate) bool {
	return !usable || own.Score > far.Score
}

// Bound returns the expected time to a first byte beyond which a request is
// refused. The time to read its prompt does not count against a request, or
// large prompts would never be served.
func (d *Demand) Bound() time.Duration {
	if d.Goal <= 0 {
		return d.Left
	}
	return min(d.Left, time.Duration(patienceGoals*float64(d.Goal))+d.Pace.ReadTime(d.Prompt))
}

// Late reports whether the first byte is expected too late, and when the
// caller should come back if so.
func (d *Demand) Late(first time.Duration) (retry time.Duration, late bool) {
	if first <= d.Bound() {
		return 0, false
	}
	return first - d.Goal/2, true
}
