// Package pause provides a sleep that ends early with a context, and calls of a function
// at a fixed interval.
package pause

import (
	"context"
	"time"
)

// Sleep sleeps for d and returns nil, or returns the cause of ctx if ctx ends first. If d
// is not positive, it does not sleep, and returns the cause if ctx has already ended.
func Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return context.Cause(ctx)
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Repeat calls f at interval d until f returns false or stop is called. stop waits for a
// call in progress. It must be called at most once.
func Repeat(d time.Duration, f func() (more bool)) (stop func()) {
	quit, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		tick := time.NewTicker(d)
		defer tick.Stop()
		for {
			select {
			case <-quit:
				return
			case <-tick.C:
			}
			if !f() {
				return
			}
		}
	}()
	return func() { close(quit); <-done }
}
