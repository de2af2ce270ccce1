package front

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/adapt/meter"
	"github.com/yuccalb/yuccalb/internal/adapt/trace"
	"github.com/yuccalb/yuccalb/internal/core/model"
	"github.com/yuccalb/yuccalb/internal/daemon/serve"
	"github.com/yuccalb/yuccalb/internal/daemon/setup"
	"github.com/yuccalb/yuccalb/internal/edge/intake"
)

// fakeConfig is a Config that a test can change.
type fakeConfig struct {
	snap atomic.Pointer[model.Snapshot]
	age  atomic.Int64
}

func (c *fakeConfig) Current() *model.Snapshot    { return c.snap.Load() }
func (c *fakeConfig) ConfirmedAge() time.Duration { return time.Duration(c.age.Load()) }

// serverFunc adapts a function to Server.
type serverFunc func(ctx context.Context, c *serve.Call, sink serve.Sink) *model.Rejection

func (f serverFunc) Serve(ctx context.Context, c *serve.Call, sink serve.Sink) *model.Rejection {
	return f(ctx, c, sink)
}

// fakeFleet is a Fleet of one host that records the regions of the last call.
type fakeFleet struct{ regions []string }

func (f *fakeFleet) Hosts(regions []string) []Host {
	f.regions = regions
	return []Host{{Addr: netip.MustParseAddrPort("127.0.0.1:1"), Site: "a", Region: "west"}}
}

// noTickets is a Tickets that always fails.
type noTickets struct{}

func (noTickets) Ticket(string) (string, error) { return "", errors.New("full") }

const testKey = "yk_test"

// testConfig returns a configuration with open and closed routes and one organisation that
// may use some of the closed ones.
func testConfig() *model.Config {
	return &model.Config{
		Regions: []model.Region{{Name: "east"}, {Name: "west"}},
		Routes: []model.Route{
			{Name: "chat", Kind: model.KindChat, Service: "e"},
			{Name: "far", Kind: model.KindPlain, Service: "p", Regions: []string{"east"}},
			{Name: "info", Kind: model.KindPlain, Service: "p", Open: true},
			{Name: "lobby", Kind: model.KindChat, Service: "e", Open: true},
			{Name: "other", Kind: model.KindPlain, Service: "p"},
			{Name: "stock", Kind: model.KindPlain, Service: "p"},
		},
		Orgs: []model.Org{{
			Name: "shop", Rate: 1, Burst: 1, Regions: []string{"west"}, Routes: []string{"chat", "far", "stock"},
			Keys: []model.Key{{Hash: model.HashKey(testKey)}},
		}},
	}
}

// newFront returns a Front that passes requests to server, with a fake configuration and
// fleet.
func newFront(t *testing.T, server Server) (*Front, *fakeConfig, *fakeFleet) {
	t.Helper()
	tracer, err := trace.New(t.Context(), trace.Config{})
	if err != nil {
		t.Fatal(err)
	}
	cfg, fleet := &fakeConfig{}, &fakeFleet{}
	cfg.snap.Store(model.NewSnapshot(1, "d", testConfig()))
	return New(Options{
		Config: cfg, Server: server, Fleet: fleet, Tickets: noTickets{},
		Meter: meter.New(), Tracer: tracer, Log: zap.NewNop(),
		Limits: setup.Limits{Body: 64, Header: 1 << 10, Read: time.Second, Conns: 4},
		Gate:   intake.New(intake.LimitsOf(1<<20, 100, 0), nil, zap.NewNop()), Bodies: intake.NewBodies(1 << 20),
	}), cfg, fleet
}

// okServer is a Server that responds to every call with status 200.
var okServer = serverFunc(func(_ context.Context, _ *serve.Call, sink serve.Sink) *model.Rejection {
	if sink.Head(http.StatusOK, http.Header{}) != nil || sink.Data([]byte("{}")) != nil {
		return model.Reject(model.ReasonUnknown, "sink failed")
	}
	return nil
})

// unreadBody is a request body that fails the test when it is read.
type unreadBody struct{ t *testing.T }

func (u unreadBody) Read([]byte) (int, error) {
	u.t.Error("the body was read before the key was checked")
	return 0, io.EOF
}

// TestAdmission guards against requests that run without a valid key, on a route that the
// organisation may not use, or outside its regions.
func TestAdmission(t *testing.T) {
	for _, tc := range []struct {
		name, path, key string
		status          int
		reason          model.Reason
	}{
		{"allowed route", "/v1/call/stock", testKey, 200, ""},
		{"open route without key", "/v1/call/info", "", 200, ""},
		{"no key", "/v1/call/stock", "", 401, model.ReasonKeyMissing},
		{"unknown key", "/v1/call/stock", "yk_other", 401, model.ReasonKeyUnknown},
		{"unknown key on an open route", "/v1/call/info", "yk_other", 401, model.ReasonKeyUnknown},
		{"denied route", "/v1/call/other", testKey, 403, model.ReasonRouteDenied},
		{"no common region", "/v1/call/far", testKey, 403, model.ReasonRegionDenied},
		{"unknown route", "/v1/call/none", testKey, 404, model.ReasonRouteUnknown},
		{"open chat route without key", "chat lobby", "", 200, ""},
		{"closed chat route without key", "chat chat", "", 401, model.ReasonKeyMissing},
		{"chat route as plain", "/v1/call/chat", testKey, 404, model.ReasonRouteUnknown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f, _, _ := newFront(t, okServer)
			body := "{}"
			if model, ok := strings.CutPrefix(tc.path, "chat "); ok {
				tc.path, body = "/v1/chat/completions", `{"model":"`+model+`","messages":[{}]}`
			}
			w := send(f, tc.path, tc.key, strings.NewReader(body))
			if w.Code != tc.status || !strings.Contains(w.Body.String(), string(tc.reason)) {
				t.Errorf("got %d %s, want %d with reason %q", w.Code, w.Body, tc.status, tc.reason)
			}
		})
	}
}

// send sends a POST request.
func send(f *Front, path, key string, body io.Reader) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, path, body)
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	w := httptest.NewRecorder()
	f.http.Handler.ServeHTTP(w, r)
	return w
}

// TestBodyUnread guards against reading the body of a request whose key is missing or
// unknown.
func TestBodyUnread(t *testing.T) {
	f, cfg, _ := newFront(t, okServer)
	c := testConfig() // with an open chat route, the body has to be read for its model
	c.Routes = slices.DeleteFunc(c.Routes, func(r model.Route) bool { return r.Name == "lobby" })
	cfg.snap.Store(model.NewSnapshot(2, "e", c))
	for _, key := range []string{"", "yk_other"} {
		for _, path := range []string{"/v1/call/stock", "/v1/chat/completions"} {
			if w := send(f, path, key, unreadBody{t}); w.Code != http.StatusUnauthorized {
				t.Errorf("%s with key %q: status %d", path, key, w.Code)
			}
		}
	}
}

// TestInternalHeaders guards against callers that use headers to set values that only the
// gateway may set.
func TestInternalHeaders(t *testing.T) {
	var got *serve.Call
	f, _, _ := newFront(t, serverFunc(func(ctx context.Context, c *serve.Call, sink serve.Sink) *model.Rejection {
		got = c
		return okServer(ctx, c, sink)
	}))
	r := httptest.NewRequest(http.MethodPost, "/v1/call/stock?org=other", strings.NewReader("{}"))
	r.Header.Set("Authorization", "Bearer "+testKey)
	for _, name := range []string{"X-Hops", "X-Org", "X-Regions", "X-Token", "X-Trail", "X-Run"} {
		r.Header.Set(name, "forged")
	}
	r.Header.Set("X-Request-Id", "forged id\r\nX-Org: other")
	f.http.Handler.ServeHTTP(httptest.NewRecorder(), r)
	if got == nil {
		t.Fatal("the request was not served")
	}
	if got.Org.Name != "shop" || len(got.Hops) != 1 || !cmp.Equal(got.Regions, []string{"west"}) || strings.Contains(got.ID, "forged") {
		t.Errorf("headers of the caller had an effect: %+v", got)
	}
}

// TestKeyElsewhere guards against a key that reaches a backend server in the
// query, the body or the request id.
func TestKeyElsewhere(t *testing.T) {
	issued := model.NewKey()
	var got *serve.Call
	f, cfg, _ := newFront(t, serverFunc(func(ctx context.Context, c *serve.Call, sink serve.Sink) *model.Rejection {
		got = c
		return okServer(ctx, c, sink)
	}))
	c := testConfig()
	c.Orgs[0].Keys = append(c.Orgs[0].Keys, model.Key{Hash: model.HashKey(issued)})
	cfg.snap.Store(model.NewSnapshot(2, "e", c))
	for _, tc := range []struct{ query, body string }{
		{"k=" + testKey, "{}"},
		{"k=%79k_test", "{}"},
		{"k=" + issued, "{}"},
		{"", `{"k":"` + testKey + `"}`},
		{"", `{"k":"\u0079k_test"}`},
		{"", `{"k":"` + issued + `"}`},
	} {
		w := send(f, "/v1/call/stock?"+tc.query, testKey, strings.NewReader(tc.body))
		if w.Code != http.StatusBadRequest || got != nil {
			t.Errorf("query %q, body %s: status %d, served %v", tc.query, tc.body, w.Code, got != nil)
		}
	}
	r := httptest.NewRequest(http.MethodPost, "/v1/call/stock", strings.NewReader("{}"))
	r.Header.Set("Authorization", "Bearer "+testKey)
	r.Header.Set("X-Request-Id", issued)
	f.http.Handler.ServeHTTP(httptest.NewRecorder(), r)
	if got == nil || strings.Contains(got.ID, "yk_") {
		t.Errorf("call %+v", got)
	}
}

// TestHostsRegions guards against sending a caller to a host outside its
// regions.
func TestHostsRegions(t *testing.T) {
	f, _, fleet := newFront(t, okServer)
	r := httptest.NewRequest(http.MethodGet, "/v1/hosts", nil)
	r.Header.Set("Authorization", "Bearer "+testKey)
	w := httptest.NewRecorder()
	f.http.Handler.ServeHTTP(w, r)
	want := `{"hosts":[{"addr":"127.0.0.1:1","site":"a","region":"west"}],"ttl":"5s"}` + "\n"
	if diff := cmp.Diff(want, w.Body.String()); diff != "" {
		t.Error(diff)
	}
	if !cmp.Equal(fleet.regions, []string{"west"}) {
		t.Errorf("asked for regions %v", fleet.regions)
	}
}

// TestNoConfiguration guards against a host that rejects every key as unknown before it has
// a configuration. It must reject requests as not run, with a time to retry.
func TestNoConfiguration(t *testing.T) {
	f, cfg, _ := newFront(t, okServer)
	cfg.snap.Store(model.NewSnapshot(0, "", &model.Config{}))
	w := send(f, "/v1/call/stock", testKey, strings.NewReader("{}"))
	if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") != "1" || w.Header().Get("X-Run") != "no" {
		t.Errorf("got %d %s", w.Code, w.Body)
	}
}

// TestLargeBody guards against request bodies above the size limit.
func TestLargeBody(t *testing.T) {
	f, _, _ := newFront(t, okServer)
	w := send(f, "/v1/call/stock", testKey, strings.NewReader(strings.Repeat("x", 65)))
	if w.Code != http.StatusRequestEntityTooLarge || w.Header().Get("X-Run") != "no" {
		t.Errorf("got %d, run %q", w.Code, w.Header().Get("X-Run"))
	}
}

// TestRevokedWhileRunning guards against a running request that continues after its key was
// revoked, or after the configuration has become older than the organisation allows.
func TestRevokedWhileRunning(t *testing.T) {
	revoke := func(cfg *fakeConfig) {
		c := testConfig()
		c.Orgs[0].Keys = nil
		cfg.snap.Store(model.NewSnapshot(2, "e", c))
	}
	goStale := func(cfg *fakeConfig) {
		c := testConfig()
		c.Orgs[0].MaxConfigAge = time.Minute
		cfg.snap.Store(model.NewSnapshot(2, "e", c))
		cfg.age.Store(int64(2 * time.Minute))
	}
	for name, change := range map[string]func(*fakeConfig){"revoked": revoke, "stale": goStale} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, cfg, _ := newFront(t, serverFunc(func(ctx context.Context, _ *serve.Call, _ serve.Sink) *model.Rejection {
					<-ctx.Done()
					return model.Reject(model.ReasonUnknown, "interrupted").MayHaveRun()
				}))
				go func() {
					time.Sleep(10 * time.Second)
					change(cfg)
				}()
				start := time.Now()
				w := send(f, "/v1/call/stock", testKey, strings.NewReader("{}"))
				took := time.Since(start)
				if w.Code != http.StatusUnauthorized || !strings.Contains(w.Body.String(), "key_revoked") {
					t.Errorf("got %d %s", w.Code, w.Body)
				}
				if took > 11*time.Second {
					t.Errorf("ended %s after the start, the change came after 10s", took)
				}
			})
		})
	}
}

// TestDeadline guards against a request that runs longer than the caller's X-Deadline
// allows.
func TestDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _, _ := newFront(t, serverFunc(func(ctx context.Context, _ *serve.Call, _ serve.Sink) *model.Rejection {
			<-ctx.Done()
			return model.Reject(model.ReasonDeadline, "late").MayHaveRun()
		}))
		r := httptest.NewRequest(http.MethodPost, "/v1/call/stock", strings.NewReader("{}"))
		r.Header.Set("Authorization", "Bearer "+testKey)
		r.Header.Set("X-Deadline", "250")
		start, w := time.Now(), httptest.NewRecorder()
		f.http.Handler.ServeHTTP(w, r)
		if took := time.Since(start); took != 250*time.Millisecond || w.Code != http.StatusGatewayTimeout {
			t.Errorf("status %d after %s", w.Code, took)
		}
	})
}

// TestDrain guards against a shutdown that does not wait for running requests.
func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _, _ := newFront(t, serverFunc(func(ctx context.Context, c *serve.Call, sink serve.Sink) *model.Rejection {
			time.Sleep(3 * time.Second)
			return okServer(ctx, c, sink)
		}))
		var done atomic.Bool
		go func() {
			send(f, "/v1/call/stock", testKey, strings.NewReader("{}"))
			done.Store(true)
		}()
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if n := f.Drain(ctx); n != 1 {
			t.Errorf("%d requests running at the deadline, want 1", n)
		}
		if n := f.Drain(t.Context()); n != 0 {
			t.Errorf("%d requests running after the drain", n)
		}
		synctest.Wait()
		if !done.Load() {
			t.Error("drain returned before the response was sent")
		}
	})
}
