package entry

import (
	"testing"

	"github.com/yuccalb/yuccalb/internal/fake/origin"
	"github.com/yuccalb/yuccalb/platform/plattest"
)

// TestTakeUpAfterRouteMoved guards against streams that go on at a server of another service,
// because a version has moved their route since they began, or put another one in its place.
func TestTakeUpAfterRouteMoved(t *testing.T) {
	for name, change := range map[string]func(plattest.Route) []plattest.Route{
		"moved": func(r plattest.Route) []plattest.Route {
			r.Service = "shop"
			return []plattest.Route{r}
		},
		"replaced by a shorter prefix": func(r plattest.Route) []plattest.Route {
			r.Prefix, r.Service = "/", "shop"
			return []plattest.Route{r}
		},
	} {
		t.Run(name, func(t *testing.T) { checkTakeUpAfter(t, change) })
	}
}

// checkTakeUpAfter checks that no stream is taken up after a change of its route to another service.
func checkTakeUpAfter(t *testing.T, change func(plattest.Route) []plattest.Route) {
	cl := newCluster(t)
	for _, site := range []string{"a1", "b1"} {
		cl.host(site)
		for _, service := range []string{"desk", "shop"} {
			s := origin.New(t, versioned(service))
			cl.store.PutEntry(plattest.Server{ID: service + "-" + site, Service: service, Site: site, Addr: s.Addr(), State: "ready", Version: "v1", Born: 1, Seq: 1})
		}
	}
	for _, e := range cl.hosts {
		for _, service := range []string{"desk", "shop"} {
			cl.eventually("base version", func() bool {
				base, known := e.fleet.Bases().Base(service, 0)
				return known && e.fleet.ServesVersion(service, base, func(string) bool { return true })
			})
		}
	}
	all := cl.begin(12)
	moved := config(2, key)
	moved.Routes = nil
	for _, r := range routes {
		if r.Prefix == "/resume/" {
			moved.Routes = append(moved.Routes, change(r)...)
			continue
		}
		moved.Routes = append(moved.Routes, r)
	}
	cl.store.PutConfig(moved)
	for _, e := range cl.hosts {
		cl.eventually("version 2", func() bool { return e.fleet.View().Snapshot.Version == 2 })
	}
	if r := cl.resumeAll(all); r.joined > 0 || r.refused != len(all) {
		t.Errorf("of %d streams: %+v, want all refused", len(all), r)
	}
}
