// Package plain is a client of plain services, that is of backend servers that are
// not model engines. An idempotent call uses a pooled connection. A call that must
// not be repeated gets a new connection, and nothing sends it a second time:
// net/http resends a request only if the connection was reused or the request has
// an idempotency header, and only if it can read the body again. None of these
// holds for such a call.
//
// Errors are of type *engine.Error, so that the same retry rules apply to both
// kinds of backend servers. The client writes headers from typed fields, as package
// engine does.
package plain

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"strings"
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

// Options are the settings of a Client. The zero value is ready for use.
type Options struct {
	// Dial opens connections; nil means TCP.
	Dial engine.DialFunc
	// Limit bounds the body of a response in bytes; 0 means DefaultLimit.
	Limit int64
}

// Client calls plain services. It is safe for concurrent use.
type Client struct {
	pools    *engine.Pools
	unpooled *http.Transport
	limit    int64
}

// New returns a client.
func New(opts Options) *Client {
	if opts.Limit <= 0 {
		opts.Limit = DefaultLimit
	}
	pools := engine.NewPools(opts.Dial)
	return &Client{pools: pools, unpooled: pools.Unpooled(), limit: opts.Limit}
}

// CloseIdle closes the idle pooled connections to addr. Calls in progress go on.
func (c *Client) CloseIdle(addr netip.AddrPort) { c.pools.CloseIdle(addr) }

// Close rejects new calls, waits for the calls in progress, and closes all
// connections.
func (c *Client) Close() error { return c.pools.Close() }

// Call is one request to one plain service.
type Call struct {
	Addr netip.AddrPort
	// ID identifies the attempt.
	ID string
	// Method and Path, which includes the query, are sent unchanged.
	Method, Path string
	// Body is JSON; nil means none.
	Body []byte
	// Idempotent is set if the call may be repeated. Any other call is sent at
	// most once.
	Idempotent bool
	// Trace is the W3C traceparent of the hop, or empty.
	Trace string
	// Timeout bounds the call; 0 means DefaultTimeout. A call with a negative
	// timeout, such as the time left until a deadline that has passed, is not
	// sent.
	Timeout time.Duration
}

// Response is a complete response.
type Response struct {
	Status int
	// Type is the content type.
	Type string
	// RetryAfter is the server's Retry-After, 0 without one.
	RetryAfter time.Duration
	Body       []byte
}

// Do sends a call and returns the complete response. A response with an error
// status is not an error, unless it reports that the request was not run, which
// gives an error of engine.StageRefused. The error is an *engine.Error.
func (c *Client) Do(ctx context.Context, call Call) (*Response, error) {
	resp, err := c.do(ctx, call)
	if err != nil {
		return nil, err
	}
	return resp, nil
}

func (c *Client) do(ctx context.Context, call Call) (*Response, *engine.Error) {
	if err := c.pools.Begin(); err != nil {
		return nil, invalid(call, err)
	}
	defer c.pools.End()
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
		RetryAfter: engine.RetryAfter(resp), Body: body,
	}, nil
}

// closeIdleOnStall closes the idle connections to the server if e is a stall, and
// returns e.
func (c *Client) closeIdleOnStall(e *engine.Error) *engine.Error {
	if e.Kind == engine.KindStalled {
		c.pools.CloseIdle(e.Addr)
	}
	return e
}

// invalid returns the error of a call that is not sent because of err.
func invalid(call Call, err error) *engine.Error {
	return &engine.Error{Addr: call.Addr, Kind: engine.KindInvalid, Err: err}
}

// checkPath returns an error unless path starts with a slash and contains no API
// key.
func checkPath(path string) error {
	switch {
	case !strings.HasPrefix(path, "/"):
		return errors.New("path does not start with a slash")
	case strings.Contains(strings.ToLower(path), model.KeyPrefix):
		return errors.New("path holds a key")
	}
	return nil
}
