package resume

import (
	"slices"
	"sync"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/eras"
	"github.com/yuccalb/yuccalb/internal/core/spec"
)

const (
	// formerTime is how long the routes of former versions are remembered, longer than any stream
	// lasts, and maxFormer bounds the versions.
	formerTime = 10 * time.Minute
	maxFormer  = 64
	// conflictPause is how long a host writes no record after another host was faster. Its listing
	// has that host's record by then.
	conflictPause = 10 * time.Second
)

// Moves remembers to which services the routes of former versions of the configuration sent
// streams. What servers of two services write does not fit together. Its zero value knows
// none. It is safe for concurrent use.
type Moves struct {
	mu      sync.Mutex
	current *spec.Snapshot // of routes only, nil before the first version
	former  []formerRoutes // by the time up to which they were in force
	// began is when the first version was known. What was before is known from stored only, the
	// record of the store, nil if there is none. The record has been as it is since storedAt, and
	// tables has its versions.
	began, storedAt time.Time
	stored          *Routing
	tables          []table
	conflictAt      time.Time // of the last write, if another host was faster
	// routes are those of current.
	routes Routes
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
	if m.current == nil {
		m.began = now
	}
	m.current = spec.NewSnapshot(spec.Config{Routes: routes})
	m.routes = newRoutes(routes)
}

// UpdateStored replaces the store's record by that of a listing, nil if it has none, unless the listing, which
// was read at a revision, is older than the record.
func (m *Moves) UpdateStored(r *Routing, listed eras.Revision, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stored != nil && (!listed.After(m.stored.Rev) || r != nil && r.Rev == m.stored.Rev) {
		return
	}
	m.stored = r
	m.storedAt = now
	m.tables = nil
	if r == nil {
		return
	}
	for _, v := range r.Versions {
		m.tables = append(m.tables, v.table())
	}
}

// Write returns the record that should be written in place of the one at its revision, and false if
// there is none. By an outdated list it replaces none.
func (m *Moves) Write(listAge time.Duration, now time.Time) (Routing, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.current == nil || Outdated(listAge) || !m.conflictAt.IsZero() && now.Sub(m.conflictAt) < conflictPause {
		return Routing{}, false
	}
	routes := m.routes
	if m.stored == nil || len(m.stored.Versions) == 0 {
		return Routing{Versions: []Routes{routes}}, routes.Service != "" || len(routes.Rules) > 0
	}
	last := m.stored.Versions
	switch {
	case !routes.equal(last[0]):
		former := slices.DeleteFunc(slices.Clone(last), routes.equal)
		return Routing{Versions: append([]Routes{routes}, former[:min(len(former), maxRouting-1)]...), Rev: m.stored.Rev}, true
	case len(last) > 1 && now.Sub(m.storedAt) >= formerKept:
		return Routing{Versions: []Routes{routes}, Rev: m.stored.Rev}, true
	}
	return Routing{}, false
}

// Conflict states that another host has replaced the record at the revision of the last Write.
func (m *Moves) Conflict(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.conflictAt = now
}

// sameRouting reports whether two routes send the same streams to the same services.
func sameRouting(a, b spec.Route) bool {
	return a.Host == b.Host && a.Prefix == b.Prefix && a.Resumable == b.Resumable && slices.Equal(a.Targets, b.Targets)
}

// Moved reports whether a stream that a caller takes up, and that a service gets now, may have begun at
// another one: a version in force within a time before now selects that for its host, path and hash. For the
// time before the first known version the store's record counts.
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
	elsewhere := func(t table) bool { return t.leadsElsewhere(service, host, path, hash) }
	if now.Sub(m.began) <= within && slices.ContainsFunc(m.tables, elsewhere) {
		return true
	}
	return slices.ContainsFunc(m.former, func(f formerRoutes) bool { return now.Sub(f.until) <= within && other(f.Snapshot) })
}
