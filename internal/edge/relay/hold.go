package relay

import (
	"net/http"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/pick"
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
	// waitStep is the interval at which the others look whether their time has passed.
	// The request before them wakes them when it leaves.
	waitStep = 100 * time.Millisecond
	// minHeld is the least number of requests that may wait.
	minHeld = 2
)

// chooseInTurn is choose for a request that waits if the servers have no room, after those
// that wait already and are as urgent. If too many do, it is refused at once.
func (q *request) chooseInTurn(now time.Time, remaining time.Duration) (pick.Choice, bool, *refusal) {
	q.pick.Extra = false
	svc := q.s.fleet.Service(q.service)
	if svc == nil || svc.Held.Len() == 0 {
		c, local, ref := q.choose(now, remaining)
		if ref == nil || ref.reason != reasonNoRoom {
			return c, local, ref
		}
	}
	place, ok := svc.Held.Join(q.mostHeld(svc), q.priority())
	if !ok {
		return q.choose(now, remaining)
	}
	defer place.Leave()
	return q.awaitRoom(place)
}

// mostHeld returns how many requests may wait for the servers of the service.
func (q *request) mostHeld(svc *fleet.Service) int {
	n := svc.Table.Room()
	if q.slack > 0 {
		n = max(n, svc.Table.Backlog(q.slack))
	}
	return max(n, minHeld)
}

// awaitRoom chooses a server or a remote region once one has room, and returns the last
// refusal if none has in time.
func (q *request) awaitRoom(place *hold.Place) (pick.Choice, bool, *refusal) {
	q.s.stats.Held(q.service)
	begin := time.Now()
	if q.holdUntil.IsZero() {
		q.holdUntil = begin.Add(q.holdTime())
	}
	step := time.NewTimer(holdStep)
	defer step.Stop()
	for {
		select {
		case <-place.Ready():
		case <-step.C:
			if !place.First() && time.Now().Before(q.holdUntil) {
				step.Reset(waitStep)
				continue // the requests before this one look first
			}
			step.Reset(holdStep)
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
	if q.slack > 0 {
		return min(q.slack, q.remaining()/2)
	}
	d := min(holdTime, q.remaining()/timeShare)
	if q.route.Goal > 0 {
		d = min(d, q.route.Goal/goalShare)
	}
	return d
}
