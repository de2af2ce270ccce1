package fleet

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/pick"
	"github.com/yuccalb/yuccalb/internal/core/poison"
	"github.com/yuccalb/yuccalb/internal/core/reach"
	"github.com/yuccalb/yuccalb/internal/core/spec"
	"github.com/yuccalb/yuccalb/internal/core/steer"
	"github.com/yuccalb/yuccalb/internal/edge/gossip"
	"github.com/yuccalb/yuccalb/internal/edge/track"
)

const (
	// never is the age of a report that was never received.
	never = time.Duration(math.MaxInt64)
	// unknownWait stands for a wait that a region does not report.
	unknownWait = time.Duration(-1)
	// forwardInterval is the least time between reports of a region that are
	// forwarded within the local region, by this host or another one.
	forwardInterval = 250 * time.Millisecond
	// discoveryTime is the time after the start within which the hosts of a
	// region receive each other's state: two rounds. It is short because regions
	// that all lost power need each other's servers soon after it.
	discoveryTime = 400 * time.Millisecond
	// reportTTL is the age after which a report is removed.
	reportTTL = 20 * time.Second
)

// report is the last report of a remote region.
type report struct {
	gossip.Region
	// created is when the report was created, on the local monotonic clock.
	created time.Time
	// hosts are the members that are not leaving, with the address at which other
	// hosts reach them.
	hosts []steer.Host
	// parts are the waits at the servers that are expected to have cached a prompt part, by
	// service and short key; unknownWait if the region does not report them.
	parts map[string]map[uint32]time.Duration
}

// staying returns the members that are not leaving.
func (r *report) staying() []spec.Host {
	var list []spec.Host
	for _, m := range r.Members {
		if !m.Leaving {
			list = append(list, m.Host)
		}
	}
	return list
}

// reports holds the last report of each remote region. It is safe for concurrent
// use; the zero value is ready.
type reports struct {
	mu   sync.Mutex
	last map[string]*report
	// pending are the regions whose last report came from one of their own hosts
	// and has not been forwarded. The times in forwardedAt are those of the last
	// report that any host of the local region forwarded.
	pending     map[string]bool
	forwardedAt map[string]time.Time
}

// add stores a report if it is newer than the last one, and reports whether it did.
// The argument direct is set if the report came from the region itself and not
// from a host that forwarded it.
func (s *reports) add(r gossip.Region, received time.Time, direct bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.last == nil {
		s.last = make(map[string]*report)
		s.pending = make(map[string]bool)
		s.forwardedAt = make(map[string]time.Time)
	}
	if !direct {
		s.forwardedAt[r.Name] = received
	}
	created := received.Add(-r.Age)
	if old := s.last[r.Name]; old != nil && !created.After(old.created) {
		return false
	}
	n := &report{Region: r, created: created, parts: make(map[string]map[uint32]time.Duration)}
	for service, keys := range r.CachedParts {
		waits := r.CachedWaits[service]
		parts := make(map[uint32]time.Duration, len(keys))
		for i, k := range keys {
			parts[k] = unknownWait
			if i < len(waits) {
				parts[k] = pick.WaitOf(waits[i])
			}
		}
		n.parts[service] = parts
	}
	for _, h := range n.staying() {
		n.hosts = append(n.hosts, steer.Host{Addr: h.Peer, Weight: h.Cores})
	}
	s.last[r.Name] = n
	s.pending[r.Name] = direct
	return true
}

// get returns the last report of a region, or nil if there is none.
func (s *reports) get(region string) *report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last[region]
}

// all returns the reports that are not older than reportTTL, and removes the others.
func (s *reports) all() []*report {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(s.last, func(_ string, r *report) bool { return now.Sub(r.created) > reportTTL })
	return slices.Collect(maps.Values(s.last))
}

// memberNames returns the names of the hosts that the reports list.
func (s *reports) memberNames() map[string]bool {
	names := make(map[string]bool)
	for _, r := range s.all() {
		for _, m := range r.Members {
			names[m.Host.Name] = true
		}
	}
	return names
}

// recent returns the reports of regions that are reachable: those not older than
// gossip.PeerTimeout.
func (s *reports) recent(now time.Time) []*report {
	return slices.DeleteFunc(s.all(), func(r *report) bool { return now.Sub(r.created) >= gossip.PeerTimeout })
}

// forward returns the reports that this host should forward to its region now, and
// marks them as forwarded.
func (s *reports) forward(now time.Time) []gossip.Region {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []gossip.Region
	for name, pending := range s.pending {
		r := s.last[name]
		if !pending || r == nil || now.Sub(s.forwardedAt[name]) < forwardInterval {
			continue
		}
		s.pending[name] = false
		s.forwardedAt[name] = now
		out := r.Region
		out.Age = now.Sub(r.created)
		list = append(list, out)
	}
	return list
}

// localReport returns the report of the local region, or nothing until this host has
// had time to receive the states of the others.
func (f *Fleet) localReport(now time.Time) []gossip.Region {
	if !f.opts.First && now.Sub(f.started) < discoveryTime {
		return nil
	}
	r := gossip.Region{Name: f.opts.Region, Members: f.members(now), Services: f.summaries(now), ReportAges: make(map[string]time.Duration)}
	var names []string
	for _, m := range r.Members {
		if m.Host.Name != f.opts.Self.Name {
			names = append(names, m.Host.Name)
		}
	}
	sum := f.limiter.RegionReport(f.opts.Self.Name, uint64(f.processStart), names)
	r.Run = sum.Run
	r.Admitted = sum.Admitted
	for name, svc := range *f.tables.Load() {
		parts := svc.Table.CachedParts(now)
		if len(parts) == 0 {
			continue
		}
		if r.CachedParts == nil {
			r.CachedParts = make(map[string][]uint32)
			r.CachedWaits = make(map[string][]byte)
		}
		for _, p := range parts {
			r.CachedParts[name] = append(r.CachedParts[name], p.Key)
			r.CachedWaits[name] = append(r.CachedWaits[name], p.Wait)
		}
	}
	r.Poison = f.poisonReports(poison.Region, now)
	for _, other := range f.reports.all() {
		r.ReportAges[other.Name] = now.Sub(other.created)
	}
	return []gossip.Region{r}
}

// members returns this host and the reachable hosts of its region.
func (f *Fleet) members(now time.Time) []gossip.Member {
	list := []gossip.Member{{Host: f.opts.Self, Leaving: f.Leaving(), Ready: f.Ready(), Unreached: f.unreached(), CutOff: f.path.State() != reach.Reached}}
	local, _ := f.reachable(now)
	for _, p := range local {
		list = append(list, reportMember(p))
	}
	return list
}

// summaries returns the state of the services in the local region.
func (f *Fleet) summaries(now time.Time) map[string]pick.Summary {
	sums := make(map[string]pick.Summary)
	for name, svc := range *f.tables.Load() {
		sums[name] = f.summary(name, svc, now)
	}
	return sums
}

// regionPeer returns the name of a remote region in the limiter.
func regionPeer(region string) string { return "region/" + region }

// localNames returns the names of the hosts of the local region that are registered
// or reachable.
func (f *Fleet) localNames(v *track.View, now time.Time) []string {
	names := map[string]bool{f.opts.Self.Name: true}
	for _, h := range v.Hosts {
		if f.Region(h.Site) == f.opts.Region {
			names[h.Name] = true
		}
	}
	local, _ := f.reachable(now)
	for _, p := range local {
		names[p.State.Host.Name] = true
	}
	return slices.Sorted(maps.Keys(names))
}

// limiterPeers returns the names of the limiter's peers: the hosts of the local
// region, also those that have been neither registered nor reachable for a short time, and
// the remote regions.
func (f *Fleet) limiterPeers(v *track.View, now time.Time) []string {
	names := append(f.localNames(v, now), f.sharing.Names...)
	for region := range f.remoteHosts() {
		names = append(names, regionPeer(region))
	}
	return names
}
