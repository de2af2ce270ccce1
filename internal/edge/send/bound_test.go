package send

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/fake/local"
)

const idHeader = "X-Id"

// spout is a server that sends a text and then another one again and again,
// until its peer closes the connection.
type spout struct {
	addr netip.AddrPort
	// sent counts the bytes that the peer, or the kernel for it, took.
	sent atomic.Int64
	left chan struct{}
}

func newSpout(t *testing.T, head, again string) *spout {
	t.Helper()
	addr := local.Addr(t)
	l, err := net.Listen("tcp4", addr.String())
	if err != nil {
		t.Fatal(err)
	}
	s := &spout{addr: addr, left: make(chan struct{})}
	t.Cleanup(func() { _ = l.Close(); <-s.left })
	go func() {
		defer close(s.left)
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		if _, err := c.Read(make([]byte, readBuffer)); err != nil {
			return
		}
		if _, err := io.WriteString(c, head); err != nil {
			return
		}
		for {
			n, err := io.WriteString(c, again)
			s.sent.Add(int64(n))
			if err != nil {
				return
			}
		}
	}()
	return s
}

func ask(addr netip.AddrPort) *Request {
	return &Request{
		Addr: addr, Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{},
		ID: "1", IDHeader: idHeader, Until: time.Now().Add(5 * time.Second),
	}
}

// kernelBuffers is more than the kernel holds of a connection on a loopback
// address.
const kernelBuffers = 16 << 20

// TestBytesWithoutEnd guards against a server whose answer never ends in a
// place where this package reads ahead: memory would grow until the host's
// limit. The connection has to be closed well before the request's end.
func TestBytesWithoutEnd(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\n"
	kilobyte := strings.Repeat("x", 1<<10)
	for name, c := range map[string]struct{ head, again string }{
		"status line":     {"", kilobyte},
		"header line":     {ok + "A: ", kilobyte},
		"header lines":    {ok, "A: " + kilobyte + "\r\n"},
		"empty lines":     {"", "\r\n\r\n"},
		"informational":   {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"other responses": {"", "HTTP/1.1 200 OK\r\n" + idHeader + ": 2\r\nContent-Length: 1024\r\n\r\n" + kilobyte},
		"other response":  {"HTTP/1.1 200 OK\r\n" + idHeader + ": 2\r\nContent-Length: 99999999999\r\n\r\n", kilobyte},
		"chunk size":      {ok + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		"chunk extension": {ok + "Transfer-Encoding: chunked\r\n\r\n1;", kilobyte},
		"extensions":      {ok + "Transfer-Encoding: chunked\r\n\r\n", "1;" + kilobyte + "\r\nx\r\n"},
		"trailers":        {ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: " + kilobyte + "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSpout(t, c.head, c.again)
			client := NewClient(DefaultDial)
			began := time.Now()
			resp, err := client.Do(context.Background(), ask(s.addr))
			if err == nil {
				_, err = io.Copy(io.Discard, resp)
				_ = resp.Close()
			}
			if err == nil {
				t.Error("the answer looks complete")
			}
			<-s.left
			if took := time.Since(began); took > time.Second {
				t.Errorf("the connection was closed after %v", took)
			}
			if n := s.sent.Load(); n > kernelBuffers {
				t.Errorf("the server sent %d bytes", n)
			}
		})
	}
}

// TestBytesAfterResponse guards against bytes behind a complete response that
// a later request on the connection takes for its own.
func TestBytesAfterResponse(t *testing.T) {
	s := newSpout(t, "HTTP/1.1 200 OK\r\n"+idHeader+": 1\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\n"+idHeader+": 1\r\nContent-Length: 5\r\n\r\nagain")
	client := NewClient(DefaultDial)
	resp, err := client.Do(context.Background(), ask(s.addr))
	if err != nil {
		t.Fatal(err)
	}
	b, err := io.ReadAll(resp)
	if err != nil || string(b) != "ok" {
		t.Errorf("body %q, %v", b, err)
	}
	time.Sleep(20 * time.Millisecond) // for the bytes to arrive
	_ = resp.Close()
	second := ask(s.addr)
	second.Until = time.Now().Add(200 * time.Millisecond)
	if resp, err := client.Do(context.Background(), second); err == nil {
		b, _ := io.ReadAll(resp)
		_ = resp.Close()
		t.Errorf("the second request got %q", b)
	}
}
