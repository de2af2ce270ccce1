package vers

import (
	"net/netip"
	"time"
)

// Next returns the next action to start. If there is none, ok is false and wake is
// the time at which to call Next again if no event arrives earlier; the zero time
// means that there is nothing to wait for.
func (s *State) Next(now time.Time) (a Action, ok bool, wake time.Time) {
	if s.watchStalled {
		s.watchStalled = false
		return Action{Kind: KindCancelWatch}, true, now
	}
	for _, f := range []func(time.Time) (Action, bool, time.Time){s.nextPull, s.nextStore, s.nextProbe} {
		a, ok, at := f(now)
		if ok {
			a.Have, a.After, a.Sent = s.version, s.storeVersion, now
			return a, true, now
		}
		if !at.IsZero() && (wake.IsZero() || at.Before(wake)) {
			wake = at
		}
	}
	return Action{}, false, wake
}

// nextPull returns a pull from a peer that has a newer version or, on a host that
// does not watch the store, from a peer that may confirm the version in force.
func (s *State) nextPull(now time.Time) (Action, bool, time.Time) {
	if s.pulling {
		return Action{}, false, time.Time{}
	}
	addr, wake := s.choosePeer(now, func(p *peer) bool { return s.version == 0 || p.version > s.version })
	if at := s.nextConfirmAt(); !addr.IsValid() && !s.watcher && !at.IsZero() {
		if at.After(now) {
			return Action{}, false, earlier(wake, at)
		}
		addr, at = s.choosePeer(now, func(p *peer) bool { return p.local && p.version == s.version })
		wake = earlier(wake, at)
		s.confirmationRequestedAt = now
		if !addr.IsValid() {
			wake = earlier(wake, s.nextConfirmAt())
		}
	}
	if !addr.IsValid() {
		return Action{}, false, wake
	}
	s.pulling = true
	limit := pullLimit
	if s.version == 0 || s.pullFails > 1 {
		limit = longPullLimit
	}
	return Action{Kind: KindPull, Peer: addr, Limit: limit}, true, now
}

// choosePeer returns a peer for which fits is true, or the time at which the first
// of them may be contacted again. Peers that have a newer version come first, then
// peers of the local data centre, then peers that watch the store; among equals the
// choice is random.
func (s *State) choosePeer(now time.Time, fits func(*peer) bool) (netip.AddrPort, time.Time) {
	var wake time.Time
	var best []netip.AddrPort
	score := 0
	for _, addr := range s.order {
		p := s.peers[addr]
		if !fits(p) {
			continue
		}
		if p.retryAt.After(now) {
			wake = earlier(wake, p.retryAt)
			continue
		}
		r := 1
		if p.version > s.version {
			r += 4
		}
		if p.local {
			r += 2
		}
		if p.watcher {
			r++
		}
		if r > score {
			best, score = best[:0], r
		}
		if r == score {
			best = append(best, addr)
		}
	}
	if len(best) == 0 {
		return netip.AddrPort{}, wake
	}
	return best[s.rng.IntN(len(best))], wake
}

// nextStore decides whether to read, watch or probe the head in the store.
func (s *State) nextStore(now time.Time) (Action, bool, time.Time) {
	if s.reading {
		return Action{}, false, time.Time{}
	}
	at := s.nextStoreAt
	if s.version == 0 {
		if hold := s.start.Add(s.storeHoldOff()); hold.After(at) {
			at = hold
		}
	} else if !s.watcher && at.IsZero() {
		s.nextStoreAt = now.Add(s.jitter(pollEvery))
		at = s.nextStoreAt
	}
	if at.After(now) {
		return Action{}, false, at
	}
	kind := KindRead
	if s.watcher && s.storeVersion > 0 {
		kind = KindWatch
	} else if s.storeVersion > 0 && s.headVersion == s.version {
		if s.probing {
			return Action{}, false, time.Time{}
		}
		s.probing = true
		return Action{Kind: KindProbe}, true, now
	}
	s.reading = true
	return Action{Kind: kind}, true, now
}

// storeHoldOff returns how long a starting host pulls only from peers. A host that
// watches the store goes on at once when every peer has already failed to give a version.
func (s *State) storeHoldOff() time.Duration {
	if !s.watcher {
		return s.holdOff
	}
	for _, p := range s.peers {
		if p.backoff == 0 {
			return watcherHoldOff
		}
	}
	return 0
}

// nextProbe returns a periodic probe of the store on a host that watches it. The
// probes detect a stalled watch and renew the confirmation.
func (s *State) nextProbe(now time.Time) (Action, bool, time.Time) {
	if s.probing || !s.watcher || s.storeVersion == 0 || s.version == 0 {
		return Action{}, false, time.Time{}
	}
	every := probeEvery
	if s.maxAge > 0 {
		every = max(min(every, s.maxAge/3), minConfirm)
	}
	if at := s.confirmationRequestedAt.Add(every); at.After(now) {
		return Action{}, false, at
	}
	s.probing, s.confirmationRequestedAt = true, now
	return Action{Kind: KindProbe}, true, now
}

// nextConfirmAt returns when to request a confirmation from a peer, or the zero time if
// none is needed. There are three requests in the time for which a confirmation is valid,
// so that two may fail, and none while replies to heartbeats bring confirmations as
// often.
func (s *State) nextConfirmAt() time.Time {
	if s.maxAge <= 0 || s.version == 0 {
		return time.Time{}
	}
	every := max(s.maxAge/3, minConfirm)
	at := s.confirmed
	for _, t := range []time.Time{s.confirmationRequestedAt, s.repliedAt} {
		if t.After(at) {
			at = t
		}
	}
	return at.Add(every)
}

// earlier returns the earlier of two times; a zero time is ignored.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
