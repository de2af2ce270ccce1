package entry

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/fake/line"
	"github.com/yuccalb/yuccalb/internal/fake/origin"
	"github.com/yuccalb/yuccalb/platform"
	"github.com/yuccalb/yuccalb/platform/plattest"
)

// TestRequestUnchanged guards against a path, query, header or body that a
// server gets in another form than the caller sent it, against headers that a
// caller must not set, and against a key that reaches a server.
func TestRequestUnchanged(t *testing.T) {
	w := newWorld(t)
	a := w.host("a1")
	b := w.host("b1")
	home := w.server("s1", "a1", ok)
	far := w.server("s2", "b1", ok)
	w.eventually("region b known", func() bool { return len(a.fleet.Places("desk")) == 1 })
	tests := []struct {
		name string
		host *Entry
		srv  *origin.Server
		path string
	}{
		{"own region", a, home, "/order/a%2Fb//c/../d;x=1?q=%20a+b&q=&empty"},
		{"other region", a, far, "/home-b//x%2f?y=%zz"},
		{"entered there", b, far, "/home-b/z"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := post(tt.path, "line 1\r\nline 2").
				With("X-Model", "m").With(platform.HeaderPrompt, "5c1e07a2:800,91bd:410").With("X-Odd", "  two  words ").
				With("Connection", "keep-alive, X-Hop").With("X-Hop", "1").With("Te", "trailers").
				With("X-Hold", "1").With("X-Pin-Ms", "9").With("X-Kv-Backup", "1.2.3.4:5").With("Kv-From", "1.2.3.4:5/6").
				With(platform.HeaderOrg, "other").With(platform.HeaderServer, "s9").With("Yuccalb-Org", "other")
			wantStatus(t, w.do(tt.host, c), http.StatusOK)
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
				platform.HeaderKey: "", "Accept-Encoding": "", "User-Agent": "", "Yuccalb-Org": "", "Yuccalb-Service": "",
			} {
				if got := x.Header.Get(name); got != want {
					t.Errorf("header %s is %q, want %q", name, got, want)
				}
			}
			if strings.Contains(x.Raw, key) {
				t.Error("the key reached the server")
			}
			if id := x.Header.Get(platform.HeaderServer); id != "s1" && id != "s2" {
				t.Errorf("expected server %q", id)
			}
			ms, err := strconv.Atoi(x.Header.Get(platform.HeaderDeadline))
			if err != nil || ms > 2000 || ms < 1000 {
				t.Errorf("deadline %d (%v), want what is left of the route's 2000", ms, err)
			}
		})
	}
}

// TestRefusals guards against wrong statuses for requests that are not
// allowed, and against serving them.
func TestRefusals(t *testing.T) {
	w := newWorld(t)
	e := w.host("a1")
	s := w.server("s1", "a1", ok)
	tests := []struct {
		name string
		call line.Call
		want int
	}{
		{"no route", get("/none/x"), http.StatusNotFound},
		{"prefix without its slash", get("/safe"), http.StatusNotFound},
		{"unknown key", get("/safe/x").With(platform.HeaderKey, "key-2"), http.StatusUnauthorized},
		{"no key", get("/safe/x").With(platform.HeaderKey, ""), http.StatusUnauthorized},
		{"body too large", post("/safe/x", "").With("Content-Length", "99999999"), http.StatusBadRequest},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { wantStatus(t, w.do(e, tt.call), tt.want) })
	}
	if n := len(s.Seen()); n != 0 {
		t.Errorf("%d requests reached the server", n)
	}
	wantStatus(t, w.do(e, get("/open/x").With(platform.HeaderKey, "")), http.StatusOK)
}

// TestSmuggledRequest guards against a second request hidden in the body of a
// first one by two statements of its length.
func TestSmuggledRequest(t *testing.T) {
	w := newWorld(t)
	e := w.host("a1")
	s := w.server("s1", "a1", ok)
	hidden := get("/safe/hidden").Bytes("hidden")
	for _, head := range []string{
		"Content-Length: " + strconv.Itoa(len(hidden)) + "\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"Content-Length: 0\r\nContent-Length: " + strconv.Itoa(len(hidden)) + "\r\n\r\n",
		"Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n",
		"Content-Length : 0\r\n\r\n",
	} {
		conn := w.dial(e)
		raw := strings.TrimSuffix(get("/safe/x").Bytes(nextID()), "\r\n") + head + hidden
		if _, err := io.WriteString(conn, raw); err != nil {
			t.Fatal(err)
		}
		_ = conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
		_, _ = io.ReadAll(conn) // whatever is answered
	}
	for _, x := range s.Seen() {
		if x.ID() == "hidden" {
			t.Errorf("the hidden request reached the server after:\n%s", x.Raw)
		}
	}
}

// TestNoConfiguration guards against 401 and 404 from a host that knows no
// configuration yet.
func TestNoConfiguration(t *testing.T) {
	w := newWorld(t)
	w.store.Break(func(*http.Request) int { return plattest.Silent })
	e := w.start(w.settings("a1"))
	a := w.do(e, get("/safe/x"))
	wantStatus(t, a, http.StatusServiceUnavailable)
	if a.Header.Get("Retry-After") == "" {
		t.Error("no time to return")
	}
	w.store.Break(nil)
	w.waitReady(e)
}

// TestNotRun guards against a refusal of a server that is passed on although
// another server has room, and against one that says nothing of when to
// return.
func TestNotRun(t *testing.T) {
	w := newWorld(t)
	e := w.host("a1")
	full := w.server("s1", "a1", func(x *origin.Exchange) bool { return x.Refuse() })
	a := w.do(e, post("/order/x", "1"))
	wantStatus(t, a, http.StatusServiceUnavailable)
	if a.Header.Get("Retry-After") == "" || a.Header.Get(platform.HeaderSeal) != "" {
		t.Errorf("headers of the refusal: %v", a.Header)
	}
	w.server("s2", "a1", ok)
	// The budget allows one retry for ten requests.
	for range 30 {
		w.do(e, post("/order/x", "1"))
	}
	if a := w.do(e, post("/order/x", "1")); a.Status != http.StatusOK {
		t.Errorf("status %d although a server has room (the full one got %d requests)", a.Status, len(full.Seen()))
	}
}

// TestUnsafeOnce guards against a second run of a request that may run once
// only, and against a refusal that denies that it ran.
func TestUnsafeOnce(t *testing.T) {
	scripts := map[string]origin.Script{
		"reset":  func(x *origin.Exchange) bool { return x.Reset() },
		"closed": func(*origin.Exchange) bool { return false },
		"torn":   func(x *origin.Exchange) bool { x.Send("HTTP/1.1 200 OK\r\nContent-Le"); return false },
		"torn body": func(x *origin.Exchange) bool {
			x.Send("HTTP/1.1 200 OK\r\n" + platform.HeaderID + ": " + x.ID() + "\r\n" + platform.HeaderSeal + ": s\r\nContent-Length: 9\r\n\r\n123")
			return false
		},
		"garbage": func(x *origin.Exchange) bool { x.Send("no response at all\r\n\r\n"); return true },
		"unsigned": func(x *origin.Exchange) bool {
			return x.Send("HTTP/1.1 200 OK\r\n" + platform.HeaderID + ": " + x.ID() + "\r\nContent-Length: 1\r\n\r\n1")
		},
		"of another": func(x *origin.Exchange) bool {
			x.Send("HTTP/1.1 200 OK\r\n" + platform.HeaderID + ": x\r\n" + platform.HeaderSeal + ": s\r\n\r\n1")
			return false
		},
	}
	for name, script := range scripts {
		for _, path := range []string{"/order/x", "/chat/x"} {
			t.Run(name+path, func(t *testing.T) {
				w := newWorld(t)
				e := w.host("a1")
				one := w.server("s1", "a1", script)
				two := w.server("s2", "a1", script)
				a := w.do(e, post(path, "1"))
				if a.Status == http.StatusOK && a.Err == nil {
					t.Fatalf("a complete success: %+v", a)
				}
				switch a.Status {
				case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
					t.Errorf("status %d says that the request has not run", a.Status)
				}
				if a.Header.Get(platform.HeaderSeal) != "" && a.Status != http.StatusOK {
					t.Errorf("status %d bears a server's signature", a.Status)
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

// TestSafeRepeated guards against an error of one server that reaches the
// caller of an idempotent request although another server can answer.
func TestSafeRepeated(t *testing.T) {
	w := newWorld(t)
	e := w.host("a1")
	var broken origin.Script = func(x *origin.Exchange) bool { return x.Reset() }
	w.server("s1", "a1", func(x *origin.Exchange) bool { return broken(x) })
	w.server("s2", "a1", ok)
	for range 20 { // earns the budget
		w.do(e, get("/open/x"))
	}
	for range 10 {
		wantStatus(t, w.do(e, get("/safe/x")), http.StatusOK)
	}
}

// TestTimeout guards against a caller that is kept waiting beyond the timeout
// of its route, and against an answer that says the request has not run.
func TestTimeout(t *testing.T) {
	w := newWorld(t)
	e := w.host("a1")
	w.server("s1", "a1", func(x *origin.Exchange) bool { <-x.Left; return false })
	began := time.Now()
	a := w.do(e, get("/short/x"))
	wantStatus(t, a, http.StatusGatewayTimeout)
	if took := time.Since(began); took > 550*time.Millisecond {
		t.Errorf("answered after %v, the timeout is 300 ms", took)
	}
}

// TestAnswerBeforeBody guards against a next request whose bytes a server
// takes for the rest of the body that it had not read when it answered.
func TestAnswerBeforeBody(t *testing.T) {
	w := newWorld(t)
	e := w.host("a1")
	long := strings.Repeat("x", 3<<20)
	s := origin.New(t, func(x *origin.Exchange) bool {
		sent := x.Reply(http.StatusOK, "early")
		time.Sleep(50 * time.Millisecond)
		n, err := io.Copy(io.Discard, x.Request.Body)
		return sent && err == nil && n >= 0
	})
	s.Lazy = true
	w.addServer("s1", "a1", s)
	for range 5 {
		wantStatus(t, w.do(e, post("/order/long", long)), http.StatusOK)
		wantStatus(t, w.do(e, post("/order/short", "1")), http.StatusOK)
	}
	for _, x := range s.Seen() {
		if x.Method != http.MethodPost || !strings.HasPrefix(x.URL.Path, "/order/") {
			t.Errorf("the server read a request that nobody sent:\n%s", x.Raw)
		}
	}
}

// TestStrayResponse guards against a late or second response that a later
// request on the same connection gets.
func TestStrayResponse(t *testing.T) {
	w := newWorld(t)
	e := w.host("a1")
	w.server("s1", "a1", func(x *origin.Exchange) bool {
		sent := x.Reply(http.StatusOK, x.ID())
		go func() {
			time.Sleep(time.Duration(len(x.ID())) * time.Millisecond)
			x.Reply(http.StatusOK, "second answer to "+x.ID())
		}()
		return sent
	})
	conn := w.dial(e)
	for range 50 {
		id := nextID()
		if _, err := io.WriteString(conn, post("/order/x", "1").Bytes(id)); err != nil {
			conn = w.dial(e)
			continue
		}
		buf := make([]byte, 4096)
		n, err := conn.Read(buf)
		if err != nil {
			conn = w.dial(e)
			continue
		}
		got := string(buf[:n])
		if strings.HasPrefix(got, "HTTP/1.1 200") && !strings.HasSuffix(got, "\r\n\r\n"+id) {
			t.Fatalf("request %s got:\n%s", id, got)
		}
	}
}
