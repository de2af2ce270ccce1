package entry

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/fake/origin"
	"github.com/yuccalb/yuccalb/platform"
	"github.com/yuccalb/yuccalb/platform/plattest"
)

// TestRequestUnchanged guards against changing the path, query, header or body of a
// request, against forwarding headers that a caller must not set, and against
// forwarding the API key to a server.
func TestRequestUnchanged(t *testing.T) {
	cl := newCluster(t)
	a := cl.host("a1")
	b := cl.host("b1")
	local := cl.server("s1", "a1", ok)
	remote := cl.server("s2", "b1", ok)
	cl.eventually("state report of region b", func() bool { return len(a.fleet.RemoteRegions("desk")) == 1 })
	tests := []struct {
		name string
		host *Entry
		srv  *origin.Server
		path string
	}{
		{"local region", a, local, "/order/a%2Fb//c/../d;x=1?q=%20a+b&q=&empty"},
		{"remote region", a, remote, "/home-b//x%2f?y=%zz"},
		{"received in the remote region", b, remote, "/home-b/z"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := post(tt.path, "line 1\r\nline 2").
				With("X-Model", "m").With(platform.HeaderPrompt, "5c1e07a2:800,91bd:410").With("X-Odd", "  two  words ").
				With("Connection", "keep-alive, X-Hop").With("X-Hop", "1").With("Te", "trailers").
				With("X-Hold", "1").With("X-Pin-Ms", "9").With("X-Kv-Backup", "1.2.3.4:5").With("Kv-From", "1.2.3.4:5/6").
				With(platform.HeaderOrg, "other").With(platform.HeaderExpectInstance, "s9").With("Yuccalb-Org", "other")
			wantStatus(t, cl.do(tt.host, c), http.StatusOK)
			seen := tt.srv.Seen()
			x := seen[len(seen)-1]
			if want := "POST " + tt.path + " HTTP/1.1"; !strings.HasPrefix(x.Raw, want+"\r\n") {
				t.Errorf("request line of\n%s\nwant %s", x.Raw, want)
			}
			if string(x.Body) != c.Body || x.Host != plattest.Host {
				t.Errorf("body %q, host %q", x.Body, x.Host)
			}
			for name, want := range map[string]string{
				"X-Model": "m", platform.HeaderPrompt: "5c1e07a2:800,91bd:410", "X-Odd": "two  words", platform.HeaderOrg: orgName,
				"X-Hop": "", "Te": "", "Connection": "", "X-Hold": "", "X-Pin-Ms": "", "X-Kv-Backup": "", "Kv-From": "",
				platform.HeaderAPIKey: "", "Accept-Encoding": "", "User-Agent": "", "Yuccalb-Org": "", "Yuccalb-Service": "",
			} {
				if got := x.Header.Get(name); got != want {
					t.Errorf("header %s is %q, want %q", name, got, want)
				}
			}
			if strings.Contains(x.Raw, key) {
				t.Error("the key reached the server")
			}
			if id := x.Header.Get(platform.HeaderExpectInstance); id != "s1" && id != "s2" {
				t.Errorf("expected server %q", id)
			}
			ms, err := strconv.Atoi(x.Header.Get(platform.HeaderDeadline))
			if err != nil || ms > 2000 || ms < 1000 {
				t.Errorf("deadline %d (%v), want the rest of the route's 2000", ms, err)
			}
		})
	}
}

// TestSmuggledRequest guards against request smuggling: a second request that is
// hidden in the body of the first by contradictory lengths.
func TestSmuggledRequest(t *testing.T) {
	cl := newCluster(t)
	e := cl.host("a1")
	s := cl.server("s1", "a1", ok)
	hidden := get("/safe/hidden").Bytes("hidden")
	for _, head := range []string{
		"Content-Length: " + strconv.Itoa(len(hidden)) + "\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"Content-Length: 0\r\nContent-Length: " + strconv.Itoa(len(hidden)) + "\r\n\r\n",
		"Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n",
		"Content-Length : 0\r\n\r\n",
	} {
		conn := cl.dial(e)
		raw := strings.TrimSuffix(get("/safe/x").Bytes(nextID()), "\r\n") + head + hidden
		if _, err := io.WriteString(conn, raw); err != nil {
			t.Fatal(err)
		}
		_ = conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
		_, _ = io.ReadAll(conn) // any response will do
	}
	for _, x := range s.Seen() {
		if x.ID() == "hidden" {
			t.Errorf("the hidden request reached the server after:\n%s", x.Raw)
		}
	}
}

// TestNoConfiguration guards against 401 and 404 from a host that has not read the
// configuration yet.
func TestNoConfiguration(t *testing.T) {
	cl := newCluster(t)
	cl.store.SetFault(func(*http.Request) int { return plattest.NoResponse })
	e := cl.start(cl.settings("a1"))
	a := cl.do(e, get("/safe/x"))
	wantStatus(t, a, http.StatusServiceUnavailable)
	if a.Header.Get("Retry-After") == "" {
		t.Error("no Retry-After")
	}
	cl.store.SetFault(nil)
	cl.waitReady(e)
}

// TestUnsafeOnce guards against a second run of a request that may run only once,
// and against a refusal that states that it did not run.
func TestUnsafeOnce(t *testing.T) {
	scripts := map[string]origin.Script{
		"reset":  func(x *origin.Exchange) bool { return x.Reset() },
		"closed": func(*origin.Exchange) bool { return false },
		"torn":   func(x *origin.Exchange) bool { x.Send("HTTP/1.1 200 OK\r\nContent-Le"); return false },
		"torn body": func(x *origin.Exchange) bool {
			x.Send("HTTP/1.1 200 OK\r\n" + platform.HeaderAttemptID + ": " + x.ID() + "\r\n" + platform.HeaderSignature + ": s\r\nContent-Length: 9\r\n\r\n123")
			return false
		},
		"garbage": func(x *origin.Exchange) bool { x.Send("no response at all\r\n\r\n"); return true },
		"unsigned": func(x *origin.Exchange) bool {
			return x.Send("HTTP/1.1 200 OK\r\n" + platform.HeaderAttemptID + ": " + x.ID() + "\r\nContent-Length: 1\r\n\r\n1")
		},
		"to another request": func(x *origin.Exchange) bool {
			x.Send("HTTP/1.1 200 OK\r\n" + platform.HeaderAttemptID + ": x\r\n" + platform.HeaderSignature + ": s\r\n\r\n1")
			return false
		},
	}
	for name, script := range scripts {
		for _, path := range []string{"/order/x", "/chat/x"} {
			t.Run(name+path, func(t *testing.T) {
				cl := newCluster(t)
				e := cl.host("a1")
				one := cl.server("s1", "a1", script)
				two := cl.server("s2", "a1", script)
				a := cl.do(e, post(path, "1"))
				if a.Status == http.StatusOK && a.Err == nil {
					t.Fatalf("response taken for complete: %+v", a)
				}
				switch a.Status {
				case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
					t.Errorf("status %d says that the request has not run", a.Status)
				}
				if a.Header.Get(platform.HeaderSignature) != "" && a.Status != http.StatusOK {
					t.Errorf("status %d has a server's signature", a.Status)
				}
				seen := append(one.Seen(), two.Seen()...)
				if len(seen) != 1 {
					t.Errorf("%d attempts, want 1", len(seen))
				}
				for _, x := range seen[min(1, len(seen)):] {
					t.Logf("attempt from %v:\n%s", x.Conn.RemoteAddr(), x.Raw)
				}
			})
		}
	}
}

// TestSafeRetried guards against forwarding the failure of one server to the caller
// of an idempotent request although another server can serve it.
func TestSafeRetried(t *testing.T) {
	cl := newCluster(t)
	e := cl.host("a1")
	var broken origin.Script = func(x *origin.Exchange) bool { return x.Reset() }
	cl.server("s1", "a1", func(x *origin.Exchange) bool { return broken(x) })
	cl.server("s2", "a1", ok)
	for range 20 { // fills the retry budget
		cl.do(e, get("/open/x"))
	}
	for range 10 {
		wantStatus(t, cl.do(e, get("/safe/x")), http.StatusOK)
	}
}

// TestTimeout guards against a response after the timeout of the route, and against
// one that states that the request did not run.
func TestTimeout(t *testing.T) {
	cl := newCluster(t)
	e := cl.host("a1")
	cl.server("s1", "a1", func(x *origin.Exchange) bool { <-x.Closed; return false })
	began := time.Now()
	a := cl.do(e, get("/short/x"))
	wantStatus(t, a, http.StatusGatewayTimeout)
	if took := time.Since(began); took > 550*time.Millisecond {
		t.Errorf("response after %v, the timeout is 300 ms", took)
	}
}

// TestAnswerBeforeBody guards against a server that responds before it has read the
// whole body, and then takes the next request for the rest of that body.
func TestAnswerBeforeBody(t *testing.T) {
	cl := newCluster(t)
	e := cl.host("a1")
	long := strings.Repeat("x", 3<<20)
	s := origin.New(t, func(x *origin.Exchange) bool {
		sent := x.Reply(http.StatusOK, "early")
		time.Sleep(50 * time.Millisecond)
		n, err := io.Copy(io.Discard, x.Request.Body)
		return sent && err == nil && n >= 0
	})
	s.LeaveBody = true
	cl.addServer("s1", "a1", s)
	for range 5 {
		wantStatus(t, cl.do(e, post("/order/long", long)), http.StatusOK)
		wantStatus(t, cl.do(e, post("/order/short", "1")), http.StatusOK)
	}
	for _, x := range s.Seen() {
		if x.Method != http.MethodPost || !strings.HasPrefix(x.URL.Path, "/order/") {
			t.Errorf("the server read a request that was not sent:\n%s", x.Raw)
		}
	}
}

// TestStrayResponse guards against a late or duplicate response that is taken for
// that to a later request on the same connection.
func TestStrayResponse(t *testing.T) {
	cl := newCluster(t)
	e := cl.host("a1")
	cl.server("s1", "a1", func(x *origin.Exchange) bool {
		sent := x.Reply(http.StatusOK, x.ID())
		go func() {
			time.Sleep(time.Duration(len(x.ID())) * time.Millisecond)
			x.Reply(http.StatusOK, "second answer to "+x.ID())
		}()
		return sent
	})
	conn := cl.dial(e)
	for range 50 {
		id := nextID()
		if _, err := io.WriteString(conn, post("/order/x", "1").Bytes(id)); err != nil {
			conn = cl.dial(e)
			continue
		}
		buf := make([]byte, 4096)
		n, err := conn.Read(buf)
		if err != nil {
			conn = cl.dial(e)
			continue
		}
		got := string(buf[:n])
		if strings.HasPrefix(got, "HTTP/1.1 200") && !strings.HasSuffix(got, "\r\n\r\n"+id) {
			t.Fatalf("request %s got:\n%s", id, got)
		}
	}
}

// TestInternalHeadersOfCaller guards against headers between hosts that a caller sets: a host
// would forward them, and the other one trust them.
func TestInternalHeadersOfCaller(t *testing.T) {
	cl := newCluster(t)
	a := cl.host("a1")
	cl.host("b1")
	srv := cl.server("s1", "b1", ok)
	cl.eventually("forwarded request", func() bool { return cl.do(a, get("/safe/x")).Status == http.StatusOK })
	for _, name := range []string{"Yuccalb-Probe", "Yuccalb-Recorded", "Yuccalb-Version", "Yuccalb-Org"} {
		resp := cl.do(a, get("/safe/x").With(name, "other"))
		if resp.Status != http.StatusOK || resp.Header.Get(name) != "" {
			t.Errorf("%s: status %d, response header %q", name, resp.Status, resp.Header.Get(name))
		}
	}
	for _, x := range srv.Seen() {
		for name := range x.Header {
			if strings.HasPrefix(name, "Yuccalb-") {
				t.Errorf("the server got %s", name)
			}
		}
	}
}
