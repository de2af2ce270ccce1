package queue

// class holds the waiting requests of one class. The non-empty flows form a
// ring; current is the next flow to serve.
type class struct {
	share   float64
	served  float64 // tokens served divided by share
	size    int
	tokens  int64
	flows   map[string]*flow
	current *flow
}

// flow holds the waiting requests of one organisation in one class.
type flow struct {
	org          string
	weight       int
	tokens       int64
	deficit      int64
	quantumAdded bool // deficit was raised in this visit
	first, last  *Item
	prev, next   *flow
}

// push appends an item to the flow of its organisation. A class that was empty
// gets no credit for the tokens that it did not use meanwhile.
func (c *class) push(item *Item, q *Queue) {
	if c.size == 0 {
		for i := range q.classes {
			if q.classes[i].size > 0 {
				c.served = max(c.served, q.classes[i].served)
			}
		}
	}
	f := c.flows[item.Org]
	if f == nil {
		f = &flow{org: item.Org}
		c.flows[item.Org] = f
		c.addFlow(f)
	}
	f.weight = item.Weight
	f.append(item)
	f.tokens += item.Tokens
	c.tokens += item.Tokens
	c.size++
	item.flow = f
}

// pop removes and returns the next item by deficit round robin among the
// eligible organisations, or nil if no organisation with items is eligible.
func (c *class) pop(quantum int64, eligible func(org string) bool) *Item {
	skipped := 0
	for skipped < len(c.flows) {
		f := c.current
		if !eligible(f.org) {
			skipped++
			f.quantumAdded = false
			c.current = f.next
			continue
		}
		skipped = 0
		if !f.quantumAdded {
			f.deficit += quantum * int64(f.weight)
			f.quantumAdded = true
		}
		if item := f.first; f.deficit >= item.Tokens {
			f.deficit -= item.Tokens
			c.remove(item)
			return item
		}
		f.quantumAdded = false
		c.current = f.next
	}
	return nil
}

// refund returns the tokens of an item that was popped but not sent to the
// deficit of its flow, if the flow still exists.
func (c *class) refund(item *Item) {
	if f := c.flows[item.Org]; f != nil {
		f.deficit += item.Tokens
	}
}

// remove removes an item from its flow. A flow that becomes empty is deleted with
// its deficit.
func (c *class) remove(item *Item) {
	f := item.flow
	f.unlink(item)
	f.tokens -= item.Tokens
	c.tokens -= item.Tokens
	c.size--
	if f.first == nil {
		c.removeFlow(f)
		delete(c.flows, f.org)
	}
}

// tokensAhead returns the expected number of tokens served before a new request
// of org: the backlog of org, and of each other flow the smaller of its backlog
// and its fair share during that time.
func (c *class) tokensAhead(org string, weight float64) float64 {
	backlog := 0.0
	if f := c.flows[org]; f != nil {
		backlog = float64(f.tokens)
	}
	sum := backlog
	for f, n := c.current, len(c.flows); n > 0; f, n = f.next, n-1 {
		if f.org != org {
			// An organisation without backlog waits for at most one request
			// of each other flow. Its size is estimated by the mean.
			share := max(backlog/weight*float64(f.weight), f.meanTokens())
			sum += min(float64(f.tokens), share)
		}
	}
	return sum
}

// meanTokens estimates the mean tokens of a request by those of the first one.
func (f *flow) meanTokens() float64 { return float64(f.first.Tokens) }

// addFlow inserts f into the ring before current, where it is served last.
func (c *class) addFlow(f *flow) {
	if c.current == nil {
		f.prev, f.next = f, f
		c.current = f
		return
	}
	f.next, f.prev = c.current, c.current.prev
	f.prev.next, f.next.prev = f, f
}

// removeFlow removes f from the ring.
func (c *class) removeFlow(f *flow) {
	if f.next == f {
		c.current = nil
		return
	}
	f.prev.next, f.next.prev = f.next, f.prev
	if c.current == f {
		c.current = f.next
	}
}

func (f *flow) append(item *Item) {
	item.prev, item.next = f.last, nil
	if f.last != nil {
		f.last.next = item
	} else {
		f.first = item
	}
	f.last = item
}

func (f *flow) unlink(item *Item) {
	if item.prev != nil {
		item.prev.next = item.next
	} else {
		f.first = item.next
	}
	if item.next != nil {
		item.next.prev = item.prev
	} else {
		f.last = item.prev
	}
	item.prev, item.next = nil, nil
}
