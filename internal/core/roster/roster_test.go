package roster

import (
	"slices"
	"testing"
	"time"
)

var epoch = time.Unix(1_700_000_000, 0)

// trial updates the roster of host a, one of three, at intervals.
type trial struct {
	roster Roster
	view   View
	now    time.Time
	store  bool // whether a reaches the store
	last   Members
}

func newTrial(first bool) *trial {
	return &trial{roster: Roster{First: first}, now: epoch, store: true, view: View{
		Self: "a", Listed: []string{"a", "b", "c"}, Peers: []Peer{{Name: "b"}, {Name: "c"}},
	}}
}

// run updates the roster for d, while all peers receive what a sends.
func (x *trial) run(d time.Duration) {
	for end := x.now.Add(d); x.now.Before(end); {
		x.now = x.now.Add(300 * time.Millisecond)
		if x.store {
			x.view.ListedAt, x.view.RenewedAt = x.now, x.now
			if x.view.EntryAt.IsZero() {
				x.view.EntryAt = x.now
			}
		}
		for i := range x.view.Peers {
			x.view.Peers[i].Echo = x.now
		}
		x.last = x.roster.Update(x.view, x.now)
	}
}

// check checks the names and whether the host may use its part.
func (x *trial) check(t *testing.T, when string, holds bool, names ...string) {
	t.Helper()
	if !slices.Equal(x.last.Names, names) || x.last.Holds(x.now) != holds {
		t.Errorf("%s: %v, holds %v, want %v, %v", when, x.last.Names, x.last.Holds(x.now), names, holds)
	}
}

// TestPlannedStop guards against a part that lies unused after its host has said that it stops,
// although the store still lists it, and against a host that keeps its part when it has said so.
func TestPlannedStop(t *testing.T) {
	x := newTrial(true)
	x.run(10 * time.Second)
	x.check(t, "before", true, "a", "b", "c")
	x.view.Peers[0].Leaving = true
	x.run(300 * time.Millisecond)
	x.check(t, "once b leaves", true, "a", "c")
	x.view.Peers = x.view.Peers[1:]
	x.view.Listed = []string{"a", "c"}
	x.run(10 * time.Second)
	x.check(t, "after its end", true, "a", "c")
	x.view.Listed = []string{"a", "b", "c"}
	x.run(300 * time.Millisecond)
	x.check(t, "when b starts again", true, "a", "b", "c")
	x.view.Leaving = true
	x.run(300 * time.Millisecond)
	x.check(t, "when a leaves", false, "a", "b", "c")
}

// TestPlannedStopOfAll guards against hosts that all leave at a time, count themselves only, and use the
// parts of one host each.
func TestPlannedStopOfAll(t *testing.T) {
	x := newTrial(true)
	x.run(10 * time.Second)
	x.view.Leaving, x.view.Peers[0].Leaving, x.view.Peers[1].Leaving = true, true, true
	x.run(4 * time.Second)
	x.check(t, "all leave", false, "a", "b", "c")
}

// TestDeadHost guards against a part that lies unused long after the store has dropped its host,
// and against hosts that give up theirs since another one has died.
func TestDeadHost(t *testing.T) {
	x := newTrial(true)
	x.run(10 * time.Second)
	x.view.Peers = x.view.Peers[1:]
	x.run(10 * time.Second)
	x.check(t, "while b is listed", true, "a", "b", "c")
	x.view.Listed = []string{"a", "c"}
	x.run(memory - time.Second)
	x.check(t, "soon after", true, "a", "b", "c")
	x.run(1500 * time.Millisecond)
	x.check(t, "later", true, "a", "c")
}

// TestStoreAway guards against hosts that hear each other and give up their parts since the store
// is away, and against one that keeps its part although another one may have forgotten it.
func TestStoreAway(t *testing.T) {
	x := newTrial(true)
	x.run(10 * time.Second)
	x.store = false
	x.run(time.Minute)
	x.check(t, "in touch", true, "a", "b", "c")
	x.view.Peers = x.view.Peers[1:]
	x.run(echoLease - time.Second)
	x.check(t, "b is silent", true, "a", "b", "c")
	x.run(2 * time.Second)
	x.check(t, "b is silent for long", false, "a", "b", "c")
	x.store = true
	x.run(300 * time.Millisecond)
	x.check(t, "the store is back", true, "a", "b", "c")
	x.view.EntryAt = x.now
	x.run(listLease - time.Second)
	x.check(t, "the entry is a new one", false, "a", "b", "c")
	x.run(2 * time.Second)
	x.check(t, "the entry is older than all lists", true, "a", "b", "c")
}

// TestStartedHost guards against a host that uses a part before the others count it, and against
// one that waits for longer than it takes them to.
func TestStartedHost(t *testing.T) {
	x := newTrial(false)
	x.run(300 * time.Millisecond)
	x.check(t, "heard by all others", true, "a", "b", "c")
	x = newTrial(false)
	x.view.Peers = x.view.Peers[1:]
	x.run(listLease - time.Second)
	x.check(t, "not heard by b", false, "a", "b", "c")
	x.run(2 * time.Second)
	x.check(t, "listed for long", true, "a", "b", "c")
}

// TestEntriesLost guards against two hosts that use the whole of a limit each: the store has dropped
// their entries in an outage, they read its list before they have written them again, and do
// not hear each other.
func TestEntriesLost(t *testing.T) {
	x := newTrial(true)
	x.view.Listed, x.view.Peers = []string{"a", "b"}, []Peer{{Name: "b"}}
	x.run(10 * time.Second)
	x.check(t, "before", true, "a", "b")
	x.store, x.view.Peers = false, nil
	x.run(20 * time.Second)
	x.check(t, "in the outage", false, "a", "b")
	x.view.Listed = nil
	for range 10 {
		x.run(300 * time.Millisecond)
		x.view.ListedAt = x.now
	}
	x.check(t, "by a list without an entry of its own", false, "a")
	x.store, x.view.Listed, x.view.EntryAt = true, []string{"a"}, time.Time{}
	x.run(300 * time.Millisecond)
	x.check(t, "by a list with its entry", true, "a")
}

// TestEntryGone guards against a host that uses its part by the renewals of an entry which the store
// does not list: a late write under another lease has replaced it.
func TestEntryGone(t *testing.T) {
	x := newTrial(true)
	x.run(10 * time.Second)
	x.view.Peers, x.view.Listed = nil, []string{"b", "c"}
	x.run(5 * time.Second)
	x.check(t, "while others may have forgotten it", false, "a", "b", "c")
	x.view.Listed = nil
	x.run(5 * time.Second)
	x.check(t, "while others may not be listed either", false, "a")
}

// TestRenewalsFail guards against a host that uses the whole of a limit by a list with its entry, although
// others may have read one without it since.
func TestRenewalsFail(t *testing.T) {
	x := newTrial(true)
	x.view.Listed, x.view.Peers = []string{"a"}, nil
	x.run(10 * time.Second)
	x.check(t, "before", true, "a")
	x.store = false
	for range 30 {
		x.view.ListedAt = x.now
		x.run(300 * time.Millisecond)
	}
	x.check(t, "9 s after the last renewal", false, "a")
}
