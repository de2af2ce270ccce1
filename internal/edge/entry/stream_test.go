package entry

import (
	"bufio"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/fake/origin"
	"github.com/yuccalb/yuccalb/platform"
)

// TestStreamForwardedImmediately guards against events that are held back until
// later ones arrive.
func TestStreamForwardedImmediately(t *testing.T) {
	cl := newCluster(t)
	e := cl.host("a1")
	next := make(chan bool)
	cl.server("s1", "a1", func(x *origin.Exchange) bool {
		x.StartStream()
		for i := 1; i <= 3; i++ {
			x.Chunk(origin.Event(i))
			<-next
		}
		return x.EndStream()
	})
	conn := cl.dial(e)
	if _, err := io.WriteString(conn, post("/chat/x", "1").Bytes(nextID())); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	for i := 1; i <= 3; i++ {
		buf := make([]byte, len(origin.Event(i)))
		if _, err := io.ReadFull(resp.Body, buf); err != nil || string(buf) != origin.Event(i) {
			t.Fatalf("event %d: %q, %v", i, buf, err)
		}
		next <- true // lets the server send the next event
	}
	if rest, err := io.ReadAll(resp.Body); err != nil || len(rest) > 0 {
		t.Errorf("rest %q, %v", rest, err)
	}
}

// TestStreamTruncated guards against a truncated stream that looks complete, and
// against a second run of one that is not resumable.
func TestStreamTruncated(t *testing.T) {
	for name, end := range map[string]func(*origin.Exchange) bool{
		"closed":          func(*origin.Exchange) bool { return false },
		"reset":           func(x *origin.Exchange) bool { return x.Reset() },
		"within an event": func(x *origin.Exchange) bool { x.Chunk("id: 4\nda"); return false },
		"bad chunk":       func(x *origin.Exchange) bool { x.Send("zz\r\n"); return true },
	} {
		t.Run(name, func(t *testing.T) {
			cl := newCluster(t)
			e := cl.host("a1")
			script := func(x *origin.Exchange) bool {
				x.StartStream()
				x.Chunk(origin.Events(1, 3))
				time.Sleep(30 * time.Millisecond)
				return end(x)
			}
			one := cl.server("s1", "a1", script)
			two := cl.server("s2", "a1", script)
			a := cl.do(e, post("/chat/x", "1"))
			wantStatus(t, a, http.StatusOK)
			if a.Err == nil {
				t.Errorf("the truncated stream looks complete: %q", a.Body)
			}
			if a.Body != origin.Events(1, 3) {
				t.Errorf("got %q", a.Body)
			}
			if n := len(one.Seen()) + len(two.Seen()); n != 1 {
				t.Errorf("%d attempts, want 1", n)
			}
		})
	}
}

// TestUnframedStream guards against a response without a length that is taken for
// complete although its connection was reset.
func TestUnframedStream(t *testing.T) {
	cl := newCluster(t)
	e := cl.host("a1")
	var reset atomic.Bool
	cl.server("s1", "a1", func(x *origin.Exchange) bool {
		x.StartUnframed("HTTP/1.1")
		x.Send(origin.Events(1, 2))
		time.Sleep(50 * time.Millisecond)
		if reset.Load() {
			return x.Reset()
		}
		return false
	})
	if a := cl.do(e, post("/chat/x", "1")); a.Err != nil || a.Body != origin.Events(1, 2) {
		t.Errorf("closed: %q, %v", a.Body, a.Err)
	}
	reset.Store(true)
	if a := cl.do(e, post("/chat/x", "1")); a.Err == nil {
		t.Errorf("reset: looks complete: %q", a.Body)
	}
}

// TestStreamResumed guards against a stream that fails with its server although
// another one can resume it, against duplicate events, and against more than one
// further attempt.
func TestStreamResumed(t *testing.T) {
	cl := newCluster(t)
	e := cl.host("a1")
	script := func(x *origin.Exchange) bool {
		if x.Method == http.MethodGet {
			return ok(x)
		}
		x.StartStream()
		if x.Header.Get(platform.HeaderLastEventID) == "3" {
			x.Chunk(origin.Events(4, 6))
			return x.EndStream()
		}
		x.Chunk(origin.Events(1, 3) + "id: 4\nda")
		time.Sleep(30 * time.Millisecond)
		return false
	}
	one := cl.server("s1", "a1", script)
	two := cl.server("s2", "a1", script)
	for range 20 { // fills the retry budget
		cl.do(e, get("/open/x"))
	}
	before := len(one.Seen()) + len(two.Seen())
	a := cl.do(e, post("/ask/x", "1"))
	if a.Status != http.StatusOK || a.Err != nil || a.Body != origin.Events(1, 6) {
		t.Errorf("status %d, error %v, got %q", a.Status, a.Err, a.Body)
	}
	if n := len(one.Seen()) + len(two.Seen()) - before; n != 2 {
		t.Errorf("%d attempts, want 2", n)
	}
}

// TestNoSignatureOnRefusal guards against a refusal that has the signature of a
// server whose stream failed before its first event. Load tests took such
// refusals for mixed-up responses (Hüttenlauf, trouble-3 and hunt-7dfd-3).
func TestNoSignatureOnRefusal(t *testing.T) {
	cl := newCluster(t)
	e := cl.host("a1")
	cl.server("s1", "a1", func(x *origin.Exchange) bool {
		x.StartStream()
		time.Sleep(30 * time.Millisecond)
		return x.Reset()
	})
	a := cl.do(e, post("/chat/x", "1"))
	wantStatus(t, a, http.StatusBadGateway)
	if signature := a.Header.Get(platform.HeaderSignature); signature != "" {
		t.Errorf("the refusal has the signature %q", signature)
	}
}

// TestCallerDisconnects guards against a server that continues a request after its
// caller has disconnected, in the local region and in a remote one.
func TestCallerDisconnects(t *testing.T) {
	for _, path := range []string{"/chat/x", "/home-b/x"} {
		t.Run(path, func(t *testing.T) {
			cl := newCluster(t)
			a := cl.host("a1")
			cl.host("b1")
			left := make(chan time.Time, 2)
			script := func(x *origin.Exchange) bool {
				<-x.Closed
				left <- time.Now()
				return false
			}
			one := cl.server("s1", "a1", script)
			two := cl.server("s2", "b1", script)
			cl.eventually("state report of region b", func() bool { return len(a.fleet.RemoteRegions("desk")) == 1 })
			conn := cl.dial(a)
			if _, err := io.WriteString(conn, post(path, "1").Bytes(nextID())); err != nil {
				t.Fatal(err)
			}
			cl.eventually("request at the server", func() bool { return len(one.Seen())+len(two.Seen()) == 1 })
			closed := time.Now()
			_ = conn.Close()
			select {
			case at := <-left:
				if d := at.Sub(closed); d > 400*time.Millisecond {
					t.Errorf("the connection to the server was closed after %v", d)
				}
			case <-time.After(readyWait):
				t.Fatal("the connection to the server was not closed")
			}
		})
	}
}
