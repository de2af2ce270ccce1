package track

import (
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/edge/clock"
	"github.com/yuccalb/yuccalb/platform"
)

// outage records whether this host's calls to the store fail. Times are on the clock
// of package clock.
type outage struct {
	mu sync.Mutex
	// since is when the first call failed after the last success, or 0. After an
	// outage of more than minOutage, which started at began, ended is set until
	// takeEnded is called.
	since, began time.Duration
	ended        bool
}

// failed records a failed call and reports whether it starts an outage.
func (o *outage) failed(now time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.since != 0 {
		return false
	}
	o.since = now
	return true
}

// succeeded records a successful call and returns the length of the outage that it
// ends, or 0.
func (o *outage) succeeded(now time.Duration) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.since == 0 {
		return 0
	}
	lasted := now - o.since
	if lasted > minOutage {
		o.ended = true
		o.began = o.since
	}
	o.since = 0
	return lasted
}

// takeEnded returns the start of a long outage, and whether it has ended since the
// last call of takeEnded.
func (o *outage) takeEnded() (time.Duration, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	ended := o.ended
	o.ended = false
	return o.began, ended
}

// recordCall records the outcome of a call to the store. ErrNotFound and ErrRestored
// are answers of the store and count as success.
func (t *Tracker) recordCall(call string, err error) {
	if errors.Is(err, platform.ErrNotFound) || errors.Is(err, platform.ErrRestored) {
		err = nil
	}
	t.updateEra(err)
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
