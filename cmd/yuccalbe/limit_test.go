package main

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/yuccalb/yuccalb/internal/fake/await"
	"github.com/yuccalb/yuccalb/internal/fake/limits"
	"github.com/yuccalb/yuccalb/platform"
)

const (
	// soakLimit is the limit, in requests per second, that servers name in the
	// check of limits. It must hold from settleTime after the last fault on, when
	// all hosts have started again.
	soakLimit  = 2.5
	settleTime = 8 * time.Second
	// usedRequests is the number of requests that a server gets within serveTimeout
	// once it names no limit.
	usedRequests = 50
	// soakRefusals is the refusal limit that servers state which refuse all requests. It
	// must hold from knownTime after its begin on, for refusalTime.
	soakRefusals = 4
	knownTime    = time.Second
	refusalTime  = 2 * time.Second
)

// faultyLimits are those that servers name during the faults, "" for none.
var faultyLimits = []string{"", "0", "1.5", "20", "many"}

// faultyRefusals are the refusal limits that servers state beside them.
var faultyRefusals = []string{"3", "", "0", "20", "few"}

// limit is the limit that a server names, and its refusal limit. It is safe for concurrent use.
type limit struct {
	mu              sync.Mutex
	value, refusals string
	// arrivals are the times of all requests to the server, and byProcess those to each
	// of its processes: another one, with another identifier, may replace it.
	arrivals  []time.Time
	byProcess map[string][]time.Time
}

// name makes the server name a limit, or none if value is empty.
func (l *limit) name(value string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.value = value
}

// state makes the server state a refusal limit, or none if value is empty.
func (l *limit) state(value string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refusals = value
}

// arrive records a request to a process, and returns the header lines that name the limits.
func (l *limit) arrive(process string, at time.Time) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, at)
	if l.byProcess == nil {
		l.byProcess = make(map[string][]time.Time)
	}
	l.byProcess[process] = append(l.byProcess[process], at)
	var lines []string
	if l.value != "" {
		lines = append(lines, platform.HeaderServerLimit+": "+l.value)
	}
	if l.refusals != "" {
		lines = append(lines, platform.HeaderBrittle+": "+l.refusals)
	}
	return lines
}

// mostWithin returns the largest number of requests to one process since a time within a
// span.
func (l *limit) mostWithin(span time.Duration, since time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	most := 0
	for _, arrivals := range l.byProcess {
		for i, at := range arrivals {
			if at.Before(since) {
				continue
			}
			j, _ := slices.BinarySearchFunc(arrivals, at.Add(span), time.Time.Compare)
			most = max(most, j-i)
		}
	}
	return most
}

// since returns the number of requests since a time.
func (l *limit) since(at time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	i, _ := slices.BinarySearchFunc(l.arrivals, at, time.Time.Compare)
	return len(l.arrivals) - i
}

// checkLimits lets a server of each region name a limit after the faults, and checks
// that it gets no more requests than that allows, and that it is used again when it
// names none any more. The other servers name no limit, and refuse all requests once it
// has ended: they could serve the few callers alone.
func (s *soak) checkLimits() {
	s.t.Helper()
	for i, l := range s.limits {
		l.name("")
		l.state("")
		if i < len(soakSites) {
			l.name(fmt.Sprint(soakLimit))
		}
	}
	time.Sleep(settleTime)
	begin := time.Now()
	time.Sleep(limits.Window)
	for i, l := range s.limits[:len(soakSites)] {
		if got, want := l.since(begin), limits.Allowed(soakLimit); got > want {
			s.t.Errorf("server %d got %d requests within %v, want at most %d under a limit of %v a second", i, got, limits.Window, want, soakLimit)
		}
		l.name("")
	}
	for _, f := range s.faults[len(soakSites):] {
		f.Store(faultRefuse)
		defer f.Store(faultNone)
	}
	s.checkRefusals()
	ended := time.Now()
	for i, l := range s.limits[:len(soakSites)] {
		await.For(s.t, serveTimeout, fmt.Sprintf("server %d is used without a limit", i), func() error {
			s.register(i) // heartbeats end its probation
			if got := l.since(ended); got < usedRequests {
				return fmt.Errorf("%d requests, want %d", got, usedRequests)
			}
			return nil
		})
	}
}

// checkRefusals lets the servers that refuse all requests state a refusal limit, and checks
// that they refuse no more than it allows.
func (s *soak) checkRefusals() {
	s.t.Helper()
	for _, l := range s.limits[len(soakSites):] {
		l.state(fmt.Sprint(soakRefusals))
		defer l.state("")
	}
	time.Sleep(knownTime)
	begin := time.Now()
	time.Sleep(refusalTime)
	for i, l := range s.limits[len(soakSites):] {
		if got := l.mostWithin(time.Second, begin); got > soakRefusals {
			s.t.Errorf("server %d refused %d requests within a second, want at most %d", len(soakSites)+i, got, soakRefusals)
		}
	}
}
