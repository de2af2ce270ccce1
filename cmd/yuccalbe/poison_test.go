package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/yuccalb/yuccalb/internal/fake/await"
	"github.com/yuccalb/yuccalb/internal/fake/line"
	"github.com/yuccalb/yuccalb/platform"
)

const (
	// poisonPart is the part of prompts that makes servers crash, and deadlyPath the path
	// of a request that does.
	poisonPart = "dead"
	deadlyPath = "/order/deadly"
	// crashTime is how long a server that crashed is down, and contactTime the time
	// after the fifth crash within which all hosts must know the part, and after the
	// third one within which they must know the request. At most lateCrashes may
	// follow.
	crashTime         = 1500 * time.Millisecond
	contactTime       = 5 * time.Second
	partCrashes       = 5
	requestCrashes    = 3
	lateCrashes       = 3
	heartbeatInterval = 300 * time.Millisecond
)

// crash ends server i and starts it again after crashTime. It returns false, as the script
// of a server that closes the connection does.
func (s *soak) crash(i int) bool {
	if s.down[i].Swap(true) {
		return false // another request has ended the process already
	}
	s.mu.Lock()
	s.crashes = append(s.crashes, time.Now())
	s.mu.Unlock()
	s.servers[i].Crash()
	s.crashed.Go(func() {
		time.Sleep(crashTime / 2)
		s.store.RemoveServer(s.serverID(i))
		time.Sleep(crashTime / 2)
		if err := s.servers[i].Recover(); err != nil {
			s.t.Errorf("server %d: %v", i, err)
		}
		s.born[i].Store(time.Now().UnixMilli())
		s.register(i)
		s.down[i].Store(false)
	})
	return false
}

// keepHeartbeat lets the entries of the servers stay listed until the returned function is
// called.
func (s *soak) keepHeartbeat() (end func()) {
	stop := make(chan struct{})
	var beats sync.WaitGroup
	beats.Go(func() { s.heartbeat(stop) })
	return func() {
		close(stop)
		beats.Wait()
	}
}

// heartbeat registers the servers that run, at intervals, until stop is closed: the
// probation of a server that failed ends with its heartbeats.
func (s *soak) heartbeat(stop <-chan struct{}) {
	t := time.NewTicker(heartbeatInterval)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
		}
		for i, down := range s.down {
			if !down.Load() {
				s.register(i)
			}
		}
	}
}

// awaitServers waits until no server is down.
func (s *soak) awaitServers() {
	s.t.Helper()
	await.True(s.t, serveTimeout, "all servers run", func() bool {
		return !slices.ContainsFunc(s.down, (*atomic.Bool).Load)
	})
}

// checkPoison sends requests with poisonPart, and then one request again and again, to all hosts
// and checks that they are refused soon enough, and still after all hosts were killed, while
// others are served.
func (s *soak) checkPoison() {
	s.t.Helper()
	s.checkRefused(partCrashes, func(i int) line.Response { return s.prompt(i, "guide", poisonPart) })
	s.checkRefused(requestCrashes, s.deadly)
}

// checkRefused sends requests that make servers crash to hosts. The argument nth is the number
// of the crash after which the hosts must know them within contactTime.
func (s *soak) checkRefused(nth int, send func(host int) line.Response) {
	s.t.Helper()
	s.mu.Lock()
	s.crashes = nil
	s.mu.Unlock()
	defer s.keepHeartbeat()()
	refused := 0
	await.For(s.t, serveTimeout, "what makes servers crash is refused by all hosts", func() error {
		for i := range s.hosts {
			if a := send(i); !refusedForLong(a) {
				refused = 0
				return fmt.Errorf("host %d: status %d, error %w", i, a.Status, a.Err)
			}
		}
		if refused++; refused < 3 {
			return fmt.Errorf("refused %d times", refused)
		}
		return nil
	})
	s.awaitServers()
	for i := range s.hosts {
		s.restart(i, syscall.SIGKILL)
	}
	s.waitServing()
	for i := range s.hosts {
		if a := send(i); a.Err == nil && a.Status == http.StatusOK {
			s.t.Errorf("host %d: status %d for what makes servers crash", i, a.Status)
		}
		await.For(s.t, serveTimeout, "other requests are served", func() error {
			if a := s.prompt(i, "guide"); a.Status != http.StatusOK {
				return fmt.Errorf("host %d: status %d, error %w", i, a.Status, a.Err)
			}
			return nil
		})
	}
	s.awaitServers()
	s.checkCrashes(nth)
}

// deadly sends host i the request that makes servers crash.
func (s *soak) deadly(i int) line.Response {
	var conn *line.Conn
	defer closeConnection(&conn)
	id := fmt.Sprintf("%s-deadly-%d-%d", s.name, i, time.Now().UnixNano())
	return s.request(&conn, i, line.Post(deadlyPath, "dead"), id, s.currentKey())
}

// refusedForLong reports whether a response is a refusal of longer than servers with a
// limit or on probation cause.
func refusedForLong(a line.Response) bool {
	d, ok := platform.ParseRetryAfter(a.Header)
	return a.Status == http.StatusServiceUnavailable && ok && d > 2*time.Second
}

// checkCrashes checks the number of crashes that follow the nth one.
func (s *soak) checkCrashes(nth int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	late := 0
	for i, at := range s.crashes {
		if i >= nth && at.Sub(s.crashes[nth-1]) > contactTime {
			late++
		}
	}
	if late > lateCrashes {
		s.t.Errorf("%d servers crashed later than %v after crash %d, at most %d may", late, contactTime, nth, lateCrashes)
	}
	s.t.Logf("%d servers crashed, %d of them late", len(s.crashes), late)
}

// prompt sends host i a request whose prompt has the given parts and one of its own.
func (s *soak) prompt(i int, parts ...string) line.Response {
	var conn *line.Conn
	defer closeConnection(&conn)
	text := ""
	for _, part := range parts {
		text += part + ":100,"
	}
	id := fmt.Sprintf("%s-prompt-%d-%d", s.name, i, time.Now().UnixNano())
	call := line.Post("/chat/"+id, "").With(platform.HeaderPrompt, text+id+":10").With(platform.HeaderTokens, "500,10")
	return s.request(&conn, i, call, id, s.currentKey())
}
