// Package plain is the client of plain services. An idempotent call uses a
// pooled connection. A call that must not be repeated gets a connection of
// its own, and nothing sends it a second time: net/http resends a request
// only on a reused connection or with an idempotency header, and such a call
// has neither, nor a body that can be read again.
//
// Errors are of type *engine.Error, so that one set of retry rules serves
// both kinds of backend servers. Headers are written by the client from typed
// fields, as in package engine.
package plain

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/yuccalb/yuccalb/internal/adapt/engine"
	"github.com/yuccalb/yuccalb/internal/core/model"
)

// Defaults of Options and Call.
const (
	// DefaultLimit bounds the body of a response in bytes.
	DefaultLimit = 4 << 20
	// DefaultTimeout bounds a call that sets no timeout.
	DefaultTimeout = 30 * time.Second
)

var errClosed = errors.New("client is closed")

// Options sets up a Client. The zero value is ready for use.
type Options struct {
	// Dial opens connections; nil stands for TCP.
	Dial engine.DialFunc
	// Limit bounds the body of a response in bytes; 0 stands for
	// DefaultLimit.
	Limit int64
}

// Client calls plain services. It is safe for concurrent use.
type Client struct {
	pools *engine.Pools
	unpooled *http.Transport
	limit int64

	mu     sync.Mutex
	closed bool
	calls   sync.WaitGroup
}

// New returns a client.
func New(opts Options) *Client {
	if opts.Limit <= 0 {
		opts.Limit = DefaultLimit
	}
	pools := engine.NewPools(opts.Dial)
	return &Client{pools: pools, unpooled: pools.Unpooled(), limit: opts.Limit}
}

// CloseIdle closes the pooled connections to addr. Calls in progress go on.
func (c *Client) CloseIdle(addr netip.AddrPort) { c.pools.CloseIdle(addr) }

// Close refuses new calls, waits for the calls in progress, and closes all
// connections.
func (c *Client) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.calls.Wait()
	c.pools.Close()
	return nil
}

// Call is one request to one plain service.
type Call struct {
	Addr netip.AddrPort
	// ID identifies the attempt.
	ID string
	// Method and Path, with its query, are sent as they are.
	Method, Path string
	// Body is JSON; nil sends none.
	Body []byte
	// Idempotent is set when the call may be repeated. All other calls are
	// sent at most once.
	Idempotent bool
	// Trace is the W3C traceparent of the hop, or empty.
	Trace string
	// Timeout bounds the call; 0 stands for DefaultTimeout. A call with a
	// negative timeout, such as the time to a deadline that has passed, is
	// not sent.
	Timeout time.Duration
}

// Response is a complete response.
type Response struct {
	Status int
	// Type is the content type.
	Type string
	// Retry is the server's Retry-After, 0 when it gave none.
	Retry time.Duration
	Body  []byte
}

// Do sends a call and returns the complete response, whatever its status; a
// response that reports "not run" is an error of StageRefused. The error is
// an *engine.Error.
func (c *Client) Do(ctx context.Context, call Call) (*Response, error) {
	resp, err := c.do(ctx, call)
	if err != nil {
		return nil, err
	}
	return resp, nil
}

func (c *Client) do(ctx context.Context, call Call) (*Response, *engine.Error) {
	if err := c.beginCall(); err != nil {
		return nil, invalid(call, err)
	}
	defer c.calls.Done()
	if err := checkPath(call.Path); err != nil {
		return nil, invalid(call, err)
	}
	timeout := call.Timeout
	switch {
	case timeout < 0:
		return nil, &engine.Error{Addr: call.Addr, Kind: engine.KindCancelled, Err: context.DeadlineExceeded}
	case timeout == 0:
		timeout = DefaultTimeout
	}
	p := engine.NewProgress(ctx, timeout)
	defer p.Stop()
	traced, sent := engine.TraceSend(p.Context(), nil)
	req, err := engine.NewRequest(traced, call.Method, call.Addr, call.Path, call.ID, call.Trace, call.Body, !call.Idempotent)
	if err != nil {
		return nil, invalid(call, err)
	}
	req.Header.Set("Accept", "application/json")
	tr := c.unpooled
	if call.Idempotent {
		tr = c.pools.Get(call.Addr)
	}
	resp, err := tr.RoundTrip(req)
	if err != nil {
		return nil, c.closeIdleOnStall(engine.SendError(p.Context(), call.Addr, sent, err))
	}
	defer resp.Body.Close()
	if err := engine.CheckResponseID(resp, call.Addr, call.ID); err != nil {
		sent.CloseConn()
		return nil, err
	}
	if engine.Refused(resp) {
		return nil, engine.StatusError(resp, call.Addr)
	}
	body, failure := engine.ReadBody(p.Context(), resp, call.Addr, c.limit)
	if failure != nil {
		return nil, c.closeIdleOnStall(failure)
	}
	return &Response{
		Status: resp.StatusCode, Type: resp.Header.Get("Content-Type"),
		Retry: engine.RetryAfter(resp), Body: body,
	}, nil
}

// beginCall registers a call.
func (c *Client) beginCall() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return errClosed
	}
	c.calls.Add(1)
	return nil
}

// closeIdleOnStall gives up the pooled connections to a server that stalled.
func (c *Client) closeIdleOnStall(e *engine.Error) *engine.Error {
	if e.Kind == engine.KindStalled {
		c.pools.CloseIdle(e.Addr)
	}
	return e
}

// invalid returns the error of a call that was not sent.
func invalid(call Call, err error) *engine.Error {
	return &engine.Error{Addr: call.Addr, Kind: engine.KindInvalid, Err: err}
}

// checkPath returns an error unless path can be sent.
func checkPath(path string) error {
	switch {
	case !strings.HasPrefix(path, "/"):
		return errors.New("path does not start with a slash")
	case strings.Contains(strings.ToLower(path), model.KeyPrefix):
		return errors.New("path holds a key")
	}
	return nil
}
