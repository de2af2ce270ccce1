// Package crowd plays callers who send parts of requests, or read no responses, on many
// connections at once.
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
	reads bool // responses
	stop  chan struct{}
	done  sync.WaitGroup

	mu    sync.Mutex
	ended bool
	conns map[net.Conn]bool
}

// Start opens the connections. They read what the host responds if reads is set.
func Start(addr netip.AddrPort, size int, input []byte, reads bool) *Crowd {
	c := &Crowd{addr: addr, input: input, reads: reads, stop: make(chan struct{}), conns: make(map[net.Conn]bool)}
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
		if _, err := conn.Write(c.input); err == nil && c.reads {
			_, _ = io.Copy(io.Discard, conn) // ends with the connection
		} else if err == nil {
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
