package retry

import "sync/atomic"

const (
	// DefaultRatio is the part of a retry that each request deposits, unless
	// Budget.Ratio is set.
	DefaultRatio = 0.1
	// DefaultLimit bounds the retries that a budget holds, unless SetLimit was
	// called: a burst of failures after a long time without any causes no more
	// than this many retries at once.
	DefaultLimit = 50
	// unitsPerRetry is one retry in the integer units that a budget counts in.
	unitsPerRetry = 10_000
)

// Budget is a token bucket that bounds retries to a fraction of the requests.
// It starts empty, so that the bound holds from the first request on. It is
// safe for concurrent use. The zero value is ready to use.
type Budget struct {
	// Ratio is the part of a retry that each request deposits; 0 means
	// DefaultRatio. It must not change once the budget is in use.
	Ratio float64

	limit     atomic.Int64 // in units; 0 means DefaultLimit
	available atomic.Int64 // in units
}

// SetLimit bounds the retries that the budget holds. Those above a lower limit are
// dropped, since other hosts hold them from then on.
func (b *Budget) SetLimit(retries float64) {
	limit := max(int64(retries*unitsPerRetry), 1)
	b.limit.Store(limit)
	for {
		old := b.available.Load()
		if old <= limit || b.available.CompareAndSwap(old, limit) {
			return
		}
	}
}

// Limit returns the most retries that the budget holds.
func (b *Budget) Limit() float64 { return float64(b.limitUnits()) / unitsPerRetry }

// Available returns the retries that the budget holds.
func (b *Budget) Available() float64 { return float64(b.available.Load()) / unitsPerRetry }

// limitUnits returns the limit in units.
func (b *Budget) limitUnits() int64 {
	if n := b.limit.Load(); n > 0 {
		return n
	}
	return DefaultLimit * unitsPerRetry
}

// depositUnits returns what one request deposits, in units.
func (b *Budget) depositUnits() int64 {
	if b.Ratio > 0 {
		return int64(b.Ratio * unitsPerRetry)
	}
	return DefaultRatio * unitsPerRetry
}

// Deposit deposits Ratio of a retry. It is called once per request.
func (b *Budget) Deposit() {
	for {
		old := b.available.Load()
		if old >= b.limitUnits() {
			return
		}
		if b.available.CompareAndSwap(old, old+b.depositUnits()) {
			return
		}
	}
}

// Withdraw takes one retry from the budget. It returns false if the budget is
// exhausted.
func (b *Budget) Withdraw() bool {
	for {
		old := b.available.Load()
		if old < unitsPerRetry {
			return false
		}
		if b.available.CompareAndSwap(old, old-unitsPerRetry) {
			return true
		}
	}
}
