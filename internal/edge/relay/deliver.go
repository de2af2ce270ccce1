package relay

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/core/pick"
	"github.com/yuccalb/yuccalb/internal/core/retry"
	"github.com/yuccalb/yuccalb/internal/edge/intake"
	"github.com/yuccalb/yuccalb/internal/edge/send"
	"github.com/yuccalb/yuccalb/platform"
)

const (
	// maxBuffered is the largest response in bytes that is read completely before
	// any of it is forwarded, so that the request can be retried if the response
	// is truncated.
	maxBuffered = 256 << 10
	// maxDrain bounds what is read of the body of a refusal to keep its
	// connection, in bytes, and drainTime how long that may take.
	maxDrain  = 16 << 10
	drainTime = 50 * time.Millisecond
)

// success reports whether the status of a response is one of success.
func success(resp *send.Response) bool { return resp.Status >= 200 && resp.Status < 300 }

// signed reports whether a response bears the signature of a server.
func signed(resp *send.Response) bool { return resp.Header.Get(platform.HeaderSignature) != "" }

// deliver forwards the response of a server.
func (q *request) deliver(resp *send.Response, onFirstByte func()) (retry.Result, pick.Outcome) {
	if success(resp) && !signed(resp) {
		q.reason = reasonConnBroken
		q.s.log.Requests.Warn("success without a signature", zap.String("id", q.id), zap.String("server", q.server), zap.Int("status", resp.Status))
		return retry.Unknown, pick.Broken
	}
	if promisesNotRun(resp.Status) {
		return q.replacePromise(resp, onFirstByte)
	}
	if success(resp) && q.route.Stream && mayHoldEvents(resp) {
		return q.stream(resp, onFirstByte)
	}
	if q.headerWritten {
		q.reason = reasonTruncated
		return retry.Truncated, pick.Failed
	}
	return q.relayBuffered(resp, onFirstByte)
}

// mayHoldEvents reports whether the body of a response may be a stream of events. Some
// servers label events as plain text or not at all, but none as other media such as JSON.
func mayHoldEvents(resp *send.Response) bool {
	media := resp.Header.Get("Content-Type")
	return media == "" || strings.HasPrefix(strings.ToLower(media), "text/")
}

// promisesNotRun reports whether callers take a status for the promise that the request
// was not run and never will be.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// replacePromise handles a response whose status callers take for a promise that the
// server did not make: it ran the request. If no other attempt follows, the caller gets a
// status that promises nothing.
func (q *request) replacePromise(resp *send.Response, onFirstByte func()) (retry.Result, pick.Outcome) {
	onFirstByte()
	resp.Discard(maxDrain, drainTime)
	q.reason = reasonServerError
	if q.headerWritten {
		return retry.Truncated, pick.Failed
	}
	if q.retryable() {
		return retry.ServerError, pick.Failed
	}
	q.refuse(&refusal{http.StatusBadGateway, reasonServerError, 0})
	return retry.Done, pick.Failed
}

// relayBuffered reads a response and forwards it once it is complete.
func (q *request) relayBuffered(resp *send.Response, onFirstByte func()) (retry.Result, pick.Outcome) {
	var body bytes.Buffer
	v := q.s.bodies.Response()
	defer v.Release()
	err := v.Read(&body, resp, maxBuffered)
	if errors.Is(err, intake.ErrTooLong) || errors.Is(err, intake.ErrNoMemory) {
		return q.relayUnbuffered(resp, &body, &v, onFirstByte)
	}
	if err == nil {
		err = q.checkServerEnded()
	}
	if err != nil {
		return q.classifyTruncation(err, retry.Unknown)
	}
	onFirstByte()
	outcome := pick.Served
	if resp.Status >= http.StatusInternalServerError {
		outcome = pick.Failed
		if q.retryable() {
			q.reason = reasonServerError
			return retry.ServerError, outcome
		}
	}
	if success(resp) && (!q.endUnknown || body.Len() > 0) {
		q.recordBegun()
		q.recordComplete()
	}
	q.firstByte = time.Now()
	length := int64(body.Len())
	if q.r.Method == http.MethodHead {
		length = resp.Length
	}
	q.writeHeader(resp, length)
	_, err = q.w.Write(body.Bytes())
	if err == nil {
		err = q.endUnmarkedBody()
	}
	if err != nil {
		q.s.log.Debug("response not written to caller", zap.String("id", q.id), zap.Error(err))
	}
	name := "served"
	if !success(resp) {
		name = "failed"
		q.reason = reasonServerError
	}
	q.finish(name, resp.Status)
	return retry.Done, outcome
}

// retryable reports whether another attempt may follow an error response of a
// server, and withdraws it from the retry budget.
func (q *request) retryable() bool {
	if q.forwarded || !q.rules().Allows(retry.ServerError, q.tally) {
		return q.granted(retry.DeniedByRules)
	}
	if q.remaining() < minRetryTime {
		return q.granted(retry.DeniedByTime)
	}
	return q.granted(q.tally.Withdraw(q.budget()))
}

// minRetryTime is the least remaining time for a retry after an error response.
const minRetryTime = 150 * time.Millisecond

// relayUnbuffered forwards a response that exceeds maxBuffered or the memory for
// bodies. Its first bytes are in head, whose memory is v.
func (q *request) relayUnbuffered(resp *send.Response, head *bytes.Buffer, v *intake.Body, onFirstByte func()) (retry.Result, pick.Outcome) {
	onFirstByte()
	if success(resp) {
		q.recordBegun()
	}
	q.firstByte = time.Now()
	q.writeHeader(resp, resp.Length)
	q.headerWritten = true
	q.keepAtStop()
	_, err := q.w.Write(head.Bytes())
	*head = bytes.Buffer{}
	v.Hold(copyBuffer)
	if err == nil {
		_, err = io.CopyBuffer(writer{q.w}, resp, make([]byte, copyBuffer))
	}
	if err == nil {
		err = q.checkServerEnded()
	}
	if err == nil {
		err = q.endUnmarkedBody()
	}
	if err != nil {
		return q.classifyTruncation(err, retry.Truncated)
	}
	if success(resp) {
		q.recordComplete()
	}
	q.finish("served", resp.Status)
	return retry.Done, pick.Served
}

// writer hides the other methods of an io.Writer, with which io.CopyBuffer would not use
// its buffer.
type writer struct{ io.Writer }

// classifyTruncation classifies a response that ended early with err; res is the
// result of the attempt.
func (q *request) classifyTruncation(err error, res retry.Result) (retry.Result, pick.Outcome) {
	if q.aborted() {
		return res, pick.Aborted
	}
	q.connLost = connEnded(err)
	if q.connLost {
		q.recordFailure(false)
	}
	q.reason = reasonTruncated
	if q.remaining() <= 0 {
		q.reason = reasonTimeout
	}
	q.s.log.Requests.Warn("response broke off", zap.String("id", q.id), zap.String("server", q.server), zap.String("last_event", q.lastEvent), zap.Strings("parts", q.partNames(0, maxLoggedParts)), zap.Stringer("request_hash", q.whole()), zap.Error(err))
	return res, pick.Broken
}
