package admit

import (
	"sync"
	"time"
)

// forgetKind is the time after which a rank is forgotten that has no requests.
const forgetKind = 10 * time.Second

// Mix tells which requests the servers of a service get. It is safe for
// concurrent use; the zero value is ready.
type Mix struct {
	mu    sync.Mutex
	kinds map[kind]time.Time // when each was last seen
}

// kind is a rank, 0 first, and the goal of its route.
type kind struct {
	priority int
	goal     time.Duration
}

// Note records a request.
func (m *Mix) Note(priority int, goal time.Duration, now time.Time) {
	if goal <= 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.kinds == nil {
		m.kinds = make(map[kind]time.Time)
	}
	m.kinds[kind{priority, goal}] = now
}

// Least returns the least goal of requests of a rank or of more urgent ones, 0
// if there have been none lately.
func (m *Mix) Least(priority int, now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	var least time.Duration
	for k, seen := range m.kinds {
		if now.Sub(seen) > forgetKind {
			delete(m.kinds, k)
			continue
		}
		if k.priority <= priority && (least == 0 || k.goal < least) {
			least = k.goal
		}
	}
	return least
}
