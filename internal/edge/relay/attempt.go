package relay

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/core/admit"
	"github.com/yuccalb/yuccalb/internal/core/pick"
	"github.com/yuccalb/yuccalb/internal/core/retry"
	"github.com/yuccalb/yuccalb/internal/core/steer"
	"github.com/yuccalb/yuccalb/internal/edge/fleet"
	"github.com/yuccalb/yuccalb/internal/edge/send"
	"github.com/yuccalb/yuccalb/platform"
)

// serve makes attempts until the caller has its answer.
func (q *request) serve() {
	svc := q.s.fleet.Service(q.service)
	// The host that a caller asked counts the request.
	if svc != nil && !q.forwarded {
		svc.Budget.Request()
	}
	for {
		if cancelled(q.r.Context()) {
			q.callerLeft()
			return
		}
		q.tally.Tries++
		res, ref := q.attempt()
		if res == retry.Done {
			return
		}
		if ref == nil && q.mayRetry(res, svc) {
			q.logRetry(res)
			continue
		}
		q.giveUp(res, ref)
		return
	}
}

// logRetry records that another attempt follows; a stream that had begun goes
// on within the same response.
func (q *request) logRetry(res retry.Result) {
	msg := "request retried"
	if res == retry.Truncated {
		msg = "request resumed"
	}
	if e := q.s.log.Requests.Check(zap.InfoLevel, msg); e != nil {
		e.Write(append(q.decision(), zap.Int("try", q.tally.Tries), zap.String("reason", q.reason))...)
	}
}

// callerLeft records a caller that left before the end of its response.
func (q *request) callerLeft() {
	q.reason = reasonLeft
	q.finish("left", 0)
}

// mayRetry reports whether another attempt follows, and takes it from the
// budget.
func (q *request) mayRetry(res retry.Result, svc *fleet.Service) bool {
	if q.left() <= 0 || cancelled(q.r.Context()) || !q.rules().Allows(res, q.tally) {
		return false
	}
	if res == retry.ServerError {
		return true // paid for when the answer was held back
	}
	return q.tally.Withdraw(budget(svc))
}

// rules returns what the route allows.
func (q *request) rules() retry.Rules {
	return retry.Rules{Idempotent: q.route.Idempotent, Resumable: q.route.Resumable, Attempts: q.route.Attempts, Forwarded: q.forwarded}
}

// budget returns that of a service, nil if it is not known.
func budget(svc *fleet.Service) *retry.Budget {
	if svc == nil {
		return nil
	}
	return svc.Budget
}

// giveUp answers a request that gets no further attempt.
func (q *request) giveUp(res retry.Result, ref *refusal) {
	if q.began {
		if cancelled(q.r.Context()) {
			q.callerLeft()
		} else {
			q.finish("cut", 0)
		}
		// The connection is closed without the end of the response, so that
		// the caller does not take it for complete.
		panic(http.ErrAbortHandler)
	}
	if cancelled(q.r.Context()) {
		q.callerLeft()
		return
	}
	if q.tally.Ran > 0 {
		status := http.StatusBadGateway
		if q.left() <= 0 {
			status = http.StatusGatewayTimeout
			q.reason = reasonTimeout
		}
		q.refuse(&refusal{status, q.reason, 0})
		return
	}
	if ref == nil {
		reason := q.reason
		if res == retry.NotRun && reason == "" {
			reason = reasonNotRun
		}
		ref = &refusal{http.StatusServiceUnavailable, reason, retryBusy}
	}
	q.refuse(ref)
}

// attempt sends the request once. A refusal is returned when there is nowhere
// to send it.
func (q *request) attempt() (retry.Result, *refusal) {
	now := time.Now()
	if q.first.IsZero() {
		q.attempted = now
	}
	left := q.until.Sub(now)
	if left <= 0 {
		return retry.NotRun, &refusal{http.StatusServiceUnavailable, reasonTimeout, retryBusy}
	}
	choice, local, ref := q.choose(now, left)
	if ref != nil {
		return retry.NotRun, ref
	}
	if local {
		return q.sendLocal(choice), nil
	}
	return q.sendPeer(), nil
}

// choose picks a server of the own region or another region.
func (q *request) choose(now time.Time, left time.Duration) (pick.Choice, bool, *refusal) {
	svc := q.s.fleet.Service(q.service)
	var own admit.Estimate
	usable := false
	if svc != nil && q.allows(q.s.fleet.Home()) {
		own.Score, own.First, usable = svc.Table.Expect(&q.pick, now)
	}
	q.own = own.First
	demand := q.demand(svc, left)
	if !q.forwarded {
		if p, far, ok := q.other(demand); ok && admit.Leaves(own, usable, far) {
			q.place = p
			return pick.Choice{}, false, q.tooLate(demand, far.First)
		}
	}
	if !usable {
		return pick.Choice{}, false, q.noServer(svc, now)
	}
	if ref := q.tooLate(demand, own.First); ref != nil {
		return pick.Choice{}, false, ref
	}
	c, ok := svc.Table.Pick(&q.pick, now)
	if !ok {
		return pick.Choice{}, false, q.noServer(svc, now)
	}
	q.choice = c
	q.listed = q.s.fleet.View().Asked
	return c, true, nil
}

// noServer refuses a request that no server of the region may get now. When
// servers have asked for a rest, the caller should return at its end.
func (q *request) noServer(svc *fleet.Service, now time.Time) *refusal {
	ref := &refusal{http.StatusServiceUnavailable, reasonNoServer, retryBusy}
	if svc == nil {
		return ref
	}
	if d, ok := svc.Table.Rests(&q.pick, now); ok {
		ref.reason = reasonRest
		ref.retry = max(d, retryBusy)
	}
	return ref
}

// demand describes the request to the decisions of package admit.
func (q *request) demand(svc *fleet.Service, left time.Duration) *admit.Demand {
	d := &admit.Demand{
		Goal: q.route.Goal, Left: left, Prompt: q.pick.Prompt, Shared: q.pick.Shared(),
		Bytes: len(q.body), Pace: pick.NewPace(true),
	}
	if svc != nil {
		d.Pace = svc.Table.Pace()
		now := time.Now()
		svc.Mix.Note(q.priority(), d.Goal, now)
		d.Least = svc.Mix.Least(q.priority(), now)
	}
	return d
}

// tooLate refuses a request whose first byte is expected too late.
func (q *request) tooLate(d *admit.Demand, first time.Duration) *refusal {
	q.expected = first
	wait, late := d.Late(first)
	if !late {
		return nil
	}
	q.inputs = append(q.inputs, zap.Duration("bound", d.Bound()), zap.Duration("goal", d.Goal), zap.Duration("least_goal", d.Least), zap.Duration("own_expected", q.own))
	return &refusal{http.StatusServiceUnavailable, reasonOverload, max(wait, retryBusy)}
}

// other returns a host of the other region that is expected to be best for the
// request, or false if there is none.
func (q *request) other(d *admit.Demand) (place, admit.Estimate, bool) {
	var best place
	var least admit.Estimate
	for _, p := range q.s.fleet.Places(q.service) {
		if !q.allows(p.Region) {
			continue
		}
		e := d.Far(p.Wait, p.Cached(q.pick.Parts))
		if best.addr.IsValid() && e.Score >= least.Score {
			continue
		}
		addr, ok := q.untried(p.Hosts)
		if !ok {
			continue
		}
		best = place{region: p.Region, addr: addr}
		least = e
	}
	return best, least, best.addr.IsValid()
}

// untried returns one of the hosts that this request was not sent to before, if
// possible one to which a connection is open: opening one to another region
// takes as long as the request itself.
func (q *request) untried(hosts []steer.Host) (netip.AddrPort, bool) {
	if len(q.tried) > 0 {
		hosts = slices.DeleteFunc(slices.Clone(hosts), func(h steer.Host) bool { return slices.Contains(q.tried, h.Addr) })
	}
	if len(hosts) == 0 {
		return netip.AddrPort{}, false
	}
	hosts = steer.Prefer(hosts, q.s.peers.Connected)
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return steer.Sample(hosts, 1, rng)[0], true
}

// sendLocal sends the request to a server of the own region.
func (q *request) sendLocal(c pick.Choice) retry.Result {
	svc := q.s.fleet.Service(q.service)
	e, ok := svc.Table.Server(c.ID)
	q.server = c.ID
	q.place = place{addr: e.Addr}
	if !ok {
		svc.Table.Done(&c, pick.Aborted, time.Now())
		return retry.NotRun
	}
	begun := func() { svc.Table.Begun(&c, time.Now()) }
	res, outcome := q.exchange(q.s.servers, q.build(q.forServer(c.ID), q.place), begun)
	svc.Table.Done(&c, outcome, time.Now())
	// A server's own error does not exclude it: it may be the only one.
	if outcome != pick.Served && outcome != pick.Aborted && outcome != pick.Failed {
		q.pick.Exclude = append(q.pick.Exclude, c.ID)
	}
	q.s.stats.Attempt(q.service, "local", outcomeName(outcome))
	return res
}

// sendPeer sends the request to a host of another region.
func (q *request) sendPeer() retry.Result {
	q.tried = append(q.tried, q.place.addr)
	q.server = q.place.addr.String()
	res, outcome := q.exchange(q.s.peers, q.build(q.forPeer(), q.place), func() {})
	q.s.stats.Attempt(q.service, q.place.region, outcomeName(outcome))
	return res
}

// outcomeName returns the label of an outcome.
func outcomeName(o pick.Outcome) string {
	switch o {
	case pick.Served:
		return "served"
	case pick.Failed:
		return "error"
	case pick.NotRun:
		return "not run"
	case pick.Gone:
		return "gone"
	case pick.NoConnect:
		return "no connection"
	case pick.Broken:
		return "broken"
	default:
		return "aborted"
	}
}

// exchange sends one request and passes its response on.
func (q *request) exchange(c *send.Client, req *send.Request, begun func()) (retry.Result, pick.Outcome) {
	resp, err := c.Do(q.r.Context(), req)
	if err != nil {
		return q.failed(err, c, req)
	}
	defer func() { _ = resp.Close() }() // it reports no errors
	q.heed(resp)
	if o, notRun := notRun(resp); notRun {
		q.tally.Sends++
		q.reason = reasonNotRun
		drain(resp)
		return retry.NotRun, o
	}
	q.tally.Sends++
	q.tally.Ran++
	if resp.Header.Get(headerOutcome) == outcomeUnknown {
		q.reason = reasonUnanswered
		return retry.Unknown, pick.Broken
	}
	return q.deliver(resp, begun)
}

// heed takes over what a server of the own region says of itself in any of its
// answers: that it leaves, or that it wants no requests for a time.
func (q *request) heed(resp *send.Response) {
	svc := q.s.fleet.Service(q.service)
	if q.place.region != "" || svc == nil {
		return
	}
	now := time.Now()
	if resp.Header.Get(platform.HeaderLeaving) == platform.Leaving && svc.Table.Leaves(&q.choice, now) {
		q.s.log.Info("server leaves", zap.String("id", q.id), zap.String("server", q.server), zap.Int("status", resp.Status))
	}
	if resp.Status != http.StatusServiceUnavailable {
		return
	}
	if d, ok := platform.ParseRetry(resp.Header); ok && svc.Table.Rest(&q.choice, d, now) {
		q.s.log.Info("server wants no requests", zap.String("id", q.id), zap.String("server", q.server), zap.Duration("for", d))
	}
}

// notRun reports whether a response says that the request did not run.
func notRun(resp *send.Response) (pick.Outcome, bool) {
	switch {
	case resp.Header.Get(headerOutcome) == outcomeNotRun:
		return pick.NotRun, true
	case resp.Status == http.StatusMisdirectedRequest:
		return pick.Gone, true
	case resp.Header.Get(platform.HeaderNotRun) != "":
		return pick.NotRun, true
	}
	return 0, false
}

// failed sorts a call without a response.
func (q *request) failed(err error, c *send.Client, req *send.Request) (retry.Result, pick.Outcome) {
	var e *send.Error
	if !errors.As(err, &e) {
		e = &send.Error{Stage: send.StageWait, Err: err}
	}
	if e.Stage == send.StageConnect {
		if cancelled(q.r.Context()) {
			return retry.NotRun, pick.Aborted
		}
		q.reason = reasonNoServer
		q.s.log.Requests.Warn("connect failed", zap.String("id", q.id), zap.String("server", q.server), zap.Error(err))
		return retry.NotRun, pick.NoConnect
	}
	q.tally.Sends++
	q.tally.Ran++
	if cancelled(q.r.Context()) {
		return retry.Unknown, pick.Aborted
	}
	q.reason = reasonBroken
	q.s.log.Requests.Warn("attempt failed", zap.String("id", q.id), zap.String("server", q.server), zap.Bool("reused", e.Reused), zap.Error(err))
	if errors.Is(err, os.ErrDeadlineExceeded) {
		q.reason = reasonUnanswered
	}
	// Other idle connections to the same address may have gone the same way.
	c.Drop(req.Addr)
	return retry.Unknown, pick.Broken
}
