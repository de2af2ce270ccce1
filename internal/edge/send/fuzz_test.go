package send

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
)

// bytesConn is a stub connection that reads from a Reader.
type bytesConn struct {
	net.Conn
	io.Reader
}

// Read reads from s.Reader.
func (s bytesConn) Read(p []byte) (int, error) { return s.Reader.Read(p) }

// FuzzReadResponse guards against accepting the response to another request, an invalid status, a
// body longer than the input, and a panic on malformed input.
func FuzzReadResponse(f *testing.F) {
	for _, s := range []string{
		"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n",
		"HTTP/1.0 200 OK\r\nX-Id: 1\r\n\r\nuntil the end",
		"HTTP/1.0 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 000 X\r\n\r\nHTTP/1.1 700 X\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok",
		"no response\r\n\r\n",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		cn := newConn(bytesConn{Reader: bytes.NewReader(b)}, netip.AddrPort{}, &atomic.Int64{})
		resp, err := readResponse(cn, &Request{Method: http.MethodGet, ID: "1", IDHeader: idHeader})
		if err != nil {
			return
		}
		if got := resp.Header.Get(idHeader); got != "1" {
			t.Errorf("the response to request %q was accepted", got)
		}
		if !validStatus(resp.StatusCode) || resp.StatusCode < http.StatusOK {
			t.Errorf("status %d was accepted", resp.StatusCode)
		}
		if n, _ := io.Copy(io.Discard, resp.Body); n > int64(len(b)) {
			t.Errorf("a body of %d bytes from %d bytes", n, len(b))
		}
	})
}
