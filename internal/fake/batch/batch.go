// Package batch simulates a model engine with continuous batching. Each step
// prefills a chunk of the waiting prompts and decodes one token of every
// response that has started, so prefill delays all streams. Tests of placement
// use it; it does no network I/O and reads no clock.
//
// More urgent requests are admitted to the batch first, and preempt less urgent ones when it
// is full.
package batch

import (
	"cmp"
	"slices"
	"time"
)

// Config holds the capacity and the speed of an engine.
type Config struct {
	// Slots bounds the requests in the batch. Memory bounds the tokens of
	// running requests and of cached parts together.
	Slots, Memory int
	// Step is the duration of a step without prefill. PrefillRate is in tokens
	// per second; prefill adds to the duration of a step.
	Step        time.Duration
	PrefillRate float64
	// AttentionTime is the attention time of prefill: the time added per thousand
	// tokens of a chunk and thousand tokens of the same prompt before them.
	AttentionTime time.Duration
	// Chunk bounds the tokens that are prefilled in one step.
	Chunk int
	// EventTokens is the number of tokens in one event of the response stream.
	EventTokens int
}

// Part is a part of a prompt. Key identifies it together with all parts before it.
type Part struct {
	Key    uint64
	Tokens int
}

// Run is one request.
type Run struct {
	// Parts are the parts of the prompt that other requests share. Prompt and
	// Output are the tokens of the whole prompt and of the response.
	Parts          []Part
	Prompt, Output int
	// Urgency is that of the request; 0 is the most urgent.
	Urgency int
	// Arrived, First and End are the times of its arrival, its first token and
	// its last token. Pause is the longest time between two events.
	Arrived, First, End, Pause time.Duration
	// PrefilledShared is the number of tokens of shared parts that were not cached and
	// had to be prefilled.
	PrefilledShared int
	// Preempted is how often the request lost its place in the batch.
	Preempted int

	seq                int // order of arrival
	toPrefill, decoded int
	memory             int // tokens in addition to cached parts
	lastEvent          time.Duration
}

// Started reports whether the first token was generated.
func (r *Run) Started() bool { return r.decoded > 0 }

// Ended reports whether all tokens were generated.
func (r *Run) Ended() bool { return r.decoded >= r.Output }

// Engine is a simulated engine.
type Engine struct {
	cfg          Config
	now          time.Duration
	waiting      []*Run
	running      []*Run
	memory       int // tokens of running requests, without cached parts
	cache        map[uint64]*cacheEntry
	cachedTokens int
	useSeq       int // sequence number of the latest use of a cached part
	runSeq       int // sequence number of the latest request
}

// cacheEntry is a cached part.
type cacheEntry struct{ tokens, lastUse int }

// New returns an idle engine at time 0.
func New(cfg Config) *Engine { return &Engine{cfg: cfg, cache: make(map[uint64]*cacheEntry)} }

// Add queues a request. The engine must have been advanced to the time of its
// arrival.
func (e *Engine) Add(r *Run) {
	e.runSeq++
	r.seq = e.runSeq
	e.wait(r)
}

// wait adds a request to those that wait, the more urgent first and then the earlier.
func (e *Engine) wait(r *Run) {
	i, _ := slices.BinarySearchFunc(e.waiting, r, func(x, r *Run) int {
		return cmp.Or(cmp.Compare(x.Urgency, r.Urgency), cmp.Compare(x.seq, r.seq))
	})
	e.waiting = slices.Insert(e.waiting, i, r)
}

// Advance runs steps until a time and returns the requests that have generated
// their first or last token.
func (e *Engine) Advance(to time.Duration) []*Run {
	var changed []*Run
	for e.now < to {
		e.admit()
		if len(e.running) == 0 {
			e.now = to
			break
		}
		changed = append(changed, e.step()...)
	}
	return changed
}

// admit moves waiting requests into the batch while it has slots and memory, or less urgent
// requests that give way. A request that exceeds the memory runs alone.
func (e *Engine) admit() {
	for len(e.waiting) > 0 {
		r := e.waiting[0]
		need := r.Prompt + r.Output
		if !e.makeRoom(r, need) {
			return
		}
		e.waiting = e.waiting[1:]
		r.memory = need
		e.memory += need
		cached := e.lookup(r.Parts)
		// A request that was preempted prefills what it had generated as well.
		r.toPrefill = r.Prompt + r.decoded - cached
		for _, p := range r.Parts {
			r.PrefilledShared += p.Tokens
		}
		r.PrefilledShared -= cached
		e.running = append(e.running, r)
		e.evict()
	}
}

// makeRoom preempts the newest of the least urgent requests until the batch has a slot and
// memory for a more urgent one. It preempts none, and returns false, if that is not enough.
func (e *Engine) makeRoom(r *Run, need int) bool {
	running, memory := len(e.running), e.memory
	var victims []*Run
	for running > 0 && (running >= e.cfg.Slots || memory+need > e.cfg.Memory) {
		v := e.leastUrgent(victims)
		if v == nil || v.Urgency <= r.Urgency {
			return false
		}
		victims = append(victims, v)
		running--
		memory -= v.memory
	}
	for _, v := range victims {
		e.running = slices.DeleteFunc(e.running, func(x *Run) bool { return x == v })
		e.memory -= v.memory
		v.Preempted++
		e.wait(v)
	}
	return true
}

// leastUrgent returns the newest of the least urgent requests of the batch that are not
// excluded, or nil if there are none.
func (e *Engine) leastUrgent(excluded []*Run) *Run {
	var last *Run
	for _, x := range e.running {
		if slices.Contains(excluded, x) {
			continue
		}
		if last == nil || x.Urgency > last.Urgency || x.Urgency == last.Urgency && x.seq > last.seq {
			last = x
		}
	}
	return last
}

// lookup returns the number of cached tokens of parts and marks them as used.
func (e *Engine) lookup(parts []Part) int {
	n := 0
	for _, p := range parts {
		c := e.cache[p.Key]
		if c == nil {
			break
		}
		e.useSeq++
		c.lastUse = e.useSeq
		n += p.Tokens
	}
	return n
}

// store caches the parts of a request whose prefill is complete.
func (e *Engine) store(r *Run) {
	for i := len(r.Parts) - 1; i >= 0; i-- { // the first part becomes the most recently used
		p := r.Parts[i]
		r.memory -= p.Tokens
		e.memory -= p.Tokens
		c := e.cache[p.Key]
		if c == nil {
			c = &cacheEntry{tokens: p.Tokens}
			e.cache[p.Key] = c
			e.cachedTokens += p.Tokens
		}
		e.useSeq++
		c.lastUse = e.useSeq
	}
	e.evict()
}

// evict drops the least recently used parts until the cache fits into memory.
func (e *Engine) evict() {
	for e.cachedTokens > 0 && e.memory+e.cachedTokens > e.cfg.Memory {
		lru := uint64(0)
		for key, c := range e.cache {
			if o := e.cache[lru]; o == nil || c.lastUse < o.lastUse {
				lru = key
			}
		}
		e.cachedTokens -= e.cache[lru].tokens
		delete(e.cache, lru)
	}
}

// step prefills a chunk and decodes one token of each response whose prompt is
// complete. It returns the requests that generated their first or last token.
func (e *Engine) step() []*Run {
	budget := e.cfg.Chunk
	var prefilled []*Run // requests whose prefill completes in this step
	attention := 0.0
	for _, r := range e.running {
		n := min(r.toPrefill, budget)
		budget -= n
		attention += float64(n) / 1000 * float64(r.Prompt+r.decoded-r.toPrefill) / 1000
		if r.toPrefill > 0 && n == r.toPrefill {
			prefilled = append(prefilled, r)
		}
		r.toPrefill -= n
	}
	e.now += e.cfg.Step + time.Duration(float64(e.cfg.Chunk-budget)/e.cfg.PrefillRate*float64(time.Second)+attention*float64(e.cfg.AttentionTime))
	for _, r := range prefilled {
		e.store(r)
	}
	var changed []*Run
	running := e.running[:0]
	for _, r := range e.running {
		if r.toPrefill == 0 && e.decode(r) {
			changed = append(changed, r)
		}
		if !r.Ended() {
			running = append(running, r)
			continue
		}
		e.memory -= r.memory
	}
	e.running = running
	return changed
}

// decode adds a token to a response and reports whether it is the first or last.
func (e *Engine) decode(r *Run) bool {
	r.decoded++
	if r.decoded == 1 {
		r.First = e.now
		r.lastEvent = e.now
	}
	if r.decoded%e.cfg.EventTokens == 0 || r.Ended() {
		r.Pause = max(r.Pause, e.now-r.lastEvent)
		r.lastEvent = e.now
	}
	if r.Ended() {
		r.End = e.now
	}
	return r.decoded == 1 || r.Ended()
}
