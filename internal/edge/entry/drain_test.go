package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/fake/line"
	"github.com/yuccalb/yuccalb/internal/fake/origin"
	"github.com/yuccalb/yuccalb/platform"
	"github.com/yuccalb/yuccalb/platform/plattest"
)

// longRoutes are routes whose timeout exceeds the grace period of a host.
var longRoutes = []plattest.Route{
	{Prefix: "/safe/", Service: "desk", Kind: "safe", Attempts: 2, TimeoutMS: 10000},
	{Prefix: "/order/", Service: "desk", Kind: "unsafe", TimeoutMS: 10000},
	{Prefix: "/chat/", Service: "desk", Kind: "stream", TimeoutMS: 10000},
	{Prefix: "/open/", Service: "desk", Kind: "safe", TimeoutMS: 2000, Public: true},
}

// stopCase is a request to a host that stops while its servers take long.
type stopCase struct {
	path string
	// forwarded requests come from another host.
	forwarded bool
	// deadline is that of the caller.
	deadline time.Duration
	// at is when the request is sent after the signal, and slow how long its body takes.
	at, slow time.Duration
}

func (c stopCase) String() string {
	return fmt.Sprintf("%s forwarded %v after %v, body %v, deadline %v", c.path, c.forwarded, c.at, c.slow, c.deadline)
}

// call returns the request, with the headers of the first host if it is forwarded.
func (c stopCase) call() line.Call {
	millis := fmt.Sprint(c.deadline.Milliseconds())
	r := post(c.path, "1").With(platform.HeaderDeadline, millis)
	if !c.forwarded {
		return r
	}
	flags := map[string]string{"/safe/x": "idempotent", "/order/x": "sticky", "/chat/x": "stream"}[c.path]
	return r.With("Yuccalb-Route", flags).With("Yuccalb-Service", "desk").With("Yuccalb-Millis", millis).With("Yuccalb-Urgency", "1")
}

// send sends the request to e and reads the response. It reports how long that took.
func (c stopCase) send(cl *cluster, e *Entry, id string) (line.Response, time.Duration) {
	addr := e.settings.Front
	if c.forwarded {
		addr = e.settings.Peer
	}
	conn, err := line.Dial(addr)
	if err != nil {
		return line.Response{Err: err}, 0
	}
	defer func() { _ = conn.Close() }() // the response was read
	text := c.call().Bytes(id)
	began := time.Now()
	if c.slow > 0 {
		if _, err := io.WriteString(conn, text[:len(text)-1]); err != nil {
			return line.Response{Err: err}, 0
		}
		time.Sleep(c.slow)
		text = text[len(text)-1:]
	}
	if _, err := io.WriteString(conn, text); err != nil {
		cl.t.Logf("%v: %v", c, err) // already refused
	}
	return conn.Receive(http.MethodPost), time.Since(began)
}

// TestLateRequestsDuringDrain guards against a stopping host that takes a request late,
// directly or from another host, and cuts it without an answer at the end of its grace
// period. Operators of such systems lost requests this way.
func TestLateRequestsDuringDrain(t *testing.T) {
	var cases []stopCase
	for _, path := range []string{"/safe/x", "/order/x", "/chat/x"} {
		for _, forwarded := range []bool{false, true} {
			for at := 2500 * time.Millisecond; at < 5500*time.Millisecond; at += 700 * time.Millisecond {
				for _, d := range []time.Duration{2 * time.Second, 9 * time.Second} {
					cases = append(cases, stopCase{path: path, forwarded: forwarded, deadline: d, at: at})
				}
			}
			early := stopCase{path: path, forwarded: forwarded, deadline: 9 * time.Second, at: 200 * time.Millisecond}
			slow := early
			slow.slow = 3 * time.Second
			cases = append(cases, early, slow)
		}
	}
	cl := newCluster(t)
	cl.store.PutConfig(plattest.Config{Version: 2, Routes: longRoutes, Keys: []string{key}, Org: orgName, Rate: 1e6, Burst: 1e6, Services: []string{"desk"}})
	e := cl.host("a1")
	var slow atomic.Bool
	s := cl.server("s1", "a1", func(x *origin.Exchange) bool {
		if slow.Load() {
			select {
			case <-time.After(7 * time.Second):
			case <-x.Closed:
				return false
			}
		}
		if strings.HasPrefix(x.RequestURI, "/chat/") {
			return slowStream(2, time.Millisecond)(x)
		}
		return ok(x)
	})
	for _, c := range cases { // so that short responses are expected
		if c.slow == 0 && c.deadline == 9*time.Second {
			if a, _ := c.send(cl, e, nextID()); a.Status != http.StatusOK {
				t.Fatalf("%v: status %d, error %v", c, a.Status, a.Err)
			}
		}
	}
	slow.Store(true)
	began := time.Now()
	closed := make(chan error, 1)
	go func() { closed <- e.Close(context.Background()) }()
	var done sync.WaitGroup
	for _, c := range cases {
		done.Go(func() {
			time.Sleep(time.Until(began.Add(c.at)))
			id := nextID()
			a, took := c.send(cl, e, id)
			ran := 0
			for _, x := range s.Seen() {
				if x.ID() == id {
					ran++
				}
			}
			switch {
			case a.Status == 0 && ran == 0 && !c.forwarded: // the host no longer listens
			case a.Err != nil:
				t.Errorf("%v: ran %d times, no answer after %v: %v", c, ran, took, a.Err)
			case a.Status == http.StatusServiceUnavailable && (ran > 0 || a.Header.Get(platform.HeaderRetryAfter) == "" || !a.Close || took > c.slow+time.Second):
				t.Errorf("%v: ran %d times, refused after %v: %+v", c, ran, took, a)
			case ran == 0 && c.at+c.deadline < 5*time.Second:
				t.Errorf("%v: refused although its deadline lies within the grace period", c)
			}
		})
	}
	done.Wait()
	if err := <-closed; err != nil {
		t.Error(err)
	}
}

// TestRetryDuringDrain guards against a stopping host that sends a failed request again
// when too little time is left, and cuts it without an answer.
func TestRetryDuringDrain(t *testing.T) {
	cl := newCluster(t)
	cl.store.PutConfig(plattest.Config{Version: 2, Routes: longRoutes, Keys: []string{key}, Org: orgName, Rate: 1e6, Burst: 1e6, Services: []string{"desk"}})
	e := cl.host("a1")
	var sent atomic.Int64
	script := func(x *origin.Exchange) bool {
		if x.RequestURI == "/open/x" {
			return ok(x)
		}
		if sent.Add(1) == 2 {
			time.Sleep(3500 * time.Millisecond)
			return x.Reset()
		}
		select {
		case <-time.After(2 * time.Second):
		case <-x.Closed:
			return false
		}
		return ok(x)
	}
	cl.server("s1", "a1", script)
	cl.server("s2", "a1", script)
	for range 20 { // fills the retry budget
		wantStatus(t, cl.do(e, get("/open/x")), http.StatusOK)
	}
	c := stopCase{path: "/safe/x", deadline: 9 * time.Second}
	if a, _ := c.send(cl, e, nextID()); a.Status != http.StatusOK {
		t.Fatalf("status %d, error %v", a.Status, a.Err)
	}
	closed := make(chan error, 1)
	go func() { closed <- e.Close(context.Background()) }()
	time.Sleep(100 * time.Millisecond)
	if a, took := c.send(cl, e, nextID()); a.Status != http.StatusBadGateway {
		t.Errorf("status %d after %v, error %v, want 502", a.Status, took, a.Err)
	}
	if n := sent.Load(); n != 2 {
		t.Errorf("%d requests sent, want 2", n)
	}
	if err := <-closed; err != nil {
		t.Error(err)
	}
}

// TestAnswersAtEndOfDrain guards against a stopping host that closes connections without an
// answer, or cuts streams before their connections have to be closed. Longer streams were
// cut earlier this way in plays of planned-stops.
func TestAnswersAtEndOfDrain(t *testing.T) {
	cl := newCluster(t)
	e := cl.host("a1")
	next := make(chan struct{})
	s := cl.server("s1", "a1", func(x *origin.Exchange) bool {
		if x.RequestURI == "/order/x" {
			<-x.Closed
			return false
		}
		x.StartStream()
		x.Chunk(origin.Event(1))
		select {
		case <-next:
		case <-x.Closed:
			return false
		}
		x.Chunk(origin.Event(2))
		return x.EndStream()
	})
	stream := cl.dial(e)
	if _, err := io.WriteString(stream, post("/chat/x", "1").Bytes(nextID())); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(stream), nil)
	if err != nil {
		t.Fatal(err)
	}
	order := make(chan line.Response, 1)
	conn := cl.dial(e)
	go func() { order <- conn.Do(post("/order/x", "1"), nextID()) }()
	cl.eventually("both requests run", func() bool { return len(s.Seen()) == 2 })
	e.relay.StartDrain(time.Now(), time.Now())
	if a := <-order; a.Status != http.StatusBadGateway || a.Err != nil || !a.Close {
		t.Errorf("request in progress: %+v", a)
	}
	close(next)
	if b, err := io.ReadAll(resp.Body); err != nil || string(b) != origin.Events(1, 2) {
		t.Errorf("stream in progress: %q, %v", b, err)
	}
	if a := cl.do(e, post("/order/x", "1")); a.Status != http.StatusServiceUnavailable || !a.Close {
		t.Errorf("request at the end: %+v", a)
	}
}
