package intake

import "time"

// connList is a list of connections, the one that was added first at its begin. The
// gate's mutex guards it.
type connList struct{ first, last *Conn }

// push adds a connection that is in no list.
func (l *connList) push(c *Conn) {
	c.list, c.prev, c.next = l, l.last, nil
	if l.last == nil {
		l.first = c
	} else {
		l.last.next = c
	}
	l.last = c
}

// remove removes a connection. l is its list; nil means that it is in none.
func (l *connList) remove(c *Conn) {
	if l == nil {
		return
	}
	if c.prev == nil {
		l.first = c.next
	} else {
		c.prev.next = c.next
	}
	if c.next == nil {
		l.last = c.prev
	} else {
		c.next.prev = c.prev
	}
	c.list, c.prev, c.next = nil, nil, nil
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
