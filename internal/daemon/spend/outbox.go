package spend

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/core/quota"
	"github.com/yuccalb/yuccalb/internal/wire/peerpb"
)

const (
	// settleTimeout bounds a Settle call.
	settleTimeout = time.Second
	// settleAttempts bounds the attempts to send one settlement. The tokens that
	// a lost settlement returns are lost too, but the limit is never exceeded: the
	// grant expires.
	settleAttempts = 10
	// maxSettlements bounds the settlements queued for one host; more are dropped.
	maxSettlements = 10_000
	// maxSettleBatch bounds the settlements in one Settle call.
	maxSettleBatch = 500
)

// queuedSettlement is a settlement that waits to be sent.
type queuedSettlement struct {
	msg      *peerpb.Settlement
	attempts int
}

// outbox queues settlements per host and sends them in batches. Settlements are
// idempotent at the receiver, so a batch whose call failed is sent again.
type outbox struct {
	limiter  *Limiter
	mu       sync.Mutex
	queued   map[netip.AddrPort][]queuedSettlement
	inFlight map[netip.AddrPort]bool
	tasks    sync.WaitGroup
}

func newOutbox(l *Limiter) *outbox {
	return &outbox{limiter: l, queued: map[netip.AddrPort][]queuedSettlement{}, inFlight: map[netip.AddrPort]bool{}}
}

// add queues settlements for the next flush.
func (o *outbox) add(outs []quota.OutSettlement) {
	if len(outs) == 0 {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, out := range outs {
		s := out.Settlement
		o.enqueue(out.Addr, queuedSettlement{msg: &peerpb.Settlement{
			Id: s.ID, Org: s.Org, Spent: s.Spent, Unused: s.Unused, Final: s.Final,
		}})
	}
}

// enqueue queues one settlement, or drops it when maxSettlements are queued for
// the host.
func (o *outbox) enqueue(addr netip.AddrPort, s queuedSettlement) {
	if len(o.queued[addr]) < maxSettlements {
		o.queued[addr] = append(o.queued[addr], s)
	}
}

// flush starts a Settle call to each host that has queued settlements and no call
// in flight.
func (o *outbox) flush(ctx context.Context) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for addr, list := range o.queued {
		if o.inFlight[addr] {
			continue
		}
		batch := list[:min(len(list), maxSettleBatch)]
		if rest := list[len(batch):]; len(rest) > 0 {
			o.queued[addr] = rest
		} else {
			delete(o.queued, addr)
		}
		o.inFlight[addr] = true
		o.tasks.Go(func() { o.send(ctx, addr, batch) })
	}
}

// send sends one batch. If the call fails, its settlements are queued again until
// settleAttempts is reached.
func (o *outbox) send(ctx context.Context, addr netip.AddrPort, batch []queuedSettlement) {
	l := o.limiter
	msg := &peerpb.SettleRequest{From: l.ident}
	for _, s := range batch {
		msg.Settlements = append(msg.Settlements, s.msg)
	}
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	_, err := l.cfg.Sender.Settle(ctx, addr, msg)
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.inFlight, addr)
	if err == nil {
		return
	}
	l.cfg.Log.Debug("settle call failed", zap.Stringer("to", addr), zap.Error(err))
	for _, s := range batch {
		if s.attempts++; s.attempts < settleAttempts {
			o.enqueue(addr, s)
		}
	}
}

// wait waits until no call is in flight.
func (o *outbox) wait() { o.tasks.Wait() }
