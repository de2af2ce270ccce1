// Package share keeps organisations within their rate and burst over all hosts
// together, without a call per request. Each host counts its own requests and
// learns from reports what the others have admitted; between reports it
// expects them to go on at their last rate. A host that is no longer heard of
// is expected to use an equal part of the rate, as it expects of this one, so
// that parts of a divided system stay within the limit together.
//
// A Book is safe for concurrent use. It reads no clock.
package share

import (
	"sync"
	"time"
)

const (
	// lostAfter is the age of the last report after which a host counts as
	// out of contact.
	lostAfter = 1500 * time.Millisecond
	// startFill is the part of a second's rate that a restarted host starts
	// with: what was spent before the restart is not known.
	startFill = 0.3
	// rateWeight is that of the newest report in a host's estimated rate.
	rateWeight = 0.5
	// minInterval is the shortest time between reports from which a rate is
	// derived.
	minInterval = 50 * time.Millisecond
	// refundAbove is the part of the burst that must be left for a refund.
	refundAbove = 0.4
	// movedShare of a second's rate is what one host may admit before it
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

// peer is another host.
type peer struct {
	boot  int64
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
	// told is the value of own when Moved last returned true.
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

// Take admits a request of an organisation if its limit allows, or returns
// the time after which it is likely to.
func (b *Book) Take(org string, limit Limit, cost float64, now time.Time) (time.Duration, bool) {
	if limit.Rate <= 0 {
		return 0, true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(org, limit, now)
	b.advance(a, now)
	level := a.level
	if need := min(cost, limit.Burst); level < need {
		wait := time.Duration((need - level) / limit.Rate * float64(time.Second))
		return min(wait, maxRetry), false
	}
	a.level -= cost
	a.own += cost
	return 0, true
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
	part := a.limit.Rate / float64(len(b.peers)+1)
	a.level += a.limit.Rate * d
	for name, p := range b.peers {
		u := a.peers[name]
		if u == nil {
			continue // its first report is being taken
		}
		expected := u.rate * d
		if now.Sub(p.heard) > lostAfter {
			expected = part * d
		}
		u.assumed += expected
		a.level -= expected
	}
	a.level = min(a.level, a.limit.Burst)
}

// Hear takes the report of another host: the totals that it has admitted
// since its start at boot.
func (b *Book) Hear(host string, boot int64, spent map[string]float64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.peers[host]
	if p == nil {
		p = &peer{boot: boot, heard: now}
		b.peers[host] = p
	}
	since := now.Sub(p.heard)
	restarted := p.boot != boot
	p.boot = boot
	p.heard = now
	p.spent = spent
	for org, a := range b.accounts {
		b.advance(a, now)
		u := a.peers[host]
		if u == nil {
			a.peers[host] = &usage{spent: spent[org]}
			continue
		}
		if restarted {
			u.spent = 0
		}
		u.hear(a, spent[org], since)
	}
}

func (u *usage) hear(a *account, spent float64, since time.Duration) {
	delta := spent - u.spent // negative after refunds
	u.spent = spent
	a.level += u.assumed - delta
	a.level = min(a.level, a.limit.Burst)
	u.assumed = 0
	if since >= minInterval {
		u.rate = max(u.rate*(1-rateWeight)+delta/since.Seconds()*rateWeight, 0)
	}
}

// Keep drops the hosts that are not in list: they have left.
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

// Moved reports whether this host has admitted so much of an organisation's
// limit since Moved last returned true that the others should hear of it.
func (b *Book) Moved() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	moved := false
	for _, a := range b.accounts {
		moved = moved || a.own-a.told > movedShare*a.limit.Rate
	}
	if !moved {
		return false
	}
	for _, a := range b.accounts {
		a.told = a.own
	}
	return true
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
