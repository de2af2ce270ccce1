package peers

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc"
	"storj.io/drpc/drpcerr"

	"github.com/yuccalb/yuccalb/internal/wire/peerpb"
)

// minStallTime is the shortest wait for a reply that counts as a stall of the
// connection. A call whose deadline leaves less time than that is no evidence of
// a stall.
const minStallTime = 250 * time.Millisecond

// Options are the settings of a Client. Zero values stand for the defaults.
type Options struct {
	// TLS enables TLS; nil means plain TCP, for loopback addresses and tests.
	TLS *Credentials
	// BeatTimeout, GrantTimeout, SettleTimeout and PullTimeout bound one call of
	// the method, including connecting; defaults 1s, 1s, 2s and 15s.
	BeatTimeout, GrantTimeout, SettleTimeout, PullTimeout time.Duration
	// DialTimeout bounds connecting, including the TLS handshake; default 1s.
	DialTimeout time.Duration
	// MaxConns bounds the connections to one address; default 64.
	MaxConns int
	// MaxIdle bounds the idle connections to one address; default 8.
	MaxIdle int
	// IdleTimeout is how long an idle connection is kept; default 60s. It must be
	// shorter than ServerOptions.IdleTimeout.
	IdleTimeout time.Duration
	// Dialer opens TCP connections; nil means net.Dialer.
	Dialer func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
}

// setDefaults replaces zero values by the defaults.
func (o *Options) setDefaults() {
	setDefault(&o.BeatTimeout, time.Second)
	setDefault(&o.GrantTimeout, time.Second)
	setDefault(&o.SettleTimeout, 2*time.Second)
	setDefault(&o.PullTimeout, 15*time.Second)
	setDefault(&o.DialTimeout, time.Second)
	setDefault(&o.MaxConns, 64)
	setDefault(&o.MaxIdle, 8)
	setDefault(&o.IdleTimeout, time.Minute)
	if o.Dialer == nil {
		o.Dialer = func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "tcp", addr.String())
		}
	}
}

// setDefault sets *p to value when it is zero.
func setDefault[T comparable](p *T, value T) {
	var zero T
	if *p == zero {
		*p = value
	}
}

// Client calls the daemons of other hosts. It is safe for concurrent use. Every
// error of a call is a *CallError.
type Client struct {
	opts Options
	stop chan struct{}
	done chan struct{}

	mu     sync.Mutex
	closed bool
	pools  map[netip.AddrPort]*pool
}

// NewClient returns a client. It runs one goroutine until Close.
func NewClient(opts Options) *Client {
	opts.setDefaults()
	c := &Client{
		opts:  opts,
		stop:  make(chan struct{}),
		done:  make(chan struct{}),
		pools: make(map[netip.AddrPort]*pool),
	}
	go c.sweep()
	return c
}

// Close closes all connections, which makes calls in progress fail, and waits for
// the client's own goroutines, at most for Options.DialTimeout.
func (c *Client) Close() error {
	c.mu.Lock()
	first := !c.closed
	c.closed = true
	pools := c.pools
	c.pools = nil
	c.mu.Unlock()
	if first {
		close(c.stop)
	}
	for _, p := range pools {
		p.close()
	}
	<-c.done
	return nil
}

// sweep regularly closes the connections that were idle for IdleTimeout and drops
// the pools of unused addresses.
func (c *Client) sweep() {
	defer close(c.done)
	tick := time.NewTicker(c.opts.IdleTimeout / 4)
	defer tick.Stop()
	for {
		select {
		case <-c.stop:
			return
		case now := <-tick.C:
			var expired []*conn
			c.mu.Lock()
			for a, p := range c.pools {
				idle, unused := p.sweep(now)
				expired = append(expired, idle...)
				if unused {
					delete(c.pools, a)
				}
			}
			c.mu.Unlock()
			for _, cn := range expired {
				cn.Close()
			}
		}
	}
}

// pool returns the pool of an address, which it creates if necessary.
func (c *Client) pool(addr netip.AddrPort) (*pool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, ErrClosed
	}
	p := c.pools[addr]
	if p == nil {
		p = newPool(addr, &c.opts, c.dial)
		c.pools[addr] = p
	}
	// The client's mutex is held, so sweep can't drop the pool before this.
	p.touch()
	return p, nil
}

// dial opens a connection and completes the TLS handshake.
func (c *Client) dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	nc, err := c.opts.Dialer(ctx, addr)
	if err != nil {
		return nil, err
	}
	if c.opts.TLS == nil {
		return writeTimeoutConn{Conn: nc}, nil
	}
	tc := tls.Client(nc, c.opts.TLS.client(addr))
	if err := tc.HandshakeContext(ctx); err != nil {
		nc.Close()
		return nil, err
	}
	return writeTimeoutConn{Conn: tc, raw: nc}, nil
}

// Beat sends a heartbeat.
func (c *Client) Beat(ctx context.Context, to netip.AddrPort, req *peerpb.BeatRequest) (*peerpb.BeatReply, error) {
	reply := &peerpb.BeatReply{}
	if err := c.call(ctx, "Beat", to, c.opts.BeatTimeout, req, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// Pull requests the configuration.
func (c *Client) Pull(ctx context.Context, to netip.AddrPort, req *peerpb.PullRequest) (*peerpb.PullReply, error) {
	reply := &peerpb.PullReply{}
	if err := c.call(ctx, "Pull", to, c.opts.PullTimeout, req, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// Grant requests tokens from the organisations' rate limit pools on a host.
func (c *Client) Grant(ctx context.Context, to netip.AddrPort, req *peerpb.GrantRequest) (*peerpb.GrantReply, error) {
	reply := &peerpb.GrantReply{}
	if err := c.call(ctx, "Grant", to, c.opts.GrantTimeout, req, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// Settle reports how many of the granted tokens were spent and how many were not.
func (c *Client) Settle(ctx context.Context, to netip.AddrPort, req *peerpb.SettleRequest) (*peerpb.SettleReply, error) {
	reply := &peerpb.SettleReply{}
	if err := c.call(ctx, "Settle", to, c.opts.SettleTimeout, req, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// call makes one unary call. It never retries: only its caller knows whether a
// retry is safe.
func (c *Client) call(ctx context.Context, method string, to netip.AddrPort, limit time.Duration, req, reply proto.Message) error {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	fail := func(err error, sent, stalled bool) error {
		return Error.Wrap(&CallError{Method: method, Addr: to, Sent: sent, Stalled: stalled, Elapsed: time.Since(start), Err: err})
	}
	p, err := c.pool(to)
	if err != nil {
		return fail(err, false, false)
	}
	cn, err := p.get(ctx, false)
	if err != nil {
		return fail(err, false, false)
	}
	sent := time.Now()
	enc := &encoding{}
	err = cn.Invoke(ctx, "/peer.Peer/"+method, enc, req, reply)
	if err == nil || enc.decoded {
		// The reply is complete, so an error concerns only the connection.
		p.put(cn, err == nil)
		return nil
	}
	stalled := timedOut(ctx, err) && time.Since(sent) >= minStallTime
	if stalled {
		p.stalled(cn)
	}
	p.put(cn, answered(ctx, err))
	if stalled && !errors.Is(err, context.DeadlineExceeded) {
		err = errors.Join(err, context.DeadlineExceeded)
	}
	return fail(err, true, stalled)
}

// encoding is the protobuf encoding of one unary call. It records whether the
// reply was decoded.
type encoding struct{ decoded bool }

// Marshal implements drpc.Encoding.
func (*encoding) Marshal(msg drpc.Message) ([]byte, error) {
	return proto.Marshal(msg.(proto.Message))
}

// Unmarshal implements drpc.Encoding.
func (e *encoding) Unmarshal(buf []byte, msg drpc.Message) error {
	err := proto.Unmarshal(buf, msg.(proto.Message))
	e.decoded = err == nil
	return err
}

// answered reports whether err was returned by the remote handler, in which case
// the connection is still usable.
func answered(ctx context.Context, err error) bool {
	return ctx.Err() == nil && drpcerr.Code(err) != 0
}
