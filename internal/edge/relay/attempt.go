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

	"github.com/yuccalb/yuccalb/internal/core/pick"
	"github.com/yuccalb/yuccalb/internal/edge/fleet"
	"github.com/yuccalb/yuccalb/internal/edge/send"
	"github.com/yuccalb/yuccalb/platform"
)

const (
	// patienceGoals is the expected time to a first byte, in goals of the
	// route, beyond which a request is refused: a longer queue only makes all
	// responses late.
	patienceGoals = 1.5
	// maxTries bounds the attempts of one request, those that were not sent
	// included.
	maxTries = 4
	// hopDelay is what another region adds to the time to a first byte.
	hopDelay = 120 * time.Millisecond
	// byteDelay is added per byte of a body for another region: such links
	// are narrow and traffic on them is dear.
	byteDelay = 5 * time.Microsecond
)

// result is what became of one attempt.
type result int

const (
	resultDone   result = iota // the caller has its answer, or has left
	resultNotRun               // the request did not run
	resultFailed               // it may have run, and nothing was passed on
	resultCut                  // part of the response was passed on
	resultError                // a server's own error, held back for a retry
)

// serve makes attempts until the caller has its answer.
func (q *request) serve() {
	svc := q.s.fleet.Service(q.service)
	if svc != nil {
		svc.Budget.Request()
	}
	for try := 1; ; try++ {
		if cancelled(q.r.Context()) {
			q.callerLeft()
			return
		}
		res, ref := q.attempt()
		if res == resultDone {
			return
		}
		if ref == nil && q.mayRetry(res, try) && q.pay(svc) {
			q.logRetry(res, try)
			continue
		}
		q.giveUp(res, ref)
		return
	}
}

// logRetry records that another attempt follows; a stream that had begun goes
// on within the same response.
func (q *request) logRetry(res result, try int) {
	msg := "request retried"
	if res == resultCut {
		msg = "request resumed"
	}
	if e := q.s.log.Requests.Check(zap.InfoLevel, msg); e != nil {
		e.Write(append(q.decision(), zap.Int("try", try), zap.String("reason", q.reason))...)
	}
}

// pay takes a retry from the budget of the service. An attempt that was never
// sent costs nothing.
func (q *request) pay(svc *fleet.Service) bool {
	if q.paid || svc == nil || q.sends == 0 {
		q.paid = false
		return true
	}
	return svc.Budget.Take()
}

// callerLeft records a caller that left before the end of its response.
func (q *request) callerLeft() {
	q.reason = reasonLeft
	q.finish("left", 0)
}

// mayRetry reports whether the rules of the route allow another attempt.
func (q *request) mayRetry(res result, try int) bool {
	if try >= maxTries || q.left() <= 0 || cancelled(q.r.Context()) {
		return false
	}
	switch res {
	case resultNotRun:
		return !q.forwarded || q.ran == 0
	case resultFailed, resultError:
		return q.route.Idempotent && q.ran < q.route.Attempts
	case resultCut:
		return q.route.Resumable && q.ran < q.route.Attempts
	}
	return false
}

// giveUp answers a request that gets no further attempt.
func (q *request) giveUp(res result, ref *refusal) {
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
	if q.ran > 0 {
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
		if res == resultNotRun && reason == "" {
			reason = reasonNotRun
		}
		ref = &refusal{http.StatusServiceUnavailable, reason, retryBusy}
	}
	q.refuse(ref)
}

// attempt sends the request once. A refusal is returned when there is nowhere
// to send it.
func (q *request) attempt() (result, *refusal) {
	now := time.Now()
	left := q.until.Sub(now)
	if left <= 0 {
		return resultNotRun, &refusal{http.StatusServiceUnavailable, reasonTimeout, retryBusy}
	}
	choice, local, ref := q.choose(now, left)
	if ref != nil {
		return resultNotRun, ref
	}
	if local {
		return q.sendLocal(choice), nil
	}
	return q.sendPeer(), nil
}

// choose picks a server of the own region or another region.
func (q *request) choose(now time.Time, left time.Duration) (pick.Choice, bool, *refusal) {
	svc := q.s.fleet.Service(q.service)
	var own estimate
	usable := false
	if svc != nil && q.allows(q.s.fleet.Home()) {
		own.score, own.first, usable = svc.Table.Expect(&q.pick, now)
	}
	if !q.forwarded {
		if p, far, ok := q.other(own.score, usable); ok {
			q.place = p
			return pick.Choice{}, false, q.tooLate(far.first, left)
		}
	}
	if !usable {
		return pick.Choice{}, false, &refusal{http.StatusServiceUnavailable, reasonNoServer, retryBusy}
	}
	if ref := q.tooLate(own.first, left); ref != nil {
		return pick.Choice{}, false, ref
	}
	c, ok := svc.Table.Pick(&q.pick, now)
	if !ok {
		return pick.Choice{}, false, &refusal{http.StatusServiceUnavailable, reasonNoServer, retryBusy}
	}
	q.choice = c
	q.listed = q.s.fleet.View().At
	return c, true, nil
}

// estimate is what is expected of a place: a score to compare it with others
// and the time to the first byte.
type estimate struct{ score, first time.Duration }

// tooLate refuses a request whose first byte is expected too late: a longer
// queue only makes all responses late. The time to read its prompt does not
// count against it, or large prompts would never be served.
func (q *request) tooLate(first, left time.Duration) *refusal {
	q.expected = first
	bound := left
	if q.route.Goal > 0 {
		bound = min(left, time.Duration(patienceGoals*float64(q.route.Goal))+readTime(q.pick.Prompt))
	}
	if first <= bound {
		return nil
	}
	return &refusal{http.StatusServiceUnavailable, reasonOverload, max(first-q.route.Goal/2, retryBusy)}
}

// readTime returns how long a server reads tokens of a prompt.
func readTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / pick.ReadRate * float64(time.Second))
}

// other returns a host of another region if that has the better score than the
// own one, or if the own one can't serve the request.
func (q *request) other(own time.Duration, usable bool) (place, estimate, bool) {
	var best place
	var least estimate
	for _, p := range q.s.fleet.Places(q.service) {
		if !q.allows(p.Region) {
			continue
		}
		hosts := slices.DeleteFunc(p.Hosts, func(a netip.AddrPort) bool { return slices.Contains(q.tried, a) })
		if len(hosts) == 0 {
			continue
		}
		e := q.estimate(&p)
		if best.addr.IsValid() && e.score >= least.score {
			continue
		}
		best = place{region: p.Region, addr: hosts[rand.IntN(len(hosts))]}
		least = e
	}
	if !best.addr.IsValid() || usable && own <= least.score {
		return place{}, estimate{}, false
	}
	return best, least, true
}

// estimate rates another region for the request.
func (q *request) estimate(p *fleet.Place) estimate {
	e := estimate{first: p.Wait + hopDelay + readTime(q.pick.Prompt)}
	e.score = e.first + time.Duration(len(q.body))*byteDelay
	switch {
	case q.pick.Prefix == 0:
	case p.Holds(q.pick.Prefix):
		e.first -= readTime(q.pick.Shared)
		e.score -= readTime(q.pick.Shared)
	default:
		e.score += time.Duration((pick.MissWeight - 1) * float64(readTime(q.pick.Shared)))
	}
	return e
}

// sendLocal sends the request to a server of the own region.
func (q *request) sendLocal(c pick.Choice) result {
	svc := q.s.fleet.Service(q.service)
	e, ok := svc.Table.Server(c.ID)
	q.server = c.ID
	q.place = place{addr: e.Addr}
	if !ok {
		svc.Table.Done(&c, pick.Aborted, time.Now())
		return resultNotRun
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
func (q *request) sendPeer() result {
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
func (q *request) exchange(c *send.Client, req *send.Request, begun func()) (result, pick.Outcome) {
	resp, err := c.Do(q.r.Context(), req)
	if err != nil {
		return q.failed(err, c, req)
	}
	defer func() { _ = resp.Close() }() // it reports no errors
	if o, notRun := notRun(resp); notRun {
		q.sends++
		q.reason = reasonNotRun
		drain(resp)
		return resultNotRun, o
	}
	q.sends++
	q.ran++
	if resp.Header.Get(headerOutcome) == outcomeUnknown {
		q.reason = reasonUnanswered
		return resultFailed, pick.Broken
	}
	return q.deliver(resp, begun)
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
func (q *request) failed(err error, c *send.Client, req *send.Request) (result, pick.Outcome) {
	var e *send.Error
	if !errors.As(err, &e) {
		e = &send.Error{Stage: send.StageWait, Err: err}
	}
	if e.Stage == send.StageConnect {
		if cancelled(q.r.Context()) {
			return resultNotRun, pick.Aborted
		}
		q.reason = reasonNoServer
		q.s.log.Requests.Warn("connect failed", zap.String("id", q.id), zap.String("server", q.server), zap.Error(err))
		return resultNotRun, pick.NoConnect
	}
	q.sends++
	q.ran++
	if cancelled(q.r.Context()) {
		return resultFailed, pick.Aborted
	}
	q.reason = reasonBroken
	q.s.log.Requests.Warn("attempt failed", zap.String("id", q.id), zap.String("server", q.server), zap.Bool("reused", e.Reused), zap.Error(err))
	if errors.Is(err, os.ErrDeadlineExceeded) {
		q.reason = reasonUnanswered
	}
	// Other idle connections to the same address may have gone the same way.
	c.Drop(req.Addr)
	return resultFailed, pick.Broken
}
