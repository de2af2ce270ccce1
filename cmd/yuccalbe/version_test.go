package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/yuccalb/yuccalb/internal/fake/line"
	"github.com/yuccalb/yuccalb/platform"
)

// soakVersions is the number of software versions that servers have by turns.
const soakVersions = 3

// serverVersion returns the software version of server i.
func (s *soak) serverVersion(i int) string {
	return fmt.Sprint("v", s.releases[i].Load()%soakVersions)
}

// release replaces server i by one of another version, which has another identifier.
func (s *soak) release(i int) {
	s.store.RemoveServer(s.serverID(i))
	s.servers[i].Crash()
	s.releases[i].Add(1)
	if err := s.servers[i].Recover(); err != nil {
		s.t.Errorf("server %d: %v", i, err)
	}
	s.born[i].Store(time.Now().UnixMilli())
	s.register(i)
}

// versionEvent returns an event of a stream as a version writes it.
func versionEvent(version string, id int) string {
	return fmt.Sprintf("id: %d\ndata: part %d of %s\n\n", id, id, version)
}

// versionEvents returns the events of a stream from the first one on.
func versionEvents(version string, first int) string {
	var b strings.Builder
	for id := first; id <= soakEvents; id++ {
		b.WriteString(versionEvent(version, id))
	}
	return b.String()
}

// followStream checks the events of a stream. If it broke off after some of them, its caller
// takes it up again at random hosts.
func (s *soak) followStream(id string, a line.Response, rng *rand.Rand) {
	version, last := s.checkEvents(id, "", 0, a)
	for n := 1; n <= 2 && a.Err != nil && last > 0 && last < soakEvents; n++ {
		var conn *line.Conn
		try := fmt.Sprint(id, "-", n)
		call := line.Post("/ask/"+try, "").With(platform.HeaderLastEventID, strconv.Itoa(last)).With(platform.HeaderResumes, id)
		a = s.request(&conn, rng.IntN(len(s.hosts)), call, try, s.currentKey())
		closeConnection(&conn)
		_, last = s.checkEvents(id, version, last, a)
	}
}

// checkEvents checks that the events of a response follow the last one and are of the version of
// those before, if any. It returns the version and the last event.
func (s *soak) checkEvents(id, version string, last int, a line.Response) (string, int) {
	if a.Status != http.StatusOK {
		return version, last
	}
	body := a.Body
	for body != "" && last < soakEvents {
		if version == "" {
			_, rest, _ := strings.Cut(body, " of ")
			version, _, _ = strings.Cut(rest, "\n")
		}
		var ok bool
		if body, ok = strings.CutPrefix(body, versionEvent(version, last+1)); !ok {
			break
		}
		last++
	}
	if body != "" && (a.Err == nil || !strings.HasPrefix(versionEvent(version, last+1), body)) {
		s.t.Errorf("stream %s: after event %d of %s comes %q", id, last, version, body)
	}
	if a.Err == nil && a.Framed && last < soakEvents {
		s.t.Errorf("stream %s ends as complete after event %d", id, last)
	}
	return version, last
}
