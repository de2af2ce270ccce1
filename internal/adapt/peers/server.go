package peers

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcerr"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/yuccalb/yuccalb/internal/wire/peerpb"
)

// acceptPause is the delay after a failed accept, which happens for example when
// the process has no file descriptors left.
const acceptPause = 50 * time.Millisecond

// linger is how long a closing server keeps a connection open after its last call.
// Data that the client writes to a closed connection is answered by a TCP reset,
// which can discard the reply on the client's side.
const linger = 50 * time.Millisecond

// ServerOptions are the settings of a Server. Zero values stand for the
// defaults.
type ServerOptions struct {
	// TLS enables TLS; nil means plain TCP, for loopback addresses and tests.
	TLS *Credentials
	// MaxConns bounds the open connections; further ones are closed when they are
	// accepted. Default 4096.
	MaxConns int
	// HandshakeTimeout bounds the TLS handshake; default 5s.
	HandshakeTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept; default 3m.
	IdleTimeout time.Duration
}

// Server serves the calls of other daemons.
type Server struct {
	opts ServerOptions
	mux  *drpcmux.Mux
	lis  net.Listener
	wg   sync.WaitGroup

	mu      sync.Mutex
	closing bool
	conns   map[*serverConn]bool
}

// serverConn is one accepted connection. Its fields are guarded by the server's
// mutex.
type serverConn struct {
	srv    *Server
	nc     net.Conn
	cancel context.CancelFunc
	calls  int // calls in progress
}

// Listen starts a server on addr; port 0 selects a free port.
func Listen(addr netip.AddrPort, h Handler, opts ServerOptions) (*Server, error) {
	lis, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, Error.Wrap(fmt.Errorf("listen: %w", err))
	}
	s, err := Serve(lis, h, opts)
	if err != nil {
		lis.Close()
	}
	return s, err
}

// Serve starts a server on a listener, which the server closes.
func Serve(lis net.Listener, h Handler, opts ServerOptions) (*Server, error) {
	setDefault(&opts.MaxConns, 4096)
	setDefault(&opts.HandshakeTimeout, 5*time.Second)
	setDefault(&opts.IdleTimeout, 3*time.Minute)
	s := &Server{opts: opts, mux: drpcmux.New(), lis: lis, conns: make(map[*serverConn]bool)}
	if err := peerpb.DRPCRegisterPeer(s.mux, service{h}); err != nil {
		return nil, Error.Wrap(fmt.Errorf("register service: %w", err))
	}
	s.wg.Add(1)
	go s.accept()
	return s, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() netip.AddrPort {
	a, ok := s.lis.Addr().(*net.TCPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	p := a.AddrPort()
	return netip.AddrPortFrom(p.Addr().Unmap(), p.Port())
}

// Close stops accepting calls, waits for the calls in progress until ctx ends,
// cancels the rest, and waits for all goroutines of the server. If calls were
// cancelled, the error wraps that of ctx.
func (s *Server) Close(ctx context.Context) error {
	s.mu.Lock()
	s.closing = true
	for c := range s.conns {
		if c.calls == 0 {
			c.cancel()
		}
	}
	s.mu.Unlock()
	if err := s.lis.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return Error.Wrap(fmt.Errorf("close listener: %w", err))
	}
	done := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	n := 0
	for c := range s.conns {
		n += c.calls
		c.cancel()
		c.nc.Close()
	}
	s.mu.Unlock()
	<-done
	return Error.Wrap(fmt.Errorf("%d calls cancelled: %w", n, ctx.Err()))
}

// accept serves each new connection in its own goroutine until the listener is
// closed.
func (s *Server) accept() {
	defer s.wg.Done()
	for {
		nc, err := s.lis.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptPause)
			continue
		}
		ctx, cancel := context.WithCancel(context.Background())
		c := &serverConn{srv: s, nc: nc, cancel: cancel}
		s.mu.Lock()
		full := s.closing || len(s.conns) >= s.opts.MaxConns
		if !full {
			s.conns[c] = true
			s.wg.Add(1)
		}
		s.mu.Unlock()
		if full {
			cancel()
			nc.Close()
			continue
		}
		go c.serve(ctx)
	}
}

// known tells a listener that bounds connections that the other end is a host.
func (c *serverConn) known() {
	if nc, ok := c.nc.(interface{ Served() }); ok {
		nc.Served()
	}
}

// serve serves the calls of one connection.
func (c *serverConn) serve(ctx context.Context) {
	defer c.srv.wg.Done()
	defer func() {
		c.cancel()
		c.nc.Close()
		c.srv.mu.Lock()
		delete(c.srv.conns, c)
		c.srv.mu.Unlock()
	}()
	tr := c.nc
	if creds := c.srv.opts.TLS; creds != nil {
		tc := tls.Server(c.nc, creds.server())
		hctx, cancel := context.WithTimeout(ctx, c.srv.opts.HandshakeTimeout)
		err := tc.HandshakeContext(hctx)
		cancel()
		if err != nil {
			return
		}
		tr = tc
		c.known()
	}
	opts := managerOptions()
	opts.InactivityTimeout = c.srv.opts.IdleTimeout
	// The error is the reason why the connection ended, which the client sees too.
	_ = drpcserver.NewWithOptions(c, drpcserver.Options{Manager: opts}).ServeOne(ctx, writeTimeoutConn{Conn: tr})
}

// HandleRPC implements drpc.Handler. It counts the calls in progress, so that
// Close can wait for them.
func (c *serverConn) HandleRPC(stream drpc.Stream, rpc string) error {
	s := c.srv
	s.mu.Lock()
	if s.closing {
		s.mu.Unlock()
		return drpcerr.WithCode(ErrClosed, codeClosing)
	}
	c.calls++
	s.mu.Unlock()
	c.known()
	defer func() {
		s.mu.Lock()
		c.calls--
		if s.closing && c.calls == 0 {
			time.AfterFunc(linger, c.cancel)
		}
		s.mu.Unlock()
	}()
	return s.mux.HandleRPC(stream, rpc)
}
