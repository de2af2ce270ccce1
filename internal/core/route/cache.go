package route

import (
	"math/bits"
	"slices"
)

// prefix is a prompt prefix that at least one server is expected to have cached.
type prefix struct {
	digest  uint64
	servers int32 // number of servers that hold it
}

// entry records that one server holds one prefix. The entries of a server form
// a doubly linked list, most recently used first.
type entry struct {
	used       int64 // Unix nanoseconds
	prefix     int32
	prev, next int32
	weight     int32 // blocks counted for this entry
	full       bool  // all shorter prefixes have entries, too
}

// serverCache is the list of one server's entries. Its capacity is adjusted to
// the cached-token counts in responses, because the size of the server's prefix
// cache is not known.
type serverCache struct {
	mostRecent, leastRecent int32
	blocks                  int32
	capacity                int32
}

// cacheIndex is an estimate of which prompt prefixes the servers of a service
// have cached. It holds at most serverLimit blocks for each server and maxBlocks
// in total. It is not safe for concurrent use.
type cacheIndex struct {
	serverLimit    int32 // maximum number of blocks per server
	configured     int32 // serverLimit before maxBlocks is applied
	words          int   // length of a server set in 64-bit words
	prefixByDigest map[uint64]int32
	prefixes       []prefix
	sets           []uint64 // bit set of the servers that hold prefix i, at i*words
	entryByKey     map[uint64]int32
	pool           []entry
	caches         []serverCache

	matched, empty []uint64 // scratch set of match and the set without servers

	freePrefixes []int32
	freeEntries  []int32
}

// maxBlocks is the maximum number of blocks tracked for all servers of a
// service. A block takes 156 bytes at 200 servers, about 20 MB in total.
const maxBlocks = 1 << 17

// none marks the end of a list of entries and an unset slot.
const none = int32(-1)

// touchPeriod is the minimum time, in nanoseconds, between two uses of a prefix
// that move its entries to the front. Moving up to 64 entries on every routing
// decision doubled the time of a decision.
const touchPeriod = int64(1e9)

func newCacheIndex(tokens int) *cacheIndex {
	configured := int32(max(tokens/BlockTokens, 1))
	return &cacheIndex{
		serverLimit:    configured,
		configured:     configured,
		words:          1,
		matched:        make([]uint64, 1),
		empty:          make([]uint64, 1),
		prefixByDigest: make(map[uint64]int32),
		entryByKey:     make(map[uint64]int32),
	}
}

// entryKey returns the key of an entry in entryByKey.
func entryKey(prefix, slot int32) uint64 { return uint64(prefix)<<32 | uint64(uint32(slot)) }

// divideCapacity divides maxBlocks evenly among the given number of servers.
func (c *cacheIndex) divideCapacity(servers int) {
	c.serverLimit = min(c.configured, int32(max(maxBlocks/max(servers, 1), 1)))
	for slot := range c.caches {
		s := &c.caches[slot]
		s.capacity = min(s.capacity, c.serverLimit)
		c.evictLRU(int32(slot))
	}
}

// grow allocates server slots up to the given number.
func (c *cacheIndex) grow(slots int) {
	for len(c.caches) < slots {
		c.caches = append(c.caches, serverCache{mostRecent: none, leastRecent: none, capacity: c.serverLimit})
	}
	words := (slots + 63) / 64
	if words <= c.words {
		return
	}
	sets := make([]uint64, len(c.prefixes)*words)
	for i := range c.prefixes {
		copy(sets[i*words:], c.sets[i*c.words:(i+1)*c.words])
	}
	c.sets, c.words = sets, words
	c.matched, c.empty = make([]uint64, words), make([]uint64, words)
}

// matcher computes how many leading blocks of one chain each server holds.
type matcher struct {
	*cacheIndex
	chain   []uint64
	depth   []int32
	matched []uint64 // servers matched at a longer prefix
}

// match sets depth[slot] to the number of leading blocks of chain that the
// server in each slot is expected to hold. It looks up the whole chain and the
// checkpoints (see prevCheckpoint), and prefixes between two of these only when
// their server sets differ. Looking up all 64 prefixes took half of the time of
// a decision.
func (c *cacheIndex) match(chain []uint64, depth []int32) {
	clear(depth)
	if len(chain) == 0 {
		return
	}
	clear(c.matched)
	m := matcher{cacheIndex: c, chain: chain, depth: depth, matched: c.matched}
	longer := len(chain)
	longerSet := m.setOf(longer)
	m.apply(longer, longerSet)
	for longer > 1 {
		shorter := prevCheckpoint(longer)
		shorterSet := m.setOf(shorter)
		m.refine(shorter, longer, shorterSet, longerSet)
		m.apply(shorter, shorterSet)
		longer, longerSet = shorter, shorterSet
	}
}

// refine matches the prefixes between shorter and longer blocks by bisection,
// longest first.
func (m *matcher) refine(shorter, longer int, shorterSet, longerSet []uint64) {
	if longer-shorter < 2 || slices.Equal(shorterSet, longerSet) {
		return
	}
	mid := (shorter + longer) / 2
	set := m.setOf(mid)
	m.refine(mid, longer, set, longerSet)
	m.apply(mid, set)
	m.refine(shorter, mid, shorterSet, set)
}

// apply sets the depth of the servers in set to n unless they already matched
// a longer prefix.
func (m *matcher) apply(n int, set []uint64) {
	for w, word := range set {
		word &^= m.matched[w]
		m.matched[w] |= word
		for ; word != 0; word &= word - 1 {
			m.depth[w*64+bits.TrailingZeros64(word)] = int32(n)
		}
	}
}

// setOf returns the set of servers that hold the first n blocks.
func (m *matcher) setOf(n int) []uint64 {
	i, ok := m.prefixByDigest[m.chain[n-1]]
	if !ok {
		return m.empty
	}
	return m.sets[int(i)*m.words : (int(i)+1)*m.words]
}

// insertChain records that the server in slot holds all blocks of chain. It
// inserts the longest prefix first, so that longer prefixes are evicted before
// the shorter ones that they extend.
func (c *cacheIndex) insertChain(slot int32, chain []uint64, at int64) {
	if len(chain) == 0 {
		return
	}
	if e, ok := c.find(slot, chain[len(chain)-1]); ok && c.pool[e].full && at-c.pool[e].used < touchPeriod {
		return
	}
	for i := len(chain) - 1; i >= 0; i-- {
		c.add(slot, chain[i], 1, at)
	}
	if e, ok := c.find(slot, chain[len(chain)-1]); ok {
		c.pool[e].full = true
	}
	c.evictLRU(slot)
}

// insertPrefix records a prefix of n blocks of which only the last digest is
// known. It reports whether the prefix is new. It evicts nothing; the caller
// must do so.
func (c *cacheIndex) insertPrefix(slot int32, digest uint64, n int, at int64) bool {
	return c.add(slot, digest, int32(n-prevCheckpoint(n)), at)
}

// evictExcess evicts entries only if slot exceeds twice its capacity. Routing
// decisions call it instead of evictLRU, which Done calls when the request ends,
// because eviction took a quarter of the time of a decision.
func (c *cacheIndex) evictExcess(slot int32) {
	if s := &c.caches[slot]; s.blocks > 2*s.capacity {
		c.evictLRU(slot)
	}
}

// checkpointStep is the distance, in blocks, between checkpoints after the first
// checkpointStep blocks.
const checkpointStep = 8

// prevCheckpoint returns the length of the longest checkpoint shorter than n
// blocks, or 0 if there is none. Checkpoints are the prefixes that are recorded
// as soon as a prompt is sent. They have 1, 2, 4 or a multiple of 8 blocks.
func prevCheckpoint(n int) int {
	switch {
	case n <= 1:
		return 0
	case n <= checkpointStep:
		return 1 << (bits.Len(uint(n-1)) - 1)
	}
	return (n - 1) / checkpointStep * checkpointStep
}

// usedRecently reports whether a prefix was used less than touchPeriod before at.
func (c *cacheIndex) usedRecently(slot int32, digest uint64, at int64) bool {
	e, ok := c.find(slot, digest)
	return ok && at-c.pool[e].used < touchPeriod
}

func (c *cacheIndex) find(slot int32, digest uint64) (int32, bool) {
	n, ok := c.prefixByDigest[digest]
	if !ok {
		return none, false
	}
	e, ok := c.entryByKey[entryKey(n, slot)]
	return e, ok
}

// add inserts an entry for a digest, or moves the existing one to the front. It
// reports whether the entry was inserted.
func (c *cacheIndex) add(slot int32, digest uint64, weight int32, at int64) bool {
	n := c.prefixOf(digest)
	s := &c.caches[slot]
	word, bit := int(n)*c.words+int(slot)/64, uint64(1)<<(slot%64)
	if c.sets[word]&bit != 0 {
		e := c.entryByKey[entryKey(n, slot)]
		s.blocks += min(weight, c.pool[e].weight) - c.pool[e].weight
		c.pool[e].weight = min(weight, c.pool[e].weight)
		c.unlink(s, e)
		c.pushFront(s, e)
		c.pool[e].used = max(c.pool[e].used, at)
		return false
	}
	e := c.newEntry(entry{used: at, prefix: n, weight: weight})
	c.entryByKey[entryKey(n, slot)] = e
	c.sets[word] |= bit
	c.prefixes[n].servers++
	s.blocks += weight
	c.pushFront(s, e)
	return true
}

// removeEntry removes an entry of slot, and its prefix if no server holds it.
func (c *cacheIndex) removeEntry(slot, e int32) {
	s := &c.caches[slot]
	n := c.pool[e].prefix
	s.blocks -= c.pool[e].weight
	c.unlink(s, e)
	c.freeEntries = append(c.freeEntries, e)
	delete(c.entryByKey, entryKey(n, slot))
	c.sets[int(n)*c.words+int(slot)/64] &^= 1 << (slot % 64)
	c.prefixes[n].servers--
	if c.prefixes[n].servers == 0 {
		delete(c.prefixByDigest, c.prefixes[n].digest)
		c.freePrefixes = append(c.freePrefixes, n)
	}
}

// evict removes the entry of a digest unless it was used after at.
func (c *cacheIndex) evict(slot int32, digest uint64, at int64) {
	if e, ok := c.find(slot, digest); ok && c.pool[e].used <= at {
		c.removeEntry(slot, e)
	}
}

// removeAll removes all entries of slot that were not used after at.
func (c *cacheIndex) removeAll(slot int32, at int64) {
	for e := c.caches[slot].mostRecent; e != none; {
		next := c.pool[e].next
		if c.pool[e].used <= at {
			c.removeEntry(slot, e)
		}
		e = next
	}
}

// evictLRU evicts the least recently used entries beyond the capacity of slot.
func (c *cacheIndex) evictLRU(slot int32) {
	s := &c.caches[slot]
	for s.blocks > s.capacity && s.leastRecent != none {
		c.removeEntry(slot, s.leastRecent)
	}
}

// adjustCapacity adjusts the capacity of slot to a response: expected is the
// number of blocks expected to be cached, got the number that the server
// reported. A miss lowers the capacity by 1/16 and a hit raises it by 1/256 of
// serverLimit.
func (c *cacheIndex) adjustCapacity(slot, expected, got int32) {
	s := &c.caches[slot]
	switch {
	case got < expected-1:
		s.capacity = max(s.capacity-s.capacity/16, c.serverLimit/16, 1)
		c.evictLRU(slot)
	case expected > 0:
		s.capacity = min(s.capacity+c.serverLimit/256+1, c.serverLimit)
	}
}

// prefixOf returns the index of the prefix with the given digest, which it adds
// if necessary.
func (c *cacheIndex) prefixOf(digest uint64) int32 {
	if n, ok := c.prefixByDigest[digest]; ok {
		return n
	}
	var n int32
	if k := len(c.freePrefixes); k > 0 {
		n = c.freePrefixes[k-1]
		c.freePrefixes = c.freePrefixes[:k-1]
		c.prefixes[n] = prefix{digest: digest}
	} else {
		n = int32(len(c.prefixes))
		c.prefixes = append(c.prefixes, prefix{digest: digest})
		for range c.words {
			c.sets = append(c.sets, 0)
		}
	}
	c.prefixByDigest[digest] = n
	return n
}

func (c *cacheIndex) newEntry(e entry) int32 {
	if k := len(c.freeEntries); k > 0 {
		i := c.freeEntries[k-1]
		c.freeEntries = c.freeEntries[:k-1]
		c.pool[i] = e
		return i
	}
	c.pool = append(c.pool, e)
	return int32(len(c.pool) - 1)
}

func (c *cacheIndex) pushFront(s *serverCache, e int32) {
	c.pool[e].prev, c.pool[e].next = none, s.mostRecent
	if s.mostRecent != none {
		c.pool[s.mostRecent].prev = e
	} else {
		s.leastRecent = e
	}
	s.mostRecent = e
}

func (c *cacheIndex) unlink(s *serverCache, e int32) {
	prev, next := c.pool[e].prev, c.pool[e].next
	if prev != none {
		c.pool[prev].next = next
	} else {
		s.mostRecent = next
	}
	if next != none {
		c.pool[next].prev = prev
	} else {
		s.leastRecent = prev
	}
}
