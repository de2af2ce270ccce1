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

// leaving is the line with which a server says that it drains.
const leaving = platform.HeaderLeaving + ": 1"

// sent returns the number of requests that s gets while n look-ups are sent to
// a host.
func (w *world) sent(e *Entry, s *origin.Server, n int) int {
	w.t.Helper()
	before := len(s.Seen())
	for range n {
		w.do(e, get("/safe/x"))
	}
	return len(s.Seen()) - before
}

// TestLeavingAnswer guards against requests to a server that has said in an
// answer that it leaves, while the store still lists it as ready: from the
// host that read the answer, and soon from the others of its region.
func TestLeavingAnswer(t *testing.T) {
	for name, answer := range map[string]origin.Script{
		"success": func(x *origin.Exchange) bool { return x.Reply(http.StatusOK, "served", leaving) },
		"failure": func(x *origin.Exchange) bool { return x.Reply(http.StatusInternalServerError, "failed", leaving) },
		"refusal": func(x *origin.Exchange) bool { return x.RefuseWith(leaving) },
		"stream": func(x *origin.Exchange) bool {
			return x.StartStream(leaving) && x.Chunk(origin.Events(1, 2)) && x.EndStream()
		},
		"broken stream": func(x *origin.Exchange) bool {
			x.StartStream(leaving)
			return false
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			a, b := w.host("a1"), w.host("a1")
			w.eventually("hosts know each other", func() bool { return len(a.exchange.Peers()) == 1 && len(b.exchange.Peers()) == 1 })
			one := w.server("s1", "a1", answer)
			for len(one.Seen()) == 0 {
				w.do(a, post("/chat/x", "1"))
			}
			w.server("s2", "a1", ok)
			if n := w.sent(a, one, 30); n > 0 {
				t.Errorf("the host that read the answer sent %d requests to the leaving server", n)
			}
			time.Sleep(time.Second)
			if n := w.sent(b, one, 30); n > 0 {
				t.Errorf("the other host sent %d requests to the leaving server", n)
			}
		})
	}
}

// TestLeavingAnswerToPeer guards against a host that forgets what a server's
// answer says when the request came from another region.
func TestLeavingAnswerToPeer(t *testing.T) {
	w := newWorld(t)
	a, b := w.host("a1"), w.host("b1")
	one := w.server("s1", "b1", func(x *origin.Exchange) bool { return x.Reply(http.StatusOK, "served", leaving) })
	w.eventually("region b known", func() bool { return len(a.fleet.Places("desk")) == 1 })
	wantStatus(t, w.do(a, get("/home-b/x")), http.StatusOK)
	w.server("s2", "b1", ok)
	if n := w.sent(b, one, 30); n > 0 {
		t.Errorf("%d requests sent to the leaving server", n)
	}
}

// TestRestartedServerServes guards against a new process that is taken for the
// one that left under the same identifier and address, and against an old
// entry that brings the former one back.
func TestRestartedServerServes(t *testing.T) {
	w := newWorld(t)
	e := w.host("a1")
	lines := []string{leaving}
	s := w.server("s1", "a1", func(x *origin.Exchange) bool {
		return x.Reply(http.StatusOK, "served", lines...)
	})
	wantStatus(t, w.do(e, get("/safe/x")), http.StatusOK)
	wantStatus(t, w.do(e, get("/safe/x")), http.StatusServiceUnavailable)
	w.store.RemoveServer("s1")
	time.Sleep(1500 * time.Millisecond)
	w.store.PutProcess("s1", "desk", "a1", s.Addr(), "ready", 1)
	time.Sleep(1500 * time.Millisecond)
	wantStatus(t, w.do(e, get("/safe/x")), http.StatusServiceUnavailable)
	w.store.PutProcess("s1", "desk", "a1", s.Addr(), "ready", 2)
	time.Sleep(1500 * time.Millisecond)
	wantStatus(t, w.do(e, get("/safe/x")), http.StatusOK)
}

// TestServerRests guards against requests to a server that asked for none for
// some time, and against a caller that is not told when all servers did.
func TestServerRests(t *testing.T) {
	const rest = 2 * time.Second
	w := newWorld(t)
	e := w.host("a1")
	one := w.server("s1", "a1", func(x *origin.Exchange) bool { return x.RefuseWith(platform.HeaderRetry + ": 2") })
	w.do(e, get("/safe/x"))
	asked := time.Now()
	a := w.do(e, get("/safe/x"))
	wantStatus(t, a, http.StatusServiceUnavailable)
	back, err := strconv.ParseFloat(a.Header.Get(platform.HeaderRetry), 64)
	if err != nil || back < 1 || back > 4 {
		t.Errorf("told to return after %q s, want about 2", a.Header.Get(platform.HeaderRetry))
	}
	w.server("s2", "a1", ok)
	for time.Since(asked) < rest-300*time.Millisecond {
		wantStatus(t, w.do(e, get("/safe/x")), http.StatusOK)
	}
	if n := len(one.Seen()); n != 1 {
		t.Errorf("the resting server got %d requests, want 1", n)
	}
}

// TestServerRestsFor guards against times to rest that make no sense: a server
// must not be lost for good by them, nor asked again at once.
func TestServerRestsFor(t *testing.T) {
	for value, want := range map[string]bool{"": true, "soon": true, "-5": true, "NaN": true, "0.05": true, "1e300": false, "+Inf": false, "600": false} {
		t.Run(value, func(t *testing.T) {
			w := newWorld(t)
			e := w.host("a1")
			var asked atomic.Bool
			s := w.server("s1", "a1", func(x *origin.Exchange) bool {
				if !asked.Swap(true) {
					return x.RefuseWith(platform.HeaderRetry + ": " + value)
				}
				return ok(x)
			})
			w.do(e, get("/safe/x"))
			time.Sleep(100 * time.Millisecond)
			w.do(e, get("/safe/x"))
			if again := len(s.Seen()) > 1; again != want {
				t.Errorf("asked again: %v, want %v", again, want)
			}
		})
	}
}

// TestLongAnswersAtStop guards against a host that stops and takes requests
// whose answers last longer than it does: they would be cut off. Seen on the
// bench as LOST, Vallmo mix --seed 284111390854.
func TestLongAnswersAtStop(t *testing.T) {
	t.Run("as before", func(t *testing.T) { stopUnderLoad(t, 3*time.Second, 3*time.Second) })
	t.Run("longer than before", func(t *testing.T) { stopUnderLoad(t, 200*time.Millisecond, 3200*time.Millisecond) })
}

// stopUnderLoad stops a host whose answers took some time before and take
// another one since.
func stopUnderLoad(t *testing.T, before, since time.Duration) {
	w := newWorld(t)
	e := w.host("a1")
	var took atomic.Int64
	took.Store(int64(before))
	w.server("s1", "a1", func(x *origin.Exchange) bool {
		if x.Method == http.MethodGet {
			return ok(x)
		}
		return slowly(6, time.Duration(took.Load())/6)(x)
	})
	w.do(e, post("/chat/x", "1"))
	took.Store(int64(since))
	closed := make(chan error, 1)
	began := time.Now()
	go func() { closed <- e.Close(context.Background()) }()
	answers := make(chan line.Answer, 100)
	asked := 0
	for time.Since(began) < 3*lookupTTL {
		conn := w.dial(e)
		asked++
		go func() { answers <- conn.Do(post("/chat/x", "1"), nextID()) }()
		time.Sleep(300 * time.Millisecond)
	}
	served := 0
	for range asked {
		a := <-answers
		switch {
		case a.Status == http.StatusOK && a.Err == nil:
			served++
		case a.Status != http.StatusServiceUnavailable || a.Header.Get(platform.HeaderRetry) == "":
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
