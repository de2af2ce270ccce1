package entry

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/poison"
	"github.com/yuccalb/yuccalb/internal/fake/await"
	"github.com/yuccalb/yuccalb/internal/fake/line"
	"github.com/yuccalb/yuccalb/internal/fake/origin"
	"github.com/yuccalb/yuccalb/platform"
)

const (
	// contactTime is the time after the fifth crash within which all hosts must know
	// which part of prompts makes servers crash, and after the third one at the same
	// request within which they must know this request.
	contactTime = 5 * time.Second
	// downTime is how long a server that crashed is down. Its entry expires meanwhile.
	downTime = 2 * time.Second
)

// fragile are servers of which one crashes at each request with the part "dead", or with
// this word as the body or as part of the path.
type fragile struct {
	cl *cluster
	// late makes servers crash after the first event of a stream.
	late bool

	mu      sync.Mutex
	crashes []time.Time
	down    int            // servers that have crashed and do not run yet
	done    sync.WaitGroup // of the goroutines that start them again
}

// newFragile returns a set without servers. At the end of the test it waits for those that
// start again, after they have been closed.
func newFragile(cl *cluster) *fragile {
	f := &fragile{cl: cl}
	cl.t.Cleanup(f.done.Wait)
	return f
}

// add starts a server.
func (f *fragile) add(id, site string) {
	var srv *origin.Server
	srv = f.cl.server(id, site, func(x *origin.Exchange) bool {
		time.Sleep(20 * time.Millisecond)
		if deadly(x) {
			if f.late {
				x.StartStream()
				x.Chunk(origin.Event(1))
				time.Sleep(20 * time.Millisecond)
			}
			f.crash(srv, id, site)
			return false
		}
		if !strings.HasPrefix(x.RequestURI, "/chat/") && !strings.HasPrefix(x.RequestURI, "/ask/") {
			return x.Reply(http.StatusOK, "served")
		}
		x.StartStream()
		x.Chunk(origin.Events(1, 2))
		return x.EndStream()
	})
}

// deadly reports whether a request makes servers crash.
func deadly(x *origin.Exchange) bool {
	return strings.Contains(x.Header.Get(platform.HeaderPrompt), "dead:") || string(x.Body) == "dead" || strings.Contains(x.RequestURI, "dead")
}

// crash ends a server and starts it again after downTime.
func (f *fragile) crash(srv *origin.Server, id, site string) {
	f.mu.Lock()
	f.crashes = append(f.crashes, time.Now())
	f.down++
	f.mu.Unlock()
	srv.Crash()
	f.done.Go(func() {
		time.Sleep(downTime / 2)
		f.cl.store.RemoveServer(id)
		time.Sleep(downTime / 2)
		if err := srv.Recover(); err != nil {
			f.cl.t.Error(err)
		}
		f.cl.store.PutProcess(id, "desk", site, srv.Addr(), "ready", time.Now().UnixMilli())
		f.mu.Lock()
		f.down--
		f.mu.Unlock()
	})
}

// count returns the number of crashes.
func (f *fragile) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.crashes)
}

// recovered reports whether all servers run.
func (f *fragile) recovered() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.down == 0
}

// lateCrashes returns the number of crashes later than contactTime after the nth one.
func (f *fragile) lateCrashes(nth int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, at := range f.crashes {
		if len(f.crashes) >= nth && at.Sub(f.crashes[nth-1]) > contactTime {
			n++
		}
	}
	return n
}

// since returns the time since the nth crash, 0 before it.
func (f *fragile) since(nth int) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.crashes) < nth {
		return 0
	}
	return time.Since(f.crashes[nth-1])
}

// prompt returns a request whose prompt, which is its body, has the given parts and one of
// its own.
func prompt(path string, parts ...string) line.Call {
	text := ""
	for _, part := range parts {
		text += part + ":165,"
	}
	text += nextID() + ":20"
	return post(path, text).With(platform.HeaderPrompt, text).With(platform.HeaderTokens, "2000,20")
}

// crashCase is a test of servers that crash at some requests, which come at all hosts of two
// regions, while others come as well.
type crashCase struct {
	// nth is the number of the crash after which all hosts must know the requests within
	// contactTime. With late, servers crash after the first event of a stream.
	nth  int
	late bool
	// dead returns a request that makes servers crash, and good one that must be served.
	dead, good func() line.Call
}

func (c crashCase) run(t *testing.T) {
	cl := newCluster(t)
	hosts := []*Entry{cl.host("a1"), cl.host("a1"), cl.host("b1")}
	f := newFragile(cl)
	f.late = c.late
	for i := range 3 {
		f.add(fmt.Sprintf("sa%d", i), "a1")
		f.add(fmt.Sprintf("sb%d", i), "b1")
	}
	began := time.Now()
	var served, sound int
	var last line.Response
	for i := 0; f.since(c.nth) < contactTime+4*time.Second; i++ {
		if time.Since(began) > 40*time.Second {
			t.Fatalf("%d crashes within 40 s, want %d", f.count(), c.nth)
		}
		e := hosts[i%len(hosts)]
		if i%7 == 0 {
			last = cl.do(e, c.dead())
		}
		resp := cl.do(e, c.good())
		if f.since(c.nth) > contactTime {
			sound++
			if resp.Status == http.StatusOK && resp.Err == nil {
				served++
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	if n := f.lateCrashes(c.nth); n > 3 {
		t.Errorf("%d servers crashed later than %v after crash %d, want at most 3", n, contactTime, c.nth)
	}
	if served*10 < sound*9 {
		t.Errorf("%d of %d other requests were served", served, sound)
	}
	if last.Status != http.StatusServiceUnavailable || last.Header.Get("Retry-After") == "" {
		t.Errorf("the last request that makes servers crash got status %d, error %v", last.Status, last.Err)
	}
}

// TestPromptPartCrashesServers guards against servers that crash one after the other at
// requests with the same part of a prompt. Others share their other parts and their caller,
// and must be served.
func TestPromptPartCrashesServers(t *testing.T) {
	crashCase{
		nth:  5,
		dead: func() line.Call { return prompt("/chat/x", "guide", "dead") },
		good: func() line.Call { return prompt("/chat/x", "guide", "other") },
	}.run(t)
}

// TestSuspicionOutlivesHosts guards against hosts that, after all of them have restarted,
// send requests again with a part that is known to make servers crash.
func TestSuspicionOutlivesHosts(t *testing.T) {
	testOutlivesHosts(t, prompt("/chat/x", "guide", "dead"), prompt("/chat/x", "guide", "other"))
}

// testOutlivesHosts tests that a request that makes servers crash is refused after all hosts
// have restarted, and another one is not.
func testOutlivesHosts(t *testing.T, dead, good line.Call) {
	cl := newCluster(t)
	old := []*Entry{cl.host("a1"), cl.host("a1")}
	f := newFragile(cl)
	for i := range 3 {
		f.add(fmt.Sprintf("s%d", i), "a1")
	}
	cl.eventually("suspicion", func() bool {
		return cl.do(old[0], dead).Status == http.StatusServiceUnavailable && old[1].fleet.SuspectedParts() > 0
	})
	cl.eventually("record in the store", func() bool { return cl.store.Count("yuccalb/suspects/") == 1 })
	cl.eventually("all servers run", f.recovered)
	crashes := f.count()
	cl.restart()
	wantStatus(t, cl.do(cl.hosts[0], dead), http.StatusServiceUnavailable)
	if n := f.count(); n != crashes {
		t.Errorf("%d servers crashed after the restart", n-crashes)
	}
	wantStatus(t, cl.do(cl.hosts[0], good), http.StatusOK)
}

// TestWrongSuspicionProbed guards against a wrong suspicion that never ends: the part is
// refused everywhere, so that no response can show that it is harmless.
func TestWrongSuspicionProbed(t *testing.T) {
	cl := newCluster(t)
	key, value, err := platform.EncodeSuspect(platform.Suspect{Service: "desk", Part: uint64(poison.NewPart("guide"))})
	if err != nil {
		t.Fatal(err)
	}
	cl.store.Put(key, value)
	hosts := []*Entry{cl.host("a1"), cl.host("b1")}
	cl.server("s1", "a1", slowStream(2, time.Millisecond))
	cl.server("s2", "b1", slowStream(2, time.Millisecond))
	for _, e := range hosts {
		wantStatus(t, cl.do(e, prompt("/chat/x", "guide")), http.StatusServiceUnavailable)
	}
	await.True(t, 30*time.Second, "end of the suspicion at all hosts", func() bool {
		a, b := cl.do(hosts[0], prompt("/chat/x", "guide")), cl.do(hosts[1], prompt("/chat/x", "guide"))
		return a.Status == http.StatusOK && b.Status == http.StatusOK
	})
	cl.eventually("removal of the record", func() bool { return cl.store.Count("yuccalb/suspects/") == 0 })
}

// TestRefusalAfterCrash guards against a refusal that says that a request was not run
// although a server has crashed under it.
func TestRefusalAfterCrash(t *testing.T) {
	cl := newCluster(t)
	e := cl.host("a1")
	f := newFragile(cl)
	for i := range 3 {
		f.add(fmt.Sprintf("s%d", i), "a1")
	}
	cl.eventually("suspicion", func() bool {
		before := f.count()
		resp := cl.do(e, prompt("/ask/x", "guide", "dead"))
		ran := f.count() > before
		if promise := resp.Status == http.StatusServiceUnavailable || resp.Status == http.StatusTooManyRequests; promise && ran {
			t.Errorf("status %d although the request was run", resp.Status)
		}
		return e.fleet.SuspectedParts() > 0
	})
	resp := cl.do(e, prompt("/ask/x", "guide", "dead"))
	wantStatus(t, resp, http.StatusServiceUnavailable)
	if resp.Header.Get(platform.HeaderSignature) != "" || resp.Header.Get("Retry-After") == "" {
		t.Errorf("header %v", resp.Header)
	}
}
