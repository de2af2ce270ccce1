package relay

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/core/pick"
	"github.com/yuccalb/yuccalb/internal/core/retry"
)

// serve makes attempts until the request has ended.
func (q *request) serve() {
	// Only the first host deposits for the request in its retry budget.
	if !q.forwarded {
		q.budget().Deposit()
	}
	if ref := q.pinTakeUp(); ref != nil {
		q.refuse(ref)
		return
	}
	q.recordMoved()
	// The body or a record may have taken long to read.
	if ref := q.s.checkDrain(q); ref != nil {
		q.refuse(ref)
		return
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
		if ref == nil {
			ref = q.s.checkDrain(q)
		}
		if ref == nil && q.mayRetry(res) {
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
func (q *request) mayRetry(res retry.Result) bool {
	if cancelled(q.r.Context()) {
		return false
	}
	if q.eventsPassed && (q.versionUnknown || q.lastEvent == "") {
		return q.granted(retry.DeniedByRules) // no server can go on with what the caller has
	}
	if !q.rules().Allows(res, q.tally) {
		return q.granted(retry.DeniedByRules)
	}
	if q.remaining() <= 0 {
		return q.granted(retry.DeniedByTime)
	}
	if res == retry.ServerError {
		return true // retryable has withdrawn it already
	}
	return q.granted(q.tally.Withdraw(q.budget()))
}

// granted records whether another attempt may follow, and why, and returns it.
func (q *request) granted(g retry.Grant) bool {
	q.grant = g
	q.s.stats.Grant(q.service, string(g), g.Permitted())
	return g.Permitted()
}

// rules returns the retry rules of the route.
func (q *request) rules() retry.Rules {
	return retry.Rules{Idempotent: q.route.Idempotent, Resumable: q.route.Resumable, Attempts: q.route.Attempts, Forwarded: q.forwarded}
}

// budget returns the retry budget of the service.
func (q *request) budget() *retry.Budget { return q.s.fleet.RetryBudget(q.service) }

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
	q.sentAt = now
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
	for {
		q.lentBy = ""
		choice, local, ref := q.chooseInTurn(now, remaining)
		if ref != nil {
			return retry.NotRun, ref
		}
		if q.cautious {
			q.s.stats.CautiousSend(q.service)
		}
		var res retry.Result
		var again bool
		if local {
			res, again = q.sendLocal(choice)
		} else {
			res, again = q.sendPeer()
		}
		if !again {
			return res, nil
		}
		now = time.Now()
		remaining = q.deadline.Sub(now)
	}
}

// sendLocal sends the request to a server of the local region. It returns true if large bodies have been
// sent to that server since it was chosen, so that another one may be chosen.
func (q *request) sendLocal(c pick.Choice) (res retry.Result, again bool) {
	svc := q.chosenFrom
	defer svc.Held.Wake()
	e, ok := svc.Table.Server(c.ID)
	q.server = c.ID
	q.dest = destination{addr: e.Addr}
	if !ok {
		svc.Table.Done(&c, pick.Aborted, time.Now())
		return retry.NotRun, false
	}
	size := int64(len(q.body))
	if !q.s.flight.add(c.ID, size) {
		svc.Table.Done(&c, pick.Aborted, time.Now())
		return retry.NotRun, true
	}
	defer q.s.flight.remove(c.ID, size)
	if c.Limited {
		q.s.stats.LimitedSend(q.service)
	}
	q.recordVersion(c.Version)
	onFirstByte := func() { svc.Table.FirstByte(&q.choice, time.Now()) }
	res, outcome := q.exchangeLocal(onFirstByte)
	svc.Table.Done(&q.choice, q.serverOutcome(outcome), time.Now())
	q.recordCrash(svc, &q.choice, outcome)
	// An error response does not exclude the server: it may be the only one.
	if outcome != pick.Served && outcome != pick.Aborted && outcome != pick.Failed {
		q.pick.Exclude = append(q.pick.Exclude, c.ID)
	}
	q.s.stats.Attempt(q.service, "local", outcomeName(outcome))
	return res, false
}

// sendPeer sends the request to a host of a remote region, or to another one of the local
// region. It returns true if that host was to lend its room and had none, so that another one
// may be asked.
func (q *request) sendPeer() (res retry.Result, again bool) {
	q.dropRecord()
	q.peerRecorded = true // unless its response says otherwise
	q.triedHosts = append(q.triedHosts, q.dest.addr)
	q.server = q.dest.addr.String()
	q.unsent = false
	if q.dest.region != q.s.fleet.LocalRegion() {
		q.s.fleet.SentRemote(q.dest.region, q.service, q.dest.unread, time.Now())
	}
	res, outcome := q.exchange(q.ctx, q.s.peers, q.outgoing(q.peerHeader(), q.dest), func() {})
	q.recordsOfPeer()
	q.s.stats.Attempt(q.service, q.dest.region, outcomeName(outcome))
	return res, q.endLoan(res, outcome)
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
