package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yuccalb/yuccalb/internal/fake/line"
	"github.com/yuccalb/yuccalb/platform"
)

const (
	// overloadSlots is the number of requests that a server runs at once during the
	// overload, overloadWork how long each of them takes, and overloadRefusals the refusal
	// limit that servers state.
	overloadSlots    = 2
	overloadWork     = 40 * time.Millisecond
	overloadRefusals = 20
	// overloadNotice is the time until all hosts know slots and limits, and overloadTime how
	// long requests are counted then.
	overloadNotice = 3 * time.Second
	overloadTime   = 4 * time.Second
	// overloadCallers is the number of callers of each kind at each host.
	overloadCallers = 8
)

// overload is the state of the servers during an overload. It is safe for concurrent use.
type overload struct {
	on      atomic.Bool
	running []atomic.Int64 // requests by server
}

// run takes a slot of a server for overloadWork. Without an overload it returns at once. It
// returns false if all slots are taken.
func (o *overload) run(i int) bool {
	if !o.on.Load() {
		return true
	}
	defer o.running[i].Add(-1)
	if o.running[i].Add(1) > overloadSlots {
		return false
	}
	time.Sleep(overloadWork)
	return true
}

// slots returns the slots that the entries of servers state, 0 for none.
func (o *overload) slots() int {
	if o.on.Load() {
		return overloadSlots
	}
	return 0
}

// kindCounts are those of the first attempts of one kind of caller.
type kindCounts struct{ sent, served atomic.Int64 }

// share returns the part of the requests that were served.
func (c *kindCounts) share() float64 {
	return float64(c.served.Load()) / float64(max(c.sent.Load(), 1))
}

// checkUrgency sends more requests than the servers can run, of two routes of one service that
// differ in their priority only, and checks that the more urgent ones are not served less
// often than the others.
func (s *soak) checkUrgency() {
	s.t.Helper()
	defer s.keepHeartbeat()()
	s.overload.on.Store(true)
	defer s.overload.on.Store(false)
	for i, l := range s.limits {
		l.state(strconv.Itoa(overloadRefusals))
		defer l.state("")
		s.register(i)
	}
	time.Sleep(overloadNotice)
	var urgent, later kindCounts
	var callers sync.WaitGroup
	end := time.Now().Add(overloadTime)
	for h := range s.hosts {
		for i := range overloadCallers {
			callers.Go(func() { s.callUntil(end, h, fmt.Sprint("urgent-", i), "/urgent/", &urgent) })
			callers.Go(func() { s.callUntil(end, h, fmt.Sprint("later-", i), "/later/", &later) })
		}
	}
	callers.Wait()
	s.t.Logf("overload: %d of %d more urgent requests served, %d of %d others", urgent.served.Load(), urgent.sent.Load(), later.served.Load(), later.sent.Load())
	if got, other := urgent.share(), later.share(); got < other {
		s.t.Errorf("under overload %.3f of the more urgent requests are served, but %.3f of the others", got, other)
	}
}

// callUntil sends requests of a caller to a host until a time, and counts them.
func (s *soak) callUntil(end time.Time, host int, caller, path string, c *kindCounts) {
	var conn *line.Conn
	for n := 0; time.Now().Before(end); n++ {
		id := fmt.Sprintf("%s-%s-%d-%d", s.name, caller, host, n)
		key, start := s.currentKey(), time.Now()
		r := s.request(&conn, host, line.Post(path+id, ""), id, key)
		s.check(id, path+id, key, start, r)
		c.sent.Add(1)
		if r.Err == nil && r.Status == http.StatusOK && r.Header.Get(platform.HeaderSignature) != "" {
			c.served.Add(1)
		}
		time.Sleep(*soakPause)
	}
	closeConnection(&conn)
}
