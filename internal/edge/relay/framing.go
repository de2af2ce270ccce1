package relay

import (
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/yuccalb/yuccalb/internal/edge/intake"
	"github.com/yuccalb/yuccalb/internal/edge/send"
)

// recordFraming records how a response marks its end. Between hosts a body is always
// marked, so that a host which dies is not taken for the end of a server's response;
// headerFraming states that the server did not mark it.
func (q *request) recordFraming(resp *send.Response) {
	q.framing = resp.Framing.String()
	q.withinEvent = false
	q.endUnknown = resp.Framing == send.FramingClose
	if q.fromPeerHost() && resp.Header.Get(headerFraming) != "" {
		q.framing = resp.Header.Get(headerFraming)
		q.endUnknown = true
	}
}

// fromPeerHost reports whether the response to the last attempt comes from another host
// and not from a server.
func (q *request) fromPeerHost() bool { return q.dest.region != "" }

// writeHeader writes the status and the header of a response; length is that of the body,
// -1 if it is not known beforehand. An end that is not known is not marked either: such a
// response ends with its connection.
func (q *request) writeHeader(resp *send.Response, length int64) {
	q.copyHeader(resp)
	q.closeIfDraining()
	q.boundWrites()
	h := q.w.Header()
	switch {
	case q.endUnknown && q.forwarded:
		q.endUnmarked = true
		h.Set(headerFraming, q.framing)
	case q.endUnknown:
		q.endUnmarked = true
		q.endsWithConn = true
		h.Set("Transfer-Encoding", "identity") // net/http sends no chunks and closes the connection
	case length >= 0:
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	default:
		q.endsWithConn = !q.r.ProtoAtLeast(1, 1)
	}
	if q.endsWithConn {
		q.resetOnClose(true)
	}
	q.w.WriteHeader(resp.Status)
}

// resetOnClose sets whether a close of the caller's connection is a reset, whatever closes it: a write that
// fails because the caller reads too slowly, the end of a planned stop, or the end of the process.
func (q *request) resetOnClose(on bool) {
	c, ok := intake.ConnOf(q.r.Context())
	if !ok {
		return
	}
	sec := -1 // the default
	if on {
		sec = 0
	}
	if err := c.SetLinger(sec); err != nil {
		q.s.log.Debug("close of the connection not set", zap.String("id", q.id), zap.Error(err))
	}
}

// endUnmarkedBody ends a response that ends with its connection, once all of it is written: from then on its
// close is an ordinary one.
func (q *request) endUnmarkedBody() error {
	if !q.endsWithConn {
		return nil
	}
	if err := http.NewResponseController(q.w).Flush(); err != nil {
		return err
	}
	q.resetOnClose(false)
	return nil
}

// writeMargin is the time after the deadline, or after the beginning of a later response,
// until which the caller must have read it.
const writeMargin = 500 * time.Millisecond

// boundWrites ends the response if its caller does not read it in time. The limit ends
// with the next request on the connection.
func (q *request) boundWrites() {
	end := time.Now()
	if q.deadline.After(end) {
		end = q.deadline
	}
	q.setWriteDeadline(end.Add(writeMargin))
}

// setWriteDeadline sets the time at which writes to the caller fail.
func (q *request) setWriteDeadline(at time.Time) {
	if err := http.NewResponseController(q.w).SetWriteDeadline(at); err != nil {
		q.s.log.Debug("write deadline not set", zap.String("id", q.id), zap.Error(err))
	}
}

// copyHeader copies the end-to-end headers of a response to that of the caller.
func (q *request) copyHeader(resp *send.Response) {
	h := q.w.Header()
	for name, values := range endToEnd(resp.Header) { // without Connection
		h[name] = values
	}
	delete(h, headerOutcome)
	delete(h, headerFraming)
	delete(h, headerVersion)
	delete(h, headerRecorded)
	delete(h, headerClock)
	if q.forwarded {
		h[headerClock] = []string{q.s.clockNow()}
		setVersion(h, q.choice.Version)
		q.setRecorded(h)
	}
	// A nil value keeps net/http from adding a detected type.
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
}

// abort ends a response whose header was written, so that the caller does not take it for
// complete. It panics with http.ErrAbortHandler, on which net/http closes the connection
// without the end of the response, unless the response ends with its connection. This
// one is reset then.
func (q *request) abort() {
	if !q.endsWithConn {
		panic(http.ErrAbortHandler)
	}
	control := http.NewResponseController(q.w)
	_ = control.Flush() // a caller that has left needs no reset
	conn, _, err := control.Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	resetConn(conn)
}

const (
	// maxResetDelay bounds the wait for the bytes written before a reset, which
	// discards those that the caller has not acknowledged. resetPoll is the interval
	// between checks.
	maxResetDelay = 300 * time.Millisecond
	resetPoll     = 5 * time.Millisecond
)

// resetConn closes a connection with a TCP reset, if possible after the peer has received
// all that was written.
func resetConn(c net.Conn) {
	defer func() { _ = c.Close() }() // the connection is given up
	tcp, ok := c.(interface {
		syscall.Conn
		SetLinger(sec int) error
	})
	if !ok {
		return
	}
	for end := time.Now().Add(maxResetDelay); unsent(tcp) > 0 && time.Now().Before(end); {
		time.Sleep(resetPoll)
	}
	_ = tcp.SetLinger(0) // without it the close is an ordinary one
}

// unsent returns the number of bytes that the peer has not acknowledged, 0 if it can't be
// determined.
func unsent(c syscall.Conn) int {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	err = raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ) })
	if err != nil {
		return 0
	}
	return n
}
