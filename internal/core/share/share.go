// Package share keeps organisations within their rate and burst over all hosts
// together, without a call per request. Each host counts its own requests and
// learns from reports what the others have admitted, those of other regions in
// sum; between reports it expects them to go on at their last rate. A host that
// is no longer heard of is expected to use an equal part of the rate, as it
// expects of this one, so that parts of a divided system stay within the limit
// together.
//
// A Book is safe for concurrent use. It reads no clock.
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
	// lostAfter is the age of the last report after which a host counts as
	// out of contact.
	lostAfter = 1500 * time.Millisecond
	// startFill is the part of a second's rate that a restarted host starts
	// with: what was spent before the restart is not known.
	startFill = 0.3
	// rateSpan is the time between reports at which the newest one makes up
	// half of the estimated rate.
	rateSpan = 200 * time.Millisecond
	// minInterval is the shortest time between reports from which a rate is
	// derived.
	minInterval = 50 * time.Millisecond
	// refundAbove is the part of the burst that must be left for a refund.
	refundAbove = 0.4
	// movedShare of a second's rate is what a region may admit before it
	// tells the others ahead of time.
	movedShare = 0.08
	// maxRetry bounds the time after which a rejected caller is told to
	// come back.
	maxRetry = 10 * time.Second
)

// Limit is the rate per second and the burst of an organisation.
type Limit struct{ Rate, Burst float64 }

// Book holds the accounts of all organisations on one host.
type Book struct {
	mu       sync.Mutex
	fresh    bool
	accounts map[string]*account
	peers    map[string]*peer
}

// Report is what another host, or all hosts of another region together, have
// admitted.
type Report struct {
	Name string
	// Run identifies the processes that the totals are of. The totals of a
	// host begin at zero with each run. Those of a region do not: what was
	// admitted between its last report and the first one of a run is not
	// known.
	Run uint64
	// Hosts is the number of hosts of a region, 0 for a single host.
	Hosts int
	// Spent is what was admitted by organisation.
	Spent map[string]float64
}

// peer is another host or region.
type peer struct {
	run   uint64
	hosts int
	heard time.Time
	// spent is the last report. What it says when an account is opened, or
	// when the peer is first heard, is part of the past.
	spent map[string]float64
}

// account is the state of one organisation.
type account struct {
	limit Limit
	level float64
	at    time.Time
	own   float64
	// told is what the region had admitted when Moved last returned true.
	told  float64
	peers map[string]*usage
}

// usage is what one peer has admitted.
type usage struct {
	spent float64
	rate  float64 // per second
	// assumed was taken from the level since the last report.
	assumed float64
}

// NewBook returns an empty book. Accounts start full if the whole system
// starts with this host, and nearly empty otherwise.
func NewBook(fresh bool) *Book {
	return &Book{fresh: fresh, accounts: make(map[string]*account), peers: make(map[string]*peer)}
}

// Verdict is the answer to a request of an organisation and what decided it.
type Verdict struct {
	Admitted bool
	// Wait is the time after which a request that was not admitted is likely
	// to be.
	Wait time.Duration
	// Level is what the organisation had left.
	Level float64
	// Lost is the number of hosts that are out of contact.
	Lost int
}

// Take admits a request of an organisation if its limit allows.
func (b *Book) Take(org string, limit Limit, cost float64, now time.Time) Verdict {
	if limit.Rate <= 0 {
		return Verdict{Admitted: true}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(org, limit, now)
	b.advance(a, now)
	v := Verdict{Level: a.level, Lost: b.lost(now)}
	if need := min(cost, limit.Burst); a.level < need {
		wait := time.Duration((need - a.level) / limit.Rate * float64(time.Second))
		v.Wait = min(wait, maxRetry)
		return v
	}
	v.Admitted = true
	a.level -= cost
	a.own += cost
	return v
}

// lost returns the number of hosts that are out of contact.
func (b *Book) lost(now time.Time) int {
	n := 0
	for _, p := range b.peers {
		if now.Sub(p.heard) > lostAfter {
			n += max(p.hosts, 1)
		}
	}
	return n
}

// Refund gives back what Take took for a request that did not run. An
// organisation at its limit gets nothing back: its refused requests would only
// return and crowd out those of others.
func (b *Book) Refund(org string, cost float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.accounts[org]
	if a == nil || a.level < refundAbove*a.limit.Burst {
		return
	}
	a.level = min(a.level+cost, a.limit.Burst)
	a.own -= cost
}

func (b *Book) account(org string, limit Limit, now time.Time) *account {
	a := b.accounts[org]
	if a == nil {
		a = &account{limit: limit, level: limit.Burst, at: now, peers: make(map[string]*usage)}
		if !b.fresh {
			a.level = min(limit.Burst, limit.Rate*startFill)
		}
		for name, p := range b.peers {
			a.peers[name] = &usage{spent: p.spent[org]}
		}
		b.accounts[org] = a
	}
	a.limit = limit
	return a
}

// advance refills the level up to now and takes what peers are expected to
// have admitted meanwhile.
func (b *Book) advance(a *account, now time.Time) {
	d := now.Sub(a.at).Seconds()
	if d <= 0 {
		return
	}
	a.at = now
	hosts := 1
	for _, p := range b.peers {
		hosts += max(p.hosts, 1)
	}
	part := a.limit.Rate / float64(hosts)
	a.level += a.limit.Rate * d
	for name, p := range b.peers {
		u := a.peers[name]
		if u == nil {
			continue // its first report is being taken
		}
		expected := u.rate * d
		if now.Sub(p.heard) > lostAfter {
			expected = part * float64(max(p.hosts, 1)) * d
		}
		u.assumed += expected
		a.level -= expected
	}
	a.level = min(a.level, a.limit.Burst)
}

// Hear takes a report.
func (b *Book) Hear(r Report, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.peers[r.Name]
	if p == nil {
		p = &peer{run: r.Run, heard: now}
		b.peers[r.Name] = p
	}
	since := now.Sub(p.heard)
	restarted := p.run != r.Run
	p.run = r.Run
	p.hosts = r.Hosts
	p.heard = now
	p.spent = r.Spent
	for org, a := range b.accounts {
		b.advance(a, now)
		u := a.peers[r.Name]
		switch {
		case u == nil:
			a.peers[r.Name] = &usage{spent: r.Spent[org]}
			continue
		case restarted && r.Hosts > 0:
			u.skip(r.Spent[org])
			continue
		case restarted:
			u.spent = 0
		}
		u.hear(a, r.Spent[org], since)
	}
}

func (u *usage) hear(a *account, spent float64, since time.Duration) {
	delta := spent - u.spent // negative after refunds
	u.spent = spent
	a.level += u.assumed - delta
	a.level = min(a.level, a.limit.Burst)
	u.assumed = 0
	if since < minInterval {
		return
	}
	weight := since.Seconds() / (since + rateSpan).Seconds()
	u.rate = max(u.rate*(1-weight)+delta/since.Seconds()*weight, 0)
}

// skip takes a total of which it is not known since when it grew; what was
// assumed stays taken.
func (u *usage) skip(spent float64) {
	u.spent = spent
	u.assumed = 0
}

// Sum returns the report of a region: what this host and the named others have
// admitted. The argument run is that of this host's process.
func (b *Book) Sum(self string, run uint64, others []string) Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	lines := []string{fmt.Sprint(self, " ", run)}
	sum := make(map[string]float64)
	for org, a := range b.accounts {
		if a.own != 0 {
			sum[org] = a.own
		}
	}
	for _, name := range others {
		p := b.peers[name]
		if p == nil {
			continue
		}
		lines = append(lines, fmt.Sprint(name, " ", p.run))
		for org, n := range p.spent {
			sum[org] += n
		}
	}
	slices.Sort(lines)
	return Report{Run: xxhash.Sum64String(strings.Join(lines, "\n")), Hosts: len(lines), Spent: sum}
}

// Keep drops the hosts and regions that are not in list: they have left.
func (b *Book) Keep(list []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	keep := make(map[string]bool, len(list))
	for _, name := range list {
		keep[name] = true
	}
	for name := range b.peers {
		if keep[name] {
			continue
		}
		delete(b.peers, name)
		for _, a := range b.accounts {
			delete(a.peers, name)
		}
	}
}

// Moved reports whether the region has admitted so much of an organisation's
// limit since Moved last returned true that the others should hear of it.
func (b *Book) Moved() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	moved := false
	for _, a := range b.accounts {
		total := b.near(a)
		a.told = min(a.told, total) // a host has left
		moved = moved || total-a.told > movedShare*a.limit.Rate
	}
	if !moved {
		return false
	}
	for _, a := range b.accounts {
		a.told = b.near(a)
	}
	return true
}

// near returns what the hosts of the own region are known to have admitted.
func (b *Book) near(a *account) float64 {
	total := a.own
	for name, u := range a.peers {
		if p := b.peers[name]; p != nil && p.hosts == 0 {
			total += u.spent
		}
	}
	return total
}

// Spent returns what this host has admitted since its start.
func (b *Book) Spent() map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	spent := make(map[string]float64, len(b.accounts))
	for org, a := range b.accounts {
		if a.own > 0 {
			spent[org] = a.own
		}
	}
	return spent
}
