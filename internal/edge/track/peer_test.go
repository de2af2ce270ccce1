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

// peerHost is another host of the region, with a tracker of its own. Reads from it fail
// while down is set.
type peerHost struct {
	*Tracker
	down atomic.Bool
}

func (o *peerHost) Config(context.Context, netip.AddrPort) (platform.Item, error) {
	if o.down.Load() {
		return platform.Item{}, errors.New("no answer")
	}
	return o.View().Item, nil
}

func (o *peerHost) Entries(context.Context, netip.AddrPort) (*Listing, error) {
	if o.down.Load() {
		return nil, errors.New("no answer")
	}
	l := *o.View().Listing
	return &l, nil
}

func (o *peerHost) sources() []Source { return []Source{{Addr: addr, StoreState: o.State()}} }

// startWithPeer starts a tracker at position 1 of a region whose other host is o.
func startWithPeer(t *testing.T, store netip.AddrPort, o *peerHost) *Tracker {
	t.Helper()
	tr := New(Options{
		Store: platform.NewStore(store, nil), PeerReader: o, Sources: o.sources,
		Self: spec.Host{Name: "h1", Site: "a1", Front: addr, Peer: addr},
		Log:  zap.NewNop(), OnChange: func() {}, Position: func() int { return 1 },
	})
	tr.Start()
	t.Cleanup(tr.Close)
	return tr
}

// sendReports reports the state of the other host to the tracker until the test ends.
func sendReports(t *testing.T, tr *Tracker, o *peerHost) {
	done := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-done:
				return
			case <-time.After(100 * time.Millisecond):
				tr.MergeReport(o.State())
			}
		}
	}()
	t.Cleanup(func() { close(done); <-ended })
}

// TestReadsFromPeer guards against calls to the store by every host of a large region,
// and against a host whose view becomes stale because it can't reach the store.
func TestReadsFromPeer(t *testing.T) {
	t.Parallel()
	s := newStore(t)
	o := &peerHost{Tracker: start(t, s, 0)}
	eventually(t, "other host has read", func() bool { return o.View().Listed() && o.View().Snapshot != nil })
	unreachable := newStore(t)
	unreachable.SetFault(func(*http.Request) int { return http.StatusServiceUnavailable })
	tr := startWithPeer(t, unreachable.Addr(), o)
	sendReports(t, tr, o)
	eventually(t, "configuration", func() bool { return tr.View().Snapshot != nil })
	s.PutConfig(plattest.Config{Version: 2})
	eventually(t, "new configuration", func() bool { return tr.View().Snapshot.Version == 2 })
	s.PutServer("s1", "desk", "a1", addr, "ready")
	eventually(t, "server", func() bool { return tr.hasServer("s1") })
	s.RemoveServer("s1")
	eventually(t, "server gone", func() bool { return !tr.hasServer("s1") })
	if age, ok := tr.ConfirmedAge(); !ok || age > 2*time.Second {
		t.Errorf("configuration confirmed %v ago, %v", age, ok)
	}
}

// TestPeerDoesNotAnswer guards against a host whose view becomes stale because the
// hosts with a newer one do not answer it.
func TestPeerDoesNotAnswer(t *testing.T) {
	t.Parallel()
	s := newStore(t)
	o := &peerHost{Tracker: start(t, s, 0)}
	eventually(t, "other host has read", func() bool { return o.View().Listed() })
	tr := startWithPeer(t, s.Addr(), o)
	sendReports(t, tr, o)
	eventually(t, "entries", func() bool { return tr.View().Listed() })
	o.down.Store(true)
	s.PutServer("s1", "desk", "a1", addr, "ready")
	s.PutConfig(plattest.Config{Version: 2})
	began := time.Now()
	eventually(t, "server", func() bool { return tr.hasServer("s1") })
	eventually(t, "new configuration", func() bool { return tr.View().Snapshot.Version == 2 })
	if d := time.Since(began); d > 2500*time.Millisecond {
		t.Errorf("the changes were in force after %v", d)
	}
}

// TestExpiredEntriesFromPeer guards against a host that drops servers whose entries
// expired in an outage, or that retains those that do not register again, because it
// reads the entries from a peer that has read them first.
func TestExpiredEntriesFromPeer(t *testing.T) {
	t.Parallel()
	s := newStore(t)
	s.PutServer("s1", "desk", "a1", addr, "ready")
	o := &peerHost{Tracker: start(t, s, 0)}
	tr := startWithPeer(t, s.Addr(), o)
	sendReports(t, tr, o)
	eventually(t, "server", func() bool { return tr.hasServer("s1") && o.hasServer("s1") })
	s.SetFault(func(*http.Request) int { return http.StatusServiceUnavailable })
	s.RemoveServer("s1")
	time.Sleep(3 * time.Second)
	s.SetFault(nil)
	list := tr.View().EntriesRev
	eventually(t, "read after the outage", func() bool { return tr.View().EntriesRev.After(list) })
	for range 10 {
		if !tr.hasServer("s1") {
			t.Fatal("a server was dropped before it could register again")
		}
		time.Sleep(100 * time.Millisecond)
	}
	eventually(t, "s1 gone", func() bool { return !tr.hasServer("s1") })
}

// TestOutageOfOneHost guards against retaining servers that have left because the store
// was unreachable from this host only, while its peers could read it all the time.
func TestOutageOfOneHost(t *testing.T) {
	t.Parallel()
	s := newStore(t)
	s.PutServer("s1", "desk", "a1", addr, "ready")
	o := &peerHost{Tracker: start(t, s, 0)}
	proxy, broken := plattest.FaultProxy(t, s)
	tr := startWithPeer(t, proxy, o)
	sendReports(t, tr, o)
	eventually(t, "server", func() bool { return tr.hasServer("s1") })
	broken.Store(true)
	time.Sleep(2 * renewInterval) // its own calls fail
	broken.Store(false)
	time.Sleep(renewInterval + time.Second) // and succeed again
	o.down.Store(true)                      // it has to read the store itself
	s.RemoveServer("s1")
	began := time.Now()
	eventually(t, "server gone", func() bool { return !tr.hasServer("s1") })
	if d := time.Since(began); d > 2*time.Second {
		t.Errorf("the server was still listed after %v", d)
	}
}
