package pick

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestDepartedProcess guards against a server that is used again although it
// has said that it leaves: after its entry lapsed and came back, or because
// another host's report is late; and against a new process that is not used.
func TestDepartedProcess(t *testing.T) {
	now := epoch
	tab := newTable(1)
	c := mustPick(t, tab, &Request{}, now)
	tab.Leaves(&c, now)
	wantNone := func(when string, now time.Time) {
		t.Helper()
		if c, ok := tab.Pick(&Request{}, now); ok {
			t.Errorf("%s: %s was chosen", when, c.ID)
		}
	}
	wantNone("after the answer", now)
	list := entries(1)
	tab.Update(tab.model.Service, nil, nil, settled("h0"), now)
	tab.Update(tab.model.Service, list, nil, settled("h0"), now.Add(keepDeparted/2))
	wantNone("after its entry came back", now.Add(keepDeparted/2))
	if got := tab.Departed(); len(got) != 1 {
		t.Errorf("reported to other hosts: %v", got)
	}
	list[0].Born++
	now = now.Add(keepDeparted)
	tab.Update(tab.model.Service, list, nil, settled("h0"), now)
	tab.Depart([]Process{{ID: list[0].ID, Born: list[0].Born - 1}}, now)
	mustPick(t, tab, &Request{}, now)
	if got := tab.Departed(); len(got) != 0 {
		t.Errorf("a former process is reported: %v", got)
	}
}

// TestDepartedOfPeers guards against hosts that learn of a leaving server only
// from their own requests.
func TestDepartedOfPeers(t *testing.T) {
	now := epoch
	a, b := newTable(2), newTable(2)
	c := mustPick(t, a, &Request{}, now)
	a.Leaves(&c, now)
	b.Depart(a.Departed(), now)
	if diff := cmp.Diff(a.Departed(), b.Departed()); diff != "" {
		t.Errorf("the hosts differ: %s", diff)
	}
	for range 10 {
		if got := mustPick(t, b, &Request{}, now); got.ID == c.ID {
			t.Fatalf("%s was chosen", got.ID)
		}
	}
}

// TestRest guards against requests to a server that wants none for a time,
// against one that is lost for good by a time without end, and against a new
// process that pays for the former one.
func TestRest(t *testing.T) {
	now := epoch
	for _, c := range []struct {
		asked, want time.Duration
	}{
		{2 * time.Second, 2 * time.Second},
		{24 * time.Hour, maxRest},
	} {
		tab := newTable(1)
		choice := mustPick(t, tab, &Request{}, now)
		tab.Rest(&choice, c.asked, now)
		tab.Rest(&choice, time.Millisecond, now) // a shorter one does not end it
		if _, ok := tab.Pick(&Request{}, now.Add(c.want-time.Millisecond)); ok {
			t.Errorf("%v: chosen before its end", c.asked)
		}
		if d, ok := tab.Rests(&Request{}, now); !ok || d != c.want {
			t.Errorf("%v: rests for %v, %v", c.asked, d, ok)
		}
		mustPick(t, tab, &Request{}, now.Add(c.want))
		list := entries(1)
		list[0].Born++
		tab.Update(tab.model.Service, list, nil, settled("h0"), now)
		tab.Rest(&choice, c.asked, now)
		mustPick(t, tab, &Request{}, now)
	}
}
