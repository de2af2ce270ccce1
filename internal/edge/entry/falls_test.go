package entry

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/fake/line"
	"github.com/yuccalb/yuccalb/internal/fake/origin"
	"github.com/yuccalb/yuccalb/platform"
	"github.com/yuccalb/yuccalb/platform/plattest"
)

const (
	fallSlots   = 6
	fallQueue   = 4 // requests that may wait while the server states nothing
	fallWork    = 60 * time.Millisecond
	fallDown    = 3 * time.Second
	fallServers = 4
	// fallNotice is the time from the first statement on in which nothing falls, and
	// fallPeriod that in which falls and requests are counted.
	fallNotice = 2 * time.Second
	fallPeriod = 5 * time.Second
)

// frail is a server with slots and a short queue. While it states a refusal limit, it falls
// over when it refuses more requests within a second.
type frail struct {
	*origin.Server
	slots chan struct{}

	mu      sync.Mutex
	rng     *rand.Rand
	since   time.Time // of the statement, zero if there is none
	limit   int       // refusals within a second
	queued  int
	queue   int // requests that may wait
	refused []time.Time
	most    int // refusals within a second
	falls   int
	born    int64
	down    bool
	errs    []error
}

// state makes the server state a refusal limit from now on, or none if it is negative.
func (f *frail) state(limit int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.since = time.Time{}
	if limit >= 0 {
		f.since = time.Now()
	}
	f.limit = limit
	f.queue = fallQueue
	f.most = 0
	f.falls = 0
}

// lines returns the header lines of all responses.
func (f *frail) lines() []string {
	if f.since.IsZero() {
		return nil
	}
	return []string{platform.HeaderBrittle + ": " + strconv.Itoa(f.limit)}
}

// enter takes a place in the queue, and returns whether there was one and the header lines.
func (f *frail) enter() (bool, []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	late := !f.since.IsZero() && now.Sub(f.since) > fallNotice
	if late && f.rng.IntN(20) == 0 {
		f.queue = f.rng.IntN(fallQueue + 1)
	}
	if f.queued < fallSlots+f.queue {
		f.queued++
		return true, f.lines()
	}
	for len(f.refused) > 0 && now.Sub(f.refused[0]) > time.Second {
		f.refused = f.refused[1:]
	}
	f.refused = append(f.refused, now)
	if late {
		f.most = max(f.most, len(f.refused))
	}
	if late && !f.down && len(f.refused) > f.limit {
		f.fall()
	}
	return false, f.lines()
}

// fall ends the connections for fallDown.
func (f *frail) fall() {
	f.falls++
	f.down = true
	f.refused = nil
	f.Crash()
	time.AfterFunc(fallDown, func() {
		err := f.Recover()
		f.mu.Lock()
		defer f.mu.Unlock()
		f.down = false
		f.born++
		if err != nil {
			f.errs = append(f.errs, err)
		}
	})
}

// serve is the script of the server.
func (f *frail) serve(x *origin.Exchange) bool {
	room, lines := f.enter()
	if !room {
		return x.RefuseWith(lines...)
	}
	f.slots <- struct{}{}
	time.Sleep(fallWork)
	<-f.slots
	f.mu.Lock()
	f.queued--
	f.mu.Unlock()
	return x.Reply(http.StatusOK, "served", lines...)
}

// putFrail writes the entry of the server with a number.
func (cl *cluster) putFrail(i int, f *frail, born, seq int64) {
	cl.store.PutEntry(plattest.Server{ID: fmt.Sprint("s", i), Service: "desk", Site: "a1", Addr: f.Addr(), State: "ready", Slots: fallSlots, Born: born, Seq: seq})
}

// frailServers starts servers in region a and keeps their entries current.
func (cl *cluster) frailServers() []*frail {
	cl.t.Helper()
	var list []*frail
	for i := range fallServers {
		f := &frail{slots: make(chan struct{}, fallSlots), rng: rand.New(rand.NewPCG(1, uint64(i))), queue: fallQueue, born: 1}
		f.Server = origin.New(cl.t, f.serve)
		cl.putFrail(i, f, 1, 1)
		cl.waitListed(fmt.Sprint("s", i), "a1")
		list = append(list, f)
	}
	stop := make(chan struct{})
	var beats sync.WaitGroup
	beats.Go(func() {
		for seq := int64(2); ; seq++ {
			for i, f := range list {
				f.mu.Lock()
				born, down := f.born, f.down
				f.mu.Unlock()
				if !down {
					cl.putFrail(i, f, born, seq)
				}
			}
			select {
			case <-stop:
				return
			case <-time.After(time.Second):
			}
		}
	})
	cl.t.Cleanup(beats.Wait)
	cl.t.Cleanup(func() { close(stop) })
	return list
}

// counts are those of requests by the status of their responses, 0 for none.
type counts struct {
	sent, served, refused atomic.Int64
}

// uneven returns the hosts for press so that 5/8 of the requests come to the first of four.
func uneven(hosts []*Entry) []*Entry {
	first := hosts[0]
	return []*Entry{first, hosts[1], first, hosts[2], first, hosts[3], first, first}
}

// press sends rate requests a second from callers that do not retry, spread evenly over the
// given hosts, and counts those from fallNotice on.
func (cl *cluster) press(rate float64, callers int, hosts []*Entry) *counts {
	var c counts
	begin := time.Now()
	var done sync.WaitGroup
	for i := range callers {
		e := hosts[i%len(hosts)]
		rng := rand.New(rand.NewPCG(2, uint64(i)))
		done.Go(func() {
			var conn *line.Conn
			mean := float64(callers) / rate * float64(time.Second)
			for next := begin.Add(time.Duration(rng.ExpFloat64() * mean)); next.Before(begin.Add(fallNotice + fallPeriod)); next = next.Add(time.Duration(rng.ExpFloat64() * mean)) {
				time.Sleep(time.Until(next))
				counted := next.After(begin.Add(fallNotice))
				if conn == nil {
					var err error
					if conn, err = line.Dial(e.settings.Front); err != nil {
						cl.t.Error(err)
						return
					}
				}
				a := conn.Do(get("/order/x").With(platform.HeaderDeadline, "2000"), nextID())
				if a.Err != nil || a.Close {
					_ = conn.Close() // nothing more is read from it
					conn = nil
				}
				if counted {
					c.count(a)
				}
			}
			if conn != nil {
				_ = conn.Close() // the last response has been read
			}
		})
	}
	done.Wait()
	return &c
}

func (c *counts) count(a line.Response) {
	c.sent.Add(1)
	switch a.Status {
	case http.StatusOK:
		c.served.Add(1)
	case http.StatusServiceUnavailable:
		c.refused.Add(1)
	}
}

// TestRefusalLimitUnderLoad guards against servers that fall over because the hosts
// together make them refuse more requests than they can bear.
func TestRefusalLimitUnderLoad(t *testing.T) {
	cl := newCluster(t)
	for range 4 {
		cl.host("a1")
	}
	servers := cl.frailServers()
	capacity := fallServers * fallSlots / fallWork.Seconds()
	for _, tt := range []struct {
		load   float64
		limit  int // -1 if none is stated
		skewed bool
		want   float64 // served, as a part of the lesser of the load and the capacity
	}{{0.8, -1, false, 0.9}, {0.8, 20, false, 0.95}, {0.8, 20, true, 0.95}, {0.8, 3, true, 0.9}, {1.6, 20, false, 0.8}, {3, 20, false, 0.8}} {
		for _, f := range servers {
			f.state(tt.limit)
		}
		hosts := cl.hosts
		if tt.skewed {
			hosts = uneven(hosts)
		}
		c := cl.press(tt.load*capacity, 200, hosts)
		falls, most := 0, 0
		for _, f := range servers {
			f.mu.Lock()
			falls += f.falls
			most = max(most, f.most)
			for _, err := range f.errs {
				t.Error(err)
			}
			f.mu.Unlock()
			f.state(-1)
		}
		t.Logf("load %v, limit %d, skewed %v: %d of %d served, %d refused, %d falls, %d refusals by a server within a second", tt.load, tt.limit, tt.skewed, c.served.Load(), c.sent.Load(), c.refused.Load(), falls, most)
		if allowed := 2 + fallServers/10; falls > allowed {
			t.Errorf("load %v, limit %d, skewed %v: %d falls, want at most %d", tt.load, tt.limit, tt.skewed, falls, allowed)
		}
		able := min(float64(c.sent.Load()), capacity*fallPeriod.Seconds())
		if got := float64(c.served.Load()) / able; got < tt.want {
			t.Errorf("load %v, limit %d, skewed %v: served %.2f of what the servers can do, want %.2f", tt.load, tt.limit, tt.skewed, got, tt.want)
		}
		time.Sleep(min(time.Duration(falls), 1) * fallDown) // until all servers are back
	}
}
