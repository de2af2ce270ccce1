package entry

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/fake/line"
	"github.com/yuccalb/yuccalb/internal/fake/origin"
	"github.com/yuccalb/yuccalb/platform/plattest"
)

// endsWithConn returns the script of a server that begins a response which ends with its connection, and calls
// then before it ends it. Requests with the body "chunks" get chunks instead. Others are served at once, those to
// /short/ with the announcement that the server leaves.
func endsWithConn(part string, then func()) origin.Script {
	return func(x *origin.Exchange) bool {
		switch {
		case x.URL.Path == "/short/x":
			return x.Reply(http.StatusOK, "", leavingHeader)
		case x.Method == http.MethodGet:
			return ok(x)
		case string(x.Body) == "chunks":
			x.StartStream()
			x.Chunk(part)
			<-x.Closed
			return false
		}
		x.StartUnframed("HTTP/1.1")
		x.Send(part)
		then()
		return false
	}
}

// doAll sends calls at the same time and returns their responses.
func (cl *cluster) doAll(e *Entry, calls []line.Call) []line.Response {
	cl.t.Helper()
	list := make([]line.Response, len(calls))
	var done sync.WaitGroup
	for i, c := range calls {
		conn := cl.dial(e)
		done.Go(func() { list[i] = conn.Do(c, nextID()) })
	}
	done.Wait()
	return list
}

// TestUnframedResponsesOfEndedServers guards against responses in part that look complete because all servers of
// a region end at the same moment, so that the host takes its path to them for lost.
func TestUnframedResponsesOfEndedServers(t *testing.T) {
	for name, path := range map[string]string{"stream": "/chat/x", "order": "/order/x"} {
		t.Run(name, func(t *testing.T) {
			cl := newCluster(t)
			e := cl.host("a1")
			end := make(chan struct{})
			var servers []*origin.Server
			for i := range 3 {
				servers = append(servers, cl.server(fmt.Sprint("s", i), "a1", endsWithConn(origin.Events(1, 2), func() { <-end })))
			}
			var calls []line.Call
			for i := range 30 {
				if i%5 == 0 {
					calls = append(calls, post(path, "unframed"))
				} else {
					calls = append(calls, post("/chat/x", "chunks"))
				}
			}
			go func() {
				time.Sleep(500 * time.Millisecond)
				for _, s := range servers {
					s.Crash()
				}
				close(end)
			}()
			for i, resp := range cl.doAll(e, calls) {
				if resp.Status == http.StatusOK && resp.Err == nil {
					t.Errorf("response %d looks complete: %q", i, resp.Body)
				}
			}
		})
	}
}

// TestUnframedResponseOfKilledServer guards against a response in part that looks complete because its server was
// killed while it left, was no longer listed or its data centre was evacuated.
func TestUnframedResponseOfKilledServer(t *testing.T) {
	for name, change := range map[string]func(cl *cluster, e *Entry, s *origin.Server){
		"leaves": func(cl *cluster, _ *Entry, s *origin.Server) {
			cl.store.PutServer("s1", "desk", "a1", s.Addr(), "draining")
		},
		"announced": func(cl *cluster, e *Entry, _ *origin.Server) { cl.do(e, get("/short/x")) },
		"removed":   func(cl *cluster, _ *Entry, _ *origin.Server) { cl.store.RemoveServer("s1") },
		"restarted": func(cl *cluster, _ *Entry, s *origin.Server) {
			cl.store.PutEntry(plattest.Server{ID: "s1", Service: "desk", Site: "a1", Addr: s.Addr(), State: "ready", Version: "v1", Born: 2, Seq: 1})
		},
		"evacuated": func(cl *cluster, _ *Entry, _ *origin.Server) { cl.store.Evacuate("a1") },
	} {
		t.Run(name, func(t *testing.T) {
			cl := newCluster(t)
			e := cl.host("a1")
			var s *origin.Server
			s = cl.server("s1", "a1", endsWithConn(origin.Events(1, 2), func() {
				change(cl, e, s)
				time.Sleep(time.Second) // the host reads it
				s.Crash()
			}))
			resp := cl.do(e, post("/chat/x", "1"))
			wantStatus(t, resp, http.StatusOK)
			if resp.Err == nil {
				t.Errorf("the response looks complete: %q", resp.Body)
			}
		})
	}
}

// TestUnframedResponseOfRunningServer guards against a whole response that is cut because nothing listens at the
// address of its server any more although the process runs: it stops in an orderly way, or refuses connections.
func TestUnframedResponseOfRunningServer(t *testing.T) {
	for _, state := range []string{"ready", "draining"} {
		t.Run(state, func(t *testing.T) {
			cl := newCluster(t)
			e := cl.host("a1")
			for _, path := range []string{"/chat/x", "/order/x"} {
				id := "s" + strings.Trim(path, "/x")
				var s *origin.Server
				s = cl.server(id, "a1", endsWithConn(origin.Events(1, 2), func() {
					cl.do(e, get("/open/x")) // leaves an open connection
					s.Unlisten()
					if state == "ready" {
						return
					}
					cl.store.PutServer(id, "desk", "a1", s.Addr(), state)
					cl.eventually("server leaves", func() bool { return !cl.usable(e, id) })
				}))
				resp := cl.do(e, post(path, "1"))
				wantStatus(t, resp, http.StatusOK)
				if resp.Err != nil || resp.Body != origin.Events(1, 2) {
					t.Errorf("error %v, body %q", resp.Err, resp.Body)
				}
				s.Crash()
				cl.store.RemoveServer(id)
				cl.eventually("server removed", func() bool { return !cl.usable(e, id) })
			}
		})
	}
}

// TestUnframedResponseOfLeavingServer guards against a whole response that is taken for one in part because its
// server, which had announced that it leaves, ended soon after it.
func TestUnframedResponseOfLeavingServer(t *testing.T) {
	cl := newCluster(t)
	e := cl.host("a1")
	var s *origin.Server
	s = cl.server("s1", "a1", endsWithConn(origin.Events(1, 2), func() {
		cl.store.PutServer("s1", "desk", "a1", s.Addr(), "draining")
		cl.eventually("server leaves", func() bool { return !cl.usable(e, "s1") })
		time.AfterFunc(50*time.Millisecond, s.Crash)
	}))
	resp := cl.do(e, post("/chat/x", "1"))
	wantStatus(t, resp, http.StatusOK)
	if resp.Err != nil || resp.Body != origin.Events(1, 2) {
		t.Errorf("error %v, body %q", resp.Err, resp.Body)
	}
}

// usable reports whether a host lists a server that does not leave.
func (cl *cluster) usable(e *Entry, id string) bool {
	s, ok := e.fleet.Service("desk").Table.Server(id)
	return ok && !s.Leaving
}
