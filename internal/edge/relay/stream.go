package relay

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/core/pick"
	"github.com/yuccalb/yuccalb/internal/core/retry"
	"github.com/yuccalb/yuccalb/internal/core/stream"
	"github.com/yuccalb/yuccalb/internal/edge/intake"
	"github.com/yuccalb/yuccalb/internal/edge/send"
)

const (
	// maxEvent bounds an event of a stream in bytes. Only complete events are
	// forwarded, so each is held in memory.
	maxEvent = 256 << 10
	// copyBuffer is the initial size of the buffer of a stream, and the size of that
	// of a body which is not held, in bytes.
	copyBuffer = 8 << 10
)

var (
	errEventTooLong = fmt.Errorf("stream event exceeds %d bytes", maxEvent)
	errWithinEvent  = fmt.Errorf("stream ends within an event: %w", io.ErrUnexpectedEOF)
)

// stream forwards events as they arrive. Only complete events are forwarded, so
// that another server can resume the stream after the last one.
func (q *request) stream(resp *send.Response, onFirstByte func()) (retry.Result, pick.Outcome) {
	control := http.NewResponseController(q.w)
	buf := make([]byte, 0, copyBuffer)
	v := q.s.bodies.Response()
	v.Hold(copyBuffer)
	defer v.Release()
	var events stream.Scanner
	whole := 0 // length of the events at the start of buf that are whole
	last := q.lastEvent
	checked := last == "" // whether the events go on after the last one
	for {
		if len(buf) >= maxEvent {
			return q.classifyTruncation(errEventTooLong, q.truncationResult())
		}
		if len(buf) == cap(buf) {
			size := min(2*cap(buf), maxEvent)
			if !v.Reserve(int64(size)) {
				return q.classifyTruncation(intake.ErrNoMemory, q.truncationResult())
			}
			buf = append(make([]byte, 0, size), buf...)
		}
		held := len(buf)
		n, err := resp.Read(buf[held:cap(buf)])
		buf = buf[:held+n]
		if end := events.Scan(buf[held:]); end > 0 {
			whole = held + end
		}
		if n > 0 {
			q.recordBytes()
		}
		if whole > 0 && !checked {
			follows, known := stream.Follows(buf[:whole], last)
			if known && !follows {
				return q.streamBegunAgain(last)
			}
			checked = known || errors.Is(err, io.EOF)
		}
		if whole > 0 && checked {
			onFirstByte()
			if events.Ended() {
				q.recordBegun()
			}
			if res, ok := q.awaitRecord(); !ok {
				return res, pick.Aborted
			}
			if werr := q.writeEvents(resp, buf[:whole], control); werr != nil {
				return retry.Done, pick.Aborted
			}
			rest := buf[whole:]
			if buf = buf[:0]; len(rest) < copyBuffer && v.Held() > copyBuffer {
				buf = make([]byte, 0, copyBuffer)
				v.Hold(copyBuffer)
			}
			buf = append(buf, rest...)
			whole = 0
		}
		if errors.Is(err, io.EOF) {
			return q.endStream(resp, len(buf) > 0, onFirstByte)
		}
		if err != nil {
			return q.classifyTruncation(err, q.truncationResult())
		}
	}
}

// streamBegunAgain ends an attempt whose server was to go on after the event last, and began the
// stream again: its events do not fit those that the caller has.
func (q *request) streamBegunAgain(last string) (retry.Result, pick.Outcome) {
	q.reason = reasonBegunAgain
	q.s.log.Requests.Warn("stream begun again", zap.String("id", q.id), zap.String("server", q.server), zap.String("last_event", last))
	return q.truncationResult(), pick.Broken
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
	q.pinResponse(resp)
	q.headerWritten = true
	q.keepAtStop()
	length := resp.Length
	if q.route.Resumable {
		length = -1 // another server may send the rest, and more of it
	}
	q.writeHeader(resp, length)
}

// endStream completes a stream whose server has ended it, within an event or after one.
func (q *request) endStream(resp *send.Response, withinEvent bool, onFirstByte func()) (retry.Result, pick.Outcome) {
	q.withinEvent = withinEvent
	q.s.stats.StreamEnd(q.service, q.framing, withinEvent)
	if withinEvent {
		return q.classifyTruncation(errWithinEvent, q.truncationResult())
	}
	if err := q.checkServerEnded(); err != nil {
		return q.classifyTruncation(err, q.truncationResult())
	}
	q.connLost = q.endUnknown
	if q.began || !q.endUnknown {
		q.recordComplete()
	}
	onFirstByte()
	q.writeStreamHeader(resp)
	if q.endUnknown && !q.endUnmarked {
		// The header promised an end that is marked: it was written for the response
		// of another server, which this one resumed.
		q.reason = reasonEndUnknown
		return retry.EndUnknown, pick.Served
	}
	if err := q.endUnmarkedBody(); err != nil {
		q.reason = reasonDisconnected
		q.finish("left", resp.Status)
		return retry.Done, pick.Aborted
	}
	q.finish("served", resp.Status)
	return retry.Done, pick.Served
}

// recordPause records that events were passed on at now.
func (q *request) recordPause(now time.Time) {
	if !q.lastWrite.IsZero() {
		q.pause = max(q.pause, now.Sub(q.lastWrite))
	}
	q.lastWrite = now
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
	q.recordPause(time.Now())
	q.eventsPassed = q.eventsPassed || q.began
	if id := stream.LastID(b); id != "" {
		q.lastEvent = id
	}
	return nil
}
