package peers

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccalb/yuccalb/internal/fake/pipes"
	"github.com/yuccalb/yuccalb/internal/wire/peerpb"
)

// start runs a client and a server over in-memory connections.
func start(t *testing.T, h Handler, opts Options) (*pipes.Net, *Client, *Server) {
	t.Helper()
	f := pipes.New()
	opts.Dialer = f.Dial
	srv, err := Serve(f, h, ServerOptions{})
	if err != nil {
		t.Fatal(err)
	}
	c := NewClient(opts)
	t.Cleanup(func() {
		c.Close()
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		if err := srv.Close(ctx); err != nil {
			t.Error(err)
		}
	})
	return f, c, srv
}

// parallel makes n concurrent calls, which opens n connections.
func parallel(t *testing.T, c *Client, n int) {
	t.Helper()
	var wg sync.WaitGroup
	for range n {
		wg.Go(func() {
			if _, err := c.Beat(t.Context(), fakeAddr, &peerpb.BeatRequest{}); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
}

// slowBeat responds after 100 ms.
var slowBeat = beatFunc(func(_ context.Context, req *peerpb.BeatRequest) (*peerpb.BeatReply, error) {
	time.Sleep(100 * time.Millisecond)
	return &peerpb.BeatReply{Version: req.Version}, nil
})

// Guards against calls that time out on one stalled connection of the pool after
// the other although a new connection would work.
func TestStalledConnectionsClosedTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, c, _ := start(t, Handler{Beat: slowBeat}, Options{})
		parallel(t, c, 5)
		if n := f.Open(5); n != 5 {
			t.Fatalf("%d connections open before the stall, want 5", n)
		}
		f.Stall()
		_, err := c.Beat(t.Context(), fakeAddr, &peerpb.BeatRequest{})
		var ce *CallError
		if !errors.As(err, &ce) || !ce.Stalled || !ce.Sent || ce.Elapsed != time.Second {
			t.Fatalf("call on a stalled connection: %+v, want a stall after 1s", err)
		}
		if !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("error %v does not wrap DeadlineExceeded", err)
		}
		synctest.Wait()
		if n := f.Open(5); n != 0 {
			t.Errorf("%d stalled connections still open, want 0", n)
		}
		if n := f.Dials.Load(); n != 6 {
			t.Errorf("%d dials, want 6: a new connection is tried at once", n)
		}
		if _, err := c.Beat(t.Context(), fakeAddr, &peerpb.BeatRequest{}); err != nil {
			t.Errorf("call after the stall: %v", err)
		}
		if n := f.Dials.Load(); n != 6 {
			t.Errorf("%d dials after the next call, want 6: it uses the new connection", n)
		}
	})
}

// Guards against a dial for every call to a host that is unresponsive or refuses
// connections.
func TestBackoff(t *testing.T) {
	for _, tc := range []struct {
		name string
		set  func(*pipes.Net)
	}{
		{"refused", func(f *pipes.Net) { f.Refuse.Store(true) }},
		{"unresponsive", func(f *pipes.Net) { f.Silent.Store(true) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, c, _ := start(t, Handler{Beat: echoBeat}, Options{BeatTimeout: 300 * time.Millisecond})
				tc.set(f)
				for range 1000 {
					if _, err := c.Beat(t.Context(), fakeAddr, &peerpb.BeatRequest{}); err == nil {
						t.Fatal("call succeeded")
					}
					time.Sleep(20 * time.Millisecond)
				}
				// 10 to 20 dials at the full backoff of 1 to 2 s, and 8 while it grows.
				if n := f.Dials.Load(); n < 10 || n > 28 {
					t.Errorf("%d dials in 20 s, want 10 to 28", n)
				}
				f.Refuse.Store(false)
				f.Silent.Store(false)
				time.Sleep(maxBackoff)
				if _, err := c.Beat(t.Context(), fakeAddr, &peerpb.BeatRequest{}); err != nil {
					t.Errorf("call after the maximum backoff: %v", err)
				}
			})
		})
	}
}

// Guards against returning the connection of a cancelled call, whose state is
// unknown, to the pool, and against counting the cancellation as a stall.
func TestCancelledCallClosesConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, c, _ := start(t, Handler{Beat: slowBeat}, Options{})
		parallel(t, c, 2)
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(50*time.Millisecond, cancel)
		_, err := c.Beat(ctx, fakeAddr, &peerpb.BeatRequest{})
		var ce *CallError
		if !errors.As(err, &ce) || ce.Stalled {
			t.Fatalf("cancelled call: %v, want an error other than a stall", err)
		}
		synctest.Wait()
		if n := f.Open(2); n != 1 {
			t.Errorf("%d connections open, want 1", n)
		}
	})
}

// Guards against more connections to one address than Options.MaxConns.
func TestConnectionsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, c, _ := start(t, Handler{Beat: slowBeat}, Options{MaxConns: 3})
		parallel(t, c, 12)
		if n := f.Dials.Load(); n != 3 {
			t.Errorf("%d dials, want 3", n)
		}
		var wg sync.WaitGroup
		for range 3 {
			wg.Go(func() { c.Beat(t.Context(), fakeAddr, &peerpb.BeatRequest{}) })
		}
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		if _, err := c.Beat(ctx, fakeAddr, &peerpb.BeatRequest{}); !errors.Is(err, ErrBusy) || !NotSent(err) {
			t.Errorf("call while all connections are in use: %v, want ErrBusy and nothing sent", err)
		}
		wg.Wait()
	})
}

// Guards against connections that stay open for ever after a burst of calls, and
// against a stalled stream that leaves other stalled connections in the pool.
func TestConnectionsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, c, _ := start(t, Handler{Beat: slowBeat}, Options{IdleTimeout: time.Second})
		parallel(t, c, 3)
		time.Sleep(3 * time.Second)
		if n := f.Open(3); n != 0 || len(c.pools) != 0 {
			t.Errorf("%d connections and %d pools are kept after the idle timeout, want none", n, len(c.pools))
		}
		parallel(t, c, 3)
		s, err := c.Forward(t.Context(), fakeAddr)
		if err != nil {
			t.Fatal(err)
		}
		s.CloseStalled()
		synctest.Wait()
		if n := f.Open(6); n != 0 || f.Dials.Load() != 7 {
			t.Errorf("%d stalled connections open, %d dials; want 0 and 7", n, f.Dials.Load())
		}
	})
}

// Guards against a Recv on a broken connection that returns io.EOF, as at the end
// of a complete stream.
func TestForwardEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, c, _ := start(t, Handler{Forward: forwardFunc(func(ctx context.Context, s ForwardStream) error {
			for {
				m, err := s.Recv()
				if errors.Is(err, io.EOF) {
					return nil
				}
				if err != nil {
					return err
				}
				if m.Id == "hang" {
					<-ctx.Done()
					return ctx.Err()
				}
				if err := s.Send(m); err != nil {
					return err
				}
			}
		})}, Options{})
		for range 2 {
			s, err := c.Forward(t.Context(), fakeAddr)
			if err != nil {
				t.Fatal(err)
			}
			if err := errors.Join(s.Send(&peerpb.ForwardMsg{Id: "a"}), s.CloseSend()); err != nil {
				t.Fatal(err)
			}
			if m, err := s.Recv(); err != nil || m.Id != "a" {
				t.Fatalf("Recv: %v, %v", m, err)
			}
			if _, err := s.Recv(); !errors.Is(err, io.EOF) {
				t.Fatalf("Recv after the end: %v, want EOF", err)
			}
			s.Close()
		}
		if n := f.Dials.Load(); n != 1 {
			t.Errorf("%d dials for two complete streams, want 1", n)
		}
		s, err := c.ForwardUnpooled(t.Context(), fakeAddr)
		if err != nil {
			t.Fatal(err)
		}
		if n := f.Dials.Load(); n != 2 {
			t.Errorf("%d dials after ForwardUnpooled, want 2", n)
		}
		if err := s.Send(&peerpb.ForwardMsg{Id: "hang"}); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		f.Break(1)
		if _, err := s.Recv(); err == nil || errors.Is(err, io.EOF) {
			t.Errorf("Recv on a broken connection: %v, want an error other than EOF", err)
		}
		s.Close()
	})
}
