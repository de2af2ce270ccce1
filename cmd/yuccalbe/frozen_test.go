package main

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/fake/line"
	"github.com/yuccalb/yuccalb/internal/fake/proc"
	"github.com/yuccalb/yuccalb/platform"
)

// TestTakeUpAtFrozenHost guards against streams that go on at another version at a host that stood
// still during a release, whether their callers name the attempt that began them or not.
func TestTakeUpAtFrozenHost(t *testing.T) {
	bin, err := proc.Build(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	s := newSoak(t, bin, 1)
	s.waitServing()
	for round := range 3 {
		s.takeUpFrozen(round)
	}
}

// takeUpFrozen freezes host 0, replaces the servers 0 and 1, takes streams up at the host while it
// stands still, and lets it go on.
func (s *soak) takeUpFrozen(round int) {
	_ = s.hosts[0].Signal(syscall.SIGSTOP) // fails if the process has exited, here and below
	s.release(0)
	s.release(1)
	began := s.beginBroken(round, 8)
	answers := make(chan func(), 2*len(began))
	for id, version := range began {
		for _, name := range []string{id, ""} {
			go func() {
				var conn *line.Conn
				try := fmt.Sprint(id, "-", len(name))
				call := line.Post("/ask/"+try, "").With(platform.HeaderLastEventID, "2").With(platform.HeaderResumes, name)
				a := s.request(&conn, 0, call, try, s.currentKey())
				closeConnection(&conn)
				answers <- func() { s.checkEvents(try, version, 2, a) }
			}()
		}
	}
	time.Sleep(200 * time.Millisecond) // the take-ups are in the host's sockets
	_ = s.hosts[0].Signal(syscall.SIGCONT)
	for range 2 * len(began) {
		(<-answers)()
	}
}

// beginBroken begins streams at host 1 until n of them began at the version of server 1. It returns
// these.
func (s *soak) beginBroken(round, n int) map[string]string {
	began := make(map[string]string)
	for end := time.Now().Add(serveTimeout); len(began) < n && time.Now().Before(end); {
		id := fmt.Sprintf("%s-f%d-%d", s.name, round, time.Now().UnixNano())
		var conn *line.Conn
		a := s.request(&conn, 1, line.Post("/ask/"+id, ""), id, s.currentKey())
		closeConnection(&conn)
		_, rest, ok := strings.Cut(a.Body, " of ")
		version, _, _ := strings.Cut(rest, "\n")
		if a.Status == http.StatusOK && ok && version == s.serverVersion(1) {
			began[id] = version
		}
	}
	return began
}
