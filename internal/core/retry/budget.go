package retry

import "sync/atomic"

const (
	// Ratio is the part of a retry that one request earns, unless a budget
	// has another one.
	Ratio = 0.1
	// Reserve bounds the retries that can be saved up, unless a budget has
	// another limit: after a long quiet time a burst of failures causes no
	// more than this many at once.
	Reserve = 50
	// retryUnits is one retry in the units that a budget counts in.
	retryUnits = 10_000
)

// Budget bounds retries to a part of the requests. It starts empty, so that the
// bound holds from the first request on. It is safe for concurrent use. The
// zero value is ready.
type Budget struct {
	// Ratio is the part of a retry that one request earns, 0 for the constant
	// of that name. It must not change once the budget is in use.
	Ratio float64

	limit atomic.Int64 // in units, 0 for Reserve
	saved atomic.Int64 // in units
}

// SetLimit bounds the retries that can be saved up.
func (b *Budget) SetLimit(retries float64) {
	b.limit.Store(max(int64(retries*retryUnits), 1))
}

// most returns the bound in units.
func (b *Budget) most() int64 {
	if n := b.limit.Load(); n > 0 {
		return n
	}
	return Reserve * retryUnits
}

// earned returns what one request earns in units.
func (b *Budget) earned() int64 {
	if b.Ratio > 0 {
		return int64(b.Ratio * retryUnits)
	}
	return Ratio * retryUnits
}

// Request earns part of a retry. It is called once per request.
func (b *Budget) Request() {
	for {
		old := b.saved.Load()
		if old >= b.most() {
			return
		}
		if b.saved.CompareAndSwap(old, old+b.earned()) {
			return
		}
	}
}

// Take uses up one retry and reports whether the budget had one.
func (b *Budget) Take() bool {
	for {
		old := b.saved.Load()
		if old < retryUnits {
			return false
		}
		if b.saved.CompareAndSwap(old, old-retryUnits) {
			return true
		}
	}
}
