package pick

import "time"

// Part is a part of a prompt that other requests share.
type Part struct {
	// Key stands for the part and all parts before it: a server has it cached
	// only if it has those too.
	Key uint64 `cbor:"1,keyasint"`
	// Tokens is the length of the part alone.
	Tokens int `cbor:"2,keyasint"`
}

// tokens returns the length of parts.
func tokens(parts []Part) int {
	n := 0
	for _, p := range parts {
		n += p.Tokens
	}
	return n
}

// Prefix returns the key of all parts of a request, 0 if there are none.
func (r *Request) Prefix() uint64 {
	if len(r.Parts) == 0 {
		return 0
	}
	return r.Parts[len(r.Parts)-1].Key
}

// Shared returns the tokens of all parts of a request.
func (r *Request) Shared() int { return tokens(r.Parts) }

// cache is what a server's prefix cache is expected to hold, as a tree of
// parts. The least recently used part yields first; it is never one before
// another that is held, since using a part uses those before it.
type cache struct {
	entries map[uint64]entry
	tokens  int
	// uses counts the uses of parts: it orders those of one moment.
	uses uint64
}

type entry struct {
	tokens int
	used   time.Time
	order  uint64
}

func newCache() cache { return cache{entries: make(map[uint64]entry)} }

// hit returns how many tokens of parts are expected to be cached.
func (c *cache) hit(parts []Part, now time.Time) int {
	n := 0
	for _, p := range parts {
		e, ok := c.entries[p.Key]
		if !ok || now.Sub(e.used) >= placedFor {
			break
		}
		n += p.Tokens
	}
	return n
}

// put records the use of parts and drops others beyond limit tokens.
func (c *cache) put(parts []Part, limit int, now time.Time) {
	for i := len(parts) - 1; i >= 0; i-- { // the first part is used last
		p := parts[i]
		c.tokens += p.Tokens - c.entries[p.Key].tokens
		c.uses++
		c.entries[p.Key] = entry{tokens: p.Tokens, used: now, order: c.uses}
	}
	for c.tokens > limit && len(c.entries) > len(parts) {
		c.evict()
	}
}

func (c *cache) evict() {
	var oldest uint64
	least := c.uses + 1
	for key, e := range c.entries {
		if e.order < least {
			oldest = key
			least = e.order
		}
	}
	c.tokens -= c.entries[oldest].tokens
	delete(c.entries, oldest)
}
