package admit

import (
	"sync"
	"time"
)

// classTTL is the time after which a class of requests without new ones is removed.
const classTTL = 10 * time.Second

// RecentGoals records the priorities and goals of the recent requests to a service.
// It is safe for concurrent use; the zero value is ready to use.
type RecentGoals struct {
	mu      sync.Mutex
	classes map[class]time.Time // time of the last request
}

// class is a priority, of which 0 is the most urgent, and the goal of a route.
type class struct {
	priority int
	goal     time.Duration
}

// Record records a request. Requests without a goal are ignored.
func (m *RecentGoals) Record(priority int, goal time.Duration, now time.Time) {
	if goal <= 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.classes == nil {
		m.classes = make(map[class]time.Time)
	}
	m.classes[class{priority, goal}] = now
}

// Shortest returns the shortest goal of the recent requests that have a priority or are
// more urgent, 0 if there are none.
func (m *RecentGoals) Shortest(priority int, now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	var shortest time.Duration
	for c, seen := range m.classes {
		if now.Sub(seen) > classTTL {
			delete(m.classes, c)
			continue
		}
		if c.priority <= priority && (shortest == 0 || c.goal < shortest) {
			shortest = c.goal
		}
	}
	return shortest
}
