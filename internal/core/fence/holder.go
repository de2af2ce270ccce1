// Package fence decides when an order, which is a control command, may be sent to
// an engine. Orders may be sent only under a lease, which has a fencing token.
// Some engines reject stale tokens. For the others the holder checks its lease
// immediately before sending, and the next holder waits until no order of the
// previous one can be in effect.
//
// The package performs no I/O and takes the time as an argument. Its types are
// not safe for concurrent use.
package fence

import (
	"net/netip"
	"time"
)

// driftDivisor bounds clock drift: over a duration d the clocks of two hosts, or
// of a host and the store, may diverge by d/driftDivisor, which is 1 in 100.
const driftDivisor = 100

// Order is an order that a holder is about to send.
type Order struct {
	Server netip.AddrPort
	// Fenced is set when the server rejects stale fencing tokens.
	Fenced bool
	// Load identifies one loading of weights from the weight store. It is empty
	// for orders that load none. An order for the same load is sent once.
	Load string
}

// Verdict is the decision on whether to send an order.
type Verdict uint8

// Verdicts on orders.
const (
	// Send means that the order must be sent now, with Decision.Token.
	Send Verdict = iota
	// Wait means that the order may not be sent before Decision.At.
	Wait
	// NoLease means that the holder has no valid lease.
	NoLease
	// Duplicate means that an order for the same load was already sent.
	Duplicate
)

// String returns the name of the verdict.
func (v Verdict) String() string {
	switch v {
	case Send:
		return "send"
	case Wait:
		return "wait"
	case NoLease:
		return "no lease"
	default:
		return "duplicate"
	}
}

// Decision is the verdict on one order at one time.
type Decision struct {
	Verdict Verdict
	Token   uint64
	At      time.Time
}

// Holder tracks the lease of one process and the loads that it has ordered.
type Holder struct {
	maxEffect time.Duration
	spacer    *Spacer

	token    uint64
	leaseEnd time.Time       // end of the lease; zero without one
	waitEnd  time.Time       // when orders of the previous holder are no longer in effect
	sent     map[string]bool // loads already ordered
}

// NewHolder returns a holder without a lease. maxEffect is the maximum time from
// the sending of an order until it is no longer in effect, including the time on
// the network and the time that the engine takes to execute it. spacer may be
// shared by the holders of a process; nil means no spacing.
func NewHolder(maxEffect time.Duration, spacer *Spacer) *Holder {
	if spacer == nil {
		spacer = NewSpacer(0)
	}
	return &Holder{maxEffect: maxEffect, spacer: spacer, sent: make(map[string]bool)}
}

// Acquired records a new lease with its fencing token. asked is the time when the
// request to the store was sent and got the time when its response arrived. The
// lease is counted from asked, because the store may have granted it at that time.
// The wait for orders of the previous holder is counted from got, when its lease
// had certainly ended.
func (h *Holder) Acquired(token uint64, asked, got time.Time, ttl time.Duration) {
	h.token = token
	h.leaseEnd = asked.Add(ttl - ttl/driftDivisor)
	h.waitEnd = got.Add(h.maxEffect + h.maxEffect/driftDivisor)
	h.spacer.Postpone(got.Add(h.spacer.gap))
}

// Renewed records that the lease with the given token was renewed by a request
// sent at asked. A renewal of another lease is ignored.
func (h *Holder) Renewed(token uint64, asked time.Time, ttl time.Duration) {
	if until := asked.Add(ttl - ttl/driftDivisor); token == h.token && until.After(h.leaseEnd) {
		h.leaseEnd = until
	}
}

// Release records that the lease is released or lost. It must be called before
// the lease is deleted in the store.
func (h *Holder) Release() { h.leaseEnd = time.Time{} }

// Valid reports whether the lease is valid.
func (h *Holder) Valid(now time.Time) bool {
	// The monotonic clock stops while a virtual machine is suspended, and the
	// wall clock can be set back. The lease must be valid by both.
	return now.Before(h.leaseEnd) && now.Round(0).Before(h.leaseEnd.Round(0))
}

// Plan returns the decision on an order without recording it as sent.
func (h *Holder) Plan(o Order, now time.Time) Decision {
	d := Decision{Verdict: Wait, Token: h.token, At: now}
	switch {
	case !h.Valid(now):
		d.Verdict = NoLease
		return d
	case o.Load != "" && h.sent[o.Load]:
		d.Verdict = Duplicate
		return d
	}
	if !o.Fenced && now.Before(h.waitEnd) {
		d.At = h.waitEnd
	}
	if next := h.spacer.Next(); o.Load != "" && d.At.Before(next) {
		d.At = next
	}
	if !now.Before(d.At) {
		d.Verdict = Send
	}
	return d
}

// Send returns the decision on an order, and records the order as sent if the
// verdict is Send. The caller must then write it immediately. The connection to
// the server must already be open, so that only the write follows the check of
// the lease.
func (h *Holder) Send(o Order, now time.Time) Decision {
	d := h.Plan(o, now)
	if d.Verdict == Send && o.Load != "" {
		h.sent[o.Load] = true
		h.spacer.RecordLoad(now)
	}
	return d
}

// UndoSend records that nothing of an order was written after Send, so that it
// may be sent again. After any other failure the load remains recorded as sent.
func (h *Holder) UndoSend(o Order) { delete(h.sent, o.Load) }

// AddSent records loads that were ordered earlier, by this holder or another. A new
// holder obtains them from the engines or from the store.
func (h *Holder) AddSent(loads ...string) {
	for _, l := range loads {
		h.sent[l] = true
	}
}

// Forget removes the record of a load that will not be requested again.
func (h *Holder) Forget(load string) { delete(h.sent, load) }
