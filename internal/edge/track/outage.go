package track

import (
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/edge/clock"
	"github.com/yuccalb/yuccalb/platform"
)

// outage tells whether the store answers this host. Times are on the clock of
// package clock.
type outage struct {
	mu sync.Mutex
	// since is when the first call failed after the last success, 0 for none.
	// Ended is set when a long outage, which began at began, has ended, until
	// the next read of the entries.
	since, began time.Duration
	ended        bool
}

// failed notes a failed call and reports whether it is the first one.
func (o *outage) failed(now time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.since != 0 {
		return false
	}
	o.since = now
	return true
}

// succeeded notes a call that succeeded, and returns how long calls had failed
// before, 0 if they had not.
func (o *outage) succeeded(now time.Duration) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.since == 0 {
		return 0
	}
	lasted := now - o.since
	if lasted > outageAfter {
		o.ended = true
		o.began = o.since
	}
	o.since = 0
	return lasted
}

// returned returns the beginning of a long outage that has ended since it was
// last called.
func (o *outage) returned() (time.Duration, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	ended := o.ended
	o.ended = false
	return o.began, ended
}

// answered records the outcome of a call of the store.
func (t *Tracker) answered(call string, err error) {
	if errors.Is(err, platform.ErrNotFound) || errors.Is(err, platform.ErrRestored) {
		err = nil
	}
	t.heedEra(err)
	if t.opts.Count != nil {
		t.opts.Count(call, err)
	}
	if t.ctx.Err() != nil {
		return
	}
	now := clock.Now()
	if err != nil {
		if t.outage.failed(now) {
			t.opts.Log.Warn("store lost", zap.String("call", call), zap.Error(err))
		}
		return
	}
	if lasted := t.outage.succeeded(now); lasted > 0 {
		t.opts.Log.Info("store back", zap.String("call", call), zap.Duration("lasted", lasted))
	}
}
