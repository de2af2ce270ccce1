package send

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// DefaultDial bounds the opening of a connection within a region.
	DefaultDial = 700 * time.Millisecond
	// inline is the largest request in bytes that is written before the
	// response is read. Larger ones are written at the same time, since a
	// server may answer before it has read them.
	inline = 16 << 10
	// maxIdle bounds the idle connections to one server.
	maxIdle = 64
	// maxStray bounds the bytes of a response to another request that are
	// read to get to the next one.
	maxStray = 64 << 10
	// maxStrays bounds the responses to other requests that are passed over.
	maxStrays = 3
)

var (
	errClosed = errors.New("client is closed")
	errStray  = errors.New("response belongs to another request")
	errHead   = fmt.Errorf("head of a response is longer than %d bytes", maxHead)
)

// Request is one request to one server.
type Request struct {
	Addr   netip.AddrPort
	Method string
	// Target is the path with its query, sent byte for byte.
	Target string
	Host   string
	// Header must not hold Content-Length or any header of the connection.
	Header http.Header
	Body   []byte
	// HasBody is set when the request has a body, if only an empty one.
	HasBody bool
	// ID is compared with the identifier in the response header IDHeader.
	ID, IDHeader string
	// Until is when the wait for the response ends.
	Until time.Time
	// Fresh asks for a connection of its own: a late response to an earlier
	// attempt with the same ID could be taken for the response otherwise.
	Fresh bool
}

// Client sends requests. It is safe for concurrent use.
type Client struct {
	dialer *net.Dialer
	opened atomic.Int64

	mu     sync.Mutex
	idle   map[netip.AddrPort][]*conn
	closed bool
}

// NewClient returns a client whose connections must open within dial.
func NewClient(dial time.Duration) *Client {
	return &Client{dialer: NewDialer(dial), idle: make(map[netip.AddrPort][]*conn)}
}

// Opened returns the number of connections opened so far.
func (c *Client) Opened() int64 { return c.opened.Load() }

// Close closes idle connections; those in use are closed when their response
// is.
func (c *Client) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for addr := range c.idle {
		c.drop(addr)
	}
	return nil
}

// Drop closes the idle connections to addr.
func (c *Client) Drop(addr netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drop(addr)
}

func (c *Client) drop(addr netip.AddrPort) {
	for _, cn := range c.idle[addr] {
		_ = cn.Close() // idle: nothing is lost
	}
	delete(c.idle, addr)
}

// Sweep closes idle connections that are past their time.
func (c *Client) Sweep(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, list := range c.idle {
		kept := list[:0]
		for _, cn := range list {
			if now.Before(cn.until) {
				kept = append(kept, cn)
				continue
			}
			_ = cn.Close() // idle: nothing is lost
		}
		if len(kept) == 0 {
			delete(c.idle, addr)
			continue
		}
		c.idle[addr] = kept
	}
}

// Do sends a request and returns its response, whose Close must be called.
// The error is an *Error. When ctx ends, the connection is closed.
func (c *Client) Do(ctx context.Context, req *Request) (*Response, error) {
	cn, err := c.get(ctx, req)
	if err != nil {
		return nil, &Error{Stage: StageConnect, Addr: req.Addr, Err: err}
	}
	// The connection is closed, not given a deadline, so that the server
	// notices at once that nobody waits.
	stop := context.AfterFunc(ctx, func() { _ = cn.Close() })
	r := &Response{client: c, conn: cn, stop: stop}
	if err := r.exchange(req); err != nil {
		r.abandon()
		if ctx.Err() != nil {
			err.Err = ctx.Err()
		}
		return nil, err
	}
	return r, nil
}

// get returns an idle connection that is still usable, or a new one.
func (c *Client) get(ctx context.Context, req *Request) (*conn, error) {
	addr := req.Addr
	for !req.Fresh {
		cn, err := c.pop(addr)
		if err != nil {
			return nil, err
		}
		if cn == nil {
			break
		}
		if time.Now().Before(cn.until) && cn.quiet() {
			cn.reused = true
			return cn, nil
		}
		_ = cn.Close() // idle: nothing is lost
	}
	nc, err := c.dialer.DialContext(ctx, "tcp4", addr.String())
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	c.opened.Add(1)
	return newConn(nc, addr), nil
}

// Connected reports whether a connection to addr is idle and usable.
func (c *Client) Connected(addr netip.AddrPort) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[addr]
	return len(list) > 0 && time.Now().Before(list[len(list)-1].until)
}

// pop takes the idle connection that was used last.
func (c *Client) pop(addr netip.AddrPort) (*conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, errClosed
	}
	list := c.idle[addr]
	if len(list) == 0 {
		return nil, nil
	}
	cn := list[len(list)-1]
	c.idle[addr] = list[:len(list)-1]
	return cn, nil
}

// put keeps a connection for later requests.
func (c *Client) put(cn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.idle[cn.addr]) >= maxIdle {
		_ = cn.Close() // idle: nothing is lost
		return
	}
	cn.rest(time.Now())
	c.idle[cn.addr] = append(c.idle[cn.addr], cn)
}

// encode returns the bytes of a request.
func encode(req *Request) ([]byte, error) {
	var b bytes.Buffer
	b.Grow(512 + len(req.Body))
	b.WriteString(req.Method)
	b.WriteByte(' ')
	b.WriteString(req.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(req.Host)
	b.WriteString("\r\n")
	if err := req.Header.Write(&b); err != nil {
		return nil, fmt.Errorf("encode header: %w", err)
	}
	if req.HasBody || len(req.Body) > 0 {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(req.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	b.Write(req.Body)
	return b.Bytes(), nil
}

// readResponse reads the response to req, passing over those that belong to
// other requests.
func readResponse(cn *conn, req *Request) (*http.Response, error) {
	asked := &http.Request{Method: req.Method}
	for range maxStrays {
		resp, err := cn.readHead(asked)
		if err != nil {
			return nil, fmt.Errorf("read response: %w", err)
		}
		if resp.StatusCode < http.StatusOK {
			continue // informational
		}
		if resp.Header.Get(req.IDHeader) == req.ID {
			return resp, nil
		}
		if resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return nil, errStray
		}
		if n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStray)); err != nil || n == maxStray {
			return nil, errStray
		}
	}
	return nil, errStray
}
