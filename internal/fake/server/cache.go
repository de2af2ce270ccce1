package server

import (
	"container/list"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// BlockSize is the size in bytes of the blocks into which a prompt is divided for the
// prefix cache.
const BlockSize = 256

// blockTokens is the number of tokens in a block, at 4 bytes per token.
const blockTokens = BlockSize / 4

// maxEvents bounds the cache events that can be read; the older half is dropped at the
// bound.
const maxEvents = 4096

// Digests returns the digests of a prompt's complete blocks. Each digest covers the
// prompt from its start, so that equal digests mean equal prefixes.
func Digests(prompt []byte) []uint64 {
	h := xxhash.New()
	var all []uint64
	for len(prompt) >= BlockSize {
		h.Write(prompt[:BlockSize])
		all = append(all, h.Sum64())
		prompt = prompt[BlockSize:]
	}
	return all
}

// CacheEvent reports that a block was stored or evicted.
type CacheEvent struct {
	Seq    uint64 `json:"seq"`
	Op     string `json:"op"` // "add" or "drop"
	Digest uint64 `json:"digest,string"`
	Tokens int    `json:"tokens"`

	at time.Time
}

// CachePage is the response to a read of cache events.
type CachePage struct {
	Events []CacheEvent `json:"events"`
	Next   uint64       `json:"next"` // sequence number to read after next time
	Epoch  string       `json:"epoch"`
}

// cache is a prefix cache of bounded size that evicts the least recently used blocks.
type cache struct {
	size    int // blocks
	loseNth int // every loseNth-th event is lost; 0 for none
	epoch   string

	mu     sync.Mutex
	blocks map[uint64]*list.Element
	lru    *list.List // of block, most recently used first
	seq    uint64
	events []CacheEvent
}

// block is a stored block.
type block struct {
	digest uint64
	tokens int
}

func newCache(tokens, loseNth int, epoch string) *cache {
	return &cache{
		size: tokens / blockTokens, loseNth: loseNth, epoch: epoch,
		blocks: make(map[uint64]*list.Element), lru: list.New(),
	}
}

// use returns the number of prompt tokens found in the cache, and stores the blocks of
// the whole prompt.
func (c *cache) use(digests []uint64) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := 0
	for found < len(digests) && c.blocks[digests[found]] != nil {
		found++
	}
	// The last block is used first, so that eviction removes a prefix from its end.
	for i, d := range slices.Backward(digests) {
		if e := c.blocks[d]; e != nil {
			c.lru.MoveToFront(e)
			continue
		}
		b := block{digest: d, tokens: (i + 1) * blockTokens}
		c.blocks[d] = c.lru.PushFront(b)
		c.event("add", b)
	}
	for c.lru.Len() > c.size {
		b := c.lru.Remove(c.lru.Back()).(block)
		delete(c.blocks, b.digest)
		c.event("drop", b)
	}
	return found * blockTokens
}

// event records a change, unless it is one of the events to lose.
func (c *cache) event(op string, b block) {
	c.seq++
	if c.loseNth > 0 && c.seq%uint64(c.loseNth) == 0 {
		return
	}
	if len(c.events) >= maxEvents {
		c.events = slices.Delete(c.events, 0, maxEvents/2)
	}
	c.events = append(c.events, CacheEvent{Seq: c.seq, Op: op, Digest: b.digest, Tokens: b.tokens, at: time.Now()})
}

// page returns the events with a sequence number above after that are at least lag old.
func (c *cache) page(after uint64, lag time.Duration) CachePage {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := CachePage{Events: []CacheEvent{}, Next: after, Epoch: c.epoch}
	before := time.Now().Add(-lag)
	for _, e := range c.events {
		if e.Seq > after && !e.at.After(before) {
			p.Events = append(p.Events, e)
			p.Next = e.Seq
		}
	}
	return p
}
