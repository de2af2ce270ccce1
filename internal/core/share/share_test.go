package share

import (
	"fmt"
	"testing"
	"time"
)

var epoch = time.Unix(1_700_000_000, 0)

// fleet simulates a number of hosts with one organisation. Each group of hosts is
// a region.
type fleet struct {
	limiters []*Limiter
	runs     []uint64 // of the limiters' processes
	at       time.Duration
	local    time.Duration // interval of reports within a group
	remote   time.Duration // interval of reports between groups
	group    func(i int) int
	// cut reports whether host i can't reach host j.
	cut func(i, j int, at time.Duration) bool
	// delay is the time that the report of a region takes to all hosts of
	// another one. If it is 0, hosts of different groups report to each other
	// directly, without reports of their regions.
	delay  time.Duration
	queued []queued
}

// queued is a report of a region in transit.
type queued struct {
	due    time.Duration
	to     int
	report Report
}

const org = "workshop"

// run sends demand tokens per second in total, spread evenly over the hosts, in
// requests of size tokens, and returns the tokens admitted per step.
func (f *fleet) run(limit Limit, demand, size float64, d time.Duration) []float64 {
	const step = 10 * time.Millisecond
	admitted := make([]float64, d/step)
	due := make([]float64, len(f.limiters))
	for n := range admitted {
		at := f.at
		f.at += step
		now := epoch.Add(at)
		for i, l := range f.limiters {
			due[i] += demand / float64(len(f.limiters)) * step.Seconds()
			for due[i] >= size {
				due[i] -= size
				if l.Take(org, limit, size, now).Admitted {
					admitted[n] += size
				}
			}
		}
		f.exchange(at)
	}
	return admitted
}

// exchange delivers the reports that are due at the given time.
func (f *fleet) exchange(at time.Duration) {
	if f.delay > 0 {
		f.reportRegions(at)
	}
	for i, from := range f.limiters {
		for j, to := range f.limiters {
			every := f.remote
			if f.group(i) == f.group(j) {
				every = f.local
			} else if f.delay > 0 {
				continue
			}
			if i == j || at%every != 0 || f.cut != nil && f.cut(i, j, at) {
				continue
			}
			to.Merge(Report{Name: fmt.Sprint("h", i), Run: f.runs[i], Admitted: from.Admitted()}, epoch.Add(at))
		}
	}
}

// reportRegions queues the reports of regions, which the first two hosts of each
// group send alternately, and delivers those that have arrived.
func (f *fleet) reportRegions(at time.Duration) {
	reporters := make(map[int]int)
	for i, l := range f.limiters {
		g := f.group(i)
		n := reporters[g]
		reporters[g]++
		if n > 1 || at%f.local != 0 {
			continue
		}
		if due := l.ReportDue(); !due && at%f.remote != time.Duration(n)*f.local {
			continue
		}
		var others []string
		for j := range f.limiters {
			if j != i && f.group(j) == g {
				others = append(others, fmt.Sprint("h", j))
			}
		}
		r := l.RegionReport(fmt.Sprint("h", i), f.runs[i], others)
		r.Name = fmt.Sprint("region", g)
		for j := range f.limiters {
			if f.group(j) != g && (f.cut == nil || !f.cut(i, j, at)) {
				f.queued = append(f.queued, queued{at + f.delay, j, r})
			}
		}
	}
	for len(f.queued) > 0 && f.queued[0].due <= at {
		q := f.queued[0]
		f.queued = f.queued[1:]
		f.limiters[q.to].Merge(q.report, epoch.Add(at))
	}
}

func newFleet(n, groups int, fresh bool) *fleet {
	f := &fleet{local: 200 * time.Millisecond, remote: 600 * time.Millisecond, group: func(i int) int { return i % groups }}
	for range n {
		f.limiters = append(f.limiters, NewLimiter(fresh))
		f.runs = append(f.runs, 1)
	}
	return f
}

// restart replaces a host by a new process.
func (f *fleet) restart(i int) {
	f.limiters[i] = NewLimiter(false)
	f.runs[i]++
}

// maxInWindow returns the most tokens that were admitted in any window of d.
func maxInWindow(admitted []float64, d time.Duration) float64 {
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

// wantAtMost checks that in any 8 s no more was admitted than the limit, a tenth
// of it and 190,000 tokens.
func wantAtMost(t *testing.T, limit Limit, admitted []float64) {
	t.Helper()
	if most, bound := maxInWindow(admitted, 8*time.Second), (limit.Rate*8+limit.Burst)*1.1+190_000; most > bound {
		t.Errorf("admitted %.0f in 8 s, at most %.0f allowed", most, bound)
	}
}

// wantAtLeast checks that nine tenths of the limit were admitted in 10 s.
func wantAtLeast(t *testing.T, limit Limit, admitted []float64) {
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

// TestOverLimit sends several times an organisation's limit. It guards against
// admitting more than the limit, a tenth of it and 190,000 tokens in any 8 s, and
// against admitting less than nine tenths of the limit.
func TestOverLimit(t *testing.T) {
	limit := Limit{Rate: 350_000, Burst: 350_000}
	for _, n := range []int{1, 7, 8, 25} {
		for _, times := range []float64{1.2, 2, 4} {
			t.Run(fmt.Sprintf("%d hosts, %v times", n, times), func(t *testing.T) {
				got := newFleet(n, min(n, 3), true).run(limit, times*limit.Rate, 2000, 20*time.Second)
				wantAtMost(t, limit, got)
				wantAtLeast(t, limit, got[1000:])
			})
		}
	}
}

// TestOverLimitAcrossRegions sends the load of TestOverLimit to regions that
// report the totals of their hosts, some of which are restarted.
func TestOverLimitAcrossRegions(t *testing.T) {
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
				wantAtLeast(t, limit, got[1000:])
			})
		}
	}
}

// TestWithinLimit guards against rejecting requests of an organisation that
// stays within its limit.
func TestWithinLimit(t *testing.T) {
	limit := Limit{Rate: 350_000, Burst: 350_000}
	got := newFleet(7, 3, true).run(limit, 0.8*limit.Rate, 2000, 10*time.Second)
	if n, want := sum(got), 0.8*limit.Rate*10; n < 0.999*want {
		t.Errorf("admitted %.0f of %.0f", n, want)
	}
}

// TestPartition guards against each side of a network partition admitting the
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

// TestRestart guards against admitting another full burst after all hosts have
// restarted.
func TestRestart(t *testing.T) {
	limit := Limit{Rate: 350_000, Burst: 350_000}
	before := newFleet(7, 3, true).run(limit, 3*limit.Rate, 2000, 8*time.Second)
	after := newFleet(7, 3, false).run(limit, 3*limit.Rate, 2000, 8*time.Second)
	both := append(before, after...)
	wantAtMost(t, limit, both)
}

// TestRetryTime guards against giving a rejected caller a retry time at which its
// request is rejected again.
func TestRetryTime(t *testing.T) {
	l := NewLimiter(true)
	limit := Limit{Rate: 100, Burst: 100}
	if !l.Take(org, limit, 100, epoch).Admitted {
		t.Fatal("the first burst was rejected")
	}
	v := l.Take(org, limit, 50, epoch)
	if v.Admitted {
		t.Fatal("admitted beyond the burst")
	}
	if !l.Take(org, limit, 50, epoch.Add(v.Wait)).Admitted {
		t.Errorf("rejected again after the stated %v", v.Wait)
	}
}

// TestUnlimited guards against rejecting requests although no limit is set.
func TestUnlimited(t *testing.T) {
	l := NewLimiter(false)
	for range 100 {
		if !l.Take(org, Limit{}, 1e9, epoch).Admitted {
			t.Fatal("rejected without a limit")
		}
	}
}

// TestRestartedPeer guards against comparing the total of a restarted host with
// that of its former process: the difference would be negative and add tokens.
func TestRestartedPeer(t *testing.T) {
	l := NewLimiter(true)
	limit := Limit{Rate: 100, Burst: 1000}
	l.Take(org, limit, 1, epoch)
	l.Merge(Report{Name: "h1", Run: 1, Admitted: map[string]float64{org: 500}}, epoch)
	l.Merge(Report{Name: "h1", Run: 2, Admitted: map[string]float64{org: 400}}, epoch.Add(time.Second))
	if l.Take(org, limit, 900, epoch.Add(time.Second)).Admitted {
		t.Error("the 400 tokens that the restarted host admitted are not counted")
	}
}

// TestRefund rejects requests after Take because all servers are full. It guards
// against such requests using up tokens of later ones, on this host and on
// others.
func TestRefund(t *testing.T) {
	limit := Limit{Rate: 1000, Burst: 1000}
	f := newFleet(2, 1, true)
	for step := range 100 {
		at := time.Duration(step) * 100 * time.Millisecond
		for _, l := range f.limiters {
			if !l.Take(org, limit, 400, epoch.Add(at)).Admitted {
				t.Fatalf("rejected after %v although nothing has run", at)
			}
			l.Refund(org, 400)
		}
		f.exchange(at)
	}
}

// TestNoRefundAtLimit sends an organisation's full limit while all servers are
// full. It guards against rejected requests that are retried without end at the
// expense of other organisations.
func TestNoRefundAtLimit(t *testing.T) {
	l := NewLimiter(true)
	limit := Limit{Rate: 1000, Burst: 1000}
	tried := 0
	for range 50 {
		if l.Take(org, limit, 100, epoch).Admitted {
			tried++
			if tried > 6 {
				l.Refund(org, 100)
			}
		}
	}
	if tried > 10 {
		t.Errorf("%d requests were tried with a burst for 10", tried)
	}
}

// TestNewBucket sends an organisation's first requests to a restarted host after
// the first reports of its peers. It guards against withdrawing all that the
// peers have admitted since their start from the new bucket: the organisation
// would be rejected for as long as its peers took to admit it.
func TestNewBucket(t *testing.T) {
	l := NewLimiter(false)
	limit := Limit{Rate: 1000, Burst: 1000}
	total := 60 * limit.Rate
	at := epoch
	for range 20 {
		l.Merge(Report{Name: "h1", Run: 1, Admitted: map[string]float64{org: total}}, at)
		for range 10 {
			at = at.Add(10 * time.Millisecond)
			l.Take(org, limit, 1, at)
		}
	}
	if v := l.Take(org, limit, 10, at); !v.Admitted {
		t.Errorf("rejected for %v although no peer has admitted anything for 2 s", v.Wait)
	}
}

// TestOfHostsCutOff guards against hosts that are cut off one after the other and together exceed the
// limit of an organisation: those that remain divide the parts of the others as well, once these are no
// longer registered.
func TestOfHostsCutOff(t *testing.T) {
	const hosts, interval, registered = 7, 20 * time.Second, 12 * time.Second
	limit := Limit{Rate: 350_000, Burst: 350_000}
	for _, groups := range []int{1, 3} {
		f := newFleet(hosts, groups, true)
		cutAt := func(i int) time.Duration { return time.Duration(i+1) * interval }
		f.cut = func(i, j int, at time.Duration) bool { return at > cutAt(i) || at > cutAt(j) }
		var got []float64
		for range int((hosts - 1) * interval / time.Second) {
			got = append(got, f.run(limit, 3*limit.Rate, 2000, time.Second)...)
			for i, l := range f.limiters {
				var known []string
				for j := range hosts {
					if f.at < cutAt(j)+registered || i != j && f.at > cutAt(i) && cutAt(i) < cutAt(j)+registered {
						known = append(known, fmt.Sprint("h", j))
					}
				}
				l.Retain(known)
				l.SetHolding(f.at < cutAt(i)+6*time.Second)
			}
		}
		wantAtMost(t, limit, got)
		wantAtLeast(t, limit, got[len(got)-1000:])
	}
}

// TestOfRegionCutOffForLong guards against a region that is cut off and goes on with its share of an
// organisation's limit after the others have removed its report and use the whole limit.
func TestOfRegionCutOffForLong(t *testing.T) {
	const begin, removed, lapsed = 5 * time.Second, 20 * time.Second, 15 * time.Second
	limit := Limit{Rate: 350_000, Burst: 350_000}
	f := newFleet(7, 3, true)
	f.delay = 350 * time.Millisecond
	f.cut = func(i, j int, at time.Duration) bool {
		return at > begin && (f.group(i) == 0) != (f.group(j) == 0)
	}
	var got []float64
	for range 45 {
		got = append(got, f.run(limit, 3*limit.Rate, 2000, time.Second)...)
		for i, l := range f.limiters {
			known := []string{"region1", "region2"}
			if f.at < begin+removed || f.group(i) == 0 {
				known = append(known, "region0")
			}
			for j := range f.limiters {
				if f.group(j) == f.group(i) {
					known = append(known, fmt.Sprint("h", j))
				}
			}
			l.SetHolding(f.group(i) != 0 || f.at < begin+lapsed)
			l.Retain(known)
		}
	}
	wantAtMost(t, limit, got)
	wantAtLeast(t, limit, got[len(got)-1000:])
}

// TestSmallRequestsBesideLarge guards against an organisation far over its limit whose
// large requests, admitted by several hosts at once, overdraw the bucket, so that its small
// ones are refused although they need less than the limit. The load is one of many hosts
// with reports at intervals.
func TestSmallRequestsBesideLarge(t *testing.T) {
	const (
		small, large = 400.0, 17_000.0
		steps        = 1000 // of 10 ms
	)
	limit := Limit{Rate: 1_000_000, Burst: 1_000_000}
	f := newFleet(24, 3, true)
	asked, admitted, used := 0, 0, 0.0
	for n := range steps {
		at := f.at
		f.at += 10 * time.Millisecond
		now := epoch.Add(at)
		for i, l := range f.limiters {
			if (n+i)%24 < 10 { // 40% of the limit in small requests
				ok := l.Take(org, limit, small, now).Admitted
				if n > steps/2 {
					asked++
					if ok {
						admitted++
						used += small
					}
				}
			}
			// 3.4 times the limit in large ones
			if (n*7+i)%24 < 2 && l.Take(org, limit, large, now).Admitted && n > steps/2 {
				used += large
			}
		}
		f.exchange(at)
	}
	t.Logf("admitted: %.3f of the small requests, %.3f of the limit", float64(admitted)/float64(asked), used/(limit.Rate*5))
	if share := float64(admitted) / float64(asked); share < 0.98 {
		t.Errorf("%.3f of the small requests are admitted, want at least 0.98", share)
	}
	if x := used / (limit.Rate * 5); x < 0.9 || x > 1.1 {
		t.Errorf("%.3f of the limit is used, want 0.9 to 1.1", x)
	}
}
