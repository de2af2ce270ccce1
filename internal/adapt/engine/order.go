package engine

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"net/http"
	"net/netip"
	"time"
)

// Order is a control command to an engine. An order must not run twice, so it is
// sent at most once, on a new connection.
type Order struct {
	// Order is the command, such as "load", "adapter" or "role".
	Order string `json:"order"`
	Model string `json:"model"`
	// Token is the fencing token of the sender's lease.
	Token uint64 `json:"token"`
}

// Order sends an order and waits up to timeout for the engine to accept it. check
// may be nil; otherwise it is called when the connection is open, immediately
// before the order is written, and if it returns an error, nothing is written. An
// engine that rejects a stale fencing token responds with status 409 and X-Run: no;
// Error.Stale reports that. The error is an *Error.
func (c *Client) Order(ctx context.Context, addr netip.AddrPort, o Order, timeout time.Duration, check func() error) error {
	if err := c.pools.Begin(); err != nil {
		return &Error{Addr: addr, Kind: KindInvalid, Err: err}
	}
	defer c.pools.End()
	body, err := json.Marshal(o)
	if err != nil {
		return &Error{Addr: addr, Kind: KindInvalid, Err: err}
	}
	p := NewProgress(ctx, timeout)
	defer p.Stop()
	id := "order-" + rand.Text()
	traced, sent := TraceSend(p.ctx, check)
	req, err := NewRequest(traced, http.MethodPost, addr, "/v1/orders", id, "", body, true)
	if err != nil {
		return &Error{Addr: addr, Kind: KindInvalid, Err: err}
	}
	resp, err := c.unpooled.RoundTrip(req)
	if err != nil {
		return SendError(p.ctx, addr, sent, err)
	}
	defer resp.Body.Close()
	if err := CheckResponseID(resp, addr, id); err != nil {
		return err
	}
	if resp.StatusCode/100 != 2 {
		return StatusError(resp, addr)
	}
	return nil
}

// Stale reports whether an engine rejected an order because of a stale fencing
// token.
func (e *Error) Stale() bool {
	return e.Kind == KindStatus && e.Status == http.StatusConflict && e.Stage == StageRefused
}
