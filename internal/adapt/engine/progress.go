package engine

import (
	"context"
	"errors"
	"time"
)

// errStalled is the cause of a context that a progress timeout cancelled.
var errStalled = errors.New("no progress in time")

// Progress cancels a call that makes no progress within a timeout. Its timer is
// reused, so that a stream does not allocate for each event.
type Progress struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer
}

// NewProgress returns a Progress whose context is derived from ctx and is cancelled
// after d.
func NewProgress(ctx context.Context, d time.Duration) *Progress {
	p := &Progress{}
	p.ctx, p.cancel = context.WithCancelCause(ctx)
	p.timer = time.AfterFunc(d, func() { p.cancel(errStalled) })
	return p
}

// Context returns the context of the call.
func (p *Progress) Context() context.Context { return p.ctx }

// Stop stops the timer and cancels the context.
func (p *Progress) Stop() {
	p.timer.Stop()
	p.cancel(nil)
}

// contextKind returns KindStalled or KindCancelled if ctx, the context of a call,
// has ended, and fallback otherwise.
func contextKind(ctx context.Context, fallback Kind) Kind {
	if ctx.Err() == nil {
		return fallback
	}
	if errors.Is(context.Cause(ctx), errStalled) {
		return KindStalled
	}
	return KindCancelled
}
