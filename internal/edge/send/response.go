package send

import (
	"errors"
	"io"
	"net/http"
)

// Response is a response whose body can be read. It must be closed.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body, -1 if it is not known beforehand.
	Length int64
	// Chunked is set when the body has a transfer encoding, which marks its end.
	Chunked bool

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
	if len(b) > maxInlineWrite {
		r.writeErr = make(chan error, 1)
		go func() {
			_, err := r.conn.Write(b)
			r.writeErr <- err
		}()
	} else if _, err := r.conn.Write(b); err != nil {
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
	r.Chunked = len(resp.TransferEncoding) > 0
	r.conn.parseKeepAlive(resp.Header)
	return nil
}

// Read reads the body. It returns io.EOF only at the end of a complete body.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.resp.Body.Read(p)
	if errors.Is(err, io.EOF) {
		r.complete = true
	}
	return n, err
}

// Close keeps the connection for later requests if the request was written and
// the response was read completely, and closes it otherwise.
func (r *Response) Close() error {
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
	if !r.complete || r.resp.Close || r.conn.br.Buffered() > 0 {
		return false
	}
	if r.Length < 0 && !r.Chunked {
		return false
	}
	if r.writeErr == nil {
		return true
	}
	select {
	case err := <-r.writeErr:
		return err == nil
	default:
		return false // the server responded before it had read the request
	}
}

// closeConn closes the connection.
func (r *Response) closeConn() {
	r.stop()
	_ = r.conn.Close() // the response is not needed
}
