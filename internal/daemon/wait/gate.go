// Package wait limits the number of concurrent requests to the servers of a service and
// keeps further requests in a fair queue until they are admitted.
package wait

import (
	"context"
	"sync"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/model"
	"github.com/yuccalb/yuccalb/internal/core/queue"
)

// Request describes a request to be admitted. It is unrelated to booking tickets.
type Request struct {
	Org    string
	Weight int
	Class  model.Class
	Tokens int64 // expected tokens of prompt and response
	// Deadline is the latest time at which the request may start.
	Deadline time.Time
}

// waiter is the state of a queued request that Gate.admit updates.
type waiter struct {
	ready    chan struct{} // closed on admission
	admitted bool
}

// Gate limits the concurrent requests of one service. It is safe for
// concurrent use.
type Gate struct {
	mu     sync.Mutex
	queue  *queue.Queue
	closed bool
	idle   chan struct{} // closed once closed is set and no request is queued or in use
}

// New returns a gate that admits at most limit requests at once.
func New(cfg queue.Config, limit int) *Gate {
	return &Gate{queue: queue.New(cfg, limit), idle: make(chan struct{})}
}

// Acquire waits until the request is admitted. The caller must call release when the
// request has ended; further calls of release do nothing. The error is a
// *model.Rejection with RunNo. Its reason is overloaded if the expected start is after
// the deadline, in which case Acquire does not wait; deadline if the deadline passed or
// ctx ended during the wait; and leaving after Close.
func (g *Gate) Acquire(ctx context.Context, req Request) (release func(), err error) {
	now := time.Now()
	g.mu.Lock()
	if g.closed {
		g.mu.Unlock()
		return nil, model.Reject(model.ReasonLeaving, "the host is shutting down")
	}
	w := &waiter{ready: make(chan struct{})}
	item := &queue.Item{Org: req.Org, Weight: req.Weight, Class: req.Class, Tokens: req.Tokens, Deadline: req.Deadline, Value: w}
	if rejection := g.queue.Push(item, now); rejection != nil {
		g.mu.Unlock()
		return nil, rejection
	}
	g.admit(now)
	g.mu.Unlock()
	select {
	case <-w.ready:
		return g.releaseFunc(item), nil
	default:
	}

	deadlineTimer := time.NewTimer(req.Deadline.Sub(now))
	defer deadlineTimer.Stop()
	select {
	case <-w.ready:
		return g.releaseFunc(item), nil
	case <-ctx.Done():
		return g.cancelWait(item, w, "the request was cancelled while it waited")
	case <-deadlineTimer.C:
		return g.cancelWait(item, w, "the deadline passed while the request waited")
	}
}

// cancelWait ends the wait of item. If the request has been admitted in the meantime, it
// is released again.
func (g *Gate) cancelWait(item *queue.Item, w *waiter, message string) (func(), error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if w.admitted {
		g.queue.Finish(item, now)
	}
	g.queue.Cancel(item)
	g.admit(now)
	return nil, model.Reject(model.ReasonDeadline, "%s", message)
}

// releaseFunc returns the function that releases item. Only its first call has an
// effect.
func (g *Gate) releaseFunc(item *queue.Item) func() {
	var once sync.Once
	return func() {
		once.Do(func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			now := time.Now()
			g.queue.Finish(item, now)
			g.admit(now)
		})
	}
}

// admit admits queued requests while the limit allows it. Requests whose deadline has
// passed are dropped from the queue; the timer in Acquire rejects them. The caller must
// hold g.mu.
func (g *Gate) admit(now time.Time) {
	for {
		item, _ := g.queue.Pop(now)
		if item == nil {
			break
		}
		w := item.Value.(*waiter)
		w.admitted = true
		close(w.ready)
	}
	if g.closed && g.queue.InUse() == 0 && g.queue.Len() == 0 {
		select {
		case <-g.idle:
		default:
			close(g.idle)
		}
	}
}

// SetLimit changes the limit on concurrent requests and the number of places that
// organisations share, see queue.Queue.SetLimit. Lowering the limit does not affect
// requests that are already admitted.
func (g *Gate) SetLimit(limit, places int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.SetLimit(limit, places)
	g.admit(time.Now())
}

// Expected returns the expected queueing time of a new request.
func (g *Gate) Expected(req Request) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Wait(req.Org, req.Weight, req.Class, time.Now())
}

// Load returns the number of queued requests and the number of admitted ones that have
// not been released.
func (g *Gate) Load() (queued, inUse int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Len(), g.queue.InUse()
}

// Close rejects new requests and waits until all requests that were queued or admitted
// before have ended.
func (g *Gate) Close() error {
	g.mu.Lock()
	g.closed = true
	g.admit(time.Now())
	g.mu.Unlock()
	<-g.idle
	return nil
}
