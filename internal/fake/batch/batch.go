// Package batch simulates a model engine with continuous batching. Each step
// prefills a chunk of the waiting prompts and decodes one token of every
// response that has started, so prefill delays all streams. Tests of placement
// use it; it does no network I/O and reads no clock.
package batch

import "time"

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
	// Arrived, First and End are the times of its arrival, its first token and
	// its last token. Pause is the longest time between two events.
	Arrived, First, End, Pause time.Duration
	// PrefilledShared is the number of tokens of shared parts that were not cached and
	// had to be prefilled.
	PrefilledShared int

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
}

// cacheEntry is a cached part.
type cacheEntry struct{ tokens, lastUse int }

// New returns an idle engine at time 0.
func New(cfg Config) *Engine { return &Engine{cfg: cfg, cache: make(map[uint64]*cacheEntry)} }

// Add queues a request. The engine must have been advanced to the time of its
// arrival.
func (e *Engine) Add(r *Run) { e.waiting = append(e.waiting, r) }

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

// admit moves waiting requests into the batch while it has slots and memory. A
// request that exceeds the memory runs alone.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.cfg.Slots {
		r := e.waiting[0]
		need := r.Prompt + r.Output
		if len(e.running) > 0 && e.memory+need > e.cfg.Memory {
			return
		}
		e.waiting = e.waiting[1:]
		r.memory = need
		e.memory += need
		cached := e.lookup(r.Parts)
		r.toPrefill = r.Prompt - cached
		for _, p := range r.Parts {
			r.PrefilledShared += p.Tokens
		}
		r.PrefilledShared -= cached
		e.running = append(e.running, r)
		e.evict()
	}
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
		attention += float64(n) / 1000 * float64(r.Prompt-r.toPrefill) / 1000
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
