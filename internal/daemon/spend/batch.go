package spend

import (
	"context"
	"net/netip"
	"slices"
	"sync"

	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/core/quota"
	"github.com/yuccalb/yuccalb/internal/wire/peerpb"
)

const (
	// maxInFlight bounds the concurrent Grant calls to one host. Asks that arrive
	// while that many calls are in flight are batched into the next one.
	maxInFlight = 4
	// maxBatch bounds the asks in one Grant call.
	maxBatch = 64
)

// call is one ask, a request to another host for tokens from its pool. The fields
// grant and ok are valid once done is closed; ok is false when there was no response.
type call struct {
	req   quota.Request
	done  chan struct{}
	grant quota.Grant
	ok    bool

	abandoned bool // guarded by batcher.mu
}

// hostQueue holds the asks that wait for a call to one host.
type hostQueue struct {
	queued   []*call
	inFlight int // running sendQueued loops, each with at most one call
}

// batcher sends asks to other hosts, and combines several into one call when
// maxInFlight calls to a host are in flight.
type batcher struct {
	limiter *Limiter
	mu      sync.Mutex
	queues  map[netip.AddrPort]*hostQueue
	closed  bool
}

func newBatcher(l *Limiter) *batcher {
	return &batcher{limiter: l, queues: map[netip.AddrPort]*hostQueue{}}
}

// add queues an ask and, if fewer than maxInFlight sendQueued loops run for its host,
// starts one. After close the returned call has already failed.
func (b *batcher) add(req quota.Request) *call {
	c := &call{req: req, done: make(chan struct{})}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		close(c.done)
		return c
	}
	q := b.queues[req.Addr]
	if q == nil {
		q = &hostQueue{}
		b.queues[req.Addr] = q
	}
	q.queued = append(q.queued, c)
	if q.inFlight < maxInFlight {
		q.inFlight++
		b.limiter.tasks.Go(func() { b.sendQueued(req.Addr, q) })
	}
	return c
}

// close makes later calls of add return a failed call.
func (b *batcher) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
}

// abandon stops waiting for c. If the grant has already arrived, abandon returns it;
// tokens of a later grant are returned to the host that granted them.
func (b *batcher) abandon(c *call) (quota.Grant, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-c.done:
		return c.grant, c.ok
	default:
	}
	c.abandoned = true
	if q := b.queues[c.req.Addr]; q != nil {
		q.queued = slices.DeleteFunc(q.queued, func(d *call) bool { return d == c })
	}
	return quota.Grant{}, false
}

// sendQueued sends batches to a host until its queue is empty.
func (b *batcher) sendQueued(addr netip.AddrPort, q *hostQueue) {
	for {
		b.mu.Lock()
		batch := slices.Clone(q.queued[:min(len(q.queued), maxBatch)])
		q.queued = slices.Delete(q.queued, 0, len(batch))
		if len(batch) == 0 {
			if q.inFlight--; q.inFlight == 0 {
				delete(b.queues, addr)
			}
			b.mu.Unlock()
			return
		}
		b.mu.Unlock()
		b.finish(addr, batch, b.send(addr, batch))
	}
}

// send sends one batch. It returns the grants in the order of the asks, or nil when
// the call failed.
func (b *batcher) send(addr netip.AddrPort, batch []*call) []*peerpb.Grant {
	l := b.limiter
	msg := &peerpb.GrantRequest{From: l.ident, Version: l.version.Load()}
	for _, c := range batch {
		ask := c.req.Ask
		msg.Asks = append(msg.Asks, &peerpb.Ask{
			Org: ask.Org, Tokens: ask.Tokens, Refundable: ask.Refundable, Partial: ask.Partial, Onward: ask.AskRemote,
		})
	}
	ctx, cancel := context.WithTimeout(l.ctx, ownerTimeout)
	defer cancel()
	reply, err := l.cfg.Sender.Grant(ctx, addr, msg)
	if err != nil {
		l.cfg.Log.Debug("grant call failed", zap.Stringer("to", addr), zap.Error(err))
		return nil
	}
	if len(reply.GetGrants()) != len(batch) {
		l.cfg.Log.Warn("grant reply ignored: number of grants differs from number of asks", zap.Stringer("from", addr),
			zap.Int("grants", len(reply.GetGrants())), zap.Int("asks", len(batch)))
		return nil
	}
	return reply.GetGrants()
}

// finish completes the calls of a batch and returns the tokens granted to abandoned
// calls.
func (b *batcher) finish(addr netip.AddrPort, batch []*call, grants []*peerpb.Grant) {
	var unwanted []quota.OutSettlement
	b.mu.Lock()
	for i, c := range batch {
		if grants != nil {
			c.grant = grantFromProto(grants[i])
			c.ok = true
		}
		if c.abandoned && c.grant.ID != 0 {
			unwanted = append(unwanted, quota.OutSettlement{Addr: addr, Settlement: quota.Settlement{
				ID: c.grant.ID, Org: c.req.Ask.Org, Unused: c.grant.Tokens, Final: true,
			}})
		}
		close(c.done)
	}
	b.mu.Unlock()
	b.limiter.outbox.add(unwanted)
}
