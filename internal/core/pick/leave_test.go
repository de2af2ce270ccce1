package pick

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestLeavingProcess guards against requests to a server after it has announced that it
// leaves, such as when its entry expires and comes back. It also guards against a new
// process that gets no requests because of a late report about the former one.
func TestLeavingProcess(t *testing.T) {
	now := epoch
	tab := newTable(1)
	c := mustPick(t, tab, &Request{}, now)
	tab.MarkLeaving(&c, now)
	wantNone := func(when string, now time.Time) {
		t.Helper()
		if c, ok := tab.Pick(&Request{}, now); ok {
			t.Errorf("%s: %s was chosen", when, c.ID)
		}
	}
	wantNone("after the announcement", now)
	list := entries(1)
	tab.Update(tab.model.Service, nil, nil, allDiscovered("h0"), now)
	wantNone("while it is not listed", now)
	tab.Update(tab.model.Service, list, nil, allDiscovered("h0"), now.Add(leavingTTL/2))
	wantNone("after its entry came back", now.Add(leavingTTL/2))
	if got := tab.LeavingProcesses(); len(got) != 1 {
		t.Errorf("leaving processes to report to other hosts: %v, want 1", got)
	}
	list[0].Born++
	now = now.Add(leavingTTL)
	tab.Update(tab.model.Service, list, nil, allDiscovered("h0"), now)
	tab.MergeLeaving([]Process{{ID: list[0].ID, Born: list[0].Born - 1}}, now)
	mustPick(t, tab, &Request{}, now)
	if got := tab.LeavingProcesses(); len(got) != 0 {
		t.Errorf("a former process is reported as leaving: %v", got)
	}
}

// TestLeavingProcessUnlisted guards against requests to a leaving server that was not listed for some minutes, or
// whose service a version of the configuration left out for as long.
func TestLeavingProcessUnlisted(t *testing.T) {
	for name, unlisted := range map[string]bool{"not listed": true, "service left out": false} {
		now := epoch
		tab := newTable(1)
		c := mustPick(t, tab, &Request{}, now)
		tab.MarkLeaving(&c, now)
		if unlisted {
			tab.Update(tab.model.Service, nil, nil, allDiscovered("h0"), now)
		}
		now = now.Add(5 * time.Minute)
		tab.Update(tab.model.Service, nil, nil, allDiscovered("h0"), now)
		tab.Update(tab.model.Service, entries(1), nil, allDiscovered("h0"), now.Add(time.Second))
		if c, ok := tab.Pick(&Request{}, now.Add(time.Second)); ok {
			t.Errorf("%s: %s was chosen", name, c.ID)
		}
	}
}

// TestPeerReportsLeavingProcess guards against a host that uses a leaving server until
// one of its own requests shows that it leaves.
func TestPeerReportsLeavingProcess(t *testing.T) {
	now := epoch
	a, b := newTable(2), newTable(2)
	c := mustPick(t, a, &Request{}, now)
	a.MarkLeaving(&c, now)
	b.MergeLeaving(a.LeavingProcesses(), now)
	if diff := cmp.Diff(a.LeavingProcesses(), b.LeavingProcesses()); diff != "" {
		t.Errorf("leaving processes differ between the hosts: %s", diff)
	}
	for range 10 {
		if got := mustPick(t, b, &Request{}, now); got.ID == c.ID {
			t.Fatalf("%s was chosen although a peer reported that it leaves", got.ID)
		}
	}
}

// TestPauseRequestedByServer guards against requests to a server during a pause that it
// has asked for, also when its entry is missing for a moment, against an excessive pause
// that is not bounded, and against a pause that applies to a new process of the server.
func TestPauseRequestedByServer(t *testing.T) {
	now := epoch
	for _, c := range []struct {
		asked, want time.Duration
	}{
		{2 * time.Second, 2 * time.Second},
		{24 * time.Hour, maxPause},
	} {
		tab := newTable(1)
		choice := mustPick(t, tab, &Request{}, now)
		tab.Pause(&choice, c.asked, now)
		tab.Pause(&choice, time.Millisecond, now) // a shorter pause does not end it
		if _, ok := tab.Pick(&Request{}, now.Add(c.want-time.Millisecond)); ok {
			t.Errorf("pause of %v: chosen before its end", c.asked)
		}
		if w, ok := tab.ShortestWait(&Request{}, now); !ok || w != (Wait{For: c.want}) {
			t.Errorf("pause of %v: got %v, %v", c.asked, w, ok)
		}
		mustPick(t, tab, &Request{}, now.Add(c.want))
		list := entries(1)
		tab.Update(tab.model.Service, nil, nil, allDiscovered("h0"), now)
		tab.Update(tab.model.Service, list, nil, allDiscovered("h0"), now)
		if _, ok := tab.Pick(&Request{}, now); ok {
			t.Errorf("pause of %v: chosen after its entry came back", c.asked)
		}
		list[0].Born++
		tab.Update(tab.model.Service, list, nil, allDiscovered("h0"), now)
		tab.Pause(&choice, c.asked, now)
		mustPick(t, tab, &Request{}, now)
	}
}

// TestPauseOfRestartedServer guards against requests in a pause that a server has requested right after it has
// started again under its identifier, when the last list still named its former process. It also guards against a
// pause of the former process that applies to the new one.
func TestPauseOfRestartedServer(t *testing.T) {
	const age, pause = time.Second, 8 * time.Second // of the list when the server responds
	for name, c := range map[string]struct {
		at   time.Duration // of the response, from the list on
		kept bool
	}{
		"after the list": {age, true}, "before the list": {-age, false},
	} {
		tab := newTable(1)
		choice := mustPick(t, tab, &Request{}, epoch)
		tab.Pause(&choice, pause, epoch.Add(c.at))
		list := entries(1)
		list[0].Born++
		listed := epoch.Add(age + 200*time.Millisecond)
		tab.Update(tab.model.Service, list, nil, allDiscovered("h0"), listed)
		if _, ok := tab.Pick(&Request{}, listed); ok == c.kept {
			t.Errorf("%s: chosen %v, want %v", name, ok, !c.kept)
		}
		mustPick(t, tab, &Request{}, epoch.Add(c.at+pause))
	}
}
