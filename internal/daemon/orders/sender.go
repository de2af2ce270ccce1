// Package orders sends control commands ("orders") to engines, such as to load a model.
// It does the I/O for core/fence: each order is sent at most once, and under a lease of
// the store whose fencing token the engine may check.
package orders

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/yuccalb/yuccalb/internal/adapt/engine"
	"github.com/yuccalb/yuccalb/internal/adapt/store"
	"github.com/yuccalb/yuccalb/internal/core/fence"
	"github.com/yuccalb/yuccalb/internal/core/model"
	"github.com/yuccalb/yuccalb/internal/daemon/pause"
)

const (
	// leaseTTL is the duration of the lease under which a host may send orders to an
	// engine. It bounds how long a failed holder blocks other hosts.
	leaseTTL = 10 * time.Second
	// renewInterval leaves time for two attempts to renew a lease before it expires.
	renewInterval = 3 * time.Second
	// maxOrderDuration is the longest time from the sending of an order until it is no
	// longer in effect. The next holder waits that long before it sends orders to an
	// engine that doesn't check fencing tokens.
	maxOrderDuration = 30 * time.Second
	// sendTimeout bounds the sending of an order. It is included in maxOrderDuration.
	sendTimeout = 10 * time.Second
	// loadInterval is the minimum time between two orders that read the weight store.
	loadInterval = 5 * time.Second
	// holderPrefix starts the keys of the records of which host holds the lease for an
	// engine, and loadPrefix those of the records of loads already ordered.
	holderPrefix = "yuccalb/orders/"
	loadPrefix   = "yuccalb/loads/"
)

// OrderLoad is the order to load a model, which reads the weight store.
const OrderLoad = "load"

// Errors to be compared with errors.Is.
var (
	// ErrBusy means that another host holds the lease for orders to the engine.
	ErrBusy = errors.New("another host sends orders to the engine")
	// ErrDuplicate means that the load has already been ordered.
	ErrDuplicate = errors.New("the load was ordered before")
	// ErrUnknown means that the order may or may not have been carried out.
	ErrUnknown = errors.New("it is not known whether the order was carried out")
)

// Store is the part of the key-value service that leases and records of loads need.
type Store interface {
	NewLease(ctx context.Context, ttl time.Duration) (store.Lease, error)
	Renew(ctx context.Context, id string) (store.Lease, error)
	Release(ctx context.Context, id string) error
	Put(ctx context.Context, key string, value []byte, prev uint64, lease string) (uint64, error)
}

// Engine sends an order to an engine.
type Engine interface {
	Order(ctx context.Context, addr netip.AddrPort, o engine.Order, timeout time.Duration, check func() error) error
}

// Order is an operator's request to send a command to an engine.
type Order struct {
	Server netip.AddrPort `json:"server"`
	// Command is "load", "adapter" or "role".
	Command string `json:"kind"`
	Model   string `json:"model"`
	// Again names a new attempt, so that a load can be ordered a second time.
	Again string `json:"again,omitempty"`
}

// Sender sends orders. It is safe for concurrent use.
type Sender struct {
	store  Store
	engine Engine
	self   netip.AddrPort

	mu     sync.Mutex
	spacer *fence.Spacer
}

// New returns a sender. The address self identifies the host in store records.
func New(kv Store, eng Engine, self netip.AddrPort) *Sender {
	return &Sender{store: kv, engine: eng, self: self, spacer: fence.NewSpacer(loadInterval)}
}

// Send sends an order to a server and returns when the engine has accepted it. If the
// server doesn't check fencing tokens, Send first waits until orders of an earlier
// holder can no longer be in effect; ctx bounds the wait. The error is ErrBusy,
// ErrDuplicate, ErrUnknown, or another one if the order was not carried out.
func (s *Sender) Send(ctx context.Context, server model.Server, o Order) (err error) {
	requested := time.Now()
	lease, err := s.store.NewLease(ctx, leaseTTL)
	if err != nil {
		return fmt.Errorf("lease for orders: %w", err)
	}
	h := &heldLease{s: s, lease: lease, holder: fence.NewHolder(maxOrderDuration, s.spacer)}
	defer func() { err = errors.Join(err, h.release(context.WithoutCancel(ctx))) }()
	_, err = s.store.Put(ctx, holderPrefix+o.Server.String(), []byte(s.self.String()), 0, lease.ID)
	if errors.Is(err, store.ErrConflict) {
		return ErrBusy
	}
	if err != nil {
		return fmt.Errorf("right to order %s: %w", o.Server, err)
	}
	h.holder.Acquired(lease.Token, requested, time.Now(), lease.TTL)
	return h.send(ctx, server, o)
}

// recordLoad records a load, so that no host orders it again. The record remains even if
// the order is not sent afterwards, because other hosts can't find out whether it was.
func (s *Sender) recordLoad(ctx context.Context, o Order) error {
	if o.Command != OrderLoad {
		return nil
	}
	_, err := s.store.Put(ctx, loadPrefix+o.loadKey(), []byte(s.self.String()), 0, "")
	if errors.Is(err, store.ErrConflict) {
		return ErrDuplicate
	}
	if err != nil {
		return fmt.Errorf("record of the load: %w", err)
	}
	return nil
}

// loadKey returns the key that identifies a load.
func (o Order) loadKey() string {
	return o.Server.String() + "/" + o.Model + "/" + o.Again
}

// heldLease is the lease under which one order is sent.
type heldLease struct {
	s      *Sender
	lease  store.Lease
	holder *fence.Holder // guarded by s.mu, because holders share the spacer
}

// errNotAllowed means that the order may not be sent yet, or that the lease has ended.
var errNotAllowed = errors.New("the right to send the order has ended")

// send waits until the order may be sent, and sends it.
func (h *heldLease) send(ctx context.Context, server model.Server, o Order) error {
	fo := fence.Order{Server: o.Server, Fenced: server.Fenced}
	if o.Command == OrderLoad {
		fo.Load = o.loadKey()
	}
	if err := h.waitUntilAllowed(ctx, fo); err != nil {
		return err
	}
	if err := h.s.recordLoad(ctx, o); err != nil {
		return err
	}
	var sent bool
	check := func() error {
		h.s.mu.Lock()
		defer h.s.mu.Unlock()
		if d := h.holder.Send(fo, time.Now()); d.Verdict != fence.Send {
			return fmt.Errorf("%w: %s", errNotAllowed, d.Verdict)
		}
		sent = true
		return nil
	}
	err := h.s.engine.Order(ctx, o.Server, engine.Order{Order: o.Command, Model: o.Model, Token: h.lease.Token}, sendTimeout, check)
	if err != nil && sent && engine.AsError(err).Run() == model.RunUnknown && !engine.AsError(err).Stale() {
		return fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	if err != nil {
		return fmt.Errorf("order not carried out: %w", err)
	}
	return nil
}

// waitUntilAllowed waits until the holder may send the order. It renews the lease
// meanwhile.
func (h *heldLease) waitUntilAllowed(ctx context.Context, o fence.Order) error {
	for {
		h.s.mu.Lock()
		d := h.holder.Plan(o, time.Now())
		h.s.mu.Unlock()
		switch d.Verdict {
		case fence.Send:
			return nil
		case fence.NoLease:
			return errNotAllowed
		case fence.Duplicate:
			return ErrDuplicate
		}
		if err := pause.Sleep(ctx, min(time.Until(d.At), renewInterval)); err != nil {
			return fmt.Errorf("waiting to send the order: %w", err)
		}
		if err := h.renew(ctx); err != nil {
			return err
		}
	}
}

// renew extends the lease.
func (h *heldLease) renew(ctx context.Context) error {
	requested := time.Now()
	lease, err := h.s.store.Renew(ctx, h.lease.ID)
	if err != nil {
		return fmt.Errorf("renew the right to send the order: %w", err)
	}
	h.s.mu.Lock()
	defer h.s.mu.Unlock()
	h.holder.Renewed(lease.Token, requested, lease.TTL)
	return nil
}

// release releases the lease.
func (h *heldLease) release(ctx context.Context) error {
	h.s.mu.Lock()
	h.holder.Release()
	h.s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, leaseTTL)
	defer cancel()
	if err := h.s.store.Release(ctx, h.lease.ID); err != nil && !errors.Is(err, store.ErrNotFound) {
		return fmt.Errorf("give up the right to send orders: %w", err)
	}
	return nil
}
