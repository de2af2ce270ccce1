package relay

import (
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/core/admit"
	"github.com/yuccalb/yuccalb/internal/core/pick"
	"github.com/yuccalb/yuccalb/internal/core/rank"
	"github.com/yuccalb/yuccalb/internal/core/reach"
	"github.com/yuccalb/yuccalb/internal/core/steer"
	"github.com/yuccalb/yuccalb/internal/edge/fleet"
)

// choose picks a server of the local region, and returns true, or another host. While this
// host can't record streams, it allows only servers at which they need no record, or hosts of
// another region, which may be able to.
func (q *request) choose(now time.Time, remaining time.Duration) (pick.Choice, bool, *refusal) {
	q.pick.Within = q.within(now)
	var ok bool
	ref := &refusal{http.StatusServiceUnavailable, reasonNotRecorded, retryAfterBusy}
	if q.target, ok = q.avoidRecords(now); ok {
		var c pick.Choice
		var local bool
		c, local, ref = q.chooseTarget(now, remaining)
		if ref == nil || q.target == &q.pick {
			return c, local, ref
		}
		ref.reason = reasonNotRecorded
	}
	if q.forwarded {
		return pick.Choice{}, false, ref
	}
	q.target = &q.pick
	demand := q.demand(q.s.fleet.Service(q.service), remaining)
	dest, remote, ok := q.bestRemote(demand)
	if !ok {
		return pick.Choice{}, false, ref
	}
	q.dest = dest
	return pick.Choice{}, false, q.checkLate(demand, remote.First)
}

// chooseTarget is choose for q.target.
func (q *request) chooseTarget(now time.Time, remaining time.Duration) (pick.Choice, bool, *refusal) {
	defer q.excludeFull()()
	svc := q.s.fleet.Service(q.service)
	var local admit.Estimate
	usable := false
	if svc != nil && q.allows(q.s.fleet.LocalRegion()) {
		local.Score, local.First, usable = svc.Table.Expect(q.target, now)
	}
	via, neighbour := q.neighbour(svc, usable, now)
	var lender fleet.Lender
	lent := false
	if !neighbour && !usable {
		lender, lent = q.lender(svc, now)
		via, neighbour = lender.Addr, lent
	}
	if neighbour {
		local.Score, local.First, usable = svc.Table.Expect(q.via(), now)
		local.Score += neighbourDelay
	}
	q.localExpected = local.First
	demand := q.demand(svc, remaining)
	if q.forwarded && q.s.fleet.Path().State() == reach.Lost && q.s.fleet.CutOff() {
		return pick.Choice{}, false, &refusal{http.StatusServiceUnavailable, reasonNoPath, retryAfterElsewhere}
	}
	if !q.forwarded {
		intact := neighbour || q.s.fleet.Path().State() != reach.Lost
		if dest, remote, ok := q.bestRemote(demand); ok && admit.PreferRemote(local, usable && intact, remote, q.pick.Within) {
			q.dest = dest
			return pick.Choice{}, false, q.checkLate(demand, remote.First)
		}
	}
	if !usable {
		return pick.Choice{}, false, q.refuseNoServer(svc, now)
	}
	if ref := q.checkLate(demand, local.First); ref != nil {
		return pick.Choice{}, false, ref
	}
	if lent {
		q.useLender(svc, lender)
	}
	if neighbour {
		q.dest = destination{region: q.s.fleet.LocalRegion(), addr: via}
		return pick.Choice{}, false, nil
	}
	c, ok := svc.Table.Pick(q.target, now)
	if !ok {
		return pick.Choice{}, false, q.refuseNoServer(svc, now)
	}
	q.choice = c
	q.chosenFrom = svc
	q.entriesReadAt = q.s.fleet.View().Asked
	return c, true, nil
}

// refuseNoServer returns the refusal of a request that no server of the region may
// get now. If servers have requested a pause or have a limit, Retry-After is the time
// until the first one accepts a request again.
func (q *request) refuseNoServer(svc *fleet.Service, now time.Time) *refusal {
	ref := &refusal{http.StatusServiceUnavailable, reasonNoServer, retryAfterBusy}
	if q.reason == reasonProcess {
		ref.reason = reasonProcess // the servers that are left may not get it either
	}
	if q.flightFull {
		ref.reason = reasonInFlight
	}
	if svc == nil {
		return ref
	}
	if w, ok := svc.Table.ShortestWait(q.target, now); ok {
		ref.reason = reasonRetryAfter
		switch {
		case w.Limited:
			ref.reason = reasonServerLimit
		case w.Full:
			ref.reason = reasonNoRoom
		}
		ref.retryAfter = max(w.For, retryAfterBusy)
	}
	return ref
}

// demand returns the input of package admit for the request.
func (q *request) demand(svc *fleet.Service, remaining time.Duration) *admit.Demand {
	d := &admit.Demand{
		Goal: q.route.Goal, Remaining: remaining, Prompt: q.pick.Prompt, Shared: q.pick.Shared(),
		Bytes: len(q.body), Pace: pick.NewPace(true),
	}
	if svc != nil {
		d.Pace = svc.Table.Pace()
		now := time.Now()
		d.ShortestGoal = svc.Kinds.Shortest(q.priority(), now)
	}
	return d
}

// classify records the kind of the request, once, and determines whether the request is
// deferrable.
func (q *request) classify(svc *fleet.Service, now time.Time) {
	if q.classified {
		return
	}
	q.classified = true
	k := rank.Kind{Priority: q.priority(), Level: q.level(), Goal: q.route.Goal}
	svc.Kinds.Record(k, q.pick.Prompt+q.pick.Output, now)
	q.pick.Deferrable, q.preferred = svc.Kinds.Deferral(k, now)
}

// within returns the time within which the response to a preferred request is to begin to be on
// time, 0 for all other requests.
func (q *request) within(now time.Time) time.Duration {
	if !q.preferred {
		return 0
	}
	elapsed := now.Sub(q.arrived)
	if q.forwarded {
		elapsed += admit.RemoteDelay
	}
	return admit.Within(q.route.Goal, elapsed)
}

// checkLate returns a refusal if the first byte is expected too late.
func (q *request) checkLate(d *admit.Demand, first time.Duration) *refusal {
	q.expected = first
	wait, late := d.TooLate(first)
	if q.pick.Pinned {
		// The caller has the first events already, and no other server can go on.
		late = late && first >= d.Remaining
	}
	if !late {
		return nil
	}
	q.refusalInputs = append(q.refusalInputs, zap.Duration("bound", d.Bound()), zap.Duration("goal", d.Goal), zap.Duration("least_goal", d.ShortestGoal), zap.Bool("deferrable", q.pick.Deferrable), zap.Duration("own_expected", q.localExpected))
	return &refusal{http.StatusServiceUnavailable, reasonTooLate, max(wait, retryAfterBusy)}
}

// bestRemote returns a host of the remote region with the best score for the
// request, or false if there is none. A region whose servers have got what their limits
// allow hardly accepts more, so that only requests which may not be served in the local
// region are sent there.
func (q *request) bestRemote(d *admit.Demand) (destination, admit.Estimate, bool) {
	var best destination
	var estimate admit.Estimate
	for _, r := range q.s.fleet.RemoteRegions(q.service) {
		if !q.allows(r.Region) || !q.versionIn(r.Region) || r.Limited && q.allows(q.s.fleet.LocalRegion()) {
			continue
		}
		cached, wait := r.Cached(q.pick.Parts)
		e := d.RemoteEstimate(admit.Remote{Summary: r.Summary, Cached: cached, CachedWait: wait, Requests: r.Requests, Tokens: r.Tokens, Age: r.Age})
		if best.addr.IsValid() && !e.Before(estimate, q.pick.Within) {
			continue
		}
		addr, ok := q.pickHost(r.Hosts)
		if !ok {
			continue
		}
		best = destination{region: r.Region, addr: addr, unread: max(q.pick.Prompt-e.Cached, 0)}
		if r.Limited {
			best.limitWait = r.Wait
		}
		estimate = e
	}
	return best, estimate, best.addr.IsValid()
}

// pickHost returns one of the hosts that this request was not sent to before. It
// prefers those with an idle connection: opening one to a remote region takes as
// long as the request itself.
func (q *request) pickHost(hosts []steer.Host) (netip.AddrPort, bool) {
	hosts = q.untried(hosts)
	if len(hosts) == 0 {
		return netip.AddrPort{}, false
	}
	hosts = steer.Prefer(hosts, q.s.peers.HasIdle)
	return steer.Sample(hosts, 1, newRand())[0], true
}

// untried returns the hosts that this request was not sent to before.
func (q *request) untried(hosts []steer.Host) []steer.Host {
	if len(q.triedHosts) == 0 {
		return hosts
	}
	return slices.DeleteFunc(slices.Clone(hosts), func(h steer.Host) bool { return slices.Contains(q.triedHosts, h.Addr) })
}

// newRand returns a source of randomness for one decision.
func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
