package engine_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccalb/yuccalb/internal/adapt/engine"
	"github.com/yuccalb/yuccalb/internal/core/model"
	"github.com/yuccalb/yuccalb/internal/fake/server"
)

var (
	addr = netip.MustParseAddrPort("127.0.0.1:9001")
	body = []byte(`{"messages":[{"role":"user","content":"how long is a sledge"}],"max_tokens":8,"stream":true}`)
)

// bubble runs f in a synctest bubble with a client and a fake engine on an
// in-memory network.
func bubble(t *testing.T, cfg server.EngineConfig, f func(t *testing.T, c *engine.Client, e *server.Engine)) {
	synctest.Test(t, func(t *testing.T) {
		n := server.NewNetwork()
		e := server.NewEngine(cfg)
		n.Serve(addr, e)
		c := engine.New(engine.Options{Dial: n.Dial})
		f(t, c, e)
		c.Close()
		e.Close()
		n.Close()
	})
}

// call returns a request with timeouts that an engine without faults meets.
func call(id string) engine.Call {
	return engine.Call{Addr: addr, ID: id, Body: body, FirstTimeout: 2 * time.Second, EventTimeout: time.Second}
}

// read sends a request and returns the text of its stream.
func read(ctx context.Context, c *engine.Client, call engine.Call) (string, error) {
	s, err := c.Chat(ctx, call)
	if err != nil {
		return "", err
	}
	defer s.Close()
	var text strings.Builder
	for {
		ev, err := s.Next()
		if errors.Is(err, io.EOF) {
			return text.String(), nil
		}
		if err != nil {
			return text.String(), err
		}
		var chunk struct {
			Choices []struct {
				Delta struct{ Content string }
			}
		}
		if json.Unmarshal(ev.Data, &chunk) == nil && len(chunk.Choices) > 0 {
			text.WriteString(chunk.Choices[0].Delta.Content)
		}
	}
}

// want returns the expected text of the response to body from a token position on.
func want(from int) string {
	prompt, _ := server.Prompt(body)
	return server.Text(prompt, from, 8-from)
}

// TestChat guards against lost tokens, connections that are not reused after a
// complete response, and headers that are not on the list of allowed ones.
func TestChat(t *testing.T) {
	bubble(t, server.EngineConfig{}, func(t *testing.T, c *engine.Client, e *server.Engine) {
		for _, id := range []string{"a", "b"} {
			cl := call(id)
			cl.Priority, cl.Trace = 3, "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
			if text, err := read(t.Context(), c, cl); err != nil || text != want(0) {
				t.Fatalf("text %q, error %v, want %q", text, err, want(0))
			}
		}
		cl := call("c")
		cl.Resume = 5
		if text, err := read(t.Context(), c, cl); err != nil || text != want(5) {
			t.Errorf("resumed: text %q, error %v, want %q", text, err, want(5))
		}
		got := e.Requests()
		if got[0].Conn != got[1].Conn {
			t.Errorf("connections %s and %s, want one", got[0].Conn, got[1].Conn)
		}
		allowed := []string{"Accept", "Content-Length", "Content-Type", "Traceparent", "User-Agent", "X-Priority", "X-Request-Id", "X-Resume"}
		for _, r := range got {
			for name := range r.Header {
				if !slices.Contains(allowed, name) {
					t.Errorf("header %s was sent", name)
				}
			}
		}
	})
}

// TestFaults guards against failures that are not detected or detected late, and
// against reporting a request as not run although the server may have run it.
func TestFaults(t *testing.T) {
	const slow = server.Duration(time.Minute)
	for _, tc := range []struct {
		name  string
		fault server.Fault
		kind  engine.Kind
		stage engine.Stage
		after time.Duration
	}{
		{"down", server.Fault{Down: true}, engine.KindStatus, engine.StageAnswered, 0},
		{"full", server.Fault{Full: true}, engine.KindStatus, engine.StageRefused, 0},
		{"closes connections", server.Fault{Refuse: true}, engine.KindBroken, engine.StageWritten, 0},
		{"drops after header", server.Fault{Drop: server.DropHead}, engine.KindBroken, engine.StageWritten, 0},
		{"drops after body", server.Fault{Drop: server.DropBody}, engine.KindBroken, engine.StageWritten, 0},
		{"drops after run", server.Fault{Drop: server.DropRun}, engine.KindBroken, engine.StageWritten, 0},
		{"drops after status", server.Fault{Drop: server.DropStatus}, engine.KindTruncated, engine.StageAnswered, 0},
		{"drops in stream", server.Fault{Drop: server.DropHalf}, engine.KindTruncated, engine.StageAnswered, 0},
		{"truncates", server.Fault{Truncate: 9}, engine.KindTruncated, engine.StageAnswered, 0},
		{"stalls at start", server.Fault{Stall: 1}, engine.KindStalled, engine.StageAnswered, 2 * time.Second},
		{"stalls in stream", server.Fault{Stall: 4}, engine.KindStalled, engine.StageAnswered, time.Second},
		{"slow", server.Fault{Slow: slow}, engine.KindStalled, engine.StageWritten, 2 * time.Second},
		{"mismatch", server.Fault{Mismatch: true}, engine.KindMismatch, engine.StageWritten, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			bubble(t, server.EngineConfig{Prefill: 1 << 40}, func(t *testing.T, c *engine.Client, e *server.Engine) {
				e.SetFault(tc.fault)
				start := time.Now()
				_, err := read(t.Context(), c, call("a"))
				got := engine.AsError(err)
				if got == nil || got.Kind != tc.kind || got.Stage != tc.stage {
					t.Fatalf("error %v, want kind %s, stage %s", err, tc.kind, tc.stage)
				}
				if d := time.Since(start); d.Round(time.Millisecond) != tc.after {
					t.Errorf("detected after %v, want %v", d, tc.after)
				}
				if got.NotRun() && len(e.Runs()) > 0 {
					t.Error("request ran and is reported as not run")
				}
				if got.Run() != model.RunUnknown {
					t.Errorf("run %q for a request that was written", got.Run())
				}
				e.SetFault(server.Fault{})
				if text, err := read(t.Context(), c, call("b")); err != nil || text != want(0) {
					t.Errorf("next request: text %q, error %v", text, err)
				}
				if r := e.Requests(); r[0].Conn == r[1].Conn && tc.kind != engine.KindStatus {
					t.Error("connection was reused after the failure")
				}
			})
		})
	}
}

// TestUnwritten guards against reporting a call as possibly run although there was
// no connection or the call was invalid.
func TestUnwritten(t *testing.T) {
	bubble(t, server.EngineConfig{}, func(t *testing.T, c *engine.Client, e *server.Engine) {
		unreachable := call("a")
		unreachable.Addr = netip.MustParseAddrPort("127.0.0.1:9")
		for name, cl := range map[string]engine.Call{"no server": unreachable, "key as id": call("yk_ABC"), "bad id": call("a\r\nb")} {
			_, err := c.Chat(t.Context(), cl)
			if got := engine.AsError(err); got == nil || got.Run() != model.RunNo {
				t.Errorf("%s: error %v, want one that reports not run", name, err)
			}
		}
		if n := len(e.Requests()); n != 0 {
			t.Errorf("%d requests were sent", n)
		}
	})
}

// TestStallClosesPool guards against calls on pooled connections that stall one
// after the other: the first stall must close all idle connections to the address.
func TestStallClosesPool(t *testing.T) {
	bubble(t, server.EngineConfig{First: 10 * time.Millisecond}, func(t *testing.T, c *engine.Client, e *server.Engine) {
		done := make(chan error)
		for _, id := range []string{"a", "b", "c"} {
			go func() {
				_, err := read(t.Context(), c, call(id))
				done <- err
			}()
		}
		for range 3 {
			if err := <-done; err != nil {
				t.Fatal(err)
			}
		}
		e.SetFault(server.Fault{Freeze: true})
		if _, err := read(t.Context(), c, call("d")); engine.AsError(err) == nil || engine.AsError(err).Kind != engine.KindStalled {
			t.Fatalf("error %v, want a stall", err)
		}
		if _, err := read(t.Context(), c, call("e")); err != nil {
			t.Errorf("request after the stall: %v", err)
		}
	})
}

// TestCancel guards against requests that keep running on the engine after they
// were cancelled, and against reusing the connection of a cancelled call.
func TestCancel(t *testing.T) {
	for _, by := range []string{"context", "close", "delete"} {
		t.Run(by, func(t *testing.T) {
			bubble(t, server.EngineConfig{Token: 100 * time.Millisecond}, func(t *testing.T, c *engine.Client, e *server.Engine) {
				ctx, cancel := context.WithCancel(t.Context())
				s, err := c.Chat(ctx, call("a"))
				if err != nil {
					t.Fatal(err)
				}
				if _, err := s.Next(); err != nil {
					t.Fatal(err)
				}
				switch by {
				case "context":
					cancel()
					if _, err := s.Next(); engine.AsError(err).Kind != engine.KindCancelled {
						t.Errorf("error %v, want cancelled", err)
					}
				case "delete":
					if err := c.Cancel(ctx, addr, "a"); err != nil {
						t.Error(err)
					}
				}
				s.Close()
				cancel()
				time.Sleep(200 * time.Millisecond)
				if e.Running() != 0 {
					t.Error("request still runs")
				}
				if _, err := read(t.Context(), c, call("b")); err != nil {
					t.Error(err)
				}
				r := e.Requests()
				if r[0].Conn == r[len(r)-1].Conn {
					t.Error("connection of a cancelled call was reused")
				}
			})
		})
	}
}

// TestOrder guards against orders that are written although their check failed,
// sent twice or sent on a pooled connection, and against a rejected fencing token
// that Stale does not report.
func TestOrder(t *testing.T) {
	bubble(t, server.EngineConfig{Fenced: true}, func(t *testing.T, c *engine.Client, e *server.Engine) {
		send := func(token uint64, check func() error) *engine.Error {
			o := engine.Order{Order: "load", Model: "drafter", Token: token}
			return engine.AsError(c.Order(t.Context(), addr, o, time.Second, check))
		}
		lost := errors.New("lease lost")
		if err := send(1, func() error { return lost }); err == nil || err.Run() != model.RunNo || !errors.Is(err, lost) {
			t.Errorf("error %v, want %v and not run", err, lost)
		}
		if n := len(e.Requests()); n != 0 {
			t.Errorf("%d orders were written after the check failed", n)
		}
		if err := send(2, nil); err != nil {
			t.Error(err)
		}
		if err := send(1, nil); err == nil || !err.Stale() {
			t.Errorf("error %v, want stale", err)
		}
		e.SetFault(server.Fault{Drop: server.DropRun})
		if err := send(3, nil); err == nil || err.NotRun() {
			t.Errorf("error %v, want one that does not report not run", err)
		}
		if n := len(e.Orders()); n != 2 {
			t.Errorf("%d orders accepted, want 2", n)
		}
	})
}

// TestReports guards against load reports and cache events that are decoded
// incorrectly.
func TestReports(t *testing.T) {
	cfg := server.EngineConfig{Limit: 5, LoadLag: time.Second, CacheLag: time.Second, CacheGap: 2}
	bubble(t, cfg, func(t *testing.T, c *engine.Client, e *server.Engine) {
		cl := call("a")
		cl.Body = []byte(`{"messages":[{"role":"user","content":"` + strings.Repeat("guide ", 200) + `"}],"stream":true}`)
		if _, err := read(t.Context(), c, cl); err != nil {
			t.Fatal(err)
		}
		if p, err := c.Cache(t.Context(), addr, 0); err != nil || len(p.Events) != 0 {
			t.Errorf("events %v before the cache lag has passed, error %v", p.Events, err)
		}
		time.Sleep(2 * time.Second)
		prompt, _ := server.Prompt(cl.Body)
		digests := server.Digests(prompt)
		p, err := c.Cache(t.Context(), addr, 0)
		if err != nil || len(p.Events) != (len(digests)+1)/2 || !slices.Contains(digests, p.Events[0].Digest) {
			t.Errorf("events %v, error %v, want every other of %v", p.Events, err, digests)
		}
		e.SetFault(server.Fault{Leaving: true})
		l, err := c.Load(t.Context(), addr)
		if err != nil || l.Limit != 5 || !l.Leaving || time.Since(l.At) != time.Second {
			t.Errorf("load %+v, error %v", l, err)
		}
	})
}
