package pick

import "time"

// Part is a part of the shared prefix of a prompt.
type Part struct {
	// Key identifies the part together with all parts before it: a server has it
	// cached only if it has cached those too.
	Key uint64 `cbor:"1,keyasint"`
	// Tokens is the length of this part alone.
	Tokens int `cbor:"2,keyasint"`
}

// tokens returns the total length of parts.
func tokens(parts []Part) int {
	n := 0
	for _, p := range parts {
		n += p.Tokens
	}
	return n
}

// Prefix returns the key of the whole shared prefix, 0 if there is none.
func (r *Request) Prefix() uint64 {
	if len(r.Parts) == 0 {
		return 0
	}
	return r.Parts[len(r.Parts)-1].Key
}

// Shared returns the length of the shared prefix in tokens.
func (r *Request) Shared() int { return tokens(r.Parts) }

// cache models the contents of a server's prefix cache, a tree of parts. The least
// recently used part is evicted first. It is never an ancestor of another cached part,
// since each use of a part uses its ancestors too.
type cache struct {
	entries map[uint64]entry
	tokens  int
	// useCount counts the uses of parts. It orders uses at the same time.
	useCount uint64
}

type entry struct {
	tokens int
	used   time.Time
	// lastUse is the use count of the cache at the last use.
	lastUse uint64
}

func newCache() cache { return cache{entries: make(map[uint64]entry)} }

// hit returns the number of tokens of parts that are expected to be cached.
func (c *cache) hit(parts []Part, now time.Time) int {
	n := 0
	for _, p := range parts {
		e, ok := c.entries[p.Key]
		if !ok || now.Sub(e.used) >= prefixTTL {
			break
		}
		n += p.Tokens
	}
	return n
}

// put records the use of parts and evicts others while there are more than limit
// tokens.
func (c *cache) put(parts []Part, limit int, now time.Time) {
	for i := len(parts) - 1; i >= 0; i-- { // ancestors count as used later
		p := parts[i]
		c.tokens += p.Tokens - c.entries[p.Key].tokens
		c.useCount++
		c.entries[p.Key] = entry{tokens: p.Tokens, used: now, lastUse: c.useCount}
	}
	for c.tokens > limit && len(c.entries) > len(parts) {
		c.evict()
	}
}

func (c *cache) evict() {
	var oldest uint64
	least := c.useCount + 1
	for key, e := range c.entries {
		if e.lastUse < least {
			oldest = key
			least = e.lastUse
		}
	}
	c.tokens -= c.entries[oldest].tokens
	delete(c.entries, oldest)
}
