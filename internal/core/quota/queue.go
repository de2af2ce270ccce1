package quota

import "time"

// grantExpiry is the time at which a grant ends unless it was removed before.
type grantExpiry struct {
	at  time.Duration
	org string
	id  uint64
}

// expiryQueue holds grants in the order of their expiry. All entries of one queue
// have the same lifetime, so appending keeps the order.
type expiryQueue struct {
	list []grantExpiry
	head int
}

func (q *expiryQueue) push(d grantExpiry) { q.list = append(q.list, d) }

// pop removes and returns the next entry that has expired at now.
func (q *expiryQueue) pop(now time.Duration) (grantExpiry, bool) {
	if q.head == len(q.list) || q.list[q.head].at > now {
		return grantExpiry{}, false
	}
	d := q.list[q.head]
	q.list[q.head] = grantExpiry{}
	q.head++
	if q.head > 64 && q.head*2 > len(q.list) {
		n := copy(q.list, q.list[q.head:])
		clear(q.list[n:])
		q.list, q.head = q.list[:n], 0
	}
	return d, true
}

// expireGrants ends grants that can no longer be spent, and spent grants whose
// period for refunds is over. Their tokens are lost.
func (n *Node) expireGrants(t time.Duration) {
	for {
		d, ok := n.grants.pop(t)
		if !ok {
			break
		}
		p := n.pools[d.org]
		if p == nil {
			continue
		}
		if g := p.grants[d.id]; g != nil && !g.spent {
			p.advance(t)
			p.remove(d.id, 0)
		}
	}
	for {
		d, ok := n.refunds.pop(t)
		if !ok {
			return
		}
		if p := n.pools[d.org]; p != nil && p.grants[d.id] != nil {
			p.advance(t)
			p.remove(d.id, 0)
		}
	}
}

// Sweep applies pending floors and removes pools, cached rejections and
// estimates that equal the state assumed without them. A host calls it about
// once per second.
func (n *Node) Sweep(now time.Time) {
	t := n.advanceClock(now)
	n.useLocalSlot(t)
	n.applyFloors(t)
	for name, p := range n.pools {
		p.advance(t)
		if p.idle() {
			delete(n.pools, name)
		}
	}
	for name, b := range n.rejections {
		if t >= b.until {
			delete(n.rejections, name)
		}
	}
	for name, sites := range n.remotes {
		for site, e := range sites {
			if t-e.at > estimateTTL {
				delete(sites, site)
			}
		}
		if len(sites) == 0 {
			delete(n.remotes, name)
		}
	}
}

// Pools returns the number of pools that exist.
func (n *Node) Pools() int { return len(n.pools) }
