// Package intake bounds the memory and the file descriptors that the connections of callers
// make a host use, before and while requests are read. Gate bounds connections and request
// heads over all addresses together, Bodies the bodies of requests and responses.
package intake

import (
	"container/list"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// Reasons of refusals, in logs and metrics.
const (
	// ReasonConns: no room for a new connection, which is closed.
	ReasonConns = "connections"
	// ReasonEvicted: a connection without a complete request is closed for others.
	ReasonEvicted = "evicted"
	// ReasonMemory: no memory for a head in time; the response is 503.
	ReasonMemory = "memory"
	// ReasonLines: too many lines in a head; the response is 431.
	ReasonLines = "lines"
)

// Counter counts refusals by the name of the address and the reason.
type Counter func(address, reason string)

// Gate holds the limits and the connections of a host. It is safe for concurrent use.
type Gate struct {
	limits Limits
	count  Counter
	log    *zap.Logger
	used   atomic.Int64 // written with mu held

	mu        sync.Mutex
	open      int   // descriptors
	ending    int64 // memory of evicted connections whose goroutines have not ended
	pace      pace  // of evictions for new connections
	growPace  pace  // of evictions for heads, so that these leave others to new connections
	listeners []*Listener

	refused  atomic.Int64
	reported int64 // only used by Report
}

// New returns a gate. count may be nil.
func New(limits Limits, count Counter, log *zap.Logger) *Gate {
	if count == nil {
		count = func(string, string) {}
	}
	return &Gate{limits: limits, count: count, log: log, pace: newPace(limits.Cores), growPace: newPace(limits.Cores)}
}

// Bytes returns the memory in bytes that connections and heads are charged for.
func (g *Gate) Bytes() int64 { return g.used.Load() }

// Report logs how many connections and requests were refused since the call before, if any.
// It must not be called concurrently.
func (g *Gate) Report() {
	n := g.refused.Load()
	if n == g.reported {
		return
	}
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	g.log.Warn("callers refused at intake", zap.Int64("refused", n-g.reported), zap.Int("connections", open), zap.Int64("bytes", g.Bytes()), zap.Int64("limit", g.limits.Memory))
	g.reported = n
}

// refuse counts a refusal.
func (g *Gate) refuse(l *Listener, reason string) {
	g.refused.Add(1)
	g.count(l.name, reason)
}

// admit charges a new connection, for which it may evict others. It waits for room for a
// short time, in which further connections stay in the queue of the kernel.
func (g *Gate) admit(c *Conn) bool {
	ok := retry(admitTimeout, func(now time.Time) (bool, time.Duration) { return g.tryAdmit(c, now) })
	if !ok {
		g.refuse(c.l, ReasonConns)
	}
	return ok
}

// retry calls try until it succeeds, for at most timeout. After a failure it waits for the time
// that try returns; 0 means that no further attempt may succeed.
func retry(timeout time.Duration, try func(now time.Time) (ok bool, wait time.Duration)) bool {
	end := time.Now().Add(timeout)
	for {
		now := time.Now()
		ok, wait := try(now)
		if ok || wait == 0 || now.After(end) {
			return ok
		}
		time.Sleep(wait)
	}
}

// tryAdmit is one attempt of admit. It returns the time until the next one.
func (g *Gate) tryAdmit(c *Conn, now time.Time) (ok bool, wait time.Duration) {
	g.mu.Lock()
	var victims []*Conn
	defer func() {
		g.mu.Unlock()
		g.closeAll(victims)
	}()
	if c.l.open >= c.l.limit {
		v := g.evict([]*Listener{c.l}, nil, &g.pace, now)
		if v == nil {
			return false, g.pace.interval()
		}
		victims = append(victims, v)
	}
	for g.open >= g.limits.Conns || !g.fits(connCost, g.limits.Memory) {
		v := g.evict(g.listeners, nil, &g.pace, now)
		if v == nil {
			return false, g.pace.interval()
		}
		victims = append(victims, v)
	}
	g.open++
	c.l.open++
	c.held = connCost
	c.since = now
	g.used.Add(connCost)
	c.enlist(&c.l.waiting)
	return true, 0
}

// grow raises the charge of a connection to n bytes, for which it may evict others. It
// waits for room for growTimeout, and reports whether the connection may go on.
func (g *Gate) grow(c *Conn, n int64) bool {
	return retry(growTimeout, func(now time.Time) (bool, time.Duration) { return g.tryGrow(c, n, now) })
}

// tryGrow is one attempt of grow. It returns the time until the next one, 0 if that can't
// succeed.
func (g *Gate) tryGrow(c *Conn, n int64, now time.Time) (ok bool, wait time.Duration) {
	g.mu.Lock()
	var victims []*Conn
	defer func() {
		g.mu.Unlock()
		g.closeAll(victims)
	}()
	if c.evicted {
		return false, 0
	}
	limit := int64(growShare * float64(g.limits.Memory))
	for !g.fits(n-c.held, limit) {
		v := g.evict(g.listeners, c, &g.growPace, now)
		if v == nil && n > limit {
			return false, 0
		}
		if v == nil {
			return false, growInterval
		}
		victims = append(victims, v)
	}
	g.used.Add(n - c.held)
	if c.held == connCost {
		if c.list == &c.l.idle {
			c.since = now // the head has only begun to arrive
		}
		c.unlist()
		c.enlist(&c.l.partial)
	}
	c.held = n
	return true, 0
}

// fits reports whether n more bytes fit into limit. The caller holds g.mu.
func (g *Gate) fits(n, limit int64) bool {
	used := g.used.Load() + n
	return used-g.ending <= limit && used <= limit+int64(endingShare*float64(g.limits.Memory))
}

// evict chooses the connection of the listeners that has held most for longest without a
// complete request. It returns it for closeAll, or nil if there is none, if it is self, or
// if too many were evicted lately by p. The caller holds g.mu.
func (g *Gate) evict(ls []*Listener, self *Conn, p *pace, now time.Time) *Conn {
	var worst *Conn
	most := 0.0
	for _, l := range ls {
		for _, conns := range []*list.List{&l.lingering, &l.partial, &l.waiting, &l.idle} {
			e := conns.Front()
			for i := 0; e != nil && i < candidates; i++ {
				c := e.Value.(*Conn)
				if s := c.score(now); s > most {
					worst, most = c, s
				}
				e = e.Next()
			}
		}
	}
	if self != nil && self.score(now) >= most {
		return nil
	}
	if worst == nil || !p.take(now) {
		return nil
	}
	worst.unlist()
	worst.evicted = true
	g.ending += worst.held
	g.closed(worst)
	return worst
}

// closed counts the descriptor of a connection as closed. The caller holds g.mu.
func (g *Gate) closed(c *Conn) {
	if !c.counted {
		c.counted = true
		g.open--
		c.l.open--
	}
}

// closeAll closes evicted connections. Their charge is released when net/http closes them
// as well, at the end of their goroutines.
func (g *Gate) closeAll(victims []*Conn) {
	for _, c := range victims {
		g.refuse(c.l, ReasonEvicted)
		_ = c.Conn.Close() // the caller gets no response
	}
}

// release releases the charge of a connection that is closed.
func (g *Gate) release(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.released || c.held == 0 {
		return // released before, or never admitted
	}
	c.released = true
	c.unlist()
	g.closed(c)
	g.used.Add(-c.held)
	if c.evicted {
		g.ending -= c.held
	}
}

// move moves a connection to another list and sets its charge, unless the connection was
// evicted or closed.
func (g *Gate) move(c *Conn, to *list.List, held int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.evicted || c.released {
		return
	}
	c.unlist()
	g.used.Add(held - c.held)
	c.held = held
	c.since = time.Now()
	c.enlist(to)
}
