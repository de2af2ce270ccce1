package fleet

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/core/pick"
	"github.com/yuccalb/yuccalb/internal/core/reach"
	"github.com/yuccalb/yuccalb/internal/core/spec"
	"github.com/yuccalb/yuccalb/internal/core/steer"
	"github.com/yuccalb/yuccalb/internal/edge/gossip"
)

// Path returns the path of this host to the servers of its region.
func (f *Fleet) Path() *reach.Path { return f.path }

// PathChanged logs a change of the state of the path and tells the other hosts at once.
func (f *Fleet) PathChanged() {
	state := f.path.State()
	msg := "lost path to servers"
	if state == reach.Reached {
		msg = "regained path to servers"
	}
	f.opts.Log.Warn(msg, zap.Stringer("path", state), zap.Int("neighbours", len(f.neighbours(time.Now(), ""))))
	f.gossip.Flush()
}

// Reaches reports whether this host reaches servers of a service, as far as it knows.
func (f *Fleet) Reaches(service string) bool {
	if f.path.State() != reach.Reached {
		return false
	}
	svc := f.Service(service)
	return svc == nil || !svc.Table.OnTrial()
}

// unreached returns the names of the services whose servers this host does not reach.
func (f *Fleet) unreached() []string {
	var names []string
	for name := range *f.tables.Load() {
		if !f.Reaches(name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// CutOff reports whether this host has lost its path to the servers of its region while
// another host of the region has one.
func (f *Fleet) CutOff() bool {
	return f.path.State() != reach.Reached && len(f.neighbours(time.Now(), "")) > 0
}

// HasNeighbours reports whether other hosts of the region are reachable.
func (f *Fleet) HasNeighbours() bool {
	local, _ := f.reachable(time.Now())
	return len(local) > 0
}

// Neighbours returns the other hosts of the region that reach servers of a service, with
// weights by their cores and their requests in progress.
func (f *Fleet) Neighbours(service string, now time.Time) []steer.Host {
	return f.neighbours(now, service)
}

// neighbours is Neighbours; without a service, it returns the hosts that have a path to
// any servers.
func (f *Fleet) neighbours(now time.Time, service string) []steer.Host {
	local, _ := f.reachable(now)
	var hosts []steer.Host
	for _, p := range local {
		s := &p.State
		if !f.serves(&p, service, now) {
			continue
		}
		running := 0
		for _, loads := range s.Loads {
			for _, l := range loads {
				running += l.Running
			}
		}
		hosts = append(hosts, steer.Host{Addr: s.Host.Peer, Weight: max(s.Host.Cores, minCores) / float64(1+running)})
	}
	return hosts
}

// minCores replaces the cores of a host that does not state them.
const minCores = 0.1

// summary returns the state of a service in the local region. A host that does not reach
// its servers reports them as the hosts beside it see them.
func (f *Fleet) summary(name string, svc *Service, now time.Time) pick.Summary {
	if !f.Reaches(name) && len(f.neighbours(now, name)) > 0 {
		return svc.Table.SummaryVia(now)
	}
	return svc.Table.Summary(now)
}

// withPath returns the hosts of a region to which callers are directed: those that are
// not cut off from the servers, unless these are less than half of all.
func withPath(hosts []steer.Host, cutOff []netip.AddrPort) []steer.Host {
	if len(cutOff) == 0 || 2*len(cutOff) > len(hosts) {
		return hosts
	}
	return slices.DeleteFunc(hosts, func(h steer.Host) bool { return slices.Contains(cutOff, h.Addr) })
}

// reaching returns the hosts of a report that reach servers of a service, or all hosts if
// none does.
func (f *Fleet) reaching(r *report, service string, now time.Time) []steer.Host {
	cutOff := make(map[netip.AddrPort]bool)
	for _, m := range r.Members {
		if m.CutOff || slices.Contains(m.Unreached, service) || f.marks.has(mark{m.Host.Peer, service}, now) {
			cutOff[m.Host.Peer] = true
		}
	}
	if len(cutOff) == 0 {
		return r.hosts
	}
	return steer.Prefer(r.hosts, func(a netip.AddrPort) bool { return !cutOff[a] })
}

// reportMember returns a host of the local region for its report.
func reportMember(p gossip.Peer) gossip.Member {
	s := p.State
	return gossip.Member{Host: s.Host, Leaving: s.Leaving, Ready: s.Ready, Unreached: s.Unreached, CutOff: s.CutOff}
}

// Target is a server to probe.
type Target struct {
	Service string
	Server  spec.Server
	// HealthPath is that of the service's health check, empty if it has none.
	HealthPath string
}

// ProbeDue returns a server to probe now, to learn whether this host reaches servers
// that it seems not to reach. It probes only beside other hosts of its region, which may
// serve its requests meanwhile; a host alone sends them as tests.
func (f *Fleet) ProbeDue(now time.Time) (Target, bool) {
	var failing []string
	for name, svc := range *f.tables.Load() {
		if svc.Table.Failing() {
			failing = append(failing, name)
		}
	}
	if !f.path.Probe(len(failing) > 0, now) || !f.HasNeighbours() {
		return Target{}, false
	}
	return f.target(failing, now)
}

// target returns a server at random that may be probed, of the given services while the path
// as a whole is intact.
func (f *Fleet) target(services []string, now time.Time) (Target, bool) {
	v := f.View()
	if v.Snapshot == nil {
		return Target{}, false
	}
	all := f.path.State() != reach.Reached || len(services) == 0
	var list []Target
	for _, svc := range v.Snapshot.Services {
		if !all && !slices.Contains(services, svc.Name) {
			continue
		}
		for _, e := range v.Usable() {
			if e.Service == svc.Name && f.Region(e.Site) == f.opts.Region && !e.Leaving {
				list = append(list, Target{Service: svc.Name, Server: e, HealthPath: svc.HealthPath})
			}
		}
	}
	// Servers that are known to fail tell nothing about a path in doubt.
	doubted := f.path.State() == reach.Reached && len(services) == 0
	list = slices.DeleteFunc(list, func(t Target) bool {
		return doubted && f.path.Bad(t.Server.ID) || f.path.Probing(t.Server.ID)
	})
	for _, i := range rand.Perm(len(list)) {
		t := list[i]
		if svc := f.Service(t.Service); svc != nil && svc.Table.TakeProbe(t.Server.ID, now) {
			return t, true
		}
	}
	return Target{}, false
}
