package quota

import (
	"net/netip"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/model"
)

// Ask is a request for tokens from a pool.
type Ask struct {
	Org        string
	Tokens     int64
	Refundable int64 // part of Tokens that may be refunded
	Partial    bool  // a grant of fewer than Tokens is accepted
	AskRemote  bool  // the owner may ask pools of remote data centres
}

// Grant is the response to an Ask. ID is 0 when nothing was granted; then RetryAfter
// is the time until the tokens may suffice, or -1 when refill alone cannot
// suffice.
type Grant struct {
	ID         uint64
	Tokens     int64
	RetryAfter time.Duration
}

// Settlement reports to a pool how a grant was used. Spent and Unused count
// tokens.
type Settlement struct {
	ID     uint64
	Org    string
	Spent  int64
	Unused int64
	Final  bool // no refund will follow
}

// OutSettlement is a settlement to be sent to a pool.
type OutSettlement struct {
	Addr       netip.AddrPort
	Settlement Settlement
}

// Part is a grant that contributes to a reservation.
type Part struct {
	Addr       netip.AddrPort
	Site       string // data centre of Addr; empty for the local one
	ID         uint64
	Tokens     int64
	Refundable int64
}

// Serve serves an ask from this host's pool alone.
func (n *Node) Serve(now time.Time, ask Ask) Grant {
	t := n.advanceClock(now)
	org := n.shares.Org(ask.Org)
	if org == nil {
		return Grant{RetryAfter: time.Second}
	}
	if ask.Tokens <= 0 {
		return Grant{}
	}
	if id, g := n.grant(t, org, ask.Tokens, ask.Refundable, ask.Partial); id != 0 {
		return Grant{ID: id, Tokens: g.tokens / nano}
	}
	p := n.pool(t, org)
	retryAfter := refillTime(toNano(ask.Tokens)-p.level, p.limit.rate)
	if toNano(ask.Tokens) > p.limit.burst {
		retryAfter = -1
	}
	return Grant{RetryAfter: retryAfter}
}

// AcquireForAsk starts to serve an ask for which pools of remote data centres may be
// asked. It returns nil and the grant when the ask cannot be served.
func (n *Node) AcquireForAsk(now time.Time, ask Ask) (*Acquisition, Grant) {
	org := n.shares.Org(ask.Org)
	switch {
	case org == nil:
		return nil, Grant{RetryAfter: time.Second}
	case ask.Tokens <= 0:
		return nil, Grant{}
	case ask.Tokens > org.Burst:
		return nil, Grant{RetryAfter: -1}
	}
	var regions []string
	if len(org.Regions) > 0 {
		regions = org.Regions
	}
	return n.Acquire(now, org, ask.Tokens, ask.Refundable, regions), Grant{}
}

// grant takes tokens from this host's pool. The ID is 0 when nothing was taken.
func (n *Node) grant(t time.Duration, org *model.Org, tokens, refundable int64, partial bool) (uint64, *grant) {
	p := n.pool(t, org)
	g := p.take(tokens, refundable, partial)
	if g == nil {
		return 0, nil
	}
	return n.addGrant(t, org.Name, p, g), g
}

// addGrant adds an unspent grant to a pool and returns its ID.
func (n *Node) addGrant(t time.Duration, org string, p *pool, g *grant) uint64 {
	n.lastID++
	if n.lastID == 0 {
		n.lastID = 1
	}
	p.grants[n.lastID] = g
	n.grants.push(grantExpiry{t + padded(GrantLength), org, n.lastID})
	return n.lastID
}

// Settle applies a settlement and returns those to forward to the pools whose
// tokens the grant contained. Repeated settlements have no effect, nor have
// those of grants that are unknown, expired or of an earlier process.
func (n *Node) Settle(now time.Time, s Settlement) []OutSettlement {
	return n.settle(n.advanceClock(now), s)
}

func (n *Node) settle(t time.Duration, s Settlement) []OutSettlement {
	p := n.pools[s.Org]
	if p == nil {
		return nil
	}
	g := p.grants[s.ID]
	if g == nil {
		return nil
	}
	p.advance(t)
	if !s.Final {
		return n.settleSpent(t, s, p, g)
	}
	limit, unused := g.refundable, toNano(s.Unused)
	if s.Spent == 0 {
		limit = g.tokens
	}
	p.remove(s.ID, min(unused, limit))
	left := max(0, unused-limit) / nano
	return n.settleParts(t, s.Org, g.parts, left, s.Spent == 0, g.spent)
}

// settleSpent records that a grant was spent and may be refunded later.
func (n *Node) settleSpent(t time.Duration, s Settlement, p *pool, g *grant) []OutSettlement {
	if g.spent {
		return nil
	}
	p.markSpent(g)
	n.refunds.push(grantExpiry{t + RefundLength, s.Org, s.ID})
	return n.spendParts(t, s.Org, g.parts)
}

// spendParts reports parts as spent; it updates this host's pool directly.
func (n *Node) spendParts(t time.Duration, org string, parts []Part) []OutSettlement {
	var outs []OutSettlement
	for _, part := range parts {
		s := Settlement{ID: part.ID, Org: org, Spent: part.Tokens, Final: part.Refundable <= 0}
		outs = n.deliver(t, outs, part, s)
	}
	return outs
}

// settleParts reports the final use of parts. When cancel is set, nothing was
// spent and all tokens may be returned, otherwise only the refundable ones. The
// argument reported is set when spendParts was called before.
func (n *Node) settleParts(t time.Duration, org string, parts []Part, unused int64, cancel, reported bool) []OutSettlement {
	var outs []OutSettlement
	for _, part := range parts {
		if reported && part.Refundable <= 0 {
			continue // spendParts has already sent a final settlement
		}
		limit := part.Refundable
		if cancel {
			limit = part.Tokens
		}
		back := max(0, min(unused, limit))
		unused -= back
		s := Settlement{ID: part.ID, Org: org, Spent: part.Tokens - back, Unused: back, Final: true}
		outs = n.deliver(t, outs, part, s)
	}
	return outs
}

// deliver applies a settlement to this host's pool or appends it to outs.
func (n *Node) deliver(t time.Duration, outs []OutSettlement, part Part, s Settlement) []OutSettlement {
	if part.Addr == n.self {
		return append(outs, n.settle(t, s)...)
	}
	n.raiseEstimate(s.Org, part.Site, s.Unused)
	return append(outs, OutSettlement{Addr: part.Addr, Settlement: s})
}
