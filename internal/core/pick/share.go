package pick

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccalb/yuccalb/internal/core/spec"
)

const (
	// maxWarmupHosts bounds the hosts that send to one cold server.
	maxWarmupHosts = 4
	// warmupRateShare is the part of a cold server's rate limit that the hosts use
	// together. The rest is for a network partition, in which each host may count
	// fewer hosts than share the limit.
	warmupRateShare = 0.55
	// probationRate is the rate limit, in requests per second, of one host for a
	// server on probation.
	probationRate = 2.0
	// minNamedRate is the rate, in requests per second over all hosts, at which a
	// server gets requests even if it names a lower limit: only a response shows
	// that the limit has ended.
	minNamedRate = 0.5
	// minSharing is the least number of hosts that share a limit, so that one of
	// them may fail. One more takes part for each request per second.
	minSharing = 2
	// All hosts together may send at once, to a server that names a limit, the
	// requests of namedBurst and minNamedBurst more. Both keep the requests of 4 s
	// below one and a half times the limit and 5 requests.
	namedBurst    = 1250 * time.Millisecond
	minNamedBurst = 2.0
	// What a host may use of its part once it has to give it up: what the bounds leave for
	// such hosts beside those that use the whole limit. Of named limits that holds for ranks
	// below minSharing. A cold server's bound leaves the whole part, see warmupRateShare.
	lapsedNamedShare   = 0.125
	lapsedRefusalShare = 0.25
)

// RegionHosts describes the hosts of the region, which share the limits that hold for
// a server over all hosts together.
type RegionHosts struct {
	// Self is the name of this host and Hosts are those of the hosts that share.
	Self  string
	Hosts []string
	// Discovered is set once this host has had time to discover the others. Until
	// then it sends nothing to servers with a limit over all hosts.
	Discovered bool
	// Until is when this host has to give up its parts, since the others may have forgotten
	// it by then; zero for a host without others.
	Until time.Time
	// ReportInterval is the interval at which these hosts report their load.
	ReportInterval time.Duration

	lapsed bool // Until has passed
}

// lapsedAt reports whether this host has to give up its parts at now.
func (h *RegionHosts) lapsedAt(now time.Time) bool { return !h.Until.IsZero() && !now.Before(h.Until) }

// rank returns the position of this host, from 0, in the rendezvous order of the hosts
// for a server, or the number of hosts if it is not among them.
func (h *RegionHosts) rank(id string) int {
	if len(h.Hosts) > 0 && !slices.Contains(h.Hosts, h.Self) {
		return len(h.Hosts)
	}
	self := xxhash.Sum64String(id + h.Self)
	rank := 0
	for _, name := range h.Hosts {
		if xxhash.Sum64String(id+name) > self {
			rank++
		}
	}
	return rank
}

// allowance is the part of a server's limits that falls to this host.
type allowance struct {
	// rate is the number of requests per second and burst that of requests at once.
	// Both are 0 for a host without a part of the limit.
	rate, burst float64
	// total is the rate of all hosts together.
	total float64
}

// least returns an allowance that meets both a and b.
func (a allowance) least(b allowance) allowance {
	return allowance{rate: min(a.rate, b.rate), burst: min(a.burst, b.burst), total: min(a.total, b.total)}
}

// refillTime returns the time until a token bucket at a level holds a request again, at
// most maxPause. A host without a part of the limit returns the time between two
// requests of all hosts: by then another host accepts one.
func (a allowance) refillTime(level float64) time.Duration {
	missing, rate := 1-level, a.rate
	if rate == 0 {
		missing, rate = 1, a.total
	}
	if missing <= 0 {
		return 0
	}
	return time.Duration(min(missing/rate, maxPause.Seconds()) * float64(time.Second))
}

// unlimited is the allowance of a server without limits.
var unlimited = allowance{rate: math.Inf(1), burst: math.Inf(1), total: math.Inf(1)}

// share returns the part of a limit of total requests per second that falls to a host
// with a rank, if at most maxHosts hosts share it. With more hosts, those of the
// lowest ranks share it, since each may send a request at any time.
func (h *RegionHosts) share(total float64, maxHosts, rank int) allowance {
	n := h.parts(maxHosts)
	if !h.Discovered || rank >= n {
		return allowance{total: total}
	}
	return allowance{rate: total / float64(n), burst: 1, total: total}
}

// parts returns the number of parts of a limit that at most maxHosts hosts share.
func (h *RegionHosts) parts(maxHosts int) int { return min(max(len(h.Hosts), 1), maxHosts) }

// sharing returns how many hosts share a limit of rate requests per second. Each of them
// may send one at any time, so that a low limit is shared by few.
func (h *RegionHosts) sharing(rate float64) int {
	return minSharing + int(min(rate, float64(len(h.Hosts))))
}

// warmup returns the allowance of a cold server.
func (h *RegionHosts) warmup(svc *spec.Service, rank int) allowance {
	if svc.WarmupRate <= 0 {
		return unlimited
	}
	return h.share(warmupRateShare*svc.WarmupRate, min(h.sharing(svc.WarmupRate), maxWarmupHosts), rank)
}

// named returns the allowance of a server that names a limit.
func (h *RegionHosts) named(limit float64, rank int) allowance {
	hosts := h.sharing(limit)
	a := h.share(max(limit, minNamedRate), hosts, rank)
	switch {
	case h.lapsed && rank >= minSharing:
		return allowance{total: a.total}
	case h.lapsed:
		a.rate *= lapsedNamedShare
	case a.burst > 0:
		a.burst = max(1, (minNamedBurst+limit*namedBurst.Seconds())/float64(h.parts(hosts)))
	}
	return a
}

// allowance returns what this host may send to a server, and whether that is limited.
func (t *Table) allowance(s *server, now time.Time) (allowance, bool) {
	a, hosts := unlimited, t.hostsAt(now)
	if s.slowStart(now) {
		a = hosts.warmup(&t.model.Service, t.rank(s))
		if s.probation && math.IsInf(a.rate, 1) {
			a = allowance{rate: probationRate, burst: 1, total: probationRate}
		}
	}
	if limit, ok := t.limits.limit(s.process()); ok {
		a = a.least(hosts.named(limit, t.rank(s)))
	}
	return a, !math.IsInf(a.rate, 1)
}

// limited reports whether this host's requests to a server are limited.
func (t *Table) limited(s *server, now time.Time) bool {
	_, limited := t.allowance(s, now)
	return limited
}

// SetHosts replaces the hosts that share limits.
func (t *Table) SetHosts(hosts RegionHosts, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setHosts(hosts, now)
}

// setHosts replaces the hosts that share limits. If that changes the parts, what this host
// has saved under the former ones is settled first.
func (t *Table) setHosts(hosts RegionHosts, now time.Time) {
	old := *t.hostsAt(now)
	if !slices.Equal(old.Hosts, hosts.Hosts) || old.lapsed != hosts.lapsedAt(now) {
		for _, s := range t.servers {
			if a, limited := t.allowance(s, now); limited {
				s.refill(a, now)
			}
			s.hostRank = -1
		}
	}
	t.hosts = hosts
	t.expireLoads(now)
}

// hostsAt returns the hosts that share limits at now.
func (t *Table) hostsAt(now time.Time) *RegionHosts {
	t.hosts.lapsed = t.hosts.lapsedAt(now)
	return &t.hosts
}

// rank returns the rank of this host for a server. It is computed once for each list of
// hosts, since it takes a hash for each host.
func (t *Table) rank(s *server) int {
	if s.hostRank < 0 {
		s.hostRank = t.hosts.rank(s.ID)
	}
	return s.hostRank
}
