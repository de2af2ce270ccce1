// Package batch models a model engine that works on its requests in steps: a
// step reads a chunk of the prompts that wait to be read and makes one token of
// each response that has begun, so reading holds up all streams. Tests of
// placement run on it; it knows nothing of networks and reads no clock.
package batch

import "time"

// Config is the shape of an engine.
type Config struct {
	// Slots bounds the requests in the batch, Memory the tokens of running
	// requests and of cached parts together.
	Slots, Memory int
	// Step is the time of a step without reading, and Read the tokens of
	// prompts that are read in a second of it beyond that.
	Step time.Duration
	Read float64
	// Attend is the further time for a thousand tokens of a chunk against a
	// thousand tokens of their prompt that were read before.
	Attend time.Duration
	// Chunk bounds the tokens that are read in one step.
	Chunk int
	// Event is the number of tokens that reach the caller at once.
	Event int
}

// Part is a part of a prompt; Key stands for it and all parts before it.
type Part struct {
	Key    uint64
	Tokens int
}

// Run is one request.
type Run struct {
	// Parts are those that others share, Prompt and Output all tokens to read
	// and to make.
	Parts          []Part
	Prompt, Output int
	// Arrived, First and End are the times of its arrival, its first token and
	// its end, and Pause the longest time between two events.
	Arrived, First, End, Pause time.Duration
	// Again are the tokens of shared parts that were read.
	Again int

	unread, made int
	memory       int // that it takes beside cached parts
	last         time.Duration
}

// Begun reports whether the first token was made.
func (r *Run) Begun() bool { return r.made > 0 }

// Ended reports whether all tokens were made.
func (r *Run) Ended() bool { return r.made >= r.Output }

// Engine is a running engine.
type Engine struct {
	cfg     Config
	now     time.Duration
	waiting []*Run
	running []*Run
	memory  int // of running requests
	cache   map[uint64]*cached
	cached  int // tokens
	uses    int
}

type cached struct{ tokens, use int }

// New returns an idle engine at time 0.
func New(cfg Config) *Engine { return &Engine{cfg: cfg, cache: make(map[uint64]*cached)} }

// Add queues a request at its time of arrival, up to which the engine must have
// been advanced.
func (e *Engine) Add(r *Run) { e.waiting = append(e.waiting, r) }

// Advance works until a time and returns the requests whose state has changed:
// those that have begun or ended.
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

// admit takes waiting requests into the batch.
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
		hit := e.hit(r.Parts)
		r.unread = r.Prompt - hit
		for _, p := range r.Parts {
			r.Again += p.Tokens
		}
		r.Again -= hit
		e.running = append(e.running, r)
		e.evict()
	}
}

// hit returns the cached tokens of parts and counts their use.
func (e *Engine) hit(parts []Part) int {
	n := 0
	for _, p := range parts {
		c := e.cache[p.Key]
		if c == nil {
			break
		}
		e.uses++
		c.use = e.uses
		n += p.Tokens
	}
	return n
}

// keep caches the parts of a request that has been read.
func (e *Engine) keep(r *Run) {
	for i := len(r.Parts) - 1; i >= 0; i-- { // the first part is used last
		p := r.Parts[i]
		r.memory -= p.Tokens
		e.memory -= p.Tokens
		c := e.cache[p.Key]
		if c == nil {
			c = &cached{tokens: p.Tokens}
			e.cache[p.Key] = c
			e.cached += p.Tokens
		}
		e.uses++
		c.use = e.uses
	}
	e.evict()
}

func (e *Engine) evict() {
	for e.cached > 0 && e.memory+e.cached > e.cfg.Memory {
		oldest := uint64(0)
		for key, c := range e.cache {
			if o := e.cache[oldest]; o == nil || c.use < o.use {
				oldest = key
			}
		}
		e.cached -= e.cache[oldest].tokens
		delete(e.cache, oldest)
	}
}

// step reads a chunk and makes one token of each response that can go on.
func (e *Engine) step() []*Run {
	left := e.cfg.Chunk
	var done []*Run // reading
	attend := 0.0
	for _, r := range e.running {
		n := min(r.unread, left)
		left -= n
		attend += float64(n) / 1000 * float64(r.Prompt-r.unread) / 1000
		if r.unread > 0 && n == r.unread {
			done = append(done, r)
		}
		r.unread -= n
	}
	e.now += e.cfg.Step + time.Duration(float64(e.cfg.Chunk-left)/e.cfg.Read*float64(time.Second)+attend*float64(e.cfg.Attend))
	for _, r := range done {
		e.keep(r)
	}
	var changed []*Run
	kept := e.running[:0]
	for _, r := range e.running {
		if r.unread == 0 && e.make(r) {
			changed = append(changed, r)
		}
		if !r.Ended() {
			kept = append(kept, r)
			continue
		}
		e.memory -= r.memory
	}
	e.running = kept
	return changed
}

// make adds a token to a response and reports whether it is its first or last.
func (e *Engine) make(r *Run) bool {
	r.made++
	if r.made == 1 {
		r.First = e.now
		r.last = e.now
	}
	if r.made%e.cfg.Event == 0 || r.Ended() {
		r.Pause = max(r.Pause, e.now-r.last)
		r.last = e.now
	}
	if r.Ended() {
		r.End = e.now
	}
	return r.made == 1 || r.Ended()
}
