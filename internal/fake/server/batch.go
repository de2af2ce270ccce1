package server

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"
)

// Load is the load report of a server.
type Load struct {
	Queued  int       `json:"queued"`
	Running int       `json:"running"`
	Limit   int       `json:"limit"`
	Pending int       `json:"pending"`
	Prefill int       `json:"prefill"`
	Leaving bool      `json:"leaving"`
	At      time.Time `json:"at"`
}

// maxSamples bounds the load samples that are kept to report the load of an earlier
// time.
const maxSamples = 4096

var errFull = errors.New("queue is full")

// batch limits the number of requests that run at the same time. Further requests wait
// in a bounded queue, ordered by priority and then by arrival; the highest value of
// X-Priority goes first, or the lowest of X-Request-Urgency.
type batch struct {
	limit, depth, prefill int

	mu      sync.Mutex
	running int
	pending int // prompt tokens of the requests in the queue
	queue   []*waiter
	samples []Load // load after each change, oldest first
}

// waiter is a request in the queue.
type waiter struct {
	ready    chan struct{} // closed when the request gets a slot
	priority int
	tokens   int
}

// newBatch returns a batch of limit slots with a queue of depth requests; depth 0 means
// no bound. The prefill rate only appears in load reports.
func newBatch(limit, depth, prefill int) *batch {
	return &batch{limit: limit, depth: depth, prefill: prefill}
}

// acquire waits for a batch slot. It returns an error if the queue is full or ctx ends.
// After success the caller must call release.
func (b *batch) acquire(ctx context.Context, priority, tokens int) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.running < b.limit {
		b.running++
		b.sample()
		return nil
	}
	if b.depth > 0 && len(b.queue) >= b.depth {
		return errFull
	}
	w := &waiter{ready: make(chan struct{}), priority: priority, tokens: tokens}
	i, _ := slices.BinarySearchFunc(b.queue, w, func(a, w *waiter) int {
		if a.priority >= w.priority {
			return -1
		}
		return 1
	})
	b.queue = slices.Insert(b.queue, i, w)
	b.pending += tokens
	b.sample()
	b.mu.Unlock()
	select {
	case <-w.ready:
	case <-ctx.Done():
	}
	b.mu.Lock()
	if i := slices.Index(b.queue, w); i >= 0 {
		b.queue = slices.Delete(b.queue, i, i+1)
		b.pending -= tokens
		b.sample()
		return ctx.Err()
	}
	return nil
}

// release gives the slot to the first request in the queue, or frees it.
func (b *batch) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.queue) > 0 {
		w := b.queue[0]
		b.queue = b.queue[1:]
		b.pending -= w.tokens
		close(w.ready)
	} else {
		b.running--
	}
	b.sample()
}

// sample records the current load. The caller holds b.mu.
func (b *batch) sample() {
	if len(b.samples) >= maxSamples {
		b.samples = slices.Delete(b.samples, 0, maxSamples/2)
	}
	b.samples = append(b.samples, Load{
		Queued: len(b.queue), Running: b.running, Limit: b.limit,
		Pending: b.pending, Prefill: b.prefill, At: time.Now(),
	})
}

// report returns the load at the time lag ago.
func (b *batch) report(leaving bool, lag time.Duration) Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := time.Now().Add(-lag)
	l := Load{Limit: b.limit, Prefill: b.prefill}
	for _, s := range slices.Backward(b.samples) {
		if !s.At.After(at) {
			l = s
			break
		}
	}
	l.At, l.Leaving = at, leaving
	return l
}
