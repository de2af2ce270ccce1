package target

import (
	"net/netip"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/member"
	"github.com/yuccalb/yuccalb/internal/core/model"
	"github.com/yuccalb/yuccalb/internal/core/route"
)

var (
	serverA      = netip.MustParseAddrPort("127.0.0.1:9001")
	serverB      = netip.MustParseAddrPort("127.0.0.1:9002")
	remoteServer = netip.MustParseAddrPort("127.0.0.1:9003")
)

// newSet returns the set of a host in data centre "a". Its service has two servers there
// and one in data centre "b".
func newSet(t *testing.T, now time.Time) (*Set, *model.Config, *member.View) {
	t.Helper()
	cfg := &model.Config{
		Regions: []model.Region{{Name: "r"}},
		Sites:   []model.Site{{Name: "a", Region: "r", Slots: 1}, {Name: "b", Region: "r", Slots: 1}},
		Services: []model.Service{{Name: "s", Kind: model.KindEngine, Servers: []model.Server{
			{Addr: serverA, Site: "a"}, {Addr: serverB, Site: "a"}, {Addr: remoteServer, Site: "b"},
		}}},
	}
	self := member.Ident{Addr: netip.MustParseAddrPort("127.0.0.1:7001"), Site: "a", Incarnation: 1}
	view := member.New(member.Config{Self: self}, now).View(now)
	set := New(Config{Site: "a", WAN: 1, Seed: 1})
	set.Update(model.NewSnapshot(1, "d", cfg), view, now)
	return set, cfg, view
}

// TestReport guards against reports that replace newer ones, against reports without a
// service that reset the limit of a server, and against servers of other data centres.
func TestReport(t *testing.T) {
	now := time.Now()
	set, cfg, view := newSet(t, now)
	if n := len(set.Servers()); n != 2 {
		t.Fatalf("%d servers in the local data centre, want 2", n)
	}
	full := Load{Service: "s", Load: route.Load{Addr: serverA, BatchSize: 16, Prefill: 1000, Running: 3, At: now}}
	set.RecordLoads([]Load{full, {Load: route.Load{Addr: serverB, Running: 1, At: now}}})
	if n := len(set.Loads()); n != 1 {
		t.Errorf("%d loads, want 1: a report without a service of an unknown server is ignored", n)
	}
	set.RecordLoads([]Load{{Load: route.Load{Addr: serverA, Running: 5, At: now.Add(time.Second)}}})
	outdated := full
	outdated.Running = 9
	set.RecordLoads([]Load{outdated})
	if l := set.Loads()[0]; l.Running != 5 || l.BatchSize != 16 || l.Service != "s" {
		t.Errorf("load %+v, want 5 running, limit 16 and service s", l)
	}
	if c := set.Capacities(); len(c) != 1 || c[0].Servers != 1 || c[0].Free != 11 {
		t.Errorf("capacities %+v, want one with 1 server and 11 free", c)
	}
	set.Update(model.NewSnapshot(2, "e", cfg), view, now.Add(loadExpiry+2*time.Second))
	if n := len(set.Loads()); n != 0 {
		t.Errorf("%d loads after all expired, want none", n)
	}
}

// TestRemovedService guards against a service that remains usable after it was removed
// from the configuration.
func TestRemovedService(t *testing.T) {
	now := time.Now()
	set, _, view := newSet(t, now)
	svc := set.Service("s")
	set.Update(model.NewSnapshot(2, "e", &model.Config{}), view, now)
	if set.Service("s") != nil {
		t.Error("removed service is still in the set")
	}
	if _, err := svc.Router.Pick(&route.Request{Regions: []string{"r"}}, now); err == nil {
		t.Error("removed service still has servers")
	}
}
