package engine

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const (
	// dialTimeout bounds the opening of a connection. Backend servers are in
	// the same data centre, where a connection opens in milliseconds.
	dialTimeout = time.Second
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = 30 * time.Second
	// maxIdle bounds the idle connections to one address.
	maxIdle = 64
	// maxHeader bounds the header of a response in bytes.
	maxHeader = 64 << 10
)

// errClosed is the cause of errors of calls after Close.
var errClosed = errors.New("client is closed")

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Pools holds a connection pool per address and counts the calls in progress. It is
// safe for concurrent use.
type Pools struct {
	dial  DialFunc
	calls sync.WaitGroup

	mu     sync.Mutex
	pools  map[netip.AddrPort]*http.Transport
	closed bool
}

// NewPools returns empty pools. A nil dial means TCP.
func NewPools(dial DialFunc) *Pools {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &Pools{dial: dial, pools: make(map[netip.AddrPort]*http.Transport)}
}

// Begin registers a call in progress. It returns an error after Close. End must
// follow if it returns nil.
func (p *Pools) Begin() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return errClosed
	}
	p.calls.Add(1)
	return nil
}

// End ends a call that Begin registered.
func (p *Pools) End() { p.calls.Done() }

// Get returns the transport for calls that may reuse a connection to addr.
func (p *Pools) Get(addr netip.AddrPort) *http.Transport {
	p.mu.Lock()
	defer p.mu.Unlock()
	tr := p.pools[addr]
	if tr == nil {
		tr = p.transport()
		p.pools[addr] = tr
	}
	return tr
}

// Unpooled returns a transport that opens a new connection for each call and closes
// it afterwards.
func (p *Pools) Unpooled() *http.Transport {
	tr := p.transport()
	tr.DisableKeepAlives = true
	return tr
}

// transport returns a transport without proxy, compression and HTTP/2.
func (p *Pools) transport() *http.Transport {
	return &http.Transport{
		DialContext:            p.dial,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdle,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeader,
	}
}

// CloseIdle closes the idle pooled connections to addr. Calls in progress go on.
func (p *Pools) CloseIdle(addr netip.AddrPort) {
	p.mu.Lock()
	tr := p.pools[addr]
	delete(p.pools, addr)
	p.mu.Unlock()
	if tr != nil {
		// A transport without further requests also closes the connections that
		// become idle later.
		tr.CloseIdleConnections()
	}
}

// Close rejects new calls, waits for the calls in progress without interrupting
// them, and closes all connections.
func (p *Pools) Close() error {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.calls.Wait()
	p.mu.Lock()
	pools := p.pools
	p.pools = make(map[netip.AddrPort]*http.Transport)
	p.mu.Unlock()
	for _, tr := range pools {
		tr.CloseIdleConnections()
	}
	return nil
}
