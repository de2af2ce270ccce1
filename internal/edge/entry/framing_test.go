package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/fake/line"
	"github.com/yuccalb/yuccalb/internal/fake/origin"
	"github.com/yuccalb/yuccalb/platform"
)

// unframed returns the script of a server that sends body with neither a length nor
// chunks and closes the connection.
func unframed(version, body string) origin.Script {
	return func(x *origin.Exchange) bool {
		x.StartUnframed(version)
		x.Send(body)
		time.Sleep(30 * time.Millisecond)
		return false
	}
}

// large is longer than the responses that are read completely before any of them is
// forwarded.
var large = origin.Events(1, 20000)

// TestUnframedResponse guards against a response that its server may have broken off and
// that its caller takes for complete: it ends with its connection, and is passed on with
// a length or a last chunk. In an incident at the Comptoir, streams that had been broken
// off reached their callers like this.
func TestUnframedResponse(t *testing.T) {
	for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
		t.Run(version, func(t *testing.T) {
			cl := newCluster(t)
			a := cl.host("a1")
			cl.host("b1")
			echo := func(x *origin.Exchange) bool { return unframed(version, string(x.Body))(x) }
			cl.server("s1", "a1", echo)
			cl.server("s2", "b1", echo)
			cl.eventually("state report of region b", func() bool { return len(a.fleet.RemoteRegions("desk")) == 1 })
			for _, path := range []string{"/order/x", "/chat/x", "/order-b/x", "/chat-b/x"} {
				for name, body := range map[string]string{"small": origin.Events(1, 2), "empty": "", "large": origin.Events(1, 20000)} {
					resp := cl.do(a, post(path, body))
					if resp.Status != http.StatusOK || resp.Err != nil || resp.Body != body {
						t.Errorf("%s, %s: status %d, %d bytes, error %v, want %d bytes", path, name, resp.Status, len(resp.Body), resp.Err, len(body))
					}
					if resp.Framed || !resp.Close {
						t.Errorf("%s, %s: the response has a length or chunks", path, name)
					}
				}
			}
		})
	}
}

// TestUnframedError guards against an error response of unknown end that is passed on as
// complete.
func TestUnframedError(t *testing.T) {
	cl := newCluster(t)
	e := cl.host("a1")
	cl.server("s1", "a1", func(x *origin.Exchange) bool {
		x.Send("HTTP/1.1 400 X\r\n" + platform.HeaderAttemptID + ": " + x.ID() + "\r\n\r\nnot possi")
		return false
	})
	resp := cl.do(e, post("/order/x", "1"))
	wantStatus(t, resp, http.StatusBadRequest)
	if resp.Framed || resp.Err != nil || resp.Body != "not possi" {
		t.Errorf("framed %v, error %v, body %q", resp.Framed, resp.Err, resp.Body)
	}
}

// TestUnframedResponseReset guards against a response that is broken off after its start
// was forwarded, and that ends for its caller like a complete one: if neither a length nor
// chunks mark the end, only a reset shows it.
func TestUnframedResponseReset(t *testing.T) {
	chunked := func(x *origin.Exchange, body string) {
		x.StartStream()
		x.Chunk(body)
	}
	withoutFraming := func(x *origin.Exchange, body string) {
		x.StartUnframed("HTTP/1.1")
		x.Send(body)
	}
	for name, c := range map[string]struct {
		call  line.Call
		start func(x *origin.Exchange, body string)
		end   func(*origin.Exchange) bool
		sent  string
		body  string // that must arrive before the error
	}{
		"large response":             {post("/order/x", "1"), withoutFraming, (*origin.Exchange).Reset, large, ""},
		"stream":                     {post("/chat/x", "1"), withoutFraming, (*origin.Exchange).Reset, origin.Events(1, 3), origin.Events(1, 3)},
		"stream to HTTP/1.0":         {http10(post("/chat/x", "1")), chunked, closeConn, origin.Events(1, 3), origin.Events(1, 3)},
		"large response to HTTP/1.0": {http10(post("/order/x", "1")), chunked, closeConn, large, large},
	} {
		t.Run(name, func(t *testing.T) {
			cl := newCluster(t)
			e := cl.host("a1")
			forwarded := make(chan struct{}) // closed when the start has reached the caller
			cl.server("s1", "a1", func(x *origin.Exchange) bool {
				c.start(x, c.sent)
				<-forwarded
				return c.end(x)
			})
			release := sync.OnceFunc(func() { close(forwarded) })
			t.Cleanup(release) // the server waits for its script
			conn := cl.dial(e)
			if _, err := io.WriteString(conn, c.call.Bytes(nextID())); err != nil {
				t.Fatal(err)
			}
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			release()
			if err != nil || resp.StatusCode != http.StatusOK {
				t.Fatalf("response %+v, %v", resp, err)
			}
			body, err := io.ReadAll(resp.Body)
			if err == nil {
				t.Errorf("the response looks complete: %d bytes", len(body))
			}
			if !strings.HasPrefix(string(body), c.body) {
				t.Errorf("got %d bytes before the error, want %d", len(body), len(c.body))
			}
		})
	}
}

// closeConn ends a response by an orderly close of its connection.
func closeConn(*origin.Exchange) bool { return false }

func http10(c line.Call) line.Call {
	c.HTTP10 = true
	return c
}

// framings are the ways in which a server sends a stream.
var framings = map[string]origin.Script{
	"length": func(x *origin.Exchange) bool {
		text := streamText(x)
		x.Send(fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Length: %d\r\n\r\n%s", platform.HeaderAttemptID, x.ID(), platform.HeaderSignature, len(text), text))
		return true
	},
	"chunked": func(x *origin.Exchange) bool {
		x.StartStream()
		x.Chunk(streamText(x))
		return x.EndStream()
	},
	"close":    func(x *origin.Exchange) bool { return unframed("HTTP/1.1", streamText(x))(x) },
	"HTTP/1.0": func(x *origin.Exchange) bool { return unframed("HTTP/1.0", streamText(x))(x) },
}

// streamText returns what the servers of TestStreamEndsWithinEvent send: the body of the
// request or, if the stream is resumed, the events after the last one up to the third.
func streamText(x *origin.Exchange) string {
	switch x.Header.Get(platform.HeaderLastEventID) {
	case "":
		return string(x.Body)
	case "1":
		return origin.Events(2, 3)
	default:
		return origin.Event(3)
	}
}

// TestStreamEndsWithinEvent guards against a stream that ends within an event, also in
// its first one, and is passed on as complete, whatever its framing says.
func TestStreamEndsWithinEvent(t *testing.T) {
	for name, script := range framings {
		t.Run(name, func(t *testing.T) {
			cl := newCluster(t)
			e := cl.host("a1")
			cl.server("s1", "a1", script)
			cl.server("s2", "a1", script)
			for _, rest := range []string{"id: 9", "id: 9\n", "id: 9\ndata: par", "id: 9\r\ndata: part 9\r\n"} {
				if resp := cl.do(e, post("/chat/x", rest)); resp.Status != http.StatusBadGateway {
					t.Errorf("%q: status %d, body %q, error %v", rest, resp.Status, resp.Body, resp.Err)
				}
				resp := cl.do(e, post("/chat/x", origin.Events(1, 2)+rest))
				if resp.Status != http.StatusOK || resp.Err == nil || resp.Body != origin.Events(1, 2) {
					t.Errorf("two events and %q: status %d, body %q, error %v", rest, resp.Status, resp.Body, resp.Err)
				}
				for range 10 { // a server that fails three times in a row gets no requests
					cl.do(e, post("/chat/x", origin.Event(1)))
				}
			}
		})
	}
}

// TestStreamEndsWithinEventResumed guards against a stream that ends within an event and
// is not resumed although its route allows it.
func TestStreamEndsWithinEventResumed(t *testing.T) {
	for name, script := range framings {
		t.Run(name, func(t *testing.T) {
			cl := newCluster(t)
			e := cl.host("a1")
			first := func(x *origin.Exchange) bool {
				if x.Header.Get(platform.HeaderLastEventID) != "" {
					return framings["chunked"](x)
				}
				return script(x)
			}
			cl.server("s1", "a1", first)
			cl.server("s2", "a1", first)
			for range 20 { // fills the retry budget
				cl.do(e, post("/ask/x", origin.Event(1)))
			}
			resp := cl.do(e, post("/ask/x", origin.Events(1, 2)+"id: 3\ndata: pa"))
			wantStatus(t, resp, http.StatusOK)
			if resp.Err != nil || resp.Body != origin.Events(1, 3) {
				t.Errorf("error %v, body %q", resp.Err, resp.Body)
			}
		})
	}
}

// TestStreamResumedUnframed guards against a stream in chunks that is resumed by a server
// whose response has neither a length nor chunks, and whose end becomes the last chunk.
func TestStreamResumedUnframed(t *testing.T) {
	cl := newCluster(t)
	e := cl.host("a1")
	script := func(x *origin.Exchange) bool {
		if x.Method == http.MethodGet {
			return ok(x)
		}
		if x.Header.Get(platform.HeaderLastEventID) != "" {
			return unframed("HTTP/1.1", origin.Events(3, 4))(x)
		}
		x.StartStream()
		x.Chunk(origin.Events(1, 2))
		time.Sleep(30 * time.Millisecond)
		return x.Reset()
	}
	cl.server("s1", "a1", script)
	cl.server("s2", "a1", script)
	for range 20 { // fills the retry budget
		cl.do(e, get("/open/x"))
	}
	resp := cl.do(e, post("/ask/x", "1"))
	wantStatus(t, resp, http.StatusOK)
	if resp.Err == nil || resp.Body != origin.Events(1, 4) {
		t.Errorf("error %v, body %q", resp.Err, resp.Body)
	}
}

// TestOtherMediaOnStreamRoute guards against a complete response of a stream route that is
// cut because it holds no events.
func TestOtherMediaOnStreamRoute(t *testing.T) {
	cl := newCluster(t)
	e := cl.host("a1")
	cl.server("s1", "a1", func(x *origin.Exchange) bool {
		return x.Reply(http.StatusOK, `{"text":"part 1"}`, "Content-Type: application/json")
	})
	resp := cl.do(e, post("/chat/x", "1"))
	wantStatus(t, resp, http.StatusOK)
	if resp.Err != nil || resp.Body != `{"text":"part 1"}` {
		t.Errorf("error %v, body %q", resp.Err, resp.Body)
	}
}

// TestStreamLines guards against streams of correct servers that are cut or held back
// because of their line endings or comments.
func TestStreamLines(t *testing.T) {
	for name, script := range framings {
		t.Run(name, func(t *testing.T) {
			cl := newCluster(t)
			e := cl.host("a1")
			cl.server("s1", "a1", script)
			for _, text := range []string{
				"id: 1\rdata: a\r\rid: 2\rdata: b\r\r",
				"id: 1\r\ndata: a\r\n\r\n: idle\r\n",
				"id: 1\ndata: a\n\r\n: idle\n\n\n",
			} {
				resp := cl.do(e, post("/chat/x", text))
				if resp.Status != http.StatusOK || resp.Err != nil || resp.Body != text {
					t.Errorf("%q: status %d, body %q, error %v", text, resp.Status, resp.Body, resp.Err)
				}
			}
		})
	}
}

// TestUnframedCutByHost guards against a response that its host breaks off, because its caller has not read it in
// time or the host stops, and that ends for its caller like a complete one.
func TestUnframedCutByHost(t *testing.T) {
	text := strings.Repeat(origin.Event(1), 1<<10)
	for name, c := range map[string]struct {
		call   line.Call
		script origin.Script
		stop   bool
	}{
		"events":               {post("/chat/x", "1"), func(x *origin.Exchange) bool { return x.StartUnframed("HTTP/1.1") }, false},
		"body":                 {post("/order/x", "1"), func(x *origin.Exchange) bool { return x.StartUnframed("HTTP/1.1") }, false},
		"events to HTTP/1.0":   {http10(post("/chat/x", "1")), func(x *origin.Exchange) bool { return x.StartStream() }, false},
		"events, host stops":   {post("/chat/x", "1"), func(x *origin.Exchange) bool { return x.StartUnframed("HTTP/1.1") }, true},
		"body, host stops":     {post("/order/x", "1"), func(x *origin.Exchange) bool { return x.StartUnframed("HTTP/1.1") }, true},
		"HTTP/1.0, host stops": {http10(post("/chat/x", "1")), func(x *origin.Exchange) bool { return x.StartStream() }, true},
	} {
		t.Run(name, func(t *testing.T) {
			cl := newCluster(t)
			e := cl.host("a1")
			cl.server("s1", "a1", func(x *origin.Exchange) bool {
				send := x.Send
				if c.script(x); strings.Contains(name, "HTTP/1.0") {
					send = x.Chunk
				}
				for send(text) {
				}
				return false
			})
			conn := cl.dial(e)
			if _, err := io.WriteString(conn, c.call.With(platform.HeaderDeadline, "1500").Bytes(nextID())); err != nil {
				t.Fatal(err)
			}
			br := bufio.NewReader(conn)
			resp, err := http.ReadResponse(br, nil)
			if err != nil || resp.StatusCode != http.StatusOK {
				t.Fatalf("response %+v, %v", resp, err)
			}
			if c.stop {
				ctx, cancel := context.WithCancel(context.Background())
				cancel() // ends the grace time
				_ = e.Close(ctx)
			}
			cl.eventually("the request has ended", func() bool { return e.relay.Running() == 0 })
			if n, err := io.Copy(io.Discard, resp.Body); err == nil {
				t.Errorf("the response looks complete: %d bytes", n)
			}
		})
	}
}

// TestUnframedResponseOfEndedServer guards against a response that ends with its connection and that looks
// complete although the process of its server has ended: the kernel closes the connections of a process in an
// orderly way.
func TestUnframedResponseOfEndedServer(t *testing.T) {
	for name, c := range map[string]struct {
		path, part, rest string
		status           int
		whole            bool // another server serves the request, or the rest of it
	}{
		"stream":                     {"/chat/x", origin.Events(1, 2), "", http.StatusOK, false},
		"stream without events":      {"/chat/x", "", "", http.StatusBadGateway, false},
		"stream in another region":   {"/chat-b/x", origin.Events(1, 2), "", http.StatusOK, false},
		"resumable stream":           {"/ask/x", origin.Events(1, 2), origin.Events(3, 4), http.StatusOK, true},
		"order":                      {"/order/x", "some of", "", http.StatusBadGateway, false},
		"order without a body":       {"/order/x", "", "", http.StatusBadGateway, false},
		"order in another region":    {"/order-b/x", "some of", "", http.StatusBadGateway, false},
		"large response":             {"/order/x", large, "", http.StatusOK, false},
		"request that may run twice": {"/safe/x", "some of", "all", http.StatusOK, true},
	} {
		t.Run(name, func(t *testing.T) {
			cl := newCluster(t)
			a := cl.host("a1")
			cl.host("b1")
			var servers []*origin.Server
			ended := false
			var mu sync.Mutex
			for i, site := range []string{"a1", "a1", "b1"} {
				servers = append(servers, cl.server(fmt.Sprint("s", i), site, func(x *origin.Exchange) bool {
					if x.Method == http.MethodGet {
						return ok(x)
					}
					mu.Lock()
					first := !ended
					ended = true
					mu.Unlock()
					if !first {
						return x.Reply(http.StatusOK, c.rest, "Content-Type: text/event-stream")
					}
					x.StartUnframed("HTTP/1.1")
					x.Send(c.part)
					time.Sleep(30 * time.Millisecond)
					servers[i].Crash()
					return false
				}))
			}
			cl.eventually("state report of region b", func() bool { return len(a.fleet.RemoteRegions("desk")) == 1 })
			for range 20 { // fills the retry budget
				cl.do(a, get("/open/x"))
			}
			resp := cl.do(a, post(c.path, "1"))
			wantStatus(t, resp, c.status)
			want := c.rest
			if strings.HasPrefix(c.path, "/ask/") {
				want = c.part + c.rest
			}
			if c.status == http.StatusOK && (resp.Err == nil) != c.whole || c.whole && resp.Body != want {
				t.Errorf("%d bytes, error %v, want all of it %v", len(resp.Body), resp.Err, c.whole)
			}
		})
	}
}
