package once

import (
	"sync"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/model"
	"github.com/yuccalb/yuccalb/internal/core/order"
)

// Entry is one request, with or without an idempotency key. It is safe for
// concurrent use.
type Entry struct {
	once     *Once
	until    time.Time
	recorded *order.Response
	ticket   string   // ID of the ticket, or ""
	booking  *booking // for an opaque key, otherwise nil

	mu         sync.Mutex
	dispatched bool
	finished   bool
}

// Recorded returns the response of an earlier run of the booking, which is sent for
// this request instead of a new run. It is nil if there is none.
func (e *Entry) Recorded() *order.Response { return e.recorded }

// Dispatch must be called immediately before the request is passed to the client of a
// backend server. If it returns nil, the request may be sent. It succeeds at most once
// per entry, and not after the deadline. The error is a *model.Rejection.
func (e *Entry) Dispatch() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.recorded != nil, e.dispatched, e.finished:
		return model.Reject(model.ReasonUnknown, "the booking was already dispatched").MayHaveRun()
	case !time.Now().Before(e.until):
		return model.Reject(model.ReasonDeadline, "deadline passed before the booking was dispatched")
	}
	e.dispatched = true
	return nil
}

// finish marks the entry as finished. It reports whether the entry was dispatched and
// whether this is the first call.
func (e *Entry) finish() (dispatched, first bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	first = !e.finished
	e.finished = true
	return e.dispatched, first
}
