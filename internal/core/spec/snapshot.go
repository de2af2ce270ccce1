package spec

import (
	"slices"
	"strings"
)

// Snapshot is a configuration with its look-up tables.
type Snapshot struct {
	Config
	hosts    map[string][]*Route
	keys     map[string]*Org
	services map[string]*Service
	homes    []string
	homed    bool
}

// NewSnapshot indexes cfg, which must not change afterwards.
func NewSnapshot(cfg Config) *Snapshot {
	s := &Snapshot{
		Config:   cfg,
		hosts:    make(map[string][]*Route),
		keys:     make(map[string]*Org),
		services: make(map[string]*Service),
	}
	for i := range s.Routes {
		r := &s.Routes[i]
		s.hosts[r.Host] = append(s.hosts[r.Host], r)
		s.addHomes(r.Regions)
	}
	for _, routes := range s.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range s.Services {
		s.services[s.Services[i].Name] = &s.Services[i]
	}
	for i := range s.Orgs {
		o := &s.Orgs[i]
		for _, key := range o.Keys {
			s.keys[key] = o
		}
	}
	return s
}

// addHomes narrows the regions that are a home of every route with homes.
func (s *Snapshot) addHomes(regions []string) {
	if len(regions) == 0 {
		return
	}
	if !s.homed {
		s.homed = true
		s.homes = slices.Clone(regions)
		return
	}
	s.homes = slices.DeleteFunc(s.homes, func(r string) bool { return !slices.Contains(regions, r) })
}

// Route returns the route of a host name and an undecoded path, or nil. A port
// in host is ignored.
func (s *Snapshot) Route(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range s.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// ByKey returns the organisation that holds a key, or nil.
func (s *Snapshot) ByKey(key string) *Org { return s.keys[key] }

// Service returns a service by name, or nil.
func (s *Snapshot) Service(name string) *Service { return s.services[name] }

// Keyed reports whether requests need keys at all.
func (s *Snapshot) Keyed() bool { return len(s.Orgs) > 0 }

// Homes returns the regions that are a home of every route that has homes, and
// whether any route has.
func (s *Snapshot) Homes() ([]string, bool) { return s.homes, s.homed }

// Allowed reports whether a request of route and org, which may be nil, may be
// served in region.
func Allowed(r *Route, o *Org, region string) bool {
	if len(r.Regions) > 0 && !slices.Contains(r.Regions, region) {
		return false
	}
	return o == nil || len(o.Regions) == 0 || slices.Contains(o.Regions, region)
}

// Target returns the service for a request; n spreads requests over the
// targets by weight and is equal for equal requests.
func (r *Route) Target(n uint64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return r.Targets[0].Service
	}
	at := int(n % uint64(total))
	for _, t := range r.Targets {
		if at < t.Weight {
			return t.Service
		}
		at -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}
