package fetch

import (
	"context"
	"time"
)

// Rate limit of segment reads. Two hosts in each of 21 data centres with 30 reads per
// second send 1,260 reads per second, below the 2,000 that the store can serve, and a
// cold start with 257 segments takes 8 s.
const (
	readInterval = time.Second / 30
	readBurst    = 16
)

// readLimiter limits reads to one per readInterval after a burst of readBurst. The zero
// value is ready to use. It is not safe for concurrent use.
type readLimiter struct {
	next time.Time // when the next read is due; in the past while burst is left
}

// wait waits until the next read may be sent. It returns the error of ctx if ctx ends
// first.
func (l *readLimiter) wait(ctx context.Context) error {
	now := time.Now()
	if earliest := now.Add(-(readBurst - 1) * readInterval); l.next.Before(earliest) {
		l.next = earliest
	}
	due := l.next
	l.next = l.next.Add(readInterval)
	if !due.After(now) {
		return ctx.Err()
	}
	t := time.NewTimer(due.Sub(now))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
