package send

import (
	"errors"
	"io"
	"net/http"
)

// Response is a response whose body is being read.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body, -1 if it is not known beforehand.
	Length int64
	// Chunked is set when the body has an explicit end.
	Chunked bool

	client *Client
	conn   *conn
	stop   func() bool
	resp   *http.Response
	// writing receives the error of a body that is written meanwhile.
	writing chan error
	ended   bool
}

// exchange writes a request and reads the header of its response.
func (r *Response) exchange(req *Request) *Error {
	b, err := encode(req)
	if err != nil {
		return &Error{Stage: StageConnect, Addr: req.Addr, Err: err}
	}
	if err := r.conn.SetDeadline(req.Until); err != nil {
		return &Error{Stage: StageConnect, Addr: req.Addr, Reused: r.conn.reused, Err: err}
	}
	if len(b) > inline {
		r.writing = make(chan error, 1)
		go func() {
			_, err := r.conn.Write(b)
			r.writing <- err
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
	r.conn.note(resp.Header)
	return nil
}

// Read reads the body. It returns io.EOF only at the end of a complete body.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.resp.Body.Read(p)
	if errors.Is(err, io.EOF) {
		r.ended = true
	}
	return n, err
}

// Close keeps the connection for later requests if the response was read
// whole and the request written whole, and closes it otherwise.
func (r *Response) Close() error {
	if !r.reusable() {
		r.abandon()
		return nil
	}
	if !r.stop() {
		return nil // the context's end closes the connection
	}
	r.client.put(r.conn)
	return nil
}

func (r *Response) reusable() bool {
	if !r.ended || r.resp.Close || r.conn.br.Buffered() > 0 {
		return false
	}
	if r.Length < 0 && !r.Chunked {
		return false
	}
	if r.writing == nil {
		return true
	}
	select {
	case err := <-r.writing:
		return err == nil
	default:
		return false // the server answered before it had read the request
	}
}

// abandon closes the connection.
func (r *Response) abandon() {
	r.stop()
	_ = r.conn.Close() // the response is given up
}
