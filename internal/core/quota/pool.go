package quota

import (
	"maps"
	"slices"
	"time"
)

// grant is the tokens that a pool granted to one requester.
type grant struct {
	tokens     int64 // taken from the pool's own bucket
	refundable int64 // part of tokens that may be refunded once they are spent
	counted    int64 // counted against the burst: tokens until spent, then refundable
	spent      bool
	parts      []Part // tokens of other pools that are part of it
}

// pool is the token bucket of one organisation on the host that owns it. All
// amounts are nanotokens. Invariant: level + outstanding <= burst, except for
// grants that outlive the loss of a slot for at most GrantLength.
type pool struct {
	at          time.Duration // time of level
	level       int64
	rem         int64 // remainder of the refill
	limit       limit // sum of the leased slots
	outstanding int64 // sum of counted over the grants
	refundable  int64 // sum of refundable over the grants
	grants      map[uint64]*grant
}

// advance refills the pool up to now.
func (p *pool) advance(now time.Duration) {
	if now <= p.at {
		return
	}
	add, rem := mulDiv(p.limit.rate, int64(now-p.at), p.rem, nano)
	p.at, p.rem = now, rem
	room := max(0, p.limit.burst-p.outstanding)
	if add >= room-p.level {
		p.level, p.rem = max(p.level, room), 0
		return
	}
	p.level += add
}

// trim restores the invariant after the burst shrank or the outstanding amount
// grew: it lowers the level, then drops refundable amounts. Unspent grants
// stay: a lessor waits for them before it uses the slot again.
func (p *pool) trim() {
	room := p.limit.burst - p.outstanding
	p.level = max(0, min(p.level, room))
	if room >= 0 {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(p.grants)) {
		g := p.grants[id]
		if !g.spent {
			continue
		}
		cut := min(g.counted, -room)
		g.counted -= cut
		g.refundable -= cut
		p.outstanding -= cut
		p.refundable -= cut
		if room += cut; room >= 0 {
			return
		}
	}
}

// setLimit sets the sum of the leased slots. Added slots add no tokens.
func (p *pool) setLimit(l limit) {
	p.limit = l
	p.trim()
}

// take grants up to the given number of whole tokens. It returns nil when the
// pool holds fewer and partial is not set, or when there is nothing to grant.
// At most half of the burst is refundable at a time.
func (p *pool) take(tokens, refundable int64, partial bool) *grant {
	whole := p.level / nano
	if whole < tokens && !partial {
		return nil
	}
	x := min(whole, tokens) * nano
	if x <= 0 {
		return nil
	}
	g := &grant{tokens: x, counted: x}
	g.refundable = max(0, min(toNano(refundable), x, p.limit.burst/2-p.refundable))
	p.level -= x
	p.outstanding += x
	p.refundable += g.refundable
	return g
}

// markSpent stops counting the part of a grant that cannot be refunded.
func (p *pool) markSpent(g *grant) {
	if g.spent {
		return
	}
	g.spent = true
	p.outstanding -= g.counted - g.refundable
	g.counted = g.refundable
	p.trim()
}

// remove ends a grant and returns up to unused nanotokens of its counted amount
// to the bucket. It reports the amount returned.
func (p *pool) remove(id uint64, unused int64) int64 {
	g := p.grants[id]
	back := min(unused, g.counted)
	p.outstanding -= g.counted
	p.refundable -= g.refundable
	delete(p.grants, id)
	p.level += back
	p.trim()
	return back
}

// idle reports whether the pool can be deleted without loss of state: it has
// no grants and a full bucket.
func (p *pool) idle() bool {
	return len(p.grants) == 0 && p.level >= p.limit.burst
}
