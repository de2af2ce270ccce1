package slots

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/quota"
)

// ClaimState is the state machine by which one process claims, keeps and releases a
// slot. It is not safe for concurrent use. All times must come from the same clock.
type ClaimState struct {
	self          Holder
	startedAt     time.Time
	takeoverDelay time.Duration
	version       uint64 // highest version of the record read or written

	slot       int
	usableFrom time.Time // earliest use of the slot
	confirmed  time.Time // the claim was in the store without an intent at some time after this
	releasing  bool
	inherited  bool // the slot was held by an earlier process on this address

	intentSlot  int // slot that this process intends to take over, or -1
	intentSince time.Time
}

// New returns the claim state of a process that started at start. takeoverDelay is
// how long an intent must stand before its process may take over the slot.
func New(self Holder, start time.Time, takeoverDelay time.Duration) *ClaimState {
	return &ClaimState{self: self, startedAt: start, takeoverDelay: takeoverDelay, slot: -1, intentSlot: -1}
}

// Conditions holds what ClaimState.Read depends on besides the record.
type Conditions struct {
	Slots  int                       // number of slots of the data centre
	Failed func(netip.AddrPort) bool // reports whether the host is considered failed
}

// Read processes a read of the record that was sent at sent and completed at now.
// It returns the record to write by compare-and-swap against version, or nil if
// there is nothing to write. It ignores stale reads, which have a lower version
// than an earlier read or write.
func (s *ClaimState) Read(now, sent time.Time, rec Record, version uint64, conditions Conditions) *Record {
	if version < s.version {
		return nil
	}
	s.version = version
	s.observe(now, sent, rec)
	i := rec.index(s.self.Addr)
	if i >= 0 && rec.Claims[i].Holder.Incarnation < s.self.Incarnation {
		s.inherited = true
	}
	switch {
	case i < 0:
		if s.releasing {
			return nil
		}
		return s.acquire(now, rec, conditions)
	case rec.Claims[i].Holder.Incarnation > s.self.Incarnation:
		return nil // a later process on this address holds the claim
	case s.releasing:
		return s.removeClaim(rec, i)
	case rec.Claims[i].Holder != s.self || rec.Claims[i].Intent != nil:
		return s.replaceClaim(rec, i)
	}
	return nil
}

// Written processes a successful write that was sent at sent and completed at now.
// After a write that failed or got no response, the caller must read the record.
func (s *ClaimState) Written(now, sent time.Time, rec Record, version uint64) {
	if version < s.version {
		return
	}
	s.version = version
	s.observe(now, sent, rec)
}

// observe updates the state from the record. It confirms the claim as of sent,
// because an intent that the record does not contain was written after that time.
func (s *ClaimState) observe(now, sent time.Time, rec Record) {
	s.observeIntent(now, rec)
	i := rec.index(s.self.Addr)
	if i < 0 || rec.Claims[i].Holder != s.self {
		s.slot = -1
		return
	}
	c := rec.Claims[i]
	if c.Slot != s.slot {
		s.slot = c.Slot
		s.usableFrom = now
		s.confirmed = time.Time{}
	}
	if c.Intent == nil && sent.After(s.confirmed) {
		s.confirmed = sent
	}
}

// observeIntent updates since when the intent of this process is known to be in
// the record.
func (s *ClaimState) observeIntent(now time.Time, rec Record) {
	for _, c := range rec.Claims {
		if c.Intent != nil && *c.Intent == s.self {
			if s.intentSlot != c.Slot {
				s.intentSlot, s.intentSince = c.Slot, now
			}
			return
		}
	}
	s.intentSlot = -1
}

// acquire claims a free slot. If there is none, it records an intent to take over
// the slot of a failed host.
func (s *ClaimState) acquire(now time.Time, rec Record, conditions Conditions) *Record {
	next := rec.clone()
	if slot := rec.free(conditions.Slots); slot >= 0 {
		next.Claims = append(next.Claims, Claim{Slot: slot, Holder: s.self})
		slices.SortFunc(next.Claims, func(a, b Claim) int { return cmp.Compare(a.Slot, b.Slot) })
		return s.removeIntent(next)
	}
	if s.intentSlot >= 0 {
		return s.takeOver(now, next)
	}
	for i, c := range rec.Claims {
		if c.Slot < conditions.Slots && conditions.Failed(c.Holder.Addr) && (c.Intent == nil || conditions.Failed(c.Intent.Addr) || c.Intent.Addr == s.self.Addr) {
			self := s.self
			next.Claims[i].Intent = &self
			return &next
		}
	}
	return nil
}

// takeOver claims the slot of the intent if the intent is at least takeoverDelay old.
func (s *ClaimState) takeOver(now time.Time, next Record) *Record {
	if now.Sub(s.intentSince) < s.takeoverDelay {
		return nil
	}
	for i, c := range next.Claims {
		if c.Slot == s.intentSlot {
			next.Claims[i] = Claim{Slot: c.Slot, Holder: s.self}
			return &next
		}
	}
	return nil
}

// removeIntent removes the intent of this process.
func (s *ClaimState) removeIntent(next Record) *Record {
	for i, c := range next.Claims {
		if c.Intent != nil && c.Intent.Addr == s.self.Addr {
			next.Claims[i].Intent = nil
		}
	}
	return &next
}

// replaceClaim replaces claim i by one of this process without an intent. The
// claim is its own or that of an earlier process on the same address, which has
// ended because this process could bind the address.
func (s *ClaimState) replaceClaim(rec Record, i int) *Record {
	next := rec.clone()
	next.Claims[i] = Claim{Slot: rec.Claims[i].Slot, Holder: s.self}
	return &next
}

// removeClaim removes the claim of this process, which is claim i.
func (s *ClaimState) removeClaim(rec Record, i int) *Record {
	next := rec.clone()
	next.Claims = slices.Delete(next.Claims, i, i+1)
	return &next
}

// Confirm records that the claim was in the store without an intent at some time
// after at. It is used for reads made by a peer.
func (s *ClaimState) Confirm(at time.Time) {
	if s.slot >= 0 && at.After(s.confirmed) {
		s.confirmed = at
	}
}

// Release starts the release of the slot. Before the call the caller must stop
// using the slot and wait until its leases have expired.
func (s *ClaimState) Release() { s.releasing = true }

// Held reports whether the last record seen contains a claim of this process.
func (s *ClaimState) Held() bool { return s.slot >= 0 }

// Slot returns the slot that the process may use at now, and the time until which
// it may do so without another confirmation. If an earlier process on the same
// address held the slot, ok is false until the leases of that process have expired.
func (s *ClaimState) Slot(now time.Time) (slot int, until time.Time, ok bool) {
	until = s.confirmed.Add(s.takeoverDelay - safetyMargin(s.takeoverDelay))
	from := s.usableFrom
	if early := s.startedAt.Add(quota.Reclaim); s.inherited && from.Before(early) {
		from = early
	}
	if s.slot < 0 || s.releasing || now.Before(from) || !now.Before(until) {
		return -1, until, false
	}
	return s.slot, until, true
}
