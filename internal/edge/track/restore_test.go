package track

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/eras"
	"github.com/yuccalb/yuccalb/internal/core/spec"
	"github.com/yuccalb/yuccalb/platform/plattest"
)

// advance increases the store's revision by n.
func advance(s *plattest.Store, n int) {
	for range n {
		s.Put("other/key", nil)
	}
}

// TestRestoredConfig guards against a host that returns to an older configuration when
// the store is restored, that ignores the next one because its revision is lower, or
// that mistakes a reused revision for the one in force. A key that the newer
// configuration revokes would then still be accepted.
func TestRestoredConfig(t *testing.T) {
	t.Parallel()
	s := newStore(t)
	old := s.Copy()
	advance(s, 50)
	s.PutConfig(plattest.Config{Version: 2})
	tr := start(t, s, 0)
	version := func() int64 {
		if snap := tr.View().Snapshot; snap != nil {
			return snap.Version
		}
		return 0
	}
	eventually(t, "version 2", func() bool { return version() == 2 })
	s.Restore(old)
	for range 10 {
		if v := version(); v != 2 {
			t.Fatalf("version %d in force after the restore", v)
		}
		time.Sleep(50 * time.Millisecond)
	}
	s.PutConfig(plattest.Config{Version: 2})
	s.PutConfig(plattest.Config{Version: 3})
	began := time.Now()
	eventually(t, "version 3 at a lower revision", func() bool { return version() == 3 })
	if d := time.Since(began); d > 2*time.Second {
		t.Errorf("version 3 was in force after %v", d)
	}
	time.Sleep(eras.RewriteTime + maxConfigAge)
	if age, ok := tr.ConfirmedAge(); !ok || age > 2*maxConfigAge {
		t.Errorf("configuration confirmed %v ago, %v", age, ok)
	}
}

// TestConfirmationAfterRestore guards against a configuration that is confirmed by a
// restored store that may lack the newest one, and against keys that stop working
// because the configuration stays unconfirmed if the operator writes nothing.
func TestConfirmationAfterRestore(t *testing.T) {
	t.Parallel()
	s := newStore(t)
	tr := start(t, s, 0)
	eventually(t, "configuration", func() bool { return tr.View().Snapshot != nil })
	eventually(t, "confirmation", func() bool { _, ok := tr.ConfirmedAge(); return ok })
	copied := s.Copy()
	time.Sleep(200 * time.Millisecond)
	at := tr.configConfirmed.At()
	s.Restore(copied)
	eventually(t, "new era", func() bool { return tr.View().EntriesRev.Era == 1 })
	time.Sleep(eras.RewriteTime / 2)
	if raised := tr.configConfirmed.At() - at; raised > time.Second {
		t.Errorf("a read %v after the last one before the restore confirmed the configuration", raised)
	}
	eventually(t, "confirmation from the new era", func() bool { return tr.configConfirmed.At() > at+eras.RewriteTime })
}

// TestRestoredServers guards against requests to servers that the restored copy lists
// although they have left, and against dropping those that the copy lacks.
func TestRestoredServers(t *testing.T) {
	t.Parallel()
	s := newStore(t)
	s.PutServer("ended", "desk", "a1", addr, "ready")
	s.PutServer("leaves", "desk", "a1", addr, "ready")
	s.PutServer("stays", "desk", "a1", addr, "ready")
	old := s.Copy()
	advance(s, 50)
	s.RemoveServer("ended")
	s.PutHeartbeat("leaves", "desk", "a1", addr, "draining", 2)
	s.PutServer("new", "desk", "a1", addr, "ready")
	s.Evacuate("b1")
	tr := start(t, s, 0)
	eventually(t, "servers", func() bool { return tr.hasServer("new") && tr.hasServer("stays") })
	s.Restore(old)
	eventually(t, "new era", func() bool { return tr.View().EntriesRev.Era == 1 })
	for range 10 {
		v := tr.View()
		switch {
		case tr.hasServer("ended"):
			t.Fatal("a server that has ended is in use again")
		case !tr.isLeaving("leaves"):
			t.Fatal("a draining server is no longer marked as leaving")
		case !tr.hasServer("new") || !tr.hasServer("stays"):
			t.Fatal("a server was dropped before it could register again")
		case !slices.Contains(v.Evacuated, "b1"):
			t.Fatal("an evacuation was dropped")
		}
		time.Sleep(100 * time.Millisecond)
	}
	s.PutServer("new", "desk", "a1", addr, "ready")
	s.PutHeartbeat("ended", "desk", "a1", addr, "ready", 2) // a new heartbeat shows that it runs
	eventually(t, "ended is back", func() bool { return tr.hasServer("ended") })
	time.Sleep(eras.SettleTime)
	if !tr.hasServer("new") || slices.Contains(tr.View().Evacuated, "b1") {
		t.Error("the store's entries are not in force once the era has settled")
	}
}

func (t *Tracker) isLeaving(id string) bool {
	return slices.ContainsFunc(t.View().Usable(), func(s spec.Server) bool { return s.ID == id && s.Leaving })
}

// TestRestoredLease guards against a host that renews or ends the lease of another
// host, to which the restored store has assigned the same identifier.
func TestRestoredLease(t *testing.T) {
	t.Parallel()
	s := newStore(t)
	old := s.Copy()
	one := startHost(t, s, "h1", 0)
	listed := func(name string) bool {
		return slices.ContainsFunc(one.View().Hosts, func(h spec.Host) bool { return h.Name == name })
	}
	eventually(t, "entry of h1", func() bool { return listed("h1") })
	s.Restore(old)
	two := startHost(t, s, "h2", 0) // gets the identifier of h1's lease
	eventually(t, "both entries", func() bool { return listed("h1") && listed("h2") })
	two.Close()
	eventually(t, "h2 gone", func() bool { return !listed("h2") })
	if !listed("h1") {
		t.Error("the entry of h1 was removed with that of h2")
	}
}

// TestCloseAfterRestore guards against a host that stops before it has noticed a
// restore, and ends a lease that now belongs to another host.
func TestCloseAfterRestore(t *testing.T) {
	t.Parallel()
	s := newStore(t)
	old := s.Copy()
	one := startHost(t, s, "h1", 0)
	eventually(t, "entry of h1", func() bool { return len(one.View().Hosts) == 1 })
	s.Restore(old)
	s.PutWithLease("yuccalb/hosts/h2", one.entry.lease.ID)
	one.Close()
	if !s.Has("yuccalb/hosts/h2") {
		t.Error("the entry of h2 was removed")
	}
}

// TestTwoRestores guards against a host that confuses the states of a store that is
// restored twice within a second, the second time during an outage.
func TestTwoRestores(t *testing.T) {
	t.Parallel()
	s := newStore(t)
	old := s.Copy()
	advance(s, 50)
	s.PutConfig(plattest.Config{Version: 5})
	tr := start(t, s, 0)
	eventually(t, "version 5", func() bool { return tr.View().Snapshot != nil && tr.View().Snapshot.Version == 5 })
	again := s.Copy()
	s.Restore(old)
	time.Sleep(300 * time.Millisecond)
	s.SetFault(func(*http.Request) int { return http.StatusServiceUnavailable })
	s.Restore(again)
	time.Sleep(300 * time.Millisecond)
	s.SetFault(nil)
	eventually(t, "second era", func() bool { return tr.View().EntriesRev.Era == 2 })
	s.PutConfig(plattest.Config{Version: 6})
	eventually(t, "version 6", func() bool { return tr.View().Snapshot.Version == 6 })
}
