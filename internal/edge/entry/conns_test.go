package entry

import (
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/fake/line"
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

// sweptConn is a connection on which each Read that returns data first calls received.
type sweptConn struct {
	net.Conn
	received func()
}

func (c *sweptConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.received()
	}
	return n, err
}

// sweptListener accepts connections as sweptConn.
type sweptListener struct {
	net.Listener
	received func()
}

func (l *sweptListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &sweptConn{c, l.received}, nil
}

// TestSweepDuringRead guards against a request that is served without a response: its
// connection was idle and is closed between the read of its bytes and the time at which
// net/http counts the connection as active. In a load test (Vallmo, hunt-9b91-27) a
// host that stopped closed a connection 28 ms after the arrival of a request.
func TestSweepDuringRead(t *testing.T) {
	conns := newConnTracker()
	var sweep atomic.Bool
	var handled atomic.Int32
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { handled.Add(1) })
	srv := &http.Server{ConnState: conns.State, ConnContext: conns.ConnContext, Handler: conns.Handler(handler)}
	go srv.Serve(&sweptListener{l, func() {
		if sweep.Load() {
			conns.Sweep(time.Now().Add(time.Hour), 0)
		}
	}})
	defer srv.Close()
	c, err := line.Dial(netip.MustParseAddrPort(l.Addr().String()))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if a := c.Do(line.Get("/"), nextID()); a.Status != http.StatusOK {
		t.Fatalf("first request: status %d, %v", a.Status, a.Err)
	}
	time.Sleep(50 * time.Millisecond) // the connection becomes idle
	sweep.Store(true)
	a := c.Do(line.Get("/"), nextID())
	time.Sleep(100 * time.Millisecond) // the handler may run after the close
	if a.Status != http.StatusOK && handled.Load() > 1 {
		t.Errorf("the second request was served, but its connection was closed: %v", a.Err)
	}
}

// TestResentRequestRunsOnce guards against a request that runs twice because its caller
// sends it again, as HTTP clients do when an idle connection is closed without a response:
// the host has read the request from the connection that it closes, and serves it as well.
func TestResentRequestRunsOnce(t *testing.T) {
	cl := newCluster(t)
	e := cl.host("a1")
	s := cl.server("s1", "a1", ok)
	conns := newConnTracker()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var sweep atomic.Bool
	srv := &http.Server{ConnState: conns.State, ConnContext: conns.ConnContext, Handler: conns.Handler(e.relay)}
	go srv.Serve(&sweptListener{l, func() {
		if sweep.Swap(false) {
			conns.Sweep(time.Now().Add(time.Hour), 0)
		}
	}})
	defer srv.Close()
	addr := netip.MustParseAddrPort(l.Addr().String())
	resent := 0
	for range 100 {
		c, err := line.Dial(addr)
		if err != nil {
			t.Fatal(err)
		}
		wantStatus(t, c.Do(post("/order/x", "1"), nextID()), http.StatusOK)
		time.Sleep(2 * time.Millisecond) // the connection becomes idle
		sweep.Store(true)
		id := nextID()
		resp := c.Do(post("/order/x", "1"), id)
		_ = c.Close()
		if resp.Status == 0 {
			resent++
			c, err := line.Dial(addr)
			if err != nil {
				t.Fatal(err)
			}
			c.Do(post("/order/x", "1"), id)
			_ = c.Close()
		}
	}
	time.Sleep(100 * time.Millisecond) // a handler may still run
	runs := make(map[string]int)
	twice := 0
	for _, x := range s.Seen() {
		if runs[x.ID()]++; runs[x.ID()] == 2 {
			twice++
		}
	}
	if twice > 0 || resent == 0 {
		t.Errorf("%d of %d requests that were sent again ran twice", twice, resent)
	}
}
