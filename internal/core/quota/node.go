package quota

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/model"
)

// lease is a slot that this host may use for the pools that it owns.
type lease struct {
	slot   int
	since  time.Duration // start of the uninterrupted lease
	expiry time.Duration
	seq    uint64
}

// Node is the state of one host for the limits of all organisations. The host
// holds a slot, leases slots of its data centre, owns pools, and requests
// grants. A Node is not safe for concurrent use. Times passed to it must come
// from one clock and must be read immediately before the call.
type Node struct {
	self   netip.AddrPort
	site   string
	epoch  time.Time
	now    time.Duration // latest time passed in
	shares *Shares
	floors []pendingFloor // in ascending order
	view   *View
	rng    *rand.Rand

	lessor     lessor
	leases     map[netip.AddrPort]*lease // by lessor
	nextExpiry time.Duration             // earliest expiry of leases
	returned   map[netip.AddrPort]uint64 // sequence numbers of returned leases, by lessor

	pools   map[string]*pool
	grants  expiryQueue // grants that may be unspent
	refunds expiryQueue // spent grants that may be refunded
	lastID  uint64

	rejections map[string]cachedRejection
	remotes    map[string]map[string]*estimate // by organisation and data centre
}

// NewNode returns the node of a host. The incarnation is the host's start time
// in nanoseconds.
func NewNode(now time.Time, self netip.AddrPort, site string, incarnation int64, rng *rand.Rand) *Node {
	return &Node{
		self: self, site: site, epoch: now, shares: NewShares(), rng: rng,
		lessor:     newLessor(incarnation),
		leases:     map[netip.AddrPort]*lease{},
		nextExpiry: math.MaxInt64,
		returned:   map[netip.AddrPort]uint64{},
		pools:      map[string]*pool{},
		// Settlements for an earlier process on the same address must not
		// match grants of this one.
		lastID:     rng.Uint64() | 1,
		rejections: map[string]cachedRejection{},
		remotes:    map[string]map[string]*estimate{},
	}
}

// Shares returns the shares of the node, which must not be modified.
func (n *Node) Shares() *Shares { return n.shares }

// advanceClock starts an operation at now: it ends the leases and grants that
// have expired since the last operation, and returns the time since epoch. A
// clock that steps back is ignored.
func (n *Node) advanceClock(now time.Time) time.Duration {
	n.now = max(n.now, now.Sub(n.epoch))
	t := n.now
	for t >= n.nextExpiry {
		n.expireLease(t)
	}
	n.expireGrants(t)
	return t
}

// expireLease ends the lease that expired first, as of its expiry.
func (n *Node) expireLease(t time.Duration) {
	var first netip.AddrPort
	at := time.Duration(math.MaxInt64)
	for lessor, l := range n.leases {
		if l.expiry < at || l.expiry == at && lessor.Compare(first) < 0 {
			first, at = lessor, l.expiry
		}
	}
	switch {
	case at > t:
		n.nextExpiry = at
	case first == n.self:
		n.dropLocalSlot(at)
	default:
		n.removeLease(at, first)
	}
}

// addLease adds a lease. Existing pools get its limit, but no tokens.
func (n *Node) addLease(t time.Duration, lessor netip.AddrPort, l *lease) {
	n.advanceAll(t)
	n.leases[lessor] = l
	n.nextExpiry = min(n.nextExpiry, l.expiry)
	n.resize()
}

// removeLease ends a lease at t.
func (n *Node) removeLease(t time.Duration, lessor netip.AddrPort) {
	n.advanceAll(t)
	delete(n.leases, lessor)
	n.nextExpiry = n.earliestExpiry()
	n.resize()
}

func (n *Node) earliestExpiry() time.Duration {
	at := time.Duration(math.MaxInt64)
	for _, l := range n.leases {
		at = min(at, l.expiry)
	}
	return at
}

func (n *Node) advanceAll(t time.Duration) {
	for _, p := range n.pools {
		p.advance(t)
	}
}

// resize sets the limits of all pools from the leases and shares.
func (n *Node) resize() {
	for name, p := range n.pools {
		p.setLimit(n.limitOf(name))
	}
}

// limitOf returns the sum of the limits of the leased slots for an organisation.
func (n *Node) limitOf(name string) limit {
	org := n.shares.Org(name)
	if org == nil || n.view.owner(name) != n.self {
		return limit{}
	}
	count := int64(0)
	slots := n.shares.Slots(n.site)
	for _, l := range n.leases {
		if l.slot < slots {
			count++
		}
	}
	return n.shares.slotLimit(org, n.site).times(count)
}

// pool returns the pool of an organisation. It creates a missing pool with the
// tokens that the leased slots have accumulated since they were leased.
func (n *Node) pool(t time.Duration, org *model.Org) *pool {
	if p, ok := n.pools[org.Name]; ok {
		p.advance(t)
		return p
	}
	p := &pool{at: t, limit: n.limitOf(org.Name), grants: map[uint64]*grant{}}
	if p.limit.burst > 0 {
		p.level = n.accumulated(t, n.shares, org)
	}
	n.pools[org.Name] = p
	return p
}

// accumulated returns the tokens in the leased slots if none has been taken.
func (n *Node) accumulated(t time.Duration, shares *Shares, org *model.Org) int64 {
	sum := int64(0)
	one, slots := shares.slotLimit(org, n.site), shares.Slots(n.site)
	for _, l := range n.leases {
		if l.slot < slots {
			add, _ := mulDiv(one.rate, int64(max(0, t-l.since)), 0, nano)
			sum += min(add, one.burst)
		}
	}
	return sum
}

// isMember reports whether addr is in the current member list.
func (n *Node) isMember(addr netip.AddrPort) bool {
	return n.view != nil && slices.Contains(n.view.Members, addr)
}

// SetView activates a view of the membership. When the members have changed,
// leases under the earlier list are returned, and the slot of this host is
// leased under the new list only after its earlier leases have ended.
func (n *Node) SetView(now time.Time, v *View) {
	t := n.advanceClock(now)
	if n.view != nil && sameMembers(n.view.Members, v.Members) {
		n.view = v
		return
	}
	n.dropLocalSlot(t)
	for lessor, l := range n.leases {
		n.returned[lessor] = max(n.returned[lessor], l.seq)
	}
	n.advanceAll(t)
	clear(n.leases)
	n.nextExpiry = math.MaxInt64
	n.view = v
	n.resize()
	n.lessor.members, n.lessor.pending = v.Members, true
	n.useLocalSlot(t)
}

// ReturnedLease returns the sequence number to send in heartbeats to a lessor: this host
// holds no lease of that lessor with this or a lower number and will accept
// none.
func (n *Node) ReturnedLease(to netip.AddrPort) uint64 { return n.returned[to] }

// AcceptLease accepts a lease from the reply to a heartbeat that was sent at
// sent. A lease under a member list other than the current one is not used;
// the next heartbeat returns it.
func (n *Node) AcceptLease(now time.Time, from netip.AddrPort, sent time.Time, l Lease) {
	t := n.advanceClock(now)
	held := n.leases[from]
	if l.Seq <= n.returned[from] || held != nil && l.Seq <= held.seq || from == n.self {
		return
	}
	if n.view == nil || !sameMembers(l.Members, n.view.Members) {
		n.returned[from] = l.Seq
		if held != nil {
			n.removeLease(t, from)
		}
		return
	}
	expiry := sent.Sub(n.epoch) + min(l.Length, LeaseLength)
	if expiry <= t {
		return
	}
	if held != nil && held.slot == l.Slot {
		held.seq, held.expiry = l.Seq, max(held.expiry, expiry)
		return
	}
	if held != nil {
		n.removeLease(t, from)
	}
	n.addLease(t, from, &lease{slot: l.Slot, since: t, expiry: expiry, seq: l.Seq})
}
