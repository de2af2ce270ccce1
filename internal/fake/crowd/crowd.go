// Package crowd plays callers who send parts of requests, send without end, or read no
// responses, on many connections at once.
package crowd

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Crowd is a number of connections that send the same input. Each is opened again once
// the host has closed it.
type Crowd struct {
	addr  netip.AddrPort
	input []byte
	more  []byte // sent again and again after the input
	reads bool   // responses
	stop  chan struct{}
	done  sync.WaitGroup

	mu    sync.Mutex
	ended bool
	conns map[net.Conn]bool
}

// Start opens the connections. They read what the host responds if reads is set.
func Start(addr netip.AddrPort, size int, input []byte, reads bool) *Crowd {
	return (&Crowd{addr: addr, input: input, reads: reads}).start(size)
}

// StartEndless opens connections that send the input and then more, again and again, and
// read what the host responds.
func StartEndless(addr netip.AddrPort, size int, input, more []byte) *Crowd {
	return (&Crowd{addr: addr, input: input, more: more, reads: true}).start(size)
}

func (c *Crowd) start(size int) *Crowd {
	c.stop = make(chan struct{})
	c.conns = make(map[net.Conn]bool)
	for range size {
		c.done.Go(func() {
			for c.connect() {
			}
		})
	}
	return c
}

// connect opens a connection, sends the input and waits until the host closes it. It
// reports whether the crowd goes on.
func (c *Crowd) connect() bool {
	if conn, err := net.DialTimeout("tcp4", c.addr.String(), time.Second); err == nil {
		if !c.add(conn) {
			return false
		}
		_, err := conn.Write(c.input)
		switch {
		case err != nil:
		case len(c.more) > 0:
			c.done.Go(func() { _, _ = io.Copy(io.Discard, conn) }) // ends with the connection
			for err == nil {
				_, err = conn.Write(c.more)
			}
		case c.reads:
			_, _ = io.Copy(io.Discard, conn) // ends with the connection
		default:
			<-c.stop
		}
		c.remove(conn)
	}
	select {
	case <-c.stop:
		return false
	case <-time.After(10 * time.Millisecond):
		return true
	}
}

// add adds an open connection. It closes it and returns false after End was called.
func (c *Crowd) add(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		_ = conn.Close() // nothing was sent
		return false
	}
	c.conns[conn] = true
	return true
}

func (c *Crowd) remove(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, conn)
	_ = conn.Close() // the host may have closed it
}

// End closes all connections.
func (c *Crowd) End() {
	c.mu.Lock()
	if !c.ended {
		c.ended = true
		close(c.stop)
	}
	for conn := range c.conns {
		_ = conn.Close() // the host may have closed it
	}
	c.mu.Unlock()
	c.done.Wait()
}
