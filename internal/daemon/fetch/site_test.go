package fetch

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/adapt/store"
	"github.com/yuccalb/yuccalb/internal/core/model"
	"github.com/yuccalb/yuccalb/internal/fake/infra"
	"github.com/yuccalb/yuccalb/internal/wire/peerpb"
)

// site is a data centre of hosts with a fake platform, for use in a synctest bubble.
// Hosts send heartbeats once per second and immediately after a change.
type site struct {
	t        *testing.T
	platform *infra.Platform
	kv       *store.Client

	mu          sync.Mutex
	hosts       map[netip.AddrPort]*Fetcher
	partitioned map[netip.AddrPort]bool // partitioned from peers and store
	stalledPeer netip.AddrPort          // does not answer pulls
	unconfirmed bool                    // heartbeat replies carry no confirmation
	usage       usage
	stop        chan struct{}
	heartbeats  sync.WaitGroup
}

// usage counts the calls of hosts and the bytes that they received.
type usage struct {
	calls, probes int // to the store
	out           int // bytes of the store's responses
	pulls, bytes  int // from peers
}

// takeUsage returns the usage since the previous call of takeUsage.
func (s *site) takeUsage() usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.usage
	s.usage = usage{}
	return c
}

func newSite(t *testing.T) *site {
	p := infra.New(infra.Options{})
	s := &site{
		t: t, platform: p, kv: store.New("http://platform", p.Transport()),
		hosts: make(map[netip.AddrPort]*Fetcher), partitioned: make(map[netip.AddrPort]bool), stop: make(chan struct{}),
	}
	t.Cleanup(func() {
		close(s.stop)
		s.heartbeats.Wait()
		for _, f := range s.hosts {
			f.Close()
		}
	})
	return s
}

func hostAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000)
}

var errUnreachable = errors.New("unreachable")

// link connects one host to its peers and to the platform.
type link struct {
	*site
	from netip.AddrPort
}

func (l link) reach(to netip.AddrPort) (*Fetcher, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if f := l.hosts[to]; f != nil && !l.partitioned[to] && !l.partitioned[l.from] {
		return f, nil
	}
	return nil, errUnreachable
}

// Pull implements Peers.
func (l link) Pull(ctx context.Context, to netip.AddrPort, have uint64) (*peerpb.PullReply, error) {
	f, err := l.reach(to)
	if err != nil {
		return nil, err
	}
	r := f.Pull(have)
	time.Sleep(time.Millisecond)
	l.mu.Lock()
	stalled := l.stalledPeer == to
	l.mu.Unlock()
	if stalled {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.usage.pulls++
	l.usage.bytes += len(r.GetPatch())
	return r, nil
}

// RoundTrip implements http.RoundTripper with the fake platform.
func (l link) RoundTrip(r *http.Request) (*http.Response, error) {
	l.mu.Lock()
	partitioned := l.partitioned[l.from]
	l.mu.Unlock()
	if partitioned {
		return nil, errUnreachable
	}
	time.Sleep(2 * time.Millisecond)
	resp, err := l.platform.Transport().RoundTrip(r)
	if err != nil {
		return nil, err
	}
	data, err := io.ReadAll(resp.Body)
	resp.Body = io.NopCloser(bytes.NewReader(data))
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.URL.Path == "/v1/kv" {
		l.usage.probes++
	} else {
		l.usage.calls++
	}
	l.usage.out += len(data)
	return resp, err
}

// start adds hosts. The two with the lowest addresses watch the store.
func (s *site) start(ids ...int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range ids {
		l := link{s, hostAddr(i)}
		f := New(Options{Store: store.New("http://platform", l), Peers: l, Rand: rand.New(rand.NewPCG(1, uint64(i)))})
		s.hosts[l.from] = f
		s.heartbeats.Go(func() { l.sendHeartbeats(f) })
	}
	var all []netip.AddrPort
	for a := range s.hosts {
		all = append(all, a)
	}
	slices.SortFunc(all, netip.AddrPort.Compare)
	watchers := all[:min(2, len(all))]
	for a, f := range s.hosts {
		others := slices.DeleteFunc(slices.Clone(all), func(b netip.AddrPort) bool { return a == b })
		go f.SetPeers(others, nil, watchers, slices.Contains(watchers, a))
	}
}

// sendHeartbeats sends the heartbeats of the host of l to all other hosts.
func (l link) sendHeartbeats(f *Fetcher) {
	for {
		l.mu.Lock()
		var to []netip.AddrPort
		for a := range l.hosts {
			if a != l.from {
				to = append(to, a)
			}
		}
		l.mu.Unlock()
		changed := f.Changed()
		if snap := f.Snapshot(); snap != nil {
			for _, a := range to {
				if peer, err := l.reach(a); err == nil {
					peer.SetPeerVersion(l.from, snap.Version)
					l.reply(f, peer, a)
				}
			}
		}
		select {
		case <-l.stop:
			return
		case <-changed:
		case <-time.After(time.Second):
		}
	}
}

// reply delivers to f the reply of peer to a heartbeat.
func (l link) reply(f, peer *Fetcher, addr netip.AddrPort) {
	sent := time.Now()
	version, digest, at := peer.Confirmation()
	age := time.Duration(-1)
	l.mu.Lock()
	if !at.IsZero() && !l.unconfirmed {
		age = time.Since(at)
	}
	if l.unconfirmed {
		digest = ""
	}
	l.mu.Unlock()
	f.RecordReply(addr, sent, version, digest, age)
}

// publish publishes a version with n organisations and returns its number. rate and
// fresh are set on the first organisation.
func (s *site) publish(n int, rate int64, maxConfigAge time.Duration) uint64 {
	s.t.Helper()
	cfg := &model.Config{Regions: []model.Region{{Name: "west"}}}
	for i := range n {
		name := fmt.Sprintf("organisation-%05d", i)
		cfg.Orgs = append(cfg.Orgs, model.Org{
			Name: name, Rate: 2000, Burst: 16_000, Regions: []string{"west"}, Keys: []model.Key{{Hash: model.HashKey(name)}},
		})
	}
	cfg.Orgs[0].Rate, cfg.Orgs[0].MaxConfigAge = rate, maxConfigAge
	pub, err := store.Publish(s.t.Context(), s.kv, cfg, fmt.Sprint(n, rate), 0)
	if err != nil {
		s.t.Fatal(err)
	}
	return pub.Version
}

// wait waits until the hosts have a version and returns how long that took.
func (s *site) wait(limit time.Duration, version uint64, ids ...int) time.Duration {
	s.t.Helper()
	start := time.Now()
	for {
		behind := 0
		for _, i := range ids {
			snap := s.hosts[hostAddr(i)].Snapshot()
			if snap == nil || snap.Version != version {
				behind = i
			}
		}
		took := time.Since(start)
		if behind == 0 {
			return took
		}
		if took > limit {
			s.t.Fatalf("host %d does not have version %d after %v, but %+v", behind, version, limit, s.hosts[hostAddr(behind)].Snapshot())
		}
		time.Sleep(10 * time.Millisecond)
	}
}
