package send

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// errNotTaken means that a response ended with its connection while the server had not received the
// whole request.
var errNotTaken = fmt.Errorf("response ended before its request was received: %w", io.ErrUnexpectedEOF)

// resetDelay is how long the end of a response that ends with its connection waits for a reset: a server
// that closes a connection although it has not read the request may reset it right afterwards.
const resetDelay = 5 * time.Millisecond

// Framing is how a response marks the end of its body.
type Framing int

// Framings. A body of FramingClose ends with its connection, so that a server which
// stopped early can't be told from one which had sent everything. FramingNone is that
// of responses that never have a body.
const (
	FramingNone Framing = iota
	FramingLength
	FramingChunked
	FramingClose
)

// String returns the name of the framing.
func (f Framing) String() string {
	switch f {
	case FramingLength:
		return "length"
	case FramingChunked:
		return "chunked"
	case FramingClose:
		return "close"
	default:
		return "none"
	}
}

// framing returns the framing of the response to a request with the given method.
func framing(method string, resp *http.Response) Framing {
	switch {
	case method == http.MethodHead, resp.StatusCode == http.StatusNoContent, resp.StatusCode == http.StatusNotModified:
		return FramingNone
	case len(resp.TransferEncoding) > 0:
		return FramingChunked
	case resp.ContentLength < 0:
		return FramingClose
	default:
		return FramingLength
	}
}

// Response is a response whose body can be read. It must be closed.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body, -1 if it is not known beforehand.
	Length  int64
	Framing Framing
	// Reused is set when the connection had been used by earlier requests, and Opened
	// is when it was opened.
	Reused bool
	Opened time.Time
	// Asked is set if the server was asked before the request which process it is.
	Asked bool

	client *Client
	conn   *conn
	stop   func() bool
	resp   *http.Response
	// writeErr receives the result of a request that is written concurrently.
	writeErr chan error
	complete bool
}

// exchange writes a request and reads the header of its response.
func (r *Response) exchange(req *Request) *Error {
	b, err := encode(req)
	if err != nil {
		return &Error{Stage: StageConnect, Addr: req.Addr, Err: err}
	}
	if err := r.conn.SetDeadline(req.Deadline); err != nil {
		return &Error{Stage: StageConnect, Addr: req.Addr, Reused: r.conn.reused, Err: err}
	}
	if len(b) > 1 || len(b[0]) > maxInlineWrite {
		r.writeErr = make(chan error, 1)
		go func() {
			_, err := b.WriteTo(r.conn.Conn)
			r.writeErr <- err
		}()
	} else if _, err := r.conn.Write(b[0]); err != nil {
		return &Error{Stage: StageWrite, Addr: req.Addr, Reused: r.conn.reused, Err: err}
	}
	resp, err := readResponse(r.conn, req)
	if err != nil {
		return &Error{Stage: StageWait, Addr: req.Addr, Reused: r.conn.reused, Err: err}
	}
	r.resp = resp
	r.Status = resp.StatusCode
	r.Header = resp.Header
	r.Length = resp.ContentLength
	r.Framing = framing(req.Method, resp)
	r.Reused = r.conn.reused
	r.Opened = r.conn.opened
	r.conn.parseKeepAlive(resp.Header)
	return nil
}

// Read reads the body. It returns io.EOF at the end of a complete body and, with
// FramingClose, when the server closes the connection without a reset after it has
// received the whole request.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.resp.Body.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if r.Framing == FramingClose {
		if err := r.checkTaken(); err != nil {
			return n, err
		}
	}
	r.complete = true
	return n, io.EOF
}

// checkTaken returns an error unless the server has received the whole request. The end of the connection
// does not show it: the kernel reports a reset once, to the concurrent write if that comes first, and
// reads then end as after an ordinary close. The same holds for a reset after a close. The connection
// can't be used afterwards.
func (r *Response) checkTaken() error {
	if r.writeErr != nil {
		// A write of which the kernel has taken all bytes succeeds in spite of the deadline.
		_ = r.conn.SetWriteDeadline(time.Unix(1, 0)) // a closed connection ends the write, too
		if err := r.awaitWritten(); err != nil {
			return errNotTaken
		}
	}
	if err := r.conn.checkAcknowledged(); err != nil {
		return err
	}
	time.Sleep(resetDelay)
	return r.conn.checkAcknowledged()
}

// awaitWritten waits until the concurrent write has ended and returns its error.
func (r *Response) awaitWritten() error {
	err := <-r.writeErr
	r.writeErr <- err // for later calls
	return err
}

// Discard reads the rest of a short body, so that the connection can be reused. A body of
// n bytes or more, or one that lasts longer than d, closes it.
func (r *Response) Discard(n int64, d time.Duration) {
	if r.conn.SetReadDeadline(time.Now().Add(d)) == nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(r, n)) // an error closes the connection
	}
}

// Refused records that the server refused the request. A request with the same identifier
// is not sent on the same connection: a faulty server may write the refusal once more, and
// it could not be told from the response.
func (r *Response) Refused(id string) { r.conn.addRefused(id) }

// Close keeps the connection for later requests if the request was written and
// the response was read completely, and closes it otherwise.
func (r *Response) Close() error {
	r.conn.head.release()
	if !r.reusable() {
		r.closeConn()
		return nil
	}
	if !r.stop() {
		return nil // ctx is done, which closes the connection
	}
	r.client.put(r.conn)
	return nil
}

// reusable reports whether the connection can be used by another request.
func (r *Response) reusable() bool {
	if !r.complete || r.resp.Close || r.Framing == FramingClose || r.conn.br.Buffered() > 0 {
		return false
	}
	if r.writeErr == nil {
		return true
	}
	// Otherwise the server responded before it had read the request.
	return len(r.writeErr) > 0 && r.awaitWritten() == nil
}

// closeConn closes the connection and waits for the concurrent write, which the close ends.
func (r *Response) closeConn() {
	r.conn.head.release()
	r.stop()
	_ = r.conn.Close() // the response is not needed
	if r.writeErr != nil {
		_ = r.awaitWritten() // the response is not needed
	}
}
