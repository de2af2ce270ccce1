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
	"github.com/yuccalb/yuccalb/internal/edge/send"
	"github.com/yuccalb/yuccalb/platform"
)

const (
	// maxBuffered is the largest response that is read whole before any of it
	// is passed on, so that a torn one can be replaced.
	maxBuffered = 256 << 10
	// maxEvent bounds an event of a stream in bytes. Only whole events are
	// passed on, so a longer one has to be held.
	maxEvent = 256 << 10
	// copyBuffer is the size of the reads of longer responses, in bytes.
	copyBuffer = 8 << 10
	// maxDrain bounds what is read of a refusal, to keep its connection.
	maxDrain = 16 << 10
)

var errEvent = fmt.Errorf("event of a stream is longer than %d bytes", maxEvent)

// drain reads the rest of a short response, so that its connection is kept.
func drain(resp *send.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp, maxDrain)) // at worst the connection is closed
}

// deliver passes a server's response on.
func (q *request) deliver(resp *send.Response, begun func()) (retry.Result, pick.Outcome) {
	success := resp.Status >= 200 && resp.Status < 300
	if success && resp.Header.Get(platform.HeaderSeal) == "" {
		q.reason = reasonBroken
		q.s.log.Requests.Warn("success without a signature", zap.String("id", q.id), zap.String("server", q.server), zap.Int("status", resp.Status))
		return retry.Unknown, pick.Broken
	}
	if success && q.route.Stream {
		return q.stream(resp, begun)
	}
	if q.began {
		q.reason = reasonCut
		return retry.Truncated, pick.Failed
	}
	return q.whole(resp, begun, success)
}

// whole reads a response and passes it on when it is complete.
func (q *request) whole(resp *send.Response, begun func(), success bool) (retry.Result, pick.Outcome) {
	var body bytes.Buffer
	v := reservation{limit: &q.s.bodies}
	defer v.release()
	err := v.read(&body, resp, maxBuffered)
	if errors.Is(err, errTooLong) || errors.Is(err, errNoMemory) {
		return q.long(resp, &body, begun)
	}
	if err != nil {
		return q.torn(err, retry.Unknown)
	}
	begun()
	outcome := pick.Served
	if resp.Status >= http.StatusInternalServerError {
		outcome = pick.Failed
		if q.retryable() {
			q.reason = "server error"
			return retry.ServerError, outcome
		}
	}
	q.first = time.Now()
	q.copyHeader(resp)
	q.w.Header().Set("Content-Length", strconv.Itoa(body.Len()))
	if q.r.Method == http.MethodHead && resp.Length >= 0 {
		q.w.Header().Set("Content-Length", strconv.FormatInt(resp.Length, 10))
	}
	q.w.WriteHeader(resp.Status)
	if _, err := q.w.Write(body.Bytes()); err != nil {
		q.s.log.Debug("caller did not take its response", zap.String("id", q.id), zap.Error(err))
	}
	name := "served"
	if !success {
		name = "failed"
		q.reason = "server error"
	}
	q.finish(name, resp.Status)
	return retry.Done, outcome
}

// retryable reports whether a server's error can be replaced by another
// attempt, and takes that from the budget.
func (q *request) retryable() bool {
	if q.forwarded || q.left() < minRetry || !q.rules().Allows(retry.ServerError, q.tally) {
		return false
	}
	b := budget(q.s.fleet.Service(q.service))
	return b != nil && b.Withdraw()
}

// minRetry is the least time left for another attempt.
const minRetry = 150 * time.Millisecond

// long passes on a response that is too long to be read whole first.
func (q *request) long(resp *send.Response, head *bytes.Buffer, begun func()) (retry.Result, pick.Outcome) {
	begun()
	q.first = time.Now()
	q.copyHeader(resp)
	if resp.Length >= 0 {
		q.w.Header().Set("Content-Length", strconv.FormatInt(resp.Length, 10))
	}
	q.w.WriteHeader(resp.Status)
	q.began = true
	_, err := q.w.Write(head.Bytes())
	if err == nil {
		_, err = io.Copy(q.w, resp)
	}
	if err != nil {
		return q.torn(err, retry.Truncated)
	}
	q.finish("served", resp.Status)
	return retry.Done, pick.Served
}

// torn sorts a response that broke off.
func (q *request) torn(err error, res retry.Result) (retry.Result, pick.Outcome) {
	if cancelled(q.r.Context()) {
		return res, pick.Aborted
	}
	q.reason = reasonCut
	if q.left() <= 0 {
		q.reason = reasonTimeout
	}
	q.s.log.Requests.Warn("response broke off", zap.String("id", q.id), zap.String("server", q.server), zap.String("last_event", q.lastID), zap.Error(err))
	return res, pick.Broken
}

// copyHeader takes over the headers of a response.
func (q *request) copyHeader(resp *send.Response) {
	h := q.w.Header()
	for name, values := range passed(resp.Header) { // it holds no Connection
		h[name] = values
	}
	delete(h, headerOutcome)
	// net/http would add a type of its own otherwise.
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
}

// stream passes events on as they come. Only whole events are passed on, so
// that another server can go on after the last one.
func (q *request) stream(resp *send.Response, begun func()) (retry.Result, pick.Outcome) {
	control := http.NewResponseController(q.w)
	buf := make([]byte, 0, copyBuffer)
	for {
		if len(buf) >= maxEvent {
			return q.torn(errEvent, q.cutResult())
		}
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
		n, err := resp.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		whole := len(buf)
		if !errors.Is(err, io.EOF) {
			whole = events(buf)
		}
		if whole > 0 {
			begun()
			if werr := q.passEvents(resp, buf[:whole], control); werr != nil {
				return retry.Done, pick.Aborted
			}
			buf = append(buf[:0], buf[whole:]...)
		}
		if errors.Is(err, io.EOF) {
			begun()
			q.endStream(resp)
			return retry.Done, pick.Served
		}
		if err != nil {
			return q.torn(err, q.cutResult())
		}
	}
}

// cutResult tells a stream that has begun from one that has not.
func (q *request) cutResult() retry.Result {
	if q.began {
		return retry.Truncated
	}
	return retry.Unknown
}

// begin writes the header of a stream. It is written with the first event: a
// refusal may follow until then, and must not bear the server's signature.
func (q *request) begin(resp *send.Response) {
	if q.began {
		return
	}
	q.began = true
	q.copyHeader(resp)
	if resp.Length >= 0 {
		q.w.Header().Set("Content-Length", strconv.FormatInt(resp.Length, 10))
	}
	q.w.WriteHeader(resp.Status)
}

// endStream completes a stream.
func (q *request) endStream(resp *send.Response) {
	q.begin(resp)
	q.finish("served", resp.Status)
}

// passEvents writes whole events to the caller.
func (q *request) passEvents(resp *send.Response, b []byte, control *http.ResponseController) error {
	if !q.began {
		q.first = time.Now()
	}
	q.begin(resp)
	_, err := q.w.Write(b)
	if err == nil {
		err = control.Flush()
	}
	if err != nil {
		q.reason = reasonLeft
		q.finish("left", resp.Status)
		return err
	}
	if id := lastEventID(b); id != "" {
		q.lastID = id
	}
	return nil
}

// events returns the length of the whole events at the start of b: each ends
// with an empty line.
func events(b []byte) int {
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
