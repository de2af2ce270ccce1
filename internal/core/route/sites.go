package route

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Site is the summary that another data centre reports for one service, together
// with the properties of the link to it.
type Site struct {
	Name   string
	Region string
	// Servers is the number of servers. FreeSlots is the number of requests that
	// would start immediately.
	Servers, FreeSlots int
	// Wait is the expected queueing time of a new request.
	Wait time.Duration
	// At is when the summary was received, on this host's clock.
	At time.Time
	// Delay is the one-way delay of the link.
	Delay time.Duration
	// Bandwidth is the rate of the link in bytes per second. 0 means unlimited.
	Bandwidth float64
	// CrossRegion is set when the data centre is in another region. Hysteresis, byte
	// budget and ramp-up apply only to such data centres.
	CrossRegion bool
}

// SitesConfig holds the parameters of Sites.
type SitesConfig struct {
	// Share is the fraction of a wide-area link's bandwidth that all hosts of
	// the local data centre together may use for overflow.
	Share float64
	// Hysteresis is the reduction of the expected time, after wide-area delays,
	// that must be exceeded for overflow to another region to start. Once
	// started, overflow continues as long as there is any reduction.
	Hysteresis time.Duration
	// Expiry is the age after which a summary is ignored.
	Expiry time.Duration
	// Prefill is the assumed prefill rate of servers in other data centres, in
	// tokens per second. A forwarded prompt is assumed to be uncached there.
	Prefill int
	// Backoff is how long a data centre gets no requests after a failure.
	Backoff time.Duration
}

// DefaultSitesConfig returns the parameters that daemons use.
func DefaultSitesConfig(share float64) SitesConfig {
	return SitesConfig{Share: share, Hysteresis: 150 * time.Millisecond, Expiry: 5 * time.Second, Prefill: 8000, Backoff: 5 * time.Second}
}

// Overflow to a data centre in another region starts at the fraction rampStart
// of its free capacity. The fraction changes by a factor of 2 every rampPeriod.
const (
	rampStart  = 0.01
	rampPeriod = 2 * time.Second
)

// SiteChoice is a chosen data centre. The caller must pass it to Sites.Done
// exactly once.
type SiteChoice struct {
	Site string
	// Expected is the expected time to first token.
	Expected time.Duration

	bytes int
}

// siteState is the state of another data centre and of this host's requests to
// it.
type siteState struct {
	site              Site
	inFlight          int
	inFlightAtSummary int       // inFlight when the summary was received
	budget            float64   // byte budget of the link
	refilled          time.Time // last refill of budget
	rampLevel         float64   // fraction of the free capacity that may be used
	rampedAt          time.Time // last change of rampLevel
	lastSent          time.Time
	retryAt           time.Time
}

// Sites chooses among the other data centres for one service. It is safe for
// concurrent use.
type Sites struct {
	cfg SitesConfig

	minCost atomic.Int64 // minimum of wait and round trip over states, in nanoseconds

	mu     sync.Mutex
	hosts  float64
	states []*siteState
}

// NewSites returns a Sites without data centres.
func NewSites(cfg SitesConfig) *Sites {
	s := &Sites{cfg: cfg, hosts: 1}
	s.minCost.Store(math.MaxInt64 / 2)
	return s
}

// SetHosts sets the number of healthy hosts of the local data centre. The byte
// budgets and the free capacity of other data centres are divided evenly among
// them.
func (s *Sites) SetHosts(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = float64(max(n, 1))
}

// UpdateSummaries replaces the summaries. A data centre that was in the previous list keeps
// its byte budget and its ramp-up.
func (s *Sites) UpdateSummaries(sites []Site, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	states := make([]*siteState, 0, len(sites))
	minCost := time.Duration(math.MaxInt64 / 2)
	for _, site := range sites {
		st := s.find(site.Name)
		if st == nil {
			st = &siteState{rampLevel: rampStart, refilled: now, rampedAt: now}
			st.budget = s.cfg.Share * site.Bandwidth / s.hosts
		}
		if site.At.After(st.site.At) {
			st.inFlightAtSummary = st.inFlight
		}
		st.site = site
		states = append(states, st)
		minCost = min(minCost, site.Wait+2*site.Delay)
	}
	s.states = states
	s.minCost.Store(int64(minCost))
}

func (s *Sites) find(name string) *siteState {
	for _, st := range s.states {
		if st.site.Name == name {
			return st
		}
	}
	return nil
}

// Choose returns the data centre to which to forward a request, or false if the
// request should run locally. local is the expected time to first token in the
// local data centre, or negative if the request can't run there.
func (s *Sites) Choose(req *Request, local time.Duration, now time.Time) (SiteChoice, bool) {
	if req.Forwarded {
		return SiteChoice{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var best *siteState
	var lowest time.Duration
	for _, st := range s.states {
		cost, ok := s.cost(st, req, local, now)
		if ok && (best == nil || cost < lowest) {
			best, lowest = st, cost
		}
	}
	if best == nil {
		return SiteChoice{}, false
	}
	best.inFlight++
	best.lastSent = now
	best.budget -= float64(req.Bytes)
	return SiteChoice{Site: best.site.Name, Expected: lowest, bytes: req.Bytes}, true
}

// minExpected returns a lower bound of the expected time to first token in all
// other data centres. If the local time is lower, the others need no check.
func (s *Sites) minExpected(req *Request) time.Duration {
	return time.Duration(s.minCost.Load()) + s.prefill(req)
}

// prefill returns the prefill time of an uncached prompt.
func (s *Sites) prefill(req *Request) time.Duration {
	if s.cfg.Prefill <= 0 {
		return 0
	}
	return time.Duration(req.Prompt) * time.Second / time.Duration(s.cfg.Prefill)
}

// cost returns the expected time to first token in a data centre. It reports
// false if the request may not be forwarded there or would not start earlier.
func (s *Sites) cost(st *siteState, req *Request, local time.Duration, now time.Time) (time.Duration, bool) {
	site := &st.site
	if !req.allows(site.Region) || slices.Contains(req.ExcludeSites, site.Name) || site.Servers == 0 ||
		now.Sub(site.At) > s.cfg.Expiry || now.Before(st.retryAt) {
		return 0, false
	}
	cost := site.Wait + 2*site.Delay + s.prefill(req)
	if site.Bandwidth > 0 {
		cost += time.Duration(float64(req.Bytes) / site.Bandwidth * float64(time.Second))
	}
	if local >= 0 {
		gain := local - cost
		if gain <= 0 || (site.CrossRegion && st.idle(now) && gain <= s.cfg.Hysteresis) {
			return 0, false
		}
	}
	if site.CrossRegion && !(s.withinBudget(st, req, now) && s.withinRampUp(st, now)) {
		return 0, false
	}
	return cost, true
}

// idle reports whether no request is in flight to the data centre and none was
// sent during the last rampPeriod.
func (st *siteState) idle(now time.Time) bool {
	return st.inFlight == 0 && (st.lastSent.IsZero() || now.Sub(st.lastSent) > rampPeriod)
}

// withinBudget refills the byte budget of a link and reports whether it admits
// the request. The budget is a token bucket that holds one second of the rate.
// A larger request needs a full bucket.
func (s *Sites) withinBudget(st *siteState, req *Request, now time.Time) bool {
	if st.site.Bandwidth <= 0 {
		return true
	}
	rate := s.cfg.Share * st.site.Bandwidth / s.hosts
	if elapsed := now.Sub(st.refilled); elapsed > 0 {
		st.budget = min(rate, st.budget+rate*elapsed.Seconds())
		st.refilled = now
	}
	return st.budget >= min(float64(req.Bytes), rate)
}

// withinRampUp updates the ramp level of a data centre and reports whether it
// admits another request. The level doubles every 2 s during overflow and halves
// for every 2 s without overflow.
func (s *Sites) withinRampUp(st *siteState, now time.Time) bool {
	for now.Sub(st.rampedAt) >= rampPeriod && st.idle(now) && st.rampLevel > rampStart {
		st.rampLevel = max(rampStart, st.rampLevel/2)
		st.rampedAt = st.rampedAt.Add(rampPeriod)
	}
	if now.Sub(st.rampedAt) >= rampPeriod {
		if !st.idle(now) {
			st.rampLevel = min(1, st.rampLevel*2)
		}
		st.rampedAt = now
	}
	free := float64(st.site.FreeSlots)/s.hosts + float64(st.inFlightAtSummary)
	return float64(st.inFlight) < max(1, st.rampLevel*free)
}

// Done records the end of a forwarded request. bytes is the number of bytes
// transferred over the link; failed is set if the data centre did not respond.
func (s *Sites) Done(c SiteChoice, bytes int, failed bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.find(c.Site)
	if st == nil {
		return
	}
	st.inFlight = max(0, st.inFlight-1)
	st.budget += float64(c.bytes - bytes)
	if failed {
		st.retryAt = now.Add(s.cfg.Backoff)
		st.rampLevel = rampStart
	}
}

// Bytes returns the size that was deducted from the byte budget of the link.
func (c *SiteChoice) Bytes() int { return c.bytes }
