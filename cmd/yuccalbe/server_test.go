package main

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/yuccalb/yuccalb/internal/fake/origin"
	"github.com/yuccalb/yuccalb/platform"
)

// Faults of a backend server. faultRefuse prevents a request from running. The others
// occur after it has run, and each of them but faultUnframed breaks off a resumable stream.
const (
	faultNone     = iota
	faultReset    // reset the connection
	faultRefuse   // reject the request as not run
	faultTruncate // send an incomplete response
	faultRepeat   // send the response twice
	faultUnframed // send a response that ends with its connection
	faultCut      // the same, and end it early
	faultPromise  // send a status that callers take for "not run"
	faultEndless  // send a response without an end
	numFaults
)

// serverScript returns the behaviour of a server. It rejects requests for another
// server, checks that requests hold no key, records those that run, and responds
// according to the fault. A request with poisonPart in its prompt, or to deadlyPath, makes it
// crash.
func (s *soak) serverScript(i int) origin.Script {
	return func(x *origin.Exchange) bool {
		fault := s.faults[i].Load()
		lines := s.limits[i].arrive(x.Header.Get(platform.HeaderExpectInstance), x.Arrived)
		s.arrivals.arrive(x)
		if x.Header.Get(platform.HeaderExpectInstance) != s.serverID(i) {
			return x.Misdirect()
		}
		if strings.Contains(x.Header.Get(platform.HeaderPrompt), poisonPart+":") || x.URL.Path == deadlyPath {
			return s.crash(i)
		}
		if strings.Contains(x.Raw, "key-") {
			s.t.Errorf("a key reached a server:\n%s", x.Raw)
		}
		if fault == faultRefuse || !s.overload.run(i) {
			return x.RefuseWith(lines...)
		}
		s.recordRun(x)
		if fault == faultEndless {
			x.SendEndless(origin.EndlessForms[s.endless.Add(1)%int64(len(origin.EndlessForms))], time.Millisecond)
			return false
		}
		if strings.HasPrefix(x.URL.Path, "/ask/") {
			return sendEvents(x, s.serverVersion(i), fault, lines)
		}
		body := wantBody(x.URL.Path, x.ID())
		switch fault {
		case faultReset:
			return x.Reset()
		case faultTruncate:
			x.Send("HTTP/1.1 200 OK\r\n" + strings.Join(append(lines, ""), "\r\n") + platform.HeaderAttemptID + ": " + x.ID() + "\r\n" + platform.HeaderSignature + ": s\r\nContent-Length: 99\r\n\r\n" + body)
			return false
		case faultUnframed, faultCut:
			sendUnframed(x, body, fault, lines)
			return false
		case faultPromise:
			return x.Reply(http.StatusServiceUnavailable, body, lines...)
		case faultRepeat:
			x.Reply(http.StatusOK, body, lines...)
		}
		return x.Reply(http.StatusOK, body, lines...)
	}
}

// sendEvents sends the events of a version after the last one of an earlier attempt. While
// there is a fault, it resets the connection after two events.
func sendEvents(x *origin.Exchange, version string, fault int32, lines []string) bool {
	last, err := strconv.Atoi(x.Header.Get(platform.HeaderLastEventID))
	if err != nil {
		last = 0 // the header is absent in the first attempt
	}
	if fault == faultUnframed || fault == faultCut {
		sendUnframed(x, versionEvents(version, last+1), fault, lines)
		return false
	}
	x.StartStream(lines...)
	for id := last + 1; id <= soakEvents; id++ {
		if fault != faultNone && id == last+3 {
			return x.Reset()
		}
		x.Chunk(versionEvent(version, id))
		time.Sleep(5 * time.Millisecond)
	}
	return x.EndStream()
}

// sendUnframed sends a response with neither a length nor chunks; with faultCut it ends
// early.
func sendUnframed(x *origin.Exchange, body string, fault int32, lines []string) {
	if fault == faultCut {
		body = body[:len(body)*2/3]
	}
	x.StartUnframed("HTTP/1.1", lines...)
	x.Send(body)
	time.Sleep(5 * time.Millisecond) // the end arrives after the body
}

// wantBody returns the body of a complete response, but for streams that may be resumed.
func wantBody(path, id string) string {
	switch {
	case strings.HasPrefix(path, "/chat/"):
		return "data: " + id + "\n\n"
	default:
		return id
	}
}

// repeatable reports whether requests to path may run more than once.
func repeatable(path string) bool {
	return strings.HasPrefix(path, "/safe/") || strings.HasPrefix(path, "/ask/")
}

// recordRun counts a request that runs at a server and checks its method and path and
// that it may run.
func (s *soak) recordRun(x *origin.Exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := x.ID()
	s.runs[id]++
	switch want := s.sent[id]; {
	case want != x.Method+" "+x.URL.Path:
		s.t.Errorf("server runs %s %s as request %s, which was sent as %q", x.Method, x.URL.Path, id, want)
	case s.notRun[id]:
		s.t.Errorf("request %s runs after it was reported as not run", id)
	case s.runs[id] > 1 && !repeatable(x.URL.Path):
		s.t.Errorf("request %s (%s) has run %d times", id, x.URL.Path, s.runs[id])
	}
}
