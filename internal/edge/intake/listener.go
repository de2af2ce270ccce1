package intake

import (
	"container/list"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
)

// Options set up the listener of one address.
type Options struct {
	// Name is the name of the address in the settings.
	Name string
	// Conns is the number of connections that the address may have; 0 means no limit.
	Conns int
	// Share is the share of all connections that the address may have; 0 means all.
	Share float64
	// Header is a line to add to the responses of refusals, with its end; it may be empty.
	Header string
}

// Listener accepts the connections of an address.
type Listener struct {
	net.Listener
	gate   *Gate
	name   string
	header string
	limit  int
	closed atomic.Bool

	// The gate's mutex guards the fields below. waiting holds connections that have sent
	// no or a short part of a head, partial those that have sent more, idle those between
	// two requests, and lingering those whose response is complete.
	open                              int
	waiting, partial, idle, lingering list.List // of *Conn, the one that was added first at the front
}

// Listen returns a listener that accepts the connections of l within the limits.
func (g *Gate) Listen(l net.Listener, o Options) *Listener {
	limit := g.limits.Conns
	if o.Share > 0 {
		limit = max(int(o.Share*float64(limit)), minConns)
	}
	if o.Conns > 0 {
		limit = min(limit, o.Conns)
	}
	a := &Listener{Listener: l, gate: g, name: o.Name, header: o.Header, limit: limit}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listeners = append(g.listeners, a)
	return a
}

// Accept returns the next connection for which there is room.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: nc, l: l}
		admitted := l.gate.admit(c)
		if l.closed.Load() { // the server may not know a connection that it gets now
			_ = c.Close() // nothing was read
			return nil, net.ErrClosed
		}
		if admitted {
			return c, nil
		}
		_ = c.SetLinger(0) // a reset is cheap, and the caller gets no response
		_ = nc.Close()
	}
}

// Close closes the listener. A connection that waits for room is closed as well.
func (l *Listener) Close() error {
	l.closed.Store(true)
	return l.Listener.Close()
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// Attach makes a server report the states of its requests. The server must serve a
// Listener only. Attach must be called after the server's hooks and handler are set.
func Attach(srv *http.Server) {
	srv.ConnContext = withConn(srv.ConnContext)
	state := srv.ConnState
	srv.ConnState = func(c net.Conn, s http.ConnState) {
		if ic, ok := c.(*Conn); ok && s == http.StateIdle {
			ic.idle()
		}
		if state != nil {
			state(c, s)
		}
	}
	srv.Handler = handler(srv.Handler)
}

// withConn returns a ConnContext hook that adds the connection after next.
func withConn(next func(context.Context, net.Conn) context.Context) func(context.Context, net.Conn) context.Context {
	return func(ctx context.Context, c net.Conn) context.Context {
		if next != nil {
			ctx = next(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, c)
	}
}

// ConnOf returns the connection of a request from its context, and false if its server is not
// one that Attach was called for, or serves another listener.
func ConnOf(ctx context.Context) (*Conn, bool) {
	c, ok := ctx.Value(connKey{}).(*Conn)
	return c, ok
}

// handler returns a handler that serves requests on connections that were not evicted.
func handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := ConnOf(r.Context())
		if !ok {
			h.ServeHTTP(w, r)
			return
		}
		if !c.begin() {
			panic(http.ErrAbortHandler) // the connection is closed
		}
		var body *trackedBody
		if r.ContentLength != 0 {
			body = &trackedBody{ReadCloser: r.Body}
			r.Body = body
		}
		h.ServeHTTP(w, r)
		if body != nil && !body.ended.Load() {
			c.awaitRest()
		}
	})
}

// trackedBody records whether the body of a request was read to its end. Asking the body
// itself later could wait for a chunk, or send 100 Continue.
type trackedBody struct {
	io.ReadCloser
	ended atomic.Bool
}

func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.ended.Store(true)
	}
	return n, err
}
