package retry

import "sync/atomic"

// Parts of a retry that one request earns, and the retries kept in reserve.
const (
	partsPerRetry = 10
	// Reserve bounds the retries that can be saved up: after a long quiet
	// time a burst of failures causes no more than this many at once.
	Reserve = 50
)

// Budget bounds retries to a tenth of the requests. It starts empty, so that
// the bound of 1.1 attempts per request holds from the first request on. It is
// safe for concurrent use. The zero value is ready.
type Budget struct {
	// Limit bounds the retries that can be saved up; 0 stands for Reserve. It
	// must not change once the budget is in use.
	Limit int64

	parts atomic.Int64
}

// limit returns the bound in parts.
func (b *Budget) limit() int64 {
	if b.Limit > 0 {
		return b.Limit * partsPerRetry
	}
	return Reserve * partsPerRetry
}

// Request earns a tenth of a retry. It is called once per request.
func (b *Budget) Request() {
	for {
		old := b.parts.Load()
		if old >= b.limit() {
			return
		}
		if b.parts.CompareAndSwap(old, old+1) {
			return
		}
	}
}

// Take uses up one retry and reports whether the budget had one.
func (b *Budget) Take() bool {
	for {
		old := b.parts.Load()
		if old < partsPerRetry {
			return false
		}
		if b.parts.CompareAndSwap(old, old-partsPerRetry) {
			return true
		}
	}
}
