package entry

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/fake/line"
	"github.com/yuccalb/yuccalb/internal/fake/origin"
	"github.com/yuccalb/yuccalb/platform"
)

// TestRefusals guards against wrong status codes for invalid requests, and against
// serving them.
func TestRefusals(t *testing.T) {
	cl := newCluster(t)
	e := cl.host("a1")
	s := cl.server("s1", "a1", ok)
	tests := []struct {
		name string
		call line.Call
		want int
	}{
		{"no route", get("/none/x"), http.StatusNotFound},
		{"prefix without its slash", get("/safe"), http.StatusNotFound},
		{"unknown key", get("/safe/x").With(platform.HeaderAPIKey, "key-2"), http.StatusUnauthorized},
		{"no key", get("/safe/x").With(platform.HeaderAPIKey, ""), http.StatusUnauthorized},
		{"body too large", post("/safe/x", "").With("Content-Length", "99999999"), http.StatusBadRequest},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { wantStatus(t, cl.do(e, tt.call), tt.want) })
	}
	if n := len(s.Seen()); n != 0 {
		t.Errorf("%d requests reached the server", n)
	}
	wantStatus(t, cl.do(e, get("/open/x").With(platform.HeaderAPIKey, "")), http.StatusOK)
}

// TestNotRun guards against forwarding the refusal of a server although another
// server is available, and against a refusal without Retry-After.
func TestNotRun(t *testing.T) {
	cl := newCluster(t)
	e := cl.host("a1")
	full := cl.server("s1", "a1", func(x *origin.Exchange) bool { return x.Refuse() })
	a := cl.do(e, post("/order/x", "1"))
	wantStatus(t, a, http.StatusServiceUnavailable)
	if a.Header.Get("Retry-After") == "" || a.Header.Get(platform.HeaderSignature) != "" {
		t.Errorf("headers of the refusal: %v", a.Header)
	}
	cl.server("s2", "a1", ok)
	// The budget allows one retry for ten requests.
	for range 30 {
		cl.do(e, post("/order/x", "1"))
	}
	if a := cl.do(e, post("/order/x", "1")); a.Status != http.StatusOK {
		t.Errorf("status %d although a server is available (the full one got %d requests)", a.Status, len(full.Seen()))
	}
}

// TestPromiseOfServer guards against a caller that is told that its request was not run
// although a server ran it: callers take these statuses for that promise, but a server makes
// it only with a header.
func TestPromiseOfServer(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			cl := newCluster(t)
			a := cl.host("a1")
			cl.host("b1")
			var body atomic.Value
			script := func(x *origin.Exchange) bool { return x.Reply(status, body.Load().(string), "Retry-After: 0.2") }
			local, remote := cl.server("s1", "a1", script), cl.server("s2", "b1", script)
			cl.eventually("state report of region b", func() bool { return len(a.fleet.RemoteRegions("desk")) == 1 })
			for _, text := range []string{"ran", large} {
				body.Store(text)
				for _, path := range []string{"/order/x", "/order-b/x", "/chat/x"} {
					before := len(local.Seen()) + len(remote.Seen())
					resp := cl.do(a, post(path, "1"))
					if ran := len(local.Seen()) + len(remote.Seen()) - before; ran != 1 || resp.Status != http.StatusBadGateway {
						t.Errorf("%s, %d bytes: run %d times, status %d", path, len(text), ran, resp.Status)
					}
					if resp.Header.Get(platform.HeaderSignature) != "" || resp.Header.Get("Retry-After") != "" {
						t.Errorf("%s, %d bytes: header %v", path, len(text), resp.Header)
					}
					time.Sleep(1500 * time.Millisecond) // the server has requested a pause, which is reported to the other region
				}
			}
		})
	}
}

// TestInternalHeadersOfServer guards against trusting a server's response in what only
// hosts tell each other: that a request was not run, or that it may have run.
func TestInternalHeadersOfServer(t *testing.T) {
	for _, line := range []string{"Yuccalb-Outcome: not-run", "Yuccalb-Outcome: unknown", "Yuccalb-Framing: close"} {
		t.Run(line, func(t *testing.T) {
			cl := newCluster(t)
			e := cl.host("a1")
			script := func(x *origin.Exchange) bool { return x.Reply(http.StatusOK, "served", line) }
			one, two := cl.server("s1", "a1", script), cl.server("s2", "a1", script)
			resp := cl.do(e, post("/order/x", "1"))
			if n := len(one.Seen()) + len(two.Seen()); n != 1 {
				t.Errorf("the request was run %d times", n)
			}
			wantStatus(t, resp, http.StatusOK)
			name, _, _ := strings.Cut(line, ":")
			if !resp.Framed || resp.Header.Get(name) != "" {
				t.Errorf("framed %v, header %v", resp.Framed, resp.Header)
			}
		})
	}
}

// TestRepeatedRefusal guards against a request that a server runs and that its caller is
// told was not run: the server writes an earlier refusal once more on the connection, ahead
// of the response, of another request or of an earlier attempt with the same identifier.
func TestRepeatedRefusal(t *testing.T) {
	for name, sameID := range map[string]bool{"another request": false, "the same identifier": true} {
		t.Run(name, func(t *testing.T) {
			cl := newCluster(t)
			e := cl.host("a1")
			var mu sync.Mutex
			refused := make(map[net.Conn]string) // identifier of the refused request
			ran := make(map[string]bool)
			cl.server("s1", "a1", func(x *origin.Exchange) bool {
				mu.Lock()
				earlier, again := refused[x.Conn]
				refused[x.Conn] = x.ID()
				first := len(refused) == 1 && !again
				ran[x.ID()] = !first
				mu.Unlock()
				if first {
					return x.Refuse()
				}
				if again {
					x.Send("HTTP/1.1 503 X\r\n" + platform.HeaderAttemptID + ": " + earlier + "\r\n" + platform.HeaderNotRun + ": 1\r\nContent-Length: 0\r\n\r\n")
				}
				return ok(x)
			})
			id := nextID()
			wantStatus(t, cl.dial(e).Do(post("/order/x", "1"), id), http.StatusServiceUnavailable)
			if !sameID {
				id = nextID()
			}
			resp := cl.dial(e).Do(post("/order/x", "1"), id)
			if promise := resp.Status == http.StatusServiceUnavailable; promise && ran[id] {
				t.Error("a request that was run is reported as not run")
			}
			wantStatus(t, resp, http.StatusOK)
		})
	}
}
