package entry

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/fake/origin"
)

// TestIdleConnections guards against callers' connections that are closed
// before the limit of the configuration, or kept for ever.
func TestIdleConnections(t *testing.T) {
	w := newWorld(t)
	e := w.host("a1")
	w.server("s1", "a1", ok)
	conn := w.dial(e)
	wantStatus(t, conn.Do(get("/safe/x"), nextID()), http.StatusOK)
	e.callers.Sweep(time.Now().Add(14*time.Second), e.idleLimit())
	wantStatus(t, conn.Do(get("/safe/x"), nextID()), http.StatusOK)
	time.Sleep(50 * time.Millisecond)
	e.callers.Sweep(time.Now().Add(16*time.Second), e.idleLimit())
	if _, err := conn.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the idle connection is open: %v", err)
	}
	w.eventually("no connection", func() bool { return e.callers.Open() == 0 })
}

// TestSweepSparesRequests guards against a request that is cut off because its
// connection had been idle before.
func TestSweepSparesRequests(t *testing.T) {
	w := newWorld(t)
	e := w.host("a1")
	w.server("s1", "a1", func(x *origin.Exchange) bool {
		time.Sleep(100 * time.Millisecond)
		return ok(x)
	})
	conn := w.dial(e)
	if _, err := io.WriteString(conn, get("/safe/x").Bytes(nextID())); err != nil {
		t.Fatal(err)
	}
	time.Sleep(30 * time.Millisecond)
	e.callers.Sweep(time.Now().Add(time.Hour), e.idleLimit())
	wantStatus(t, conn.Receive(http.MethodGet), http.StatusOK)
}

// TestCrowdedHost is the load of callers that open a connection per request and
// keep it. It guards against a host that runs out of descriptors, and with
// them of answers. Seen on the bench as requests that were held on after their
// callers had left (Comptoir, scale-2).
func TestCrowdedHost(t *testing.T) {
	w := newWorld(t)
	s := w.settings("a1")
	s.Files = 100
	e := w.start(s)
	w.waitReady(e)
	hold := make(chan bool)
	w.server("s1", "a1", func(x *origin.Exchange) bool {
		if x.Method == http.MethodPost {
			<-hold
		}
		return ok(x)
	})
	defer close(hold)
	for range 40 {
		w.dial(e)
	}
	for range 10 {
		if a := w.do(e, get("/open/x")); a.Err != nil || !a.Last {
			t.Fatalf("the connection stays open: %+v", a)
		}
	}
	for range 40 {
		if _, err := io.WriteString(w.dial(e), post("/order/x", "1").Bytes(nextID())); err != nil {
			t.Fatal(err)
		}
	}
	w.eventually("full", func() bool { return e.relay.Running() >= 35 }) // its share of the descriptors
	wantStatus(t, w.do(e, get("/safe/x")), http.StatusServiceUnavailable)
}
