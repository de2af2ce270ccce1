package resume

import (
	"slices"
	"strings"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/eras"
	"github.com/yuccalb/yuccalb/internal/core/spec"
)

const (
	// formerKept is how long the record names former routes after it was changed, longer than
	// streams last that may be taken up.
	formerKept = 90 * time.Second
	// maxRouting bounds the versions of routes in the record.
	maxRouting = 8
)

// Routing is the store's record of the routes by which streams may have begun. A host that has just
// started knows former versions of the configuration only from it. Hosts send it to each other in
// CBOR under the names of its fields.
type Routing struct {
	// Versions has the routes of the version of the configuration that was in force when the record
	// was written, then those of former ones.
	Versions []Routes
	// Rev is the revision of the record.
	Rev eras.Revision
}

// Routes lead streams that may be taken up to services.
type Routes struct {
	// Service is the service of all routes, empty if Rules leads to several ones.
	Service string `json:"service,omitempty"`
	Rules   []Rule `json:"rules,omitempty"`
}

// Rule is one route.
type Rule struct {
	Host    string        `json:"host,omitempty"`
	Prefix  string        `json:"prefix"`
	Targets []spec.Target `json:"targets"`
}

// newRoutes returns the routes of a version of the configuration. Versions that send all streams to
// one service do not differ, so that the record changes only if streams move.
func newRoutes(routes []spec.Route) Routes {
	var r Routes
	services := make(map[string]bool)
	for _, route := range routes {
		if !route.Resumable {
			continue
		}
		r.Rules = append(r.Rules, Rule{Host: route.Host, Prefix: route.Prefix, Targets: route.Targets})
		for _, t := range route.Targets {
			services[t.Service] = true
			r.Service = t.Service
		}
	}
	if len(services) == 1 {
		return Routes{Service: r.Service}
	}
	r.Service = ""
	slices.SortFunc(r.Rules, func(a, b Rule) int {
		if c := strings.Compare(a.Host, b.Host); c != 0 {
			return c
		}
		return strings.Compare(a.Prefix, b.Prefix)
	})
	return r
}

// equal reports whether two versions send all streams to the same services.
func (r Routes) equal(o Routes) bool {
	return r.Service == o.Service && slices.EqualFunc(r.Rules, o.Rules, func(a, b Rule) bool {
		return a.Host == b.Host && a.Prefix == b.Prefix && slices.Equal(a.Targets, b.Targets)
	})
}

// table is a version of routes in which streams are looked up.
type table struct {
	service string // of all streams, empty if the routes of Snapshot decide
	*spec.Snapshot
}

// table returns the routes for look-ups. A rule without targets, which no host writes, is left out.
func (r Routes) table() table {
	var routes []spec.Route
	for _, rule := range r.Rules {
		if len(rule.Targets) > 0 {
			routes = append(routes, spec.Route{Host: rule.Host, Prefix: rule.Prefix, Targets: rule.Targets})
		}
	}
	return table{r.Service, spec.NewSnapshot(spec.Config{Routes: routes})}
}

// leadsElsewhere reports whether the routes send a stream to another service.
func (t table) leadsElsewhere(service, host, path string, hash uint64) bool {
	if t.service != "" {
		return t.service != service
	}
	route := t.Route(host, path)
	return route != nil && route.Target(hash) != service
}
