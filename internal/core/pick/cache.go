package pick

import "time"

// cache is what a server's prefix cache is expected to hold. The least
// recently used prefix yields first.
type cache struct {
	entries map[uint64]entry
	tokens  int
}

type entry struct {
	tokens int
	used   time.Time
}

func newCache() cache { return cache{entries: make(map[uint64]entry)} }

// holds reports whether a prefix is expected to be cached.
func (c *cache) holds(prefix uint64, now time.Time) bool {
	e, ok := c.entries[prefix]
	return ok && now.Sub(e.used) < placedFor
}

// put records the use of a prefix and drops others beyond limit tokens.
func (c *cache) put(prefix uint64, tokens, limit int, now time.Time) {
	if old, ok := c.entries[prefix]; ok {
		c.tokens -= old.tokens
	}
	c.entries[prefix] = entry{tokens: tokens, used: now}
	c.tokens += tokens
	for c.tokens > limit && len(c.entries) > 1 {
		c.evict()
	}
}

func (c *cache) evict() {
	var oldest uint64
	var at time.Time
	for p, e := range c.entries {
		if at.IsZero() || e.used.Before(at) {
			oldest = p
			at = e.used
		}
	}
	c.tokens -= c.entries[oldest].tokens
	delete(c.entries, oldest)
}
