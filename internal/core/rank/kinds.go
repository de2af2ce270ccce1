package rank

import (
	"sync"
	"time"
)

const (
	// kindTTL is the time after which a kind of requests without new ones is removed.
	kindTTL = 10 * time.Second
	// maxKinds bounds the kinds that are remembered for a service.
	maxKinds = 64
	// workWeight is the weight of the newest request in the mean work of a kind.
	workWeight = 0.05
)

// Kind is what requests to a service have in common that decides how they may be delayed.
type Kind struct {
	// Priority is that of the organisation or, without one, of the route, and Level that of
	// the route alone. 0 is the most urgent.
	Priority, Level int
	// Goal is the route's latency target for the first byte.
	Goal time.Duration
}

// observed is what is known of the recent requests of a kind.
type observed struct {
	last time.Time
	work float64 // mean, in tokens
}

// Kinds records the kinds of the recent requests to a service. It is safe for concurrent
// use; the zero value is ready to use.
type Kinds struct {
	mu   sync.Mutex
	seen map[Kind]*observed
}

// Record records a request and its work in tokens. Requests without a goal are ignored.
func (m *Kinds) Record(k Kind, work int, now time.Time) {
	if k.Goal <= 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	o := m.seen[k]
	if o == nil {
		if m.seen == nil {
			m.seen = make(map[Kind]*observed)
		}
		if len(m.seen) >= maxKinds {
			return
		}
		o = &observed{work: float64(work)}
		m.seen[k] = o
	}
	o.last = now
	o.work += workWeight * (float64(work) - o.work)
}

// Shortest returns the shortest goal of the recent requests that have a priority or are
// more urgent, 0 if there are none.
func (m *Kinds) Shortest(priority int, now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire(now)
	var shortest time.Duration
	for k := range m.seen {
		if k.Priority <= priority && (shortest == 0 || k.Goal < shortest) {
			shortest = k.Goal
		}
	}
	return shortest
}

// Deferral reports whether requests of a recent kind can be deferred in favour of another
// recent kind, and whether it is preferred: another one can be deferred in favour of it. See
// canDeferTo.
func (m *Kinds) Deferral(k Kind, now time.Time) (deferrable, preferred bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire(now)
	own := m.seen[k]
	if own == nil {
		return false, false
	}
	for other, o := range m.seen {
		deferrable = deferrable || canDeferTo(k, own, other, o)
		preferred = preferred || canDeferTo(other, o, k, own)
	}
	return deferrable, preferred
}

// canDeferTo reports whether requests of kind k can be deferred in favour of kind p: p is at
// least as urgent, also by its route, has at most half the goal, and needs as much work or more.
// The goal of k then leaves time for a whole request of p, and an engine that prefers p discards
// the smaller part of its work.
func canDeferTo(k Kind, own *observed, p Kind, o *observed) bool {
	return p.Level <= k.Level && p.Priority <= k.Priority && 2*p.Goal <= k.Goal && o.work >= own.work
}

// expire removes kinds without recent requests. The caller holds mu.
func (m *Kinds) expire(now time.Time) {
	for k, o := range m.seen {
		if now.Sub(o.last) > kindTTL {
			delete(m.seen, k)
		}
	}
}
