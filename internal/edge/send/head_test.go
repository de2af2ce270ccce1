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
