package queue

import "time"

// rateDecay is the factor by which the weight of older requests decreases with
// each new one.
const rateDecay = 0.98

// serviceRate estimates how many tokens per second one concurrency slot serves,
// from requests that have ended. Unlike throughput it does not depend on demand.
type serviceRate struct {
	tokens, seconds float64
}

func (r *serviceRate) add(tokens int64, d time.Duration) {
	r.tokens = r.tokens*rateDecay + float64(tokens)
	r.seconds = r.seconds*rateDecay + d.Seconds()
}

// perSlot returns the tokens per second of one slot, or 0 if not known.
func (r *serviceRate) perSlot() float64 {
	if r.seconds <= 0 {
		return 0
	}
	return r.tokens / r.seconds
}
