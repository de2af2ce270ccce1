package server

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
)

// Network connects clients and fake servers in memory. Tests with testing/synctest need it,
// since the time of a bubble does not advance while a goroutine waits for a real
// connection.
type Network struct {
	mu    sync.Mutex
	hosts map[string]*memListener
	count int // connections dialed so far
	done  sync.WaitGroup
}

// NewNetwork returns a network without servers.
func NewNetwork() *Network { return &Network{hosts: make(map[string]*memListener)} }

// Serve serves h at addr until Stop or Close.
func (n *Network) Serve(addr netip.AddrPort, h http.Handler) {
	l := &memListener{
		conns: make(chan net.Conn), done: make(chan struct{}),
		addr: net.TCPAddrFromAddrPort(addr), http: &http.Server{Handler: h},
	}
	n.mu.Lock()
	n.hosts[addr.String()] = l
	n.mu.Unlock()
	n.done.Go(func() { l.http.Serve(l) })
}

// Dial opens a connection, as net.Dialer.DialContext does. The server sees a different
// remote address for each connection.
func (n *Network) Dial(ctx context.Context, _, addr string) (net.Conn, error) {
	n.mu.Lock()
	l := n.hosts[addr]
	n.count++
	remote := &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: n.count}
	n.mu.Unlock()
	if l == nil {
		return nil, fmt.Errorf("dial %s: connection refused", addr)
	}
	client, server := net.Pipe()
	select {
	case l.conns <- &pipe{Conn: server, remote: remote}:
		return client, nil
	case <-l.done:
		return nil, fmt.Errorf("dial %s: connection refused", addr)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Stop closes the server at addr and its connections.
func (n *Network) Stop(addr netip.AddrPort) {
	n.mu.Lock()
	l := n.hosts[addr.String()]
	delete(n.hosts, addr.String())
	n.mu.Unlock()
	if l != nil {
		l.http.Close()
	}
}

// Close closes all servers and waits until they have stopped accepting.
func (n *Network) Close() error {
	n.mu.Lock()
	hosts := n.hosts
	n.hosts = make(map[string]*memListener)
	n.mu.Unlock()
	for _, l := range hosts {
		l.http.Close()
	}
	n.done.Wait()
	return nil
}

// memListener is an in-memory listener with its server.
type memListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
	addr  net.Addr
	http  *http.Server
}

// Accept implements net.Listener.
func (l *memListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *memListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr implements net.Listener.
func (l *memListener) Addr() net.Addr { return l.addr }

// pipe is an in-memory connection with a remote address of its own.
type pipe struct {
	net.Conn
	remote net.Addr
}

// RemoteAddr implements net.Conn.
func (p *pipe) RemoteAddr() net.Addr { return p.remote }
