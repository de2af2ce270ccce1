package spend

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/model"
	"github.com/yuccalb/yuccalb/internal/core/quota"
	"github.com/yuccalb/yuccalb/internal/core/slots"
	"github.com/yuccalb/yuccalb/internal/daemon/pause"
	"github.com/yuccalb/yuccalb/internal/wire/peerpb"
)

// network is a Sender that connects limiters with a delay per message. Calls to a
// stalled host block until their context ends.
type network struct {
	mu      sync.Mutex
	hosts   map[netip.AddrPort]*Limiter
	stalled map[netip.AddrPort]bool
	delay   time.Duration
	grants  int
	asks    int
	settles int
}

// connect returns the limiter at addr after the delay.
func (n *network) connect(ctx context.Context, addr netip.AddrPort) (*Limiter, error) {
	n.mu.Lock()
	l, stalled := n.hosts[addr], n.stalled[addr]
	n.mu.Unlock()
	if stalled {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if l == nil {
		return nil, errors.New("connection refused")
	}
	return l, pause.Sleep(ctx, n.delay)
}

func (n *network) Grant(ctx context.Context, addr netip.AddrPort, req *peerpb.GrantRequest) (*peerpb.GrantReply, error) {
	l, err := n.connect(ctx, addr)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	n.grants++
	n.asks += len(req.GetAsks())
	n.mu.Unlock()
	reply, err := l.Grant(ctx, req)
	if err != nil {
		return nil, err
	}
	return reply, pause.Sleep(ctx, n.delay)
}

func (n *network) Settle(ctx context.Context, addr netip.AddrPort, req *peerpb.SettleRequest) (*peerpb.SettleReply, error) {
	l, err := n.connect(ctx, addr)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	n.settles++
	n.mu.Unlock()
	return l.Settle(ctx, req)
}

func (n *network) settleCalls() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.settles
}

// fleet is two data centres with two hosts each. The first host of each data centre
// owns all its pools. Every slot holds 250 tokens.
type fleet struct {
	net  *network
	org  model.Org
	snap *model.Snapshot
	list []*Limiter
	addr []netip.AddrPort
}

func newFleet(rate int64) *fleet {
	f := &fleet{
		net: &network{hosts: map[netip.AddrPort]*Limiter{}, stalled: map[netip.AddrPort]bool{}, delay: 5 * time.Millisecond},
		org: model.Org{Name: "shop", Rate: rate, Burst: 1000},
	}
	f.snap = model.NewSnapshot(1, "", &model.Config{
		Regions: []model.Region{{Name: "west"}, {Name: "east"}},
		Sites:   []model.Site{{Name: "w", Region: "west", Slots: 2}, {Name: "e", Region: "east", Slots: 2}},
		Orgs:    []model.Org{f.org},
	})
	for i := range 4 {
		f.addr = append(f.addr, netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(7001+i)))
	}
	for i := range 4 {
		local, remote := f.addr[i/2*2:i/2*2+2], f.addr[2-i/2*2]
		l := New(Config{
			Self: f.addr[i], Site: []string{"w", "e"}[i/2], Incarnation: 1,
			Rand: rand.New(rand.NewPCG(uint64(i), 0)), Sender: f.net,
		})
		l.Apply(f.snap, 1)
		l.SetView(&quota.View{
			Members: local, Order: func(string) []netip.AddrPort { return local },
			Remotes: []quota.Remote{{
				Site: []string{"e", "w"}[i/2], Region: []string{"east", "west"}[i/2],
				Owner: func(string) netip.AddrPort { return remote },
			}},
		})
		l.SetSlot(i%2, time.Now().Add(time.Hour))
		f.net.hosts[f.addr[i]] = l
		f.list = append(f.list, l)
	}
	return f
}

// heartbeats sends one heartbeat per second to each lessor until d has passed, so that
// the pool owners lease all slots.
func (f *fleet) heartbeats(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Second) {
		for i := 0; i < len(f.list); i += 2 {
			sent := time.Now()
			f.list[i].AcceptLease(f.addr[i+1], sent, f.list[i+1].Lease(f.addr[i], f.list[i].ReturnedLease(f.addr[i+1])))
		}
	}
}

func (f *fleet) close() {
	for _, l := range f.list {
		l.Close()
	}
}

// reserveAll reserves tokens at a host until a request is rejected, and returns their
// number.
func (f *fleet) reserveAll(l *Limiter, regions []string) int {
	n := 0
	for {
		if _, err := l.Reserve(context.Background(), &f.org, 10, 0, regions); err != nil {
			return n
		}
		n += 10
	}
}

func runFleet(t *testing.T, rate int64, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(rate)
		defer f.close()
		test(t, f)
	})
}

// TestReserve checks each source of tokens for a request (the host's own pool, the pool
// owner, other data centres), the restriction to allowed regions, and rejections.
func TestReserve(t *testing.T) {
	for _, tc := range []struct {
		name    string
		host    int
		tokens  int64
		regions []string
		reason  model.Reason
	}{
		{"at the owner", 0, 400, nil, ""},
		{"through the owner", 1, 400, nil, ""},
		{"from both data centres", 1, 900, nil, ""},
		{"from both as the owner", 2, 900, []string{"east", "west"}, ""},
		{"other region not allowed", 1, 900, []string{"west"}, model.ReasonRateLimited},
		{"local region suffices", 1, 500, []string{"west"}, ""},
		{"above the burst", 0, 1001, nil, model.ReasonTooLarge},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runFleet(t, 100, func(t *testing.T, f *fleet) {
				f.heartbeats(12 * time.Second)
				_, err := f.list[tc.host].Reserve(context.Background(), &f.org, tc.tokens, 0, tc.regions)
				var r *model.Rejection
				switch {
				case err == nil && tc.reason == "":
				case !errors.As(err, &r) || r.Reason != tc.reason || r.Run != model.RunNo:
					t.Errorf("got %v, want reason %q", err, tc.reason)
				}
			})
		})
	}
}

// TestLimit checks that all hosts together can reserve what their slots hold, and no more
// than rate x time + burst, with calls over the network. A rejection must carry a retry
// time and be cached, so that further requests are rejected without a call.
func TestLimit(t *testing.T) {
	runFleet(t, 100, func(t *testing.T, f *fleet) {
		f.heartbeats(12 * time.Second)
		sum, start := 0, time.Now()
		for i := range f.list {
			sum += f.reserveAll(f.list[i], nil)
		}
		if most := 1000 + int(100*time.Since(start).Seconds()); sum < 980 || sum > most {
			t.Errorf("reserved %d tokens, want 980 to %d", sum, most)
		}
		before := f.net.grants
		_, err := f.list[1].Reserve(context.Background(), &f.org, 500, 0, nil)
		var r *model.Rejection
		if !errors.As(err, &r) || r.RetryAfter <= 0 || r.RetryAfter > 6*time.Second {
			t.Errorf("got %v, want a time to retry of about 5s", err)
		}
		for range 100 {
			f.list[1].Reserve(context.Background(), &f.org, 500, 0, nil)
		}
		if calls := f.net.grants - before; calls > 1 {
			t.Errorf("101 rejections took %d calls, want at most 1", calls)
		}
	})
}

// TestSettle checks that a refund reaches another data centre through the pool owner,
// and that settlements are batched.
func TestSettle(t *testing.T) {
	runFleet(t, 1, func(t *testing.T, f *fleet) {
		f.heartbeats(1100 * time.Second)
		res, err := f.list[1].Reserve(context.Background(), &f.org, 1000-8, 400, nil)
		if err != nil {
			t.Fatal(err)
		}
		f.heartbeats(time.Second)
		res.Settle(400)
		res.Settle(400)
		f.heartbeats(time.Second)
		if calls := f.net.settleCalls(); calls > 4 {
			t.Errorf("%d Settle calls for a reservation from two data centres, want at most 4", calls)
		}
		n := f.reserveAll(f.list[1], nil)
		if n < 350 || n > 420 {
			t.Errorf("%d tokens after a refund of 400", n)
		}
		if calls := f.net.settleCalls(); calls > n/20 {
			t.Errorf("%d Settle calls for %d reservations, want them batched", calls, n/10)
		}
	})
}

// TestOwnerStalled guards against requests that wait too long for a pool owner that does
// not answer. The first request waits for at most ownerTimeout and is then served by
// other data centres; later requests do not ask the owner.
func TestOwnerStalled(t *testing.T) {
	runFleet(t, 100, func(t *testing.T, f *fleet) {
		f.heartbeats(12 * time.Second)
		f.net.stalled[f.addr[0]] = true
		for i, limit := range []time.Duration{ownerTimeout + 100*time.Millisecond, 100 * time.Millisecond} {
			start := time.Now()
			if _, err := f.list[1].Reserve(context.Background(), &f.org, 100, 0, nil); err != nil {
				t.Error(err)
			}
			if took := time.Since(start); took > limit {
				t.Errorf("request %d took %v, want at most %v", i, took, limit)
			}
		}
	})
}

// TestDeadline guards against a Reserve that returns after its deadline, and against
// the loss of tokens granted for it.
func TestDeadline(t *testing.T) {
	runFleet(t, 1, func(t *testing.T, f *fleet) {
		f.heartbeats(1100 * time.Second)
		f.net.delay = 50 * time.Millisecond
		ctx, cancel := context.WithTimeout(context.Background(), 70*time.Millisecond)
		defer cancel()
		_, err := f.list[1].Reserve(ctx, &f.org, 500, 0, nil)
		var r *model.Rejection
		if !errors.As(err, &r) || r.Reason != model.ReasonDeadline {
			t.Errorf("got %v, want reason deadline", err)
		}
		f.heartbeats(time.Second)
		if n := f.reserveAll(f.list[0], []string{"west"}); n != 500 {
			t.Errorf("%d tokens are left, want 500", n)
		}
	})
}

// TestClose guards against settlements that are lost in a graceful shutdown while a call
// to another host hangs, and against a Close that blocks on that call.
func TestClose(t *testing.T) {
	runFleet(t, 1, func(t *testing.T, f *fleet) {
		f.heartbeats(1100 * time.Second)
		res, err := f.list[1].Reserve(context.Background(), &f.org, 400, 250, nil)
		if err != nil {
			t.Fatal(err)
		}
		f.net.stalled[f.addr[2]] = true
		f.list[1].outbox.add([]quota.OutSettlement{{Addr: f.addr[2]}})
		f.heartbeats(time.Second)
		res.Settle(250)
		start := time.Now()
		f.list[1].Close()
		if took := time.Since(start); took > settleTimeout {
			t.Errorf("Close took %v", took)
		}
		if n := f.reserveAll(f.list[0], []string{"west"}); n < 340 {
			t.Errorf("%d tokens after a refund, want 340 to 350", n)
		}
		_, err = f.list[1].Reserve(context.Background(), &f.org, 1, 0, nil)
		var r *model.Rejection
		if !errors.As(err, &r) || r.Reason != model.ReasonLeaving {
			t.Errorf("reserve after Close: %v, want reason leaving", err)
		}
	})
}

// TestBatch checks that concurrent asks to one host are combined into few calls.
func TestBatch(t *testing.T) {
	runFleet(t, 100, func(t *testing.T, f *fleet) {
		f.heartbeats(12 * time.Second)
		var tasks sync.WaitGroup
		for range 40 {
			tasks.Go(func() { f.list[1].Reserve(context.Background(), &f.org, 1, 0, nil) })
		}
		tasks.Wait()
		if f.net.asks != 40 || f.net.grants > 2*maxInFlight {
			t.Errorf("%d asks took %d calls, want 40 in at most %d", f.net.asks, f.net.grants, 2*maxInFlight)
		}
	})
}

// memStore is a store in memory that can drop responses to writes.
type memStore struct {
	value       []byte
	version     uint64
	dropAnswers int // number of writes that take effect but return an error
}

func (s *memStore) answer() error {
	if s.dropAnswers > 0 {
		s.dropAnswers--
		return errors.New("no answer")
	}
	return nil
}

func (s *memStore) Get(context.Context, string) ([]byte, uint64, error) {
	return s.value, s.version, nil
}

func (s *memStore) Swap(_ context.Context, _ string, value []byte, prev uint64) (uint64, bool, error) {
	if prev != s.version {
		return s.version, false, nil
	}
	s.value, s.version = value, prev+1
	return s.version, true, s.answer()
}

// TestClaimer checks the claim and the release of a slot: a claim whose response was lost
// is recognised, the slot is not used before the configuration was confirmed, and a
// release waits until the leases have ended.
func TestClaimer(t *testing.T) {
	runFleet(t, 100, func(t *testing.T, f *fleet) {
		l, store := f.list[1], &memStore{dropAnswers: 1}
		l.SetSlot(-1, time.Now())
		var confirmed atomic.Bool
		c := NewClaimer(ClaimConfig{
			Self: slots.Holder{Addr: f.addr[1], Incarnation: 1}, Site: "w", TakeoverDelay: slots.TakeoverDelay, Store: store, Limiter: l,
			PeerFailed: func(netip.AddrPort) bool { return false }, CheckCurrent: func(context.Context) error {
				if !confirmed.Load() {
					return errors.New("store not read")
				}
				return nil
			},
			Rand: rand.New(rand.NewPCG(1, 1)),
		})
		time.Sleep(10 * time.Second)
		if lease := l.Lease(f.addr[0], 0); lease != nil {
			t.Error("slot leased before the configuration was confirmed")
		}
		confirmed.Store(true)
		time.Sleep(10 * time.Second)
		if lease := l.Lease(f.addr[0], 0); lease == nil {
			t.Errorf("no lease with record %s", store.value)
		}
		start := time.Now()
		if err := c.Release(context.Background()); err != nil {
			t.Error(err)
		}
		took := time.Since(start)
		c.Close()
		if took < quota.Reclaim || string(store.value) != `{"claims":[]}` {
			t.Errorf("release took %v, want at least %v; record %s", took, quota.Reclaim, store.value)
		}
	})
}

// ExampleLimiter_Reserve reserves the tokens of a request and refunds those that the
// response did not use.
func ExampleLimiter_Reserve() {
	f := newFleet(1000)
	defer f.close()
	res, err := f.list[0].Reserve(context.Background(), &f.org, 2000, 500, nil)
	if err != nil {
		fmt.Println(err)
		return
	}
	res.Settle(300)
	// Output: too_large: request of 2000 tokens exceeds the burst of 1000
}
