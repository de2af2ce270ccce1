package entry

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/edge/stats"
	"github.com/yuccalb/yuccalb/internal/fake/limits"
	"github.com/yuccalb/yuccalb/internal/fake/line"
	"github.com/yuccalb/yuccalb/internal/fake/origin"
	"github.com/yuccalb/yuccalb/platform"
)

// limitHeader returns the header line by which a server names a limit.
func limitHeader(rate string) string { return platform.HeaderServerLimit + ": " + rate }

// metricsPage returns the metrics of a host at a path.
func metricsPage(t *testing.T, e *Entry, path string) string {
	t.Helper()
	resp, err := http.Get("http://" + e.settings.Metrics.String() + path)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}

// attempts returns how many requests a host has sent to a place: "local" or a region.
func attempts(t *testing.T, e *Entry, place string) float64 {
	t.Helper()
	total := 0.0
	for line := range strings.Lines(metricsPage(t, e, stats.StatePath)) {
		if !strings.HasPrefix(line, "yuccalb_attempts_total") || !strings.Contains(line, fmt.Sprintf("place=%q", place)) {
			continue
		}
		fields := strings.Fields(line)
		n, err := strconv.ParseFloat(fields[len(fields)-1], 64)
		if err != nil {
			t.Fatalf("metric %q: %v", line, err)
		}
		total += n
	}
	return total
}

// TestLimitInMetrics guards against metrics that do not show which limits servers name
// and how many requests are sent to them, and against a page that a collector truncates
// before it gets to them.
func TestLimitInMetrics(t *testing.T) {
	cl := newCluster(t)
	e := cl.host("a1")
	cl.server("s1", "a1", func(x *origin.Exchange) bool { return x.Reply(http.StatusOK, "served", limitHeader("7.5")) })
	wantStatus(t, cl.do(e, get("/safe/x")), http.StatusOK)
	cl.eventually("a request within the limit", func() bool { return cl.do(e, get("/safe/x")).Status == http.StatusOK })
	page := metricsPage(t, e, stats.StatePath)
	for _, line := range []string{
		"yuccalb_limited_servers 1\n", "yuccalb_limited_rate 7.5\n", `yuccalb_limited_sends_total{service="desk"} 1` + "\n",
	} {
		if !strings.Contains(page, line) {
			t.Errorf("the metrics do not contain %s", line)
		}
	}
	for _, name := range []string{"go_", "process_", "_bucket"} {
		if strings.Contains(page, name) {
			t.Errorf("the page of counters and gauges contains %s", name)
		}
	}
}

// learnTime is the time after the first response with a limit from which on the limit
// must hold.
const learnTime = 500 * time.Millisecond

// learntArrivals returns when a server received requests, from learnTime after the first
// one on.
func learntArrivals(s *origin.Server) []time.Time {
	seen := s.Seen()
	var times []time.Time
	for _, x := range seen {
		if x.Arrived.Sub(seen[0].Arrived) >= learnTime {
			times = append(times, x.Arrived)
		}
	}
	return times
}

// load sends calls to hosts, each host from a caller of its own, until the end of d.
func (cl *cluster) load(d time.Duration, pause time.Duration, hosts []*Entry, calls ...line.Call) {
	cl.t.Helper()
	end := time.Now().Add(d)
	var callers sync.WaitGroup
	for _, e := range hosts {
		callers.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				conn, err := line.Dial(e.settings.Front)
				if err != nil {
					cl.t.Error(err)
					return
				}
				conn.Do(calls[n%len(calls)], nextID())
				_ = conn.Close() // the response has been read
				time.Sleep(pause)
			}
		})
	}
	callers.Wait()
}

// TestServerLimitOverAllHosts guards against hosts that together send a server more
// requests than the limit that it names for all of them, on any path: first attempts,
// retries, resumed streams and requests forwarded from another region. It also guards
// against a server that gets no requests because it has named a limit.
func TestServerLimitOverAllHosts(t *testing.T) {
	const rate = 2
	cl := newCluster(t)
	hosts := []*Entry{cl.host("a1"), cl.host("a1"), cl.host("a1"), cl.host("b1")}
	limited := cl.server("s1", "a1", func(x *origin.Exchange) bool {
		if strings.HasPrefix(x.URL.Path, "/ask/") {
			return x.StartStream(limitHeader("2.0")) && x.Chunk(origin.Events(1, 5)) && x.EndStream()
		}
		return x.Reply(http.StatusOK, "served", limitHeader("2.0"))
	})
	var n atomic.Int64
	cl.server("s2", "a1", func(x *origin.Exchange) bool {
		switch broken := n.Add(1)%3 == 0; {
		case strings.HasPrefix(x.URL.Path, "/ask/"):
			x.StartStream()
			x.Chunk(origin.Events(1, 2))
			if broken {
				return x.Reset()
			}
			return x.Chunk(origin.Events(3, 5)) && x.EndStream()
		case broken:
			return x.Reply(http.StatusInternalServerError, "failed")
		}
		return x.Reply(http.StatusOK, "served")
	})
	cl.eventually("state report of region a", func() bool { return len(hosts[3].fleet.RemoteRegions("desk")) == 1 })
	cl.load(6*time.Second, 10*time.Millisecond, hosts, get("/safe/x"), post("/ask/x", "1"), post("/order/x", "1"))
	if got, want := limits.Most(learntArrivals(limited)), limits.Allowed(rate); got > want {
		t.Errorf("the server that takes %d requests a second got %d within %v, want at most %d", rate, got, limits.Window, want)
	}
	if got := len(limited.Seen()); got < 6 {
		t.Errorf("the server that takes %d requests a second got %d in 6 s", rate, got)
	}
}

// limitedServer starts a server in region a whose responses have the header that lines
// holds at the time.
func (cl *cluster) limitedServer(id string, lines *atomic.Pointer[[]string]) *origin.Server {
	cl.t.Helper()
	return cl.server(id, "a1", func(x *origin.Exchange) bool { return x.Reply(http.StatusOK, "served", *lines.Load()...) })
}

// TestAllServersLimited guards against callers that wait until their timeout, or that
// are told to come back too soon, when all servers of a service have got what their
// limits allow.
func TestAllServersLimited(t *testing.T) {
	cl := newCluster(t)
	e := cl.host("a1")
	var lines atomic.Pointer[[]string]
	lines.Store(&[]string{limitHeader("0.5")})
	servers := []*origin.Server{cl.limitedServer("s1", &lines), cl.limitedServer("s2", &lines)}
	for len(servers[0].Seen()) == 0 || len(servers[1].Seen()) == 0 {
		cl.do(e, get("/safe/x"))
	}
	begin := time.Now()
	a := cl.do(e, get("/order/x"))
	wantStatus(t, a, http.StatusServiceUnavailable)
	if took := time.Since(begin); took > 500*time.Millisecond {
		t.Errorf("refused after %v, want at once", took)
	}
	back, err := strconv.ParseFloat(a.Header.Get(platform.HeaderRetryAfter), 64)
	if err != nil || back < 1 || back > 3 {
		t.Errorf("Retry-After is %q s, want about 2", a.Header.Get(platform.HeaderRetryAfter))
	}
	time.Sleep(time.Duration(back * float64(time.Second)))
	wantStatus(t, cl.do(e, get("/order/x")), http.StatusOK)
}

// TestAllRegionsLimited guards against a request that goes from region to region although
// the servers of all have got what their limits allow, and against one that is never
// sent to the only region that may serve it.
func TestAllRegionsLimited(t *testing.T) {
	cl := newCluster(t)
	a, b := cl.host("a1"), cl.host("b1")
	answer := func(x *origin.Exchange) bool { return x.Reply(http.StatusOK, "served", limitHeader("4")) }
	cl.server("s1", "a1", answer)
	remote := cl.server("s2", "b1", answer)
	cl.eventually("state report of region b", func() bool { return len(a.fleet.RemoteRegions("desk")) == 1 })
	stop := make(chan struct{})
	var callers sync.WaitGroup
	callers.Go(func() { // uses up the limit of region b
		for {
			select {
			case <-stop:
				return
			default:
				cl.do(b, get("/safe/x"))
				time.Sleep(2 * time.Millisecond)
			}
		}
	})
	defer callers.Wait()
	defer close(stop)
	cl.eventually("region b is limited", func() bool {
		list := a.fleet.RemoteRegions("desk")
		return len(list) == 1 && list[0].Limited
	})
	cl.eventually("region a is limited", func() bool { return cl.do(a, get("/safe/x")).Status == http.StatusServiceUnavailable })
	for range 20 {
		begin := time.Now()
		resp := cl.do(a, get("/safe/x"))
		if took := time.Since(begin); resp.Status != http.StatusOK && took > 500*time.Millisecond {
			t.Errorf("refused after %v, want at once", took)
		}
	}
	// The report of region b may show a moment in which its limit allows a request.
	if got := attempts(t, a, "b"); got > 10 {
		t.Errorf("%v requests were forwarded to a region whose limits are used up, although the local region may serve them", got)
	}
	served := false
	for end := time.Now().Add(10 * time.Second); !served && time.Now().Before(end); {
		resp := cl.do(a, get("/home-b/x"))
		served = resp.Status == http.StatusOK
		if !served {
			wantStatus(t, resp, http.StatusServiceUnavailable)
		}
	}
	if !served {
		t.Error("no request of the routes that only region b may serve was served")
	}
	if len(remote.Seen()) == 0 {
		t.Error("the server of region b got no requests")
	}
}

// TestLimitEnds guards against a server that is not used in full soon after it has
// stopped naming a limit, and against a value that is no number and ends a limit.
func TestLimitEnds(t *testing.T) {
	cl := newCluster(t)
	hosts := []*Entry{cl.host("a1"), cl.host("a1")}
	var lines atomic.Pointer[[]string]
	lines.Store(&[]string{limitHeader("3")})
	s := cl.limitedServer("s1", &lines)
	cl.load(2*time.Second, 10*time.Millisecond, hosts, get("/safe/x"))
	lines.Store(&[]string{limitHeader("plenty")})
	before := len(s.Seen())
	cl.load(limits.Window, 10*time.Millisecond, hosts, get("/safe/x"))
	if got, want := len(s.Seen())-before, limits.Allowed(3); got > want {
		t.Errorf("%d requests within %v to a server that takes 3 a second, want at most %d", got, limits.Window, want)
	}
	lines.Store(&[]string{})
	cl.load(2*time.Second, 10*time.Millisecond, hosts, get("/safe/x"))
	for range 20 {
		wantStatus(t, cl.do(hosts[0], get("/safe/x")), http.StatusOK)
		wantStatus(t, cl.do(hosts[1], get("/safe/x")), http.StatusOK)
	}
}

// TestLimitOfOtherServer guards against a limit that is attributed to the chosen server
// but was named by another one at the same address, or by one of another region whose
// response a host there has forwarded.
func TestLimitOfOtherServer(t *testing.T) {
	cl := newCluster(t)
	a, b := cl.host("a1"), cl.host("b1")
	cl.server("s1", "a1", func(x *origin.Exchange) bool {
		return x.Send("HTTP/1.1 421 X\r\n" + platform.HeaderAttemptID + ": " + x.ID() + "\r\n" + limitHeader("0") + "\r\nContent-Length: 0\r\n\r\n")
	})
	cl.server("s2", "b1", func(x *origin.Exchange) bool { return x.Reply(http.StatusOK, "served", limitHeader("50")) })
	cl.eventually("state report of region b", func() bool { return len(a.fleet.RemoteRegions("desk")) == 1 })
	cl.do(a, get("/safe/x"))
	wantStatus(t, cl.do(a, get("/home-b/x")), http.StatusOK)
	if n, _ := a.fleet.LimitedServers(); n != 0 {
		t.Errorf("%d servers of region a are limited, want 0", n)
	}
	if n, rate := b.fleet.LimitedServers(); n != 1 || rate != 50 {
		t.Errorf("%d servers of region b are limited to %v a second, want one to 50", n, rate)
	}
}
