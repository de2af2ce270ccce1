package resume

import (
	"slices"
	"sync"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/spec"
)

const (
	// formerTime is how long the routes of former versions are remembered, longer than any stream
	// lasts, and maxFormer bounds the versions.
	formerTime = 10 * time.Minute
	maxFormer  = 64
)

// Moves remembers to which services the routes of former versions of the configuration sent
// streams. What servers of two services write does not fit together. Its zero value knows
// none. It is safe for concurrent use.
type Moves struct {
	mu      sync.Mutex
	current *spec.Snapshot // of routes only, nil before the first version
	former  []formerRoutes // by the time up to which they were in force
}

// formerRoutes are the routes of a version that was in force until a time.
type formerRoutes struct {
	*spec.Snapshot
	until time.Time
}

// Update replaces the routes by those of the version in force.
func (m *Moves) Update(routes []spec.Route, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.former = slices.DeleteFunc(m.former, func(f formerRoutes) bool { return now.Sub(f.until) > formerTime })
	if m.current != nil {
		if slices.EqualFunc(m.current.Routes, routes, sameRouting) {
			return
		}
		m.former = append(m.former, formerRoutes{m.current, now})
		if len(m.former) > maxFormer {
			m.former = slices.Delete(m.former, 0, 1)
		}
	}
	m.current = spec.NewSnapshot(spec.Config{Routes: routes})
}

// sameRouting reports whether two routes send the same streams to the same services.
func sameRouting(a, b spec.Route) bool {
	return a.Host == b.Host && a.Prefix == b.Prefix && a.Resumable == b.Resumable && slices.Equal(a.Targets, b.Targets)
}

// Moved reports whether a stream that a caller takes up, and that a service gets now, may have begun at
// another one: a version in force within a time before now selects that for its host, path and hash.
func (m *Moves) Moved(service, host, path string, hash uint64, within time.Duration, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	other := func(s *spec.Snapshot) bool {
		r := s.Route(host, path)
		return r != nil && r.Resumable && r.Target(hash) != service
	}
	if m.current != nil && other(m.current) {
		return true // the caller's request goes by a version that came into force after the last update
	}
	return slices.ContainsFunc(m.former, func(f formerRoutes) bool { return now.Sub(f.until) <= within && other(f.Snapshot) })
}
