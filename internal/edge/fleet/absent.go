package fleet

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/core/pick"
	"github.com/yuccalb/yuccalb/internal/core/spec"
	"github.com/yuccalb/yuccalb/internal/edge/gossip"
)

const (
	// absentTTL is how long the state of a service is kept that no version names: as long
	// as a pause may last that a server has requested.
	absentTTL = 10 * time.Minute
	// maxAbsent bounds the services whose state is kept.
	maxAbsent = 64
)

// absentServices holds the state of services that the configuration in force does not name,
// or of which other hosts have reported something before this one has read it. What their
// servers have said still holds when a version names them. It is not safe for concurrent use.
type absentServices map[string]absentService

// absentService is the state of a service since a version left it out.
type absentService struct {
	*Service
	since time.Time
}

// add keeps the state of a service, in place of the oldest one if there are too many.
func (a absentServices) add(name string, s *Service, now time.Time) {
	if len(a) >= maxAbsent {
		oldest := name
		for other, s := range a {
			if oldest == name || s.since.Before(a[oldest].since) {
				oldest = other
			}
		}
		delete(a, oldest)
	}
	a[name] = absentService{s, now}
}

// take removes and returns the state of a service, or nil if there is none.
func (a absentServices) take(name string) *Service {
	s := a[name].Service
	delete(a, name)
	return s
}

// expire drops what is older than absentTTL.
func (a absentServices) expire(now time.Time) {
	maps.DeleteFunc(a, func(_ string, s absentService) bool { return now.Sub(s.since) > absentTTL })
}

// allServices returns the services of the configuration in force and the absent ones.
func (f *Fleet) allServices() map[string]*Service {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := maps.Clone(*f.tables.Load())
	for name, s := range f.absent {
		if all[name] == nil {
			all[name] = s.Service
		}
	}
	return all
}

// anyService returns a service of the configuration in force or an absent one, which is added if need be.
func (f *Fleet) anyService(name string, now time.Time) *Service {
	if s := f.Service(name); s != nil {
		return s
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.Service(name); s != nil {
		return s
	}
	if s, ok := f.absent[name]; ok {
		return s.Service
	}
	s := newService(spec.Service{Name: name})
	f.absent.add(name, s, now)
	return s
}

// addStatements adds to a state what servers of a service have stated in responses.
func addStatements(s *gossip.State, name string, t *pick.Table, now time.Time) {
	if leaving := t.LeavingProcesses(); len(leaving) > 0 {
		s.LeavingProcesses[name] = leaving
	}
	if limits := t.Limits(now); len(limits) > 0 {
		s.Limits[name] = limits
	}
	if limits := t.RefusalLimits(now); len(limits) > 0 {
		s.RefusalLimits[name] = limits
	}
}

// mergeStatements merges what another host of the region reports that servers have stated, also
// those of services that this host does not know or no longer knows.
func (f *Fleet) mergeStatements(p gossip.Peer) {
	from := zap.String("from", p.State.Host.Name)
	for name, list := range p.State.LeavingProcesses {
		f.anyService(name, p.Received).Table.MergeLeaving(list, p.Received)
	}
	for name, list := range p.State.Limits {
		for _, c := range f.anyService(name, p.Received).Table.MergeLimits(list, p.Received) {
			LogLimit(f.opts.Requests, c, from)
		}
	}
	for name, list := range p.State.RefusalLimits {
		for _, c := range f.anyService(name, p.Received).Table.MergeRefusalLimits(list, p.Received) {
			LogRefusalLimit(f.opts.Requests, c, from)
		}
	}
}
