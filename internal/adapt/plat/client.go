// Package plat is an HTTP client of the platform's host list, directory and weight
// store.
package plat

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/zeebo/errs"

	"github.com/yuccalb/yuccalb/internal/core/member"
)

// Error classifies the errors of this package.
var Error = errs.Class("platform")

const (
	// callTimeout bounds a call whose context has no earlier deadline.
	callTimeout = 5 * time.Second
	// maxHosts bounds the body of the host list in bytes. It is enough for 10,000
	// hosts of about 100 bytes each.
	maxHosts = 1 << 20
	// maxErrorBody bounds how much of the body of an error response is read, in
	// bytes.
	maxErrorBody = 512
	// maxWeights bounds the description of a model's weights in bytes.
	maxWeights = 1 << 20
)

// StatusError is the error of a response with a status other than 2xx.
type StatusError struct {
	Status int
	// RetryAfter is the value of Retry-After, 0 without one.
	RetryAfter time.Duration
	// Text is the start of the response body.
	Text string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d %s: %q", e.Status, http.StatusText(e.Status), e.Text)
}

// RateLimited reports whether err means that the platform rejected a call because of
// its rate limit, and how long to wait before the next call.
func RateLimited(err error) (wait time.Duration, ok bool) {
	var e *StatusError
	if errors.As(err, &e) && e.Status == http.StatusTooManyRequests {
		return e.RetryAfter, true
	}
	return 0, false
}

// Client calls the platform. It is safe for concurrent use.
type Client struct {
	base   *url.URL
	client *http.Client
}

// New returns a client of the platform at a base URL such as
// http://10.0.0.1:7000. If transport is nil, the client creates one with a bounded
// number of connections.
func New(base string, transport http.RoundTripper) (*Client, error) {
	u, err := url.Parse(base)
	if err != nil {
		return nil, Error.Wrap(fmt.Errorf("parse base URL: %w", err))
	}
	if u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return nil, Error.New("base URL %q: want http://host:port", base)
	}
	if transport == nil {
		transport = &http.Transport{
			MaxConnsPerHost: 8, MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute,
			ResponseHeaderTimeout: callTimeout, TLSHandshakeTimeout: callTimeout, DisableCompression: true,
		}
	}
	c := &http.Client{Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	}}
	return &Client{base: u, client: c}, nil
}

// Close closes idle connections. It does not wait for calls in progress, which end
// with their contexts.
func (c *Client) Close() error {
	c.client.CloseIdleConnections()
	return nil
}

// hostEntry is the JSON encoding of one host in the host list.
type hostEntry struct {
	Addr  netip.AddrPort `json:"addr"`
	Site  string         `json:"site"`
	State string         `json:"state"`
}

// Hosts returns the platform's list of live and leaving hosts, which may be stale.
// Any state other than "live" counts as leaving.
func (c *Client) Hosts(ctx context.Context) ([]member.ListEntry, error) {
	data, err := c.do(ctx, http.MethodGet, nil, maxHosts, "v1", "hosts")
	if err != nil {
		return nil, Error.Wrap(fmt.Errorf("read host list: %w", err))
	}
	var list []hostEntry
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, Error.Wrap(fmt.Errorf("decode host list: %w", err))
	}
	hosts := make([]member.ListEntry, 0, len(list))
	for _, h := range list {
		if h.Addr.IsValid() && h.Site != "" {
			hosts = append(hosts, member.ListEntry{Addr: h.Addr, Site: h.Site, Leaving: h.State != "live"})
		}
	}
	return hosts, nil
}

// PutDirectory replaces the addresses of a data centre in the directory from which
// clients get the addresses of hosts.
func (c *Client) PutDirectory(ctx context.Context, site string, addrs []netip.AddrPort) error {
	if addrs == nil {
		addrs = []netip.AddrPort{}
	}
	body, err := json.Marshal(struct {
		Addrs []netip.AddrPort `json:"addrs"`
	}{addrs})
	if err != nil {
		return Error.Wrap(fmt.Errorf("encode directory: %w", err))
	}
	if _, err := c.do(ctx, http.MethodPut, body, maxErrorBody, "v1", "directory", site); err != nil {
		return Error.Wrap(fmt.Errorf("write directory of %s: %w", site, err))
	}
	return nil
}

// Weights reads the description of a model's weights. The weight store limits the
// rate of calls; see RateLimited.
func (c *Client) Weights(ctx context.Context, model string) ([]byte, error) {
	data, err := c.do(ctx, http.MethodGet, nil, maxWeights, "v1", "weights", model)
	if err != nil {
		return nil, Error.Wrap(fmt.Errorf("read weights of %s: %w", model, err))
	}
	return data, nil
}

// do makes one call and returns the response body, which may have at most limit
// bytes. Path elements may contain any character.
func (c *Client) do(ctx context.Context, method string, body []byte, limit int64, path ...string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	escaped := make([]string, len(path))
	for i, p := range path {
		// PathEscape does not escape "." and "..", which JoinPath would resolve.
		if p == "" || p == "." || p == ".." {
			return nil, fmt.Errorf("path element %q is not allowed", p)
		}
		escaped[i] = url.PathEscape(p)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base.JoinPath(escaped...).String(), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return nil, statusError(resp)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	if int64(len(data)) > limit {
		return nil, fmt.Errorf("body is larger than %d bytes", limit)
	}
	return data, nil
}

// statusError returns the error of a response with a status other than 2xx.
func statusError(resp *http.Response) error {
	// The text only adds detail to the status, so a read error is ignored.
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
	e := &StatusError{Status: resp.StatusCode, Text: string(bytes.TrimSpace(text))}
	if s, err := time.ParseDuration(resp.Header.Get("Retry-After") + "s"); err == nil && s > 0 {
		e.RetryAfter = s
	}
	return e
}
