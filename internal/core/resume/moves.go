package resume

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/spec"
)

// absentRouteTime is how long a route is remembered that no version holds any more, with its
// former services.
const absentRouteTime = time.Minute

// Moves remembers to which services routes sent streams before versions of the configuration
// moved them. What servers of two services write does not fit together. Its zero value knows
// none. It is safe for concurrent use.
type Moves struct {
	mu     sync.Mutex
	routes map[routeKey]*movedRoute
}

type routeKey struct{ host, prefix string }

// movedRoute is a route with the targets that it had before.
type movedRoute struct {
	targets []spec.Target
	former  []formerTargets
	listed  time.Time // when a version held the route last
}

// formerTargets are targets of a route until a time.
type formerTargets struct {
	targets []spec.Target
	until   time.Time
}

// Update replaces the routes by those of the version in force.
func (m *Moves) Update(routes []spec.Route, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.routes == nil {
		m.routes = make(map[routeKey]*movedRoute)
	}
	for _, r := range routes {
		k := routeKey{r.Host, r.Prefix}
		old := m.routes[k]
		if old == nil {
			old = &movedRoute{targets: r.Targets}
			m.routes[k] = old
		}
		if !slices.Equal(old.targets, r.Targets) {
			old.former = append(old.former, formerTargets{old.targets, now})
			old.targets = r.Targets
		}
		old.listed = now
		old.former = slices.DeleteFunc(old.former, func(f formerTargets) bool { return now.Sub(f.until) > absentRouteTime })
	}
	maps.DeleteFunc(m.routes, func(_ routeKey, r *movedRoute) bool { return now.Sub(r.listed) > absentRouteTime })
}

// Moved reports whether a stream on a route may have begun at another service than the one that
// its hash selects now: a version in force within a time before now selects another.
func (m *Moves) Moved(r *spec.Route, hash uint64, within time.Duration, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := m.routes[routeKey{r.Host, r.Prefix}]
	if known == nil {
		return false
	}
	service := r.Target(hash)
	if current := (spec.Route{Targets: known.targets}); current.Target(hash) != service {
		return true // the version of r came into force after the last update
	}
	return slices.ContainsFunc(known.former, func(f formerTargets) bool {
		former := spec.Route{Targets: f.targets}
		return now.Sub(f.until) <= within && former.Target(hash) != service
	})
}
