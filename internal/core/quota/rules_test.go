package quota_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/yuccalb/yuccalb/internal/core/model"
	"github.com/yuccalb/yuccalb/internal/core/quota"
	"github.com/yuccalb/yuccalb/internal/fake/heap"
)

// pair is two hosts of one data centre, which hold the two slots of the fleet,
// and one organisation, whose pool the first host owns.
type pair struct {
	addr [2]netip.AddrPort
	node [2]*quota.Node
	org  model.Org
	snap *model.Snapshot
	view *quota.View
}

func newPair(refill int64) *pair {
	p := &pair{org: model.Org{Name: "x", Rate: refill, Burst: 1000}}
	p.snap = model.NewSnapshot(1, "", fleetConfig(1, 2, p.org))
	for i := range p.addr {
		p.addr[i] = netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(7001+i))
	}
	p.view = &quota.View{Members: p.addr[:], Order: func(string) []netip.AddrPort { return p.addr[:] }}
	for i := range p.node {
		p.start(i, 0, 1)
	}
	return p
}

func (p *pair) start(i int, at time.Duration, seed uint64) {
	p.node[i] = quota.NewNode(base.Add(at), p.addr[i], "a0", int64(at)+1, rand.New(rand.NewPCG(seed, 0)))
	p.node[i].Apply(base.Add(at), p.snap, 1)
	p.node[i].SetView(base.Add(at), p.view)
	p.node[i].SetSlot(base.Add(at), i, base.Add(time.Hour))
}

// exchangeHeartbeat delivers a heartbeat from the owner to the lessor that is
// sent at sent and whose reply arrives at back. It reports whether the reply
// contains a lease.
func (p *pair) exchangeHeartbeat(sent, back time.Duration) bool {
	lease, ok := p.node[1].Lease(base.Add(sent), p.addr[0], p.node[0].ReturnedLease(p.addr[1]))
	if ok {
		p.node[0].AcceptLease(base.Add(back), p.addr[1], base.Add(sent), lease)
	}
	return ok
}

// level takes all tokens of the owner's pool at a time and returns their number.
func (p *pair) level(at time.Duration) int64 {
	return p.node[0].Serve(base.Add(at), quota.Ask{Org: "x", Tokens: 1 << 30, Partial: true}).Tokens
}

const s = time.Second

// TestLease checks each rule of slot leases and grants.
func TestLease(t *testing.T) {
	tests := []struct {
		name string // the rule, or the condition under which it applies
		run  func(p *pair) any
		want any
	}{
		{"local slot only without a lease", func(p *pair) any { return p.level(30 * s) }, int64(500)},
		{"lease counts from sending", func(p *pair) any {
			p.exchangeHeartbeat(0, 4900*time.Millisecond)
			return p.level(6 * s)
		}, int64(500)},
		{"late reply grants no lease", func(p *pair) any {
			p.exchangeHeartbeat(0, 5*s)
			return p.level(30 * s)
		}, int64(500)},
		{"new lease adds no tokens", func(p *pair) any {
			p.level(19 * s)
			p.exchangeHeartbeat(19*s, 19*s)
			return p.level(19*s + time.Millisecond)
		}, int64(0)},
		{"new lease of an idle organisation", func(p *pair) any {
			p.exchangeHeartbeat(19*s, 19*s)
			return p.level(20 * s)
		}, int64(747)},
		{"reclaimed slot is empty", func(p *pair) any {
			p.node[0].SetView(base.Add(30*s), &quota.View{Members: p.addr[:1], Order: p.view.Order})
			p.node[0].Sweep(base.Add(33 * s))
			return p.level(34 * s)
		}, int64(247)},
		{"right to the local slot ends", func(p *pair) any {
			p.node[0].SetSlot(base, 0, base.Add(10*s))
			return p.level(11 * s)
		}, int64(0)},
		{"old member list is not used", func(p *pair) any {
			lease, _ := p.node[1].Lease(base, p.addr[0], 0)
			p.node[0].SetView(base, &quota.View{Members: p.addr[:1], Order: p.view.Order})
			p.node[0].AcceptLease(base, p.addr[1], base, lease)
			return p.node[0].ReturnedLease(p.addr[1]) == lease.Seq
		}, true},
		{"changed members wait for leases", func(p *pair) any {
			p.exchangeHeartbeat(0, 0)
			p.node[1].SetView(base, &quota.View{Members: p.addr[1:], Order: p.view.Order})
			p.node[1].SetView(base, p.view)
			return fmt.Sprint(p.exchangeHeartbeat(quota.Reclaim-1, quota.Reclaim-1), p.exchangeHeartbeat(quota.Reclaim, quota.Reclaim))
		}, "false true"},
		{"returned lease waits for grants", func(p *pair) any {
			p.exchangeHeartbeat(0, 0)
			p.node[1].SetView(base, &quota.View{Members: p.addr[1:], Order: p.view.Order})
			p.node[1].SetView(base, p.view)
			p.node[0].SetView(base.Add(s), &quota.View{Members: p.addr[:1], Order: p.view.Order})
			p.node[0].SetView(base.Add(s), p.view)
			end := s + quota.GrantLength + quota.GrantLength/99
			return fmt.Sprint(p.exchangeHeartbeat(s, s), p.exchangeHeartbeat(end, end), p.exchangeHeartbeat(end+1, end+1))
		}, "false false true"},
		{"sequence number returned to an earlier process", func(p *pair) any {
			for range 9 {
				p.exchangeHeartbeat(0, 0)
			}
			p.node[0].SetView(base, &quota.View{Members: p.addr[:1], Order: p.view.Order})
			p.node[0].SetView(base, p.view)
			old := p.node[0].ReturnedLease(p.addr[1])
			p.start(1, s, 1)
			lease, _ := p.node[1].Lease(base.Add(s), p.addr[0], old)
			return lease.Seq > old
		}, true},
		{"settlement for an earlier process", func(p *pair) any {
			g := p.node[0].Serve(base.Add(30*s), quota.Ask{Org: "x", Tokens: 100})
			p.start(0, 30*s, 2)
			p.node[0].Serve(base.Add(60*s), quota.Ask{Org: "x", Tokens: 500})
			p.node[0].Settle(base.Add(60*s), quota.Settlement{ID: g.ID, Org: "x", Unused: 100, Final: true})
			return p.level(60 * s)
		}, int64(0)},
		{"repeated refund", func(p *pair) any {
			g := p.node[0].Serve(base.Add(30*s), quota.Ask{Org: "x", Tokens: 500, Refundable: 100})
			for range 3 {
				p.node[0].Settle(base.Add(30*s), quota.Settlement{ID: g.ID, Org: "x", Spent: 400, Unused: 100, Final: true})
			}
			return p.level(30 * s)
		}, int64(100)},
		{"refund of more than half the burst", func(p *pair) any {
			g := p.node[0].Serve(base.Add(30*s), quota.Ask{Org: "x", Tokens: 500, Refundable: 400})
			p.node[0].Settle(base.Add(30*s), quota.Settlement{ID: g.ID, Org: "x", Spent: 500})
			p.node[0].Settle(base.Add(30*s), quota.Settlement{ID: g.ID, Org: "x", Spent: 100, Unused: 400, Final: true})
			return p.level(30 * s)
		}, int64(250)},
		{"unspent grant counts against the burst", func(p *pair) any {
			p.node[0].Serve(base.Add(30*s), quota.Ask{Org: "x", Tokens: 500})
			return p.level(32 * s)
		}, int64(0)},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			if got := tc.run(newPair(500)); got != tc.want {
				t.Errorf("got %v, want %v", got, tc.want)
			}
		})
	}
}

// TestShares guards against shares that add up to more than the whole limit
// while hosts use different versions, and against a share that grows before
// grants under the earlier shares have ended or that adds tokens when it grows.
func TestShares(t *testing.T) {
	config := func(version uint64, home string, slots int) *model.Snapshot {
		cfg := fleetConfig(2, 2, model.Org{Name: "x", Rate: 1000, Burst: 1000, HomeRegion: home})
		cfg.Sites[1].Slots = slots
		return model.NewSnapshot(version, "", cfg)
	}
	for _, tc := range []struct {
		name        string
		first, next *model.Snapshot
		before      int64 // share of each slot of a0, in thousandths
		during      int64
		after       int64
	}{
		{"home moves to this region", config(1, "b", 2), config(2, "a", 2), 150, 150, 350},
		{"home moves to the other region", config(1, "a", 2), config(2, "b", 2), 350, 150, 150},
		{"home removed", config(1, "a", 2), config(2, "", 2), 350, 250, 250},
		{"slots added", config(1, "", 2), config(2, "", 8), 250, 100, 100},
		{"slots removed", config(1, "", 8), config(2, "", 2), 100, 100, 250},
		{"version skipped", config(1, "a", 2), config(3, "a", 2), 350, 150, 350},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newPair(500)
			p.snap = tc.first
			p.start(0, 0, 1)
			share := func(at time.Duration, snap *model.Snapshot, floor uint64) int64 {
				p.node[0].Apply(base.Add(at), snap, floor)
				return p.node[0].Shares().Slot(p.node[0].Shares().Org("x"), "a0").Of(1000)
			}
			got := []int64{
				share(9*s, tc.first, 1), share(30*s, tc.next, 1), share(40*s, tc.next, tc.next.Version),
				share(40*s+quota.GrantLength, tc.next, tc.next.Version), share(43*s, tc.next, tc.next.Version), p.level(43 * s),
			}
			want := []int64{tc.before, tc.during, tc.during, tc.during, tc.after, tc.during}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("shares and last level (-want +got):\n%s", diff)
			}
		})
	}
}

// TestGrantExpires guards against spending a grant that arrived in time but is
// used after a pause, when it has expired.
func TestGrantExpires(t *testing.T) {
	p := newPair(500)
	for _, late := range []time.Duration{0, quota.GrantLength} {
		at := 30 * s
		acq := p.node[0].Acquire(base.Add(at), &p.org, 100, 0, nil)
		res, _, _ := p.node[0].Spend(base.Add(at+late), acq)
		if (res != nil) != (late == 0) {
			t.Errorf("spend %v after the start: admitted %v", late, res != nil)
		}
	}
}

// TestCheck guards against asking pools for requests that are certain to be
// rejected, and against rejecting smaller requests that would be admitted.
func TestCheck(t *testing.T) {
	p := newPair(500)
	n := p.node[0]
	if r := n.Check(base, &p.org, 1001); r == nil || r.Reason != model.ReasonTooLarge || r.RetryAfter != 0 {
		t.Errorf("above the burst: %+v", r)
	}
	n.Reject(base, &p.org, 600, 2*s, true)
	for _, tc := range []struct {
		at     time.Duration
		tokens int64
		wait   bool
	}{{0, 600, true}, {0, 900, true}, {s / 2, 50, true}, {s, 50, false}, {s, 600, true}, {s + s/2, 400, true}, {2 * s, 600, false}} {
		r := n.Check(base.Add(tc.at), &p.org, tc.tokens)
		if (r != nil) != tc.wait || r != nil && (r.RetryAfter <= 0 || r.Reason != model.ReasonRateLimited) {
			t.Errorf("%d tokens at %v: %+v, want a rejection: %v", tc.tokens, tc.at, r, tc.wait)
		}
	}
}

// BenchmarkMemory reports the memory of a host's node with 30,000 organisations,
// of which some were active within a few seconds.
func BenchmarkMemory(b *testing.B) {
	for _, active := range []int{5, 3000} {
		b.Run(fmt.Sprint(active), func(b *testing.B) {
			for b.Loop() {
				bytes, left := memory(active)
				b.ReportMetric(float64(bytes), "B")
				b.ReportMetric(float64(left), "pools-after-idle")
			}
		})
	}
}

func memory(active int) (bytes int64, left int) {
	var orgs []model.Org
	for i := range 30_000 {
		orgs = append(orgs, model.Org{Name: fmt.Sprintf("organisation-%05d", i), Rate: 2000, Burst: 16000})
	}
	snap := model.NewSnapshot(1, "", fleetConfig(1, 2, orgs...))
	before := heap.InUse()
	p := newPair(500)
	p.snap = snap
	p.start(0, 0, 1)
	for i := range active {
		ask := quota.Ask{Org: orgs[i].Name, Tokens: 800, Refundable: 400}
		g := p.node[0].Serve(base.Add(30*s), ask)
		p.node[0].Settle(base.Add(30*s), quota.Settlement{ID: g.ID, Org: ask.Org, Spent: 800})
		p.node[0].Serve(base.Add(30*s), ask)
	}
	bytes = heap.InUse() - before
	p.node[0].Sweep(base.Add(time.Hour))
	left = p.node[0].Pools()
	runtime.KeepAlive(snap)
	return bytes, left
}

// TestIdlePools guards against pools of idle organisations that stay in memory,
// and against too much memory for active ones.
func TestIdlePools(t *testing.T) {
	bytes, left := memory(3000)
	if left != 0 {
		t.Errorf("%d pools remain an hour after the last request", left)
	}
	if limit := int64(8 << 20); bytes > limit {
		t.Errorf("3,000 active organisations take %d bytes, want at most %d", bytes, limit)
	}
}
