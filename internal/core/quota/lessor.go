package quota

import (
	"net/netip"
	"time"
)

// Lease is the right to use a whole slot for those organisations whose pools
// the lessee owns under the member list.
type Lease struct {
	Slot    int
	Length  time.Duration // from when the heartbeat was sent, lessee's clock
	Members []netip.AddrPort
	Seq     uint64 // increases with each lease, also across restarts of the lessor
}

// issuedLease is a lease under which grants may still be valid.
type issuedLease struct {
	until time.Duration // lessor's clock; no grant under the lease is valid from then on
	seq   uint64
}

// lessor is the state of a slot holder that leases its slot to hosts of its data
// centre.
type lessor struct {
	slot    int           // -1 without a slot
	until   time.Duration // end of the right to use the slot
	members []netip.AddrPort
	pending bool // the members have changed; earlier leases must end first
	issued  map[netip.AddrPort]issuedLease
	seq     uint64
}

// newLessor returns a lessor without a slot. Sequence numbers start at the
// incarnation, a start time in nanoseconds, so that the return of a lease of an
// earlier process never matches a later lease.
func newLessor(incarnation int64) lessor {
	return lessor{slot: -1, issued: map[netip.AddrPort]issuedLease{}, seq: uint64(incarnation)}
}

// usable reports whether the slot may be leased or used at now.
func (l *lessor) usable(now time.Duration) bool {
	return l.slot >= 0 && now < l.until
}

// removeExpired removes leases that have ended and reports whether none is left.
func (l *lessor) removeExpired(now time.Duration) bool {
	for addr, o := range l.issued {
		if now >= o.until {
			delete(l.issued, addr)
		}
	}
	return len(l.issued) == 0
}

// mayIssue reports whether leases may be issued. It completes a pending change
// of members once every earlier lease has ended.
func (l *lessor) mayIssue(now time.Duration) bool {
	if l.pending && l.removeExpired(now) {
		l.pending = false
	}
	return !l.pending
}

// issue issues a lease of the slot to a host.
func (l *lessor) issue(now time.Duration, to netip.AddrPort) Lease {
	l.seq++
	length := min(LeaseLength, l.until-now)
	l.issued[to] = issuedLease{until: now + padded(length+GrantLength), seq: l.seq}
	return Lease{Slot: l.slot, Length: length, Members: l.members, Seq: l.seq}
}

// returnLease records that a host holds no lease with a sequence number up to
// seq and will accept none. Grants under it may remain valid for GrantLength.
func (l *lessor) returnLease(now time.Duration, from netip.AddrPort, seq uint64) {
	o, ok := l.issued[from]
	if !ok || o.seq > seq {
		return
	}
	if end := now + padded(GrantLength); end < o.until {
		l.issued[from] = issuedLease{until: end, seq: o.seq}
	}
}

// SetSlot sets the slot that the host holds and the time, on its clock, until
// which it may use and lease the slot; slot -1 gives it up. A slot starts empty
// unless it is the one already held. Another host must not use the slot until
// Reclaim has passed after until; who sets until has to ensure that.
func (n *Node) SetSlot(now time.Time, slot int, until time.Time) {
	t := n.advanceClock(now)
	end := until.Sub(n.epoch)
	if slot != n.lessor.slot || t >= n.lessor.until {
		n.dropLocalSlot(t)
		n.lessor.pending = true
	}
	n.lessor.slot, n.lessor.until = slot, end
	n.useLocalSlot(t)
}

// Idle reports whether the host holds no slot and every lease and grant of its
// last one has ended. After it sets slot -1, a host waits for that before it
// releases its claim.
func (n *Node) Idle(now time.Time) bool {
	t := n.advanceClock(now)
	return n.lessor.slot < 0 && n.lessor.removeExpired(t)
}

// Lease returns the lease to send in the reply to a heartbeat of a host of the
// data centre, or false when there is none. The argument returned is the
// sequence number in the heartbeat; see ReturnedLease.
func (n *Node) Lease(now time.Time, to netip.AddrPort, returned uint64) (Lease, bool) {
	t := n.advanceClock(now)
	n.lessor.returnLease(t, to, returned)
	n.useLocalSlot(t)
	if !n.lessor.usable(t) || !n.lessor.mayIssue(t) || !n.isMember(to) || to == n.self {
		return Lease{}, false
	}
	return n.lessor.issue(t, to), true
}

// useLocalSlot lets the pools of this host use the slot that it holds, unless
// an earlier lease prevents that.
func (n *Node) useLocalSlot(t time.Duration) {
	l := &n.lessor
	if !l.usable(t) || !l.mayIssue(t) || !n.isMember(n.self) {
		return
	}
	if held, ok := n.leases[n.self]; ok {
		held.expiry = l.until
		n.nextExpiry = min(n.nextExpiry, l.until)
		return
	}
	n.addLease(t, n.self, &lease{slot: l.slot, since: t, expiry: l.until})
}

// dropLocalSlot ends the use of the slot that this host holds. Grants from it
// may remain valid for GrantLength.
func (n *Node) dropLocalSlot(t time.Duration) {
	if _, ok := n.leases[n.self]; ok {
		n.removeLease(t, n.self)
		n.lessor.issued[n.self] = issuedLease{until: t + padded(GrantLength)}
	}
}
