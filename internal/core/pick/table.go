package pick

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccalb/yuccalb/internal/core/spec"
)

// placedReport is how long a placement is repeated in reports, so that one
// lost report does no harm.
const placedReport = time.Second

// Table holds the servers of one service in the own region.
type Table struct {
	mu      sync.Mutex
	model   model
	warm    Warming
	servers map[string]*server
	order   []string // sorted, for equal decisions in equal states
	placed  []placed
	// departed are processes that have said that they leave, with the time at
	// which they were last listed.
	departed map[Process]time.Time
	rng      *rand.Rand
	// arrivals are the own requests.
	arrivals arrivals
}

// NewTable returns an empty table; rng breaks ties.
func NewTable(svc spec.Service, rng *rand.Rand) *Table {
	return &Table{model: model{svc, NewPace(svc.Engine)}, servers: make(map[string]*server), departed: make(map[Process]time.Time), rng: rng}
}

// Update replaces the servers as they were listed at now.
func (t *Table) Update(svc spec.Service, list []spec.Server, evacuated []string, warm Warming, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.model.Service = svc
	t.warm = warm
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
		s.update(e, now)
		s.evacuated = slices.Contains(evacuated, e.Site)
	}
	for id := range t.servers {
		if !seen[id] {
			delete(t.servers, id)
		}
	}
	t.forget(now)
	slices.Sort(t.order)
}

// Server returns the entry of a server.
func (t *Table) Server(id string) (spec.Server, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.servers[id]
	if !ok {
		return spec.Server{}, false
	}
	return s.Server, true
}

// Pick chooses a server and counts the request as sent to it. It returns
// false when no server may get the request now.
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
	t.send(s, req, c.unread, now)
	return Choice{
		ID: s.ID, Expected: c.time, Load: best.load, Cached: c.unread < req.Prompt, Read: t.model.ReadTime(c.unread),
		server: s, born: s.Born, at: now, unread: c.unread, memory: req.Prompt + req.Output, output: req.Output,
	}, true
}

// choose returns the candidate for a request. Requests with a prefix go to the
// server that holds it, as those of other hosts do.
func (t *Table) choose(req *Request, list []candidate) candidate {
	unseen := t.unseen()
	if len(req.Parts) > 0 || unseen < leastUnseen {
		return bestOf(list, t.rng)
	}
	return fill(list, unseen, t.rng)
}

// Expect returns the score of the best server for a request, which is
// compared with that of other regions, and the expected time to the first
// byte; or false when no server may get the request now.
func (t *Table) Expect(req *Request, now time.Time) (score, first time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.candidates(req, now)
	if len(list) == 0 {
		return 0, 0, false
	}
	best := bestOf(list, t.rng)
	return best.cost.score, best.cost.time, true
}

// candidates returns the servers that may get a request.
func (t *Table) candidates(req *Request, now time.Time) []candidate {
	ranks := t.ranks(req.Prefix())
	list := make([]candidate, 0, len(t.order))
	for i, id := range t.order {
		s := t.servers[id]
		if !t.leaving(s) && s.usable(req, &t.model.Service, &t.warm, now) {
			list = append(list, s.candidate(req, &t.model, ranks[i], now))
		}
	}
	return list
}

// ranks returns the rendezvous rank of each server of order for a prefix.
func (t *Table) ranks(prefix uint64) []int {
	ranks := make([]int, len(t.order))
	if prefix == 0 {
		return ranks
	}
	weights := make([]uint64, len(t.order))
	for i, id := range t.order {
		weights[i] = weight(prefix, id)
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

// weight is the rendezvous weight of a server for a prefix.
func weight(prefix uint64, id string) uint64 {
	h := xxhash.Sum64String(id) ^ prefix
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

func (t *Table) send(s *server, req *Request, unread int, now time.Time) {
	s.own.add(Load{Running: 1, Unread: unread, Memory: req.Prompt + req.Output})
	s.reads(&t.model, now)
	if s.limited(now) {
		s.allow--
	}
	if s.failures >= failuresDown {
		s.probing = true
	}
	if len(req.Parts) == 0 {
		return
	}
	s.cache.put(req.Parts, t.cacheLimit(), now)
	t.placed = append(t.placed, placed{Placement{Server: s.ID, Parts: req.Parts}, now})
}

func (t *Table) cacheLimit() int { return int(cacheShare * float64(t.model.Cache)) }

// Begun records the first byte of a response.
func (t *Table) Begun(c *Choice, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !c.begun.IsZero() {
		return
	}
	c.begun = now
	s := c.server
	s.own.Unread -= c.unread
	s.reads(&t.model, now)
	s.measure(now.Sub(c.at), c.Expected, now)
	if c.Load.Unread == 0 && c.unread >= readLeast && !s.limited(now) {
		t.model.read(now.Sub(c.at), c.Expected)
	}
}

// Pace returns how fast the servers work.
func (t *Table) Pace() Pace {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.model.Pace
}

// Done records the end of a request.
func (t *Table) Done(c *Choice, o Outcome, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := c.server
	l := Load{Running: -1, Memory: -c.memory}
	if c.begun.IsZero() {
		l.Unread = -c.unread
	}
	s.own.add(l)
	s.reads(&t.model, now)
	s.probing = false
	switch o {
	case Served:
		s.failures = 0
		s.errors *= 1 - errorWeight
		if c.Load.Running < s.slots(&t.model) {
			t.model.held(now.Sub(c.at))
		}
		if t.model.Engine && !c.begun.IsZero() {
			t.model.token(now.Sub(c.begun), c.output)
		}
	case Failed:
		s.failures = 0
		s.errors = s.errors*(1-errorWeight) + errorWeight
	case NotRun:
		s.fullUntil = now.Add(fullFor)
	case Gone, NoConnect:
		s.fail(failuresDown, now)
	case Broken:
		s.errors = s.errors*(1-errorWeight) + errorWeight
		s.fail(1, now)
	case Aborted:
	}
}

// Unsure reports whether a server has failed and its entry does not tell yet
// what became of it.
func (t *Table) Unsure() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.servers {
		if s.probation {
			return true
		}
	}
	return false
}

// Peer replaces what another host of the region reports of its requests, and
// takes over its placements.
func (t *Table) Peer(host string, loads map[string]Load, placements []Placement, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, s := range t.servers {
		l, ok := loads[id]
		if !ok {
			delete(s.peers, host)
		} else {
			s.peers[host] = l
		}
		s.reads(&t.model, now)
	}
	for _, p := range placements {
		if s := t.servers[p.Server]; s != nil && len(p.Parts) <= MaxParts {
			s.cache.put(p.Parts, t.cacheLimit(), now)
		}
	}
}

// Report returns the load of the own requests by server and the placements of
// the last second.
func (t *Table) Report(now time.Time) (map[string]Load, []Placement) {
	t.mu.Lock()
	defer t.mu.Unlock()
	loads := make(map[string]Load)
	for id, s := range t.servers {
		if s.own != (Load{}) {
			loads[id] = s.own
		}
	}
	t.placed = slices.DeleteFunc(t.placed, func(p placed) bool { return now.Sub(p.at) > placedReport })
	type copied struct {
		server string
		prefix uint64
	}
	told := make(map[copied]bool)
	list := make([]Placement, 0, len(t.placed))
	for _, p := range t.placed {
		if c := (copied{p.Server, p.prefix()}); !told[c] {
			told[c] = true
			list = append(list, p.Placement)
		}
	}
	return loads, list
}

// maxHeld bounds the parts that a region tells the others of.
const maxHeld = 256

// Held returns short forms of the parts that servers are expected to cache,
// those used last if there are too many.
func (t *Table) Held(now time.Time) []uint32 {
	t.mu.Lock()
	defer t.mu.Unlock()
	last := make(map[uint32]time.Time)
	for _, s := range t.servers {
		if t.leaving(s) {
			continue
		}
		for key, e := range s.cache.entries {
			if k := Short(key); now.Sub(e.used) < placedFor && e.used.After(last[k]) {
				last[k] = e.used
			}
		}
	}
	list := slices.SortedFunc(maps.Keys(last), func(a, b uint32) int { return last[b].Compare(last[a]) })
	return list[:min(len(list), maxHeld)]
}

// Short returns the short form of a part's key in reports.
func Short(prefix uint64) uint32 { return uint32(prefix >> 32) }

// Summary is the state of a service in a region.
type Summary struct {
	// Servers is the number of usable servers, Wait the expected time to the
	// first byte of a short request: the mean of the better half of them, to
	// which requests go.
	Servers int
	Wait    time.Duration
}

// Summary returns the state of the service.
func (t *Table) Summary(now time.Time) Summary {
	t.mu.Lock()
	defer t.mu.Unlock()
	var sum Summary
	var waits []time.Duration
	for _, s := range t.servers {
		if t.leaving(s) || now.Before(s.restUntil) || s.failures >= failuresDown || s.limited(now) {
			continue
		}
		sum.Servers++
		waits = append(waits, s.cost(s.total(), &Request{}, &t.model, 0, now).time)
	}
	if sum.Servers > 0 {
		sum.Wait = lowerMean(waits)
	}
	return sum
}

// lowerMean returns the mean of the lower half of list, which must not be
// empty.
func lowerMean(list []time.Duration) time.Duration {
	slices.Sort(list)
	half := list[:(len(list)+1)/2]
	var sum time.Duration
	for _, d := range half {
		sum += d
	}
	return sum / time.Duration(len(half))
}
