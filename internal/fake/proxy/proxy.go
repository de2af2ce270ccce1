// Package proxy provides a loopback TCP proxy that injects faults in tests. It can delay
// data, reset connections, or block the data of one or both directions.
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

// Fault is the fault that the proxy injects. The zero value is none.
type Fault struct {
	// Delay is the delay of each chunk of data in both directions.
	Delay time.Duration
	// HoldForth holds back the data sent to the target, and HoldBack the data
	// sent by it, until the fault ends. Both together simulate a network that
	// loses all packets.
	HoldForth, HoldBack bool
	// Reset closes open and new connections with a TCP reset, and ResetNew new ones
	// only.
	Reset, ResetNew bool
}

// Proxy forwards TCP connections to a target.
type Proxy struct {
	listener net.Listener
	target   func(client netip.AddrPort) netip.AddrPort

	mu      sync.Mutex
	fault   Fault
	changed chan struct{} // closed and replaced by Set and Close
	conns   map[*net.TCPConn]bool
	chunks  int
	closed  bool
	done    sync.WaitGroup
}

// New starts a proxy, which is closed at the end of the test.
func New(t testing.TB, target netip.AddrPort) *Proxy {
	t.Helper()
	return NewSwitch(t, func(netip.AddrPort) netip.AddrPort { return target })
}

// NewSwitch starts a proxy that forwards each connection to the target of its client.
func NewSwitch(t testing.TB, target func(client netip.AddrPort) netip.AddrPort) *Proxy {
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

// Chunks returns how often data has been forwarded, in both directions.
func (p *Proxy) Chunks() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.chunks
}

// drop resets all connections. The caller holds p.mu.
func (p *Proxy) drop() {
	for c := range p.conns {
		reset(c)
	}
	clear(p.conns)
}

// Close closes the listener and all connections and waits for the goroutines.
func (p *Proxy) Close() {
	_ = p.listener.Close() // makes accept return
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
	c, err := net.DialTimeout("tcp4", p.target(netip.MustParseAddrPort(client.RemoteAddr().String())).String(), time.Second)
	if err != nil {
		_ = client.SetLinger(0) // the client sees the refused connection as a reset
		return
	}
	target := c.(*net.TCPConn)
	if !p.add(target) {
		return
	}
	defer p.remove(target)
	var copies sync.WaitGroup
	copies.Go(func() { p.copy(target, client, func(f Fault) bool { return f.HoldForth }) })
	copies.Go(func() { p.copy(client, target, func(f Fault) bool { return f.HoldBack }) })
	copies.Wait()
}

// add registers a connection, or resets it if the proxy is closed or the fault is Reset.
func (p *Proxy) add(c *net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.fault.Reset || p.fault.ResetNew {
		reset(c)
		return false
	}
	p.conns[c] = true
	return true
}

func (p *Proxy) remove(c *net.TCPConn) {
	_ = c.Close() // drop may have closed it
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// copy forwards the data of one direction until src or dst is closed.
func (p *Proxy) copy(dst, src *net.TCPConn, held func(Fault) bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if !p.pass(held) {
			return
		}
		if _, werr := dst.Write(buf[:n]); werr != nil {
			reset(src) // the kernel reports a reset of dst once, perhaps not to the read from it
			return
		}
		if err == io.EOF {
			_ = dst.CloseWrite() // drop may have closed dst
			return
		}
		if err != nil {
			reset(dst)
			return
		}
	}
}

// reset closes a connection with a reset. It may be closed already.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// pass waits while held holds for the fault, then for its delay. It returns false if the
// proxy is closed.
func (p *Proxy) pass(held func(Fault) bool) bool {
	for {
		p.mu.Lock()
		f, changed, closed := p.fault, p.changed, p.closed
		p.chunks++
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
