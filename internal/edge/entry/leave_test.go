package entry

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/fake/line"
	"github.com/yuccalb/yuccalb/internal/fake/origin"
	"github.com/yuccalb/yuccalb/platform"
)

// leavingHeader is the header line that states that a server drains.
const leavingHeader = platform.HeaderLeaving + ": 1"

// requestsTo sends n requests to a host and returns how many of them s receives.
func (cl *cluster) requestsTo(e *Entry, s *origin.Server, n int) int {
	cl.t.Helper()
	before := len(s.Seen())
	for range n {
		cl.do(e, get("/safe/x"))
	}
	return len(s.Seen()) - before
}

// TestServerLeavingHeader guards against requests to a server whose response stated
// that it drains, while the store still lists it as ready: from the host that
// read the response, and soon after from the other hosts of its region.
func TestServerLeavingHeader(t *testing.T) {
	for name, answer := range map[string]origin.Script{
		"success": func(x *origin.Exchange) bool { return x.Reply(http.StatusOK, "served", leavingHeader) },
		"failure": func(x *origin.Exchange) bool { return x.Reply(http.StatusInternalServerError, "failed", leavingHeader) },
		"refusal": func(x *origin.Exchange) bool { return x.RefuseWith(leavingHeader) },
		"stream": func(x *origin.Exchange) bool {
			return x.StartStream(leavingHeader) && x.Chunk(origin.Events(1, 2)) && x.EndStream()
		},
		"broken stream": func(x *origin.Exchange) bool {
			x.StartStream(leavingHeader)
			return false
		},
	} {
		t.Run(name, func(t *testing.T) {
			cl := newCluster(t)
			a, b := cl.host("a1"), cl.host("a1")
			cl.eventually("state reports between hosts", func() bool { return len(a.exchange.Peers()) == 1 && len(b.exchange.Peers()) == 1 })
			one := cl.server("s1", "a1", answer)
			for len(one.Seen()) == 0 {
				cl.do(a, post("/chat/x", "1"))
			}
			cl.server("s2", "a1", ok)
			if n := cl.requestsTo(a, one, 30); n > 0 {
				t.Errorf("the host that read the response sent %d requests to the draining server", n)
			}
			time.Sleep(time.Second)
			if n := cl.requestsTo(b, one, 30); n > 0 {
				t.Errorf("the other host sent %d requests to the draining server", n)
			}
		})
	}
}

// TestServerLeavingHeaderForwarded guards against a host that ignores the header of a
// draining server when the request was forwarded from another region.
func TestServerLeavingHeaderForwarded(t *testing.T) {
	cl := newCluster(t)
	a, b := cl.host("a1"), cl.host("b1")
	one := cl.server("s1", "b1", func(x *origin.Exchange) bool { return x.Reply(http.StatusOK, "served", leavingHeader) })
	cl.eventually("state report of region b", func() bool { return len(a.fleet.RemoteRegions("desk")) == 1 })
	wantStatus(t, cl.do(a, get("/home-b/x")), http.StatusOK)
	cl.server("s2", "b1", ok)
	if n := cl.requestsTo(b, one, 30); n > 0 {
		t.Errorf("%d requests sent to the draining server", n)
	}
}

// TestRestartedServerServes guards against taking a new process for the drained one
// with the same ID and address, and against using the drained one again because
// of a stale entry.
func TestRestartedServerServes(t *testing.T) {
	cl := newCluster(t)
	e := cl.host("a1")
	lines := []string{leavingHeader}
	s := cl.server("s1", "a1", func(x *origin.Exchange) bool {
		return x.Reply(http.StatusOK, "served", lines...)
	})
	wantStatus(t, cl.do(e, get("/safe/x")), http.StatusOK)
	wantStatus(t, cl.do(e, get("/safe/x")), http.StatusServiceUnavailable)
	cl.store.RemoveServer("s1")
	time.Sleep(1500 * time.Millisecond)
	cl.store.PutProcess("s1", "desk", "a1", s.Addr(), "ready", 1)
	time.Sleep(1500 * time.Millisecond)
	wantStatus(t, cl.do(e, get("/safe/x")), http.StatusServiceUnavailable)
	cl.store.PutProcess("s1", "desk", "a1", s.Addr(), "ready", 2)
	time.Sleep(1500 * time.Millisecond)
	wantStatus(t, cl.do(e, get("/safe/x")), http.StatusOK)
}

// TestServerRetryAfter guards against requests to a server that sent a Retry-After,
// before that time has passed, and against a refusal without Retry-After when all
// servers sent one.
func TestServerRetryAfter(t *testing.T) {
	const retryAfter = 2 * time.Second
	cl := newCluster(t)
	e := cl.host("a1")
	one := cl.server("s1", "a1", func(x *origin.Exchange) bool { return x.RefuseWith(platform.HeaderRetryAfter + ": 2") })
	cl.do(e, get("/safe/x"))
	asked := time.Now()
	a := cl.do(e, get("/safe/x"))
	wantStatus(t, a, http.StatusServiceUnavailable)
	back, err := strconv.ParseFloat(a.Header.Get(platform.HeaderRetryAfter), 64)
	if err != nil || back < 1 || back > 4 {
		t.Errorf("Retry-After is %q s, want about 2", a.Header.Get(platform.HeaderRetryAfter))
	}
	cl.server("s2", "a1", ok)
	for time.Since(asked) < retryAfter-300*time.Millisecond {
		wantStatus(t, cl.do(e, get("/safe/x")), http.StatusOK)
	}
	if n := len(one.Seen()); n != 1 {
		t.Errorf("the server with Retry-After got %d requests, want 1", n)
	}
}

// TestServerRetryAfterValues guards against invalid and extreme values of Retry-After:
// invalid ones are ignored, and huge ones must not lead to a retry at once.
func TestServerRetryAfterValues(t *testing.T) {
	for value, want := range map[string]bool{"": true, "soon": true, "-5": true, "NaN": true, "0.05": true, "1e300": false, "+Inf": false, "600": false} {
		t.Run(value, func(t *testing.T) {
			cl := newCluster(t)
			e := cl.host("a1")
			var asked atomic.Bool
			s := cl.server("s1", "a1", func(x *origin.Exchange) bool {
				if !asked.Swap(true) {
					return x.RefuseWith(platform.HeaderRetryAfter + ": " + value)
				}
				return ok(x)
			})
			cl.do(e, get("/safe/x"))
			time.Sleep(100 * time.Millisecond)
			cl.do(e, get("/safe/x"))
			if again := len(s.Seen()) > 1; again != want {
				t.Errorf("request sent again: %v, want %v", again, want)
			}
		})
	}
}

// TestLongResponsesDuringDrain guards against a draining host that admits requests
// whose responses last longer than its grace period, so that they are aborted. A
// load test lost requests this way (Vallmo mix --seed 284111390854).
func TestLongResponsesDuringDrain(t *testing.T) {
	t.Run("as before", func(t *testing.T) { stopUnderLoad(t, 3*time.Second, 3*time.Second) })
	t.Run("longer than before", func(t *testing.T) { stopUnderLoad(t, 200*time.Millisecond, 3200*time.Millisecond) })
}

// stopUnderLoad drains a host whose responses took the time before until then, and
// take the time since from then on.
func stopUnderLoad(t *testing.T, before, since time.Duration) {
	cl := newCluster(t)
	e := cl.host("a1")
	var took atomic.Int64
	took.Store(int64(before))
	cl.server("s1", "a1", func(x *origin.Exchange) bool {
		if x.Method == http.MethodGet {
			return ok(x)
		}
		return slowStream(6, time.Duration(took.Load())/6)(x)
	})
	cl.do(e, post("/chat/x", "1"))
	took.Store(int64(since))
	closed := make(chan error, 1)
	began := time.Now()
	go func() { closed <- e.Close(context.Background()) }()
	responses := make(chan line.Response, 100)
	asked := 0
	for time.Since(began) < 3*lookupTTL {
		conn := cl.dial(e)
		asked++
		go func() { responses <- conn.Do(post("/chat/x", "1"), nextID()) }()
		time.Sleep(300 * time.Millisecond)
	}
	served := 0
	for range asked {
		a := <-responses
		switch {
		case a.Status == http.StatusOK && a.Err == nil:
			served++
		case a.Status != http.StatusServiceUnavailable || a.Header.Get(platform.HeaderRetryAfter) == "":
			t.Errorf("status %d, error %v, body %q", a.Status, a.Err, a.Body)
		}
	}
	if served < asked/2 {
		t.Errorf("%d of %d requests served", served, asked)
	}
	if err := <-closed; err != nil {
		t.Error(err)
	}
}
