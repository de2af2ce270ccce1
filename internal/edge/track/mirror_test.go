package track

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/core/spec"
	"github.com/yuccalb/yuccalb/platform"
	"github.com/yuccalb/yuccalb/platform/plattest"
)

// other is another host of the region, which follows a store of its own.
type other struct {
	*Tracker
	down atomic.Bool
}

func (o *other) Config(context.Context, netip.AddrPort) (platform.Item, error) {
	if o.down.Load() {
		return platform.Item{}, errors.New("no answer")
	}
	return o.View().Item, nil
}

func (o *other) Entries(context.Context, netip.AddrPort) (*Listing, error) {
	if o.down.Load() {
		return nil, errors.New("no answer")
	}
	return o.View().Listing, nil
}

func (o *other) sources() []Source { return []Source{{Addr: addr, Known: o.Known()}} }

// startBeside starts a tracker of rank 1 beside another host.
func startBeside(t *testing.T, store netip.AddrPort, o *other) *Tracker {
	t.Helper()
	tr := New(Options{
		Store: platform.NewStore(store, nil), Mirror: o, Sources: o.sources,
		Self: spec.Host{Name: "h1", Site: "a1", Front: addr, Peer: addr},
		Log:  zap.NewNop(), Changed: func() {}, Rank: func() int { return 1 },
	})
	tr.Start()
	t.Cleanup(tr.Close)
	return tr
}

// exchange tells the tracker what the other host knows until the test ends.
func exchange(t *testing.T, tr *Tracker, o *other) {
	done := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-done:
				return
			case <-time.After(100 * time.Millisecond):
				tr.Heard(o.Known())
			}
		}
	}()
	t.Cleanup(func() { close(done); <-ended })
}

// TestReadsFromHosts guards against calls of the store by each host of a large
// region, and against a host that stays behind because it can't reach the store.
func TestReadsFromHosts(t *testing.T) {
	t.Parallel()
	s := newStore(t)
	o := &other{Tracker: start(t, s, 0)}
	eventually(t, "other host has read", func() bool { return o.View().Listed() && o.View().Snapshot != nil })
	unreachable := newStore(t)
	unreachable.Break(func(*http.Request) int { return http.StatusServiceUnavailable })
	tr := startBeside(t, unreachable.Addr(), o)
	exchange(t, tr, o)
	eventually(t, "configuration", func() bool { return tr.View().Snapshot != nil })
	s.PutConfig(plattest.Config{Version: 2})
	eventually(t, "new configuration", func() bool { return tr.View().Snapshot.Version == 2 })
	s.PutServer("s1", "desk", "a1", addr, "ready")
	eventually(t, "server", func() bool { return tr.knows("s1") })
	s.RemoveServer("s1")
	eventually(t, "server gone", func() bool { return !tr.knows("s1") })
	if age, known := tr.ProofAge(); !known || age > 2*time.Second {
		t.Errorf("age of the proof %v, %v", age, known)
	}
}

// TestHostsThatDoNotAnswer guards against a host that stays behind because the
// hosts that know more do not answer it.
func TestHostsThatDoNotAnswer(t *testing.T) {
	t.Parallel()
	s := newStore(t)
	o := &other{Tracker: start(t, s, 0)}
	eventually(t, "other host has read", func() bool { return o.View().Listed() })
	tr := startBeside(t, s.Addr(), o)
	exchange(t, tr, o)
	eventually(t, "entries", func() bool { return tr.View().Listed() })
	o.down.Store(true)
	s.PutServer("s1", "desk", "a1", addr, "ready")
	s.PutConfig(plattest.Config{Version: 2})
	began := time.Now()
	eventually(t, "server", func() bool { return tr.knows("s1") })
	eventually(t, "new configuration", func() bool { return tr.View().Snapshot.Version == 2 })
	if d := time.Since(began); d > 2500*time.Millisecond {
		t.Errorf("the changes were noticed after %v", d)
	}
}

// TestLapsedAtHosts guards against a host that drops servers whose entries
// lapsed in an outage, or keeps those that do not return, because it reads the
// entries from a host that has read them first.
func TestLapsedAtHosts(t *testing.T) {
	t.Parallel()
	s := newStore(t)
	s.PutServer("s1", "desk", "a1", addr, "ready")
	o := &other{Tracker: start(t, s, 0)}
	tr := startBeside(t, s.Addr(), o)
	exchange(t, tr, o)
	eventually(t, "server", func() bool { return tr.knows("s1") && o.knows("s1") })
	s.Break(func(*http.Request) int { return http.StatusServiceUnavailable })
	s.RemoveServer("s1")
	time.Sleep(3 * time.Second)
	s.Break(nil)
	list := tr.View().List
	eventually(t, "read after the outage", func() bool { return tr.View().List.After(list) })
	for range 10 {
		if !tr.knows("s1") {
			t.Fatal("a server was dropped before it could register again")
		}
		time.Sleep(100 * time.Millisecond)
	}
	eventually(t, "s1 gone", func() bool { return !tr.knows("s1") })
}

// TestOutageOfOneHost guards against keeping servers that have left because the
// store did not answer this host only, while others have read it all the time.
func TestOutageOfOneHost(t *testing.T) {
	t.Parallel()
	s := newStore(t)
	s.PutServer("s1", "desk", "a1", addr, "ready")
	o := &other{Tracker: start(t, s, 0)}
	door, broken := plattest.Door(t, s)
	tr := startBeside(t, door, o)
	exchange(t, tr, o)
	eventually(t, "server", func() bool { return tr.knows("s1") })
	broken.Store(true)
	time.Sleep(2 * keep) // its own calls fail
	broken.Store(false)
	time.Sleep(keep + time.Second) // and succeed again
	o.down.Store(true)             // it has to read the store itself
	s.RemoveServer("s1")
	began := time.Now()
	eventually(t, "server gone", func() bool { return !tr.knows("s1") })
	if d := time.Since(began); d > 2*time.Second {
		t.Errorf("the server was kept for %v", d)
	}
}
