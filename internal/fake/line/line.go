// Package line is an HTTP/1.1 client for tests. It sends requests as callers on the
// platform do, on explicitly opened connections and without changing any byte.
package line

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/yuccalb/yuccalb/platform"
	"github.com/yuccalb/yuccalb/platform/plattest"
)

// dialTimeout bounds the opening of a connection.
const dialTimeout = time.Second

// Call is a request without its identifier, which Bytes adds.
type Call struct {
	Method, Path string
	Header       http.Header
	Body         string
	// HTTP10 makes it a request of HTTP/1.0.
	HTTP10 bool
}

// Get returns a call without a body.
func Get(path string) Call { return Call{Method: http.MethodGet, Path: path} }

// Post returns a call with a body.
func Post(path, body string) Call { return Call{Method: http.MethodPost, Path: path, Body: body} }

// With returns a copy of the call with a header set. With an empty value the header is
// not sent.
func (c Call) With(name, value string) Call {
	h := c.Header.Clone()
	if h == nil {
		h = make(http.Header)
	}
	h.Set(name, value)
	c.Header = h
	return c
}

// Bytes returns the bytes of the request with an identifier.
func (c Call) Bytes(id string) string {
	var b strings.Builder
	version := "HTTP/1.1"
	if c.HTTP10 {
		version = "HTTP/1.0"
	}
	fmt.Fprintf(&b, "%s %s %s\r\nHost: %s\r\n%s: %s\r\n", c.Method, c.Path, version, plattest.Host, platform.HeaderAttemptID, id)
	for name, values := range c.Header {
		for _, v := range values {
			if v != "" {
				fmt.Fprintf(&b, "%s: %s\r\n", name, v)
			}
		}
	}
	if c.Method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(c.Body))
	}
	return b.String() + "\r\n" + c.Body
}

// Response is a response, or the part of it that arrived before the error Err.
type Response struct {
	Status int
	Header http.Header
	Body   string
	Err    error
	// Close is set when the server closes the connection after the response.
	Close bool
	// Framed is set when the response states the end of its body, by a length or by
	// chunks.
	Framed bool
}

// Conn is a connection of a caller to a host.
type Conn struct {
	net.Conn
	br *bufio.Reader
}

// Dial opens a connection to a host.
func Dial(addr netip.AddrPort) (*Conn, error) {
	c, err := net.DialTimeout("tcp4", addr.String(), dialTimeout)
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	return &Conn{Conn: c, br: bufio.NewReader(c)}, nil
}

// Do sends a call with an identifier and reads the response.
func (c *Conn) Do(call Call, id string) Response {
	if _, err := io.WriteString(c, call.Bytes(id)); err != nil {
		return Response{Err: err}
	}
	return c.Receive(call.Method)
}

// Receive reads the response to a request with the given method.
func (c *Conn) Receive(method string) Response {
	resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
	if err != nil {
		return Response{Err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return Response{Status: resp.StatusCode, Header: resp.Header, Body: string(body), Err: err, Close: resp.Close, Framed: resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0}
}
