package store_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/yuccalb/yuccalb/internal/adapt/store"
	"github.com/yuccalb/yuccalb/internal/fake/infra"
	"github.com/yuccalb/yuccalb/internal/fake/local"
)

// start returns a platform on a loopback port and a client of it.
func start(t *testing.T) (*infra.Platform, *store.Client) {
	t.Helper()
	p := infra.New(infra.Options{})
	c := store.New(local.Serve(t, p), nil)
	t.Cleanup(c.Close)
	return p, c
}

// TestClient guards against calls that don't follow the protocol of the
// key-value service.
func TestClient(t *testing.T) {
	_, c := start(t)
	ctx := t.Context()
	v1, err := c.Put(ctx, "a/b c", []byte("one"), 0, "")
	if err != nil {
		t.Fatal(err)
	}
	v2, err := c.Put(ctx, "a/b c", []byte("two"), v1, "")
	if err != nil {
		t.Fatal(err)
	}
	e, err := c.Get(ctx, "a/b c")
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(store.Entry{Value: []byte("two"), Version: v2}, e); diff != "" {
		t.Errorf("entry (-want +got):\n%s", diff)
	}
	var conflict *store.ConflictError
	if _, err := c.Put(ctx, "a/b c", nil, v1, ""); !errors.Is(err, store.ErrConflict) || !errors.As(err, &conflict) || conflict.Version != v2 {
		t.Errorf("put with an old version: %v, want a conflict with version %d", err, v2)
	}
	items, err := c.List(ctx, "a/")
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]store.Item{{Key: "a/b c", Version: v2}}, items); diff != "" {
		t.Errorf("list (-want +got):\n%s", diff)
	}
	if err := c.Delete(ctx, "a/b c", v1); !errors.Is(err, store.ErrConflict) {
		t.Errorf("delete with an old version: %v, want a conflict", err)
	}
	if err := c.Delete(ctx, "a/b c", v2); err != nil {
		t.Error(err)
	}
	if _, err := c.Get(ctx, "a/b c"); !errors.Is(err, store.ErrNotFound) {
		t.Errorf("get of a deleted key: %v, want not found", err)
	}
	if _, err := c.Put(ctx, "big", make([]byte, store.MaxValue+1), 0, ""); !errors.Is(err, store.ErrRejected) {
		t.Errorf("put of a value that is too large: %v, want rejected", err)
	}
}

// TestWatchAndLeases guards against a Watch that misses a change, against keys
// that outlive their lease, and against fencing tokens that don't increase.
func TestWatchAndLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := infra.New(infra.Options{})
		c := store.New("http://platform", p.Transport())
		ctx := t.Context()
		a, err := c.NewLease(ctx, 10*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		v, err := c.Put(ctx, "k", []byte("x"), 0, a.ID)
		if err != nil {
			t.Fatal(err)
		}
		begin := time.Now()
		if _, err := c.Watch(ctx, "k", v); !errors.Is(err, store.ErrUnchanged) || time.Since(begin) != 30*time.Second {
			t.Errorf("watch: %v after %v, want unchanged after 30s", err, time.Since(begin))
		}
		if _, err := c.Get(ctx, "k"); !errors.Is(err, store.ErrNotFound) {
			t.Errorf("get after the lease ended: %v, want not found", err)
		}
		if _, err := c.Renew(ctx, a.ID); !errors.Is(err, store.ErrNotFound) {
			t.Errorf("renew after the end: %v, want not found", err)
		}
		b, err := c.NewLease(ctx, 10*time.Second)
		if err != nil || b.Token <= a.Token {
			t.Errorf("second lease %+v, %v: want a token above %d", b, err, a.Token)
		}
		for range 4 {
			time.Sleep(6 * time.Second)
			if _, err := c.Renew(ctx, b.ID); err != nil {
				t.Fatalf("renew: %v", err)
			}
		}
		if err := c.Release(ctx, b.ID); err != nil {
			t.Error(err)
		}
		go func() {
			time.Sleep(time.Second)
			// The watch below returns the value.
			_, _ = c.Put(context.Background(), "k", []byte("y"), 0, "")
		}()
		e, err := c.Watch(ctx, "k", v)
		if err != nil || string(e.Value) != "y" {
			t.Errorf("watch: %q, %v, want y", e.Value, err)
		}
	})
}

// TestOutcomes guards against reporting a write that may have taken effect as not
// written, and against reporting one that was not sent as of unknown outcome.
func TestOutcomes(t *testing.T) {
	p, c := start(t)
	ctx := t.Context()
	put := func(c *store.Client) error {
		_, err := c.Put(ctx, "k", []byte("x"), 0, "")
		return err
	}
	p.SetFault(infra.PartKV, infra.Fault{Down: true})
	if err := put(c); !errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrOutcomeUnknown) {
		t.Errorf("put while down: %v, want unavailable", err)
	}
	p.SetFault(infra.PartKV, infra.Fault{Lose: 1})
	if err := put(c); !errors.Is(err, store.ErrOutcomeUnknown) || errors.Is(err, store.ErrUnavailable) {
		t.Errorf("put with a lost response: %v, want unknown", err)
	}
	if err := put(c); !errors.Is(err, store.ErrConflict) {
		t.Errorf("second put: %v, want a conflict, since the first took effect", err)
	}
	p.SetFault(infra.PartKV, infra.Fault{Hang: true})
	short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	if _, err := c.Put(short, "k", nil, 1, ""); !errors.Is(err, store.ErrOutcomeUnknown) || !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("put that hangs: %v, want unknown and the deadline", err)
	}
	if _, err := c.Put(short, "k", nil, 1, ""); !errors.Is(err, store.ErrUnavailable) {
		t.Errorf("put after the deadline: %v, want unavailable", err)
	}
	if _, err := c.Get(short, "k"); !errors.Is(err, store.ErrUnavailable) {
		t.Errorf("get after the deadline: %v, want unavailable", err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	if err := put(store.New("http://"+l.Addr().String(), nil)); !errors.Is(err, store.ErrUnavailable) {
		t.Errorf("put to a closed port: %v, want unavailable", err)
	}
}

// TestStall guards against a call without a deadline that blocks for ever on a
// stalled connection.
func TestStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := store.New("http://platform", stalled{})
		begin := time.Now()
		if _, err := c.Get(t.Context(), "k"); !errors.Is(err, store.ErrUnavailable) || time.Since(begin) != 5*time.Second {
			t.Errorf("get: %v after %v, want unavailable after 5s", err, time.Since(begin))
		}
	})
}

// TestNoVersion guards against a call that succeeds with version 0 because the
// response has no version header.
func TestNoVersion(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer srv.Close()
	c := store.New(srv.URL, nil)
	defer c.Close()
	if _, err := c.Put(t.Context(), "k", nil, 0, ""); !errors.Is(err, store.ErrOutcomeUnknown) {
		t.Errorf("put: %v, want unknown", err)
	}
	if _, err := c.Get(t.Context(), "k"); !errors.Is(err, store.ErrUnavailable) {
		t.Errorf("get: %v, want unavailable", err)
	}
	if _, err := c.Watch(t.Context(), "k", 0); !errors.Is(err, store.ErrUnavailable) {
		t.Errorf("watch: %v, want unavailable", err)
	}
}

// stalled is a transport that never responds.
type stalled struct{}

func (stalled) RoundTrip(r *http.Request) (*http.Response, error) {
	<-r.Context().Done()
	return nil, r.Context().Err()
}
