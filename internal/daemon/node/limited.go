package node

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/model"
	"github.com/yuccalb/yuccalb/internal/daemon/serve"
	"github.com/yuccalb/yuccalb/internal/daemon/spend"
)

const (
	// rejectionRetention is how long the status lists an organisation after the last
	// rate_limited rejection that was recorded for it.
	rejectionRetention = time.Minute
	// maxTrackedOrgs bounds the organisations that the status lists.
	maxTrackedOrgs = 100
)

// trackedLimiter reserves tokens for package serve and tracks which organisations were
// recently rejected by their rate limit. It is safe for concurrent use.
type trackedLimiter struct {
	limiter *spend.Limiter

	mu   sync.Mutex
	last map[string]time.Time // last rejection by organisation
}

func newTrackedLimiter(limiter *spend.Limiter) *trackedLimiter {
	return &trackedLimiter{limiter: limiter, last: make(map[string]time.Time)}
}

// Reserve implements serve.Limiter. Tokens may come from pools in every region, even
// those where the request may not be served. Otherwise an organisation that is
// restricted to one region could use only the shares of that region's hosts.
func (l *trackedLimiter) Reserve(ctx context.Context, org *model.Org, tokens, refundable int64) (serve.Reservation, error) {
	r, err := l.limiter.Reserve(ctx, org, tokens, refundable, nil)
	if err != nil {
		var rej *model.Rejection
		if errors.As(err, &rej) && rej.Reason == model.ReasonRateLimited {
			l.record(org.Name, time.Now())
		}
		return nil, err
	}
	return r, nil
}

// record records a rejection.
func (l *trackedLimiter) record(org string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	if _, known := l.last[org]; known || len(l.last) < maxTrackedOrgs {
		l.last[org] = now
	}
}

// expire removes rejections older than rejectionRetention.
func (l *trackedLimiter) expire(now time.Time) {
	maps.DeleteFunc(l.last, func(_ string, at time.Time) bool { return now.Sub(at) > rejectionRetention })
}

// recent returns the organisations that were recently rejected, sorted by name.
func (l *trackedLimiter) recent(now time.Time) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	return slices.Sorted(maps.Keys(l.last))
}
