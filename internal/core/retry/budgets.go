package retry

import (
	"maps"
	"slices"
	"sync"
)

// firstPart is what a budget holds at most, in retries, until SetPart is called: enough
// for retries in the proportion of the requests, and none for a burst.
const firstPart = 1

// Budgets are the retry budgets that one host holds, one for each service. There is one
// for every service, also for those whose servers the host does not know: it sends requests
// for them to other hosts. It is safe for concurrent use.
type Budgets struct {
	ratio float64

	mu   sync.RWMutex
	part float64
	of   map[string]*Budget
}

// NewBudgets returns budgets in which each request deposits ratio of a retry.
func NewBudgets(ratio float64) *Budgets {
	return &Budgets{ratio: ratio, part: firstPart, of: make(map[string]*Budget)}
}

// Of returns the budget of a service, an empty one at the first call.
func (s *Budgets) Of(service string) *Budget {
	s.mu.RLock()
	b := s.of[service]
	s.mu.RUnlock()
	if b != nil {
		return b
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if b := s.of[service]; b != nil {
		return b
	}
	b = &Budget{Ratio: s.ratio}
	b.SetLimit(s.part)
	s.of[service] = b
	return b
}

// SetPart bounds the retries that each budget holds.
func (s *Budgets) SetPart(retries float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.part = retries
	for _, b := range s.of {
		b.SetLimit(retries)
	}
}

// Retain drops the budgets of all services but those named.
func (s *Budgets) Retain(services []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.of, func(name string, _ *Budget) bool { return !slices.Contains(services, name) })
}
