package wait

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/model"
	"github.com/yuccalb/yuccalb/internal/core/queue"
)

func newRequest() Request {
	return Request{Org: "a", Tokens: 10, Deadline: time.Now().Add(10 * time.Second)}
}

func reason(err error) model.Reason {
	var r *model.Rejection
	if errors.As(err, &r) && r.Run == model.RunNo {
		return r.Reason
	}
	return ""
}

// TestAcquire guards against more concurrent requests than the limit, a release that is
// lost or counted twice, and a wait that goes on after the deadline or the end of the
// context.
func TestAcquire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(queue.DefaultConfig(), 1)
		release, err := g.Acquire(t.Context(), newRequest())
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		errs := make(chan error, 3)
		acquire := func(ctx context.Context) {
			_, err := g.Acquire(ctx, newRequest())
			errs <- err
		}
		go acquire(ctx)
		synctest.Wait()
		cancel()
		if got := reason(<-errs); got != model.ReasonDeadline {
			t.Errorf("cancelled wait: reason %q, want deadline", got)
		}
		if queued, inUse := g.Load(); queued != 0 || inUse != 1 {
			t.Errorf("after a cancelled wait %d queued and %d in use, want 0 and 1", queued, inUse)
		}
		began := time.Now()
		go acquire(t.Context())
		if got := reason(<-errs); got != model.ReasonDeadline || time.Since(began) != 10*time.Second {
			t.Errorf("wait beyond the deadline: reason %q after %v, want deadline after 10 s", got, time.Since(began))
		}
		go acquire(t.Context())
		synctest.Wait()
		release()
		release() // must not admit a second request
		if err := <-errs; err != nil {
			t.Errorf("waiting request after a release: %v", err)
		}
		if queued, inUse := g.Load(); queued != 0 || inUse != 1 {
			t.Errorf("%d queued and %d in use, want 0 and 1", queued, inUse)
		}
		go acquire(t.Context())
		synctest.Wait()
		g.SetLimit(2, 2)
		if err := <-errs; err != nil {
			t.Errorf("waiting request after the limit was raised: %v", err)
		}
	})
}

// TestClose guards against a shutdown that drops queued requests or accepts new ones.
func TestClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(queue.DefaultConfig(), 1)
		release, err := g.Acquire(t.Context(), newRequest())
		if err != nil {
			t.Fatal(err)
		}
		ended := time.Time{}
		go func() {
			release, err := g.Acquire(context.Background(), newRequest())
			if err != nil {
				t.Errorf("a queued request was dropped: %v", err)
				return
			}
			time.Sleep(time.Second)
			ended = time.Now()
			release()
		}()
		time.AfterFunc(time.Second, func() {
			g.SetLimit(0, 1) // so that a request is queued while none is in use
			release()
		})
		time.AfterFunc(2*time.Second, func() { g.SetLimit(1, 1) })
		synctest.Wait()
		time.AfterFunc(time.Millisecond, func() {
			if _, err := g.Acquire(t.Context(), newRequest()); reason(err) != model.ReasonLeaving {
				t.Errorf("after Close: error %v, want leaving", err)
			}
		})
		if err := g.Close(); err != nil || ended.IsZero() {
			t.Errorf("Close returned %v before the last request had ended (%v)", err, ended.IsZero())
		}
		if err := g.Close(); err != nil {
			t.Errorf("second Close: %v", err)
		}
	})
}
