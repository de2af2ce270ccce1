package server

import (
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"
)

// Order is an order that an engine accepted. It is in effect from At until Until.
type Order struct {
	Order string    `json:"order"`
	Model string    `json:"model"`
	Token uint64    `json:"token"`
	At    time.Time `json:"at"`
	Until time.Time `json:"until"`
}

// orders holds the accepted orders of an engine.
type orders struct {
	fenced   bool          // reject stale fencing tokens
	duration time.Duration // how long an order is in effect

	mu      sync.Mutex
	highest uint64 // fencing token
	list    []Order
}

// add accepts an order. It returns false if the fencing token is stale.
func (o *orders) add(body []byte) (Order, bool, error) {
	var n Order
	if err := json.Unmarshal(body, &n); err != nil {
		return n, false, fmt.Errorf("order: %w", err)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.fenced && n.Token < o.highest {
		return n, false, nil
	}
	o.highest = max(o.highest, n.Token)
	n.At = time.Now()
	n.Until = n.At.Add(o.duration)
	o.list = append(o.list, n)
	return n, true, nil
}

func (o *orders) all() []Order {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.list)
}

// Overlaps returns the number of pairs of orders with different tokens that
// were in effect at the same time.
func Overlaps(all []Order) int {
	n := 0
	for i, a := range all {
		for _, b := range all[:i] {
			if a.Token != b.Token && a.At.Before(b.Until) && b.At.Before(a.Until) {
				n++
			}
		}
	}
	return n
}
