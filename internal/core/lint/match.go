package lint

import (
	"slices"
	"strings"
)

// matches reports entries that no request can ever match or use.
func (c *checker) matches() {
	used := make(map[string]bool, len(c.Services))
	first := make(map[[2]string]string, len(c.Routes))
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Matched {
			c.routeMatch(r, first)
		}
		c.routeTargets(r)
		for _, t := range r.Targets {
			used[t.Service] = true
		}
	}
	for i := range c.Services {
		s := &c.Services[i]
		switch {
		case !used[s.Name]:
			c.warn(s.At(AttrName, -1), "no route uses the service")
		case s.Located && len(s.Regions) == 0:
			c.warn(s.At(AttrServers, -1), "no server takes new requests")
		}
	}
	c.orgMatches()
}

// routeMatch reports a host and prefix that match no request. The map first holds the
// route of each pair seen so far: of two equal pairs, hosts use the first one.
func (c *checker) routeMatch(r *Route, first map[[2]string]string) {
	host, prefix := strings.ToLower(r.Host), r.Prefix
	switch {
	case host == "":
		c.warn(r.At(AttrHost, -1), "without a host the route matches no request")
	case strings.ContainsAny(host, ":/ "):
		c.warn(r.At(AttrHost, -1), "value %q matches no request: want a host name without port or scheme", r.Host)
	}
	switch {
	case prefix == "":
		c.warn(r.At(AttrPrefix, -1), "an empty prefix matches all paths that no other route of the host matches: want /")
	case !strings.HasPrefix(prefix, "/"):
		c.warn(r.At(AttrPrefix, -1), "value %q matches no request: paths begin with a slash", prefix)
	case strings.ContainsAny(prefix, "?# "):
		c.warn(r.At(AttrPrefix, -1), "value %q matches no request: paths have no query, fragment or space", prefix)
	case !strings.HasSuffix(prefix, "/"):
		c.warn(r.At(AttrPrefix, -1), "value %q does not end with a slash: it matches longer names, too", prefix)
	}
	key := [2]string{host, prefix}
	if name, ok := first[key]; ok {
		c.warn(r.At(AttrPrefix, -1), "the route is hidden by route %q with the same host and prefix", name)
		return
	}
	first[key] = r.Name
}

// routeTargets reports targets that get no request.
func (c *checker) routeTargets(r *Route) {
	total := int64(0)
	for _, t := range r.Targets {
		total += t.Weight
	}
	for i, t := range r.Targets {
		switch {
		case t.Weight != 0:
		case total > 0 || i > 0:
			c.warn(r.At(AttrWeight, i), "weight 0: service %q gets no request of the route", t.Service)
		default: // hosts use the first target if all weights are 0
			c.warn(r.At(AttrWeight, i), "all weights are 0: all requests of the route go to service %q", t.Service)
		}
	}
	for _, t := range r.Targets {
		s := c.services[t.Service]
		if s == nil || len(r.Regions) == 0 {
			continue
		}
		if regions := c.servedIn(s); len(regions) > 0 && !overlap(r.Regions, regions) {
			c.warn(r.At(AttrRegions, -1), "service %q has no server in any of these regions", s.Name)
		}
	}
}

// servedIn returns the regions with servers of a service, as far as they are known.
func (c *checker) servedIn(s *Service) []string {
	if s.Located {
		return s.Regions
	}
	return c.Regions
}

// orgMatches reports organisations that can use none of the routes that need a key, and
// routes that nobody can use.
func (c *checker) orgMatches() {
	if !c.KeyRequired || !slices.ContainsFunc(c.Routes, func(r Route) bool { return !r.Public }) {
		return
	}
	keys := 0
	for i := range c.Orgs {
		o := &c.Orgs[i]
		keys += len(o.Keys)
		if len(o.Keys) == 0 {
			c.warn(o.At(AttrKeys, -1), "without a key the organisation can use public routes only")
		}
		c.orgRegions(o)
	}
	if keys == 0 {
		c.warn(c.At(AttrOrgs, -1), "no organisation has a key: only public routes can be used")
	}
}

// orgRegions reports regions of an organisation that rule out the routes it may use.
func (c *checker) orgRegions(o *Org) {
	if len(o.Regions) == 0 {
		return
	}
	usable, possible := 0, 0
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Public || !o.permits(r) {
			continue
		}
		usable++
		if c.served(o, r) {
			possible++
			continue
		}
		if n := slices.Index(o.Routes, r.Name); n >= 0 {
			c.warn(o.At(AttrRoutes, n), "route %q is served in none of the organisation's regions", r.Name)
		}
	}
	if usable > 0 && possible == 0 {
		c.warn(o.At(AttrRegions, -1), "no route that the organisation may use is served in these regions")
	}
}

// permits reports whether the organisation may use a route.
func (o *Org) permits(r *Route) bool {
	return len(o.Routes) == 0 || slices.Contains(o.Routes, r.Name)
}

// served reports whether a region may exist in which requests of an organisation on a
// route are served.
func (c *checker) served(o *Org, r *Route) bool {
	if len(r.Regions) > 0 && !overlap(o.Regions, r.Regions) {
		return false
	}
	return len(r.Targets) == 0 || slices.ContainsFunc(r.Targets, func(t Target) bool {
		s := c.services[t.Service]
		if s == nil {
			return true // reported as undefined
		}
		regions := c.servedIn(s)
		return len(regions) == 0 || slices.ContainsFunc(regions, func(name string) bool {
			return slices.Contains(o.Regions, name) && (len(r.Regions) == 0 || slices.Contains(r.Regions, name))
		})
	})
}

// overlap reports whether two lists have an item in common.
func overlap(a, b []string) bool {
	return slices.ContainsFunc(a, func(s string) bool { return slices.Contains(b, s) })
}
