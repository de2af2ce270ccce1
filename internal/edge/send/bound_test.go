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

// endlessServer is a fake server that sends one text, and then repeats another
// until its peer closes the connection.
type endlessServer struct {
	addr netip.AddrPort
	// sent counts the bytes that were written to the kernel.
	sent atomic.Int64
	// closed is closed when the connection has ended.
	closed chan struct{}
}

func newEndlessServer(t *testing.T, head, repeated string) *endlessServer {
	t.Helper()
	addr := local.Addr(t)
	l, err := net.Listen("tcp4", addr.String())
	if err != nil {
		t.Fatal(err)
	}
	s := &endlessServer{addr: addr, closed: make(chan struct{})}
	t.Cleanup(func() { _ = l.Close(); <-s.closed })
	go func() {
		defer close(s.closed)
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
			n, err := io.WriteString(c, repeated)
			s.sent.Add(int64(n))
			if err != nil {
				return
			}
		}
	}()
	return s
}

func newRequest(addr netip.AddrPort) *Request {
	return &Request{
		Addr: addr, Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{},
		ID: "1", IDHeader: idHeader, Deadline: time.Now().Add(5 * time.Second),
	}
}

// kernelBuffers exceeds what the kernel buffers for a loopback connection.
const kernelBuffers = 16 << 20

// TestEndlessResponse guards against memory that grows up to the limit of the host
// because some part of a response does not end, where this package buffers what
// it reads. The connection must be closed well before the request's deadline.
func TestEndlessResponse(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\n"
	kilobyte := strings.Repeat("x", 1<<10)
	for name, c := range map[string]struct{ head, repeated string }{
		"status line":     {"", kilobyte},
		"header line":     {ok + "A: ", kilobyte},
		"header lines":    {ok, "A: " + kilobyte + "\r\n"},
		"short lines":     {ok, "a:\r\n"},
		"spaces":          {"", " "},
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
			s := newEndlessServer(t, c.head, c.repeated)
			client := NewClient(DefaultDial)
			began := time.Now()
			resp, err := client.Do(context.Background(), newRequest(s.addr))
			if err == nil {
				_, err = io.Copy(io.Discard, resp)
				_ = resp.Close()
			}
			if err == nil {
				t.Error("the endless response was taken for complete")
			}
			<-s.closed
			if took := time.Since(began); took > time.Second {
				t.Errorf("the connection was closed after %v", took)
			}
			if n := s.sent.Load(); n > kernelBuffers {
				t.Errorf("the server sent %d bytes", n)
			}
		})
	}
}

// TestBytesAfterResponse guards against bytes after a complete response that are
// taken for the response to a later request on the same connection.
func TestBytesAfterResponse(t *testing.T) {
	s := newEndlessServer(t, "HTTP/1.1 200 OK\r\n"+idHeader+": 1\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\n"+idHeader+": 1\r\nContent-Length: 5\r\n\r\nagain")
	client := NewClient(DefaultDial)
	resp, err := client.Do(context.Background(), newRequest(s.addr))
	if err != nil {
		t.Fatal(err)
	}
	b, err := io.ReadAll(resp)
	if err != nil || string(b) != "ok" {
		t.Errorf("body %q, %v", b, err)
	}
	time.Sleep(20 * time.Millisecond) // for the bytes to arrive
	_ = resp.Close()
	second := newRequest(s.addr)
	second.Deadline = time.Now().Add(200 * time.Millisecond)
	if resp, err := client.Do(context.Background(), second); err == nil {
		b, _ := io.ReadAll(resp)
		_ = resp.Close()
		t.Errorf("the second request got %q", b)
	}
}
