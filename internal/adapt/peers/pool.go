package peers

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	// minBackoff and maxBackoff bound the time between attempts to dial an
	// address that failed. The maximum is short, so that hosts reconnect within
	// seconds after a network partition.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// pool holds the connections to one address. It is safe for concurrent use.
type pool struct {
	addr  netip.AddrPort
	opts  *Options
	dial  func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
	inUse chan struct{} // semaphore with one element per connection in use

	mu         sync.Mutex
	closed     bool
	generation uint64 // increases when the address stalls
	conns      map[*conn]bool
	idle       []*conn // least recently used first
	failures   int
	backoffEnd time.Time      // no dial before this time
	probing    bool           // whether a probe is running
	wg         sync.WaitGroup // the running probe
	lastUsed   time.Time
}

func newPool(addr netip.AddrPort, opts *Options, dial func(context.Context, netip.AddrPort) (net.Conn, error)) *pool {
	return &pool{
		addr: addr, opts: opts, dial: dial,
		inUse: make(chan struct{}, opts.MaxConns),
		conns: make(map[*conn]bool),
	}
}

// get returns a connection for one call. It waits while MaxConns connections are
// in use. With unpooled set the connection is always a new one.
func (p *pool) get(ctx context.Context, unpooled bool) (*conn, error) {
	select {
	case p.inUse <- struct{}{}:
	default:
		select {
		case p.inUse <- struct{}{}:
		case <-ctx.Done():
			return nil, fmt.Errorf("%w: %w", ErrBusy, ctx.Err())
		}
	}
	if err := ctx.Err(); err != nil {
		<-p.inUse
		return nil, fmt.Errorf("%w: %w", ErrBusy, err)
	}
	c, err := p.take(ctx, unpooled)
	if err != nil {
		<-p.inUse
		return nil, err
	}
	return c, nil
}

// take returns the most recently used idle connection, or else dials.
func (p *pool) take(ctx context.Context, unpooled bool) (*conn, error) {
	p.mu.Lock()
	for !unpooled && !p.closed && len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if !c.closed() {
			c.reused = true
			p.mu.Unlock()
			return c, nil
		}
		delete(p.conns, c)
	}
	if p.closed {
		p.mu.Unlock()
		return nil, ErrClosed
	}
	if time.Now().Before(p.backoffEnd) {
		p.mu.Unlock()
		return nil, ErrBackoff
	}
	generation := p.generation
	p.mu.Unlock()
	return p.open(ctx, generation)
}

// open dials a new connection. A failure extends the backoff unless ctx was
// cancelled.
func (p *pool) open(ctx context.Context, generation uint64) (*conn, error) {
	dctx, cancel := context.WithTimeout(ctx, p.opts.DialTimeout)
	defer cancel()
	nc, err := p.dial(dctx, p.addr)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		if ctx.Err() != context.Canceled {
			p.extendBackoff()
		}
		return nil, fmt.Errorf("connect: %w", err)
	}
	if p.closed {
		nc.Close()
		return nil, ErrClosed
	}
	c := newConn(nc, generation)
	p.conns[c] = true
	return c, nil
}

// extendBackoff starts a backoff, twice as long as the one before it. p.mu must be
// held.
func (p *pool) extendBackoff() {
	d := min(minBackoff<<min(p.failures, 10), maxBackoff)
	p.failures++
	// The jitter of one half keeps hosts from dialling a recovering host at the
	// same time.
	p.backoffEnd = time.Now().Add(d/2 + rand.N(d/2+1))
}

// put gives a connection back after a call. ok reports whether the connection is
// still
// usable; if so, the backoff ends.
func (p *pool) put(c *conn, ok bool) {
	p.mu.Lock()
	if ok {
		p.failures, p.backoffEnd = 0, time.Time{}
	}
	keep := ok && !p.closed && c.generation == p.generation && len(p.idle) < p.opts.MaxIdle && !c.closed()
	if keep {
		c.idleSince = time.Now()
		p.idle = append(p.idle, c)
	} else {
		delete(p.conns, c)
	}
	p.mu.Unlock()
	if !keep {
		c.Close()
	}
	<-p.inUse
}

// stalled closes all idle connections to the address after a call on c timed out;
// connections in use are closed when their calls end. If c was a reused
// connection, a probe opens a new one at once, since old connections may stall
// while new ones work. If c was new, the host itself is unresponsive, and the
// backoff starts.
func (p *pool) stalled(c *conn) {
	p.mu.Lock()
	if c.generation != p.generation {
		p.mu.Unlock()
		return
	}
	p.generation++
	idle := p.idle
	p.idle = nil
	for _, i := range idle {
		delete(p.conns, i)
	}
	probe := false
	if c.reused {
		p.failures, p.backoffEnd = 0, time.Time{}
		probe = !p.probing && !p.closed
		p.probing = p.probing || probe
	} else {
		p.extendBackoff()
	}
	generation := p.generation
	if probe {
		p.wg.Go(func() { p.probe(generation) })
	}
	p.mu.Unlock()
	for _, i := range idle {
		i.Close()
	}
}

// probe opens a connection after a stall and adds it to the idle connections for
// the next call.
func (p *pool) probe(generation uint64) {
	c, err := p.open(context.Background(), generation)
	p.mu.Lock()
	p.probing = false
	keep := err == nil && !p.closed && generation == p.generation && len(p.idle) < p.opts.MaxIdle
	if keep {
		c.idleSince = time.Now()
		p.idle = append(p.idle, c)
	} else if err == nil {
		delete(p.conns, c)
	}
	p.mu.Unlock()
	if err == nil && !keep {
		c.Close()
	}
}

// touch records that a call is about to use the pool.
func (p *pool) touch() {
	p.mu.Lock()
	p.lastUsed = time.Now()
	p.mu.Unlock()
}

// sweep removes and returns the connections that were idle for IdleTimeout, which
// the caller must close. unused reports whether the pool has no connections and
// had no calls for IdleTimeout.
func (p *pool) sweep(now time.Time) (expired []*conn, unused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 && now.Sub(p.idle[0].idleSince) >= p.opts.IdleTimeout {
		expired = append(expired, p.idle[0])
		delete(p.conns, p.idle[0])
		p.idle = p.idle[1:]
	}
	unused = len(p.conns) == 0 && !p.probing && len(p.inUse) == 0 && now.Sub(p.lastUsed) >= p.opts.IdleTimeout
	return expired, unused
}

// close closes all connections, which makes calls in progress fail, and waits for
// a running probe.
func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	conns := p.conns
	p.conns, p.idle = make(map[*conn]bool), nil
	p.mu.Unlock()
	for c := range conns {
		c.Close()
	}
	p.wg.Wait()
}
