package spend

import (
	"context"
	"sync"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/quota"
	"github.com/yuccalb/yuccalb/internal/wire/peerpb"
)

// Grant implements the Grant method of the peer protocol. It serves the asks of
// another host from the pools of this host. For asks with AskRemote set it may also ask
// other data centres; these asks are served concurrently.
func (l *Limiter) Grant(ctx context.Context, req *peerpb.GrantRequest) (*peerpb.GrantReply, error) {
	reply := &peerpb.GrantReply{From: l.ident, Grants: make([]*peerpb.Grant, len(req.GetAsks()))}
	var remoteAsks sync.WaitGroup
	for i, msg := range req.GetAsks() {
		ask := quota.Ask{
			Org: msg.GetOrg(), Tokens: msg.GetTokens(), Refundable: msg.GetRefundable(),
			Partial: msg.GetPartial(), AskRemote: msg.GetOnward(),
		}
		if !ask.AskRemote {
			l.mu.Lock()
			reply.Grants[i] = grantToProto(l.node.Serve(time.Now(), ask))
			l.mu.Unlock()
			continue
		}
		remoteAsks.Go(func() { reply.Grants[i] = grantToProto(l.serveAskRemote(ctx, ask)) })
	}
	remoteAsks.Wait()
	return reply, nil
}

// serveAskRemote serves an ask with AskRemote set: tokens missing in the local pool
// are taken from other data centres.
func (l *Limiter) serveAskRemote(ctx context.Context, ask quota.Ask) quota.Grant {
	l.mu.Lock()
	acq, grant := l.node.AcquireForAsk(time.Now(), ask)
	l.mu.Unlock()
	if acq == nil {
		return grant
	}
	l.acquireRemote(ctx, acq)
	l.mu.Lock()
	grant, outs := l.node.FinishAsGrant(time.Now(), acq)
	l.mu.Unlock()
	l.outbox.add(outs)
	return grant
}

// Settle implements the Settle method of the peer protocol: it applies the settlements
// of grants that this host has made.
func (l *Limiter) Settle(_ context.Context, req *peerpb.SettleRequest) (*peerpb.SettleReply, error) {
	var outs []quota.OutSettlement
	l.mu.Lock()
	for _, s := range req.GetSettlements() {
		outs = append(outs, l.node.Settle(time.Now(), quota.Settlement{
			ID: s.GetId(), Org: s.GetOrg(), Spent: s.GetSpent(), Unused: s.GetUnused(), Final: s.GetFinal(),
		})...)
	}
	l.mu.Unlock()
	l.outbox.add(outs)
	return &peerpb.SettleReply{}, nil
}

func grantToProto(g quota.Grant) *peerpb.Grant {
	return &peerpb.Grant{Id: g.ID, Tokens: g.Tokens, Retry: int64(g.RetryAfter)}
}

func grantFromProto(g *peerpb.Grant) quota.Grant {
	return quota.Grant{ID: g.GetId(), Tokens: g.GetTokens(), RetryAfter: time.Duration(g.GetRetry())}
}
