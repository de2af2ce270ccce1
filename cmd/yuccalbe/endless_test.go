package main

import (
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/fake/await"
	"github.com/yuccalb/yuccalb/internal/fake/line"
	"github.com/yuccalb/yuccalb/internal/fake/local"
	"github.com/yuccalb/yuccalb/internal/fake/origin"
	"github.com/yuccalb/yuccalb/internal/fake/proc"
	"github.com/yuccalb/yuccalb/platform"
	"github.com/yuccalb/yuccalb/platform/plattest"
)

// endlessPart sends a part of a response that has no end, as much as a host may read of
// it, and leaves the connection open.
type endlessPart func(x *origin.Exchange)

// head begins the head of a response.
func head(x *origin.Exchange) {
	x.Send("HTTP/1.1 200 OK\r\n" + platform.HeaderAttemptID + ": " + x.ID() + "\r\n" + platform.HeaderSignature + ": s\r\n")
}

// manyFields returns the lines of as many short fields as a head may hold.
var manyFields = sync.OnceValue(func() string {
	var b strings.Builder
	for i := 0; b.Len() < 63<<10; i++ {
		fmt.Fprintf(&b, "a%d:\r\n", i)
	}
	return b.String()
})

var endlessParts = map[string]endlessPart{
	"fields": func(x *origin.Exchange) {
		head(x)
		x.Send(manyFields())
	},
	"line": func(x *origin.Exchange) {
		head(x)
		x.Send("A: " + strings.Repeat("x", 63<<10))
	},
	"event": func(x *origin.Exchange) {
		x.StartStream()
		x.Chunk("data: " + strings.Repeat("x", 250<<10))
	},
	"body": func(x *origin.Exchange) {
		head(x)
		x.Send("Content-Length: 1000000000\r\n\r\n" + strings.Repeat("x", 250<<10))
	},
}

// TestEndlessResponseMemory guards against a host that runs out of memory because faulty
// servers send parts of responses without an end to many requests at once. Operators of
// such systems lost hosts this way.
func TestEndlessResponseMemory(t *testing.T) {
	bin, err := proc.Build(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	for name, part := range endlessParts {
		t.Run(name, func(t *testing.T) { testEndlessPart(t, bin, part) })
	}
}

func testEndlessPart(t *testing.T, bin string, part endlessPart) {
	const (
		callers  = 1000
		memoryMB = 160
	)
	store := plattest.NewStore(t)
	store.PutConfig(plattest.Config{
		Version: 1, Services: []string{"desk", "other"}, Keys: []string{"k"}, Org: "o", Rate: 1e6, Burst: 1e6,
		Routes: []plattest.Route{{Prefix: "/chat/", Service: "desk", Kind: "stream", TimeoutMS: 4000}, {Prefix: "/safe/", Service: "other", Kind: "safe", TimeoutMS: 4000}},
	})
	settings := map[string]any{
		"host": "h", "site": "a1", "region": "a", "sites": map[string]string{"a1": "a"},
		"store": store.Addr().String(), "first": true, "revoke": "3s", "grace": "6s", "retries": 50, "memory": memoryMB,
	}
	front := local.Addr(t)
	settings["front"] = front.String()
	for _, name := range []string{"ready", "lookup", "peer", "metrics"} {
		settings[name] = local.Addr(t).String()
	}
	path := filepath.Join(t.TempDir(), "host.yaml")
	writeSettings(t, path, settings)
	p := proc.New(t, bin, path)
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	for i := range 3 {
		s := origin.New(t, func(x *origin.Exchange) bool {
			part(x)
			<-x.Closed
			return false
		})
		store.PutServer(fmt.Sprintf("s%d", i), "desk", "a1", s.Addr(), "ready")
	}
	other := origin.New(t, func(x *origin.Exchange) bool { return x.Reply(http.StatusOK, "served") })
	store.PutServer("o", "other", "a1", other.Addr(), "ready")
	call := func(conn *line.Conn, c line.Call, id string) line.Response {
		defer func() { _ = conn.Close() }() // the response was read
		return conn.Do(c.With(platform.HeaderAPIKey, "k").With(platform.HeaderDeadline, "3000"), id)
	}
	await.For(t, serveTimeout, "host serves", func() error {
		conn, err := line.Dial(front)
		if err != nil {
			return err
		}
		if a := call(conn, line.Get("/safe/x"), fmt.Sprint("wait-", time.Now().UnixNano())); a.Status != http.StatusOK {
			return fmt.Errorf("status %d, error %w", a.Status, a.Err)
		}
		return nil
	})
	var conns []*line.Conn
	for range callers {
		conn, err := line.Dial(front)
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, conn)
	}
	var done sync.WaitGroup
	var answered atomic.Int64
	for i, conn := range conns {
		done.Go(func() {
			a := call(conn, line.Post("/chat/x", "1"), fmt.Sprint("id-", i))
			if a.Status == http.StatusOK && a.Err == nil {
				t.Errorf("complete response: %+v", a.Header)
			}
			if a.Status >= http.StatusInternalServerError {
				answered.Add(1)
			}
		})
	}
	time.Sleep(time.Second)
	for i := range 10 {
		conn, err := line.Dial(front)
		if err != nil {
			t.Fatal(err)
		}
		if a := call(conn, line.Get("/safe/x"), fmt.Sprint("other-", i)); a.Status != http.StatusOK {
			t.Errorf("other caller: status %d, error %v", a.Status, a.Err)
		}
	}
	done.Wait()
	peak, err := p.PeakMemory()
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("peak memory %d MB, %d of %d answered", peak>>20, answered.Load(), callers)
	if peak > memoryMB<<20 {
		t.Errorf("peak memory %d MB, the host has %d MB", peak>>20, memoryMB)
	}
}
