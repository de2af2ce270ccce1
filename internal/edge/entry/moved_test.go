package entry

import (
	"context"
	"errors"
	"testing"

	"github.com/yuccalb/yuccalb/internal/edge/ledger"
	"github.com/yuccalb/yuccalb/internal/fake/origin"
	"github.com/yuccalb/yuccalb/platform"
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
	cl := movedCluster(t)
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
	cl.waitVersion(2)
	if r := cl.resumeAll(all); r.joined > 0 || r.refused != len(all) {
		t.Errorf("of %d streams: %+v, want all refused", len(all), r)
	}
}

// movedCluster starts hosts in two regions, whose streams of one route begin at the service desk, and servers of
// desk and shop, whose events differ.
func movedCluster(t *testing.T) *cluster {
	cl := newCluster(t)
	for _, site := range []string{"a1", "b1"} {
		cl.host(site)
		for _, service := range []string{"desk", "shop"} {
			s := origin.New(t, versioned(service))
			cl.store.PutEntry(plattest.Server{ID: service + "-" + site, Service: service, Site: site, Addr: s.Addr(), State: "ready", Version: "v1", Born: 1, Seq: 1})
		}
	}
	cl.waitBases()
	return cl
}

// waitBases waits until all hosts know the base versions of desk and shop.
func (cl *cluster) waitBases() {
	cl.t.Helper()
	for _, e := range cl.hosts {
		for _, service := range []string{"desk", "shop"} {
			cl.eventually("base version", func() bool {
				base, known := e.fleet.Bases().Base(service, 0)
				return known && e.fleet.ServesVersion(service, base, func(string) bool { return true })
			})
		}
	}
}

// move writes a version whose routes of resumable streams lead to a service.
func (cl *cluster) move(version int, service string) {
	c := config(version, key)
	c.Routes = nil
	for _, r := range routes {
		if r.Resumable && len(r.Split) == 0 {
			r.Service = service
		}
		c.Routes = append(c.Routes, r)
	}
	cl.store.PutConfig(c)
}

// waitVersion waits until a version is in force at all hosts.
func (cl *cluster) waitVersion(version int64) {
	cl.t.Helper()
	for _, e := range cl.hosts {
		cl.eventually("version", func() bool { return e.fleet.View().Snapshot.Version == version })
	}
}

// TestTakeUpAtNewHostAfterMove guards against streams that go on at a server of another service because the host at
// which they are taken up has started after their route was moved, and knows nothing of it.
func TestTakeUpAtNewHostAfterMove(t *testing.T) {
	for name, ended := range map[string]bool{"beside others": false, "all have ended": true} {
		t.Run(name, func(t *testing.T) {
			cl := movedCluster(t)
			all := cl.begin(12)
			if ended {
				for _, e := range cl.hosts {
					ctx, cancel := context.WithCancel(t.Context())
					cancel()
					_ = e.Close(ctx) // its requests in progress are cut
				}
			}
			cl.move(2, "shop")
			if !ended {
				cl.waitVersion(2)
			}
			cl.hosts = cl.hosts[len(cl.hosts):]
			for _, site := range []string{"a1", "b1"} {
				s := cl.settings(site)
				s.Host += "-new"
				s.First = false
				cl.waitReady(cl.start(s))
			}
			cl.waitBases()
			if r := cl.resumeAll(all); r.joined > 0 || r.refused != len(all) {
				t.Errorf("of %d streams: %+v, want all refused", len(all), r)
			}
		})
	}
}

// TestStreamsAfterMoveAreRecorded guards against streams that go on at a server of another service because the host
// at which they are taken up does not know yet that their route was moved before they began.
func TestStreamsAfterMoveAreRecorded(t *testing.T) {
	cl := movedCluster(t)
	cl.move(2, "shop")
	cl.waitVersion(2)
	for _, a := range cl.begin(12) {
		for _, e := range cl.hosts {
			if v, from, err := e.ledger.Version(t.Context(), platform.NewAttempt(a.id), "desk"); !errors.Is(err, ledger.ErrOtherService) {
				t.Errorf("a host that has the former version takes stream %s for one of %q at desk, known from %s, error %v", a.id, v, from, err)
			}
		}
	}
}
