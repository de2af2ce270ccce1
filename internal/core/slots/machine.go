package slots

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/quota"
)

// Machine is the state machine by which one process claims, keeps and releases a
// slot. It is not safe for concurrent use. All times must come from the same clock.
type Machine struct {
	self      Holder
	startedAt time.Time
	hold      time.Duration
	version   uint64 // highest version of the record read or written

	slot       int
	usableFrom time.Time // earliest use of the slot
	confirmed  time.Time // the claim was in the store without an intent at some time after this
	releasing  bool
	inherited  bool // the slot was held by an earlier process on this address

	intentSlot  int // slot that this process intends to take over, or -1
	intentSince time.Time
}

// New returns the machine of a process that started at start. hold is how long an
// intent must stand before its process may take over the slot.
func New(self Holder, start time.Time, hold time.Duration) *Machine {
	return &Machine{self: self, startedAt: start, hold: hold, slot: -1, intentSlot: -1}
}

// Need holds what Machine.Read depends on besides the record.
type Need struct {
	Slots int                       // number of slots of the data centre
	Gone  func(netip.AddrPort) bool // reports whether the host is considered failed
}

// Read processes a read of the record that was sent at sent and answered at now.
// It returns the record to write by compare-and-swap against version, or nil if
// there is nothing to write. It ignores stale reads, which have a lower version
// than an earlier read or write.
func (m *Machine) Read(now, sent time.Time, rec Record, version uint64, need Need) *Record {
	if version < m.version {
		return nil
	}
	m.version = version
	m.observe(now, sent, rec)
	i := rec.index(m.self.Addr)
	if i >= 0 && rec.Claims[i].Holder.Incarnation < m.self.Incarnation {
		m.inherited = true
	}
	switch {
	case i < 0:
		if m.releasing {
			return nil
		}
		return m.acquire(now, rec, need)
	case rec.Claims[i].Holder.Incarnation > m.self.Incarnation:
		return nil // a later process on this address holds the claim
	case m.releasing:
		return m.removeClaim(rec, i)
	case rec.Claims[i].Holder != m.self || rec.Claims[i].Intent != nil:
		return m.replaceClaim(rec, i)
	}
	return nil
}

// Wrote processes a successful write that was sent at sent and answered at now.
// After a write that failed or got no answer, the caller must read the record.
func (m *Machine) Wrote(now, sent time.Time, rec Record, version uint64) {
	if version < m.version {
		return
	}
	m.version = version
	m.observe(now, sent, rec)
}

// observe updates the state from the record. It confirms the claim as of sent,
// because an intent that the record does not contain was written after that time.
func (m *Machine) observe(now, sent time.Time, rec Record) {
	m.observeIntent(now, rec)
	i := rec.index(m.self.Addr)
	if i < 0 || rec.Claims[i].Holder != m.self {
		m.slot = -1
		return
	}
	c := rec.Claims[i]
	if c.Slot != m.slot {
		m.slot = c.Slot
		m.usableFrom = now
		m.confirmed = time.Time{}
	}
	if c.Intent == nil && sent.After(m.confirmed) {
		m.confirmed = sent
	}
}

// observeIntent updates since when the intent of this process is known to be in
// the record.
func (m *Machine) observeIntent(now time.Time, rec Record) {
	for _, c := range rec.Claims {
		if c.Intent != nil && *c.Intent == m.self {
			if m.intentSlot != c.Slot {
				m.intentSlot, m.intentSince = c.Slot, now
			}
			return
		}
	}
	m.intentSlot = -1
}

// acquire claims a free slot. If there is none, it records an intent to take over
// the slot of a failed host.
func (m *Machine) acquire(now time.Time, rec Record, need Need) *Record {
	next := rec.clone()
	if slot := rec.free(need.Slots); slot >= 0 {
		next.Claims = append(next.Claims, Claim{Slot: slot, Holder: m.self})
		slices.SortFunc(next.Claims, func(a, b Claim) int { return cmp.Compare(a.Slot, b.Slot) })
		return m.removeIntent(next)
	}
	if m.intentSlot >= 0 {
		return m.takeOver(now, next)
	}
	for i, c := range rec.Claims {
		if c.Slot < need.Slots && need.Gone(c.Holder.Addr) && (c.Intent == nil || need.Gone(c.Intent.Addr) || c.Intent.Addr == m.self.Addr) {
			self := m.self
			next.Claims[i].Intent = &self
			return &next
		}
	}
	return nil
}

// takeOver claims the slot of the intent if the intent is at least m.hold old.
func (m *Machine) takeOver(now time.Time, next Record) *Record {
	if now.Sub(m.intentSince) < m.hold {
		return nil
	}
	for i, c := range next.Claims {
		if c.Slot == m.intentSlot {
			next.Claims[i] = Claim{Slot: c.Slot, Holder: m.self}
			return &next
		}
	}
	return nil
}

// removeIntent removes the intent of this process.
func (m *Machine) removeIntent(next Record) *Record {
	for i, c := range next.Claims {
		if c.Intent != nil && c.Intent.Addr == m.self.Addr {
			next.Claims[i].Intent = nil
		}
	}
	return &next
}

// replaceClaim replaces claim i by one of this process without an intent. The
// claim is its own or that of an earlier process on the same address, which has
// ended because this process could bind the address.
func (m *Machine) replaceClaim(rec Record, i int) *Record {
	next := rec.clone()
	next.Claims[i] = Claim{Slot: rec.Claims[i].Slot, Holder: m.self}
	return &next
}

// removeClaim removes the claim of this process, which is claim i.
func (m *Machine) removeClaim(rec Record, i int) *Record {
	next := rec.clone()
	next.Claims = slices.Delete(next.Claims, i, i+1)
	return &next
}

// Confirm records that the claim was in the store without an intent at some time
// after at. It is used for reads made by a peer.
func (m *Machine) Confirm(at time.Time) {
	if m.slot >= 0 && at.After(m.confirmed) {
		m.confirmed = at
	}
}

// Release starts the release of the slot. Before the call the caller must stop
// using the slot and wait until its leases have expired.
func (m *Machine) Release() { m.releasing = true }

// Held reports whether the last record seen contains a claim of this process.
func (m *Machine) Held() bool { return m.slot >= 0 }

// Slot returns the slot that the process may use at now, and the time until which
// it may do so without another confirmation. If an earlier process on the same
// address held the slot, ok is false until the leases of that process have expired.
func (m *Machine) Slot(now time.Time) (slot int, until time.Time, ok bool) {
	until = m.confirmed.Add(m.hold - safetyMargin(m.hold))
	from := m.usableFrom
	if early := m.startedAt.Add(quota.Reclaim); m.inherited && from.Before(early) {
		from = early
	}
	if m.slot < 0 || m.releasing || now.Before(from) || !now.Before(until) {
		return -1, until, false
	}
	return m.slot, until, true
}
