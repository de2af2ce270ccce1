package member

import (
	"net/netip"
	"time"
)

// peer is the state of one address of the local data centre, or of an address
// whose data centre is not yet known.
type peer struct {
	addr, http  netip.AddrPort
	incarnation int64 // 0 before the first message
	leaving     bool  // announced by this incarnation
	lastSeen    time.Time
	added       time.Time

	seed bool // from settings
	mark listMark

	lastFull            time.Time // when the last answered full heartbeat was sent
	reportedIncarnation int64     // newest incarnation that other hosts reported
	unanswered          int       // heartbeats sent since the last message
}

// retryTicks is the interval of heartbeats to addresses that do not answer. It
// bounds the time to detect that a partition has healed.
const retryTicks = 5

// state returns the state of the peer, which is unknown before the first message
// from its address.
func (p *peer) state(now time.Time) State {
	age := now.Sub(p.lastSeen)
	switch {
	case p.incarnation == 0:
		return StateUnknown
	case age >= DeadAfter:
		return StateDead
	case p.leaving || p.mark.marksLeaving(p.incarnation):
		return StateLeaving
	case age >= SuspectAfter:
		return StateSuspect
	default:
		return StateLive
	}
}

// markReachable records that an incarnation was reachable at a time. It returns
// false for an incarnation older than the current one.
func (p *peer) markReachable(incarnation int64, leaving bool, at time.Time) bool {
	if incarnation <= 0 || incarnation < p.incarnation {
		return false
	}
	if incarnation > p.incarnation {
		p.incarnation, p.leaving, p.http = incarnation, false, netip.AddrPort{}
		p.lastSeen = at
	}
	// An incarnation that announced that it leaves never returns: a later
	// heartbeat that does not say so was delayed.
	p.leaving = p.leaving || leaving
	if at.After(p.lastSeen) {
		p.lastSeen = at
	}
	p.unanswered = 0
	return true
}

// due reports whether to send a heartbeat to the address at a tick.
func (p *peer) due(tick uint64, now time.Time) bool {
	switch p.state(now) {
	case StateLive, StateSuspect, StateLeaving:
		return true
	case StateDead:
		if p.reportedIncarnation > p.incarnation && p.unanswered < 3 {
			return true
		}
		// The address of a host that left is tried only if another process may
		// use it now.
		if (p.leaving || p.mark.leaving) && !p.seed && !p.mark.live {
			return false
		}
	case StateUnknown:
		if p.unanswered < 3 {
			return true
		}
	}
	return (tick+hashAddr(p.addr))%retryTicks == 0
}

// removable reports whether the address need not be retained any longer.
func (p *peer) removable(now time.Time) bool {
	if p.seed || p.mark.live {
		return false
	}
	last := p.added
	if p.lastSeen.After(last) {
		last = p.lastSeen
	}
	if p.incarnation == 0 {
		return now.Sub(last) >= contactRetention
	}
	return now.Sub(last) >= incarnationRetention
}

const (
	// contactRetention is how long an address is tried from which no message
	// was ever received.
	contactRetention = time.Minute
	// incarnationRetention is how long the incarnation of a failed host is
	// retained, so that delayed heartbeats from it and older ones are recognised.
	incarnationRetention = time.Hour
)
