// Package links simulates network partitions between daemons in one test process. It
// partitions, heals and freezes the connections that they dial.
package links

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"slices"
	"sync"
	"time"
)

// Links cuts and heals the links between groups of addresses. A group is a data centre or
// the platform. Over a cut link new connections fail, and reads and writes on open ones
// block until the link is healed, as they do while TCP retransmits. Links must be created
// with New. It is safe for concurrent use.
type Links struct {
	mu      sync.Mutex
	groups  map[netip.AddrPort]string
	cuts    map[[2]string]bool
	open    []*conn
	changed chan struct{} // closed and replaced on each change
}

// New returns links that are all healthy.
func New() *Links {
	return &Links{groups: make(map[netip.AddrPort]string), cuts: make(map[[2]string]bool), changed: make(chan struct{})}
}

// Add assigns an address to a group.
func (l *Links) Add(addr netip.AddrPort, group string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.groups[addr] = group
}

// Cut cuts the links between a group and others.
func (l *Links) Cut(group string, others ...string) { l.set(true, group, others) }

// Heal restores the links between a group and others.
func (l *Links) Heal(group string, others ...string) { l.set(false, group, others) }

func (l *Links) set(cut bool, group string, others []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, other := range others {
		l.cuts[pair(group, other)] = cut
	}
	l.wake()
}

// Freeze makes reads and writes on the connections that are open between two groups block
// until they are closed. New connections work.
func (l *Links) Freeze(a, b string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.open {
		c.frozen = c.frozen || c.link == pair(a, b)
	}
	l.wake()
}

// wake makes waiting reads and writes check their link again. The caller holds l.mu.
func (l *Links) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// pair returns the key of the link between two groups, in either order.
func pair(a, b string) [2]string { return [2]string{min(a, b), max(a, b)} }

// Dialer returns the dial function for the hosts of a group.
func (l *Links) Dialer(from string) func(context.Context, netip.AddrPort) (net.Conn, error) {
	return func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		l.mu.Lock()
		link := pair(from, l.groups[to])
		cut := l.cuts[link]
		l.mu.Unlock()
		if cut {
			return nil, fmt.Errorf("dial %s: link %v is cut", to, link)
		}
		var dialer net.Dialer
		netConn, err := dialer.DialContext(ctx, "tcp", to.String())
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: netConn, l: l, link: link, done: make(chan struct{})}
		l.mu.Lock()
		defer l.mu.Unlock()
		l.open = append(l.open, c)
		return c, nil
	}
}

// conn is the dialing end of a connection over a link.
type conn struct {
	net.Conn
	l      *Links
	link   [2]string
	frozen bool // guarded by l.mu
	done   chan struct{}
	once   sync.Once

	mu       sync.Mutex
	deadline time.Time // write deadline
}

// pass waits until the link carries data. It returns an error if the connection is closed
// or the deadline passes first. A zero deadline means none.
func (c *conn) pass(deadline time.Time) error {
	var timeout <-chan time.Time
	if !deadline.IsZero() {
		t := time.NewTimer(time.Until(deadline))
		defer t.Stop()
		timeout = t.C
	}
	for {
		c.l.mu.Lock()
		blocked, changed := c.frozen || c.l.cuts[c.link], c.l.changed
		c.l.mu.Unlock()
		if !blocked {
			return nil
		}
		select {
		case <-changed:
		case <-c.done:
			return net.ErrClosed
		case <-timeout:
			return os.ErrDeadlineExceeded
		}
	}
}

// Read implements net.Conn. Data that arrives while the link is cut is held back.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if perr := c.pass(time.Time{}); perr != nil {
		return 0, perr
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	deadline := c.deadline
	c.mu.Unlock()
	if err := c.pass(deadline); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	c.deadline = t
	c.mu.Unlock()
	return c.Conn.SetWriteDeadline(t)
}

// Close implements net.Conn. It makes waiting reads and writes return.
func (c *conn) Close() error {
	err := errors.New("closed twice")
	c.once.Do(func() {
		close(c.done)
		c.l.mu.Lock()
		c.l.open = slices.DeleteFunc(c.l.open, func(o *conn) bool { return o == c })
		c.l.mu.Unlock()
		err = c.Conn.Close()
	})
	return err
}
