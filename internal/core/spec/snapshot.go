package spec

import (
	"slices"
	"strings"
)

// Snapshot is a configuration with lookup tables.
type Snapshot struct {
	Config
	routesByHost   map[string][]*Route // by descending length of the prefix
	orgsByKey      map[string]*Org
	servicesByName map[string]*Service
	// commonHomes are the home regions that all routes with home regions
	// share, and hasHomes is set if there is such a route.
	commonHomes []string
	hasHomes    bool
}

// NewSnapshot returns a snapshot of cfg, which must not change afterwards.
func NewSnapshot(cfg Config) *Snapshot {
	s := &Snapshot{
		Config:         cfg,
		routesByHost:   make(map[string][]*Route),
		orgsByKey:      make(map[string]*Org),
		servicesByName: make(map[string]*Service),
	}
	for i := range s.Routes {
		r := &s.Routes[i]
		s.routesByHost[r.Host] = append(s.routesByHost[r.Host], r)
		s.intersectHomes(r.Regions)
	}
	for _, routes := range s.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range s.Services {
		s.servicesByName[s.Services[i].Name] = &s.Services[i]
	}
	for i := range s.Orgs {
		o := &s.Orgs[i]
		for _, key := range o.Keys {
			s.orgsByKey[key] = o
		}
	}
	delete(s.orgsByKey, "") // an empty header is no key
	return s
}

// intersectHomes restricts the common home regions to those of a further route.
// A route without home regions does not restrict them.
func (s *Snapshot) intersectHomes(regions []string) {
	if len(regions) == 0 {
		return
	}
	if !s.hasHomes {
		s.hasHomes = true
		s.commonHomes = slices.Clone(regions)
		return
	}
	s.commonHomes = slices.DeleteFunc(s.commonHomes, func(r string) bool { return !slices.Contains(regions, r) })
}

// Route returns the route with the longest prefix of an undecoded path on a host,
// or nil if there is none. A port in host is ignored.
func (s *Snapshot) Route(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range s.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// OrgByKey returns the organisation with an API key, or nil if the key is unknown.
func (s *Snapshot) OrgByKey(key string) *Org { return s.orgsByKey[key] }

// Service returns the service with a name, or nil if there is none.
func (s *Snapshot) Service(name string) *Service { return s.servicesByName[name] }

// CommonHomes returns the regions that are home regions of every route that has any,
// and whether there is such a route.
func (s *Snapshot) CommonHomes() ([]string, bool) { return s.commonHomes, s.hasHomes }

// Allowed reports whether a request on route r by organisation o may be served in
// region. The organisation may be nil.
func Allowed(r *Route, o *Org, region string) bool {
	if len(r.Regions) > 0 && !slices.Contains(r.Regions, region) {
		return false
	}
	return o == nil || len(o.Regions) == 0 || slices.Contains(o.Regions, region)
}

// Target returns the service for a request. The targets are chosen in proportion to
// their weights by n, a hash of the request: equal hashes give the same service.
func (r *Route) Target(n uint64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return r.Targets[0].Service
	}
	offset := int(n % uint64(total))
	for _, t := range r.Targets {
		if offset < t.Weight {
			return t.Service
		}
		offset -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}
