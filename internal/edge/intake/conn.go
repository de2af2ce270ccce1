package intake

import (
	"container/list"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"
)

// errNoSocket is returned for operations that the connection below does not have.
var errNoSocket = errors.New("not a TCP connection")

// Conn is an accepted connection. Until the handler of a request begins or Served is called,
// the bytes that arrive are counted as those of a head.
type Conn struct {
	net.Conn
	l *Listener
	// active is set while a handler runs.
	active atomic.Bool
	// bounded is set while reads have a deadline.
	bounded atomic.Bool
	// head and charged are only used by the goroutine that reads heads.
	head    head
	charged int64

	// The gate's mutex guards the fields below. held is the memory that the connection is
	// charged for, since is when it entered its list.
	held                       int64
	since                      time.Time
	list                       *list.List // nil if it is in none
	place                      *list.Element
	evicted, released, counted bool
}

// Read reads bytes of the caller. Those of a head are charged before they are returned.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && !c.active.Load() {
		if reason := c.charge(b[:n]); reason != "" {
			c.refuse(reason, b)
			return 0, io.EOF
		}
	}
	return n, err
}

// charge charges bytes of a head. It returns the reason if they are refused.
func (c *Conn) charge(b []byte) string {
	c.head.add(b)
	if c.head.lines > maxLines {
		return ReasonLines
	}
	cost := c.head.cost()
	if cost <= max(freeHead, c.charged) {
		return ""
	}
	cost = (cost + chargeStep - 1) / chargeStep * chargeStep
	if !c.l.gate.grow(c, connCost+cost-freeHead) {
		return ReasonMemory
	}
	c.charged = cost
	return ""
}

// refuse writes the response to a head that is refused and reads on for a short time, so
// that the response reaches the caller. It uses b as a buffer.
func (c *Conn) refuse(reason string, b []byte) {
	if !c.linger(ackTime) {
		return // evicted, and counted as such
	}
	c.l.gate.refuse(c.l, reason)
	status, retry := http.StatusServiceUnavailable, "Retry-After: 1\r\n"
	if reason == ReasonLines {
		status, retry = http.StatusRequestHeaderFieldsTooLarge, ""
	}
	end := time.Now().Add(lingerTimeout)
	if err := c.Conn.SetDeadline(end); err != nil {
		return
	}
	if _, err := fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\n%s%sContent-Length: 0\r\nConnection: close\r\n\r\n", status, http.StatusText(status), c.l.header, retry); err != nil {
		return
	}
	if err := c.CloseWrite(); err != nil {
		return
	}
	for rest := lingerBytes; rest > 0; {
		n, err := c.Conn.Read(b)
		if err != nil {
			return
		}
		rest -= n
	}
}

// begin marks the head as complete. It returns false if the connection was evicted; the
// request must not be served then, since its caller gets no response.
func (c *Conn) begin() bool {
	c.active.Store(true)
	c.l.gate.mu.Lock()
	defer c.l.gate.mu.Unlock()
	if c.evicted {
		return false
	}
	c.unlist()
	return true
}

// Served marks the caller as known, so that the connection is not evicted. The server for
// other hosts calls it after the handshake.
func (c *Conn) Served() { c.begin() }

// awaitRest bounds the wait of net/http for the rest of a body that the handler has not read,
// and lets the connection be evicted meanwhile. The request has not run, since bodies are
// read before requests are sent to servers.
func (c *Conn) awaitRest() {
	if !c.bounded.Load() {
		_ = c.SetReadDeadline(time.Now().Add(restTimeout)) // fails if the connection is closed
	}
	c.linger(ackTime)
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.bounded.Store(!t.IsZero())
	return c.Conn.SetReadDeadline(t)
}

// idle marks the request as finished.
func (c *Conn) idle() {
	c.head, c.charged = head{}, 0
	c.active.Store(false)
	c.l.gate.move(c, &c.l.idle, connCost)
}

// Close closes the connection and releases its charge. Later calls do nothing.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.l.gate.release(c)
	return err
}

// CloseWrite ends the response. net/http then waits for a time, in which the connection
// may be evicted.
func (c *Conn) CloseWrite() error {
	tcp, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errNoSocket
	}
	c.linger(ackTime)
	return tcp.CloseWrite()
}

// linger marks the response as complete, so that the connection may be evicted after a
// delay. It returns false if it was evicted. The charge stays, since net/http still holds
// the head.
func (c *Conn) linger(delay time.Duration) bool {
	c.l.gate.mu.Lock()
	defer c.l.gate.mu.Unlock()
	if c.evicted || c.released {
		return false
	}
	c.unlist()
	c.since = time.Now().Add(delay)
	c.enlist(&c.l.lingering)
	return true
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if tcp, ok := c.Conn.(syscall.Conn); ok {
		return tcp.SyscallConn()
	}
	return nil, errNoSocket
}

// SetLinger is that of net.TCPConn.
func (c *Conn) SetLinger(sec int) error {
	if tcp, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		return tcp.SetLinger(sec)
	}
	return errNoSocket
}
