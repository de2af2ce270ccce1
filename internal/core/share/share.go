// Package share enforces the rate limits of organisations across all hosts
// without a network call per request. Each host keeps a token bucket per
// organisation, withdraws what it admits itself, and merges reports of what its
// peers have admitted; another region reports the total of its hosts. Between
// reports a peer is assumed to continue at its last rate. A host without a
// recent report is assumed to use an equal share of the rate, as it assumes of
// this host, so that the sides of a partition stay within the limit together. A
// host that is cut off for so long that others no longer count it uses little.
//
// A Limiter is safe for concurrent use. It reads no clock.
package share

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// unreachableAfter is the age of the last report after which a host or region
	// counts as unreachable.
	unreachableAfter = 1500 * time.Millisecond
	// startFill is the initial level of a bucket on a restarted host, as a
	// fraction of one second's rate: the tokens admitted before the restart
	// are unknown.
	startFill = 0.3
	// rateSpan is the smoothing constant of the rate estimate: the interval
	// between reports at which the newest one has a weight of one half.
	rateSpan = 200 * time.Millisecond
	// minInterval is the shortest interval between reports from which a rate
	// is estimated.
	minInterval = 50 * time.Millisecond
	// minRefundLevel is the lowest level at which tokens are refunded, as a
	// fraction of the burst.
	minRefundLevel = 0.4
	// reportThreshold is how much a region may admit before it sends a report
	// ahead of schedule, as a fraction of one second's rate.
	reportThreshold = 0.08
	// lapsedShare is the fraction of its equal share that a host uses which others may have
	// forgotten: what the bound on the requests of an organisation leaves for such hosts.
	lapsedShare = 0.1
	// maxRetryAfter bounds the retry time given to a refused caller.
	maxRetryAfter = 10 * time.Second
	// overLimitUntil is the level, as a fraction of the burst, from which an organisation no
	// longer counts as over its limit.
	overLimitUntil = 0.9
	// largeFactor is the cost, relative to the mean, above which a request counts as large.
	// It exceeds 1 because the mean only approaches the cost of equal requests.
	largeFactor = 1.05
	// costWeight is the weight of the newest request in the mean cost of an
	// organisation's requests.
	costWeight = 0.05
)

// Limit is the rate per second and the burst of an organisation.
type Limit struct{ Rate, Burst float64 }

// Limiter holds the token buckets of all organisations on one host.
type Limiter struct {
	mu      sync.Mutex
	fresh   bool
	buckets map[string]*bucket
	peers   map[string]*peer
	lapsed  bool // set by SetHolding
}

// Report states how many tokens another host, or all hosts of another region
// together, have admitted.
type Report struct {
	Name string
	// Run identifies the processes whose totals are reported. The totals of a
	// host start at zero with each run. Those of a region do not: the tokens
	// admitted between its last report and the first one of a new run are
	// unknown.
	Run uint64
	// Hosts is the number of hosts in a region, 0 for a single host.
	Hosts int
	// Admitted is the total of admitted tokens by organisation.
	Admitted map[string]float64
}

// peer is another host or region.
type peer struct {
	run        uint64
	hosts      int
	receivedAt time.Time
	// admitted holds the totals of the last report. The totals at the creation
	// of a bucket, and those of the first report of a peer, are the baseline:
	// they are not withdrawn from the bucket.
	admitted map[string]float64
}

// bucket is the token bucket of one organisation.
type bucket struct {
	limit    Limit
	level    float64
	updated  time.Time
	admitted float64 // by this host
	// reported is the total of the local region when ReportDue last returned
	// true.
	reported float64
	// meanCost is the moving average of the cost of the organisation's requests at this host.
	meanCost float64
	// overLimit is set from a refusal until the bucket is nearly full again.
	overLimit bool
	// largeCredit grows with each large request while overLimit is set; a whole unit
	// admits one.
	largeCredit float64
	peers       map[string]*usage
}

// admits reports whether the bucket admits a request. While the organisation is over its limit,
// a request of more than the mean cost is admitted with a frequency of the squared fill level:
// hosts learn of each other's admissions late, and several large ones at once would overdraw the
// bucket, so that small requests are refused until it has filled up.
func (b *bucket) admits(cost float64) bool {
	if b.level < min(cost, b.limit.Burst) {
		b.overLimit = true
		return false
	}
	if !b.overLimit || cost <= largeFactor*b.meanCost {
		return true
	}
	x := b.level / b.limit.Burst
	b.largeCredit += x * x
	if b.largeCredit < 1 {
		return false
	}
	b.largeCredit = min(b.largeCredit-1, 1)
	return true
}

// observe updates the mean cost by that of a request.
func (b *bucket) observe(cost float64) {
	if b.meanCost == 0 {
		b.meanCost = cost
	}
	b.meanCost += costWeight * (cost - b.meanCost)
}

// usage is what one peer has admitted of an organisation's limit.
type usage struct {
	admitted float64
	rate     float64 // estimated, per second
	// assumed is the estimate withdrawn from the level since the last report.
	assumed float64
}

// NewLimiter returns a limiter without buckets. Buckets start full if fresh is
// set, which means that the whole system starts with this host, and nearly
// empty otherwise.
func NewLimiter(fresh bool) *Limiter {
	return &Limiter{fresh: fresh, buckets: make(map[string]*bucket), peers: make(map[string]*peer)}
}

// Verdict is the decision on a request of an organisation, with its inputs.
type Verdict struct {
	Admitted bool
	// Wait is the time after which a refused request is likely to be admitted.
	Wait time.Duration
	// Level is the level of the organisation's bucket before the decision.
	Level float64
	// Unreachable is the number of unreachable hosts.
	Unreachable int
}

// Take admits a request of an organisation if its bucket holds enough tokens,
// and withdraws cost from it. Requests above the burst need a full bucket and
// leave it below zero. While the organisation is over its limit, requests of more than its mean
// cost are admitted less often, see admits. Without a rate, all requests are admitted.
func (l *Limiter) Take(org string, limit Limit, cost float64, now time.Time) Verdict {
	if limit.Rate <= 0 {
		return Verdict{Admitted: true}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(org, limit, now)
	l.advance(b, now)
	v := Verdict{Level: b.level, Unreachable: l.unreachable(now)}
	b.observe(cost)
	if !b.admits(cost) {
		wait := time.Duration((min(cost, limit.Burst) - b.level) / limit.Rate * float64(time.Second))
		v.Wait = min(max(wait, 0), maxRetryAfter)
		return v
	}
	v.Admitted = true
	b.level -= cost
	b.admitted += cost
	return v
}

// SetHolding tells whether all other hosts still count this one and its region. If they may have forgotten
// it, and it does not reach at least half of them, it uses little of the limits.
func (l *Limiter) SetHolding(holding bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lapsed = !holding
}

// unreachable returns the number of unreachable hosts.
func (l *Limiter) unreachable(now time.Time) int {
	n := 0
	for _, p := range l.peers {
		if now.Sub(p.receivedAt) > unreachableAfter {
			n += max(p.hosts, 1)
		}
	}
	return n
}

// Refund returns the tokens that Take withdrew for a request that did not run.
// An organisation near its limit gets no refund: its refused requests would be
// retried and crowd out those of others.
func (l *Limiter) Refund(org string, cost float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[org]
	if b == nil || b.level < minRefundLevel*b.limit.Burst {
		return
	}
	b.level = min(b.level+cost, b.limit.Burst)
	b.admitted -= cost
}

// bucket returns the bucket of an organisation, creating it if necessary, and
// sets its limit.
func (l *Limiter) bucket(org string, limit Limit, now time.Time) *bucket {
	b := l.buckets[org]
	if b == nil {
		b = &bucket{limit: limit, level: limit.Burst, updated: now, peers: make(map[string]*usage)}
		if !l.fresh {
			b.level = min(limit.Burst, limit.Rate*startFill)
		}
		for name, p := range l.peers {
			b.peers[name] = &usage{admitted: p.admitted[org]}
		}
		l.buckets[org] = b
	}
	b.limit = limit
	return b
}

// advance refills the bucket up to now and withdraws what peers are assumed to
// have admitted since the last call.
func (l *Limiter) advance(b *bucket, now time.Time) {
	d := now.Sub(b.updated).Seconds()
	if d <= 0 {
		return
	}
	b.updated = now
	hosts := 1
	for _, p := range l.peers {
		hosts += max(p.hosts, 1)
	}
	equal := b.limit.Rate / float64(hosts)
	b.level += b.limit.Rate * d
	if missing := l.unreachable(now); l.lapsed && 2*missing >= hosts {
		b.level -= (1 - lapsedShare) * equal * float64(hosts-missing) * d
	}
	for name, p := range l.peers {
		u := b.peers[name]
		if u == nil {
			continue // its first report is being merged
		}
		expected := u.rate * d
		if now.Sub(p.receivedAt) > unreachableAfter {
			expected = equal * float64(max(p.hosts, 1)) * d
		}
		u.assumed += expected
		b.level -= expected
	}
	b.level = min(b.level, b.limit.Burst)
	b.overLimit = b.overLimit && b.level < overLimitUntil*b.limit.Burst
}

// Merge records a report that was received at now, and replaces what was
// assumed of its sender by what it has admitted.
func (l *Limiter) Merge(r Report, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[r.Name]
	if p == nil {
		p = &peer{run: r.Run, receivedAt: now}
		l.peers[r.Name] = p
	}
	since := now.Sub(p.receivedAt)
	restarted := p.run != r.Run
	p.run = r.Run
	p.hosts = r.Hosts
	p.receivedAt = now
	p.admitted = r.Admitted
	for org, b := range l.buckets {
		l.advance(b, now)
		u := b.peers[r.Name]
		switch {
		case u == nil:
			b.peers[r.Name] = &usage{admitted: r.Admitted[org]}
			continue
		case restarted && r.Hosts > 0:
			u.rebase(r.Admitted[org])
			continue
		case restarted:
			u.admitted = 0
		}
		u.update(b, r.Admitted[org], since)
	}
}

// update corrects the bucket by the difference between what the peer has
// admitted since its last report and what was assumed, and updates the rate.
func (u *usage) update(b *bucket, admitted float64, since time.Duration) {
	delta := admitted - u.admitted // negative after refunds
	u.admitted = admitted
	b.level += u.assumed - delta
	b.level = min(b.level, b.limit.Burst)
	u.assumed = 0
	if since < minInterval {
		return
	}
	weight := since.Seconds() / (since + rateSpan).Seconds()
	u.rate = max(u.rate*(1-weight)+delta/since.Seconds()*weight, 0)
}

// rebase sets a new total whose increase since the last report is unknown. The
// tokens that were assumed to be admitted stay withdrawn.
func (u *usage) rebase(admitted float64) {
	u.admitted = admitted
	u.assumed = 0
}

// RegionReport returns the report of the local region: the totals of this host,
// named self, and of the other named hosts. The argument run identifies this
// host's process.
func (l *Limiter) RegionReport(self string, run uint64, others []string) Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	lines := []string{fmt.Sprint(self, " ", run)}
	sum := make(map[string]float64)
	for org, b := range l.buckets {
		if b.admitted != 0 {
			sum[org] = b.admitted
		}
	}
	for _, name := range others {
		p := l.peers[name]
		if p == nil {
			continue
		}
		lines = append(lines, fmt.Sprint(name, " ", p.run))
		for org, n := range p.admitted {
			sum[org] += n
		}
	}
	slices.Sort(lines)
	return Report{Run: xxhash.Sum64String(strings.Join(lines, "\n")), Hosts: len(lines), Admitted: sum}
}

// Retain removes the hosts and regions that are not in list: they have left.
func (l *Limiter) Retain(list []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	keep := make(map[string]bool, len(list))
	for _, name := range list {
		keep[name] = true
	}
	for name := range l.peers {
		if keep[name] {
			continue
		}
		delete(l.peers, name)
		for _, b := range l.buckets {
			delete(b.peers, name)
		}
	}
}

// ReportDue reports whether the local region has admitted so many tokens of an
// organisation since ReportDue last returned true that other regions need a
// report ahead of schedule.
func (l *Limiter) ReportDue() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	due := false
	for _, b := range l.buckets {
		total := l.regionTotal(b)
		b.reported = min(b.reported, total) // a host has left
		due = due || total-b.reported > reportThreshold*b.limit.Rate
	}
	if !due {
		return false
	}
	for _, b := range l.buckets {
		b.reported = l.regionTotal(b)
	}
	return true
}

// regionTotal returns the tokens that the hosts of the local region have
// admitted, as far as they were reported.
func (l *Limiter) regionTotal(b *bucket) float64 {
	total := b.admitted
	for name, u := range b.peers {
		if p := l.peers[name]; p != nil && p.hosts == 0 {
			total += u.admitted
		}
	}
	return total
}

// Admitted returns the tokens that this host has admitted since its start, by
// organisation.
func (l *Limiter) Admitted() map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	admitted := make(map[string]float64, len(l.buckets))
	for org, b := range l.buckets {
		if b.admitted > 0 {
			admitted[org] = b.admitted
		}
	}
	return admitted
}
