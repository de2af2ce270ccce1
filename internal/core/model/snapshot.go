package model

import (
	"slices"
	"time"
)

// Snapshot is one version of the configuration, indexed by name and key hash.
// Neither it nor its Config may be modified after NewSnapshot.
type Snapshot struct {
	Version uint64
	Digest  string
	Config  *Config

	orgs     map[string]*Org
	orgByKey map[KeyHash]*Org
	routes   map[string]*Route
	services map[string]*Service
	sites    map[string]*Site
}

// NewSnapshot returns a snapshot of cfg, which it retains.
func NewSnapshot(version uint64, digest string, cfg *Config) *Snapshot {
	s := &Snapshot{
		Version:  version,
		Digest:   digest,
		Config:   cfg,
		orgs:     make(map[string]*Org, len(cfg.Orgs)),
		orgByKey: make(map[KeyHash]*Org, len(cfg.Orgs)),
		routes:   make(map[string]*Route, len(cfg.Routes)),
		services: make(map[string]*Service, len(cfg.Services)),
		sites:    make(map[string]*Site, len(cfg.Sites)),
	}
	for i := range cfg.Orgs {
		org := &cfg.Orgs[i]
		s.orgs[org.Name] = org
		for _, key := range org.Keys {
			s.orgByKey[key.Hash] = org
		}
	}
	for i := range cfg.Routes {
		s.routes[cfg.Routes[i].Name] = &cfg.Routes[i]
	}
	for i := range cfg.Services {
		s.services[cfg.Services[i].Name] = &cfg.Services[i]
	}
	for i := range cfg.Sites {
		s.sites[cfg.Sites[i].Name] = &cfg.Sites[i]
	}
	return s
}

// Org returns the organisation with the given name, or nil.
func (s *Snapshot) Org(name string) *Org { return s.orgs[name] }

// KeyOrg returns the organisation of an API key, or nil when the key is unknown
// or revoked.
func (s *Snapshot) KeyOrg(h KeyHash) *Org { return s.orgByKey[h] }

// Route returns the route with the given name, or nil.
func (s *Snapshot) Route(name string) *Route { return s.routes[name] }

// Service returns the service with the given name, or nil.
func (s *Snapshot) Service(name string) *Service { return s.services[name] }

// Site returns the data centre with the given name, or nil.
func (s *Snapshot) Site(name string) *Site { return s.sites[name] }

// RegionOf returns the region of a data centre, or "" when the data centre is
// not configured.
func (s *Snapshot) RegionOf(site string) string {
	if st := s.sites[site]; st != nil {
		return st.Region
	}
	return ""
}

// AllowedRegions returns the regions where a request of org on route may be served. A
// nil org means a request without an API key on an open route. The result is
// empty when org and route allow no common region.
func (s *Snapshot) AllowedRegions(org *Org, route *Route) []string {
	var allowed []string
	for _, region := range s.Config.Regions {
		if len(route.Regions) > 0 && !slices.Contains(route.Regions, region.Name) {
			continue
		}
		if org != nil && len(org.Regions) > 0 && !slices.Contains(org.Regions, region.Name) {
			continue
		}
		allowed = append(allowed, region.Name)
	}
	return allowed
}

// Permits reports whether org may use route.
func (s *Snapshot) Permits(org *Org, route *Route) bool {
	if route.Open {
		return true
	}
	return org != nil && (len(org.Routes) == 0 || slices.Contains(org.Routes, route.Name))
}

// DefaultDeadline is the deadline of routes that set none.
const DefaultDeadline = 60 * time.Second

// EffectiveDeadline returns the deadline of the route, or DefaultDeadline if it sets none.
func (r *Route) EffectiveDeadline() time.Duration {
	if r.Deadline > 0 {
		return r.Deadline
	}
	return DefaultDeadline
}

// DefaultReservedTokens is the number of tokens reserved for the response of a chat when
// neither the request nor the route sets one.
const DefaultReservedTokens = 512
