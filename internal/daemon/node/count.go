package node

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
)

// traffic counts the bytes on connections to and from other hosts.
type traffic struct {
	in, out atomic.Int64
	open    func(ctx context.Context, to netip.AddrPort) (net.Conn, error) // nil means dialTCP
}

// dial opens a connection whose bytes are counted.
func (t *traffic) dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	open := t.open
	if open == nil {
		open = dialTCP
	}
	c, err := open(ctx, addr)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", addr, err)
	}
	return &countedConn{Conn: c, t: t}, nil
}

// dialTCP opens a TCP connection.
func dialTCP(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", to.String())
}

// countedListener counts the bytes of accepted connections.
type countedListener struct {
	net.Listener
	t *traffic
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err // not wrapped: servers compare it with errors such as net.ErrClosed
	}
	return &countedConn{Conn: c, t: l.t}, nil
}

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	t *traffic
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.t.in.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.t.out.Add(int64(n))
	return n, err
}
