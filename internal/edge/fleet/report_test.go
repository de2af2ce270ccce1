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

// regionOf returns a report of a region with n hosts that was created age ago.
func regionOf(name string, n int, age time.Duration) gossip.Region {
	r := gossip.Region{Name: name, Age: age, ReportAges: map[string]time.Duration{"a": 0}}
	for i := range n {
		r.Members = append(r.Members, member(name, i))
	}
	return r
}

// TestReports guards against an older report that replaces a newer one, and against
// a host that forwards a report although another host has done so.
func TestReports(t *testing.T) {
	var s reports
	now := time.Now()
	if !s.add(regionOf("b", 3, 0), now, true) {
		t.Fatal("the first report was rejected")
	}
	if s.add(regionOf("b", 2, 100*time.Millisecond), now.Add(50*time.Millisecond), false) {
		t.Error("an older report was accepted")
	}
	if got := s.forward(now.Add(100 * time.Millisecond)); len(got) != 0 {
		t.Error("a report was forwarded right after another host had forwarded one")
	}
	at := now.Add(time.Second)
	got := s.forward(at)
	if len(got) != 1 || got[0].Age != time.Second {
		t.Fatalf("forwarded %+v, want the report with an age of 1 s", got)
	}
	if got := s.forward(at.Add(time.Second)); len(got) != 0 {
		t.Error("a report was forwarded twice")
	}
	s.add(regionOf("b", 3, 0), at.Add(time.Second), false)
	if got := s.forward(at.Add(time.Hour)); len(got) != 0 {
		t.Error("a report from a host of the local region was forwarded")
	}
	if got := s.recent(at.Add(time.Second)); len(got) != 1 {
		t.Errorf("%d regions reachable, want 1", len(got))
	}
	if got := s.recent(at.Add(time.Second + gossip.PeerTimeout)); len(got) != 0 {
		t.Errorf("%d regions reachable without a recent report", len(got))
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

// TestRemoteTargets guards against a host that sends to all hosts of remote regions
// although a few hosts exchange the reports, and against one that sends to too few
// hosts while the reports do not arrive.
func TestRemoteTargets(t *testing.T) {
	const hosts = 25
	tests := []struct {
		name     string
		position int64
		age      time.Duration
		// unacknowledged is set if the remote regions do not state that they
		// have received reports of the local one.
		unacknowledged bool
		want           int // targets in two regions
	}{
		{"first host", 0, 0, false, 2 * spread.Width(0)},
		{"second host", 1, 0, false, 2 * spread.Width(0)},
		{"third host", 2, 0, false, 0},
		{"report overdue", 7, 2600 * time.Millisecond, false, 2 * spread.Width(2600*time.Millisecond)},
		{"report very old", 24, 10 * time.Second, false, 2 * hosts},
		{"reports not received by remote regions", 24, 0, true, 2 * hosts},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(t)
			now := time.Now()
			f.position.Store(tt.position)
			for _, name := range []string{"b", "c"} {
				r := regionOf(name, hosts, tt.age)
				if tt.unacknowledged {
					r.ReportAges = nil
				}
				f.reports.add(r, now, true)
			}
			local := []gossip.Peer{{State: gossip.State{Host: member("a", 1).Host}, Received: now}}
			got := f.remoteTargets(local, nil, now)
			seeds := 1 // included until the entries are listed
			if len(got) != tt.want+seeds {
				t.Errorf("%d targets, want %d", len(got), tt.want+seeds)
			}
		})
	}
}

// TestUnreportedHost guards against a host of a remote region that gets no response
// because the report of its region does not list it yet.
func TestUnreportedHost(t *testing.T) {
	f := newFleet(t)
	now := time.Now()
	f.position.Store(9)
	f.reports.add(regionOf("b", 5, 0), now, true)
	unreported := member("b", 77).Host
	reported := member("b", 3).Host
	remote := []gossip.Peer{{State: gossip.State{Host: unreported}}, {State: gossip.State{Host: reported}}}
	got := f.remoteTargets(nil, remote, now)
	found := map[netip.AddrPort]bool{}
	for _, a := range got {
		found[a] = true
	}
	if !found[unreported.Peer] {
		t.Error("no answer to the host that is not in the report")
	}
	if found[reported.Peer] {
		t.Error("state sent to a host in the report, although this host exchanges no reports")
	}
}

// TestLeavingHosts guards against forwarding requests to hosts that are leaving, even
// if all hosts of their region are. In a trial of the Hüttenlauf site
// (restarts-under-load --vary --seed 311789186998) a response was cut off when the
// host to which the request had been forwarded reached the end of its grace period.
func TestLeavingHosts(t *testing.T) {
	f := newFleet(t)
	leave := func(n int) {
		r := regionOf("b", 3, 0)
		r.Services = map[string]pick.Summary{"desk": {Servers: 2}}
		for i := range n {
			r.Members[i].Leaving = true
		}
		f.reports.add(r, time.Now(), true)
	}
	leave(1)
	if regions := f.RemoteRegions("desk"); len(regions) != 1 || len(regions[0].Hosts) != 2 {
		t.Errorf("one of three hosts is leaving: %+v", regions)
	}
	leave(3)
	if regions := f.RemoteRegions("desk"); len(regions) != 0 {
		t.Errorf("all hosts are leaving: %+v", regions)
	}
}
