package relay

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/drain"
)

// stopper holds the planned stop of a host. It is safe for concurrent use.
type stopper struct {
	plan atomic.Pointer[drain.Plan] // nil unless the host stops
	// ended is done when requests in progress are to be answered at once.
	ended context.Context
	end   context.CancelFunc
}

func newStopper() *stopper {
	s := &stopper{}
	s.ended, s.end = context.WithCancel(context.Background())
	return s
}

// StartDrain makes callers and other hosts close their connections, and refuses attempts
// that may not end in time. What still runs shortly before end is answered then; staleAt
// is that of drain.Plan. It must be called once at most.
func (s *Relay) StartDrain(staleAt, end time.Time) {
	s.lastArrival.Store(time.Now().UnixNano())
	plan := &drain.Plan{Stale: staleAt, End: end}
	s.stop.plan.Store(plan)
	time.AfterFunc(time.Until(plan.AnswerAt()), s.stop.end)
}

// draining reports whether the host stops.
func (s *Relay) draining() bool { return s.stop.plan.Load() != nil }

// checkDrain refuses a request whose next attempt may not end before the end of a
// planned stop.
func (s *Relay) checkDrain(q *request) *refusal {
	plan := s.stop.plan.Load()
	if plan == nil {
		return nil
	}
	a := drain.Attempt{Deadline: q.deadline, Ran: q.tally.Ran > 0, Begun: q.headerWritten}
	a.Expected, _ = s.lengths.Expect(q.lengthKey())
	if plan.Allows(a, time.Now()) {
		return nil
	}
	return &refusal{http.StatusServiceUnavailable, reasonDraining, retryAfterElsewhere}
}

// lengthKey returns the key of the request's route among the durations of responses.
// Another host names the service and the properties of a route only.
func (q *request) lengthKey() string {
	if q.forwarded {
		return q.service + " " + q.r.Header.Get(headerRoute)
	}
	return q.route.Name
}

// endAtStop sets the context of the request's attempts, which is done when the caller
// disconnects, or when the host ends its requests. The returned function releases it.
func (q *request) endAtStop() (release func()) {
	ctx, cancel := context.WithCancel(q.r.Context())
	q.ctx = ctx
	q.keepAtStop = context.AfterFunc(q.s.stop.ended, cancel)
	return func() {
		q.keepAtStop()
		cancel()
	}
}

// aborted reports whether the last attempt was aborted by this host, since the caller has
// disconnected or the host stops.
func (q *request) aborted() bool {
	if !cancelled(q.ctx) {
		return false
	}
	if !cancelled(q.r.Context()) {
		q.reason = reasonDraining
	}
	return true
}

// closeIfDraining makes the caller or host close its connection after the response, so
// that its next request goes to another host.
func (q *request) closeIfDraining() {
	if q.s.draining() {
		q.w.Header().Set("Connection", "close")
	}
}
