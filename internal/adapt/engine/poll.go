package engine

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"
)

// Load is the load report of a backend server.
type Load struct {
	Queued  int `json:"queued"`
	Running int `json:"running"`
	// Limit is the number of batch slots.
	Limit int `json:"limit"`
	// Pending is the number of prompt tokens that wait for prefill.
	Pending int `json:"pending"`
	// Prefill is the prefill rate in prompt tokens per second.
	Prefill int       `json:"prefill"`
	Leaving bool      `json:"leaving"`
	At      time.Time `json:"at"`
}

// Load returns the load report of a server. The call takes at most 2 s. The
// error is an *Error.
func (c *Client) Load(ctx context.Context, addr netip.AddrPort) (Load, error) {
	var l Load
	if err := c.get(ctx, addr, "/v1/load", &l); err != nil {
		return Load{}, err
	}
	return l, nil
}

// CacheEvent reports that an engine added a prefix block to its cache or evicted it.
type CacheEvent struct {
	Seq uint64 `json:"seq"`
	// Op is "add" or "drop".
	Op string `json:"op"`
	// Digest identifies the prefix that ends with the block.
	Digest uint64 `json:"digest,string"`
	// Tokens is the length of the prefix.
	Tokens int `json:"tokens"`
}

// CachePage is a page of the cache events of an engine.
type CachePage struct {
	Events []CacheEvent `json:"events"`
	// Next is the value of after for the following page. Sequence numbers have no
	// gaps: a number that is missing from the pages is that of an event that the
	// engine lost.
	Next uint64 `json:"next"`
	// Epoch changes when the engine starts with an empty cache. The sequence
	// numbers then start at 1 again.
	Epoch string `json:"epoch"`
}

// Cache returns the cache events with sequence numbers above after. The call takes
// at most 2 s. The error is an *Error.
func (c *Client) Cache(ctx context.Context, addr netip.AddrPort, after uint64) (CachePage, error) {
	var p CachePage
	if err := c.get(ctx, addr, "/v1/cache?after="+strconv.FormatUint(after, 10), &p); err != nil {
		return CachePage{}, err
	}
	return p, nil
}

// Cancel requests an engine to end the request whose Call has the given ID. The call
// takes at most 2 s. It is not cancelled with ctx, since the end of ctx is often
// the reason for it. It is no error if the engine has no such request.
func (c *Client) Cancel(ctx context.Context, addr netip.AddrPort, id string) error {
	if err := CheckID(id); err != nil {
		return &Error{Addr: addr, Kind: KindInvalid, Err: err}
	}
	_, err := c.poll(context.WithoutCancel(ctx), http.MethodDelete, addr, "/v1/requests/"+id, http.StatusNotFound)
	return err
}

// get decodes the JSON response to a GET request into v.
func (c *Client) get(ctx context.Context, addr netip.AddrPort, path string, v any) error {
	body, err := c.poll(ctx, http.MethodGet, addr, path, 0)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, v); err != nil {
		return &Error{Addr: addr, Stage: StageAnswered, Kind: KindFormat, Err: err}
	}
	return nil
}

// poll sends a short request without a body. It accepts status codes from 200 to
// 299 and extraStatus.
func (c *Client) poll(ctx context.Context, method string, addr netip.AddrPort, path string, extraStatus int) ([]byte, error) {
	if err := c.pools.Begin(); err != nil {
		return nil, &Error{Addr: addr, Kind: KindInvalid, Err: err}
	}
	defer c.pools.End()
	p := NewProgress(ctx, pollTimeout)
	defer p.Stop()
	id := "poll-" + rand.Text()
	traced, sent := TraceSend(p.ctx, nil)
	req, err := NewRequest(traced, method, addr, path, id, "", nil, false)
	if err != nil {
		return nil, &Error{Addr: addr, Kind: KindInvalid, Err: err}
	}
	resp, err := c.pools.Get(addr).RoundTrip(req)
	if err != nil {
		return nil, c.sendError(p.ctx, addr, sent, err)
	}
	defer resp.Body.Close()
	if err := CheckResponseID(resp, addr, id); err != nil {
		sent.CloseConn()
		return nil, err
	}
	if resp.StatusCode/100 != 2 && resp.StatusCode != extraStatus {
		return nil, StatusError(resp, addr)
	}
	return c.readReport(p.ctx, resp, addr)
}

// readReport reads the body of a response of at most maxReport bytes.
func (c *Client) readReport(ctx context.Context, resp *http.Response, addr netip.AddrPort) ([]byte, error) {
	body, err := ReadBody(ctx, resp, addr, maxReport)
	if err == nil {
		return body, nil
	}
	if err.Kind == KindStalled {
		c.pools.CloseIdle(addr)
	}
	return nil, err
}

// ReadBody reads the whole body of a response, which may have at most limit bytes.
// ctx is the context of the call.
func ReadBody(ctx context.Context, resp *http.Response, addr netip.AddrPort, limit int64) ([]byte, *Error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	e := &Error{Addr: addr, Stage: StageAnswered, Status: resp.StatusCode, Err: err}
	switch {
	case err != nil:
		e.Kind = contextKind(ctx, KindTruncated)
		return nil, e
	case int64(len(body)) > limit:
		e.Kind, e.Err = KindTooLarge, fmt.Errorf("response is larger than %d bytes", limit)
		return nil, e
	}
	return body, nil
}
