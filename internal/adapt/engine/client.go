// Package engine is a client of model engines. It supports chat streams with
// progress timeouts, resume and cancel, load reports, events of the prefix cache,
// and control orders. A failed call returns an *Error that shows whether the
// request may have run.
//
// No header of a caller is copied. The client writes all headers from typed
// fields and does not send a call with a field that contains an API key, so that
// no backend server receives a caller's key. The request body is not checked; that
// is up to the user of this package.
package engine

import (
	"net/http"
	"net/netip"
	"time"
)

const (
	// pollTimeout bounds load reports, cache events and cancels, which need no
	// model computation on the engine.
	pollTimeout = 2 * time.Second
	// maxReport bounds the body of a load report or a page of cache events,
	// in bytes.
	maxReport = 1 << 20
)

// Options are the settings of a Client. The zero value is ready for use.
type Options struct {
	// Dial opens connections; nil means TCP.
	Dial DialFunc
}

// Client calls engines. It is safe for concurrent use.
type Client struct {
	pools    *Pools
	unpooled *http.Transport
}

// New returns a client.
func New(opts Options) *Client {
	pools := NewPools(opts.Dial)
	return &Client{pools: pools, unpooled: pools.Unpooled()}
}

// CloseIdle closes the idle pooled connections to addr. It is for servers that
// stalled or were removed from the configuration. Calls in progress go on.
func (c *Client) CloseIdle(addr netip.AddrPort) { c.pools.CloseIdle(addr) }

// Close rejects new calls, waits for the calls and streams in progress without
// interrupting them, and closes all connections.
func (c *Client) Close() error { return c.pools.Close() }
