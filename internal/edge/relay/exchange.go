package relay

import (
	"context"
	"errors"
	"net/http"
	"os"
	"syscall"

	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/core/pick"
	"github.com/yuccalb/yuccalb/internal/core/retry"
	"github.com/yuccalb/yuccalb/internal/edge/clock"
	"github.com/yuccalb/yuccalb/internal/edge/send"
	"github.com/yuccalb/yuccalb/platform"
)

// exchange sends one request and forwards its response. It calls onFirstByte
// when the response has started. It is broken off when ctx is done.
func (q *request) exchange(ctx context.Context, c *send.Client, req *send.Request, onFirstByte func()) (retry.Result, pick.Outcome) {
	q.began = false
	q.connLost = false
	resp, err := c.Do(ctx, req)
	if errors.Is(err, send.ErrNoIdle) { // another request has taken it
		q.pick.Exclude = append(q.pick.Exclude, q.choice.ID)
		q.reason = reasonNoServer
		return retry.NotRun, pick.Aborted
	}
	if q.otherProcess(err) {
		q.peerRecorded = false
		return retry.NotRun, pick.Aborted
	}
	if err != nil {
		q.recordSilence(err)
		return q.classifyError(err, c, req)
	}
	q.recordResponse(resp)
	if resp.Asked {
		q.s.stats.ProcessCheck(q.service, "same")
	}
	defer func() { _ = resp.Close() }() // it returns no errors
	q.recordFraming(resp)
	q.parseRecorded(resp)
	if q.fromPeerHost() {
		q.s.clocks.record(q.dest.addr, resp.Header.Get(headerClock), clock.Now())
	}
	q.recordServerState(resp)
	if o, notRun := q.notRun(resp); notRun {
		q.recordRefusal(resp)
		q.reason = reasonNotRun
		resp.Refused(q.id)
		resp.Discard(maxDrain, drainTime)
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
		q.peerRecorded = false
		q.connLost = errors.Is(err, syscall.ECONNREFUSED)
		if q.aborted() {
			return retry.NotRun, pick.Aborted
		}
		q.reason = reasonNoServer
		q.s.log.Requests.Warn("connect failed", zap.String("id", q.id), zap.String("server", q.server), zap.Error(err))
		return retry.NotRun, pick.NoConnect
	}
	q.connLost = connEnded(err)
	q.tally.Sends++
	q.tally.Ran++
	if q.aborted() {
		return retry.Unknown, pick.Aborted
	}
	q.reason = reasonConnBroken
	q.s.log.Requests.Warn("attempt failed", zap.String("id", q.id), zap.String("server", q.server), zap.Bool("reused", e.Reused), zap.Strings("parts", q.partNames(0, maxLoggedParts)), zap.Stringer("request_hash", q.whole()), zap.Error(err))
	if errors.Is(err, os.ErrDeadlineExceeded) {
		q.reason = reasonNoAnswer
	}
	// Other idle connections to the same address may be broken as well.
	c.CloseIdle(req.Addr)
	return retry.Unknown, pick.Broken
}
