package entry

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/fake/line"
	"github.com/yuccalb/yuccalb/internal/fake/origin"
	"github.com/yuccalb/yuccalb/platform"
	"github.com/yuccalb/yuccalb/platform/plattest"
)

// TestRevokedKey guards against accepting a revoked key, also on an open connection.
func TestRevokedKey(t *testing.T) {
	cl := newCluster(t)
	e := cl.host("a1")
	cl.server("s1", "a1", ok)
	conn := cl.dial(e)
	wantStatus(t, conn.Do(get("/safe/x"), nextID()), http.StatusOK)
	cl.store.PutConfig(config(2, "key-2"))
	time.Sleep(e.settings.Revoke)
	wantStatus(t, conn.Do(get("/safe/x"), nextID()), http.StatusUnauthorized)
	wantStatus(t, conn.Do(get("/safe/x").With(platform.HeaderAPIKey, "key-2"), nextID()), http.StatusOK)
}

// TestKeysUnconfirmed guards against a host that still accepts keys when it cannot
// read which ones were revoked, and against one that refuses requests to routes
// that need no key.
func TestKeysUnconfirmed(t *testing.T) {
	cl := newCluster(t)
	e := cl.host("a1")
	cl.server("s1", "a1", ok)
	cl.store.SetFault(func(*http.Request) int { return plattest.NoResponse })
	time.Sleep(e.settings.Revoke)
	a := cl.do(e, get("/safe/x"))
	wantStatus(t, a, http.StatusServiceUnavailable)
	if a.Header.Get("Retry-After") == "" {
		t.Error("no Retry-After")
	}
	wantStatus(t, cl.do(e, get("/open/x")), http.StatusOK)
	if resp, err := http.Get("http://" + e.settings.Ready.String() + platform.ReadyPath); err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("ready: %v, %v", resp, err)
	}
	cl.store.SetFault(nil)
	cl.waitReady(e)
	wantStatus(t, cl.do(e, get("/safe/x")), http.StatusOK)
}

// TestKeysConfirmedByPeers guards against a host that refuses keys because it cannot
// reach the store, although other hosts confirm the configuration.
func TestKeysConfirmedByPeers(t *testing.T) {
	cl := newCluster(t)
	storeAddr, cutOff := plattest.FaultProxy(t, cl.store)
	settings := cl.settings("a1")
	settings.Store = storeAddr
	a := cl.start(settings)
	cl.waitReady(a)
	b := cl.host("b1")
	cl.server("s1", "a1", ok)
	cl.eventually("state reports between hosts", func() bool { return len(a.exchange.Peers()) == 1 && len(b.exchange.Peers()) == 1 })
	cutOff.Store(true)
	time.Sleep(a.settings.Revoke + time.Second)
	wantStatus(t, cl.do(a, get("/safe/x")), http.StatusOK)
}

// TestRestartWhileStoreIsDown guards against a host that refuses valid requests with
// 401 or 404 when it starts while the store is down.
func TestRestartWhileStoreIsDown(t *testing.T) {
	cl := newCluster(t)
	cl.store.SetFault(func(*http.Request) int { return http.StatusTooManyRequests })
	e := cl.start(cl.settings("a1"))
	for range 5 {
		wantStatus(t, cl.do(e, get("/safe/x")), http.StatusServiceUnavailable)
		time.Sleep(50 * time.Millisecond)
	}
}

// TestDrainingServers guards against requests to servers that are draining, removed
// or in an evacuated data centre.
func TestDrainingServers(t *testing.T) {
	cl := newCluster(t)
	e := cl.host("a1")
	one := cl.server("s1", "a1", ok)
	two := cl.server("s2", "a1", ok)
	count := func(s *origin.Server) int {
		before := len(s.Seen())
		for range 20 {
			cl.do(e, get("/safe/x"))
		}
		return len(s.Seen()) - before
	}
	cl.store.PutServer("s1", "desk", "a1", one.Addr(), "draining")
	time.Sleep(2 * time.Second)
	if n := count(one); n > 0 {
		t.Errorf("a draining server got %d requests", n)
	}
	cl.store.RemoveServer("s1")
	cl.store.Evacuate("a1")
	time.Sleep(2 * time.Second)
	if n := count(two); n > 0 {
		t.Errorf("a server of an evacuated data centre got %d requests", n)
	}
	wantStatus(t, cl.do(e, get("/safe/x")), http.StatusServiceUnavailable)
}

// TestAddressReused guards against requests that fail, or are run by the wrong
// service, when the address of a server was assigned to another one.
func TestAddressReused(t *testing.T) {
	cl := newCluster(t)
	e := cl.host("a1")
	cl.server("s1", "a1", func(x *origin.Exchange) bool {
		return x.Misdirect()
	})
	cl.server("s2", "a1", ok)
	served := 0
	for range 40 {
		if cl.do(e, post("/order/x", "1")).Status == http.StatusOK {
			served++
		}
	}
	if served < 35 {
		t.Errorf("%d of 40 requests were served", served)
	}
}

// TestRouteRegions guards against serving a request outside the regions of its route.
func TestRouteRegions(t *testing.T) {
	cl := newCluster(t)
	a := cl.host("a1")
	cl.host("b1")
	local := cl.server("s1", "a1", ok)
	remote := cl.server("s2", "b1", ok)
	cl.eventually("state report of region b", func() bool { return len(a.fleet.RemoteRegions("desk")) == 1 })
	for range 10 {
		wantStatus(t, cl.do(a, get("/home-b/x")), http.StatusOK)
	}
	if len(local.Seen()) > 0 || len(remote.Seen()) != 10 {
		t.Errorf("%d requests in region a, %d in b", len(local.Seen()), len(remote.Seen()))
	}
}

// TestRateLimit guards against admitting more than the rate limit of an organisation,
// and against a refusal without Retry-After.
func TestRateLimit(t *testing.T) {
	cl := newCluster(t)
	cfg := config(1, key)
	cfg.Rate, cfg.Burst = 1000, 1000
	cl.store.PutConfig(cfg)
	e := cl.host("a1")
	s := cl.server("s1", "a1", ok)
	var last line.Response
	for range 20 {
		last = cl.do(e, get("/safe/x").With(platform.HeaderTokens, "90,10"))
	}
	wantStatus(t, last, http.StatusTooManyRequests)
	if n := len(s.Seen()); n < 10 || n > 15 {
		t.Errorf("%d requests of 100 tokens were admitted, want the burst of 1000", n)
	}
	if last.Header.Get("Retry-After") == "" {
		t.Error("no Retry-After")
	}
}

// TestGracefulStop guards against requests that are aborted when a host is stopped,
// and against a draining host that reports that it is ready.
func TestGracefulStop(t *testing.T) {
	cl := newCluster(t)
	e := cl.host("a1")
	cl.server("s1", "a1", slowStream(10, 200*time.Millisecond))
	conn := cl.dial(e)
	if _, err := io.WriteString(conn, post("/chat/x", "1").Bytes(nextID())); err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond)
	closed := make(chan error, 1)
	go func() { closed <- e.Close(context.Background()) }()
	time.Sleep(50 * time.Millisecond)
	if e.fleet.Ready() {
		t.Error("the draining host is ready")
	}
	late := cl.do(e, post("/chat/x", "1"))
	if late.Err != nil || !late.Close {
		t.Errorf("request right after the signal: %+v", late)
	}
	a := conn.Receive(http.MethodPost)
	if a.Err != nil || !strings.Contains(a.Body, "part 10") {
		t.Errorf("request in progress: %+v", a)
	}
	if err := <-closed; err != nil {
		t.Error(err)
	}
}

// TestLookup guards against lookup responses with hosts that cannot serve the caller,
// and against malformed ones.
func TestLookup(t *testing.T) {
	cl := newCluster(t)
	a := cl.host("a1")
	b := cl.host("b1")
	cl.eventually("state reports between hosts", func() bool { return len(a.exchange.Peers()) == 1 && len(b.exchange.Peers()) == 1 })
	lookup := func(region string) []string {
		t.Helper()
		resp, err := http.Get("http://" + a.settings.Lookup.String() + platform.LookupPath + "?name=x&region=" + region + "&zone=z")
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		var out struct {
			Addrs []string `json:"addrs"`
			TTL   float64  `json:"ttl_s"`
		}
		if err := json.NewDecoder(resp.Body).Decode(&out); err != nil || out.TTL <= 0 {
			t.Fatalf("ttl %v, %v", out.TTL, err)
		}
		return out.Addrs
	}
	want := func(region string, e *Entry) {
		t.Helper()
		cl.eventually("lookup of region "+region, func() bool {
			got := lookup(region)
			return len(got) == 1 && got[0] == e.settings.Front.String()
		})
	}
	want("a", a)
	want("b", b)
	go func() { _ = b.Close(context.Background()) }()
	want("b", a)
}

// TestCallersWithStaleLookups guards against a draining host that stops listening
// while callers still use its address from a lookup. In an incident at Hüttenlauf,
// 409 requests got no connection during a rolling restart of the three hosts of a
// region.
func TestCallersWithStaleLookups(t *testing.T) {
	cl := newCluster(t)
	e := cl.host("a1")
	cl.server("s1", "a1", ok)
	began := time.Now()
	closed := make(chan error, 1)
	go func() { closed <- e.Close(context.Background()) }()
	for time.Since(began) < 3*lookupTTL {
		wantStatus(t, cl.do(e, get("/safe/x")), http.StatusOK)
		time.Sleep(100 * time.Millisecond)
	}
	if err := <-closed; err != nil {
		t.Error(err)
	}
	if d := time.Since(began); d > e.settings.Grace {
		t.Errorf("the stop took %v, the grace period is %v", d, e.settings.Grace)
	}
}

// TestIdleHostStopsSoon guards against a stop that waits although no caller sends
// requests.
func TestIdleHostStopsSoon(t *testing.T) {
	cl := newCluster(t)
	e := cl.host("a1")
	began := time.Now()
	if err := e.Close(context.Background()); err != nil {
		t.Error(err)
	}
	if d := time.Since(began); d > 2*time.Second {
		t.Errorf("the stop took %v", d)
	}
}

// TestFirstByteParts guards against metrics that attribute the time to the first byte
// to the wrong part.
func TestFirstByteParts(t *testing.T) {
	cl := newCluster(t)
	e := cl.host("a1")
	cl.server("s1", "a1", func(x *origin.Exchange) bool {
		time.Sleep(250 * time.Millisecond)
		return x.Reply(http.StatusOK, "served")
	})
	wantStatus(t, cl.do(e, get("/safe/x")), http.StatusOK)
	page := metricsPage(t, e, "/metrics")
	for _, line := range []string{
		`yuccalb_first_byte_part_seconds_bucket{part="retry",service="desk",le="0.2"} 1`,
		`yuccalb_first_byte_part_seconds_bucket{part="queue",service="desk",le="0.2"} 0`,
		`yuccalb_first_byte_part_seconds_count{part="read",service="desk"} 1`,
	} {
		if !strings.Contains(page, line) {
			t.Errorf("the metrics do not contain %s", line)
		}
	}
}
