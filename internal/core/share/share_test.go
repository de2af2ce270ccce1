package share

import (
	"fmt"
	"testing"
	"time"
)

var epoch = time.Unix(1_700_000_000, 0)

// fleet is a number of hosts with one organisation. Reports between hosts of
// different groups take place at intervals, those within a group more often.
type fleet struct {
	books []*Book
	runs  []uint64 // of the books' processes
	at    time.Duration
	near  time.Duration
	far   time.Duration
	group func(i int) int
	cut   func(i, j int, at time.Duration) bool
	// delay is the time that a report of a region takes to all hosts of
	// another one. With 0, hosts of different groups report to each other
	// themselves.
	delay  time.Duration
	queued []queued
}

// queued is a report of a region on its way.
type queued struct {
	due    time.Duration
	to     int
	report Report
}

const org = "workshop"

// run sends demand tokens a second in all, evenly over the hosts, in requests
// of size tokens, and returns the tokens that were admitted per step.
func (f *fleet) run(limit Limit, demand, size float64, d time.Duration) []float64 {
	const step = 10 * time.Millisecond
	admitted := make([]float64, d/step)
	due := make([]float64, len(f.books))
	for n := range admitted {
		at := f.at
		f.at += step
		now := epoch.Add(at)
		for i, b := range f.books {
			due[i] += demand / float64(len(f.books)) * step.Seconds()
			for due[i] >= size {
				due[i] -= size
				if b.Take(org, limit, size, now).Admitted {
					admitted[n] += size
				}
			}
		}
		f.exchange(at)
	}
	return admitted
}

// exchange delivers the reports that are due at a time.
func (f *fleet) exchange(at time.Duration) {
	if f.delay > 0 {
		f.sum(at)
	}
	for i, from := range f.books {
		for j, to := range f.books {
			every := f.far
			if f.group(i) == f.group(j) {
				every = f.near
			} else if f.delay > 0 {
				continue
			}
			if i == j || at%every != 0 || f.cut != nil && f.cut(i, j, at) {
				continue
			}
			to.Hear(Report{Name: fmt.Sprint("h", i), Run: f.runs[i], Spent: from.Spent()}, epoch.Add(at))
		}
	}
}

// sum queues the reports of two hosts of each group, in turn, and delivers
// those that have arrived.
func (f *fleet) sum(at time.Duration) {
	carriers := make(map[int]int)
	for i, b := range f.books {
		g := f.group(i)
		n := carriers[g]
		carriers[g]++
		if n > 1 || at%f.near != 0 {
			continue
		}
		if moved := b.Moved(); !moved && at%f.far != time.Duration(n)*f.near {
			continue
		}
		var others []string
		for j := range f.books {
			if j != i && f.group(j) == g {
				others = append(others, fmt.Sprint("h", j))
			}
		}
		r := b.Sum(fmt.Sprint("h", i), f.runs[i], others)
		r.Name = fmt.Sprint("region", g)
		for j := range f.books {
			if f.group(j) != g && (f.cut == nil || !f.cut(i, j, at)) {
				f.queued = append(f.queued, queued{at + f.delay, j, r})
			}
		}
	}
	for len(f.queued) > 0 && f.queued[0].due <= at {
		q := f.queued[0]
		f.queued = f.queued[1:]
		f.books[q.to].Hear(q.report, epoch.Add(at))
	}
}

func newFleet(n, groups int, fresh bool) *fleet {
	f := &fleet{near: 200 * time.Millisecond, far: 600 * time.Millisecond, group: func(i int) int { return i % groups }}
	for range n {
		f.books = append(f.books, NewBook(fresh))
		f.runs = append(f.runs, 1)
	}
	return f
}

// restart replaces a host by a new process.
func (f *fleet) restart(i int) {
	f.books[i] = NewBook(false)
	f.runs[i]++
}

// worst returns the most that was admitted in any window of d.
func worst(admitted []float64, d time.Duration) float64 {
	n := int(d / (10 * time.Millisecond))
	sum, most := 0.0, 0.0
	for i, v := range admitted {
		sum += v
		if i >= n {
			sum -= admitted[i-n]
		}
		most = max(most, sum)
	}
	return most
}

// wantAtMost checks that no more than a tenth and 190,000 tokens beyond the
// limit were admitted in any 8 s.
func wantAtMost(t *testing.T, limit Limit, admitted []float64) {
	t.Helper()
	if most, bound := worst(admitted, 8*time.Second), (limit.Rate*8+limit.Burst)*1.1+190_000; most > bound {
		t.Errorf("admitted %.0f in 8 s, at most %.0f allowed", most, bound)
	}
}

// wantMost checks that nine tenths of the limit were admitted in 10 s.
func wantMost(t *testing.T, limit Limit, admitted []float64) {
	t.Helper()
	if n := sum(admitted); n < 0.9*limit.Rate*10 {
		t.Errorf("admitted %.0f in 10 s, want nine tenths of %.0f", n, limit.Rate*10)
	}
}

func sum(list []float64) float64 {
	n := 0.0
	for _, v := range list {
		n += v
	}
	return n
}

// TestHotOrganisation is the load of an organisation that sends several times
// its limit. It guards against more than a tenth and 190,000 tokens beyond the
// limit in any 8 s, and against less than nine tenths of it.
func TestHotOrganisation(t *testing.T) {
	limit := Limit{Rate: 350_000, Burst: 350_000}
	for _, n := range []int{1, 7, 8, 25} {
		for _, times := range []float64{1.2, 2, 4} {
			t.Run(fmt.Sprintf("%d hosts, %v times", n, times), func(t *testing.T) {
				got := newFleet(n, min(n, 3), true).run(limit, times*limit.Rate, 2000, 20*time.Second)
				wantAtMost(t, limit, got)
				wantMost(t, limit, got[1000:])
			})
		}
	}
}

// TestHotOrganisationOverRegions is the load of TestHotOrganisation, with regions
// that report in sum and hosts in their midst that were restarted.
func TestHotOrganisationOverRegions(t *testing.T) {
	limit := Limit{Rate: 350_000, Burst: 350_000}
	for _, n := range []int{7, 25, 75} {
		for _, times := range []float64{1.2, 2, 4} {
			t.Run(fmt.Sprintf("%d hosts, %v times", n, times), func(t *testing.T) {
				f := newFleet(n, 3, true)
				f.delay = 350 * time.Millisecond
				got := f.run(limit, times*limit.Rate, 2000, 10*time.Second)
				f.restart(0)
				f.restart(n - 1)
				got = append(got, f.run(limit, times*limit.Rate, 2000, 10*time.Second)...)
				wantAtMost(t, limit, got)
				wantMost(t, limit, got[1000:])
			})
		}
	}
}

// TestWithinLimit guards against rejections of an organisation that stays
// within its limit.
func TestWithinLimit(t *testing.T) {
	limit := Limit{Rate: 350_000, Burst: 350_000}
	got := newFleet(7, 3, true).run(limit, 0.8*limit.Rate, 2000, 10*time.Second)
	if n, want := sum(got), 0.8*limit.Rate*10; n < 0.999*want {
		t.Errorf("admitted %.0f of %.0f", n, want)
	}
}

// TestPartition guards against parts of a divided system that each admit the
// whole limit.
func TestPartition(t *testing.T) {
	limit := Limit{Rate: 350_000, Burst: 350_000}
	f := newFleet(7, 3, true)
	f.cut = func(i, j int, at time.Duration) bool {
		return f.group(i) != f.group(j) && at > 4*time.Second && at < 12*time.Second
	}
	got := f.run(limit, 3*limit.Rate, 2000, 20*time.Second)
	wantAtMost(t, limit, got)
}

// TestRestart guards against a new burst after all hosts were restarted.
func TestRestart(t *testing.T) {
	limit := Limit{Rate: 350_000, Burst: 350_000}
	before := newFleet(7, 3, true).run(limit, 3*limit.Rate, 2000, 8*time.Second)
	after := newFleet(7, 3, false).run(limit, 3*limit.Rate, 2000, 8*time.Second)
	both := append(before, after...)
	wantAtMost(t, limit, both)
}

// TestRetryTime guards against telling a rejected caller a time at which it
// would be rejected again.
func TestRetryTime(t *testing.T) {
	b := NewBook(true)
	limit := Limit{Rate: 100, Burst: 100}
	if !b.Take(org, limit, 100, epoch).Admitted {
		t.Fatal("the first burst was rejected")
	}
	v := b.Take(org, limit, 50, epoch)
	if v.Admitted {
		t.Fatal("admitted beyond the burst")
	}
	if !b.Take(org, limit, 50, epoch.Add(v.Wait)).Admitted {
		t.Errorf("rejected again after the stated %v", v.Wait)
	}
}

// TestUnlimited guards against a limit where none is set.
func TestUnlimited(t *testing.T) {
	b := NewBook(false)
	for range 100 {
		if !b.Take(org, Limit{}, 1e9, epoch).Admitted {
			t.Fatal("rejected without a limit")
		}
	}
}

// TestRestartedPeer guards against counting a restarted host's total from its
// former one, which would give back what it admits.
func TestRestartedPeer(t *testing.T) {
	b := NewBook(true)
	limit := Limit{Rate: 100, Burst: 1000}
	b.Take(org, limit, 1, epoch)
	b.Hear(Report{Name: "h1", Run: 1, Spent: map[string]float64{org: 500}}, epoch)
	b.Hear(Report{Name: "h1", Run: 2, Spent: map[string]float64{org: 400}}, epoch.Add(time.Second))
	if b.Take(org, limit, 900, epoch.Add(time.Second)).Admitted {
		t.Error("the 400 tokens that the restarted host admitted are not counted")
	}
}

// TestRefund is the load of a system that refuses requests because its servers
// are full. It guards against tokens that such requests take from those that
// come later, on this host and on others.
func TestRefund(t *testing.T) {
	limit := Limit{Rate: 1000, Burst: 1000}
	f := newFleet(2, 1, true)
	for step := range 100 {
		at := time.Duration(step) * 100 * time.Millisecond
		for _, b := range f.books {
			if !b.Take(org, limit, 400, epoch.Add(at)).Admitted {
				t.Fatalf("rejected after %v although nothing has run", at)
			}
			b.Refund(org, 400)
		}
		f.exchange(at)
	}
}

// TestNoRefundAtLimit is the load of a hot organisation while servers are full.
// It guards against refused requests that are tried again and again at the
// expense of other organisations.
func TestNoRefundAtLimit(t *testing.T) {
	b := NewBook(true)
	limit := Limit{Rate: 1000, Burst: 1000}
	tried := 0
	for range 50 {
		if b.Take(org, limit, 100, epoch).Admitted {
			tried++
			if tried > 6 {
				b.Refund(org, 100)
			}
		}
	}
	if tried > 10 {
		t.Errorf("%d requests were tried with a burst for 10", tried)
	}
}

// TestNewAccount is the load of a restarted host, to which the first requests of
// an organisation come after the first reports of the others. It guards against
// taking all that they have admitted since their start from the new account:
// the organisation would be rejected for as long as that took them.
func TestNewAccount(t *testing.T) {
	b := NewBook(false)
	limit := Limit{Rate: 1000, Burst: 1000}
	total := 60 * limit.Rate
	at := epoch
	for range 20 {
		b.Hear(Report{Name: "h1", Run: 1, Spent: map[string]float64{org: total}}, at)
		for range 10 {
			at = at.Add(10 * time.Millisecond)
			b.Take(org, limit, 1, at)
		}
	}
	if v := b.Take(org, limit, 10, at); !v.Admitted {
		t.Errorf("rejected for %v although nobody has admitted anything for 2 s", v.Wait)
	}
}
