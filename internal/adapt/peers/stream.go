package peers

import (
	"context"
	"errors"
	"io"
	"net/netip"
	"sync"
	"time"

	"github.com/yuccalb/yuccalb/internal/wire/peerpb"
)

// Stream is the forwarding side of a forwarded request. Send and Recv may be
// called concurrently with each other, but each by one goroutine at a time.
type Stream struct {
	pool   *pool
	conn   *conn
	raw    peerpb.DRPCPeer_ForwardClient
	cancel context.CancelFunc
	start  time.Time

	once  sync.Once
	mu    sync.Mutex
	ended bool // Recv returned io.EOF
}

// Forward opens a stream on a pooled connection. The stream ends when ctx ends,
// but Close must be called in any case.
func (c *Client) Forward(ctx context.Context, to netip.AddrPort) (*Stream, error) {
	return c.forward(ctx, to, false)
}

// ForwardUnpooled opens a stream on a new connection. It is for requests that must not
// be retried: the other host may already have closed a pooled connection.
func (c *Client) ForwardUnpooled(ctx context.Context, to netip.AddrPort) (*Stream, error) {
	return c.forward(ctx, to, true)
}

func (c *Client) forward(ctx context.Context, to netip.AddrPort, unpooled bool) (*Stream, error) {
	start := time.Now()
	fail := func(err error, sent bool) error {
		return Error.Wrap(&CallError{Method: "Forward", Addr: to, Sent: sent, Elapsed: time.Since(start), Err: err})
	}
	p, err := c.pool(to)
	if err != nil {
		return nil, fail(err, false)
	}
	cn, err := p.get(ctx, unpooled)
	if err != nil {
		return nil, fail(err, false)
	}
	ctx, cancel := context.WithCancel(ctx)
	raw, err := peerpb.NewDRPCPeerClient(cn).Forward(ctx)
	if err != nil {
		cancel()
		p.put(cn, false)
		return nil, fail(err, false)
	}
	return &Stream{pool: p, conn: cn, raw: raw, cancel: cancel, start: start}, nil
}

// Send sends a message. After an error it is unknown whether the message arrived.
func (s *Stream) Send(m *peerpb.ForwardMsg) error { return s.wrap(s.raw.Send(m)) }

// CloseSend signals that no message follows.
func (s *Stream) CloseSend() error { return s.wrap(s.raw.CloseSend()) }

// Recv returns the next message, or io.EOF after the other host has ended the
// stream. A broken connection gives another error.
func (s *Stream) Recv() (*peerpb.ForwardMsg, error) {
	m, err := s.raw.Recv()
	if errors.Is(err, io.EOF) {
		s.mu.Lock()
		s.ended = true
		s.mu.Unlock()
		return nil, io.EOF
	}
	return m, s.wrap(err)
}

// CloseStalled closes the stream and all idle pooled connections to the address. It is
// called when the stream made no progress for too long.
func (s *Stream) CloseStalled() {
	s.pool.stalled(s.conn)
	s.Close()
}

// Close ends the stream and waits until its goroutines have stopped using the
// connection. The connection is reused only if Recv has returned io.EOF.
func (s *Stream) Close() error {
	s.once.Do(func() {
		s.mu.Lock()
		ok := s.ended
		s.mu.Unlock()
		if ok {
			ok = s.raw.Close() == nil
		}
		if !ok {
			s.conn.Close()
		}
		s.cancel()
		s.pool.put(s.conn, ok)
	})
	return nil
}

func (s *Stream) wrap(err error) error {
	if err == nil {
		return nil
	}
	return Error.Wrap(&CallError{Method: "Forward", Addr: s.pool.addr, Sent: true, Elapsed: time.Since(s.start), Err: err})
}
