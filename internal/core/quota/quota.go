// Package quota implements distributed rate limits: it decides how the hosts of
// the fleet share the token limits of organisations. It does no I/O: it takes
// the time and messages as arguments and returns messages to send. In every
// window of t seconds all hosts together admit at most rate x t + burst tokens
// of an organisation, even if messages are lost, delayed or duplicated, and
// hosts are paused or restarted.
//
// A limit is divided into slots, a configured number per data centre. A host
// holds at most one slot and leases it to all hosts of its data centre. For each
// organisation, one host per data centre owns the pool, a token bucket over all
// slots that it has on lease. Other hosts request grants from pools.
//
// The bound rests on an invariant: the sum over all hosts of bucket levels,
// tokens granted but not known to be spent, and refundable tokens of
// reservations grows only by refill, and the refill of all slots together stays
// within the rate.
package quota

import (
	"math/bits"
	"time"
)

const (
	// LeaseLength is how long a lessee may use a slot, on its clock, from the
	// time at which it sent the heartbeat.
	LeaseLength = 5 * time.Second
	// GrantLength is how long a requester may spend granted tokens, on its
	// clock, from the time at which it sent the request.
	GrantLength = 2 * time.Second
	// RefundLength is how long a pool accepts a refund of spent tokens.
	// It exceeds the longest deadline that routes commonly set.
	RefundLength = 10 * time.Minute
	// RetryUnknown is the retry time reported when refill alone cannot satisfy
	// a request, but a change of the reachable data centres can.
	RetryUnknown = 5 * time.Second

	// driftDivisor allows for two clocks whose rates differ by 1 in 100,
	// relative to either of them.
	driftDivisor = 99
	// maxTokens bounds rates and bursts so that nano amounts fit int64.
	maxTokens = 4_000_000_000

	nano = 1_000_000_000
)

// Reclaim is how long a lessor waits, on its clock, after it last leased a slot
// before it uses the slot itself: after that no lessee holds the slot and no
// grant from it is valid.
var Reclaim = padded(LeaseLength + GrantLength)

// padded returns a duration that, on any clock, ends after d has passed on any
// other clock.
func padded(d time.Duration) time.Duration {
	return d + d/driftDivisor + 1
}

// toNano returns whole tokens in nanotokens, the unit of all internal levels:
// a rate of one token per second is one nanotoken per nanosecond.
func toNano(tokens int64) int64 {
	return min(max(tokens, 0), maxTokens) * nano
}

// mulDiv returns floor((a*b+rem)/den) and the remainder. The quotient
// saturates at the largest int64. All arguments must be non-negative and den
// positive.
func mulDiv(a, b, rem, den int64) (int64, int64) {
	hi, lo := bits.Mul64(uint64(a), uint64(b))
	lo, carry := bits.Add64(lo, uint64(rem), 0)
	hi += carry
	if hi >= uint64(den) {
		return 1<<63 - 1, 0
	}
	q, r := bits.Div64(hi, lo, uint64(den))
	if q > 1<<63-1 {
		return 1<<63 - 1, 0
	}
	return int64(q), int64(r)
}

// refillTime returns how long a refill of rate nanotokens per second takes to
// add missing nanotokens, or -1 when it never does.
func refillTime(missing, rate int64) time.Duration {
	if missing <= 0 {
		return 0
	}
	if rate <= 0 {
		return -1
	}
	d, _ := mulDiv(missing, nano, 0, rate)
	return time.Duration(d) + 1
}
