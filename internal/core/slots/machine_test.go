package slots

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/yuccalb/yuccalb/internal/core/quota"
)

var base = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func holder(port uint16, incarnation int64) Holder {
	return Holder{Addr: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port), Incarnation: incarnation}
}

func claims(list ...Claim) Record { return Record{Claims: list} }

// TestRead checks which record a process writes after it reads a given record.
func TestRead(t *testing.T) {
	self, peer, other := holder(1, 5), holder(2, 1), holder(3, 1)
	failed := func(list ...Holder) func(netip.AddrPort) bool {
		return func(a netip.AddrPort) bool {
			for _, h := range list {
				if h.Addr == a {
					return true
				}
			}
			return false
		}
	}
	taken := Claim{Slot: 0, Holder: peer}
	tests := []struct {
		name  string
		rec   Record
		slots int
		gone  func(netip.AddrPort) bool
		want  *Record
	}{
		{"free slot", claims(taken), 2, failed(), &Record{Claims: []Claim{taken, {Slot: 1, Holder: self}}}},
		{"first free slot", claims(Claim{Slot: 1, Holder: peer}), 2, failed(), &Record{Claims: []Claim{{Slot: 0, Holder: self}, {Slot: 1, Holder: peer}}}},
		{"no takeover from a healthy host", claims(taken), 1, failed(), nil},
		{"intent on the slot of a failed host", claims(taken), 1, failed(peer), &Record{Claims: []Claim{{Slot: 0, Holder: peer, Intent: &self}}}},
		{"no second intent", claims(Claim{Slot: 0, Holder: peer, Intent: &other}), 1, failed(peer), nil},
		{"intent of a failed host replaced", claims(Claim{Slot: 0, Holder: peer, Intent: &other}), 1, failed(peer, other), &Record{Claims: []Claim{{Slot: 0, Holder: peer, Intent: &self}}}},
		{"intent removed when a slot is free", claims(Claim{Slot: 0, Holder: peer, Intent: &self}), 2, failed(), &Record{Claims: []Claim{taken, {Slot: 1, Holder: self}}}},
		{"own claim", claims(Claim{Slot: 0, Holder: self}), 1, failed(), nil},
		{"intent on the own claim", claims(Claim{Slot: 0, Holder: self, Intent: &peer}), 1, failed(), &Record{Claims: []Claim{{Slot: 0, Holder: self}}}},
		{"earlier process", claims(Claim{Slot: 0, Holder: holder(1, 4)}), 1, failed(), &Record{Claims: []Claim{{Slot: 0, Holder: self}}}},
		{"later process", claims(Claim{Slot: 0, Holder: holder(1, 6)}), 1, failed(), nil},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			s := New(self, base, TakeoverDelay)
			before := string(tc.rec.Encode())
			got := s.Read(base, base, tc.rec, 3, Conditions{Slots: tc.slots, Failed: tc.gone})
			if diff := cmp.Diff(tc.want, got, cmpopts.EquateComparable(netip.AddrPort{})); diff != "" {
				t.Errorf("record to write (-want +got):\n%s", diff)
			}
			if after := string(tc.rec.Encode()); after != before {
				t.Errorf("Read modified its argument to %s", after)
			}
			if stale := s.Read(base, base, claims(), 2, Conditions{Slots: 9, Failed: tc.gone}); stale != nil {
				t.Errorf("Read of a stale version returned a record to write: %v", stale)
			}
		})
	}
}

// TestTakeover guards against two hosts that use one slot at the same time. The
// old holder must stop before the next one starts, by its own clock, even if it
// can't reach the store or reads an intent that it can't remove.
func TestTakeover(t *testing.T) {
	old, next := New(holder(1, 1), base, TakeoverDelay), New(holder(2, 2), base, TakeoverDelay)
	held := claims(Claim{Slot: 0, Holder: holder(1, 1)})
	old.Written(base, base, held, 1)
	if _, _, ok := old.Slot(base); !ok {
		t.Fatal("a new claim can't be used")
	}
	conditions := Conditions{Slots: 1, Failed: func(netip.AddrPort) bool { return true }}
	written := base.Add(time.Minute)
	intent := next.Read(written, written, held, 1, conditions)
	next.Written(written, written, *intent, 2)
	old.Read(written.Add(time.Second), written.Add(time.Second), *intent, 2, conditions)
	_, until, _ := old.Slot(written)
	// The clock of the old holder may run slower by 1 in 100.
	if latest := base.Add(TakeoverDelay - TakeoverDelay/99 - quota.Reclaim); !until.Before(latest) {
		t.Errorf("the old holder stops after %v, want before %v", until.Sub(base), latest.Sub(base))
	}
	for _, tc := range []struct {
		at   time.Duration
		want bool
	}{{TakeoverDelay - 1, false}, {TakeoverDelay, true}} {
		at := written.Add(tc.at)
		if got := next.Read(at, at, *intent, 2, conditions); (got != nil) != tc.want {
			t.Errorf("takeover %v after the intent: %v, want %v", tc.at, got != nil, tc.want)
		}
	}
	if _, _, ok := old.Slot(until); ok {
		t.Error("the old holder may use the slot after its end")
	}
	// Removing the intent confirms the claim as of the write.
	old.Written(written.Add(time.Hour), written.Add(time.Hour), held, 3)
	if _, longer, _ := old.Slot(written); !longer.After(until) {
		t.Error("removing the intent doesn't extend the use of the slot")
	}
	next.Read(written.Add(TakeoverDelay), written.Add(TakeoverDelay), held, 3, conditions)
	if next.intentSlot >= 0 {
		t.Error("the next holder still has an intent after it was removed from the record")
	}
}

// TestEarlierProcess guards against the use of a slot while the leases of an
// earlier process on the same address are valid.
func TestEarlierProcess(t *testing.T) {
	s := New(holder(1, 2), base, TakeoverDelay)
	rec := claims(Claim{Slot: 0, Holder: holder(1, 1)})
	next := s.Read(base, base, rec, 1, Conditions{Slots: 1})
	s.Written(base, base, *next, 2)
	for _, tc := range []struct {
		at   time.Duration
		want bool
	}{{0, false}, {quota.Reclaim - 1, false}, {quota.Reclaim, true}} {
		if _, _, ok := s.Slot(base.Add(tc.at)); ok != tc.want {
			t.Errorf("%v after the start: usable %v, want %v", tc.at, ok, tc.want)
		}
	}
	s.Release()
	if got := s.Read(base, base, *next, 2, Conditions{Slots: 1}); got == nil || len(got.Claims) != 0 {
		t.Errorf("Read after Release returned %v, want an empty record", got)
	}
}
