package entry

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/edge/stats"
	"github.com/yuccalb/yuccalb/internal/fake/line"
	"github.com/yuccalb/yuccalb/internal/fake/origin"
	"github.com/yuccalb/yuccalb/platform"
	"github.com/yuccalb/yuccalb/platform/plattest"
)

// logBuffer collects log lines. It is safe for concurrent use.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// find returns the fields of the first line with a message, or nil.
func (b *logBuffer) find(msg string) map[string]any {
	b.mu.Lock()
	defer b.mu.Unlock()
	for line := range bytes.Lines(b.buf.Bytes()) {
		var fields map[string]any
		if json.Unmarshal(line, &fields) == nil && fields["msg"] == msg {
			return fields
		}
	}
	return nil
}

// TestDisplaced guards against a more urgent request that is refused while less urgent ones
// wait for the same server, and against a displaced request whose log line and metrics do not
// show why. Up to two urgent requests and more of the others than may wait come to a server
// with one slot; there is a place to wait for both urgent ones.
func TestDisplaced(t *testing.T) {
	cl := newCluster(t)
	c := config(1, key)
	c.Routes = []plattest.Route{
		{Prefix: "/urgent/", Service: "desk", Kind: "unsafe", TimeoutMS: 2000},
		{Prefix: "/later/", Service: "desk", Kind: "unsafe", TimeoutMS: 2000, Priority: 4},
	}
	cl.store.PutConfig(c)
	var log logBuffer
	cl.logTo = &log
	e := cl.host("a1")
	s := origin.New(t, func(x *origin.Exchange) bool {
		time.Sleep(20 * time.Millisecond)
		return x.Reply(http.StatusOK, "served", platform.HeaderBrittle+": 20")
	})
	cl.store.PutEntry(plattest.Server{ID: "s1", Service: "desk", Site: "a1", Addr: s.Addr(), State: "ready", Slots: 1, Born: 1, Seq: 1})
	cl.waitListed("s1", "a1")
	wantStatus(t, cl.do(e, get("/urgent/x")), http.StatusOK) // states the limit

	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i := range 8 {
		path := "/later/x"
		if i < 2 {
			path = "/urgent/x"
		}
		callers.Go(func() {
			var conn *line.Conn
			for {
				select {
				case <-stop:
					if conn != nil {
						_ = conn.Close() // the last response has been read
					}
					return
				case <-time.After(10 * time.Millisecond):
				}
				if conn == nil {
					var err error
					if conn, err = line.Dial(e.settings.Front); err != nil {
						t.Error(err)
						return
					}
				}
				if a := conn.Do(get(path), nextID()); a.Err != nil || a.Close {
					_ = conn.Close() // nothing more is read from it
					conn = nil
				}
			}
		})
	}
	var fields map[string]any
	cl.eventually("a displaced request", func() bool {
		fields = log.find("waiting request displaced")
		return fields != nil
	})
	close(stop)
	callers.Wait()
	for _, name := range []string{"id", "rank", "priority", "route_priority", "work", "waited", "position", "waiting", "slack", "by_rank", "by_route_priority", "by_work"} {
		if _, ok := fields[name]; !ok {
			t.Errorf("the line of the displaced request lacks %s: %v", name, fields)
		}
	}
	page := metricsPage(t, e, stats.StatePath)
	for _, text := range []string{
		`yuccalb_turned_away_total{priority="4",reason="displaced",service="desk"}`,
		`yuccalb_waiting_requests{priority="4",service="desk"} 0`,
	} {
		if !strings.Contains(page, text) {
			t.Errorf("the metrics lack %s", text)
		}
	}
	for _, reason := range []string{"displaced", "queue full"} {
		if text := `yuccalb_turned_away_total{priority="0",reason="` + reason + `"`; strings.Contains(page, text) {
			t.Errorf("the metrics have %s: an urgent request lost its place", text)
		}
	}
}
