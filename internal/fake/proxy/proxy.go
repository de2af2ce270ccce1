// Package proxy is a loopback TCP proxy for tests. It delays, resets, cuts one
// way or silences the connections that pass it.
package proxy

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/fake/local"
)

// Fault is what happens to connections.
type Fault struct {
	// Delay is added to each piece of data in both directions.
	Delay time.Duration
	// HoldForth and HoldBack hold data on its way to the target, and from it,
	// until the fault ends: both together are a silent network.
	HoldForth, HoldBack bool
	// Reset ends open and new connections with a reset.
	Reset bool
}

// Proxy forwards connections to a target.
type Proxy struct {
	listener net.Listener
	target   netip.AddrPort

	mu      sync.Mutex
	fault   Fault
	changed chan struct{} // closed by Set
	conns   map[*net.TCPConn]bool
	closed  bool
	done    sync.WaitGroup
}

// New starts a proxy, which is closed at the end of the test.
func New(t testing.TB, target netip.AddrPort) *Proxy {
	t.Helper()
	l, err := net.Listen("tcp4", local.Addr(t).String())
	if err != nil {
		t.Fatal(err)
	}
	p := &Proxy{listener: l, target: target, changed: make(chan struct{}), conns: make(map[*net.TCPConn]bool)}
	p.done.Go(p.accept)
	t.Cleanup(p.Close)
	return p
}

// Addr returns the address that the proxy listens on.
func (p *Proxy) Addr() netip.AddrPort { return netip.MustParseAddrPort(p.listener.Addr().String()) }

// Set replaces the fault. The zero Fault forwards everything.
func (p *Proxy) Set(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	close(p.changed)
	p.changed = make(chan struct{})
	if f.Reset {
		p.drop()
	}
}

// drop resets all connections.
func (p *Proxy) drop() {
	for c := range p.conns {
		_ = c.SetLinger(0) // the close is a reset
		_ = c.Close()
	}
	clear(p.conns)
}

// Close ends all connections and waits for their goroutines.
func (p *Proxy) Close() {
	_ = p.listener.Close() // ends accept
	p.mu.Lock()
	p.closed = true
	p.drop()
	close(p.changed)
	p.changed = make(chan struct{})
	p.mu.Unlock()
	p.done.Wait()
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.done.Go(func() { p.serve(c.(*net.TCPConn)) })
	}
}

func (p *Proxy) serve(client *net.TCPConn) {
	if !p.add(client) {
		return
	}
	defer p.remove(client)
	c, err := net.DialTimeout("tcp4", p.target.String(), time.Second)
	if err != nil {
		_ = client.SetLinger(0) // as the target would have answered
		return
	}
	target := c.(*net.TCPConn)
	if !p.add(target) {
		return
	}
	defer p.remove(target)
	var both sync.WaitGroup
	both.Go(func() { p.copy(target, client, func(f Fault) bool { return f.HoldForth }) })
	both.Go(func() { p.copy(client, target, func(f Fault) bool { return f.HoldBack }) })
	both.Wait()
}

// add registers a connection unless connections are reset at present.
func (p *Proxy) add(c *net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.fault.Reset {
		_ = c.SetLinger(0) // the close is a reset
		_ = c.Close()
		return false
	}
	p.conns[c] = true
	return true
}

func (p *Proxy) remove(c *net.TCPConn) {
	_ = c.Close() // it may have been dropped
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// copy forwards one direction until it ends.
func (p *Proxy) copy(dst, src *net.TCPConn, held func(Fault) bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if !p.pass(held) {
			return
		}
		if _, werr := dst.Write(buf[:n]); werr != nil {
			_ = src.Close() // the other end has left
			return
		}
		if err == io.EOF {
			_ = dst.CloseWrite() // it may have been dropped
			return
		}
		if err != nil {
			_ = dst.SetLinger(0) // a reset is passed on
			_ = dst.Close()
			return
		}
	}
}

// pass waits until data may go on. It returns false when the proxy is closed.
func (p *Proxy) pass(held func(Fault) bool) bool {
	for {
		p.mu.Lock()
		f, changed, closed := p.fault, p.changed, p.closed
		p.mu.Unlock()
		switch {
		case closed:
			return false
		case held(f):
			<-changed
		default:
			time.Sleep(f.Delay)
			return true
		}
	}
}
