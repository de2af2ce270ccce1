package once_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/model"
	"github.com/yuccalb/yuccalb/internal/core/order"
	"github.com/yuccalb/yuccalb/internal/daemon/once"
)

// withHosts runs f in a synctest bubble with two hosts that share a store without
// random faults, and then closes the hosts.
func withHosts(t *testing.T, f func(t *testing.T, s *store, all []*host)) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore(1, faults{})
		all := hosts(s, 2)
		f(t, s, all)
		if err := closeAll(all); err != nil {
			t.Error(err)
		}
		time.Sleep(time.Minute)
	})
}

// begin starts a request. The result is "new", "recorded", or the reason and the run
// state of the rejection.
func begin(o *once.Once, org, key, body string) (*once.Entry, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	e, err := o.Begin(ctx, org, key, body)
	var r *model.Rejection
	switch {
	case errors.As(err, &r):
		return nil, string(r.Reason) + " " + string(r.Run)
	case err != nil:
		return nil, err.Error()
	case e.Recorded() != nil:
		return e, "recorded"
	}
	return e, "new"
}

// expect checks the result of a request that must not start a run.
func expect(t *testing.T, o *once.Once, org, key, body, want string) {
	t.Helper()
	if _, got := begin(o, org, key, body); got != want {
		t.Errorf("%s %.8s %s: %s, want %s", org, key, body, got, want)
	}
}

// book makes a booking from begin to finish.
func book(t *testing.T, o *once.Once, org, key, body string, outcome order.Outcome) {
	t.Helper()
	e, got := begin(o, org, key, body)
	if got != "new" {
		t.Fatalf("%s %.8s %s: %s, want new", org, key, body, got)
	}
	if err := e.Dispatch(); err != nil {
		t.Fatal(err)
	}
	if e.Dispatch() == nil {
		t.Error("second dispatch succeeded")
	}
	o.Finish(e, outcome)
}

var (
	done    = order.Outcome{Response: &order.Response{Status: 200, Body: []byte("booked")}}
	notRun  = order.Outcome{Run: model.RunNo}
	lost    = order.Outcome{Run: model.RunUnknown}
	elapsed = 30 * time.Second
)

// TestKeys guards against keys that collide between organisations or match another
// body, and against repeats whose result differs from that of the first request, on
// the same host or another.
func TestKeys(t *testing.T) {
	withHosts(t, func(t *testing.T, _ *store, all []*host) {
		a, b := all[0].once, all[1].once
		e, _ := begin(a, "org1", "k", "x")
		expect(t, a, "org1", "k", "x", "running unknown")
		expect(t, b, "org1", "k", "x", "running unknown")
		expect(t, b, "org1", "k", "y", "key_reused no")
		e.Dispatch()
		a.Finish(e, done)
		a.Finish(e, notRun)
		time.Sleep(elapsed)
		for _, o := range []*once.Once{a, b} {
			expect(t, o, "org1", "k", "x", "recorded")
			expect(t, o, "org1", "k", "y", "key_reused no")
		}
		book(t, b, "org2", "k", "y", lost)
		time.Sleep(elapsed)
		expect(t, a, "org2", "k", "y", "unknown unknown")
		book(t, a, "org1", "free", "x", notRun)
		time.Sleep(elapsed)
		book(t, b, "org1", "free", "z", done)
		large := order.Outcome{Response: &order.Response{Status: 200, Body: make([]byte, order.MaxBody+1)}}
		book(t, b, "org1", "large", "x", large)
		expect(t, b, "org1", "large", "x", "unknown unknown")
		book(t, b, "org1", "", "x", done)
		book(t, b, "org1", "", "x", done)
		late, _ := begin(a, "org1", "late", "x")
		time.Sleep(elapsed)
		if late.Dispatch() == nil {
			t.Error("dispatch after the deadline succeeded")
		}
		expect(t, b, "org1", "late", "x", "unknown unknown")
		a.Finish(late, lost)
		time.Sleep(elapsed)
		book(t, b, "org1", "late", "x", done)
	})
}

// TestStoreFaults guards against store responses that are lost, after which a booking
// runs twice or its key stays blocked, and against outages that make the outcome of a
// booking unavailable on the host that ran it.
func TestStoreFaults(t *testing.T) {
	withHosts(t, func(t *testing.T, s *store, all []*host) {
		a, b := all[0].once, all[1].once
		book(t, a, "org", "first", "x", done) // requests the lease, so that the script hits the writes
		time.Sleep(elapsed)
		s.script("lost")
		book(t, a, "org", "lost", "x", done)
		time.Sleep(elapsed)
		expect(t, b, "org", "lost", "x", "recorded")
		for _, script := range []string{"lost fail", "late", "fail", "lost fail fail fail lost lost"} {
			key := "key " + script
			book(t, b, "org", "warm "+script, "x", done)
			time.Sleep(elapsed)
			s.script(strings.Fields(script)...)
			expect(t, b, "org", key, "x", "store_down no")
			expect(t, b, "org", key, "x", "store_down no")
			time.Sleep(elapsed)
			book(t, a, "org", key, "x", done)
		}
		time.Sleep(elapsed)
		e, _ := begin(a, "org", "outage", "x")
		s.setDown(true)
		expect(t, a, "org", "other", "x", "store_down no")
		e.Dispatch()
		a.Finish(e, done)
		expect(t, a, "org", "outage", "x", "recorded")
		time.Sleep(time.Hour)
		expect(t, a, "org", "outage", "x", "recorded")
		s.setDown(false)
		time.Sleep(elapsed)
		expect(t, b, "org", "outage", "x", "recorded")
	})
}

// TestPendingBytes guards against unbounded memory for responses while outcomes can't
// be written.
func TestPendingBytes(t *testing.T) {
	withHosts(t, func(t *testing.T, s *store, all []*host) {
		o := all[0].once
		large := order.Outcome{Response: &order.Response{Status: 200, Body: make([]byte, order.MaxBody)}}
		for round := range 2 {
			var open []*once.Entry
			key := func(i int) string { return fmt.Sprint("round ", round, " key ", i) }
			for i := range 40 {
				e, _ := begin(o, "org", key(i), "x")
				e.Dispatch()
				open = append(open, e)
			}
			s.setDown(true)
			for i, e := range open {
				o.Finish(e, large)
				want := "recorded"
				if i >= 32 {
					want = "unknown unknown"
				}
				expect(t, o, "org", key(i), "x", want)
			}
			s.setDown(false)
			time.Sleep(elapsed)
		}
	})
}

// TestTickets guards against a ticket that runs twice; that is accepted although it
// belongs to another organisation, was modified, has expired or came to the wrong host;
// or that needs the store.
func TestTickets(t *testing.T) {
	withHosts(t, func(t *testing.T, s *store, all []*host) {
		s.setDown(true)
		a, b := all[0].once, all[1].once
		key, _ := a.Ticket("org")
		if owner, ok, err := b.Owner("org", key); !ok || err != nil || owner != all[0].addr {
			t.Errorf("owner %v, %v, error %v", owner, ok, err)
		}
		if _, ok, err := a.Owner("org", key); ok || err != nil {
			t.Errorf("a ticket is forwarded by the host that issued it, error %v", err)
		}
		expect(t, b, "org", key, "x", "unknown unknown")
		expect(t, a, "org2", key, "x", "bad_request no")
		expect(t, a, "org", key[:len(key)-2]+"AA", "x", "bad_request unknown")
		book(t, a, "org", key, "x", notRun)
		book(t, a, "org", key, "x", done)
		expect(t, a, "org", key, "x", "recorded")
		expect(t, a, "org", key, "y", "key_reused no")
		time.Sleep(time.Hour)
		expect(t, a, "org", key, "x", "unknown unknown")
		key, _ = a.Ticket("org")
		all[0].start()
		expect(t, all[0].once, "org", key, "x", "unknown unknown")
		s.setDown(false)
	})
}

// TestClose guards against a Close that loses outcomes not yet written to the store,
// does not return when its context ends, or accepts new bookings.
func TestClose(t *testing.T) {
	withHosts(t, func(t *testing.T, s *store, all []*host) {
		a, b := all[0].once, all[1].once
		book(t, b, "org", "first", "x", done)
		time.Sleep(elapsed)
		e, _ := begin(a, "org", "k", "x")
		f, _ := begin(b, "org", "m", "x")
		s.setDown(true)
		e.Dispatch()
		go func() {
			time.Sleep(time.Second)
			a.Finish(e, done)
			time.Sleep(time.Minute)
			s.setDown(false)
		}()
		ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
		defer cancel()
		if err := a.Close(ctx); err != nil {
			t.Error(err)
		}
		expect(t, a, "org", "n", "x", "leaving no")
		expect(t, b, "org", "k", "x", "recorded")
		ended, end := context.WithCancel(ctx)
		end()
		if b.Close(ended) == nil {
			t.Error("no error for an entry that was not finished")
		}
		b.Finish(f, done)
		all[1].start()
	})
}
