// Package queue implements a fair queue for the requests of one service while
// capacity is short. Two classes share the tokens 3:1. In each class,
// organisations share the tokens by weight through deficit round robin.
//
// The queue also limits concurrency: each request that was sent and has not ended
// occupies a slot. An organisation that has more than its share of the slots gets
// another one only while enough slots are free for the others.
package queue

import (
	"math"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/model"
)

// Config holds the parameters of a Queue.
type Config struct {
	// Total and PerOrg are the maximum numbers of waiting requests, of all
	// organisations and of one organisation.
	Total, PerOrg int
	// Quantum is the number of tokens that an organisation of weight 1 may
	// send in one round.
	Quantum int64
	// Rate is the initial estimate of the service rate of one slot, in tokens
	// per second. With 0, no request is rejected for its deadline until the
	// first request has ended.
	Rate float64
	// BorrowFraction is the fraction of the concurrency limit up to which slots
	// are given to organisations regardless of their shares.
	BorrowFraction float64
}

// DefaultConfig returns the parameters that daemons use.
func DefaultConfig() Config {
	return Config{Total: 4096, PerOrg: 512, Quantum: 512, BorrowFraction: 0.5}
}

const (
	// shortShare and longShare are the shares of tokens of the two classes.
	shortShare = 3
	longShare  = 1
	// shareWindow is the time constant of the mean use that is compared with
	// the share of an organisation.
	shareWindow = 30 * time.Second
	// maxShareRatio is the maximum ratio of the slots in use by an organisation
	// to its share. Without this limit an organisation whose mean fell below its
	// share sent all its waiting requests at once. With a ratio of 2 normal
	// traffic was delayed, because it varies that much when a host has few slots.
	maxShareRatio = 2.5
	// unusedShare is the fraction of the slots not used by others that one
	// organisation may use. It matters with many organisations, whose shares by
	// weight are small.
	unusedShare = 0.25
	// activePeriod is how long an organisation without requests is still counted
	// when slots are divided by weight.
	activePeriod = 10 * time.Second
	// minRetry is the minimum retry time in a rejection.
	minRetry = 100 * time.Millisecond
)

// Item is a request to be queued. The queue owns the unexported fields.
type Item struct {
	Org    string
	Weight int // 0 means 1
	Class  model.Class
	Tokens int64 // expected tokens of prompt and response
	// Deadline is the time from which the request is no longer sent.
	Deadline time.Time
	// Value is data of the caller. The queue does not use it.
	Value any

	sent       time.Time
	flow       *flow
	prev, next *Item
}

// Waiting reports whether the item is in a queue.
func (i *Item) Waiting() bool { return i.flow != nil }

// usage holds the numbers of waiting and sent requests of one organisation.
type usage struct {
	weight     int
	waiting    int
	tokens     int64     // of the waiting requests
	inUse      int       // requests sent that have not ended
	mean       float64   // exponential moving average of inUse over shareWindow
	meanAt     time.Time // last update of mean
	lastActive time.Time
}

// Queue is a fair queue. It is not safe for concurrent use.
type Queue struct {
	cfg         Config
	size        int
	limit       int
	slots       int
	total       usage // inUse and its mean over all organisations
	orgs        map[string]*usage
	totalWeight int // of all orgs
	lastSweep   time.Time
	popTime     time.Time // time of the current Pop
	classes     [2]class
	rate        serviceRate
}

// New returns an empty queue with a concurrency limit of limit requests.
func New(cfg Config, limit int) *Queue {
	q := &Queue{cfg: cfg, limit: limit, slots: limit, orgs: make(map[string]*usage)}
	q.classes[0] = class{share: shortShare, flows: make(map[string]*flow)}
	q.classes[1] = class{share: longShare, flows: make(map[string]*flow)}
	q.rate = serviceRate{tokens: cfg.Rate, seconds: 1}
	return q
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.size }

// InUse returns the number of requests sent that have not ended.
func (q *Queue) InUse() int { return q.total.inUse }

// SetLimit sets the maximum number of requests in use at once and the number of
// slots that organisations share. limit may change with every load report. slots
// is this host's part of all slots and changes only with the servers and hosts,
// because shares of a fluctuating limit were too small at times.
func (q *Queue) SetLimit(limit, slots int) {
	q.limit, q.slots = limit, slots
}

// usageOf returns the usage of an organisation, with weight and lastActive
// updated. It adds the organisation if necessary.
func (q *Queue) usageOf(org string, weight int, now time.Time) *usage {
	u := q.orgs[org]
	if u == nil {
		u = &usage{}
		q.orgs[org] = u
	}
	q.totalWeight += weight - u.weight
	u.weight, u.lastActive = weight, now
	return u
}

// removeIdle removes organisations that were idle for activePeriod. It does so
// at most once per second.
func (q *Queue) removeIdle(now time.Time) {
	if now.Sub(q.lastSweep) < time.Second {
		return
	}
	q.lastSweep = now
	for org, u := range q.orgs {
		if u.waiting == 0 && u.inUse == 0 && now.Sub(u.lastActive) > activePeriod {
			q.totalWeight -= u.weight
			delete(q.orgs, org)
		}
	}
}

// updateMean updates the mean number of slots in use to now.
func (u *usage) updateMean(now time.Time) {
	if dt := now.Sub(u.meanAt); dt > 0 {
		u.mean = float64(u.inUse) + (u.mean-float64(u.inUse))*math.Exp(-dt.Seconds()/shareWindow.Seconds())
		u.meanAt = now
	}
}

func (u *usage) start(now time.Time) {
	u.updateMean(now)
	u.inUse++
	u.lastActive = now
}

func (u *usage) finish(now time.Time) {
	u.updateMean(now)
	u.inUse--
	u.lastActive = now
}

// eligible reports whether an organisation may get another slot.
func (q *Queue) eligible(org string) bool {
	return q.total.inUse < q.limit && q.withinShare(q.orgs[org], q.popTime)
}

// withinShare reports whether an organisation uses no more than its share of the
// slots, or enough slots are free that shares are not enforced. The share is
// compared with the mean use, because a limit on the current use alone delayed
// organisations whose mean was half of their share.
func (q *Queue) withinShare(u *usage, now time.Time) bool {
	if float64(q.total.inUse) < q.cfg.BorrowFraction*float64(q.limit) {
		return true
	}
	u.updateMean(now)
	q.total.updateMean(now)
	slots := float64(q.slots)
	share := max(1, slots*float64(u.weight)/float64(q.totalWeight), (slots-q.total.mean+u.mean)*unusedShare)
	// With few organisations, half of the other slots are left to the others.
	burst := min(maxShareRatio*share, (share+slots)/2)
	return u.mean <= share && float64(u.inUse+1) <= burst
}

// Push adds an item. If it can't, it returns a rejection with reason overloaded,
// run no, and the time after which to retry.
func (q *Queue) Push(item *Item, now time.Time) *model.Rejection {
	q.removeIdle(now)
	item.Weight = max(item.Weight, 1)
	item.Tokens = max(item.Tokens, 1)
	u := q.usageOf(item.Org, item.Weight, now)
	wait := q.Wait(item.Org, item.Weight, item.Class, now)
	allowed := item.Deadline.Sub(now)
	switch {
	case wait > allowed:
		return q.reject(wait-allowed, "expected wait of %v exceeds the deadline in %v", wait.Round(time.Millisecond), allowed.Round(time.Millisecond))
	case u.waiting >= q.cfg.PerOrg:
		return q.reject(wait/2, "%d requests of the organisation are waiting", u.waiting)
	case q.size >= q.cfg.Total:
		return q.reject(wait/2, "%d requests are waiting", q.size)
	}
	q.classOf(item.Class).push(item, q)
	q.size++
	u.waiting++
	u.tokens += item.Tokens
	return nil
}

func (q *Queue) reject(retry time.Duration, format string, args ...any) *model.Rejection {
	return model.Reject(model.ReasonOverloaded, format, args...).WithRetryAfter(max(retry, minRetry))
}

// Pop removes and returns the request to be sent next, or nil if none may be sent
// now. The caller must call Finish when the request has ended. Requests that are
// found to be past their deadline are removed, too, and returned in expired; they
// did not run.
func (q *Queue) Pop(now time.Time) (item *Item, expired []*Item) {
	q.popTime = now
	for q.size > 0 && q.total.inUse < q.limit {
		c := q.nextClass()
		if item = c.pop(q.cfg.Quantum, q.eligible); item == nil {
			if item = q.otherClass(c).pop(q.cfg.Quantum, q.eligible); item == nil {
				return nil, expired
			}
		}
		u := q.dequeued(item)
		if !now.Before(item.Deadline) {
			q.classOf(item.Class).refund(item)
			expired = append(expired, item)
			continue
		}
		q.countServed(item)
		u.start(now)
		q.total.start(now)
		item.sent = now
		return item, expired
	}
	return nil, expired
}

// Finish frees the slot of a request that was returned by Pop.
func (q *Queue) Finish(item *Item, now time.Time) {
	q.total.finish(now)
	q.rate.add(item.Tokens, now.Sub(item.sent))
	if u := q.orgs[item.Org]; u != nil {
		u.finish(now)
	}
}

func (q *Queue) otherClass(c *class) *class {
	if c == &q.classes[0] {
		return &q.classes[1]
	}
	return &q.classes[0]
}

func (q *Queue) classOf(c model.Class) *class {
	if c == model.ClassLong {
		return &q.classes[1]
	}
	return &q.classes[0]
}

// nextClass returns the non-empty class with the fewest tokens served relative
// to its share.
func (q *Queue) nextClass() *class {
	short, long := &q.classes[0], &q.classes[1]
	switch {
	case short.size == 0:
		return long
	case long.size == 0:
		return short
	case long.served < short.served:
		return long
	}
	return short
}

// countServed adds the tokens of a sent item to those served of its class.
func (q *Queue) countServed(item *Item) {
	c := q.classOf(item.Class)
	c.served += float64(item.Tokens) / c.share
}

// dequeued updates the counts for an item that was removed from its class.
func (q *Queue) dequeued(item *Item) *usage {
	q.size--
	u := q.orgs[item.Org]
	u.waiting--
	u.tokens -= item.Tokens
	item.flow = nil
	return u
}

// Cancel removes an item whose caller disconnected. It reports whether the item
// was waiting.
func (q *Queue) Cancel(item *Item) bool {
	if item.flow == nil {
		return false
	}
	q.classOf(item.Class).remove(item)
	q.dequeued(item)
	return true
}

// Wait returns the expected wait of a new request: the tokens served before it
// divided by the service rate. An organisation that is limited to its share gets
// only that fraction of the rate. Wait returns 0 if the rate is not known or the
// request could be sent at once.
func (q *Queue) Wait(org string, weight int, class model.Class, now time.Time) time.Duration {
	rate := q.rate.perSlot() * float64(q.limit)
	u := q.orgs[org]
	limited := u != nil && !q.withinShare(u, now)
	if rate <= 0 || (!limited && q.total.inUse < q.limit && (u == nil || u.waiting == 0)) {
		return 0
	}
	weight = max(weight, 1)
	c := q.classOf(class)
	ahead := c.tokensAhead(org, float64(weight))
	if other := q.otherClass(c); other.tokens > 0 {
		ahead += min(float64(other.tokens), ahead*other.share/c.share)
	}
	if limited {
		ahead = max(ahead, float64(u.tokens)*float64(q.totalWeight)/float64(weight))
	}
	return time.Duration(ahead / rate * float64(time.Second))
}
