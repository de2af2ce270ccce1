// Package once runs each booking at most once. A booking is a request with an
// idempotency key: either a ticket, whose record the issuing host keeps in memory,
// or an opaque key chosen by the caller, whose record is kept in the key-value
// service. The rules are those of core/order; the package does the I/O for them on
// one host. All rejections are *model.Rejection.
//
// A request takes these steps: Begin; Entry.Recorded, whose response, if any, is
// sent to the caller of a repeated request; Entry.Dispatch, immediately before the
// request is passed to the client of the backend server; Finish. Finish must be
// called for every Entry without a recorded response.
package once

import (
	"context"
	"crypto/rand"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/model"
	"github.com/yuccalb/yuccalb/internal/core/order"
)

const (
	// defaultTimeout bounds one call to the store.
	defaultTimeout = 2 * time.Second
	// defaultMaxPending bounds the bookings with opaque keys that are in progress or
	// whose outcome has not been written yet.
	defaultMaxPending = 4096
	// maxPendingBytes bounds the responses that wait to be written, in bytes. Beyond
	// it, a booking is recorded without its response, and repeats are rejected as
	// "unknown". Without the bound, 4096 responses of the largest size would take 2 GiB.
	maxPendingBytes = 16 << 20
	// grace is added to the deadline of a running booking before other hosts treat it
	// as lost. It covers the clock skew between hosts.
	grace = 5 * time.Second
	// retryAfter is the Retry-After of rejections that a retry may resolve, such as
	// those while the store is unavailable.
	retryAfter = 2 * time.Second
)

// Store is the part of the key-value service API that booking records need.
type Store interface {
	// Get returns a value and its version. Version 0 means that the key does not
	// exist.
	Get(ctx context.Context, key string) (value []byte, version uint64, err error)
	// Put writes a value under a lease if the version of the key is prev; prev is 0
	// for a key that must not exist. It returns the new version, or false if the
	// version is not prev. After an error, the write may still have taken effect or
	// take effect later.
	Put(ctx context.Context, key string, value []byte, prev uint64, lease string) (version uint64, ok bool, err error)
	// Grant creates a lease and returns its ID.
	Grant(ctx context.Context, ttl time.Duration) (lease string, err error)
}

// Options configures a Once.
type Options struct {
	Store  Store
	Signer *order.Signer
	// Host and Incarnation identify the process in records and tickets.
	Host        netip.AddrPort
	Incarnation int64
	// Limits bounds the ticket records in memory.
	Limits order.Limits
	// Timeout bounds one call to the store; 0 means 2 s.
	Timeout time.Duration
	// Pending bounds the bookings with opaque keys in progress; 0 means 4096.
	Pending int
}

// Once runs each booking at most once. It is safe for concurrent use.
type Once struct {
	opts   Options
	leases *leases

	mu      sync.Mutex
	book    *order.Book
	active  map[string]*booking // by key in the store, until the outcome is written
	bytes   int                 // total size of the responses in active
	closed  bool
	stopped bool // no more writers may start

	drained   chan struct{} // closed once closed is set and active is empty
	drainOnce sync.Once

	background context.Context
	stop       context.CancelFunc
	writers    sync.WaitGroup
}

// New returns a Once.
func New(opts Options) *Once {
	if opts.Timeout <= 0 {
		opts.Timeout = defaultTimeout
	}
	if opts.Pending <= 0 {
		opts.Pending = defaultMaxPending
	}
	o := &Once{
		opts: opts, leases: newLeases(opts.Store, opts.Timeout),
		book:   order.NewBook(opts.Host, opts.Incarnation, opts.Limits),
		active: make(map[string]*booking), drained: make(chan struct{}),
	}
	o.background, o.stop = context.WithCancel(context.Background())
	return o
}

// Close rejects new bookings and waits until all entries with opaque keys are
// finished and their outcomes are written. If ctx ends first, the error contains the
// number of outcomes that were not written; repeats of those bookings are rejected as
// "unknown".
func (o *Once) Close(ctx context.Context) error {
	o.mu.Lock()
	o.closed = true
	o.signalDrained()
	o.mu.Unlock()
	select {
	case <-o.drained:
	case <-ctx.Done():
	}
	o.mu.Lock()
	o.stopped = true
	n := len(o.active)
	o.mu.Unlock()
	o.stop()
	o.writers.Wait()
	if n > 0 {
		return fmt.Errorf("outcomes of %d bookings were not written: %w", n, context.Cause(ctx))
	}
	return nil
}

// signalDrained ends the wait in Close once no booking is active. The caller must
// hold o.mu.
func (o *Once) signalDrained() {
	if o.closed && len(o.active) == 0 {
		o.drainOnce.Do(func() { close(o.drained) })
	}
}

// remove deletes a booking from active. The caller must hold o.mu.
func (o *Once) remove(b *booking) {
	delete(o.active, b.key)
	o.bytes -= b.bytes
	o.signalDrained()
}

// Ticket issues a signed ticket to org.
func (o *Once) Ticket(org string) (string, error) {
	o.mu.Lock()
	t := o.book.Issue(org, rand.Text(), time.Now())
	o.mu.Unlock()
	return o.opts.Signer.Sign(t)
}

// Owner returns the host that a request with the given key must be forwarded to; ok
// is false if this host handles it. The error is the *model.Rejection of an invalid
// ticket.
func (o *Once) Owner(org, key string) (owner netip.AddrPort, ok bool, err error) {
	if !order.IsTicket(key) {
		return netip.AddrPort{}, false, nil
	}
	t, rejection := o.opts.Signer.Check(key, org)
	if rejection != nil {
		return netip.AddrPort{}, false, rejection
	}
	return t.Owner, t.Owner != o.opts.Host, nil
}

// Begin starts a request with the caller's idempotency key, which may be empty. body
// is the digest by which a repeat is compared with the first request; order.Digest
// makes it from route, method, path and body. The deadline of ctx is the deadline of
// the booking; without one, the booking has model.DefaultDeadline. The error is a
// *model.Rejection.
func (o *Once) Begin(ctx context.Context, org, key, body string) (*Entry, error) {
	e := &Entry{once: o, until: deadline(ctx)}
	var rejection *model.Rejection
	switch {
	case o.isClosed():
		rejection = rejectLeaving()
	case key == "":
	case order.IsTicket(key):
		rejection = o.beginTicket(e, org, key, body)
	default:
		rejection = o.beginStored(ctx, e, order.StoreKey(org, key), body)
	}
	if rejection != nil {
		return nil, rejection
	}
	return e, nil
}

// rejectLeaving returns the rejection of a booking after Close was called.
func rejectLeaving() *model.Rejection {
	return model.Reject(model.ReasonLeaving, "host is stopping").WithRetryAfter(retryAfter)
}

// deadline returns the deadline of ctx, or the default deadline if it has none.
func deadline(ctx context.Context) time.Time {
	if d, ok := ctx.Deadline(); ok {
		return d
	}
	return time.Now().Add(model.DefaultDeadline)
}

func (o *Once) isClosed() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.closed
}

// beginTicket starts a request whose key is a ticket.
func (o *Once) beginTicket(e *Entry, org, key, body string) *model.Rejection {
	t, rejection := o.opts.Signer.Check(key, org)
	if rejection != nil {
		return rejection
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	e.recorded, rejection = o.book.Begin(t, body, time.Now(), e.until.Add(grace))
	if rejection == nil && e.recorded == nil {
		e.ticket = t.ID
	}
	return rejection
}

// Finish ends the booking of an entry. An entry that was not dispatched is recorded
// as not run, whatever the outcome. Finish does not wait for the store: the outcome is
// written in the background, and until then this host responds to repeats from memory.
// Further calls for the same entry do nothing.
func (o *Once) Finish(e *Entry, outcome order.Outcome) {
	dispatched, first := e.finish()
	if !first || e.recorded != nil {
		return
	}
	if !dispatched {
		outcome = order.Outcome{Run: model.RunNo}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if e.ticket != "" {
		o.book.Finish(e.ticket, outcome)
	}
	if e.booking != nil {
		o.recordOutcome(e.booking, outcome)
		o.write(e.booking)
	}
}

// recordOutcome sets the outcome of a booking. It drops the response if
// maxPendingBytes would be exceeded. The caller must hold o.mu.
func (o *Once) recordOutcome(b *booking, outcome order.Outcome) {
	b.record = b.record.Finish(outcome)
	if b.record.Response == nil {
		return
	}
	if size := len(b.record.Response.Body); o.bytes+size <= maxPendingBytes {
		b.bytes = size
		o.bytes += size
		return
	}
	b.record.Response = nil
}
