package pick

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccalb/yuccalb/internal/core/spec"
)

// Table holds the servers of one service in the local region.
type Table struct {
	mu      sync.Mutex
	model   model
	hosts   RegionHosts
	servers map[string]*server
	order   []string // IDs, sorted so that equal states give equal decisions
	// placements are this host's recent ones, for reports.
	placements []timedPlacement
	// leavingProcesses are processes that have announced that they leave, with the
	// time at which they were last listed.
	leavingProcesses map[Process]time.Time
	// listedAt is when the servers were last listed.
	listedAt time.Time
	// pauses holds the pauses that processes have requested of this host, and limits
	// what they have stated about their limits.
	pauses map[Process]requestedPause
	limits statements[float64]
	// refusalLimits holds what processes have stated about theirs, and implied the
	// limit of processes of which nothing is known.
	refusalLimits statements[int]
	implied       impliedLimit
	// reported is when each other host of the region has last reported its loads.
	reported map[string]time.Time
	// lenders are the other hosts of the region that have reported their room.
	lenders  map[string]*lender
	rng      *rand.Rand
	arrivals arrivals
}

// NewTable returns an empty table; rng makes the random choices among servers.
func NewTable(svc spec.Service, rng *rand.Rand) *Table {
	return &Table{model: model{svc, NewPace(svc.Engine)}, servers: make(map[string]*server), leavingProcesses: make(map[Process]time.Time), limits: make(statements[float64]), pauses: make(map[Process]requestedPause), refusalLimits: make(statements[int]), reported: make(map[string]time.Time), lenders: make(map[string]*lender), rng: rng}
}

// Update replaces the servers by those that were listed at now. The argument evacuated
// names the data centres that are evacuated.
func (t *Table) Update(svc spec.Service, list []spec.Server, evacuated []string, hosts RegionHosts, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if svc.Engine != t.model.Engine {
		t.model.Pace = NewPace(svc.Engine)
	}
	t.model.Service = svc
	t.setHosts(hosts, now)
	seen := make(map[string]bool, len(list))
	t.order = t.order[:0]
	for _, e := range list {
		seen[e.ID] = true
		t.order = append(t.order, e.ID)
		s := t.servers[e.ID]
		if s == nil {
			s = newServer(e)
			t.servers[e.ID] = s
		}
		t.movePause(s.process(), Process{ID: e.ID, Born: e.Born})
		s.update(e, now)
		s.evacuated = slices.Contains(evacuated, e.Site)
	}
	for id := range t.servers {
		if !seen[id] {
			delete(t.servers, id)
		}
	}
	t.expireLeaving(now)
	t.limits.expire(now)
	t.expireRefusalLimits(now)
	t.expireLenders(now)
	t.expirePauses(now)
	t.listedAt = now
	slices.Sort(t.order)
}

// Server returns the entry of a server, or false if it is not listed.
func (t *Table) Server(id string) (spec.Server, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.servers[id]
	if !ok {
		return spec.Server{}, false
	}
	return s.Server, true
}

// Pick chooses a server and counts the request as sent to it. It returns false if no
// server may get the request now.
func (t *Table) Pick(req *Request, now time.Time) (Choice, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.candidates(req, now)
	if len(list) == 0 {
		return Choice{}, false
	}
	t.arrivals.add(now)
	best := t.choose(req, list)
	s, c := best.server, best.cost
	_, extra := t.full(s, req, now)
	_, refusalLimited := t.roomLimit(s, now)
	limit, limited := t.limits.limit(s.process())
	choice := Choice{
		Limited: limited, Limit: limit, Version: s.Version,
		ID: s.ID, Expected: c.time, Load: best.load, Cached: c.unread < req.Prompt, PrefillTime: t.model.PrefillTime(c.unread),
		server: s, refusalLimited: refusalLimited, extra: extra, born: s.Born, sent: now, deferrable: req.Deferrable, unread: c.unread, memory: req.Prompt + req.Output, output: req.Output,
	}
	t.recordSent(&choice, req, now)
	return choice, true
}

// choose returns the candidate for a request. A request with a shared prefix goes to
// the best server, as on other hosts, so that the prefix stays on one server.
func (t *Table) choose(req *Request, list []candidate) candidate {
	list = timely(req, list)
	unreported := t.unreported()
	if len(req.Parts) > 0 || unreported < minUnreported {
		return bestOf(list, t.rng)
	}
	return waterFill(list, unreported, t.rng)
}

// Expect returns the score of the best server for a request, to compare it with those
// of other regions, and the expected time to the first byte. It returns false if no
// server may get the request now.
func (t *Table) Expect(req *Request, now time.Time) (score, first time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.candidates(req, now)
	if len(list) == 0 {
		return 0, 0, false
	}
	best := bestOf(timely(req, list), t.rng)
	return best.cost.score, best.cost.time, true
}

// usable reports whether this host may send a request to a server now.
func (t *Table) usable(s *server, req *Request, now time.Time) bool {
	if t.leaving(s) || t.pause(s, now) > 0 || !s.available(req, now) {
		return false
	}
	if req.Via {
		return true
	}
	if full, _ := t.full(s, req, now); full {
		return false
	}
	a, limited := t.allowance(s, now)
	if !limited {
		return true
	}
	s.refill(a, now)
	return s.level >= 1
}

// candidates returns the servers that may get a request, with their costs.
func (t *Table) candidates(req *Request, now time.Time) []candidate {
	ranks := t.ranks(req.Prefix())
	list := make([]candidate, 0, len(t.order))
	for i, id := range t.order {
		s := t.servers[id]
		if t.usable(s, req, now) {
			list = append(list, s.candidate(req, &t.model, ranks[i], now))
		}
	}
	return list
}

// ranks returns the rendezvous rank of each server for a prefix, in the order of
// t.order. Rank 0 is the preferred server.
func (t *Table) ranks(prefix uint64) []int {
	ranks := make([]int, len(t.order))
	if prefix == 0 {
		return ranks
	}
	weights := make([]uint64, len(t.order))
	for i, id := range t.order {
		weights[i] = rendezvousWeight(prefix, id)
	}
	for i := range weights {
		for j := range weights {
			if weights[j] > weights[i] {
				ranks[i]++
			}
		}
	}
	return ranks
}

// rendezvousWeight returns the rendezvous hash of a server and a prefix.
func rendezvousWeight(prefix uint64, id string) uint64 {
	h := xxhash.Sum64String(id) ^ prefix
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// recordSent counts a request as sent to the server of a choice.
func (t *Table) recordSent(c *Choice, req *Request, now time.Time) {
	s := c.server
	s.local.add(c.load(1, c.unread, c.memory))
	s.updateLateShare(&t.model, now)
	if t.limited(s, now) {
		s.level--
	}
	if s.failures >= failureThreshold {
		s.probing = true
	}
	if len(req.Parts) == 0 {
		return
	}
	s.cache.put(req.Parts, t.cacheLimit(), now)
	t.placements = append(t.placements, timedPlacement{Placement{Server: s.ID, Parts: req.Parts}, now})
}

// cacheLimit returns the number of tokens of prefixes that a server should cache.
func (t *Table) cacheLimit() int { return int(cacheShare * float64(t.model.CacheTokens)) }

// FirstByte records the first byte of a response.
func (t *Table) FirstByte(c *Choice, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !c.firstByte.IsZero() {
		return
	}
	c.firstByte = now
	s := c.server
	s.local.add(c.load(0, -c.unread, 0))
	s.updateLateShare(&t.model, now)
	s.measure(now.Sub(c.sent), c.Expected, now)
	if c.Load.Unread == 0 && c.unread >= minPrefillSample && !t.limited(s, now) {
		t.model.observePrefill(now.Sub(c.sent), c.Expected)
	}
}

// Pace returns the estimated speed of the servers.
func (t *Table) Pace() Pace {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.model.Pace
}

// Done records the end of a request and its outcome.
func (t *Table) Done(c *Choice, o Outcome, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := c.server
	if c.firstByte.IsZero() {
		s.local.add(c.load(0, -c.unread, 0))
	}
	s.local.add(c.load(-1, 0, -c.memory))
	s.updateLateShare(&t.model, now)
	s.probing = false
	switch o {
	case Served:
		s.failures = 0
		s.refusals.only = false
		if c.outlived(s) {
			s.probation = false
		}
		s.errorRate *= 1 - errorWeight
		if c.Load.Running < s.slots(&t.model) {
			t.model.observeSlot(now.Sub(c.sent))
		}
		if t.model.Engine && !c.firstByte.IsZero() {
			t.model.observeToken(now.Sub(c.firstByte), c.output)
		}
	case Failed:
		s.failures = 0
		s.errorRate = s.errorRate*(1-errorWeight) + errorWeight
	case NotRun:
		s.fullUntil = now.Add(fullPeriod)
		if c.refusalLimited {
			s.refusals.add(c.extra, s.local.Running, now)
		}
	case WrongServer, NoConnect:
		s.recordFailure(failureThreshold, now)
	case Broken:
		s.errorRate = s.errorRate*(1-errorWeight) + errorWeight
		s.recordFailure(1, now)
	case Aborted:
	}
}

// HasProbation reports whether a server is on probation: it has failed, and its entry
// has not been confirmed by enough heartbeats since.
func (t *Table) HasProbation() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.servers {
		if s.probation {
			return true
		}
	}
	return false
}
