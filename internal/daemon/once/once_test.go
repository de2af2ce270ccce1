package once_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/yuccalb/yuccalb/internal/core/model"
	"github.com/yuccalb/yuccalb/internal/core/order"
)

// request is one request of a caller in the property test.
type request struct {
	Host, Org, Key, Body int
	At, Timeout, Work    time.Duration
	// End is how the request ends: "response"; "unknown", dispatched without a known
	// outcome; "unwritten", dispatched but not sent; or "crash before" or "crash after"
	// the dispatch.
	End string
}

// harness runs requests on several hosts and checks each result.
type harness struct {
	mu        sync.Mutex
	errs      []string
	hosts     []*host
	keys      []string
	runs      map[string]int    // number of runs by organisation and key
	responses map[string]string // response of the last run by organisation and key
}

// errorf records a failure. The caller must not hold w.mu.
func (w *harness) errorf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.errs = append(w.errs, fmt.Sprintf(format, args...))
}

// serve handles one request in the way that a host does.
func (w *harness) serve(id int, r request) {
	time.Sleep(r.At)
	w.mu.Lock()
	h := w.hosts[r.Host]
	o, crashed := h.once, h.crashed
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), r.Timeout)
	defer cancel()
	org := fmt.Sprint("org", r.Org)
	booking := org + "/" + w.keys[r.Key]
	e, err := o.Begin(ctx, org, w.keys[r.Key], fmt.Sprint("body", r.Body))
	if crashed.Load() || w.rejected(booking, err) {
		return
	}
	if got := e.Recorded(); got != nil {
		if want := w.response(booking); string(got.Body) != want {
			w.errorf("%s: recorded response %q, want %q", booking, got.Body, want)
		}
		return
	}
	if r.End == "crash before" {
		w.crash(h, crashed)
		return
	}
	if w.rejected(booking, e.Dispatch()) {
		o.Finish(e, order.Outcome{Run: model.RunNo})
		return
	}
	if r.End == "unwritten" {
		time.Sleep(r.Work)
		o.Finish(e, order.Outcome{Run: model.RunNo})
		return
	}
	response := w.recordRun(booking, id)
	time.Sleep(r.Work)
	switch r.End {
	case "response":
		o.Finish(e, order.Outcome{Response: &order.Response{Status: 200, Body: []byte(response)}})
	case "unknown":
		o.Finish(e, order.Outcome{Run: model.RunUnknown})
	case "crash after":
		w.crash(h, crashed)
	}
}

// recordRun counts a run and returns its response.
func (w *harness) recordRun(booking string, id int) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[booking]++
	if w.runs[booking] > 1 {
		w.errs = append(w.errs, fmt.Sprintf("%s ran %d times", booking, w.runs[booking]))
	}
	w.responses[booking] = fmt.Sprint("run ", id)
	return w.responses[booking]
}

// response returns the response of the last run of a booking, or "".
func (w *harness) response(booking string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.responses[booking]
}

// rejected reports whether err is set, and checks that it is a valid rejection. A
// rejection because of an unavailable store, a key that belongs to another body or an
// expired deadline states only that this request was not run. Any other rejection with
// RunNo must hold for the booking as a whole.
func (w *harness) rejected(booking string, err error) bool {
	if err == nil {
		return false
	}
	var r *model.Rejection
	if !errors.As(err, &r) {
		w.errorf("%s: error %v is not a rejection", booking, err)
		return true
	}
	switch r.Reason {
	case model.ReasonStoreDown, model.ReasonKeyReused, model.ReasonDeadline:
		return true
	}
	if r.Run == model.RunNo && w.response(booking) != "" {
		w.errorf("%s ran and is rejected with run no: %v", booking, r)
	}
	return true
}

// crash replaces the process of a host, unless that process was already replaced.
func (w *harness) crash(h *host, crashed *atomic.Bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if h.crashed == crashed {
		h.start()
	}
}

// scenario is the randomly drawn input of the property test.
type scenario struct {
	store          uint64
	faults         faults
	tickets        bool
	requests       []request
	outage, length time.Duration
}

// drawScenario draws a scenario.
func drawScenario(t *rapid.T) scenario {
	ms := func(name string, most int) time.Duration {
		return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
	}
	share := rapid.SampledFrom([]float64{0, 0.05, 0.3})
	sc := scenario{
		store: rapid.Uint64().Draw(t, "store"), tickets: rapid.Bool().Draw(t, "tickets"),
		faults: faults{
			fail: share.Draw(t, "fail"), lost: share.Draw(t, "lost"),
			late: share.Draw(t, "late"), stale: share.Draw(t, "stale"),
		},
		outage: ms("outage", 8000), length: ms("length", 4000),
	}
	ends := rapid.SampledFrom([]string{"response", "response", "unknown", "unwritten", "crash before", "crash after"})
	for range rapid.IntRange(2, 16).Draw(t, "requests") {
		sc.requests = append(sc.requests, request{
			Host: rapid.IntRange(0, 2).Draw(t, "host"), Org: rapid.IntRange(0, 1).Draw(t, "org"),
			Key: rapid.IntRange(0, 1).Draw(t, "key"), Body: rapid.IntRange(0, 5).Draw(t, "body") / 5,
			At: ms("at", 8000), Timeout: 10*time.Millisecond + ms("timeout", 5000), Work: ms("work", 2000),
			End: ends.Draw(t, "end"),
		})
	}
	return sc
}

// run runs the scenario and returns the failures.
func (sc scenario) run() []string {
	s := newStore(sc.store, sc.faults)
	w := &harness{hosts: hosts(s, 3), runs: map[string]int{}, responses: map[string]string{}, keys: []string{"k0", "k1"}}
	if sc.tickets {
		for i := range w.keys {
			w.keys[i], _ = w.hosts[i].once.Ticket("org0")
		}
	}
	var wg sync.WaitGroup
	for i, r := range sc.requests {
		wg.Go(func() { w.serve(i, r) })
	}
	wg.Go(func() {
		time.Sleep(sc.outage)
		s.setDown(true)
		time.Sleep(sc.length)
		s.setDown(false)
	})
	wg.Wait()
	time.Sleep(time.Minute)
	if err := closeAll(w.hosts); err != nil {
		w.errorf("%v", err)
	}
	time.Sleep(10 * time.Second) // for delayed store writes
	return w.errs
}

// TestAtMostOnce guards against a booking that runs twice under concurrent requests
// with the same key on several hosts, crashes at each step, store calls that fail, take
// effect late or lose their response, stale reads, and outages. It also guards against
// a wrong recorded response, and against outcomes that are still not written after the
// store has recovered.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sc := drawScenario(rt)
		synctest.Test(t, func(*testing.T) {
			for _, err := range sc.run() {
				rt.Error(err)
			}
		})
	})
}
