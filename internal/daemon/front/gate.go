package front

import (
	"context"
	"sync"
)

// requestTracker counts running requests and lets a shutdown wait for them with a context,
// which sync.WaitGroup does not support. The zero value is ready to use.
type requestTracker struct {
	mu   sync.Mutex
	n    int
	idle chan struct{} // closed when n becomes 0; nil unless a call of wait blocks
}

func (t *requestTracker) add() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.n++
}

func (t *requestTracker) done() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.n--
	if t.n == 0 && t.idle != nil {
		close(t.idle)
		t.idle = nil
	}
}

func (t *requestTracker) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.n
}

// wait blocks until no request is running or ctx ends, and returns the number of requests
// that are still running.
func (t *requestTracker) wait(ctx context.Context) int {
	for {
		t.mu.Lock()
		if t.n == 0 {
			t.mu.Unlock()
			return 0
		}
		if t.idle == nil {
			t.idle = make(chan struct{})
		}
		idle := t.idle
		t.mu.Unlock()
		select {
		case <-idle:
		case <-ctx.Done():
			return t.count()
		}
	}
}
