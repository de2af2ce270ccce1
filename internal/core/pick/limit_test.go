package pick

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/yuccalb/yuccalb/internal/core/roster"
	"github.com/yuccalb/yuccalb/internal/fake/limits"
)

// limitedRegion simulates hosts of a region that send as many requests as they may to a
// server, which names a limit in each response while limited is set.
type limitedRegion struct {
	tables []*Table
	// latency is the time to a response, reports the interval between reports.
	latency, reports time.Duration
	limit            float64
	limited          bool

	// rosters and views are those of the hosts, of which connected ones know each other, if
	// which hosts there are changes.
	rosters   []roster.Roster
	views     []roster.View
	connected int

	now      time.Time
	answers  []answer
	reported time.Time
	// arrivals are the times of all requests.
	arrivals []time.Time
}

// answer is a response on its way to a host.
type answer struct {
	at      time.Time
	table   *Table
	choice  Choice
	limited bool
}

// newLimitedRegion returns n hosts and a server with a limit.
func newLimitedRegion(n int, limit float64) *limitedRegion {
	r := &limitedRegion{latency: 200 * time.Millisecond, reports: 300 * time.Millisecond, limit: limit, limited: true, now: epoch}
	var names []string
	for i := range n {
		names = append(names, fmt.Sprint("h", i))
	}
	for i := range n {
		tab := NewTable(engine, rand.New(rand.NewPCG(uint64(i), 1)))
		tab.Update(engine, entries(1), nil, RegionHosts{Self: names[i], Hosts: names, Discovered: true}, epoch)
		r.tables = append(r.tables, tab)
	}
	return r
}

// run sends requests for d, one from each host every pause if it may.
func (r *limitedRegion) run(d, pause time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); r.now = r.now.Add(pause) {
		for len(r.answers) > 0 && !r.answers[0].at.After(r.now) {
			a := r.answers[0]
			r.answers = r.answers[1:]
			if a.limited {
				a.table.NameLimit(&a.choice, r.limit, r.now)
			} else {
				a.table.EndLimit(&a.choice, r.now)
			}
			a.table.FirstByte(&a.choice, r.now)
			a.table.Done(&a.choice, Served, r.now)
		}
		if r.now.Sub(r.reported) >= r.reports {
			r.reported = r.now
			r.look()
			r.exchange()
		}
		for _, tab := range r.tables {
			if c, ok := tab.Pick(&Request{Prompt: 10}, r.now); ok {
				r.arrivals = append(r.arrivals, r.now)
				r.answers = append(r.answers, answer{r.now.Add(r.latency), tab, c, r.limited})
			}
		}
	}
}

// exchange sends the limits that each host knows of to all others.
func (r *limitedRegion) exchange() {
	for _, from := range r.tables {
		list := from.Limits(r.now)
		for _, to := range r.tables {
			if from != to {
				to.MergeLimits(list, r.now)
			}
		}
	}
}

// since returns the arrivals from a time on.
func (r *limitedRegion) since(at time.Time) []time.Time {
	i, _ := slices.BinarySearchFunc(r.arrivals, at, time.Time.Compare)
	return r.arrivals[i:]
}

// checkBound checks that no window of the given arrivals exceeds the limit.
func (r *limitedRegion) checkBound(t *testing.T, when string, times []time.Time) {
	t.Helper()
	if got, want := limits.Most(times), limits.Allowed(r.limit); got > want {
		t.Errorf("%s: %d requests within %v to a server that takes %v a second, want at most %d", when, got, limits.Window, r.limit, want)
	}
}

// TestNamedLimit guards against hosts that together exceed the limit that a server
// names for all of them, however many they are, and against a server that gets much
// less than it takes because its limit is divided among too many of them.
func TestNamedLimit(t *testing.T) {
	for _, n := range []int{1, 2, 3, 7, 30, 125} {
		for _, limit := range []float64{0, 0.3, 1, 1.6, 2.3, 5.1, 12, 40} {
			t.Run(fmt.Sprintf("%d hosts, %v a second", n, limit), func(t *testing.T) {
				r := newLimitedRegion(n, limit)
				r.run(time.Second, 20*time.Millisecond)
				learnt := r.now
				r.run(12*time.Second, 20*time.Millisecond)
				r.checkBound(t, "under constant load", r.since(learnt))
				want := int(0.8 * limit * 12)
				if got := len(r.since(learnt)); got < want || got == 0 {
					t.Errorf("%d requests in 12 s, want at least %d", got, want)
				}
			})
		}
	}
}

// TestNamedLimitAfterPause guards against hosts that save up requests while there are
// none and then exceed the limit of a server together.
func TestNamedLimitAfterPause(t *testing.T) {
	for _, n := range []int{3, 30} {
		r := newLimitedRegion(n, 1.6)
		r.run(2*time.Second, 10*time.Millisecond)
		r.now = r.now.Add(30 * time.Second)
		begin := r.now
		r.run(8*time.Second, 10*time.Millisecond)
		r.checkBound(t, fmt.Sprintf("%d hosts after 30 s without requests", n), r.since(begin))
	}
}

// TestNamedLimitChanges guards against a former limit that stays in use after the
// server has named another, and against a server that is not used in full soon
// after it has stopped naming one, also by hosts that had no part in the limit.
func TestNamedLimitChanges(t *testing.T) {
	r := newLimitedRegion(30, 8)
	r.run(5*time.Second, 10*time.Millisecond)
	r.limit = 2
	r.run(2*time.Second, 10*time.Millisecond)
	lowered := r.now
	r.run(6*time.Second, 10*time.Millisecond)
	r.checkBound(t, "after a lower limit", r.since(lowered))
	r.limited = false
	r.run(2*time.Second, 10*time.Millisecond)
	ended := r.now
	r.run(time.Second, 10*time.Millisecond)
	if got, want := len(r.since(ended)), 30*100; got != want {
		t.Errorf("%d requests in the third second after the end of the limit, want all %d", got, want)
	}
}

// TestNamedLimitLowered guards against hosts that have no part in a lower limit any
// more and each send the requests that they have saved under the former limit.
func TestNamedLimitLowered(t *testing.T) {
	r := newLimitedRegion(60, 40)
	r.run(2*time.Second, 10*time.Millisecond)
	r.now = r.now.Add(30 * time.Second)
	for _, tab := range r.tables {
		tab.Expect(&Request{}, r.now)
	}
	r.limit = 1
	for p := range r.tables[0].limits {
		for _, tab := range r.tables {
			tab.MergeLimits([]ServerLimit{{Process: p, Value: r.limit}}, r.now)
		}
	}
	lowered := r.now
	r.run(8*time.Second, 10*time.Millisecond)
	r.checkBound(t, "after a lower limit", r.since(lowered))
}

// TestNamedLimitOvertaken guards against the end of a limit by a response to a request
// from before the limit, which arrives late, against an older report of another host
// that replaces what a newer response has shown, and against reports that hosts pass on
// to each other, which would seem newer each time.
func TestNamedLimitOvertaken(t *testing.T) {
	tab := newTable(1)
	now := epoch
	before := mustPick(t, tab, &Request{}, now)
	c := mustPick(t, tab, &Request{}, now)
	want := LimitChange{Server: c.ID, Limit: 2, Part: 2}
	if got, changed := tab.NameLimit(&c, 2, now.Add(time.Second)); got != want || !changed {
		t.Errorf("first limit: %+v, changed %v", got, changed)
	}
	if _, changed := tab.NameLimit(&c, 2, now.Add(2*time.Second)); changed {
		t.Error("the same limit is reported as a change")
	}
	if _, ended := tab.EndLimit(&before, now.Add(3*time.Second)); ended {
		t.Error("the limit ended by a response to a request from before it")
	}
	now = now.Add(4 * time.Second)
	after := mustPick(t, tab, &Request{}, now)
	if !after.Limited || after.Limit != 2 {
		t.Errorf("limit of the choice: %v, %v", after.Limit, after.Limited)
	}
	p := after.Process()
	if got := tab.MergeLimits([]ServerLimit{{Process: p, Ended: true, Age: 3 * time.Second}}, now); len(got) != 0 {
		t.Errorf("an older report changed the limit: %+v", got)
	}
	if n, _ := tab.LimitedServers(); n != 1 {
		t.Error("the limit ended by an older report")
	}
	if _, ended := tab.EndLimit(&after, now.Add(time.Second)); !ended {
		t.Error("the limit has not ended")
	}
	tab.MergeLimits([]ServerLimit{{Process: p, Value: 1, Age: 2 * time.Second}}, now.Add(time.Second))
	if n, rate := tab.LimitedServers(); n != 0 {
		t.Errorf("an older report brought back a limit of %v", rate)
	}
	changes := tab.MergeLimits([]ServerLimit{{Process: p, Value: 1}}, now.Add(2*time.Second))
	if diff := cmp.Diff([]LimitChange{{Server: p.ID, Limit: 1, Part: 1}}, changes); diff != "" {
		t.Errorf("changes by a newer report (-want +got):\n%s", diff)
	}
	if got := tab.Limits(now.Add(2 * time.Second)); len(got) != 0 {
		t.Errorf("what another host reported is passed on, with a later time: %+v", got)
	}
}

// TestNamedLimitOfProcess guards against a limit that is lost while the entry of its
// server is missing for a moment, and against one that applies to a new process with
// the identifier and address of the former.
func TestNamedLimitOfProcess(t *testing.T) {
	tab := newTable(1)
	now := epoch
	c := mustPick(t, tab, &Request{}, now)
	tab.NameLimit(&c, 2, now)
	list := entries(1)
	tab.Update(engine, nil, nil, allDiscovered("h0"), now)
	tab.Update(engine, list, nil, allDiscovered("h0"), now)
	if n, _ := tab.LimitedServers(); n != 1 {
		t.Error("the limit was lost with the entry")
	}
	list[0].Born++
	tab.Update(engine, list, nil, allDiscovered("h0"), now)
	for range 20 {
		mustPick(t, tab, &Request{}, now)
	}
	tab.NameLimit(&c, 2, now) // a late response of the former process
	mustPick(t, tab, &Request{}, now)
}

// TestNamedLimitForgotten guards against a server that gets few requests for ever on a
// host that missed the end of its limit.
func TestNamedLimitForgotten(t *testing.T) {
	tab := newTable(1)
	c := mustPick(t, tab, &Request{}, epoch)
	tab.NameLimit(&c, 0, epoch)
	now := epoch.Add(limitTTL + time.Second)
	tab.Update(engine, entries(1), nil, allDiscovered("h0"), now)
	for range 20 {
		mustPick(t, tab, &Request{}, now)
	}
}

// TestNamedLimitOfStartedHost guards against a host that sends requests to a limited
// server before it knows with which hosts it shares the limit, and against one that
// does not learn a limit from the reports of the others.
func TestNamedLimitOfStartedHost(t *testing.T) {
	r := newLimitedRegion(3, 2)
	r.run(time.Second, 10*time.Millisecond)
	tab := NewTable(engine, rand.New(rand.NewPCG(1, 2)))
	tab.Update(engine, entries(1), nil, RegionHosts{Self: "h3", Hosts: []string{"h3"}}, r.now)
	tab.MergeLimits(r.tables[0].Limits(r.now), r.now)
	for range 30 {
		r.now = r.now.Add(50 * time.Millisecond)
		if _, ok := tab.Pick(&Request{}, r.now); ok {
			t.Fatal("a request was sent before the other hosts were discovered")
		}
	}
}

// TestAllServersLimited guards against callers that are told to come back at a time at
// which no host accepts a request, or long after one does.
func TestAllServersLimited(t *testing.T) {
	hosts := []string{"h0", "h1", "h2", "h3", "h4", "h5"}
	parts := 0
	for _, self := range hosts {
		tab := newTable(2)
		order := append([]string{self}, slices.DeleteFunc(slices.Clone(hosts), func(h string) bool { return h == self })...)
		tab.Update(engine, entries(2), nil, allDiscovered(order...), epoch)
		now := epoch
		for range 2 {
			c := mustPick(t, tab, &Request{}, now)
			tab.NameLimit(&c, 2, now)
		}
		tab.MergeLimits([]ServerLimit{{Process: Process{"s0", 1}, Value: 2}, {Process: Process{"s1", 1}, Value: 2}}, now.Add(time.Millisecond))
		w, ok := tab.ShortestWait(&Request{}, now)
		if !ok || !w.Limited {
			t.Fatalf("%s: no wait because of a limit: %v, %v", self, w, ok)
		}
		if _, ok := tab.Pick(&Request{}, now.Add(w.For-10*time.Millisecond)); ok {
			t.Errorf("%s: a request was accepted before the wait of %v", self, w.For)
		}
		if _, ok := tab.Pick(&Request{}, now.Add(w.For+time.Millisecond)); ok {
			parts++
		} else if w.For != time.Second/2 {
			t.Errorf("%s has no part in a limit: wait %v, want the 500ms between two requests of all hosts", self, w.For)
		}
	}
	if parts == 0 {
		t.Error("no host accepts a request")
	}
}

// TestWaitForFailedServer guards against callers that are told of a limit although the
// only server has failed.
func TestWaitForFailedServer(t *testing.T) {
	tab := newTable(1)
	c := mustPick(t, tab, &Request{}, epoch)
	tab.Done(&c, NoConnect, epoch)
	if w, ok := tab.ShortestWait(&Request{}, epoch); ok {
		t.Errorf("wait for a failed server: %+v, want none", w)
	}
}

// TestLimitedServerInSummary guards against a region that draws requests from others
// as if its servers could take them, although they have got what their limits allow,
// and against one that seems to have no servers because of limits: requests that must
// be served there would all be refused.
func TestLimitedServerInSummary(t *testing.T) {
	tab := newTable(1)
	c := mustPick(t, tab, &Request{}, epoch)
	tab.NameLimit(&c, 1, epoch)
	for _, c := range []struct {
		after, least, most time.Duration
		limited            bool
	}{
		{0, time.Second, 1100 * time.Millisecond, true},
		{600 * time.Millisecond, 400 * time.Millisecond, 500 * time.Millisecond, true},
		{2 * time.Second, 0, 100 * time.Millisecond, false},
	} {
		got := tab.Summary(epoch.Add(c.after))
		if got.Servers != 1 || got.Wait < c.least || got.Wait > c.most || got.Limited != c.limited {
			t.Errorf("%v after a request: %+v, want one server, a wait from %v to %v, limited %v", c.after, got, c.least, c.most, c.limited)
		}
	}
}

// TestNamedLimitUsed guards against requests that are refused although the server takes
// more: with few hosts, calls at random times at four fifths of the limit are
// served to four fifths, since each host may send several requests at once.
func TestNamedLimitUsed(t *testing.T) {
	const load = 0.8
	for _, limit := range []float64{5, 20, 40} {
		r := newLimitedRegion(3, limit)
		for _, tab := range r.tables {
			tab.MergeLimits([]ServerLimit{{Process: Process{"s0", 1}, Value: limit}}, epoch)
		}
		rng := rand.New(rand.NewPCG(1, 2))
		sent, served := 0, 0
		for now := epoch; now.Sub(epoch) < 50*time.Second; sent++ {
			now = now.Add(time.Duration(rng.ExpFloat64() / (limit * load) * float64(time.Second)))
			tab := r.tables[rng.IntN(len(r.tables))]
			if c, ok := tab.Pick(&Request{Prompt: 10}, now); ok {
				tab.Done(&c, Served, now)
				served++
			}
		}
		if share := float64(served) / float64(sent); share < 0.8 {
			t.Errorf("limit of %v a second: %.2f of the requests served, want 0.8", limit, share)
		}
	}
}

// TestNamedLimitOfHostsCutOff guards against hosts that together exceed the limit of a server, since
// they are cut off one after the other and those that remain divide their parts as well.
func TestNamedLimitOfHostsCutOff(t *testing.T) {
	for _, n := range []int{2, 3, 4} {
		for _, limit := range []float64{2, 5, 20} {
			r := newLimitedRegion(n, limit)
			r.rosters = make([]roster.Roster, n)
			for i := range r.rosters {
				r.rosters[i].First = true
			}
			r.setConnected(n)
			r.run(5*time.Second, 10*time.Millisecond)
			for left := n - 1; left > 0; left-- {
				r.setConnected(left)
				begin := r.now
				r.run(20*time.Second, 10*time.Millisecond)
				r.checkBound(t, fmt.Sprintf("%d hosts, %d cut off", n, n-left), r.since(begin))
			}
			if got, want := len(r.since(r.now.Add(-4*time.Second))), int(0.8*limit*4); got < want {
				t.Errorf("%d hosts, one left: %d requests in 4 s, want at least %d", n, got, want)
			}
		}
	}
}

// setConnected lets the first n hosts know only of each other from now on, and cuts the others off.
func (r *limitedRegion) setConnected(n int) {
	for len(r.views) < len(r.tables) {
		r.views = append(r.views, roster.View{Self: fmt.Sprint("h", len(r.views))})
	}
	var names []string
	var peers []roster.Peer
	for i := range n {
		names = append(names, r.views[i].Self)
		peers = append(peers, roster.Peer{Name: r.views[i].Self})
	}
	for i := range r.views {
		r.views[i].Peers = nil
		if i < n {
			r.views[i].Listed, r.views[i].Peers = names, slices.Delete(slices.Clone(peers), i, i+1)
		}
	}
	r.connected = n
}

// look updates which hosts each one divides limits among.
func (r *limitedRegion) look() {
	for i := range r.rosters {
		v := &r.views[i]
		if i < r.connected {
			v.ListedAt, v.EntryAt, v.RenewedAt = r.now, epoch, r.now
		}
		for k := range v.Peers {
			v.Peers[k].Echo = r.now
		}
		m := r.rosters[i].Update(*v, r.now)
		r.tables[i].SetHosts(RegionHosts{Self: v.Self, Hosts: m.Names, Until: m.Until, Discovered: true}, r.now)
	}
}
