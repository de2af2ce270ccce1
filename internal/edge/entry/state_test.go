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

// TestWithdrawnKey guards against a key that works on after it was withdrawn,
// also on an open connection.
func TestWithdrawnKey(t *testing.T) {
	w := newWorld(t)
	e := w.host("a1")
	w.server("s1", "a1", ok)
	conn := w.dial(e)
	wantStatus(t, conn.Do(get("/safe/x"), nextID()), http.StatusOK)
	w.store.PutConfig(config(2, "key-2"))
	time.Sleep(e.settings.Revoke)
	wantStatus(t, conn.Do(get("/safe/x"), nextID()), http.StatusUnauthorized)
	wantStatus(t, conn.Do(get("/safe/x").With(platform.HeaderKey, "key-2"), nextID()), http.StatusOK)
}

// TestKeysUnconfirmed guards against a host that goes on to accept keys when it
// can't learn of withdrawn ones, and against one that refuses routes that need
// no key.
func TestKeysUnconfirmed(t *testing.T) {
	w := newWorld(t)
	e := w.host("a1")
	w.server("s1", "a1", ok)
	w.store.Break(func(*http.Request) int { return plattest.Silent })
	time.Sleep(e.settings.Revoke)
	a := w.do(e, get("/safe/x"))
	wantStatus(t, a, http.StatusServiceUnavailable)
	if a.Header.Get("Retry-After") == "" {
		t.Error("no time to return")
	}
	wantStatus(t, w.do(e, get("/open/x")), http.StatusOK)
	if resp, err := http.Get("http://" + e.settings.Ready.String() + platform.ReadyPath); err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("ready: %v, %v", resp, err)
	}
	w.store.Break(nil)
	w.waitReady(e)
	wantStatus(t, w.do(e, get("/safe/x")), http.StatusOK)
}

// TestProofFromPeers guards against a host that refuses keys because the store
// does not answer it, although other hosts confirm the configuration.
func TestProofFromPeers(t *testing.T) {
	w := newWorld(t)
	door, cut := plattest.Door(t, w.store)
	settings := w.settings("a1")
	settings.Store = door
	a := w.start(settings)
	w.waitReady(a)
	b := w.host("b1")
	w.server("s1", "a1", ok)
	w.eventually("hosts know each other", func() bool { return len(a.exchange.Peers()) == 1 && len(b.exchange.Peers()) == 1 })
	cut.Store(true)
	time.Sleep(a.settings.Revoke + time.Second)
	wantStatus(t, w.do(a, get("/safe/x")), http.StatusOK)
}

// TestRestartWhileStoreIsAway guards against a host that turns proper requests
// down with 401 or 404 after a restart.
func TestRestartWhileStoreIsAway(t *testing.T) {
	w := newWorld(t)
	w.store.Break(func(*http.Request) int { return http.StatusTooManyRequests })
	e := w.start(w.settings("a1"))
	for range 5 {
		wantStatus(t, w.do(e, get("/safe/x")), http.StatusServiceUnavailable)
		time.Sleep(50 * time.Millisecond)
	}
}

// TestServersThatLeave guards against requests to servers that are draining,
// evacuated or gone.
func TestServersThatLeave(t *testing.T) {
	w := newWorld(t)
	e := w.host("a1")
	one := w.server("s1", "a1", ok)
	two := w.server("s2", "a1", ok)
	count := func(s *origin.Server) int {
		before := len(s.Seen())
		for range 20 {
			w.do(e, get("/safe/x"))
		}
		return len(s.Seen()) - before
	}
	w.store.PutServer("s1", "desk", "a1", one.Addr(), "draining")
	time.Sleep(2 * time.Second)
	if n := count(one); n > 0 {
		t.Errorf("a draining server got %d requests", n)
	}
	w.store.RemoveServer("s1")
	w.store.Evacuate("a1")
	time.Sleep(2 * time.Second)
	if n := count(two); n > 0 {
		t.Errorf("a server of an evacuated data centre got %d requests", n)
	}
	wantStatus(t, w.do(e, get("/safe/x")), http.StatusServiceUnavailable)
}

// TestAnotherServerAtTheAddress guards against requests that are given up, or
// run by another service, when a server's address has a new owner.
func TestAnotherServerAtTheAddress(t *testing.T) {
	w := newWorld(t)
	e := w.host("a1")
	w.server("s1", "a1", func(x *origin.Exchange) bool {
		return x.Misdirect()
	})
	w.server("s2", "a1", ok)
	served := 0
	for range 40 {
		if w.do(e, post("/order/x", "1")).Status == http.StatusOK {
			served++
		}
	}
	if served < 35 {
		t.Errorf("%d of 40 requests were served", served)
	}
}

// TestHomes guards against a request that is served outside its homes.
func TestHomes(t *testing.T) {
	w := newWorld(t)
	a := w.host("a1")
	w.host("b1")
	home := w.server("s1", "a1", ok)
	far := w.server("s2", "b1", ok)
	w.eventually("region b known", func() bool { return len(a.fleet.Places("desk")) == 1 })
	for range 10 {
		wantStatus(t, w.do(a, get("/home-b/x")), http.StatusOK)
	}
	if len(home.Seen()) > 0 || len(far.Seen()) != 10 {
		t.Errorf("%d requests in region a, %d in b", len(home.Seen()), len(far.Seen()))
	}
}

// TestLimit guards against more than the limit of an organisation, and against
// a refusal that does not say when to return.
func TestLimit(t *testing.T) {
	w := newWorld(t)
	cfg := config(1, key)
	cfg.Rate, cfg.Burst = 1000, 1000
	w.store.PutConfig(cfg)
	e := w.host("a1")
	s := w.server("s1", "a1", ok)
	var last line.Answer
	for range 20 {
		last = w.do(e, get("/safe/x").With(platform.HeaderTokens, "90,10"))
	}
	wantStatus(t, last, http.StatusTooManyRequests)
	if n := len(s.Seen()); n < 10 || n > 15 {
		t.Errorf("%d requests of 100 tokens were admitted, want the burst of 1000", n)
	}
	if last.Header.Get("Retry-After") == "" {
		t.Error("no time to return")
	}
}

// TestPlannedStop guards against requests that a planned stop cuts off, and
// against a host that still counts as ready.
func TestPlannedStop(t *testing.T) {
	w := newWorld(t)
	e := w.host("a1")
	w.server("s1", "a1", slowly(10, 200*time.Millisecond))
	conn := w.dial(e)
	if _, err := io.WriteString(conn, post("/chat/x", "1").Bytes(nextID())); err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond)
	closed := make(chan error, 1)
	go func() { closed <- e.Close(context.Background()) }()
	time.Sleep(50 * time.Millisecond)
	if e.fleet.Ready() {
		t.Error("the leaving host is ready")
	}
	late := w.do(e, post("/chat/x", "1"))
	if late.Err != nil || !late.Last {
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

// TestLookup guards against callers that are led to hosts that can't serve
// them, and against answers that others can't decode.
func TestLookup(t *testing.T) {
	w := newWorld(t)
	a := w.host("a1")
	b := w.host("b1")
	w.eventually("hosts know each other", func() bool { return len(a.exchange.Peers()) == 1 && len(b.exchange.Peers()) == 1 })
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
		w.eventually("lookup of region "+region, func() bool {
			got := lookup(region)
			return len(got) == 1 && got[0] == e.settings.Front.String()
		})
	}
	want("a", a)
	want("b", b)
	go func() { _ = b.Close(context.Background()) }()
	want("b", a)
}

// TestCallersWithOldAnswers guards against a leaving host that stops listening
// while callers still have its address from a lookup. Seen in an incident of
// the Hüttenlauf site: 409 requests without a connection while the three hosts
// of a region were restarted in turn.
func TestCallersWithOldAnswers(t *testing.T) {
	w := newWorld(t)
	e := w.host("a1")
	w.server("s1", "a1", ok)
	began := time.Now()
	closed := make(chan error, 1)
	go func() { closed <- e.Close(context.Background()) }()
	for time.Since(began) < 3*lookupTTL {
		wantStatus(t, w.do(e, get("/safe/x")), http.StatusOK)
		time.Sleep(100 * time.Millisecond)
	}
	if err := <-closed; err != nil {
		t.Error(err)
	}
	if d := time.Since(began); d > e.settings.Grace {
		t.Errorf("the stop took %v, the grace time is %v", d, e.settings.Grace)
	}
}

// TestIdleHostStopsSoon guards against a stop that waits for callers of whom
// there are none.
func TestIdleHostStopsSoon(t *testing.T) {
	w := newWorld(t)
	e := w.host("a1")
	began := time.Now()
	if err := e.Close(context.Background()); err != nil {
		t.Error(err)
	}
	if d := time.Since(began); d > 2*time.Second {
		t.Errorf("the stop took %v", d)
	}
}

// TestFirstByteParts guards against metrics that do not tell where the time to a
// first byte went.
func TestFirstByteParts(t *testing.T) {
	w := newWorld(t)
	e := w.host("a1")
	w.server("s1", "a1", func(x *origin.Exchange) bool {
		time.Sleep(250 * time.Millisecond)
		return x.Reply(http.StatusOK, "served")
	})
	wantStatus(t, w.do(e, get("/safe/x")), http.StatusOK)
	resp, err := http.Get("http://" + e.settings.Metrics.String() + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range []string{
		`yuccalb_first_byte_part_seconds_bucket{part="retry",service="desk",le="0.2"} 1`,
		`yuccalb_first_byte_part_seconds_bucket{part="queue",service="desk",le="0.2"} 0`,
		`yuccalb_first_byte_part_seconds_count{part="read",service="desk"} 1`,
	} {
		if !strings.Contains(string(body), line) {
			t.Errorf("the metrics do not contain %s", line)
		}
	}
}
