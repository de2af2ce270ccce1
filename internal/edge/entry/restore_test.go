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

// withKey returns a call with another API key.
func withKey(c line.Call, key string) line.Call { return c.With(platform.HeaderAPIKey, key) }

// heartbeatServer starts a fake backend server that sends heartbeats until the test
// ends.
func (cl *cluster) heartbeatServer(id, site string) *origin.Server {
	cl.t.Helper()
	s := cl.server(id, site, ok)
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for seq := int64(2); ; seq++ {
			select {
			case <-done:
				return
			case <-time.After(heartbeatInterval):
				cl.store.PutHeartbeat(id, "desk", site, s.Addr(), "ready", seq)
			}
		}
	}()
	cl.t.Cleanup(func() { close(done); <-ended })
	return s
}

// heartbeatInterval is the interval between the heartbeats of a server.
const heartbeatInterval = 300 * time.Millisecond

// TestReadyAfterRestore guards against a failure of all hosts after the store was
// restored from a copy, because its revisions are lower than before.
func TestReadyAfterRestore(t *testing.T) {
	cl := newCluster(t)
	copied := cl.store.Copy()
	for range 50 {
		cl.store.Put("other/key", nil)
	}
	cl.store.PutConfig(config(2, key))
	a, b := cl.host("a1"), cl.host("b1")
	cl.heartbeatServer("s1", "a1")
	cl.heartbeatServer("s2", "b1")
	cl.store.Restore(copied)
	cl.store.PutConfig(config(2, key))
	for end := time.Now().Add(a.settings.Revoke + 2*time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if v := a.fleet.View(); v.Snapshot.Version != 2 {
			t.Fatalf("version %d is in force", v.Snapshot.Version)
		}
	}
	for _, e := range []*Entry{a, b} {
		cl.waitReady(e)
		wantStatus(t, cl.do(e, get("/safe/x")), http.StatusOK)
	}
}

// TestStartAfterRestore guards against a host that starts after a restore of the
// store and accepts a key that was revoked after the copy was made, although
// another host has the newer configuration, in the same region or another one.
func TestStartAfterRestore(t *testing.T) {
	for _, site := range []string{"a1", "b1"} {
		t.Run(site, func(t *testing.T) {
			cl := newCluster(t)
			copied := cl.store.Copy()
			cl.store.PutConfig(config(2, "key-2"))
			cl.host("a1")
			cl.heartbeatServer("s1", "a1")
			cl.heartbeatServer("s2", "b1")
			cl.store.Restore(copied)
			settings := cl.settings(site)
			settings.First = false
			e := cl.start(settings)
			served := false
			for end := time.Now().Add(2 * eras.RewriteTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				if a := cl.do(e, withKey(get("/safe/x"), key)); a.Status == http.StatusOK {
					t.Fatal("a revoked key was accepted")
				}
				served = served || cl.do(e, withKey(get("/safe/x"), "key-2")).Status == http.StatusOK
			}
			if !served {
				t.Error("no request with the key in force was served")
			}
		})
	}
}

// TestStoreUnreachableDuringRestore guards against a host that cannot reach the
// store during a restore, and that does not get the next version from other hosts
// or spreads the old state.
func TestStoreUnreachableDuringRestore(t *testing.T) {
	cl := newCluster(t)
	copied := cl.store.Copy()
	for range 50 {
		cl.store.Put("other/key", nil)
	}
	a := cl.host("a1")
	cl.heartbeatServer("s1", "a1")
	storeAddr, cutOff := plattest.FaultProxy(t, cl.store)
	settings := cl.settings("a1")
	settings.Store = storeAddr
	b := cl.start(settings)
	cl.waitReady(b)
	cutOff.Store(true)
	cl.store.Restore(copied)
	cl.store.PutConfig(config(2, "key-2"))
	cl.waitVersion(2)
	time.Sleep(a.settings.Revoke + eras.RewriteTime)
	for _, e := range []*Entry{a, b} {
		wantStatus(t, cl.do(e, withKey(get("/safe/x"), "key-2")), http.StatusOK)
		wantStatus(t, cl.do(e, withKey(get("/safe/x"), key)), http.StatusUnauthorized)
	}
}

// TestLimitAfterRestore guards against rate limits of organisations that are reset
// by a restore of the store; they do not depend on its data.
func TestLimitAfterRestore(t *testing.T) {
	cl := newCluster(t)
	cfg := config(1, key)
	cfg.Rate, cfg.Burst = 100, 5000
	cl.store.PutConfig(cfg)
	copied := cl.store.Copy()
	e := cl.host("a1")
	cl.heartbeatServer("s1", "a1")
	use := func() (admitted int) {
		for range 20 {
			if cl.do(e, get("/safe/x").With(platform.HeaderTokens, "490,10")).Status == http.StatusOK {
				admitted++
			}
		}
		return admitted
	}
	if n := use(); n < 10 || n > 12 {
		t.Fatalf("%d requests of 500 tokens were admitted, want the burst of 5000", n)
	}
	cl.store.Restore(copied)
	cl.eventually("new era", func() bool { return e.fleet.View().EntriesRev.Era == 1 })
	if n := use(); n > 2 {
		t.Errorf("%d requests were admitted after the restore, the limit allows one", n)
	}
}
