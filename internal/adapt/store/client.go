// Package store is a client of the platform's key-value service.
package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Bounds of one call.
const (
	// MaxValue is the largest value, in bytes.
	MaxValue = 1 << 20
	// callTimeout bounds every call except Watch, also if its context has no
	// deadline, so that a stalled connection can't block it for ever.
	callTimeout = 5 * time.Second
	// watchTimeout bounds a Watch; the service responds after 30 s at the latest.
	watchTimeout = 40 * time.Second
	// maxList is the largest response to List, in bytes.
	maxList = 64 << 20
)

// versionHeader carries the version of a key.
const versionHeader = "X-Version"

// errNoVersion is the cause of the error if a successful response lacks
// versionHeader.
var errNoVersion = errors.New("response without header " + versionHeader)

// Entry is the value of a key and its version.
type Entry struct {
	Value []byte
	// Version increases with each write of the key; it is never 0.
	Version uint64
}

// Item is one key in the result of List.
type Item struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Lease is a lease of the key-value service. Keys that were written under a lease
// are deleted when it expires or is released.
type Lease struct {
	ID string
	// Token is the fencing token, which is higher than that of any earlier lease.
	Token uint64
	// TTL is the time to live. It counts from the time before the request to
	// create or renew the lease was sent.
	TTL time.Duration
}

// Client calls the key-value service. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the service at the base URL, such as
// http://10.0.0.1:7000. If transport is nil, the client creates its own.
func New(base string, transport http.RoundTripper) *Client {
	if transport == nil {
		transport = &http.Transport{
			DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
			MaxIdleConnsPerHost: 8,
			IdleConnTimeout:     30 * time.Second,
		}
	}
	return &Client{base: strings.TrimSuffix(base, "/"), http: &http.Client{Transport: transport}}
}

// Close closes idle connections. It does not wait for calls in progress.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get returns the value of a key or ErrNotFound.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	r, err := c.call(ctx, request{method: http.MethodGet, path: "/v1/kv/" + key, limit: MaxValue})
	if err != nil {
		return Entry{}, fmt.Errorf("get %s: %w", key, err)
	}
	if err := r.check(key); err != nil {
		return Entry{}, fmt.Errorf("get %s: %w", key, err)
	}
	if r.version == 0 {
		return Entry{}, fmt.Errorf("get %s: %w", key, &callError{ErrUnavailable, errNoVersion})
	}
	return Entry{Value: r.body, Version: r.version}, nil
}

// Put writes a key if its version is prev, or if it does not exist and prev is 0,
// and returns the new version. A key with another version gives a
// *ConflictError. If lease is not empty, the key is deleted when that lease ends.
func (c *Client) Put(ctx context.Context, key string, value []byte, prev uint64, lease string) (uint64, error) {
	q := url.Values{"prev": {strconv.FormatUint(prev, 10)}}
	if lease != "" {
		q.Set("lease", lease)
	}
	r, err := c.call(ctx, request{method: http.MethodPut, path: "/v1/kv/" + key, query: q, body: value, writes: true})
	if err != nil {
		return 0, fmt.Errorf("put %s: %w", key, err)
	}
	if err := r.check(key); err != nil {
		return 0, fmt.Errorf("put %s: %w", key, err)
	}
	if r.version == 0 {
		return 0, fmt.Errorf("put %s: %w", key, &callError{ErrOutcomeUnknown, errNoVersion})
	}
	return r.version, nil
}

// Delete deletes a key if its version is prev. A key with another version gives
// a *ConflictError, a missing key ErrNotFound.
func (c *Client) Delete(ctx context.Context, key string, prev uint64) error {
	q := url.Values{"prev": {strconv.FormatUint(prev, 10)}}
	r, err := c.call(ctx, request{method: http.MethodDelete, path: "/v1/kv/" + key, query: q, writes: true})
	if err == nil {
		err = r.check(key)
	}
	if err != nil {
		return fmt.Errorf("delete %s: %w", key, err)
	}
	return nil
}

// List returns the keys with a prefix in sorted order, with their versions.
func (c *Client) List(ctx context.Context, prefix string) ([]Item, error) {
	r, err := c.call(ctx, request{method: http.MethodGet, path: "/v1/kv", query: url.Values{"prefix": {prefix}}, limit: maxList})
	if err == nil {
		err = r.check(prefix)
	}
	if err != nil {
		return nil, fmt.Errorf("list %s: %w", prefix, err)
	}
	var items []Item
	if err := json.Unmarshal(r.body, &items); err != nil {
		return nil, fmt.Errorf("list %s: %w", prefix, &callError{ErrUnavailable, err})
	}
	return items, nil
}

// Watch waits until a key has a version higher than after and returns its
// value. It returns ErrUnchanged after the service's limit of about 30 s.
func (c *Client) Watch(ctx context.Context, key string, after uint64) (Entry, error) {
	q := url.Values{"key": {key}, "after": {strconv.FormatUint(after, 10)}}
	r, err := c.call(ctx, request{method: http.MethodGet, path: "/v1/watch", query: q, limit: MaxValue, timeout: watchTimeout})
	if err == nil {
		err = r.check(key)
	}
	if err == nil && r.status == http.StatusNoContent {
		err = ErrUnchanged
	}
	if err == nil && r.version == 0 {
		err = &callError{ErrUnavailable, errNoVersion}
	}
	if err != nil {
		return Entry{}, fmt.Errorf("watch %s: %w", key, err)
	}
	return Entry{Value: r.body, Version: r.version}, nil
}

// leaseBody is the JSON encoding of a lease.
type leaseBody struct {
	ID    string `json:"id,omitempty"`
	Token uint64 `json:"token,omitempty"`
	TTL   string `json:"ttl,omitempty"`
}

// NewLease creates a lease.
func (c *Client) NewLease(ctx context.Context, ttl time.Duration) (Lease, error) {
	body, err := json.Marshal(leaseBody{TTL: ttl.String()})
	if err != nil {
		return Lease{}, fmt.Errorf("create lease: %w", err)
	}
	l, err := c.lease(ctx, request{method: http.MethodPost, path: "/v1/leases", body: body, writes: true})
	if err != nil {
		return Lease{}, fmt.Errorf("create lease: %w", err)
	}
	return l, nil
}

// Renew extends a lease by its time to live. A lease that has expired or was
// released gives ErrNotFound.
func (c *Client) Renew(ctx context.Context, id string) (Lease, error) {
	l, err := c.lease(ctx, request{method: http.MethodPut, path: "/v1/leases/" + id, writes: true})
	if err != nil {
		return Lease{}, fmt.Errorf("renew lease: %w", err)
	}
	return l, nil
}

// Release ends a lease and deletes its keys.
func (c *Client) Release(ctx context.Context, id string) error {
	r, err := c.call(ctx, request{method: http.MethodDelete, path: "/v1/leases/" + id, writes: true})
	if err == nil {
		err = r.check(id)
	}
	if err != nil {
		return fmt.Errorf("release lease: %w", err)
	}
	return nil
}

// lease sends a request whose response is a lease.
func (c *Client) lease(ctx context.Context, req request) (Lease, error) {
	req.limit = 4096
	r, err := c.call(ctx, req)
	if err != nil {
		return Lease{}, err
	}
	if err := r.check(req.path); err != nil {
		return Lease{}, err
	}
	var b leaseBody
	if err := json.Unmarshal(r.body, &b); err != nil {
		return Lease{}, &callError{ErrOutcomeUnknown, err}
	}
	ttl, err := time.ParseDuration(b.TTL)
	if err != nil || b.ID == "" {
		return Lease{}, &callError{ErrOutcomeUnknown, fmt.Errorf("response with lease %q, ttl %q", b.ID, b.TTL)}
	}
	return Lease{ID: b.ID, Token: b.Token, TTL: ttl}, nil
}

// request describes one call.
type request struct {
	method  string
	path    string // before escaping
	query   url.Values
	body    []byte
	limit   int64 // maximum size of the response body in bytes
	timeout time.Duration
	writes  bool // a lost response leaves the outcome unknown
}

// response is a complete response.
type response struct {
	status  int
	version uint64
	body    []byte
	writes  bool
}

// call sends a request and reads the whole response.
func (c *Client) call(ctx context.Context, req request) (*response, error) {
	if req.timeout == 0 {
		req.timeout = callTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, req.timeout)
	defer cancel()
	if err := ctx.Err(); err != nil {
		return nil, &callError{ErrUnavailable, err}
	}
	// A request that got no connection was not sent.
	var waiting atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { waiting.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { waiting.Store(false) },
	})
	u, err := url.Parse(c.base)
	if err != nil {
		return nil, &callError{ErrUnavailable, err}
	}
	u.Path += req.path
	u.RawQuery = req.query.Encode()
	hr, err := http.NewRequestWithContext(ctx, req.method, u.String(), bytes.NewReader(req.body))
	if err != nil {
		return nil, &callError{ErrUnavailable, err}
	}
	// Without GetBody the transport can't retry the request.
	hr.GetBody = nil
	fail := func(err error) error {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			// Other pooled connections may have stalled as well.
			c.http.CloseIdleConnections()
		}
		if req.writes && !waiting.Load() {
			return &callError{ErrOutcomeUnknown, err}
		}
		return &callError{ErrUnavailable, err}
	}
	resp, err := c.http.Do(hr)
	if err != nil {
		return nil, fail(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, req.limit+1))
	if err != nil {
		return nil, fail(err)
	}
	if int64(len(data)) > req.limit && req.limit > 0 && resp.StatusCode < 300 {
		return nil, fail(fmt.Errorf("response is larger than %d bytes", req.limit))
	}
	r := &response{status: resp.StatusCode, body: data, writes: req.writes}
	if v := resp.Header.Get(versionHeader); v != "" {
		if r.version, err = strconv.ParseUint(v, 10, 64); err != nil {
			return nil, fail(fmt.Errorf("header %s: %w", versionHeader, err))
		}
	}
	return r, nil
}

// check turns the status of a response into an error.
func (r *response) check(key string) error {
	cause := fmt.Errorf("status %d", r.status)
	switch {
	case r.status >= 200 && r.status < 300:
		return nil
	case r.status == http.StatusNotFound:
		return ErrNotFound
	case r.status == http.StatusConflict:
		return &ConflictError{Key: key, Version: r.version}
	case r.status == http.StatusTooManyRequests || r.status == http.StatusServiceUnavailable:
		// The service responds with these before it processes a request.
		return &callError{ErrUnavailable, cause}
	case r.status >= 500 && r.writes:
		return &callError{ErrOutcomeUnknown, cause}
	case r.status >= 500:
		return &callError{ErrUnavailable, cause}
	default:
		return &callError{ErrRejected, cause}
	}
}
