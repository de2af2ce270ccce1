package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/retry"
	"github.com/yuccalb/yuccalb/internal/fake/line"
	"github.com/yuccalb/yuccalb/internal/fake/origin"
	"github.com/yuccalb/yuccalb/platform"
)

const (
	// deadlineSlack is by how much a deadline that is handed on again may be too late, and
	// the time from the first arrival after which that counts. It does not count while the
	// link to the server is disturbed, and linkMemory after that: the request may have been
	// held there.
	deadlineSlack = 500 * time.Millisecond
	linkMemory    = 5 * time.Second
	// lateDeadlines is how many of them may be too late in any case; beyond that, one in
	// lateShare may.
	lateDeadlines = 20
	lateShare     = 5
	// maxReported bounds the violations that are printed.
	maxReported = 40
)

// fleetChecks records what callers and servers see. It is safe for concurrent use.
type fleetChecks struct {
	f        *fleet
	arrivals map[string]*arrivals // by service

	mu       sync.Mutex
	calls    map[string]*fleetCall // by attempt identifier
	runs     []*fleetRun
	reported int
	// unmarked are the responses in part without a mark of their end, of which excused count as allowed.
	unmarked []func()
	excused  int

	requests, served, takeUps, joined int
	resent, resentLate, tooLate       int
	arrived, late                     int // arrivals, and those with a deadline after the caller's
}

// fleetCall is a request as its caller sent it, one attempt of the caller.
type fleetCall struct {
	method, path string
	sent         time.Time
	wait         time.Duration // its deadline
	notRun       bool          // reported to the caller
	runs         []*fleetRun
	// arrived is the time of the first arrival at a server, and handed the deadline handed
	// on then.
	arrived, handed time.Time
	again           int // arrivals after the first
	// log holds a line for each thing that happened.
	log []string
}

// fleetRun is a request that a server runs.
type fleetRun struct {
	number          int
	server, version string
	after           int  // last event of the attempt before
	whole           bool // the whole response was sent
	crashed         bool // the process ended before the response did
}

// event returns the text of an event that a run sends.
func (r *fleetRun) event(id, total int) string {
	return fmt.Sprintf("id: %d\ndata: %d of %d by %s run %d\n\n", id, id, total, r.version, r.number)
}

func newFleetChecks(f *fleet) *fleetChecks {
	c := &fleetChecks{f: f, calls: make(map[string]*fleetCall), arrivals: make(map[string]*arrivals)}
	for _, service := range []string{draftService, spareService, stockService} {
		c.arrivals[service] = &arrivals{}
	}
	return c
}

// repeats returns how often a request to a path may run, and whether it is idempotent.
func repeats(path string) (runs int, idempotent bool) {
	if strings.HasPrefix(path, "/ask/") || strings.HasPrefix(path, "/stock/") {
		return 2, true
	}
	return 1, false
}

// fail reports a violation with what is known of a request. The caller holds c.mu.
func (c *fleetChecks) fail(rule, id, format string, args ...any) {
	c.f.t.Helper()
	if c.reported++; c.reported > maxReported {
		c.f.t.Fail()
		return
	}
	log := ""
	if call := c.calls[id]; call != nil {
		log = "\n\t" + strings.Join(call.log, "\n\t")
	}
	c.f.t.Errorf("%s at %s: request %s: %s%s", rule, time.Now().UTC().Format("15:04:05.000"), id, fmt.Sprintf(format, args...), log)
}

// note adds a line to the log of a request. The caller holds c.mu.
func (c *fleetChecks) note(id, format string, args ...any) {
	if call := c.calls[id]; call != nil {
		call.log = append(call.log, time.Now().UTC().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
	}
}

// send records a request of a caller to a host.
func (c *fleetChecks) send(id string, call line.Call, host string, wait time.Duration) {
	for _, service := range c.f.routes.services(call.Path) {
		c.arrivals[service].send()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	c.calls[id] = &fleetCall{method: call.Method, path: call.Path, sent: time.Now(), wait: wait}
	c.note(id, "sent to %s %s, %v %v", host, call.Path, wait, call.Header)
}

// arrive records the arrival of a request at a server and checks its deadline.
func (c *fleetChecks) arrive(sv *fleetServer, server string, x *origin.Exchange) {
	c.arrivals[sv.service].arrive(x)
	c.mu.Lock()
	defer c.mu.Unlock()
	id := x.ID()
	handed, ok := platform.ParseMillis(x.Header.Get(platform.HeaderDeadline))
	c.note(id, "arrives at %s of %s for %s, %v left, last event %d", server, sv.service, x.Header.Get(platform.HeaderExpectInstance), handed, lastEvent(x.Header))
	call := c.calls[id]
	switch {
	case call == nil:
		c.fail("UNASKED", id, "no caller sent %s %s", x.Method, x.URL.Path)
		return
	case !ok || handed > call.wait:
		c.fail("BUDGET", id, "handed on with a deadline of %q", x.Header.Get(platform.HeaderDeadline))
	}
	end := x.Arrived.Add(handed)
	c.arrived++
	if end.Sub(call.sent.Add(call.wait)) > deadlineSlack {
		c.late++
	}
	if call.arrived.IsZero() {
		call.arrived, call.handed = x.Arrived, end
		return
	}
	if x.Arrived.Sub(call.arrived) > deadlineSlack && x.Arrived.UnixNano() > sv.heldUntil.Load() {
		c.resentLate++
		if end.Sub(call.handed) > deadlineSlack && end.Sub(call.sent.Add(call.wait)) > deadlineSlack {
			c.tooLate++
			c.note(id, "the deadline is too late")
		}
	}
	c.resent++
	call.again++
}

// run records a request that a server begins to run, and checks that it may.
func (c *fleetChecks) run(sv *fleetServer, server, version string, x *origin.Exchange) *fleetRun {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := x.ID()
	r := &fleetRun{number: len(c.runs), server: server, version: version, after: lastEvent(x.Header)}
	c.runs = append(c.runs, r)
	call := c.calls[id]
	if call == nil {
		return r
	}
	call.runs = append(call.runs, r)
	c.note(id, "run %d at %s", r.number, server)
	most, idempotent := repeats(call.path)
	switch {
	case call.method != x.Method || call.path != x.URL.Path:
		c.fail("UNASKED", id, "%s %s runs", x.Method, x.URL.Path)
	case !idempotent && len(call.runs) > 1:
		c.fail("TWICE", id, "runs %d times", len(call.runs))
	case !idempotent && call.notRun:
		c.fail("REFUSED", id, "runs after it was reported as not run")
	case len(call.runs) > most:
		c.fail("BUDGET", id, "runs %d times at %s, %d attempts allowed", len(call.runs), sv.service, most)
	}
	return r
}

// ran records the end of a run.
func (c *fleetChecks) ran(r *fleetRun, whole, crashed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.whole, r.crashed = whole, crashed
}

// failUnmarked reports, at the end of the run, a response in part whose end was not marked, unless the process
// that ran its request last had ended: that is the only end that a caller can't tell from a whole response.
// The caller holds c.mu.
func (c *fleetChecks) failUnmarked(rule, id, format string, args ...any) {
	c.unmarked = append(c.unmarked, func() {
		runs := c.calls[id].runs
		if len(runs) > 0 && runs[len(runs)-1].crashed {
			c.excused++
			return
		}
		c.fail(rule, id, format, args...)
	})
}

// receive checks the response to a request, but for the events of a stream.
func (c *fleetChecks) receive(id string, a line.Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	call := c.calls[id]
	c.note(id, "response %d of %d bytes, error %v", a.Status, len(a.Body), a.Err)
	_, idempotent := repeats(call.path)
	switch {
	case a.Err != nil:
	case a.Status == http.StatusOK:
		c.served++
		switch {
		case isStream(call.path) || a.Body == id:
		case a.Framed:
			c.fail("MIXED", id, "got %q", a.Body)
		default:
			c.failUnmarked("MIXED", id, "got %q", a.Body)
		}
	case refused(a.Status) && !idempotent:
		call.notRun = true
		if len(call.runs) > 0 {
			c.fail("REFUSED", id, "got %d although it has run", a.Status)
		}
	}
}

// refused reports whether a status says that the request has not run.
func refused(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable || status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
}

// fleetStream is what a caller has of a stream, over all attempts.
type fleetStream struct {
	first   string // the attempt that brought the first event
	last    int
	version string
	run     int
}

// follow checks that a response goes on with a stream after its last event.
func (c *fleetChecks) follow(s *fleetStream, id, path string, a line.Response) {
	if a.Status != http.StatusOK {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	total := eventsOf(path)
	text := a.Body
	for text != "" {
		event, rest, whole := strings.Cut(text, "\n\n")
		if !whole {
			break
		}
		text = rest
		if !c.followEvent(s, id, event, total) {
			return
		}
	}
	switch {
	case a.Err != nil:
	case text != "":
		c.fail("ORDER", id, "complete response of %s ends within an event after %d: %q", s.first, s.last, text)
	case s.last != total && a.Framed:
		c.fail("ORDER", id, "stream of %s ends as complete after event %d of %d", s.first, s.last, total)
	case s.last != total:
		c.failUnmarked("ORDER", id, "stream of %s ends without a mark after event %d of %d", s.first, s.last, total)
	}
}

// followEvent checks one event. The caller holds c.mu.
func (c *fleetChecks) followEvent(s *fleetStream, id, event string, total int) bool {
	var number, again, of, run int
	var version string
	if _, err := fmt.Sscanf(event, "id: %d\ndata: %d of %d by %s run %d", &number, &again, &of, &version, &run); err != nil {
		c.fail("ORDER", id, "stream of %s: event %q after %d", s.first, event, s.last)
		return false
	}
	switch {
	case number != s.last+1 || again != number || of != total || run >= len(c.runs):
		c.fail("ORDER", id, "stream of %s: after event %d of run %d, %s, comes %q", s.first, s.last, s.run, s.version, event)
		return false
	case s.version != "" && version != s.version:
		c.fail("ORDER", id, "stream of %s: event %d of %s, run %d, follows those of %s, run %d", s.first, number, version, run, s.version, s.run)
		return false
	case (s.last == 0 || run != s.run) && c.runs[run].after != s.last:
		c.fail("ORDER", id, "stream of %s: run %d, which went on after event %d, is joined after event %d of run %d", s.first, run, c.runs[run].after, s.last, s.run)
		return false
	}
	if s.first == "" {
		s.first = id
	}
	if s.last > 0 && run != s.run {
		c.joined++
	}
	s.last, s.version, s.run = number, version, run
	return true
}

// overdue returns the number of arrivals with a deadline that ends over deadlineSlack after the
// caller's, and of all.
func (c *fleetChecks) overdue() (late, all int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.late, c.arrived
}

// takeUp counts a stream that a caller takes up.
func (c *fleetChecks) takeUp() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.takeUps++
}

// unpaid returns the requests with more arrivals after their first than retries that hosts have
// withdrawn from their budgets, as their logs say. The end of the log of a host that was killed
// is lost, and of many lines in a second only some are kept.
func (c *fleetChecks) unpaid() []string {
	paid := make(map[string]int)
	for _, h := range c.f.hosts {
		for line := range strings.Lines(h.process.Log()) {
			var entry struct{ ID, Msg, Retry string }
			if json.Unmarshal([]byte(line), &entry) == nil && entry.Retry == string(retry.Withdrawn) && (entry.Msg == "request retried" || entry.Msg == "request resumed") {
				paid[entry.ID]++
			}
		}
	}
	var list []string
	for id, call := range c.calls {
		if call.again > paid[id] {
			list = append(list, fmt.Sprintf("%s: %d again, %d paid", id, call.again, paid[id]))
		}
	}
	return list
}

// end checks the bounds over the whole run.
func (c *fleetChecks) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, check := range c.unmarked {
		check()
	}
	c.f.t.Logf("%d responses in part without a mark of their end, %d of a process that ended", len(c.unmarked), c.excused)
	for _, service := range []string{draftService, spareService, stockService} {
		a := c.arrivals[service]
		slices.SortFunc(a.sent, time.Time.Compare)
		c.f.t.Logf("service %s", service)
		a.check(c.f.t)
	}
	if c.tooLate > lateDeadlines && c.tooLate*lateShare > c.resentLate {
		c.f.t.Errorf("BUDGET: %d of %d requests sent again late have a deadline that is too late", c.tooLate, c.resentLate)
	}
	c.f.t.Logf("%d requests, %d responses with status 200, %d streams taken up by their callers, %d joins of two runs, %d arrivals again, %d of them late, %d with a late deadline, %d violations",
		c.requests, c.served, c.takeUps, c.joined, c.resent, c.resentLate, c.tooLate, c.reported)
	list := c.unpaid()
	c.f.t.Logf("%d requests arrived again without a retry in the logs", len(list))
	for _, text := range list {
		id, _, _ := strings.Cut(text, ":")
		c.f.t.Logf("unpaid: %s\n\t%s", text, strings.Join(c.calls[id].log, "\n\t"))
	}
	for _, call := range c.calls {
		if slices.ContainsFunc(call.log, func(line string) bool { return strings.HasSuffix(line, "too late") }) {
			c.f.t.Logf("late deadline:\n\t%s", strings.Join(call.log, "\n\t"))
		}
	}
}
