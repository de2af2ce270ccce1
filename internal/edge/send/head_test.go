package send

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"
)

// readerConn is a connection from which a text is read.
type readerConn struct {
	net.Conn
	io.Reader
}

func (c readerConn) Read(p []byte) (int, error) { return c.Reader.Read(p) }

// TestHeadLines guards against a head of many short fields, which takes many times its
// size in memory, and against counting the lines of the body.
func TestHeadLines(t *testing.T) {
	fields := func(n int) string {
		var b strings.Builder
		for i := range n {
			b.WriteString("a" + strconv.Itoa(i) + ":\r\n")
		}
		return "HTTP/1.1 200 OK\r\n" + b.String()
	}
	for _, c := range []struct {
		name, text string
		want       error
	}{
		{"as many as allowed", fields(maxLines-2) + "\r\n", nil},
		{"too many", fields(maxLines), errTooManyLines},
		{"many in the body", fields(3) + "\r\n" + strings.Repeat("\n", 1000), nil},
		{"after an informational response", "HTTP/1.1 102 P\r\n\r\n" + fields(2000), errTooManyLines},
	} {
		for _, r := range []io.Reader{strings.NewReader(c.text), iotest.OneByteReader(strings.NewReader(c.text))} {
			cn := newConn(readerConn{Reader: r}, netip.AddrPort{}, &atomic.Int64{})
			resp, err := cn.readHead(&http.Request{Method: http.MethodGet})
			if err == nil && resp.StatusCode < http.StatusOK {
				_, err = cn.readHead(&http.Request{Method: http.MethodGet})
			}
			if !errors.Is(err, c.want) {
				t.Errorf("%s: %v, want %v", c.name, err, c.want)
			}
		}
	}
}

// TestLongHeads guards against the memory of long heads that many requests hold at the
// same time, and against heads that count for longer than their request.
func TestLongHeads(t *testing.T) {
	var long atomic.Int64
	text := "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", 2*longHead) + "\r\nContent-Length: 0\r\n\r\n"
	var list []*conn
	for i := range maxLongHeads + 1 {
		cn := newConn(readerConn{Reader: strings.NewReader(text + text)}, netip.AddrPort{}, &long)
		_, err := cn.readHead(&http.Request{Method: http.MethodGet})
		if full := i == maxLongHeads; errors.Is(err, errManyLongHeads) != full {
			t.Fatalf("head %d: %v", i, err)
		}
		list = append(list, cn)
	}
	for _, cn := range list {
		cn.head.release()
		cn.head.release()
	}
	if n := long.Load(); n != 0 {
		t.Errorf("%d heads are counted after their release", n)
	}
}

// TestCutHead guards against a response whose server stopped within its header and that counts as one without
// the rest: without the length, a part of the body, or none, would look whole. Operators of such systems saw it.
func TestCutHead(t *testing.T) {
	const fields = idHeader + ": 1\r\nSignature: s\r\nContent-Type: text/event-stream\r\n"
	for name, text := range map[string]string{
		"length":       "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 1234\r\n\r\n",
		"chunks":       "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n",
		"neither":      "HTTP/1.1 200 OK\r\n" + fields + "\r\n",
		"HTTP/1.0":     "HTTP/1.0 200 OK\r\n" + fields + "Content-Length: 1234\r\n\r\n",
		"line feeds":   strings.ReplaceAll("HTTP/1.1 200 OK\r\n"+fields+"Content-Length: 1234\r\n\r\n", "\r\n", "\n"),
		"folded field": "HTTP/1.1 200 OK\r\n" + fields + "Link: a,\r\n b\r\n\tc\r\nContent-Length: 1234\r\n\r\n",
		"no reason":    "HTTP/1.1 200\r\n" + fields + "Content-Length: 1234\r\n\r\n",
		"interim":      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\n" + fields + "Content-Length: 1234\r\n\r\n",
		"stray":        "HTTP/1.1 200 OK\r\n" + idHeader + ": 2\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n" + fields + "Content-Length: 1234\r\n\r\n",
	} {
		for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodHead} {
			for n := range len(text) {
				cn := newConn(readerConn{Reader: strings.NewReader(text[:n])}, netip.AddrPort{}, &atomic.Int64{})
				resp, err := readResponse(cn, &Request{Method: method, ID: "1", IDHeader: idHeader})
				if err == nil {
					t.Errorf("%s, %s, cut after %q: status %d, length %d", name, method, text[max(n-20, 0):n], resp.StatusCode, resp.ContentLength)
				}
			}
		}
	}
}
