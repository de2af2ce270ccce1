package once_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/model"
	"github.com/yuccalb/yuccalb/internal/core/order"
	"github.com/yuccalb/yuccalb/internal/daemon/once"
)

// outageStats are the results of one run of measure.
type outageStats struct {
	total, served, unknown, rejected int     // bookings that arrived during the outage
	duplicated                       int     // bookings that ran more than once
	calls                            float64 // store calls per booking before the outage
}

// bookingCaller makes bookings, retries them after a lost response or a rejection, and
// counts how often each one runs.
type bookingCaller struct {
	mode  string // kind of idempotency key: "store" (opaque), "ticket" or "none"
	hosts []*host
	mu    sync.Mutex
	rng   *rand.Rand
	runs  map[string]int
}

func (c *bookingCaller) randInt(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.IntN(n)
}

// process returns the current process of host i or, if key is a ticket of another
// host, that of the host that owns the ticket.
func (c *bookingCaller) process(i int, key string) *once.Once {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.hosts[i].once
	if owner, ok, _ := o.Owner("org", key); ok {
		for _, h := range c.hosts {
			if h.addr == owner {
				o = h.once
			}
		}
	}
	return o
}

// book makes one booking with up to three attempts. It returns "served", "unknown" or
// "rejected".
func (c *bookingCaller) book(id string) string {
	key := id
	at := c.randInt(len(c.hosts))
	switch c.mode {
	case "ticket":
		key, _ = c.process(at, "").Ticket("org")
	case "none":
		key = ""
	}
	result := "rejected"
	for range 3 {
		result = c.attempt(c.process(at, key), id, key)
		if result == "served" || result == "unknown" {
			return result
		}
		time.Sleep(2 * time.Second)
		at = c.randInt(len(c.hosts))
	}
	if result == "lost" {
		return "unknown"
	}
	return result
}

// crash replaces the process of a host with a new one.
func (c *bookingCaller) crash(i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts[i].start()
}

// attempt makes one request. One response in ten is lost on the way to the caller; the
// result is then "lost".
func (c *bookingCaller) attempt(o *once.Once, id, key string) string {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	e, err := o.Begin(ctx, "org", key, "body")
	var r *model.Rejection
	if errors.As(err, &r) {
		if r.Reason == model.ReasonUnknown {
			return "unknown"
		}
		return "rejected"
	}
	if e.Recorded() == nil {
		if e.Dispatch() != nil {
			return "rejected"
		}
		c.mu.Lock()
		c.runs[id]++
		c.mu.Unlock()
		time.Sleep(100 * time.Millisecond)
		o.Finish(e, order.Outcome{Response: &order.Response{Status: 200, Body: []byte(id)}})
	}
	if c.randInt(10) == 0 {
		return "lost"
	}
	return "served"
}

// measure makes 3,000 bookings in 600 s, with an outage of the store from 200 s to
// 400 s and a crash of a host every 97 s.
func measure(mode string) outageStats {
	const bookings, from, to = 3000, 200 * time.Second, 400 * time.Second
	s := newStore(3, faults{lost: 0.01})
	all := hosts(s, 3)
	c := &bookingCaller{mode: mode, hosts: all, rng: rand.New(rand.NewPCG(5, 5)), runs: map[string]int{}}
	var f outageStats
	var wg sync.WaitGroup
	start, down := time.Now(), false
	for i := range bookings {
		time.Sleep(200 * time.Millisecond)
		at := time.Since(start)
		if now := at >= from && at < to; now != down {
			if down = now; down {
				f.calls = float64(s.count()) / float64(i)
			}
			s.setDown(down)
		}
		if i%485 == 484 {
			c.crash(c.randInt(3))
		}
		wg.Go(func() {
			result := c.book(fmt.Sprint(i))
			if at < from || at >= to {
				return
			}
			c.mu.Lock()
			defer c.mu.Unlock()
			f.total++
			switch result {
			case "served":
				f.served++
			case "unknown":
				f.unknown++
			default:
				f.rejected++
			}
		})
	}
	wg.Wait()
	for _, n := range c.runs {
		if n > 1 {
			f.duplicated++
		}
	}
	closeAll(all)
	return f
}

// TestOutageFigures measures how many bookings are served during an outage of the
// store. It guards against bookings that run twice and against tickets that depend on
// the store. The run without keys verifies that this load would cause double bookings.
func TestOutageFigures(t *testing.T) {
	for _, mode := range []string{"store", "ticket", "none"} {
		synctest.Test(t, func(t *testing.T) {
			f := measure(mode)
			t.Logf("%-6s during the outage: %d bookings, %.1f%% served, %.1f%% unknown, %.1f%% rejected; in total: %d of 3000 ran more than once, %.2f store calls per booking",
				mode, f.total, 100*float64(f.served)/float64(f.total), 100*float64(f.unknown)/float64(f.total),
				100*float64(f.rejected)/float64(f.total), f.duplicated, f.calls)
			if (f.duplicated > 0) != (mode == "none") {
				t.Errorf("%s: %d bookings ran more than once", mode, f.duplicated)
			}
			if mode == "ticket" && (f.calls > 0 || f.served*100 < 95*f.total) {
				t.Errorf("tickets: %d of %d served, %.2f store calls per booking", f.served, f.total, f.calls)
			}
		})
	}
}
