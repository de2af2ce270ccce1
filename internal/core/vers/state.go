// Package vers decides which version of the configuration is in force and from
// where to fetch a newer one: peers of the local data centre first, then other
// peers, then the store. It does no I/O: the caller carries out the actions.
package vers

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// Kind is the type of an Action.
type Kind uint8

// Kinds of actions. At most one pull, one read or watch, and one probe are in progress
// at a time. KindCancelWatch has no outcome and is not reported with Done.
const (
	// KindPull requests a version above Have, or a confirmation, from a peer.
	KindPull Kind = iota + 1
	// KindRead reads the head in the store and the segments that it refers to.
	KindRead
	// KindWatch waits for a change of the head and reads what changed.
	KindWatch
	// KindProbe reads only the store's version of the head, which is much smaller
	// than the head itself.
	KindProbe
	// KindCancelWatch cancels the pending watch, which then fails and is retried. A
	// probe found a newer head that the watch has not reported, so the connection of
	// the watch has stalled.
	KindCancelWatch
)

// Delays, timeouts and intervals.
const (
	// watcherHoldOff is how long a starting host that watches the store pulls only
	// from peers before it reads the store.
	watcherHoldOff = 2 * time.Second
	// coldStartHoldOff is the minimum time for which other starting hosts do so; a
	// random delay of up to the same length is added. A data centre that starts as a
	// whole then reads the store twice and not once per host.
	coldStartHoldOff = 10 * time.Second
	// pollEvery is the longest interval between store polls of hosts that do not
	// watch the store.
	pollEvery = 60 * time.Second
	// minBackoff and maxBackoff bound the exponential backoff after failures. With a
	// longer one, a change made right after an outage would not be in force in 4 s.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 2 * time.Second
	// pullLimit and longPullLimit are timeouts of a pull. The long one is for a host
	// without a configuration and after two failures in a row.
	pullLimit     = 2 * time.Second
	longPullLimit = 10 * time.Second
	// nonWatcherBackoff is the longest delay after a failed store call on hosts that
	// do not watch the store.
	nonWatcherBackoff = 10 * time.Second
	// probeEvery is the interval of probes while a watch is pending. Without probes,
	// a stalled connection would delay a change by 40 s. The probes of 42 watching
	// hosts take 2% of the reads that the store can serve.
	probeEvery = time.Second
	// minConfirm is the shortest interval between requests for a confirmation.
	minConfirm = 500 * time.Millisecond
	// driftDivisor allows for clock rates that differ by 1 in 100: the age of a
	// peer's confirmation is measured with the clock of the peer.
	driftDivisor = 100
)

// Action is a request to a peer or to the store. The caller carries it out and reports
// the outcome with Done.
type Action struct {
	Kind Kind
	Peer netip.AddrPort // set for KindPull
	// Have is the version in force when the action was decided.
	Have uint64
	// After is the highest version of the head seen in the store; a watch waits for
	// a higher one.
	After uint64
	// Limit is the timeout of a pull.
	Limit time.Duration
	// Sent is when the action was decided. A confirmation counts from then, because
	// the source may have read its state at any time since.
	Sent time.Time
}

// Result is the outcome of an action.
type Result struct {
	// Failed means that there was no usable response.
	Failed bool
	// Version and Digest identify the configuration of the source; they are 0 and ""
	// if it has none.
	Version uint64
	Digest  string
	// ConfirmedAge is how long ago the store confirmed the version to the peer;
	// negative if it never did.
	ConfirmedAge time.Duration
	// StoreVersion is the version that the store keeps for the head entry. It is
	// not the version of the configuration.
	StoreVersion uint64
	// Unchanged means that a watch ended without a change, or that a probe succeeded;
	// Version and Digest are not set then.
	Unchanged bool
}

// peer is the state of one peer.
type peer struct {
	version uint64 // last reported
	local   bool   // of the local data centre
	watcher bool   // watches the store
	backoff time.Duration
	retryAt time.Time // not contacted before then
}

// State decides for one daemon which version is in force and what to fetch next. It is
// not safe for concurrent use.
type State struct {
	rng       *rand.Rand
	start     time.Time
	version   uint64
	digest    string
	confirmed time.Time
	conflicts int

	peers   map[netip.AddrPort]*peer
	order   []netip.AddrPort // keys of peers, for choices that depend on the seed only
	watcher bool
	maxAge  time.Duration
	// repliedAt is when a peer that watches the store last replied to a heartbeat with
	// the version in force. Another request for a confirmation would add nothing.
	repliedAt time.Time

	pulling, reading, probing bool
	watchStalled              bool // the pending watch missed a change
	pullFails                 int  // consecutive

	storeVersion            uint64 // highest version of the head entry seen in the store
	headVersion             uint64 // version of the configuration in that entry
	storeBackoff            time.Duration
	nextStoreAt             time.Time     // the store is not read before then
	confirmationRequestedAt time.Time     // last request for a confirmation
	holdOff                 time.Duration // time after start in which a non-watcher pulls only from peers
}

// New returns the state of a daemon that starts at now and has no configuration.
func New(now time.Time, rng *rand.Rand) *State {
	return &State{
		rng:     rng,
		start:   now,
		peers:   make(map[netip.AddrPort]*peer),
		holdOff: coldStartHoldOff + time.Duration(rng.Int64N(int64(coldStartHoldOff))),
	}
}

// Version returns the version in force, 0 for none.
func (s *State) Version() uint64 { return s.version }

// Confirmed returns the latest time at which the store is known to have had no newer
// version than the one in force, or the zero time.
func (s *State) Confirmed() time.Time { return s.confirmed }

// Conflicts returns the number of responses with the version in force but another
// digest.
func (s *State) Conflicts() int { return s.conflicts }

// SetWatchers sets whether this host watches the store and which peers do. Those peers
// are preferred, because their confirmations are the most recent. SetWatchers must be
// called again after SetPeers.
func (s *State) SetWatchers(self bool, watchers []netip.AddrPort) {
	if self && !s.watcher {
		s.storeBackoff, s.nextStoreAt = 0, time.Time{}
	}
	s.watcher = self
	for addr, p := range s.peers {
		p.watcher = slices.Contains(watchers, addr)
	}
}

// SetMaxAge sets the age that the confirmation must not reach; 0 means no limit.
func (s *State) SetMaxAge(d time.Duration) { s.maxAge = d }

// SetPeers replaces the peers: local ones are in the same data centre, remote ones in
// others.
func (s *State) SetPeers(local, remote []netip.AddrPort) {
	old := s.peers
	s.peers = make(map[netip.AddrPort]*peer, len(local)+len(remote))
	s.order = s.order[:0]
	add := func(addrs []netip.AddrPort, isLocal bool) {
		for _, a := range addrs {
			if s.peers[a] != nil {
				continue
			}
			p := old[a]
			if p == nil {
				p = &peer{}
			}
			p.local = isLocal
			s.peers[a] = p
			s.order = append(s.order, a)
		}
	}
	add(local, true)
	add(remote, false)
}

// SetPeerVersion records the version that a peer reported in a heartbeat. Peers that
// were not passed to SetPeers are ignored.
func (s *State) SetPeerVersion(addr netip.AddrPort, version uint64) {
	p := s.peers[addr]
	if p == nil {
		return
	}
	if version > p.version && version > s.version {
		p.backoff, p.retryAt = 0, time.Time{}
	}
	p.version = version
}

// RecordReply records the reply of a peer to a heartbeat that was sent at the given
// time. If the peer has the version and digest in force, its confirmation is valid for
// this host too.
func (s *State) RecordReply(now time.Time, addr netip.AddrPort, sent time.Time, r Result) {
	s.SetPeerVersion(addr, r.Version)
	p := s.peers[addr]
	if p == nil || s.version == 0 || r.Version != s.version || r.Digest == "" {
		return
	}
	if r.Digest != s.digest {
		s.conflicts++
		return
	}
	if p.watcher {
		s.repliedAt = now
	}
	if r.ConfirmedAge >= 0 {
		s.confirm(peerConfirmedAt(sent, r.ConfirmedAge))
	}
}

// peerConfirmedAt returns when the store confirmed a version to a peer that reported
// the age of the confirmation. The age is subtracted from the time of the request,
// because the peer may have measured it at any time since.
func peerConfirmedAt(sent time.Time, age time.Duration) time.Time {
	return sent.Add(-age - age/driftDivisor)
}

// Done records the outcome of an action. It reports whether the caller must put the
// version in the result in force, which is so only for a version higher than the one
// in force.
func (s *State) Done(now time.Time, a Action, r Result) bool {
	switch a.Kind {
	case KindPull:
		s.pulling = false
		s.donePull(now, a, r)
	case KindProbe:
		s.probing = false
		s.doneProbe(now, a, r)
	default:
		s.reading, s.watchStalled = false, false
		s.doneStore(now, a, r)
	}
	if r.Failed || r.Unchanged || r.Version == 0 {
		return false
	}
	at := a.Sent
	if a.Kind == KindPull {
		at = peerConfirmedAt(a.Sent, r.ConfirmedAge)
	}
	hasConfirmation := a.Kind != KindPull || r.ConfirmedAge >= 0
	switch {
	case r.Version > s.version:
		s.version, s.digest = r.Version, r.Digest
		if hasConfirmation {
			s.confirm(at)
		}
		return true
	case r.Version == s.version && r.Digest != s.digest:
		s.conflicts++
	case r.Version == s.version && hasConfirmation:
		s.confirm(at)
	}
	return false
}

// confirm records a confirmation. One for an earlier version stays valid for a later
// version.
func (s *State) confirm(at time.Time) {
	if at.After(s.confirmed) {
		s.confirmed = at
	}
}

// donePull records the outcome of a pull in the state of the peer.
func (s *State) donePull(now time.Time, a Action, r Result) {
	s.pullFails++
	if !r.Failed {
		s.pullFails = 0
	}
	p := s.peers[a.Peer]
	if p == nil {
		return
	}
	if !r.Failed {
		p.version = r.Version
	}
	if !r.Failed && r.Version >= s.version && r.Version > 0 {
		p.backoff, p.retryAt = 0, time.Time{}
		return
	}
	p.backoff = min(max(2*p.backoff, minBackoff), maxBackoff)
	p.retryAt = now.Add(s.jitter(p.backoff))
}

// doneStore records the outcome of a read or watch. Stale data counts as a failure, so
// that it is not read again without a delay.
func (s *State) doneStore(now time.Time, a Action, r Result) {
	stale := r.StoreVersion < s.storeVersion || r.Version < s.version
	if a.Kind == KindWatch {
		// A watch must report only a version above After.
		stale = stale || r.StoreVersion <= a.After
	}
	if r.Failed || (!r.Unchanged && (stale || r.Version == 0)) {
		s.storeBackoff = min(max(2*s.storeBackoff, minBackoff), maxBackoff)
		if !s.watcher {
			s.storeBackoff = nonWatcherBackoff
		}
		s.nextStoreAt = now.Add(s.jitter(s.storeBackoff))
		return
	}
	s.storeBackoff, s.nextStoreAt = 0, now
	if !s.watcher {
		s.nextStoreAt = now.Add(s.jitter(pollEvery))
	}
	if !r.Unchanged {
		s.storeVersion, s.headVersion = r.StoreVersion, r.Version
	} else if s.headVersion == s.version && s.version > 0 {
		s.confirm(a.Sent)
	}
}

// doneProbe records the outcome of a probe.
func (s *State) doneProbe(now time.Time, a Action, r Result) {
	wait := pollEvery
	switch {
	case r.Failed || r.StoreVersion < s.storeVersion:
		wait = nonWatcherBackoff
	case r.StoreVersion > s.storeVersion:
		s.watchStalled = s.reading
		if !s.watcher {
			s.nextStoreAt, s.headVersion = now, 0
		}
		return
	case s.headVersion == s.version && s.version > 0:
		s.confirm(a.Sent)
	}
	if !s.watcher {
		s.nextStoreAt = now.Add(s.jitter(wait))
	}
}

// jitter returns a random duration between d/2 and d.
func (s *State) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(s.rng.Int64N(int64(d/2)+1))
}
