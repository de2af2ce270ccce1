package relay

import (
	"net/http"
	"time"

	"go.uber.org/zap"

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
	// waitStep is the interval at which the others look whether their time has passed.
	// The request before them wakes them when it leaves.
	waitStep = 100 * time.Millisecond
	// minHeld is the least number of requests that may wait.
	minHeld = 2
)

// chooseInTurn is choose for a request that waits if the servers have no room, after those
// that wait already and rank before it. If too many wait, it is refused at once.
func (q *request) chooseInTurn(now time.Time, remaining time.Duration) (pick.Choice, bool, *refusal) {
	q.pick.Extra = false
	svc := q.s.fleet.Service(q.service)
	if svc == nil {
		return q.choose(now, remaining)
	}
	q.classify(svc, now)
	if svc.Held.Len() == 0 || svc.Held.Leads(q.claim(svc, now)) {
		c, local, ref := q.choose(now, remaining)
		if ref == nil || ref.reason != reasonNoRoom {
			return c, local, ref
		}
	}
	claim := q.claim(svc, now)
	place, ok := svc.Held.Join(max(svc.Table.Room(), minHeld), claim)
	if !ok {
		c, local, ref := q.choose(now, remaining)
		if ref != nil {
			q.turnedAway = turnedFull
			q.logTurn("request got no place to wait", svc, &claim, svc.Held.Len()+1, zap.String("reason", ref.reason))
		}
		return c, local, ref
	}
	defer place.Leave()
	q.heldSince, q.holdUntil = claim.Since, claim.Until
	return q.awaitRoom(svc, place)
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
func (q *request) awaitRoom(svc *fleet.Service, place *hold.Place) (pick.Choice, bool, *refusal) {
	q.s.stats.Held(q.service)
	begin := time.Now()
	defer func() {
		d := time.Since(begin)
		q.waited += d
		q.s.stats.Waited(q.service, d)
	}()
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
			return q.displaced(svc, place)
		case <-q.ctx.Done():
			return pick.Choice{}, false, &refusal{http.StatusServiceUnavailable, reasonNoRoom, retryAfterBusy}
		}
		now := time.Now()
		// A refused request would most likely be refused again.
		q.pick.Extra = q.tally.Sends == 0 && now.Sub(begin) >= holdStep
		c, local, last := q.choose(now, q.deadline.Sub(now))
		if last == nil {
			return c, local, nil
		}
		if last.reason != reasonNoRoom || !now.Before(q.holdUntil) {
			q.turnedAway = turnedWaited
			claim := place.Claim()
			q.logTurn("waiting request refused", svc, &claim, place.Position(), zap.String("reason", last.reason))
			return c, local, last
		}
		if q.restricted() {
			place.Pass()
		}
	}
}

// displaced chooses a server or a remote region for a request that has lost its place.
func (q *request) displaced(svc *fleet.Service, place *hold.Place) (pick.Choice, bool, *refusal) {
	q.turnedAway = turnedDisplaced
	claim, by := place.Claim(), place.By()
	now := time.Now()
	q.logTurn("waiting request displaced", svc, &claim, place.Position(),
		zap.Int("by_rank", by.Rank(now)), zap.Int("by_route_priority", by.Level), zap.Duration("by_work", by.Work))
	return q.choose(now, q.deadline.Sub(now))
}

// logTurn logs that a request loses its turn, with the values that decided on it.
func (q *request) logTurn(msg string, svc *fleet.Service, c *rank.Claim, position int, more ...zap.Field) {
	e := q.s.log.Requests.Check(zap.InfoLevel, msg)
	if e == nil {
		return
	}
	now := time.Now()
	fields := append(more, zap.String("id", q.id), zap.String("service", q.service),
		zap.Int("rank", c.Rank(now)), zap.Int("priority", c.Priority), zap.Int("route_priority", c.Level), zap.Duration("work", c.Work),
		zap.Duration("waited", now.Sub(c.Since)), zap.Int("position", position), zap.Any("waiting", svc.Held.Counts()))
	if start := c.LatestStart(); !start.IsZero() {
		fields = append(fields, zap.Duration("slack", start.Sub(now)))
	}
	e.Write(fields...)
}

// restricted reports whether other requests may use room that this one may not use.
func (q *request) restricted() bool {
	return q.forwarded || q.pick.Pinned || len(q.pick.Exclude) > 0 || q.flightFull || q.target != &q.pick
}

// holdTime returns for how long the request may wait for room.
func (q *request) holdTime() time.Duration {
	d := min(holdTime, q.remaining()/timeShare)
	if q.route.Goal > 0 {
		d = min(d, q.route.Goal/goalShare)
	}
	return d
}
