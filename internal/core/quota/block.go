package quota

import (
	"time"

	"github.com/yuccalb/yuccalb/internal/core/model"
)

// cachedRejection is a recent rejection of an organisation that exceeds its
// rate: a request for tokens would be admitted at until if no other request
// took tokens before.
type cachedRejection struct {
	tokens int64
	until  time.Duration
}

// Check rejects a request without asking a pool where that is possible: a
// request above the burst permanently, and one covered by a cached rejection
// with the remaining wait. It returns nil when the pool must be asked.
func (n *Node) Check(now time.Time, org *model.Org, tokens int64) *model.Rejection {
	t := n.advanceClock(now)
	if tokens > org.Burst {
		return model.Reject(model.ReasonTooLarge, "request of %d tokens exceeds the burst of %d", tokens, org.Burst)
	}
	b, ok := n.rejections[org.Name]
	if !ok || t >= b.until {
		return nil
	}
	// A smaller request is admitted earlier: the level grows at most at the rate.
	wait := b.until - t - refillTime(toNano(b.tokens-tokens), toNano(org.Rate))
	if wait <= 0 {
		return nil
	}
	return rateLimited(org, tokens, wait)
}

// Reject returns the rejection of a request and, when cache is set, stores it
// for Check. The argument retryAfter has the meaning of Grant.RetryAfter. The rejection
// of a request that could use only some of the organisation's regions must not
// be cached.
func (n *Node) Reject(now time.Time, org *model.Org, tokens int64, retryAfter time.Duration, cache bool) *model.Rejection {
	t := n.advanceClock(now)
	if retryAfter < 0 {
		return rateLimited(org, tokens, RetryUnknown)
	}
	if retryAfter > 0 && cache {
		n.rejections[org.Name] = cachedRejection{tokens: tokens, until: t + retryAfter}
	}
	return rateLimited(org, tokens, retryAfter)
}

func rateLimited(org *model.Org, tokens int64, retryAfter time.Duration) *model.Rejection {
	r := model.Reject(model.ReasonRateLimited, "%d tokens exceed what is left of %d tokens per second", tokens, org.Rate)
	return r.WithRetryAfter(retryAfter)
}
