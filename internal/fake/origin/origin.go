// Package origin provides a scripted fake backend server for tests. A function answers
// each request on the raw connection, so that it can send any bytes or none.
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

// Exchange is one request and the connection on which it is answered.
type Exchange struct {
	*http.Request
	// Raw is the request line and the header as received.
	Raw string
	// Body is the whole body. It is empty on a server with LeaveBody set until the script
	// calls ReadBody.
	Body []byte
	Conn net.Conn
	// Arrived is the time at which the header was read.
	Arrived time.Time
	// Closed is closed when the gateway closes the connection, and at the latest after
	// the script has returned. On a server with LeaveBody set it is not closed before the
	// script has called ReadBody.
	Closed <-chan struct{}

	closed  chan struct{}
	watched bool // until closed is closed
	br      *bufio.Reader
}

// Script answers a request. If it returns false, the server closes the connection.
type Script func(x *Exchange) bool

// Server is a running backend server.
type Server struct {
	listener net.Listener
	script   Script
	// LeaveBody makes the server leave the body of a request to the script.
	LeaveBody bool

	mu     sync.Mutex
	seen   []*Exchange
	conns  map[net.Conn]bool
	closed bool
	done   sync.WaitGroup
}

// New starts a server, which is closed at the end of the test. No other test uses its
// address, so that it receives no requests of other tests.
func New(t testing.TB, script Script) *Server {
	t.Helper()
	l, err := net.Listen("tcp4", local.Addr(t).String())
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{listener: l, script: script, conns: make(map[net.Conn]bool)}
	s.done.Go(func() { s.accept(l) })
	t.Cleanup(s.Close)
	return s
}

// Addr returns the address of the server.
func (s *Server) Addr() netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	return netip.MustParseAddrPort(s.listener.Addr().String())
}

// Seen returns the requests received so far.
func (s *Server) Seen() []*Exchange {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*Exchange(nil), s.seen...)
}

// Close closes the listener and all connections, and waits for the scripts.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.Crash()
	s.done.Wait()
}

// Crash closes the listener and all connections, as the end of a process does. It does not
// wait for the scripts, so that a script may call it.
func (s *Server) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.listener.Close() // makes accept return
	for c := range s.conns {
		_ = c.Close() // makes reads and writes of its script fail
	}
}

// Unlisten closes the listener and keeps the connections, as a process does that stops in an orderly way.
func (s *Server) Unlisten() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.listener.Close() // makes accept return
}

// Recover makes a server that crashed listen again, at the same address. It does nothing
// after Close.
func (s *Server) Recover() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	l, err := net.Listen("tcp4", s.listener.Addr().String())
	if err != nil {
		return fmt.Errorf("listen again: %w", err)
	}
	s.listener = l
	s.done.Go(func() { s.accept(l) })
	return nil
}

func (s *Server) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		s.done.Go(func() { s.serve(c) })
	}
}

// recorder is a reader that keeps a copy of the data read.
type recorder struct {
	io.Reader
	read strings.Builder
}

func (r *recorder) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.read.Write(p[:n])
	return n, err
}

func (s *Server) serve(c net.Conn) {
	defer func() { _ = c.Close() }() // no error to handle: the script has returned
	rec := &recorder{Reader: c}
	br := bufio.NewReader(rec)
	for {
		rec.read.Reset()
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		x := &Exchange{Request: req, Conn: c, Arrived: time.Now(), closed: make(chan struct{}), br: br}
		x.Raw, _, _ = strings.Cut(rec.read.String(), "\r\n\r\n")
		x.Closed = x.closed
		if !s.LeaveBody && x.ReadBody() != nil {
			return
		}
		s.mu.Lock()
		s.seen = append(s.seen, x)
		s.mu.Unlock()
		if !s.script(x) {
			return
		}
		if x.watched {
			_ = c.SetReadDeadline(time.Now()) // makes watchClose return
			<-x.closed
			_ = c.SetReadDeadline(time.Time{})
		}
	}
}

// ReadBody reads the whole body. From then on Closed is closed when the gateway closes the connection. It
// must be called once at most.
func (x *Exchange) ReadBody() error {
	var err error
	if x.Body, err = io.ReadAll(x.Request.Body); err != nil {
		return fmt.Errorf("read body: %w", err)
	}
	x.watched = true
	go watchClose(x.br, x.closed)
	return nil
}

// watchClose closes the channel closed when the gateway closes the connection or sends more data, or
// when the read deadline passes.
func watchClose(br *bufio.Reader, closed chan struct{}) {
	_, err := br.Peek(1)
	var timeout net.Error
	if err == nil || errors.As(err, &timeout) && timeout.Timeout() {
		close(closed)
		return
	}
	close(closed)
}

// ID returns the identifier of the attempt.
func (x *Exchange) ID() string { return x.Header.Get(platform.HeaderAttemptID) }

// Reply sends a complete response with the server's signature and additional header
// lines.
func (x *Exchange) Reply(status int, body string, lines ...string) bool {
	return x.Send(fmt.Sprintf("HTTP/1.1 %d X\r\n%s: %s\r\n%s: seal-%s\r\n%sContent-Length: %d\r\n\r\n%s",
		status, platform.HeaderAttemptID, x.ID(), platform.HeaderSignature, x.ID(), headerLines(lines), len(body), body))
}

// Refuse rejects the request and states that it was not run.
func (x *Exchange) Refuse() bool { return x.RefuseWith() }

// RefuseWith is Refuse with additional header lines.
func (x *Exchange) RefuseWith(lines ...string) bool {
	return x.Send(fmt.Sprintf("HTTP/1.1 503 X\r\n%s: %s\r\n%s: 1\r\n%sContent-Length: 0\r\n\r\n",
		platform.HeaderAttemptID, x.ID(), platform.HeaderNotRun, headerLines(lines)))
}

// headerLines joins header lines and terminates each with CRLF.
func headerLines(lines []string) string {
	var b strings.Builder
	for _, l := range lines {
		b.WriteString(l + "\r\n")
	}
	return b.String()
}

// StartStream sends the header of a streamed response with additional header lines.
func (x *Exchange) StartStream(lines ...string) bool {
	return x.Send(fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal-%s\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		platform.HeaderAttemptID, x.ID(), platform.HeaderSignature, x.ID(), headerLines(lines)))
}

// StartUnframed sends the header of a response with neither a length nor chunks, in a
// version of HTTP such as "HTTP/1.1", with additional header lines. The response ends with
// its connection.
func (x *Exchange) StartUnframed(version string, lines ...string) bool {
	return x.Send(fmt.Sprintf("%s 200 OK\r\n%s: %s\r\n%s: seal-%s\r\n%s\r\n",
		version, platform.HeaderAttemptID, x.ID(), platform.HeaderSignature, x.ID(), headerLines(lines)))
}

// Chunk sends one chunk of a stream.
func (x *Exchange) Chunk(s string) bool { return x.Send(fmt.Sprintf("%x\r\n%s\r\n", len(s), s)) }

// EndStream sends the last chunk of a stream.
func (x *Exchange) EndStream() bool { return x.Send("0\r\n\r\n") }

// Event returns the text of the event with an id.
func Event(id int) string { return fmt.Sprintf("id: %d\ndata: part %d\n\n", id, id) }

// Events returns the text of the events with the ids from first to last.
func Events(first, last int) string {
	var b strings.Builder
	for id := first; id <= last; id++ {
		b.WriteString(Event(id))
	}
	return b.String()
}

// Misdirect responds with status 421: the request is for another server.
func (x *Exchange) Misdirect() bool {
	return x.Send(fmt.Sprintf("HTTP/1.1 421 X\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", platform.HeaderAttemptID, x.ID()))
}

// Send sends raw bytes and reports whether the write succeeded.
func (x *Exchange) Send(s string) bool {
	_, err := io.WriteString(x.Conn, s)
	return err == nil
}

// Reset makes the server close the connection with a TCP reset. The script must return
// its result, false.
func (x *Exchange) Reset() bool {
	if c, ok := x.Conn.(*net.TCPConn); ok {
		_ = c.SetLinger(0) // makes the close a reset
	}
	return false
}
