package ledger

import (
	"context"
	"time"

	"github.com/yuccalb/yuccalb/platform"
)

// Record is a record that is being written.
type Record struct {
	platform.Stream
	added time.Time
	done  chan struct{} // closed once it is written
	// taken is set while a call to write it is in progress, unsure once one has got no answer,
	// and dropped once it is withdrawn. The flag passed is set once this host has passed the
	// first event on to the caller.
	taken, unsure, dropped, passed bool
}

// Wait waits until the record is written, at most for d, and reports whether it is. It
// returns early when ctx ends.
func (r *Record) Wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-r.done:
		return true
	default:
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-r.done:
		return true
	case <-ctx.Done():
	case <-t.C:
	}
	return false
}
