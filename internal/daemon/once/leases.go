package once

import (
	"context"
	"sync"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/order"
)

// leaseInterval is how long one lease is used for new records. The records of an
// interval share a lease, which lasts until the last of them may expire: a lease per
// record would take a third call to the store for each booking.
const leaseInterval = time.Hour

// leases provides the store lease for new records.
type leases struct {
	store   Store
	timeout time.Duration

	granting chan struct{} // semaphore of the goroutine that requests a lease
	mu       sync.Mutex    // guards id and until
	id       string
	until    time.Time
}

func newLeases(store Store, timeout time.Duration) *leases {
	return &leases{store: store, timeout: timeout, granting: make(chan struct{}, 1)}
}

// get returns a lease that lasts for at least order.Retention. It requests a new one
// if needed; callers that wait for that stop when ctx ends.
func (l *leases) get(ctx context.Context) (string, error) {
	if id := l.current(); id != "" {
		return id, nil
	}
	select {
	case l.granting <- struct{}{}:
	case <-ctx.Done():
		return "", context.Cause(ctx)
	}
	defer func() { <-l.granting }()
	if id := l.current(); id != "" {
		return id, nil
	}
	call, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	requested := time.Now()
	id, err := l.store.Grant(call, order.Retention+leaseInterval)
	if err != nil {
		return "", err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.id, l.until = id, requested.Add(leaseInterval)
	return id, nil
}

// current returns the lease in use, or "" if a new one is needed.
func (l *leases) current() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Now().Before(l.until) {
		return l.id
	}
	return ""
}

// discard stops the use of a lease after a write under it has failed: the lease may
// no longer exist in the store.
func (l *leases) discard(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.id == id {
		l.id, l.until = "", time.Time{}
	}
}
