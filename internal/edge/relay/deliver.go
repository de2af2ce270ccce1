package relay

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/core/pick"
	"github.com/yuccalb/yuccalb/internal/core/retry"
	"github.com/yuccalb/yuccalb/internal/core/stream"
	"github.com/yuccalb/yuccalb/internal/edge/send"
	"github.com/yuccalb/yuccalb/platform"
)

const (
	// maxBuffered is the largest response in bytes that is read completely before
	// any of it is forwarded, so that the request can be retried if the response
	// is truncated.
	maxBuffered = 256 << 10
	// maxEvent bounds an event of a stream in bytes. Only complete events are
	// forwarded, so each is held in memory.
	maxEvent = 256 << 10
	// copyBuffer is the initial size of the buffer of a stream, in bytes.
	copyBuffer = 8 << 10
	// maxDrain bounds what is read of the body of a refusal to keep its
	// connection, in bytes.
	maxDrain = 16 << 10
)

var errEventTooLong = fmt.Errorf("stream event exceeds %d bytes", maxEvent)

// drainBody reads the rest of a short response, so that its connection can be
// reused.
func drainBody(resp *send.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp, maxDrain)) // an error closes the connection
}

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
	if success(resp) && q.route.Stream {
		return q.stream(resp, onFirstByte)
	}
	if q.headerWritten {
		q.reason = reasonTruncated
		return retry.Truncated, pick.Failed
	}
	return q.relayBuffered(resp, onFirstByte)
}

// relayBuffered reads a response and forwards it once it is complete.
func (q *request) relayBuffered(resp *send.Response, onFirstByte func()) (retry.Result, pick.Outcome) {
	var body bytes.Buffer
	v := reservation{limit: &q.s.bodyMemory}
	defer v.release()
	err := v.read(&body, resp, maxBuffered)
	if errors.Is(err, errTooLong) || errors.Is(err, errNoMemory) {
		return q.relayUnbuffered(resp, &body, onFirstByte)
	}
	if err != nil {
		return q.classifyTruncation(err, retry.Unknown)
	}
	onFirstByte()
	outcome := pick.Served
	if resp.Status >= http.StatusInternalServerError {
		outcome = pick.Failed
		if q.retryable() {
			q.reason = "server error"
			return retry.ServerError, outcome
		}
	}
	q.firstByte = time.Now()
	q.copyHeader(resp)
	q.w.Header().Set("Content-Length", strconv.Itoa(body.Len()))
	if q.r.Method == http.MethodHead && resp.Length >= 0 {
		q.w.Header().Set("Content-Length", strconv.FormatInt(resp.Length, 10))
	}
	q.w.WriteHeader(resp.Status)
	if _, err := q.w.Write(body.Bytes()); err != nil {
		q.s.log.Debug("response not written to caller", zap.String("id", q.id), zap.Error(err))
	}
	name := "served"
	if !success(resp) {
		name = "failed"
		q.reason = "server error"
	}
	q.finish(name, resp.Status)
	return retry.Done, outcome
}

// retryable reports whether another attempt may follow an error response of a
// server, and withdraws it from the retry budget.
func (q *request) retryable() bool {
	if q.forwarded || q.remaining() < minRetryTime || !q.rules().Allows(retry.ServerError, q.tally) {
		return false
	}
	b := retryBudget(q.s.fleet.Service(q.service))
	return b != nil && b.Withdraw()
}

// minRetryTime is the least remaining time for a retry after an error response.
const minRetryTime = 150 * time.Millisecond

// relayUnbuffered forwards a response that exceeds maxBuffered or the memory for
// bodies. Its first bytes are in head.
func (q *request) relayUnbuffered(resp *send.Response, head *bytes.Buffer, onFirstByte func()) (retry.Result, pick.Outcome) {
	onFirstByte()
	q.firstByte = time.Now()
	q.copyHeader(resp)
	if resp.Length >= 0 {
		q.w.Header().Set("Content-Length", strconv.FormatInt(resp.Length, 10))
	}
	q.w.WriteHeader(resp.Status)
	q.headerWritten = true
	_, err := q.w.Write(head.Bytes())
	if err == nil {
		_, err = io.Copy(q.w, resp)
	}
	if err != nil {
		return q.classifyTruncation(err, retry.Truncated)
	}
	q.finish("served", resp.Status)
	return retry.Done, pick.Served
}

// classifyTruncation classifies a response that ended early with err; res is the
// result of the attempt.
func (q *request) classifyTruncation(err error, res retry.Result) (retry.Result, pick.Outcome) {
	if cancelled(q.r.Context()) {
		return res, pick.Aborted
	}
	q.reason = reasonTruncated
	if q.remaining() <= 0 {
		q.reason = reasonTimeout
	}
	q.s.log.Requests.Warn("response broke off", zap.String("id", q.id), zap.String("server", q.server), zap.String("last_event", q.lastEvent), zap.Error(err))
	return res, pick.Broken
}

// copyHeader copies the end-to-end headers of a response to that of the caller.
func (q *request) copyHeader(resp *send.Response) {
	h := q.w.Header()
	for name, values := range endToEnd(resp.Header) { // without Connection
		h[name] = values
	}
	delete(h, headerOutcome)
	// A nil value keeps net/http from adding a detected type.
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
}

// stream forwards events as they arrive. Only complete events are forwarded, so
// that another server can resume the stream after the last one.
func (q *request) stream(resp *send.Response, onFirstByte func()) (retry.Result, pick.Outcome) {
	control := http.NewResponseController(q.w)
	buf := make([]byte, 0, copyBuffer)
	var events stream.Scanner
	within := 0 // bytes of buf that are within an event
	for {
		if len(buf) >= maxEvent {
			return q.classifyTruncation(errEventTooLong, q.truncationResult())
		}
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
		n, err := resp.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if end := events.Scan(buf[len(buf)-n:]); end > 0 {
			within = n - end
		} else {
			within += n
		}
		q.withinEvent = within > 0
		complete := len(buf)
		if !errors.Is(err, io.EOF) {
			complete = completeEvents(buf)
		}
		if complete > 0 {
			onFirstByte()
			if werr := q.writeEvents(resp, buf[:complete], control); werr != nil {
				return retry.Done, pick.Aborted
			}
			buf = append(buf[:0], buf[complete:]...)
		}
		if errors.Is(err, io.EOF) {
			onFirstByte()
			q.s.stats.StreamEnd(q.service, q.framing, q.withinEvent)
			q.endStream(resp)
			return retry.Done, pick.Served
		}
		if err != nil {
			return q.classifyTruncation(err, q.truncationResult())
		}
	}
}

// truncationResult returns the result of a truncated stream.
func (q *request) truncationResult() retry.Result {
	if q.headerWritten {
		return retry.Truncated
	}
	return retry.Unknown
}

// writeStreamHeader writes the header of a stream, once. It is called with the
// first event: until then a refusal may follow, which must not carry the
// server's signature.
func (q *request) writeStreamHeader(resp *send.Response) {
	if q.headerWritten {
		return
	}
	q.headerWritten = true
	q.copyHeader(resp)
	if resp.Length >= 0 {
		q.w.Header().Set("Content-Length", strconv.FormatInt(resp.Length, 10))
	}
	q.w.WriteHeader(resp.Status)
}

// endStream completes a stream.
func (q *request) endStream(resp *send.Response) {
	q.writeStreamHeader(resp)
	q.finish("served", resp.Status)
}

// writeEvents writes complete events to the caller and flushes them.
func (q *request) writeEvents(resp *send.Response, b []byte, control *http.ResponseController) error {
	if !q.headerWritten {
		q.firstByte = time.Now()
	}
	q.writeStreamHeader(resp)
	_, err := q.w.Write(b)
	if err == nil {
		err = control.Flush()
	}
	if err != nil {
		q.reason = reasonDisconnected
		q.finish("left", resp.Status)
		return err
	}
	if id := lastEventID(b); id != "" {
		q.lastEvent = id
	}
	return nil
}

// completeEvents returns the length of the complete events at the start of b;
// each ends with an empty line.
func completeEvents(b []byte) int {
	i := bytes.LastIndex(b, []byte("\n\n"))
	j := bytes.LastIndex(b, []byte("\r\n\r\n"))
	switch {
	case i < 0 && j < 0:
		return 0
	case j > i:
		return j + 4
	default:
		return i + 2
	}
}

// lastEventID returns the identifier of the last event in b that has one.
func lastEventID(b []byte) string {
	s := string(b)
	for {
		i := strings.LastIndex(s, "id:")
		if i < 0 {
			return ""
		}
		if i == 0 || s[i-1] == '\n' || s[i-1] == '\r' {
			line, _, _ := strings.Cut(s[i+len("id:"):], "\n")
			return strings.TrimSpace(line)
		}
		s = s[:i]
	}
}
