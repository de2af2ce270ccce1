package fleet

import (
	"time"

	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/core/retry"
	"github.com/yuccalb/yuccalb/internal/edge/track"
)

// retryShare is the fraction of the allowed retries that hosts use. The rest is
// reserved for calls that servers make on behalf of a retried request, which count
// as retries too.
const retryShare = 0.8

// updateBudgets sets the part of the retry budgets that this host may hold, and logs
// changes.
func (f *Fleet) updateBudgets(v *track.View, now time.Time) {
	part := f.division.Part(retryShare*float64(f.opts.Retries), f.regionCount(), f.sharing, now)
	if part != f.retryPart {
		f.retryPart = part
		f.opts.Log.Info("retry budget", zap.Int("hosts", f.sharing.Lately), zap.Bool("holding", f.holding), zap.Float64("part", part))
	}
	f.budgets.SetPart(part)
	var services []string
	for _, svc := range v.Snapshot.Services {
		services = append(services, svc.Name)
	}
	f.budgets.Retain(services)
}

// RetryBudget returns the budget that bounds the retries to a service.
func (f *Fleet) RetryBudget(service string) *retry.Budget { return f.budgets.Of(service) }

// RetryPart returns the retries that each budget of this host may hold.
func (f *Fleet) RetryPart() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.retryPart
}

// regionCount returns the number of regions.
func (f *Fleet) regionCount() int {
	regions := make(map[string]bool)
	for _, region := range f.opts.Sites {
		regions[region] = true
	}
	return max(len(regions), 1)
}
