package entry

import (
	"net/http"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/eras"
	"github.com/yuccalb/yuccalb/internal/fake/line"
	"github.com/yuccalb/yuccalb/internal/fake/origin"
	"github.com/yuccalb/yuccalb/platform"
	"github.com/yuccalb/yuccalb/platform/plattest"
)

// withKey returns a call with another key.
func withKey(c line.Call, key string) line.Call { return c.With(platform.HeaderKey, key) }

// beating starts a backend server that renews its entry until the test ends.
func (w *world) beating(id, site string) *origin.Server {
	w.t.Helper()
	s := w.server(id, site, ok)
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for seq := int64(2); ; seq++ {
			select {
			case <-done:
				return
			case <-time.After(beatEvery):
				w.store.PutBeat(id, "desk", site, s.Addr(), "ready", seq)
			}
		}
	}()
	w.t.Cleanup(func() { close(done); <-ended })
	return s
}

// beatEvery is the interval between the heartbeats of a server.
const beatEvery = 300 * time.Millisecond

// TestReadyAfterRestore guards against hosts that all stop serving after the
// store has gone back to a copy, because its revisions are lower than before.
func TestReadyAfterRestore(t *testing.T) {
	w := newWorld(t)
	copied := w.store.Copy()
	for range 50 {
		w.store.Put("other/key", nil)
	}
	w.store.PutConfig(config(2, key))
	a, b := w.host("a1"), w.host("b1")
	w.beating("s1", "a1")
	w.beating("s2", "b1")
	w.store.Restore(copied)
	w.store.PutConfig(config(2, key))
	for end := time.Now().Add(a.settings.Revoke + 2*time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if v := a.fleet.View(); v.Snapshot.Version != 2 {
			t.Fatalf("version %d is in force", v.Snapshot.Version)
		}
	}
	for _, e := range []*Entry{a, b} {
		w.waitReady(e)
		wantStatus(t, w.do(e, get("/safe/x")), http.StatusOK)
	}
}

// TestStartAfterRestore guards against a host that starts after the store has
// gone back to a copy and accepts a key that was withdrawn since, although
// another host knows of it, in its own region or in another one.
func TestStartAfterRestore(t *testing.T) {
	for _, site := range []string{"a1", "b1"} {
		t.Run(site, func(t *testing.T) {
			w := newWorld(t)
			copied := w.store.Copy()
			w.store.PutConfig(config(2, "key-2"))
			w.host("a1")
			w.beating("s1", "a1")
			w.beating("s2", "b1")
			w.store.Restore(copied)
			settings := w.settings(site)
			settings.First = false
			e := w.start(settings)
			served := false
			for end := time.Now().Add(2 * eras.Rewritten); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				if a := w.do(e, withKey(get("/safe/x"), key)); a.Status == http.StatusOK {
					t.Fatal("a withdrawn key was accepted")
				}
				served = served || w.do(e, withKey(get("/safe/x"), "key-2")).Status == http.StatusOK
			}
			if !served {
				t.Error("no request with the key in force was served")
			}
		})
	}
}

// TestCutOffDuringRestore guards against a host that can't reach the store
// while it goes back, and that does not learn the next version from the others
// or brings the old state back.
func TestCutOffDuringRestore(t *testing.T) {
	w := newWorld(t)
	copied := w.store.Copy()
	for range 50 {
		w.store.Put("other/key", nil)
	}
	a := w.host("a1")
	w.beating("s1", "a1")
	door, cut := plattest.Door(t, w.store)
	settings := w.settings("a1")
	settings.Store = door
	b := w.start(settings)
	w.waitReady(b)
	cut.Store(true)
	w.store.Restore(copied)
	w.store.PutConfig(config(2, "key-2"))
	for _, e := range []*Entry{a, b} {
		w.eventually("version 2 at "+e.settings.Host, func() bool { return e.fleet.View().Snapshot.Version == 2 })
	}
	time.Sleep(a.settings.Revoke + eras.Rewritten)
	for _, e := range []*Entry{a, b} {
		wantStatus(t, w.do(e, withKey(get("/safe/x"), "key-2")), http.StatusOK)
		wantStatus(t, w.do(e, withKey(get("/safe/x"), key)), http.StatusUnauthorized)
	}
}

// TestLimitAfterRestore guards against accounts of organisations that begin
// anew because the store has lost something:
// they do not depend on it.
func TestLimitAfterRestore(t *testing.T) {
	w := newWorld(t)
	cfg := config(1, key)
	cfg.Rate, cfg.Burst = 100, 5000
	w.store.PutConfig(cfg)
	copied := w.store.Copy()
	e := w.host("a1")
	w.beating("s1", "a1")
	use := func() (admitted int) {
		for range 20 {
			if w.do(e, get("/safe/x").With(platform.HeaderTokens, "490,10")).Status == http.StatusOK {
				admitted++
			}
		}
		return admitted
	}
	if n := use(); n < 10 || n > 12 {
		t.Fatalf("%d requests of 500 tokens were admitted, want the burst of 5000", n)
	}
	w.store.Restore(copied)
	w.eventually("new era", func() bool { return e.fleet.View().List.Era == 1 })
	if n := use(); n > 2 {
		t.Errorf("%d requests were admitted after the restore, the limit allows one", n)
	}
}
