package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/edge/logs"
	"github.com/yuccalb/yuccalb/internal/fake/line"
	"github.com/yuccalb/yuccalb/internal/fake/origin"
	"github.com/yuccalb/yuccalb/platform"
)

// TestStopUnderLoad guards against a stopping host that closes just accepted
// connections without a response. Callers open new connections until the host no
// longer listens.
func TestStopUnderLoad(t *testing.T) {
	const callers = 20
	cl := newCluster(t)
	e := cl.host("a1")
	cl.server("s1", "a1", func(x *origin.Exchange) bool {
		time.Sleep(20 * time.Millisecond)
		return ok(x)
	})
	var served, cutOff atomic.Int64
	var done sync.WaitGroup
	for range callers {
		done.Go(func() {
			for {
				conn, err := line.Dial(e.settings.Front)
				if err != nil {
					return // the host no longer listens
				}
				a := conn.Do(get("/safe/x"), nextID())
				_ = conn.Close()
				switch {
				case a.Err != nil:
					cutOff.Add(1)
					t.Logf("request cut off: %v", a.Err)
				case a.Status == http.StatusOK:
					served.Add(1)
				}
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	if err := e.Close(context.Background()); err != nil {
		t.Error(err)
	}
	done.Wait()
	// The kernel resets a connection that is established while the listener
	// closes. This can happen once to each caller.
	if n := cutOff.Load(); n > callers/10 {
		t.Errorf("%d requests were cut off, %d served", n, served.Load())
	}
}

// TestSlowStream guards against truncating an intact stream because its events
// arrive slowly.
func TestSlowStream(t *testing.T) {
	cl := newCluster(t)
	e := cl.host("a1")
	cl.server("s1", "a1", slowStream(3, 1200*time.Millisecond))
	if a := cl.do(e, post("/chat/x", "1")); a.Status != http.StatusOK || a.Err != nil || a.Body != origin.Events(1, 3) {
		t.Errorf("status %d, error %v, body %q", a.Status, a.Err, a.Body)
	}
}

// TestTrickledResponse guards against a response that never ends because a byte
// arrives now and then. It must end at the caller's timeout.
func TestTrickledResponse(t *testing.T) {
	for name, begin := range map[string]func(*origin.Exchange){
		"head":  func(x *origin.Exchange) { x.Send("HTTP/1.1 200 OK\r\nA: ") },
		"event": func(x *origin.Exchange) { x.StartStream(); x.Chunk(origin.Event(1)) },
	} {
		t.Run(name, func(t *testing.T) {
			cl := newCluster(t)
			e := cl.host("a1")
			cl.server("s1", "a1", func(x *origin.Exchange) bool {
				begin(x)
				text := "x"
				if name == "event" {
					text = "1\r\nx\r\n"
				}
				for x.Send(text) {
					time.Sleep(50 * time.Millisecond)
				}
				return false
			})
			began := time.Now()
			a := cl.do(e, post("/chat/x", "1").With(platform.HeaderDeadline, "1000"))
			if a.Status == http.StatusOK && a.Err == nil || a.Status == http.StatusServiceUnavailable {
				t.Errorf("status %d, error %v", a.Status, a.Err)
			}
			if took := time.Since(began); took > 1500*time.Millisecond {
				t.Errorf("ended after %v, the caller's timeout is 1 s", took)
			}
		})
	}
}

// TestUnsafeOnceRemote guards against a second run of a request that ran in another
// region and whose response was lost, and against a refusal that states that it
// did not run.
func TestUnsafeOnceRemote(t *testing.T) {
	for name, script := range map[string]origin.Script{
		"reset":  func(x *origin.Exchange) bool { return x.Reset() },
		"closed": func(*origin.Exchange) bool { return false },
		"torn":   func(x *origin.Exchange) bool { x.Send("HTTP/1.1 200 OK\r\nContent-Le"); return false },
		"silent": func(x *origin.Exchange) bool { <-x.Closed; return false },
	} {
		t.Run(name, func(t *testing.T) {
			cl := newCluster(t)
			a := cl.host("a1")
			cl.host("b1")
			one, two := cl.server("s1", "b1", script), cl.server("s2", "b1", script)
			cl.eventually("state report of region b", func() bool { return len(a.fleet.RemoteRegions("desk")) == 1 })
			got := cl.do(a, post("/order-b/x", "1").With(platform.HeaderDeadline, "1000"))
			if got.Status != http.StatusBadGateway && got.Status != http.StatusGatewayTimeout {
				t.Errorf("status %d, error %v", got.Status, got.Err)
			}
			if n := len(one.Seen()) + len(two.Seen()); n != 1 {
				t.Errorf("%d attempts, want 1", n)
			}
		})
	}
}

// TestMalformedMessages guards against input on any port that terminates the process
// or keeps it from serving.
func TestMalformedMessages(t *testing.T) {
	cl := newCluster(t)
	e := cl.host("a1")
	cl.server("s1", "a1", ok)
	texts := []string{
		"", "\x00", "\r\n\r\n", "GET", "GET / HTTP/9.9\r\n\r\n", "GET / HTTP/1.1\r\n\r\n",
		"POST /order/x HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n",
		"POST /order/x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n",
		"GET /safe/x HTTP/1.1\r\nHost: x\r\nYuccalb-Route: x\r\nYuccalb-Service: \xff\r\nYuccalb-Millis: 1e999\r\nX-Attempt-Id: 1\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: x\r\nYuccalb-State: ?\r\n\r\n", "GET /-/lookup?region=%zz HTTP/1.1\r\nHost: x\r\n\r\n",
		strings.Repeat("\xa1", 9000),
	}
	s := e.settings
	for _, addr := range []netip.AddrPort{s.Front, s.Peer, s.Ready, s.Lookup, s.Metrics} {
		for _, text := range texts {
			c, err := net.Dial("tcp4", addr.String())
			if err != nil {
				t.Fatal(err)
			}
			_ = c.SetDeadline(time.Now().Add(50 * time.Millisecond))
			_, _ = io.WriteString(c, text) // the host may close the connection at once
			_, _ = io.Copy(io.Discard, c)
			_ = c.Close()
		}
	}
	udp, err := net.Dial("udp4", s.Peer.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = udp.Close() }()
	for _, text := range texts {
		_, _ = io.WriteString(udp, text) // datagrams may be lost
	}
	wantStatus(t, cl.do(e, get("/safe/x")), http.StatusOK)
}

// TestRestartedHost guards against a host that uses a draining server, or accepts a
// revoked key, right after a restart, with and without a reachable store.
func TestRestartedHost(t *testing.T) {
	for _, storeDown := range []bool{false, true} {
		name := "store reachable"
		if storeDown {
			name = "store unreachable"
		}
		t.Run(name, func(t *testing.T) {
			cl := newCluster(t)
			a, b := cl.host("a1"), cl.host("a1")
			one := cl.server("s1", "a1", func(x *origin.Exchange) bool { return x.Reply(http.StatusOK, "served", leavingHeader) })
			wantStatus(t, cl.do(a, get("/safe/x")), http.StatusOK)
			cl.server("s2", "a1", ok)
			cl.store.PutConfig(config(2, "key-2"))
			time.Sleep(a.settings.Revoke)
			settings := b.settings
			settings.First = false
			if err := b.Close(context.Background()); err != nil {
				t.Fatal(err)
			}
			if storeDown {
				cl.store.SetFault(func(*http.Request) int { return http.StatusServiceUnavailable })
			}
			before := len(one.Seen())
			b = cl.start(settings)
			served := 0
			for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
				conn := cl.dial(b)
				if s := conn.Do(get("/safe/x"), nextID()).Status; s == http.StatusOK {
					t.Fatal("a revoked key was accepted")
				}
				if conn.Do(get("/safe/x").With(platform.HeaderAPIKey, "key-2"), nextID()).Status == http.StatusOK {
					served++
				}
				_ = conn.Close()
			}
			if n := len(one.Seen()) - before; n > 0 {
				t.Errorf("%d requests to a draining server", n)
			}
			if served == 0 {
				t.Error("no request was served")
			}
		})
	}
}

// TestAddressTaken guards against a panic, instead of an error that names the
// address, when an address is already in use.
func TestAddressTaken(t *testing.T) {
	cl := newCluster(t)
	for range 8 { // addresses are bound in random order
		s := cl.settings("a1")
		taken, err := net.Listen("tcp4", s.Front.String())
		if err != nil {
			t.Fatal(err)
		}
		out := logs.NewWriter(io.Discard)
		if _, err := Start(s, logs.New(out, s.Host, true)); err == nil || !strings.Contains(err.Error(), s.Front.String()) {
			t.Errorf("error %v does not name %s", err, s.Front)
		}
		_, _ = out.Close(), taken.Close() // test cleanup
	}
}
