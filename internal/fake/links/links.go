// Package links is a stand-in for the network between daemons in one test
// process: it cuts, heals and freezes the connections that they dial.
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

// Links cuts and heals the connections between groups of addresses. A group is
// a data centre or the platform. Over a cut link new connections fail, and
// open ones are silent: reads and writes hang until the link heals, as they do
// while TCP retransmits. Create it with New. It is safe for concurrent use.
type Links struct {
	mu     sync.Mutex
	groups map[netip.AddrPort]string
	cuts   map[[2]string]bool
	open   []*conn
	turn   chan struct{} // closed and replaced on each change
}

// New returns links none of which is cut.
func New() *Links {
	return &Links{groups: make(map[netip.AddrPort]string), cuts: make(map[[2]string]bool), turn: make(chan struct{})}
}

// Add puts an address into a group.
func (l *Links) Add(addr netip.AddrPort, group string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.groups[addr] = group
}

// Cut cuts the links between one group and others.
func (l *Links) Cut(group string, others ...string) { l.set(true, group, others) }

// Heal restores the links between one group and others.
func (l *Links) Heal(group string, others ...string) { l.set(false, group, others) }

func (l *Links) set(cut bool, group string, others []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, other := range others {
		l.cuts[pair(group, other)] = cut
	}
	l.wake()
}

// Freeze makes the connections that are open between two groups silent for
// good, while new ones work.
func (l *Links) Freeze(a, b string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.open {
		c.frozen = c.frozen || c.ends == pair(a, b)
	}
	l.wake()
}

// wake lets waiting reads and writes look again. The caller holds l.mu.
func (l *Links) wake() {
	close(l.turn)
	l.turn = make(chan struct{})
}

// pair names a link without direction.
func pair(a, b string) [2]string { return [2]string{min(a, b), max(a, b)} }

// Dialer returns the dial function of a host of a group.
func (l *Links) Dialer(from string) func(context.Context, netip.AddrPort) (net.Conn, error) {
	return func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		l.mu.Lock()
		ends := pair(from, l.groups[to])
		cut := l.cuts[ends]
		l.mu.Unlock()
		if cut {
			return nil, fmt.Errorf("dial %s: link %v is cut", to, ends)
		}
		var dialer net.Dialer
		nc, err := dialer.DialContext(ctx, "tcp", to.String())
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: nc, l: l, ends: ends, done: make(chan struct{})}
		l.mu.Lock()
		defer l.mu.Unlock()
		l.open = append(l.open, c)
		return c, nil
	}
}

// conn is the dialling end of a connection over a link.
type conn struct {
	net.Conn
	l      *Links
	ends   [2]string
	frozen bool // guarded by l.mu
	done   chan struct{}
	once   sync.Once

	mu       sync.Mutex
	deadline time.Time // of writes
}

// pass waits until the link carries data, the connection is closed, or end,
// unless it is zero.
func (c *conn) pass(end time.Time) error {
	var late <-chan time.Time
	if !end.IsZero() {
		t := time.NewTimer(time.Until(end))
		defer t.Stop()
		late = t.C
	}
	for {
		c.l.mu.Lock()
		silent, turn := c.frozen || c.l.cuts[c.ends], c.l.turn
		c.l.mu.Unlock()
		if !silent {
			return nil
		}
		select {
		case <-turn:
		case <-c.done:
			return net.ErrClosed
		case <-late:
			return os.ErrDeadlineExceeded
		}
	}
}

// Read implements net.Conn. What arrives during a cut is held back.
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
	end := c.deadline
	c.mu.Unlock()
	if err := c.pass(end); err != nil {
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

// Close implements net.Conn. It ends waiting reads and writes.
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
