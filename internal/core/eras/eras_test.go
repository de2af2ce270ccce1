package eras

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/yuccalb/yuccalb/internal/core/spec"
)

// TestRevisionOrder guards against a revision from before a restore of the store
// that compares as newer than one after it.
func TestRevisionOrder(t *testing.T) {
	tests := []struct {
		name string
		a, b Revision
		want int
	}{
		{"same", Revision{1, 154}, Revision{1, 154}, 0},
		{"later", Revision{1, 154}, Revision{1, 103}, 1},
		{"newer era, lower count", Revision{2, 103}, Revision{1, 154}, 1},
		{"revision number reused", Revision{2, 154}, Revision{1, 154}, 1},
		{"no era reported before", Revision{1, 3}, Revision{0, 900}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := tt.a.Compare(tt.b); got != tt.want {
				t.Errorf("%v against %v: %d, want %d", tt.a, tt.b, got, tt.want)
			}
			if got := tt.b.Compare(tt.a); got != -tt.want {
				t.Errorf("%v against %v: %d, want %d", tt.b, tt.a, got, -tt.want)
			}
		})
	}
}

// TestVersionOrder guards against a restore of the store that brings back an
// older configuration, and against a newer configuration that is ignored because
// its revision is lower.
func TestVersionOrder(t *testing.T) {
	inForce := Version{2, Revision{1, 154}}
	tests := []struct {
		name        string
		v           Version
		after, same bool
	}{
		{"itself", inForce, false, true},
		{"later in the era", Version{3, Revision{1, 160}}, true, false},
		{"earlier in the era", Version{1, Revision{1, 103}}, false, false},
		{"older one in the restored copy", Version{1, Revision{2, 103}}, false, false},
		{"older one in the restored copy at the same revision", Version{1, Revision{2, 154}}, false, false},
		{"written again", Version{2, Revision{2, 110}}, true, true},
		{"next one at a lower revision", Version{3, Revision{2, 112}}, true, false},
		{"from before a restore that the host has not seen", Version{1, Revision{0, 200}}, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := tt.v.After(inForce); got != tt.after {
				t.Errorf("after: %v, want %v", got, tt.after)
			}
			if got := tt.v.Same(inForce); got != tt.same {
				t.Errorf("same: %v, want %v", got, tt.same)
			}
		})
	}
}

// TestEraMerge guards against a host that takes an old era for the current one,
// and against a host that waits again for the era to settle because a peer reports
// it later.
func TestEraMerge(t *testing.T) {
	var e Era
	if age := e.Age(0); age < SettleTime {
		t.Errorf("age of the first era is %v, want at least %v", age, SettleTime)
	}
	steps := []struct {
		reported Era
		want     Era
		changed  bool
	}{
		{Era{2, 10 * time.Second}, Era{2, 10 * time.Second}, true},
		{Era{1, 12 * time.Second}, Era{2, 10 * time.Second}, false},
		{Era{2, 13 * time.Second}, Era{2, 10 * time.Second}, false},
		{Era{2, 9 * time.Second}, Era{2, 9 * time.Second}, false},
		{Era{3, 14 * time.Second}, Era{3, 14 * time.Second}, true},
		{Era{4, 15 * time.Second}, Era{4, 15 * time.Second}, true},
	}
	for i, s := range steps {
		var changed bool
		if e, changed = e.Merge(s.reported); e != s.want || changed != s.changed {
			t.Fatalf("step %d: %+v, changed %v, want %+v, %v", i, e, changed, s.want, s.changed)
		}
	}
	if age := e.Age(17 * time.Second); age != 2*time.Second {
		t.Errorf("age %v, want 2s", age)
	}
}

// TestReconcile guards against servers that receive requests again after they
// left, because the restored copy still lists them, and against losing state that
// is newer than the copy.
func TestReconcile(t *testing.T) {
	known := Membership{
		Servers: []spec.Server{
			{ID: "stays", Born: 5, Seq: 10},
			{ID: "leaves", Born: 5, Seq: 10, Leaving: true},
			{ID: "cold", Born: 5, Seq: 10, Warm: 3 * time.Second},
			{ID: "restarted", Born: 9, Seq: 1},
			{ID: "missing", Born: 5, Seq: 10},
		},
		Evacuated: []string{"a1"},
	}
	first := known.Reconcile([]spec.Server{
		{ID: "stays", Born: 5, Seq: 8},
		{ID: "leaves", Born: 5, Seq: 8},
		{ID: "cold", Born: 5, Seq: 8},
		{ID: "restarted", Born: 5, Seq: 70},
		{ID: "ended", Born: 5, Seq: 30},
		{ID: "new", Born: 5, Seq: 1},
	}, []string{"b1"}, true, time.Second)
	want := Membership{
		Servers: []spec.Server{
			{ID: "stays", Born: 5, Seq: 10},
			{ID: "leaves", Born: 5, Seq: 10, Leaving: true},
			{ID: "cold", Born: 5, Seq: 10, Warm: 2 * time.Second},
			{ID: "restarted", Born: 9, Seq: 1},
		},
		Unconfirmed: []spec.Server{{ID: "ended", Born: 5, Seq: 30}, {ID: "new", Born: 5, Seq: 1}},
		Evacuated:   []string{"b1", "a1"},
	}
	if diff := cmp.Diff(want, first, cmpopts.EquateComparable(netip.AddrPort{})); diff != "" {
		t.Errorf("first listing (-want +got):\n%s", diff)
	}
	second := first.Reconcile([]spec.Server{
		{ID: "stays", Born: 5, Seq: 12},
		{ID: "ended", Born: 5, Seq: 30},
		{ID: "new", Born: 5, Seq: 2},
		{ID: "missing", Born: 5, Seq: 12},
	}, nil, false, time.Second)
	want = Membership{
		Servers:     []spec.Server{{ID: "stays", Born: 5, Seq: 12}, {ID: "new", Born: 5, Seq: 2}, {ID: "missing", Born: 5, Seq: 12}},
		Unconfirmed: []spec.Server{{ID: "ended", Born: 5, Seq: 30}},
		Evacuated:   []string{"b1", "a1"},
	}
	if diff := cmp.Diff(want, second, cmpopts.EquateComparable(netip.AddrPort{})); diff != "" {
		t.Errorf("second listing (-want +got):\n%s", diff)
	}
}
