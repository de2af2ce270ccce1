package relay

import (
	"net/http"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/pick"
	"github.com/yuccalb/yuccalb/internal/core/rank"
	"github.com/yuccalb/yuccalb/internal/edge/fleet"
	"github.com/yuccalb/yuccalb/internal/edge/hold"
)

const (
	// holdTime bounds the time for which a request waits for room, and goalShare and
	// timeShare bound it by the route's latency target and the time left.
	holdTime  = 200 * time.Millisecond
	goalShare = 8
	timeShare = 4
	// holdStep is the interval at which held requests look for room that no response
	// of this host has made. From then on they also use room that other hosts leave.
	holdStep = 20 * time.Millisecond
	// minHeld is the least number of requests that may wait.
	minHeld = 2
)

// chooseInTurn is choose for a request that waits if the servers have no room, after those
// that wait already and rank before it. If too many do, it is refused at once.
func (q *request) chooseInTurn(now time.Time, remaining time.Duration) (pick.Choice, bool, *refusal) {
	q.pick.Extra = false
	svc := q.s.fleet.Service(q.service)
	if svc == nil || svc.Held.Len() == 0 {
		c, local, ref := q.choose(now, remaining)
		if ref == nil || ref.reason != reasonNoRoom {
			return c, local, ref
		}
	}
	claim := q.claim(svc, now)
	place, ok := svc.Held.Join(max(svc.Table.Room(), minHeld), claim)
	if !ok {
		return q.choose(now, remaining)
	}
	defer place.Leave()
	q.heldSince, q.holdUntil = claim.Since, claim.Until
	return q.awaitRoom(place)
}

// claim returns the claim of the request to room at the servers.
func (q *request) claim(svc *fleet.Service, now time.Time) rank.Claim {
	pace := svc.Table.Pace()
	c := rank.Claim{
		Priority: q.priority(), Level: q.level(), Deadline: q.deadline,
		Work: pace.PrefillTime(q.pick.Prompt), Since: q.heldSince, Until: q.holdUntil,
	}
	if q.route.Goal > 0 {
		c.Due = q.arrived.Add(q.route.Goal)
	}
	if c.Until.IsZero() {
		c.Since, c.Until = now, now.Add(q.holdTime())
	}
	return c
}

// awaitRoom chooses a server or a remote region once one has room, and returns the last
// refusal if none has in time.
func (q *request) awaitRoom(place *hold.Place) (pick.Choice, bool, *refusal) {
	q.s.stats.Held(q.service)
	begin := time.Now()
	step := time.NewTicker(holdStep)
	defer step.Stop()
	for {
		select {
		case <-place.Ready():
		case <-step.C:
			if !place.First() && time.Now().Before(q.holdUntil) {
				continue // the requests before this one look first
			}
		case <-place.Lost():
			return q.choose(time.Now(), q.remaining())
		case <-q.ctx.Done():
			return pick.Choice{}, false, &refusal{http.StatusServiceUnavailable, reasonNoRoom, retryAfterBusy}
		}
		now := time.Now()
		// A refused request would most likely be refused again.
		q.pick.Extra = q.tally.Sends == 0 && now.Sub(begin) >= holdStep
		c, local, last := q.choose(now, q.deadline.Sub(now))
		if last == nil || last.reason != reasonNoRoom || !now.Before(q.holdUntil) {
			return c, local, last
		}
		if q.restricted() {
			place.Pass()
		}
	}
}

// restricted reports whether other requests may use room that this one may not use.
func (q *request) restricted() bool {
	return q.forwarded || q.pick.Pinned || len(q.pick.Exclude) > 0 || q.target != &q.pick
}

// holdTime returns for how long the request may wait for room.
func (q *request) holdTime() time.Duration {
	d := min(holdTime, q.remaining()/timeShare)
	if q.route.Goal > 0 {
		d = min(d, q.route.Goal/goalShare)
	}
	return d
}
