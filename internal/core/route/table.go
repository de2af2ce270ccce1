package route

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// Config holds the parameters of a Table.
type Config struct {
	// Region is the region of the servers.
	Region string
	// Cache is the maximum number of tokens tracked for the prefix cache of each
	// server. At most 8 million tokens are tracked for all servers together.
	Cache int
	// Prefill is the assumed prefill rate of servers that report none, in tokens
	// per second.
	Prefill int
	// ServiceTime is the initial estimate of the service time of a request. It is
	// updated as requests end.
	ServiceTime time.Duration
	// Backoff is how long a server gets no requests after its first failure.
	// It doubles with each further failure up to MaxBackoff.
	Backoff, MaxBackoff time.Duration
}

// DefaultConfig returns the parameters that daemons use.
func DefaultConfig(region string) Config {
	return Config{
		Region: region, Cache: 1 << 18, Prefill: 8000,
		ServiceTime: 2 * time.Second, Backoff: time.Second, MaxBackoff: 30 * time.Second,
	}
}

const (
	// noise is the maximum relative random change of a server's expected time.
	// It spreads the requests of hosts that have the same load reports.
	noise = 0.1
	// probeTimeout is the time after which a probe without a result no longer
	// prevents another one.
	probeTimeout = 30 * time.Second
	// serviceGain is the weight of one request in the moving average of the
	// service time.
	serviceGain = 0.05
	// tailGain is the weight of one response in the moving average of the
	// cached fraction of prompts beyond their tracked part.
	tailGain = 0.05
	// maxOutbox is the maximum number of placements queued for peers between
	// heartbeats.
	maxOutbox = 512
)

// Placement is a message to peers that a prompt with the given prefix was sent
// to a server.
type Placement struct {
	Addr   netip.AddrPort
	Digest uint64
	Tokens int
}

// CacheEvent is a change of a server's prefix cache as reported by the server.
type CacheEvent struct {
	Digest  uint64
	Tokens  int  // length of the prefix
	Evicted bool // the prefix was evicted; otherwise it was stored
	// At is the time of the change on this host's clock. Evictions older than
	// the last recorded use of the prefix are ignored.
	At time.Time
}

// Table chooses among the servers of one service in the local data centre. It
// is safe for concurrent use.
type Table struct {
	cfg Config

	mu          sync.Mutex
	rng         *rand.Rand
	hosts       float64 // number of hosts that send to the same servers
	serviceTime float64 // mean service time of a request in seconds
	tailCached  float64 // cached fraction of the untracked part of prompts
	cache       *cacheIndex
	states      []serverState
	listed      []int32 // slots of listed servers
	slots       map[netip.AddrPort]int32
	depth       []int32     // scratch: cached blocks by slot
	outbox      []Placement // not sent to peers yet
}

// NewTable returns a table without servers. It retains rng.
func NewTable(cfg Config, rng *rand.Rand) *Table {
	return &Table{
		cfg: cfg, rng: rng, hosts: 1, serviceTime: cfg.ServiceTime.Seconds(),
		cache: newCacheIndex(cfg.Cache),
		slots: make(map[netip.AddrPort]int32),
	}
}

// SetServers replaces the server list. A server that was in the previous list
// keeps its state.
func (t *Table) SetServers(servers []Server, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range t.states {
		t.states[i].listed = false
	}
	t.listed = t.listed[:0]
	t.cache.divideCapacity(len(servers))
	for _, server := range servers {
		if slot, ok := t.slots[server.Addr]; ok {
			t.states[slot].setServer(server)
		}
	}
	t.removeUnlisted(now)
	for _, server := range servers {
		slot, ok := t.slots[server.Addr]
		if !ok {
			slot = t.allocSlot()
			t.slots[server.Addr] = slot
			s := &t.states[slot]
			*s = serverState{gen: s.gen + 1, changes: new([maxChanges]loadChange), pendingAt: now.UnixNano()}
			s.setServer(server)
			s.setPrefill(t.cfg.Prefill)
		}
		t.listed = append(t.listed, slot)
	}
	t.depth = make([]int32, len(t.states))
}

// removeUnlisted removes the servers that are no longer listed.
func (t *Table) removeUnlisted(now time.Time) {
	for addr, slot := range t.slots {
		if !t.states[slot].listed {
			t.cache.removeAll(slot, now.UnixNano())
			delete(t.slots, addr)
		}
	}
}

// allocSlot returns an unused slot.
func (t *Table) allocSlot() int32 {
	for i := range t.states {
		if !t.states[i].listed {
			return int32(i)
		}
	}
	t.states = append(t.states, serverState{})
	t.cache.grow(len(t.states))
	return int32(len(t.states) - 1)
}

// SetHosts sets the number of healthy hosts that send to the same servers,
// including this one.
func (t *Table) SetHosts(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hosts = float64(max(n, 1))
}

// UpdateLoads processes load reports. Reports on servers that are not listed are
// ignored.
func (t *Table) UpdateLoads(loads []Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range loads {
		if slot, ok := t.slots[loads[i].Addr]; ok {
			t.states[slot].report(&loads[i], t.hosts)
		}
	}
}

// Pick chooses a server and counts the request as sent to it. When all servers
// are in backoff, it chooses one of them. The caller must call Done once with
// the result. The error is ErrRegion or ErrNoServer.
func (t *Table) Pick(req *Request, now time.Time) (Choice, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, err := t.best(req, now.UnixNano())
	if err == ErrNoServer && t.lastResort(req, &c) {
		t.complete(&c, req)
		err = nil
	}
	if err == nil {
		t.countSent(&c)
	}
	return c, err
}

// pickBelow is like Pick, but counts the request as sent only if its expected
// time, including the wait in this host's queue, is at most limit. It reports
// whether it did. It chooses no server in backoff.
func (t *Table) pickBelow(req *Request, limit time.Duration, now time.Time) (Choice, bool, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, err := t.best(req, now.UnixNano())
	if err != nil || req.QueueWait+c.Expected > limit {
		return c, false, err
	}
	t.countSent(&c)
	return c, true, nil
}

// best returns the server with the lowest expected time, without counting the
// request as sent.
func (t *Table) best(req *Request, at int64) (Choice, error) {
	if !req.allows(t.cfg.Region) {
		return Choice{}, ErrRegion
	}
	t.cache.match(req.Chain, t.depth)
	best := Choice{slot: none, chain: req.Chain, at: at}
	lowest := math.Inf(1)
	var randBits uint64 // random bits, 16 for each server
	for _, slot := range t.listed {
		s := &t.states[slot]
		ok, probe := s.available(at)
		if !ok || (len(req.Exclude) > 0 && slices.Contains(req.Exclude, s.server.Addr)) {
			continue
		}
		if randBits == 0 {
			randBits = t.rng.Uint64()
		}
		factor := 1 - noise + 2*noise/0x10000*float64(randBits&0xffff)
		randBits >>= 16
		depth := t.depth[slot]
		uncached := max(req.Prompt-t.cached(depth, req.Prompt), 1)
		cost := s.rtt + float64(uncached)*s.invPrefill
		if cost*factor >= lowest {
			continue
		}
		cost += s.wait(at, t.serviceTime)
		if cost*factor >= lowest {
			continue
		}
		lowest = cost * factor
		best.slot, best.matched, best.uncached, best.Probe = slot, depth, uncached, probe
		best.Expected = time.Duration(cost * float64(time.Second))
	}
	if best.slot == none {
		return best, ErrNoServer
	}
	t.complete(&best, req)
	return best, nil
}

// complete sets the fields of c that depend on the chosen slot.
func (t *Table) complete(c *Choice, req *Request) {
	s := &t.states[c.slot]
	c.Addr, c.gen = s.server.Addr, s.gen
	c.Cached = t.cached(c.matched, req.Prompt)
}

// lastResort chooses the server whose backoff ends first. It is used when all
// servers are in backoff and no other data centre takes the request, because one
// failed response must not make a service with a single server unavailable.
// Servers whose load report says leaving or down are not chosen.
func (t *Table) lastResort(req *Request, c *Choice) bool {
	for _, slot := range t.listed {
		s := &t.states[slot]
		if s.disabled || slices.Contains(req.Exclude, s.server.Addr) {
			continue
		}
		if c.slot == none || s.retryAt < t.states[c.slot].retryAt {
			c.slot, c.matched = slot, t.depth[slot]
			c.uncached = max(req.Prompt-t.cached(t.depth[slot], req.Prompt), 1)
		}
	}
	return c.slot != none
}

// cached returns the expected number of cached tokens of a prompt on a server
// that holds its first depth blocks. If the server holds all tracked blocks, the
// cached fraction of the rest is estimated from earlier responses.
func (t *Table) cached(depth int32, prompt int) int {
	n := int(depth) * BlockTokens
	if depth == MaxBlocks {
		n += int(t.tailCached * float64(prompt-n))
	}
	return min(n, prompt)
}

// learnCached updates the estimates of the server's cache capacity and of
// tailCached from the cached-token count of a response.
func (t *Table) learnCached(c *Choice, cached int) {
	t.cache.adjustCapacity(c.slot, c.matched, int32(cached/BlockTokens))
	const tracked = MaxBlocks * BlockTokens
	if rest := c.uncached + c.Cached - tracked; c.matched == MaxBlocks && rest >= BlockTokens {
		share := float64(max(0, cached-tracked)) / float64(rest)
		t.tailCached += tailGain * (min(share, 1) - t.tailCached)
	}
}

// countSent counts a choice as sent.
func (t *Table) countSent(c *Choice) {
	s := &t.states[c.slot]
	if c.Probe {
		s.probeStarted = c.at
	}
	s.recordChange(loadChange{at: c.at, tokens: int32(c.uncached), delta: 1}, t.hosts)
	t.recordPrefixes(c)
}

// recordPrefixes records that the server holds the whole prompt and its
// checkpoints, and queues placements for peers for those that are new. A peer
// gets only the digest of a prefix. The other prefixes are recorded by Done.
func (t *Table) recordPrefixes(c *Choice) {
	n := len(c.chain)
	if n == 0 || t.cache.usedRecently(c.slot, c.chain[n-1], c.at) {
		return
	}
	for ; n > 0; n = prevCheckpoint(n) {
		if t.cache.insertPrefix(c.slot, c.chain[n-1], n, c.at) && len(t.outbox) < maxOutbox {
			t.outbox = append(t.outbox, Placement{Addr: c.Addr, Digest: c.chain[n-1], Tokens: n * BlockTokens})
		}
	}
	t.cache.evictExcess(c.slot)
}

// Done records the result of a request. It ignores choices of servers that are
// no longer listed.
func (t *Table) Done(c Choice, res Result, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.slot < 0 || int(c.slot) >= len(t.states) {
		return
	}
	s := &t.states[c.slot]
	if s.gen != c.gen || !s.listed {
		return
	}
	at := now.UnixNano()
	s.recordChange(loadChange{at: at, delta: -1}, t.hosts)
	t.cache.evictLRU(c.slot)
	if res.Failed {
		t.backOff(s, c, at)
		return
	}
	if res.Aborted {
		if c.Probe {
			s.probeStarted = 0
		}
		return
	}
	if c.Probe || s.failures > 0 && c.at >= s.retryAt {
		s.failures, s.probeStarted = 0, 0
	}
	t.cache.insertChain(c.slot, c.chain, at)
	t.serviceTime += serviceGain * (float64(at-c.at)/1e9 - t.serviceTime)
	if res.Cached >= 0 {
		t.learnCached(&c, res.Cached)
	}
}

// backOff starts or extends the backoff of a server. Failures of requests that
// were sent before the backoff started are not counted again.
func (t *Table) backOff(s *serverState, c Choice, at int64) {
	if s.failures > 0 && !c.Probe {
		return
	}
	backoff := min(t.cfg.Backoff<<min(int(s.failures), 16), t.cfg.MaxBackoff)
	s.failures++
	s.probeStarted = 0
	s.retryAt = at + int64(backoff)
}

// AddPeerPlacements records placements received from a peer. Placements on servers that are
// not listed are ignored.
func (t *Table) AddPeerPlacements(placements []Placement, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range placements {
		if slot, ok := t.slots[p.Addr]; ok && p.Tokens >= BlockTokens {
			t.cache.insertPrefix(slot, p.Digest, min(p.Tokens/BlockTokens, MaxBlocks), now.UnixNano())
			t.cache.evictLRU(slot)
		}
	}
}

// ApplyCacheEvents records changes of a server's prefix cache. Lost events need no
// handling, because the cached-token counts of responses correct the estimates.
func (t *Table) ApplyCacheEvents(addr netip.AddrPort, events []CacheEvent) {
	t.mu.Lock()
	defer t.mu.Unlock()
	slot, ok := t.slots[addr]
	if !ok {
		return
	}
	for _, e := range events {
		switch {
		case e.Evicted:
			t.cache.evict(slot, e.Digest, e.At.UnixNano())
		case e.Tokens >= BlockTokens:
			t.cache.insertPrefix(slot, e.Digest, min(e.Tokens/BlockTokens, MaxBlocks), e.At.UnixNano())
		}
	}
	t.cache.evictLRU(slot)
}

// TakePlacements appends to dst the placements of this host since the last call,
// to be sent to peers.
func (t *Table) TakePlacements(dst []Placement) []Placement {
	t.mu.Lock()
	defer t.mu.Unlock()
	dst = append(dst, t.outbox...)
	t.outbox = t.outbox[:0]
	return dst
}
