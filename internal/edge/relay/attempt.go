package relay

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"syscall"
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

// serve makes attempts until the request has ended.
func (q *request) serve() {
	svc := q.s.fleet.Service(q.service)
	// Only the first host deposits for the request in its retry budget.
	if svc != nil && !q.forwarded {
		svc.Budget.Deposit()
	}
	for {
		if cancelled(q.r.Context()) {
			q.callerDisconnected()
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
		q.answerFailed(res, ref)
		return
	}
}

// logRetry logs that another attempt follows. After a truncated stream, it
// resumes the stream within the same response.
func (q *request) logRetry(res retry.Result) {
	msg := "request retried"
	if res == retry.Truncated {
		msg = "request resumed"
	}
	if e := q.s.log.Requests.Check(zap.InfoLevel, msg); e != nil {
		e.Write(append(q.logFields(), zap.Int("try", q.tally.Tries), zap.String("reason", q.reason))...)
	}
}

// callerDisconnected ends a request whose caller disconnected before the end of
// its response.
func (q *request) callerDisconnected() {
	q.reason = reasonDisconnected
	q.finish("left", 0)
}

// mayRetry reports whether another attempt follows, and withdraws it from the
// retry budget.
func (q *request) mayRetry(res retry.Result, svc *fleet.Service) bool {
	if q.remaining() <= 0 || cancelled(q.r.Context()) || !q.rules().Allows(res, q.tally) {
		return false
	}
	if res == retry.ServerError {
		return true // retryable has withdrawn it already
	}
	return q.tally.Withdraw(retryBudget(svc))
}

// rules returns the retry rules of the route.
func (q *request) rules() retry.Rules {
	return retry.Rules{Idempotent: q.route.Idempotent, Resumable: q.route.Resumable, Attempts: q.route.Attempts, Forwarded: q.forwarded}
}

// retryBudget returns the retry budget of svc, or nil if svc is nil.
func retryBudget(svc *fleet.Service) *retry.Budget {
	if svc == nil {
		return nil
	}
	return svc.Budget
}

// answerFailed ends a request that gets no further attempt. If part of the response was
// written, it aborts that response.
func (q *request) answerFailed(res retry.Result, ref *refusal) {
	if q.headerWritten {
		if cancelled(q.r.Context()) {
			q.callerDisconnected()
		} else {
			q.finish("cut", 0)
		}
		q.abort()
		return
	}
	if cancelled(q.r.Context()) {
		q.callerDisconnected()
		return
	}
	if q.tally.Ran > 0 {
		status := http.StatusBadGateway
		if q.remaining() <= 0 {
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
		ref = &refusal{http.StatusServiceUnavailable, reason, max(q.dest.limitWait, retryAfterBusy)}
	}
	q.refuse(ref)
}

// attempt sends the request once. It returns a refusal if there is no server or
// host to send it to.
func (q *request) attempt() (retry.Result, *refusal) {
	now := time.Now()
	if q.firstByte.IsZero() {
		q.lastAttempt = now
	}
	remaining := q.deadline.Sub(now)
	if remaining <= 0 {
		return retry.NotRun, &refusal{http.StatusServiceUnavailable, reasonTimeout, retryAfterBusy}
	}
	if ref := q.checkPoison(now); ref != nil {
		return retry.NotRun, ref
	}
	res, ref := q.send(now, remaining)
	q.endProbe(res)
	return res, ref
}

// send chooses a server or a host and sends the request to it.
func (q *request) send(now time.Time, remaining time.Duration) (retry.Result, *refusal) {
	choice, local, ref := q.choose(now, remaining)
	if ref != nil {
		return retry.NotRun, ref
	}
	if local {
		return q.sendLocal(choice), nil
	}
	return q.sendPeer(), nil
}

// choose picks a server of the local region, and returns true, or a remote
// region.
func (q *request) choose(now time.Time, remaining time.Duration) (pick.Choice, bool, *refusal) {
	svc := q.s.fleet.Service(q.service)
	var local admit.Estimate
	usable := false
	if svc != nil && q.allows(q.s.fleet.LocalRegion()) {
		local.Score, local.First, usable = svc.Table.Expect(&q.pick, now)
	}
	q.localExpected = local.First
	demand := q.demand(svc, remaining)
	if !q.forwarded {
		if dest, remote, ok := q.bestRemote(demand); ok && admit.PreferRemote(local, usable, remote) {
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
	c, ok := svc.Table.Pick(&q.pick, now)
	if !ok {
		return pick.Choice{}, false, q.refuseNoServer(svc, now)
	}
	q.choice = c
	q.entriesReadAt = q.s.fleet.View().Asked
	return c, true, nil
}

// refuseNoServer returns the refusal of a request that no server of the region may
// get now. If servers have requested a pause or have a limit, Retry-After is the time
// until the first one accepts a request again.
func (q *request) refuseNoServer(svc *fleet.Service, now time.Time) *refusal {
	ref := &refusal{http.StatusServiceUnavailable, reasonNoServer, retryAfterBusy}
	if svc == nil {
		return ref
	}
	if w, ok := svc.Table.ShortestWait(&q.pick, now); ok {
		ref.reason = reasonRetryAfter
		if w.Limited {
			ref.reason = reasonServerLimit
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
		svc.Goals.Record(q.priority(), d.Goal, now)
		d.ShortestGoal = svc.Goals.Shortest(q.priority(), now)
	}
	return d
}

// checkLate returns a refusal if the first byte is expected too late.
func (q *request) checkLate(d *admit.Demand, first time.Duration) *refusal {
	q.expected = first
	wait, late := d.TooLate(first)
	if !late {
		return nil
	}
	q.refusalInputs = append(q.refusalInputs, zap.Duration("bound", d.Bound()), zap.Duration("goal", d.Goal), zap.Duration("least_goal", d.ShortestGoal), zap.Duration("own_expected", q.localExpected))
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
		if !q.allows(r.Region) || r.Limited && q.allows(q.s.fleet.LocalRegion()) {
			continue
		}
		e := d.RemoteEstimate(r.Wait, r.Cached(q.pick.Parts))
		if best.addr.IsValid() && e.Score >= estimate.Score {
			continue
		}
		addr, ok := q.pickHost(r.Hosts)
		if !ok {
			continue
		}
		best = destination{region: r.Region, addr: addr}
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
	if len(q.triedHosts) > 0 {
		hosts = slices.DeleteFunc(slices.Clone(hosts), func(h steer.Host) bool { return slices.Contains(q.triedHosts, h.Addr) })
	}
	if len(hosts) == 0 {
		return netip.AddrPort{}, false
	}
	hosts = steer.Prefer(hosts, q.s.peers.HasIdle)
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return steer.Sample(hosts, 1, rng)[0], true
}

// sendLocal sends the request to a server of the local region.
func (q *request) sendLocal(c pick.Choice) retry.Result {
	svc := q.s.fleet.Service(q.service)
	e, ok := svc.Table.Server(c.ID)
	q.server = c.ID
	q.dest = destination{addr: e.Addr}
	if !ok {
		svc.Table.Done(&c, pick.Aborted, time.Now())
		return retry.NotRun
	}
	if c.Limited {
		q.s.stats.LimitedSend(q.service)
	}
	onFirstByte := func() { svc.Table.FirstByte(&c, time.Now()) }
	res, outcome := q.exchange(q.s.servers, q.outgoing(q.serverHeader(c.ID), q.dest), onFirstByte)
	svc.Table.Done(&c, outcome, time.Now())
	q.recordCrash(svc, &c, outcome)
	// An error response does not exclude the server: it may be the only one.
	if outcome != pick.Served && outcome != pick.Aborted && outcome != pick.Failed {
		q.pick.Exclude = append(q.pick.Exclude, c.ID)
	}
	q.s.stats.Attempt(q.service, "local", outcomeName(outcome))
	return res
}

// sendPeer sends the request to a host of a remote region.
func (q *request) sendPeer() retry.Result {
	q.triedHosts = append(q.triedHosts, q.dest.addr)
	q.server = q.dest.addr.String()
	res, outcome := q.exchange(q.s.peers, q.outgoing(q.peerHeader(), q.dest), func() {})
	q.s.stats.Attempt(q.service, q.dest.region, outcomeName(outcome))
	return res
}

// outcomeName returns the metric label of an outcome.
func outcomeName(o pick.Outcome) string {
	switch o {
	case pick.Served:
		return "served"
	case pick.Failed:
		return "error"
	case pick.NotRun:
		return "not run"
	case pick.WrongServer:
		return "gone"
	case pick.NoConnect:
		return "no connection"
	case pick.Broken:
		return "broken"
	default:
		return "aborted"
	}
}

// exchange sends one request and forwards its response. It calls onFirstByte
// when the response has started.
func (q *request) exchange(c *send.Client, req *send.Request, onFirstByte func()) (retry.Result, pick.Outcome) {
	q.began = false
	q.connLost = false
	resp, err := c.Do(q.r.Context(), req)
	if err != nil {
		return q.classifyError(err, c, req)
	}
	defer func() { _ = resp.Close() }() // it returns no errors
	q.recordFraming(resp)
	q.recordServerState(resp)
	if o, notRun := q.notRun(resp); notRun {
		q.tally.Sends++
		q.reason = reasonNotRun
		resp.Refused(q.id)
		drainBody(resp)
		return retry.NotRun, o
	}
	q.tally.Sends++
	q.tally.Ran++
	if q.fromPeerHost() && resp.Header.Get(headerOutcome) == outcomeUnknown {
		q.reason = reasonNoAnswer
		return retry.Unknown, pick.Broken
	}
	return q.deliver(resp, onFirstByte)
}

// notRun reports whether a response says that the request did not run. Only another host
// may say so in headerOutcome.
func (q *request) notRun(resp *send.Response) (pick.Outcome, bool) {
	switch {
	case q.fromPeerHost() && resp.Header.Get(headerOutcome) == outcomeNotRun:
		return pick.NotRun, true
	case resp.Status == http.StatusMisdirectedRequest:
		return pick.WrongServer, true
	case resp.Header.Get(platform.HeaderNotRun) != "":
		return pick.NotRun, true
	}
	return 0, false
}

// classifyError classifies a call that got no response.
func (q *request) classifyError(err error, c *send.Client, req *send.Request) (retry.Result, pick.Outcome) {
	var e *send.Error
	if !errors.As(err, &e) {
		e = &send.Error{Stage: send.StageWait, Err: err}
	}
	if e.Stage == send.StageConnect {
		q.connLost = errors.Is(err, syscall.ECONNREFUSED)
		if cancelled(q.r.Context()) {
			return retry.NotRun, pick.Aborted
		}
		q.reason = reasonNoServer
		q.s.log.Requests.Warn("connect failed", zap.String("id", q.id), zap.String("server", q.server), zap.Error(err))
		return retry.NotRun, pick.NoConnect
	}
	q.connLost = connEnded(err)
	q.tally.Sends++
	q.tally.Ran++
	if cancelled(q.r.Context()) {
		return retry.Unknown, pick.Aborted
	}
	q.reason = reasonConnBroken
	q.s.log.Requests.Warn("attempt failed", zap.String("id", q.id), zap.String("server", q.server), zap.Bool("reused", e.Reused), zap.Strings("parts", q.partNames()), zap.Error(err))
	if errors.Is(err, os.ErrDeadlineExceeded) {
		q.reason = reasonNoAnswer
	}
	// Other idle connections to the same address may be broken as well.
	c.CloseIdle(req.Addr)
	return retry.Unknown, pick.Broken
}
