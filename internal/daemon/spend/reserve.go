package spend

import (
	"context"
	"sync"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/model"
	"github.com/yuccalb/yuccalb/internal/core/quota"
)

// Reservation holds the tokens reserved for one admitted request.
type Reservation struct {
	limiter *Limiter
	res     *quota.Reservation
	once    sync.Once
}

// Settle ends the reservation and refunds unused tokens. Only the first call has an
// effect. It does not block.
func (r *Reservation) Settle(unused int64) {
	r.once.Do(func() {
		l := r.limiter
		l.mu.Lock()
		outs := l.node.Refund(time.Now(), r.res, unused)
		l.mu.Unlock()
		l.outbox.add(outs)
	})
}

// Reserve takes tokens from the rate limit of an organisation for one request; up to
// refundable of them may be refunded by Settle. Tokens come from pools of the local
// data centre and of data centres in allowedRegions; nil allows all regions. The
// error is a *model.Rejection whose Run is model.RunNo.
func (l *Limiter) Reserve(ctx context.Context, org *model.Org, tokens, refundable int64, allowedRegions []string) (*Reservation, error) {
	if l.ctx.Err() != nil {
		return nil, model.Reject(model.ReasonLeaving, "this host is shutting down")
	}
	l.mu.Lock()
	if r := l.node.Check(time.Now(), org, tokens); r != nil {
		l.mu.Unlock()
		return nil, r
	}
	unrestricted := l.node.Unrestricted(org, allowedRegions)
	acq := l.node.Acquire(time.Now(), org, tokens, refundable, allowedRegions)
	l.mu.Unlock()

	answered := l.askOwner(ctx, acq, unrestricted)
	if !answered || !unrestricted {
		l.acquireRemote(ctx, acq)
	}
	l.mu.Lock()
	res, retryAfter, outs := l.node.Spend(time.Now(), acq)
	var rejection *model.Rejection
	if res == nil {
		rejection = l.node.Reject(time.Now(), org, tokens, retryAfter, unrestricted && ctx.Err() == nil)
	}
	l.mu.Unlock()
	l.outbox.add(outs)
	switch {
	case res != nil:
		return &Reservation{limiter: l, res: res}, nil
	case ctx.Err() != nil:
		return nil, model.Reject(model.ReasonDeadline, "no tokens before the deadline: %v", context.Cause(ctx))
	default:
		return nil, rejection
	}
}

// askOwner asks the host that owns the organisation's pool in the local data centre
// for the missing tokens. If unrestricted is set, the owner may ask other data centres
// itself; otherwise it may grant a part of the tokens. It reports whether the owner
// answered.
func (l *Limiter) askOwner(ctx context.Context, acq *quota.Acquisition, unrestricted bool) bool {
	l.mu.Lock()
	req, ok := l.node.AskOwner(time.Now(), acq, !unrestricted, unrestricted)
	ok = ok && !time.Now().Before(l.failed[req.Addr])
	l.mu.Unlock()
	if !ok || acq.Done() {
		return false
	}
	answered := l.ask(ctx, acq, []quota.Request{req}, ownerTimeout)
	if !answered && ctx.Err() == nil {
		l.mu.Lock()
		l.failed[req.Addr] = time.Now().Add(failureBackoff)
		l.mu.Unlock()
	}
	return answered
}

// acquireRemote asks other data centres for the missing tokens, in rounds, until acq is
// done or no further pool can help.
func (l *Limiter) acquireRemote(ctx context.Context, acq *quota.Acquisition) {
	for ctx.Err() == nil {
		l.mu.Lock()
		reqs := l.node.Round(time.Now(), acq)
		l.mu.Unlock()
		if len(reqs) == 0 {
			return
		}
		l.ask(ctx, acq, reqs, remoteTimeout)
	}
}

// ask sends asks concurrently and adds the grants to acq. It reports whether there was
// a response to every ask within timeout.
func (l *Limiter) ask(ctx context.Context, acq *quota.Acquisition, reqs []quota.Request, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	calls := make([]*call, len(reqs))
	for i, req := range reqs {
		calls[i] = l.batcher.add(req)
	}
	all := true
	for i, c := range calls {
		var grant quota.Grant
		ok := false
		select {
		case <-c.done:
			grant, ok = c.grant, c.ok
		case <-ctx.Done():
			grant, ok = l.batcher.abandon(c)
		}
		l.mu.Lock()
		outs := l.node.Collect(time.Now(), acq, reqs[i], grant, ok)
		l.mu.Unlock()
		l.outbox.add(outs)
		all = all && ok
	}
	return all
}
