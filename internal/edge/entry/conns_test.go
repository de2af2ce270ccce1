package entry

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/fake/origin"
)

// TestIdleConnections guards against callers' connections that are closed before
// the idle timeout of the configuration, or never.
func TestIdleConnections(t *testing.T) {
	cl := newCluster(t)
	e := cl.host("a1")
	cl.server("s1", "a1", ok)
	conn := cl.dial(e)
	wantStatus(t, conn.Do(get("/safe/x"), nextID()), http.StatusOK)
	e.callerConns.Sweep(time.Now().Add(14*time.Second), e.callerIdleTimeout())
	wantStatus(t, conn.Do(get("/safe/x"), nextID()), http.StatusOK)
	time.Sleep(50 * time.Millisecond)
	e.callerConns.Sweep(time.Now().Add(16*time.Second), e.callerIdleTimeout())
	if _, err := conn.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the idle connection is open: %v", err)
	}
	cl.eventually("no connection", func() bool { return e.callerConns.Open() == 0 })
}

// TestSweepKeepsActiveRequests guards against aborting a request because its
// connection was idle before.
func TestSweepKeepsActiveRequests(t *testing.T) {
	cl := newCluster(t)
	e := cl.host("a1")
	cl.server("s1", "a1", func(x *origin.Exchange) bool {
		time.Sleep(100 * time.Millisecond)
		return ok(x)
	})
	conn := cl.dial(e)
	if _, err := io.WriteString(conn, get("/safe/x").Bytes(nextID())); err != nil {
		t.Fatal(err)
	}
	time.Sleep(30 * time.Millisecond)
	e.callerConns.Sweep(time.Now().Add(time.Hour), e.callerIdleTimeout())
	wantStatus(t, conn.Receive(http.MethodGet), http.StatusOK)
}

// TestDescriptorLimits guards against a host that runs out of file descriptors, and
// can no longer respond, because callers open a connection per request and keep
// it. In a load test (Comptoir, scale-2), requests stayed in progress after their
// callers had disconnected.
func TestDescriptorLimits(t *testing.T) {
	cl := newCluster(t)
	s := cl.settings("a1")
	s.Files = 100
	e := cl.start(s)
	cl.waitReady(e)
	hold := make(chan bool)
	cl.server("s1", "a1", func(x *origin.Exchange) bool {
		if x.Method == http.MethodPost {
			<-hold
		}
		return ok(x)
	})
	defer close(hold)
	for range 40 {
		cl.dial(e)
	}
	for range 10 {
		if a := cl.do(e, get("/open/x")); a.Err != nil || !a.Close {
			t.Fatalf("the connection stays open: %+v", a)
		}
	}
	for range 40 {
		if _, err := io.WriteString(cl.dial(e), post("/order/x", "1").Bytes(nextID())); err != nil {
			t.Fatal(err)
		}
	}
	cl.eventually("maximum of requests in progress", func() bool { return e.relay.Running() >= 35 }) // runningShare
	wantStatus(t, cl.do(e, get("/safe/x")), http.StatusServiceUnavailable)
}
