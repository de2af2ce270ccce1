package replay

import (
	"container/heap"
	"container/list"
	"net/netip"
	"slices"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/route"
)

// Constants of the simulated engines and of the load reports.
const (
	engineLimit   = 16          // requests in the batch
	enginePrefill = 6000        // prompt tokens per second
	engineBlocks  = 1500        // blocks in the prefix cache
	tokenTime     = 20e-3       // seconds per output token while the batch is empty
	reportAge     = time.Second // delay until a load report reaches the hosts
)

// LinkRate is the bandwidth between regions in bytes per second.
const LinkRate = 140e6 / 8

// clock runs events in order of simulated time, and events of the same time in the
// order in which they were scheduled.
type clock struct {
	now    time.Time
	seq    int
	events []event
}

type event struct {
	at  time.Time
	seq int
	run func()
}

func (c *clock) Len() int { return len(c.events) }
func (c *clock) Less(i, j int) bool {
	a, b := &c.events[i], &c.events[j]
	return a.at.Before(b.at) || a.at.Equal(b.at) && a.seq < b.seq
}
func (c *clock) Swap(i, j int) { c.events[i], c.events[j] = c.events[j], c.events[i] }
func (c *clock) Push(x any)    { c.events = append(c.events, x.(event)) }
func (c *clock) Pop() any {
	e := c.events[len(c.events)-1]
	c.events = c.events[:len(c.events)-1]
	return e
}

func (c *clock) after(d time.Duration, run func()) {
	c.seq++
	heap.Push(c, event{c.now.Add(d), c.seq, run})
}

func (c *clock) run() {
	for c.Len() > 0 {
		e := heap.Pop(c).(event)
		c.now = e.at
		e.run()
	}
}

// job is a request at an engine. The callbacks get the number of cached tokens.
type job struct {
	row      *Row
	priority int // 0 goes first
	chain    []uint64
	cached   int // tokens
	onFirst  func(cached int)
	onDone   func(cached int)
}

// engine simulates a model engine: a batch of limited size, prefill of one prompt
// at a time, decoding that slows down as the batch fills, and a prefix cache that
// evicts the least recently used blocks.
type engine struct {
	clock        *clock
	addr         netip.AddrPort
	region       string
	down         bool
	waiting      []*job
	batch        int
	prefill      []*job     // in the batch, waiting for prefill or in it
	prefillStart time.Time  // start of the current prefill
	lru          *list.List // digests of blocks, most recently used first
	blocks       map[uint64]*list.Element
	events       []route.CacheEvent // not yet delivered to the hosts
	busy         float64            // accelerator seconds
}

// submit adds a job behind those that wait and are as urgent.
func (e *engine) submit(j *job) {
	i := len(e.waiting)
	for i > 0 && e.waiting[i-1].priority > j.priority {
		i--
	}
	e.waiting = slices.Insert(e.waiting, i, j)
	e.admit()
}

// admit moves waiting jobs into free batch slots.
func (e *engine) admit() {
	for e.batch < engineLimit && len(e.waiting) > 0 {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.batch++
		e.prefill = append(e.prefill, j)
		if len(e.prefill) == 1 {
			e.startPrefill()
		}
	}
}

// startPrefill starts the prefill of the first job in e.prefill, and after it the
// decoding of the response.
func (e *engine) startPrefill() {
	j := e.prefill[0]
	e.prefillStart = e.clock.now
	j.cached = min(e.lookup(j.chain)*route.BlockTokens, j.row.Prompt)
	d := float64(j.row.Prompt-j.cached+1) / enginePrefill
	e.busy += d
	e.clock.after(seconds(d), func() {
		e.store(j.chain)
		e.prefill = e.prefill[1:]
		if len(e.prefill) > 0 {
			e.startPrefill()
		}
		j.onFirst(j.cached)
		e.busy += float64(j.row.Answer) * tokenTime / engineLimit
		perToken := tokenTime * (1 + 0.5*float64(e.batch)/engineLimit)
		e.clock.after(seconds(float64(j.row.Answer)*perToken), func() {
			e.batch--
			j.onDone(j.cached)
			e.admit()
		})
	})
}

// lookup returns the length of the cached prefix in blocks.
func (e *engine) lookup(chain []uint64) int {
	for i, digest := range chain {
		if e.blocks[digest] == nil {
			return i
		}
	}
	return len(chain)
}

// store adds the blocks of a prompt to the cache, evicts the least recently used ones
// and records both as cache events. The first block becomes the most recently used.
func (e *engine) store(chain []uint64) {
	for i := len(chain) - 1; i >= 0; i-- {
		if el := e.blocks[chain[i]]; el != nil {
			e.lru.MoveToFront(el)
			continue
		}
		e.blocks[chain[i]] = e.lru.PushFront(chain[i])
		e.events = append(e.events, route.CacheEvent{Digest: chain[i], Tokens: (i + 1) * route.BlockTokens, At: e.clock.now})
	}
	for e.lru.Len() > engineBlocks {
		digest := e.lru.Remove(e.lru.Back()).(uint64)
		delete(e.blocks, digest)
		e.events = append(e.events, route.CacheEvent{Digest: digest, Evicted: true, At: e.clock.now})
	}
}

// report returns the engine's load. Like a real engine it counts all tokens of a
// waiting prompt, since it looks the prompt up in its cache only when its prefill
// starts.
func (e *engine) report() route.Load {
	l := route.Load{
		Addr: e.addr, Queued: len(e.waiting), Running: e.batch, BatchSize: engineLimit, Prefill: enginePrefill,
		Down: e.down, At: e.clock.now,
	}
	for i, j := range e.prefill {
		left := j.row.Prompt
		if i == 0 {
			left = max(0, j.row.Prompt-j.cached-int(e.clock.now.Sub(e.prefillStart).Seconds()*enginePrefill))
		}
		l.Pending += left
	}
	for _, j := range e.waiting {
		l.Pending += j.row.Prompt
	}
	return l
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
