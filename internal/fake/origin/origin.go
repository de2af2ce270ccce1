// Package origin is a scripted backend server for tests: a function handles
// each request on the raw connection, so that it can send anything, or
// nothing.
package origin

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/fake/local"
	"github.com/yuccalb/yuccalb/platform"
)

// Exchange is one request and the connection to answer it on.
type Exchange struct {
	*http.Request
	// Raw is the header as it arrived.
	Raw string
	// Body is the whole body, unless the script reads it itself.
	Body []byte
	Conn net.Conn
	// Arrived is when the header was read.
	Arrived time.Time
	// Left is closed when the gateway closes the connection.
	Left <-chan struct{}
}

// Script answers a request. It returns false to close the connection.
type Script func(x *Exchange) bool

// Server is a running backend server.
type Server struct {
	listener net.Listener
	script   Script
	// Lazy servers read no bodies before the script runs.
	Lazy bool

	mu    sync.Mutex
	seen  []*Exchange
	conns map[net.Conn]bool
	done  sync.WaitGroup
}

// New starts a server, which is closed at the end of the test. Its address is
// the test's own, so that no request of another test reaches it.
func New(t testing.TB, script Script) *Server {
	t.Helper()
	l, err := net.Listen("tcp4", local.Addr(t).String())
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{listener: l, script: script, conns: make(map[net.Conn]bool)}
	s.done.Go(s.accept)
	t.Cleanup(s.Close)
	return s
}

// Addr returns the address of the server.
func (s *Server) Addr() netip.AddrPort {
	return netip.MustParseAddrPort(s.listener.Addr().String())
}

// Seen returns the requests so far.
func (s *Server) Seen() []*Exchange {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*Exchange(nil), s.seen...)
}

// Close closes all connections and waits for the scripts.
func (s *Server) Close() {
	_ = s.listener.Close() // ends accept
	s.mu.Lock()
	for c := range s.conns {
		_ = c.Close() // ends its script
	}
	s.mu.Unlock()
	s.done.Wait()
}

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		s.done.Go(func() { s.serve(c) })
	}
}

// tap keeps what was read.
type tap struct {
	io.Reader
	read strings.Builder
}

func (t *tap) Read(p []byte) (int, error) {
	n, err := t.Reader.Read(p)
	t.read.Write(p[:n])
	return n, err
}

func (s *Server) serve(c net.Conn) {
	defer func() { _ = c.Close() }() // the script has ended
	t := &tap{Reader: c}
	br := bufio.NewReader(t)
	for {
		t.read.Reset()
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		x := &Exchange{Request: req, Conn: c, Arrived: time.Now()}
		x.Raw, _, _ = strings.Cut(t.read.String(), "\r\n\r\n")
		if !s.Lazy {
			if x.Body, err = io.ReadAll(req.Body); err != nil {
				return
			}
		}
		left := make(chan struct{})
		x.Left = left
		s.mu.Lock()
		s.seen = append(s.seen, x)
		s.mu.Unlock()
		if !s.Lazy {
			go watch(br, left)
		}
		if !s.script(x) {
			return
		}
		if !s.Lazy {
			_ = c.SetReadDeadline(time.Now()) // ends watch
			<-left
			_ = c.SetReadDeadline(time.Time{})
		}
	}
}

// watch closes left when the peer closes the connection or the read is ended.
func watch(br *bufio.Reader, left chan struct{}) {
	_, err := br.Peek(1)
	var timeout net.Error
	if err == nil || errors.As(err, &timeout) && timeout.Timeout() {
		close(left)
		return
	}
	close(left)
}

// ID returns the identifier of the request.
func (x *Exchange) ID() string { return x.Header.Get(platform.HeaderAttemptID) }

// Reply sends a complete response with the server's signature, and with
// further lines of the head.
func (x *Exchange) Reply(status int, body string, lines ...string) bool {
	return x.Send(fmt.Sprintf("HTTP/1.1 %d X\r\n%s: %s\r\n%s: seal-%s\r\n%sContent-Length: %d\r\n\r\n%s",
		status, platform.HeaderAttemptID, x.ID(), platform.HeaderSignature, x.ID(), head(lines), len(body), body))
}

// Refuse says that the request did not run.
func (x *Exchange) Refuse() bool { return x.RefuseWith() }

// RefuseWith says that the request did not run, with further lines of the
// head.
func (x *Exchange) RefuseWith(lines ...string) bool {
	return x.Send(fmt.Sprintf("HTTP/1.1 503 X\r\n%s: %s\r\n%s: 1\r\n%sContent-Length: 0\r\n\r\n",
		platform.HeaderAttemptID, x.ID(), platform.HeaderNotRun, head(lines)))
}

// head returns lines of a head with their ends.
func head(lines []string) string {
	var b strings.Builder
	for _, l := range lines {
		b.WriteString(l + "\r\n")
	}
	return b.String()
}

// StartStream sends the header of a stream, with further lines of the head.
func (x *Exchange) StartStream(lines ...string) bool {
	return x.Send(fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal-%s\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		platform.HeaderAttemptID, x.ID(), platform.HeaderSignature, x.ID(), head(lines)))
}

// Chunk sends a part of a stream.
func (x *Exchange) Chunk(s string) bool { return x.Send(fmt.Sprintf("%x\r\n%s\r\n", len(s), s)) }

// EndStream completes a stream.
func (x *Exchange) EndStream() bool { return x.Send("0\r\n\r\n") }

// Event returns the text of an event of a stream.
func Event(id int) string { return fmt.Sprintf("id: %d\ndata: part %d\n\n", id, id) }

// Events returns the text of events from first to last.
func Events(first, last int) string {
	var b strings.Builder
	for id := first; id <= last; id++ {
		b.WriteString(Event(id))
	}
	return b.String()
}

// Misdirect says that the request is not for this server.
func (x *Exchange) Misdirect() bool {
	return x.Send(fmt.Sprintf("HTTP/1.1 421 X\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", platform.HeaderAttemptID, x.ID()))
}

// Send sends raw bytes. It returns false if the connection is closed.
func (x *Exchange) Send(s string) bool {
	_, err := io.WriteString(x.Conn, s)
	return err == nil
}

// Reset closes the connection with a reset instead of an orderly end.
func (x *Exchange) Reset() bool {
	if c, ok := x.Conn.(*net.TCPConn); ok {
		_ = c.SetLinger(0) // the close that follows is a reset
	}
	return false
}
