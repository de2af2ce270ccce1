package intake

import (
	"container/list"
	"time"
)

// enlist adds the connection, which is in no list, to the end of l. The caller holds the
// gate's mutex.
func (c *Conn) enlist(l *list.List) { c.list, c.place = l, l.PushBack(c) }

// unlist removes the connection from its list, if it is in one. The caller holds the gate's
// mutex.
func (c *Conn) unlist() {
	if c.list != nil {
		c.list.Remove(c.place)
		c.list, c.place = nil, nil
	}
}

// score returns how much a connection has held for how long, 0 if it must not be evicted.
// The caller holds the gate's mutex.
func (c *Conn) score(now time.Time) float64 {
	age := now.Sub(c.since)
	if age < minAge {
		return 0
	}
	s := float64(c.held) * age.Seconds()
	if c.list == &c.l.idle {
		s /= idleWeight
	}
	return s
}
