package fleet

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/pick"
	"github.com/yuccalb/yuccalb/internal/core/spec"
	"github.com/yuccalb/yuccalb/internal/core/steer"
	"github.com/yuccalb/yuccalb/internal/edge/gossip"
	"github.com/yuccalb/yuccalb/internal/edge/track"
)

const (
	// never stands for the age of a report that was not heard.
	never = time.Duration(math.MaxInt64)
	// passAfter is the time after which a host passes on a report although
	// another one of its region has passed on one before.
	passAfter = 250 * time.Millisecond
	// meetTime is the time after the start in which the hosts of a region
	// hear each other: two rounds. Regions that all lost power need each
	// other's servers soon after it.
	meetTime = 400 * time.Millisecond
	// forgetReport is the age after which a report is dropped.
	forgetReport = 20 * time.Second
)

// report is what was last heard of another region.
type report struct {
	gossip.Region
	// made is when it was summed up, on the own steady clock.
	made time.Time
	// hosts are the members that stay, by their address for other hosts.
	hosts []steer.Host
	// held are the parts of prompts that its servers cache, by service.
	held map[string]map[uint32]bool
}

// staying returns the members that do not leave.
func (r *report) staying() []spec.Host {
	var list []spec.Host
	for _, m := range r.Members {
		if !m.Leaving {
			list = append(list, m.Host)
		}
	}
	return list
}

// reports holds the last report of each other region. It is safe for
// concurrent use; the zero value is ready.
type reports struct {
	mu   sync.Mutex
	last map[string]*report
	// fresh are the regions whose last report came from themselves and has
	// not been passed on, passed the times when any was passed on.
	fresh  map[string]bool
	passed map[string]time.Time
}

// take keeps a report unless a newer one is known. The argument direct is set
// when it came from the region itself.
func (s *reports) take(r gossip.Region, heard time.Time, direct bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.last == nil {
		s.last = make(map[string]*report)
		s.fresh = make(map[string]bool)
		s.passed = make(map[string]time.Time)
	}
	if !direct {
		s.passed[r.Name] = heard
	}
	made := heard.Add(-r.Age)
	if old := s.last[r.Name]; old != nil && !made.After(old.made) {
		return false
	}
	n := &report{Region: r, made: made, held: make(map[string]map[uint32]bool)}
	for service, keys := range r.Cached {
		set := make(map[uint32]bool, len(keys))
		for _, k := range keys {
			set[k] = true
		}
		n.held[service] = set
	}
	for _, h := range n.staying() {
		n.hosts = append(n.hosts, steer.Host{Addr: h.Peer, Weight: h.Cores})
	}
	s.last[r.Name] = n
	s.fresh[r.Name] = direct
	return true
}

// get returns the last report of a region, nil if there is none.
func (s *reports) get(region string) *report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last[region]
}

// all returns the reports that are not forgotten.
func (s *reports) all() []*report {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(s.last, func(_ string, r *report) bool { return now.Sub(r.made) > forgetReport })
	return slices.Collect(maps.Values(s.last))
}

// named returns the names of the hosts that reports name.
func (s *reports) named() map[string]bool {
	names := make(map[string]bool)
	for _, r := range s.all() {
		for _, m := range r.Members {
			names[m.Host.Name] = true
		}
	}
	return names
}

// recent returns the reports of regions that are in contact.
func (s *reports) recent(now time.Time) []*report {
	return slices.DeleteFunc(s.all(), func(r *report) bool { return now.Sub(r.made) >= gossip.Lost })
}

// pass returns the reports that this host should pass on to its region.
func (s *reports) pass(now time.Time) []gossip.Region {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []gossip.Region
	for name, fresh := range s.fresh {
		r := s.last[name]
		if !fresh || r == nil || now.Sub(s.passed[name]) < passAfter {
			continue
		}
		s.fresh[name] = false
		s.passed[name] = now
		out := r.Region
		out.Age = now.Sub(r.made)
		list = append(list, out)
	}
	return list
}

// ownReport sums up the own region, once its hosts had time to be heard.
func (f *Fleet) ownReport(now time.Time) []gossip.Region {
	if !f.opts.First && now.Sub(f.started) < meetTime {
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
		if held := svc.Table.Held(now); len(held) > 0 {
			if r.Cached == nil {
				r.Cached = make(map[string][]uint32)
			}
			r.Cached[name] = held
		}
	}
	for _, other := range f.reports.all() {
		r.ReportAges[other.Name] = now.Sub(other.made)
	}
	return []gossip.Region{r}
}

// members returns this host and those of its region that were heard lately.
func (f *Fleet) members(now time.Time) []gossip.Member {
	list := []gossip.Member{{Host: f.opts.Self, Leaving: f.Leaving(), Ready: f.Ready()}}
	near, _ := f.heard(now)
	for _, p := range near {
		list = append(list, gossip.Member{Host: p.State.Host, Leaving: p.State.Leaving, Ready: p.State.Ready})
	}
	return list
}

// summaries returns the state of the services of the own region.
func (f *Fleet) summaries(now time.Time) map[string]pick.Summary {
	sums := make(map[string]pick.Summary)
	for name, svc := range *f.tables.Load() {
		sums[name] = svc.Table.Summary(now)
	}
	return sums
}

// regionAccount is the name under which the book keeps another region.
func regionAccount(region string) string { return "region/" + region }

// nearNames returns the names of the hosts of the own region, registered or
// heard of.
func (f *Fleet) nearNames(v *track.View, now time.Time) []string {
	names := map[string]bool{f.opts.Self.Name: true}
	for _, h := range v.Hosts {
		if f.Region(h.Site) == f.opts.Region {
			names[h.Name] = true
		}
	}
	near, _ := f.heard(now)
	for _, p := range near {
		names[p.State.Host.Name] = true
	}
	return slices.Sorted(maps.Keys(names))
}

// accounted returns the names of what may admit requests elsewhere: other hosts
// of the own region, and other regions.
func (f *Fleet) accounted(v *track.View, now time.Time) []string {
	names := f.nearNames(v, now)
	for region := range f.farHosts() {
		names = append(names, regionAccount(region))
	}
	return names
}
