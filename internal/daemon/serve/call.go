// Package serve processes a request from its arrival at a host to the last byte of the
// response: rate limiting, choice of a backend server or data centre, dispatch, retries,
// and settlement of the reserved tokens.
package serve

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/model"
)

// maxHops is the number of hosts that may handle a request: the entry host and one
// that it forwards to.
const maxHops = 2

// Call is one request that a host processes.
type Call struct {
	ID    string
	Route *model.Route
	// Org is the organisation of the caller's key; nil without a key.
	Org *model.Org
	// Key is the hash of the caller's key; it is valid only if HasKey is set.
	Key    model.KeyHash
	HasKey bool
	// Regions are the regions in which the request may be served.
	Regions  []string
	Arrived  time.Time
	Deadline time.Time
	// Hops are the hosts that have handled the request, the entry host first.
	Hops   []netip.AddrPort
	Method string
	Path   string
	// RawQuery is the encoded query string of a plain call, without "?".
	RawQuery string
	Body     []byte
	// ContentType is the media type of the body.
	ContentType string
	// IdempotencyKey is the value of the caller's Idempotency-Key header, which may
	// be a ticket: a key that names the host that issued it.
	IdempotencyKey string
	// Chat is set on chat routes.
	Chat *Chat
	// beforeDispatch, if not nil, is called immediately before the request is sent
	// to a backend server or another host. If it fails, the request is not sent.
	beforeDispatch func() error
}

// Sink receives the response. Its methods are called by one goroutine.
type Sink interface {
	// Head starts the response; it is called at most once.
	Head(status int, header http.Header) error
	// Data sends a part of the body without buffering. It does not retain p.
	Data(p []byte) error
}

// allows reports whether the request may be served in region.
func (c *Call) allows(region string) bool {
	return slices.Contains(c.Regions, region)
}

// forwarded reports whether the request was forwarded to this host by another one.
func (c *Call) forwarded() bool { return len(c.Hops) > 1 }

// orgName returns the organisation's name, or "" without a key.
func (c *Call) orgName() string {
	if c.Org == nil {
		return ""
	}
	return c.Org.Name
}

// trailKey is the context key of the trail.
type trailKey struct{}

// Trail records the hosts and backend servers that handled a request, for the X-Trail
// response header. It is not safe for concurrent use.
type Trail struct{ Steps []string }

func (t *Trail) add(steps ...string) { t.Steps = append(t.Steps, steps...) }

// WithTrail returns a context with a new trail, and the trail.
func WithTrail(ctx context.Context) (context.Context, *Trail) {
	t := &Trail{}
	return context.WithValue(ctx, trailKey{}, t), t
}

// trail returns the trail of ctx, or a new one that is discarded.
func trail(ctx context.Context) *Trail {
	if t, ok := ctx.Value(trailKey{}).(*Trail); ok {
		return t
	}
	return &Trail{}
}
