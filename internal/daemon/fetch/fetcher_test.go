package fetch

import (
	"bytes"
	"context"
	"flag"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccalb/yuccalb/internal/adapt/store"
	"github.com/yuccalb/yuccalb/internal/fake/infra"
	"github.com/yuccalb/yuccalb/internal/wire/peerpb"
)

// manyOrgs is the size of the configuration in TestChange. Run with -orgs 30000
// for the figures of the largest fleet.
var manyOrgs = flag.Int("orgs", 1000, "organisations in TestChange")

// inForceLimit is the time within which a change must be in force on all hosts.
const inForceLimit = 4 * time.Second

// TestChange guards against a change that takes longer than 4 s to be in force, or that
// takes more than a read of the head and a segment by each of two hosts and a patch for
// every other host.
func TestChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		s.publish(*manyOrgs, 1, 0)
		ids := []int{1, 2, 3, 4, 5, 6, 7, 8}
		s.start(ids...)
		t.Logf("cold start of %d hosts: %v", len(ids), s.wait(15*time.Second, 1, ids...))
		time.Sleep(10 * time.Second)
		const changes = 10
		var slowest time.Duration
		s.takeUsage()
		start := time.Now()
		for i := range changes {
			v := s.publish(*manyOrgs, int64(i+2), 0)
			slowest = max(slowest, s.wait(inForceLimit, v, ids...))
			time.Sleep(time.Second)
		}
		c := s.takeUsage()
		t.Logf("%d organisations, %d hosts, per change: in force after at most %v, %.1f store calls and %d B read, %.1f pulls and %d B from peers; %.1f probes/s",
			*manyOrgs, len(ids), slowest, float64(c.calls)/changes, c.out/changes, float64(c.pulls)/changes, c.bytes/changes, float64(c.probes)/time.Since(start).Seconds())
		if slowest > time.Second/2 {
			t.Errorf("change in force after %v, want at most 0.5 s: before the next periodic heartbeat", slowest)
		}
		// Each of the two watchers reads one segment and starts one watch.
		if c.calls > 5*changes {
			t.Errorf("%d store calls for %d changes, want at most %d", c.calls, changes, 5*changes)
		}
		if c.bytes > c.pulls*1000 {
			t.Errorf("%d B in %d pulls, want patches only", c.bytes, c.pulls)
		}
	})
}

// TestOutageAtStart guards against hosts that need the store although a peer has the
// configuration, and against late detection of a recovered store.
func TestOutageAtStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		v := s.publish(5, 1, 0)
		s.platform.SetFault(infra.PartKV, infra.Fault{Down: true})
		s.start(1, 2)
		time.Sleep(20 * time.Second)
		if f := s.hosts[hostAddr(1)]; f.Snapshot() != nil || f.Pull(0).GetVersion() != 0 {
			t.Error("host has a configuration although the store is down")
		}
		s.platform.SetFault(infra.PartKV, infra.Fault{})
		s.wait(inForceLimit, v, 1, 2)
		s.platform.SetFault(infra.PartKV, infra.Fault{Hang: true})
		s.start(3)
		s.wait(time.Second, v, 3)
		time.Sleep(time.Hour)
		s.wait(0, v, 1, 2, 3)
		s.platform.SetFault(infra.PartKV, infra.Fault{})
		time.Sleep(time.Minute)
		s.wait(inForceLimit, s.publish(5, 2, 0), 1, 2, 3)
	})
}

// TestStalledWatch guards against a change that is missed because the connections of
// the pending watches have stalled while new calls succeed.
func TestStalledWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		s.publish(5, 1, 0)
		s.start(1, 2) // both watch
		s.wait(inForceLimit, 1, 1, 2)
		s.platform.SetFault(infra.PartKV, infra.Fault{Hang: true})
		time.Sleep(time.Second / 2)
		s.platform.SetFault(infra.PartKV, infra.Fault{})
		s.wait(inForceLimit, s.publish(5, 2, 0), 1, 2)
	})
}

// TestStalledPeer guards against a change that is missed because a pull has stalled
// while other peers could answer.
func TestStalledPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		s.publish(5, 1, 0)
		s.start(1, 2, 3)
		s.wait(inForceLimit, 1, 1, 2, 3)
		s.mu.Lock()
		s.stalledPeer = hostAddr(1)
		s.mu.Unlock()
		for i := range 8 {
			s.wait(inForceLimit, s.publish(5, int64(i+2), 0), 1, 2, 3)
		}
	})
}

// TestStaleStore guards against a host that returns to an earlier version, or does not
// get the latest one, when the store returns stale data, and against calls to such a
// store without backoff.
func TestStaleStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		for i := range 3 {
			s.publish(5, int64(i+1), 0)
		}
		s.start(1, 2)
		s.wait(inForceLimit, 3, 1, 2)
		s.platform.SetFault(infra.PartKV, infra.Fault{Old: -1})
		s.platform.ResetCounts()
		s.start(3) // a new host gets the newest from its peers
		for range 60 {
			time.Sleep(time.Second)
			s.wait(0, 3, 1, 2, 3)
		}
		if n := s.platform.Counts()[infra.CallWatch].Calls; n > 130 {
			t.Errorf("%d watches by two hosts in a minute of stale data, want at most 130", n)
		}
		s.platform.SetFault(infra.PartKV, infra.Fault{})
		s.wait(inForceLimit, s.publish(5, 9, 0), 1, 2, 3)
	})
}

// TestRejoinAfterPartition guards against a host that does not catch up after a network
// partition, with patches or, after too many versions, with the whole configuration.
func TestRejoinAfterPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		s.publish(50, 1, 0)
		s.start(1, 2, 3)
		s.wait(15*time.Second, 1, 1, 2, 3)
		for _, missed := range []int{5, 40} {
			s.mu.Lock()
			s.partitioned[hostAddr(3)] = true
			s.mu.Unlock()
			var v uint64
			for i := range missed {
				v = s.publish(50, int64(1000*missed+i), 0)
				s.wait(inForceLimit, v, 1, 2)
			}
			whole := len(s.hosts[hostAddr(1)].Pull(0).GetPatch())
			s.mu.Lock()
			s.partitioned[hostAddr(3)] = false
			s.mu.Unlock()
			s.takeUsage()
			s.wait(inForceLimit, v, 3)
			if got := s.takeUsage().bytes; (got >= whole) != (missed == 40) {
				t.Errorf("%d B to catch up %d versions, whole configuration has %d B", got, missed, whole)
			}
		}
	})
}

// TestColdStartReadRate guards against starting hosts that use up the capacity of the
// store, and against an outage after which they read all segments again.
func TestColdStartReadRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		v := s.publish(2000, 1, 0) // fills all segments
		s.platform.ResetCounts()
		s.start(1)
		start, last := time.Now(), 0
		for s.hosts[hostAddr(1)].Snapshot() == nil {
			time.Sleep(time.Second)
			n := s.platform.Counts()[infra.CallGet].Calls
			if n-last > readBurst+31 {
				t.Errorf("%d reads in a second, want at most %d", n-last, readBurst+31)
			}
			last = n
			if time.Since(start) == 4*time.Second {
				s.platform.SetFault(infra.PartKV, infra.Fault{Down: true})
			}
			if time.Since(start) == 10*time.Second {
				s.platform.SetFault(infra.PartKV, infra.Fault{})
			}
			if time.Since(start) > time.Minute {
				t.Fatal("no configuration after a minute")
			}
		}
		s.wait(0, v, 1)
		if n := s.platform.Counts()[infra.CallGet].Calls; n > 257+10 {
			t.Errorf("%d reads for 257 segments, want at most 10 more", n)
		}
	})
}

// TestConfirmationAge guards against confirmations that exceed the age limit while the
// store is reachable, and against new confirmations while it is not.
func TestConfirmationAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		const fresh = 6 * time.Second
		v := s.publish(5, 1, fresh)
		s.start(1, 2, 3, 4)
		s.wait(inForceLimit, v, 1, 2, 3, 4)
		time.Sleep(fresh)
		for range 100 {
			time.Sleep(time.Second)
			for a, f := range s.hosts {
				if age := time.Since(f.Confirmed()); age > fresh {
					t.Fatalf("host %v: confirmed %v ago, want at most %v", a, age, fresh)
				}
			}
		}
		s.platform.SetFault(infra.PartKV, infra.Fault{Down: true})
		down := time.Now()
		time.Sleep(time.Minute)
		for a, f := range s.hosts {
			if c := f.Confirmed(); c.After(down) {
				t.Errorf("host %v: confirmed %v after the store went down", a, c.Sub(down))
			}
		}
	})
}

// TestClose guards against calls that continue after Close.
func TestClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := &slowStore{}
		f := New(Options{Store: kv, Rand: rand.New(rand.NewPCG(1, 1))})
		f.SetPeers(nil, nil, nil, true)
		synctest.Wait()
		if n := kv.waiting.Load(); n != 1 {
			t.Errorf("%d reads, want 1", n)
		}
		f.Close()
		if n := kv.waiting.Load(); n != 0 {
			t.Errorf("%d reads after Close, want none", n)
		}
		f.SetPeerVersion(hostAddr(1), 7)
		f.SetPeers(nil, nil, nil, false)
	})
}

// slowStore is a stub whose reads return one second after the end of their context.
type slowStore struct {
	Store
	waiting atomic.Int32
}

func (s *slowStore) Get(ctx context.Context, _ string) (store.Entry, error) {
	s.waiting.Add(1)
	defer s.waiting.Add(-1)
	<-ctx.Done()
	time.Sleep(time.Second)
	return store.Entry{}, ctx.Err()
}

// corruptPeers returns patches whose result does not have the digest that they specify.
type corruptPeers struct{ link }

func (p corruptPeers) Pull(ctx context.Context, to netip.AddrPort, have uint64) (*peerpb.PullReply, error) {
	r, err := p.link.Pull(ctx, to, have)
	if err == nil && r.GetBase() != 0 {
		r.Patch = bytes.Replace(r.GetPatch(), []byte(`"burst":16000`), []byte(`"burst":16001`), 1)
	}
	return r, err
}

// TestCorruptPatch guards against a corrupt patch that is put in force, and against a
// host that does not get the version in another way.
func TestCorruptPatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		s.publish(5, 1, 0)
		s.start(1)
		s.wait(inForceLimit, 1, 1)
		l := link{s, hostAddr(2)}
		f := New(Options{Store: &slowStore{}, Peers: corruptPeers{l}, Rand: rand.New(rand.NewPCG(1, 2))})
		s.mu.Lock()
		s.hosts[l.from] = f
		s.mu.Unlock()
		f.SetPeers([]netip.AddrPort{hostAddr(1)}, nil, nil, false)
		s.wait(inForceLimit, 1, 2)
		s.wait(inForceLimit, s.publish(5, 2, 0), 1, 2)
		if a, b := s.hosts[hostAddr(1)].Snapshot(), f.Snapshot(); a.Digest != b.Digest || b.Org("organisation-00000").Burst != 16_000 {
			t.Errorf("host has digest %s, want %s", b.Digest, a.Digest)
		}
	})
}
