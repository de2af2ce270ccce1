package intake

import (
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/fake/await"
	"github.com/yuccalb/yuccalb/internal/fake/line"
	"github.com/yuccalb/yuccalb/internal/fake/local"
)

const waitTimeout = 20 * time.Second

// serve serves h within limits on a loopback address until the test ends.
func serve(t *testing.T, limits Limits, h http.HandlerFunc) (*Gate, *http.Server, func() *line.Conn) {
	t.Helper()
	g := New(limits, nil, zap.NewNop())
	addr := local.Addr(t)
	l, err := net.Listen("tcp4", addr.String())
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: h}
	Attach(srv)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = srv.Serve(g.Listen(l, Options{Name: "front"})) // ends with the server
	}()
	t.Cleanup(func() {
		_ = srv.Close() // the test has ended
		<-done
	})
	return g, srv, func() *line.Conn {
		c, err := line.Dial(addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		_ = c.SetDeadline(time.Now().Add(waitTimeout)) // a closed connection fails later
		return c
	}
}

// TestChargeEnds guards against a charge that is left over when connections end in any
// way, which would refuse all callers in the end, and against one that is released twice.
func TestChargeEnds(t *testing.T) {
	limits := Limits{Memory: 1 << 20, Conns: 16}
	g, srv, dial := serve(t, limits, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/panic":
			panic(http.ErrAbortHandler)
		case "/hijack":
			c, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			_ = c.Close()
			_ = c.Close() // a second time
		}
	})
	var conns []*line.Conn
	for range 3 {
		for _, path := range []string{"/", "/panic", "/hijack"} {
			dial().Do(line.Post(path, "body"), "id")
		}
		for range 12 {
			c := dial()
			conns = append(conns, c)
			_, _ = c.Write([]byte("GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 600))) // may be evicted
		}
	}
	for _, c := range conns[:len(conns)/2] {
		_ = c.Close() // may be closed already
	}
	_ = srv.Close() // closes the others
	for _, c := range conns {
		_ = c.Close() // one accepted while the server closed may still be open
	}
	await.True(t, waitTimeout, "no charge", func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.Bytes() == 0 && g.ending == 0 && g.open == 0 && g.listeners[0].open == 0
	})
}

// TestEvictedNotServed guards against a request that is served on a connection that was
// evicted: its caller gets no response and may send it again.
func TestEvictedNotServed(t *testing.T) {
	var served atomic.Int64
	g, _, dial := serve(t, Limits{Memory: 1 << 20, Conns: 4}, func(http.ResponseWriter, *http.Request) { served.Add(1) })
	c := dial()
	if a := c.Do(line.Get("/"), "id"); a.Status != http.StatusOK {
		t.Fatalf("status %d, error %v", a.Status, a.Err)
	}
	await.True(t, waitTimeout, "connection idle", func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.listeners[0].idle.Len() > 0
	})
	g.mu.Lock()
	g.evict(g.listeners, nil, &g.pace, time.Now().Add(time.Minute))
	g.mu.Unlock() // the connection is evicted, but not closed yet
	if a := c.Do(line.Get("/"), "id"); a.Err == nil || served.Load() != 1 {
		t.Errorf("status %d, %d requests served", a.Status, served.Load())
	}
}

// TestRefusals guards against a head within the limits that is refused, and against one
// beyond them that gets no response.
func TestRefusals(t *testing.T) {
	_, _, dial := serve(t, Limits{Memory: 2 << 20, Conns: 16}, func(http.ResponseWriter, *http.Request) {})
	for _, tc := range []struct {
		fields, status int
	}{{1000, http.StatusOK}, {3000, http.StatusOK}, {4000, http.StatusOK}, {4200, http.StatusRequestHeaderFieldsTooLarge}} {
		c := dial()
		if _, err := c.Write([]byte("POST / HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("a:\r\n", tc.fields) + "Content-Length: 5000\r\n\r\n" + strings.Repeat("\n", 5000))); err != nil {
			t.Fatal(err)
		}
		if a := c.Receive(http.MethodPost); a.Status != tc.status {
			t.Errorf("%d fields: status %d, want %d, error %v", tc.fields, a.Status, tc.status, a.Err)
		}
	}
}
