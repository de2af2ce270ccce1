package fleet

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/core/pick"
	"github.com/yuccalb/yuccalb/internal/core/spec"
	"github.com/yuccalb/yuccalb/internal/core/spread"
	"github.com/yuccalb/yuccalb/internal/edge/gossip"
)

func member(region string, i int) gossip.Member {
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, region[0], 0, byte(i)}), 80)
	return gossip.Member{Host: spec.Host{Name: fmt.Sprintf("%s-%d", region, i), Site: region + "1", Front: addr, Peer: addr}, Ready: true}
}

// regionOf returns a report of a region of n hosts, made age ago.
func regionOf(name string, n int, age time.Duration) gossip.Region {
	r := gossip.Region{Name: name, Age: age, ReportAges: map[string]time.Duration{"a": 0}}
	for i := range n {
		r.Members = append(r.Members, member(name, i))
	}
	return r
}

// TestReports guards against an older report that replaces a newer one, and
// against reports that each host passes on although another one has.
func TestReports(t *testing.T) {
	var s reports
	now := time.Now()
	if !s.take(regionOf("b", 3, 0), now, true) {
		t.Fatal("the first report was not taken")
	}
	if s.take(regionOf("b", 2, 100*time.Millisecond), now.Add(50*time.Millisecond), false) {
		t.Error("an older report was taken")
	}
	if got := s.pass(now.Add(100 * time.Millisecond)); len(got) != 0 {
		t.Error("a report was passed on right after another host had passed one on")
	}
	at := now.Add(time.Second)
	got := s.pass(at)
	if len(got) != 1 || got[0].Age != time.Second {
		t.Fatalf("passed on %+v, want the report with an age of 1 s", got)
	}
	if got := s.pass(at.Add(time.Second)); len(got) != 0 {
		t.Error("a report was passed on twice")
	}
	s.take(regionOf("b", 3, 0), at.Add(time.Second), false)
	if got := s.pass(at.Add(time.Hour)); len(got) != 0 {
		t.Error("a report from a host of the own region was passed on")
	}
	if got := s.recent(at.Add(time.Second)); len(got) != 1 {
		t.Errorf("%d regions in contact, want 1", len(got))
	}
	if got := s.recent(at.Add(time.Second + gossip.Lost)); len(got) != 0 {
		t.Errorf("%d regions in contact after a long silence", len(got))
	}
}

func newFleet(t *testing.T) *Fleet {
	t.Helper()
	self := member("a", 0).Host
	e, err := gossip.Listen(netip.MustParseAddrPort("127.0.0.1:0"), 1, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	f := New(Options{
		Self: self, Region: "a", Sites: map[string]string{"a1": "a", "b1": "b", "c1": "c"},
		Seeds: []netip.AddrPort{netip.MustParseAddrPort("10.9.9.9:1")}, Log: zap.NewNop(), Requests: zap.NewNop(),
	}, e)
	t.Cleanup(func() { _ = e.Close() })
	return f
}

// TestFarTargets guards against a host that sends to all hosts of other regions
// while a few can carry the reports, and against one that sends to too few
// while they do not arrive.
func TestFarTargets(t *testing.T) {
	const hosts = 25
	tests := []struct {
		name string
		rank int64
		age  time.Duration
		// deaf is set when the other regions do not say that they heard of the
		// own one.
		deaf bool
		want int // targets in two regions
	}{
		{"carrier", 0, 0, false, 2 * spread.Width(0)},
		{"second carrier", 1, 0, false, 2 * spread.Width(0)},
		{"no carrier", 2, 0, false, 0},
		{"no carrier, overdue", 7, 2600 * time.Millisecond, false, 2 * spread.Width(2600*time.Millisecond)},
		{"silence", 24, 10 * time.Second, false, 2 * hosts},
		{"unheard", 24, 0, true, 2 * hosts},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(t)
			now := time.Now()
			f.rank.Store(tt.rank)
			for _, name := range []string{"b", "c"} {
				r := regionOf(name, hosts, tt.age)
				if tt.deaf {
					r.ReportAges = nil
				}
				f.reports.take(r, now, true)
			}
			near := []gossip.Peer{{State: gossip.State{Host: member("a", 1).Host}, Heard: now}}
			got := f.farTargets(near, nil, now)
			seeds := 1 // they are asked while nothing was listed
			if len(got) != tt.want+seeds {
				t.Errorf("%d targets, want %d", len(got), tt.want+seeds)
			}
		})
	}
}

// TestStranger guards against a host of another region that gets no answer
// because no report names it yet.
func TestStranger(t *testing.T) {
	f := newFleet(t)
	now := time.Now()
	f.rank.Store(9)
	f.reports.take(regionOf("b", 5, 0), now, true)
	stranger := member("b", 77).Host
	known := member("b", 3).Host
	far := []gossip.Peer{{State: gossip.State{Host: stranger}}, {State: gossip.State{Host: known}}}
	got := f.farTargets(nil, far, now)
	found := map[netip.AddrPort]bool{}
	for _, a := range got {
		found[a] = true
	}
	if !found[stranger.Peer] {
		t.Error("the host that no report names gets no answer")
	}
	if found[known.Peer] {
		t.Error("a host that the report names is sent to by one that carries no reports")
	}
}

// TestPlaces guards against requests that are forwarded to hosts that stop soon,
// also when no other host of their region is left. Seen on the bench as a
// response that was cut when its second host reached the end of its grace time
// (Hüttenlauf, restarts-under-load --vary --seed 311789186998).
func TestPlaces(t *testing.T) {
	f := newFleet(t)
	leave := func(n int) {
		r := regionOf("b", 3, 0)
		r.Services = map[string]pick.Summary{"desk": {Servers: 2}}
		for i := range n {
			r.Members[i].Leaving = true
		}
		f.reports.take(r, time.Now(), true)
	}
	leave(1)
	if places := f.Places("desk"); len(places) != 1 || len(places[0].Hosts) != 2 {
		t.Errorf("one of three hosts leaves: %+v", places)
	}
	leave(3)
	if places := f.Places("desk"); len(places) != 0 {
		t.Errorf("all hosts leave: %+v", places)
	}
}
