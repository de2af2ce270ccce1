// Package pipes provides a fake network of in-memory connections for tests with virtual
// time, such as those of testing/synctest.
package pipes

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
)

// Net is a listener and a dialer of in-memory connections, which can be made to stall.
// It is safe for concurrent use.
type Net struct {
	// Dials counts the calls of Dial. While Refuse is set, they fail. While Silent
	// is set, new connections are stalled from the start.
	Dials          atomic.Int32
	Refuse, Silent atomic.Bool

	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once

	mu    sync.Mutex
	conns []*conn
}

// New returns a network without connections.
func New() *Net {
	return &Net{accepted: make(chan net.Conn, 64), closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (f *Net) Accept() (net.Conn, error) {
	select {
	case c := <-f.accepted:
		return c, nil
	case <-f.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. Open connections remain open.
func (f *Net) Close() error {
	f.once.Do(func() { close(f.closed) })
	return nil
}

// Addr implements net.Listener.
func (f *Net) Addr() net.Addr { return &net.TCPAddr{} }

// Dial opens a connection. It ignores the address.
func (f *Net) Dial(context.Context, netip.AddrPort) (net.Conn, error) {
	f.Dials.Add(1)
	if f.Refuse.Load() {
		return nil, net.ErrClosed
	}
	a, b := net.Pipe()
	c := &conn{Conn: a, done: make(chan struct{})}
	c.stalled.Store(f.Silent.Load())
	f.mu.Lock()
	f.conns = append(f.conns, c)
	f.mu.Unlock()
	f.accepted <- b
	return c, nil
}

// Stall makes all open connections stall. New connections work.
func (f *Net) Stall() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.conns {
		c.stalled.Store(true)
	}
}

// Break closes the connection with index i in the order of dialing.
func (f *Net) Break(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_ = f.conns[i].Close() // closing a pipe does not fail
}

// Open returns how many of the first n connections the dialing side has not closed.
func (f *Net) Open(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	open := 0
	for _, c := range f.conns[:n] {
		select {
		case <-c.done:
		default:
			open++
		}
	}
	return open
}

// conn is the dialing end of a connection. Once it has stalled, writes succeed but the
// data is discarded.
type conn struct {
	net.Conn
	stalled atomic.Bool
	done    chan struct{}
	once    sync.Once
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if c.stalled.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(func() { close(c.done) })
	return c.Conn.Close()
}
