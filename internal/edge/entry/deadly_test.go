package entry

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/fake/line"
	"github.com/yuccalb/yuccalb/platform"
)

// withPrompt adds the header of a prompt with a part that sound requests have as well.
func withPrompt(c line.Call) line.Call {
	return c.With(platform.HeaderPrompt, "guide:165,own:20").With(platform.HeaderTokens, "2000,20")
}

// TestRequestCrashesServers guards against servers that crash one after the other at the same
// request, which comes again at all hosts, on all kinds of route and in both regions. Others
// of the same caller, on the same path or with the same body, must be served.
func TestRequestCrashesServers(t *testing.T) {
	for _, tt := range []struct {
		name       string
		dead, good line.Call
		late       bool
	}{
		{"unsafe", post("/order/x", "dead"), post("/order/x", "fine"), false},
		{"safe", get("/safe/dead"), get("/safe/fine"), false},
		{"safe, same path", post("/safe/x", "dead"), post("/safe/x", "fine"), false},
		{"public", get("/open/dead").With(platform.HeaderAPIKey, ""), get("/open/fine"), false},
		{"stream", post("/chat/x", "dead"), post("/chat/x", "fine"), false},
		{"stream with a shared part", withPrompt(post("/chat/x", "dead")), withPrompt(post("/chat/x", "fine")), false},
		{"resumable stream", post("/ask/x", "dead"), post("/ask/x", "fine"), false},
		{"stream after its first event", post("/chat/x", "dead"), post("/chat/x", "fine"), true},
		{"resumable stream after its first event", post("/ask/x", "dead"), post("/ask/x", "fine"), true},
	} {
		t.Run(tt.name, func(t *testing.T) { testDeadlyRequest(t, tt.dead, tt.good, tt.late) })
	}
}

func testDeadlyRequest(t *testing.T, dead, good line.Call, late bool) {
	cl := newCluster(t)
	hosts := []*Entry{cl.host("a1"), cl.host("a1"), cl.host("b1")}
	f := newFragile(cl)
	f.late = late
	for i := range 3 {
		f.add(fmt.Sprintf("sa%d", i), "a1")
		f.add(fmt.Sprintf("sb%d", i), "b1")
	}
	began := time.Now()
	var served, sound int
	var last line.Response
	for i := 0; f.since(3) < contactTime+4*time.Second; i++ {
		if time.Since(began) > 40*time.Second {
			t.Fatalf("%d crashes within 40 s, want 3", f.count())
		}
		e := hosts[i%len(hosts)]
		if i%7 == 0 {
			last = cl.do(e, dead)
		}
		resp := cl.do(e, good)
		if f.since(3) > contactTime {
			sound++
			if resp.Status == http.StatusOK && resp.Err == nil {
				served++
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	if n := f.lateCrashes(3); n > 3 {
		t.Errorf("%d servers crashed later than %v after the third crash, want at most 3", n, contactTime)
	}
	if served*10 < sound*9 {
		t.Errorf("%d of %d other requests were served", served, sound)
	}
	if last.Status != http.StatusServiceUnavailable || last.Header.Get("Retry-After") == "" {
		t.Errorf("the request got status %d at last, error %v", last.Status, last.Err)
	}
}

// TestRequestRefusedAfterRestart guards against hosts that, after all of them have restarted,
// send a request again that is known to make servers crash.
func TestRequestRefusedAfterRestart(t *testing.T) {
	cl := newCluster(t)
	old := []*Entry{cl.host("a1"), cl.host("a1")}
	f := newFragile(cl)
	for i := range 3 {
		f.add(fmt.Sprintf("s%d", i), "a1")
	}
	dead := post("/order/x", "dead")
	cl.eventually("suspicion", func() bool {
		return cl.do(old[0], dead).Status == http.StatusServiceUnavailable && old[1].fleet.SuspectedParts() > 0
	})
	cl.eventually("record in the store", func() bool { return cl.store.Count("yuccalb/suspects/") == 1 })
	cl.eventually("all servers run", f.recovered)
	crashes := f.count()
	cl.hosts = nil
	for _, e := range old {
		ctx, cancel := context.WithCancel(context.Background())
		cancel() // no request is in progress
		_ = e.Close(ctx)
	}
	e := cl.host("a1")
	wantStatus(t, cl.do(e, dead), http.StatusServiceUnavailable)
	if n := f.count(); n != crashes {
		t.Errorf("%d servers crashed after the restart", n-crashes)
	}
	wantStatus(t, cl.do(e, post("/order/x", "fine")), http.StatusOK)
}
