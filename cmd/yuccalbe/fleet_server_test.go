package main

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yuccalb/yuccalb/internal/fake/origin"
	"github.com/yuccalb/yuccalb/internal/fake/proxy"
	"github.com/yuccalb/yuccalb/platform"
	"github.com/yuccalb/yuccalb/platform/plattest"
)

// Faults of a server of the fleet. All but the refusal come after the request has run, at least
// in part.
const (
	fleetSound    = iota
	fleetReset    // resets connections within responses
	fleetWithin   // the same, within an event
	fleetRefuse   // rejects requests as not run
	fleetErrors   // responds with an error
	fleetLost     // runs requests and closes their connections
	fleetLate     // responds late
	fleetSilent   // says nothing for a while, within responses too
	fleetUnframed // sends responses that end with their connection
	fleetTwice    // sends responses twice
	fleetEcho     // sends responses once more a little later
	fleetEarly    // before it has read a request, sends a part of a response without a length, then resets
	fleetHeader   // ends connections within the header of responses
	fleetStatus   // sends a status that is none
	numFleetFaults
)

const (
	// firstEvent is the time to the first event of a stream, and eventGap that between
	// two.
	firstEvent = 70 * time.Millisecond
	eventGap   = 25 * time.Millisecond
	stockWork  = 30 * time.Millisecond
	// silence is how long a silent server says nothing, lateness how much later a late one
	// responds.
	silence  = 1200 * time.Millisecond
	lateness = 1800 * time.Millisecond
	// echoDelay is how long after a response it is sent once more.
	echoDelay = 8 * time.Millisecond
	// stockErrors is one of how many requests to the stock service fail at its server.
	stockErrors = 7
)

// fleetServer is a server whose processes follow each other at one address.
type fleetServer struct {
	number        int
	service, site string
	slots, queue  int
	room          chan struct{} // holds a value for each request that runs
	waiting       atomic.Int32
	fault         atomic.Int32
	heldUntil     atomic.Int64 // the end of disturbances of the link and linkMemory, in Unix ns
	origin        *origin.Server
	proxy         *proxy.Proxy // between all hosts and the server

	mu       sync.Mutex
	starts   int // of processes under new identifiers
	version  int
	born     int64
	up       bool
	listed   bool // its entry is renewed
	draining bool
}

// id returns the identifier of the running process. The caller holds sv.mu.
func (sv *fleetServer) id(f *fleet) string {
	return fmt.Sprintf("s%d.%d-%s", sv.number, sv.starts, f.name)
}

// register writes the entry of a server if it runs and reaches the store.
func (f *fleet) register(sv *fleetServer) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if !sv.up || !sv.listed {
		return
	}
	state := "ready"
	if sv.draining {
		state = "draining"
	}
	f.store.PutEntry(plattest.Server{
		ID: sv.id(f), Service: sv.service, Site: sv.site, Addr: sv.proxy.Addr(), State: state, Slots: sv.slots,
		Version: fmt.Sprint("v", sv.version), Born: sv.born, Seq: f.beats.Add(1),
	})
}

// beat renews the entries of all servers until the run ends.
func (f *fleet) beat() {
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for {
		select {
		case <-f.ended:
			return
		case <-t.C:
		}
		for _, sv := range f.servers {
			f.register(sv)
		}
	}
}

// crash ends the process of a server. Another one starts after down, under the same identifier
// or another one, and at a version that is next by newer. The entry expires if that takes
// longer.
func (f *fleet) crash(sv *fleetServer, down time.Duration, sameID bool, newer int) {
	sv.mu.Lock()
	if !sv.up {
		sv.mu.Unlock()
		return
	}
	sv.up = false
	id := sv.id(f)
	sv.mu.Unlock()
	sv.origin.Crash()
	if down > expireTime || !sameID {
		f.after(min(down, expireTime), func() { f.store.RemoveServer(id) })
	}
	f.after(down, func() { f.startServer(sv, sameID, newer) })
}

// startServer starts the next process of a server.
func (f *fleet) startServer(sv *fleetServer, sameID bool, newer int) {
	sv.mu.Lock()
	if !sameID {
		sv.starts++
	}
	sv.version += newer
	sv.born = time.Now().UnixMilli()
	sv.draining = false
	sv.listed = true
	sv.mu.Unlock()
	sv.fault.Store(fleetSound)
	if err := sv.origin.Recover(); err != nil {
		f.t.Errorf("server %d: %v", sv.number, err)
	}
	sv.mu.Lock()
	sv.up = true // another crash may follow from now on
	sv.mu.Unlock()
	f.register(sv)
}

// drain announces that a server leaves, or removes its entry, and replaces it after linger.
func (f *fleet) drain(sv *fleetServer, announced bool, linger time.Duration, newer int) {
	sv.mu.Lock()
	if !sv.up || sv.draining {
		sv.mu.Unlock()
		return
	}
	sv.draining = true
	sv.listed = announced
	id := sv.id(f)
	sv.mu.Unlock()
	if announced {
		f.register(sv)
	} else {
		f.store.RemoveServer(id)
	}
	f.after(linger, func() {
		sv.mu.Lock()
		sv.listed = false
		sv.mu.Unlock()
		f.store.RemoveServer(id)
		f.crash(sv, time.Duration(200+sv.number*50)*time.Millisecond, false, newer)
	})
}

// script returns the behaviour of a server.
func (f *fleet) script(sv *fleetServer) origin.Script {
	return func(x *origin.Exchange) bool {
		if x.URL.Path == plattest.HealthPath {
			return x.Reply(http.StatusOK, "")
		}
		sv.mu.Lock()
		id, version, born := sv.id(f), fmt.Sprint("v", sv.version), sv.born
		sv.mu.Unlock()
		if x.URL.Path == platform.ReportPath {
			return x.Reply(http.StatusOK, fmt.Sprintf(`{"born":%d}`, born))
		}
		fault := sv.fault.Load()
		f.checks.arrive(sv, id, x)
		if fault == fleetEarly && x.Header.Get(platform.HeaderExpectInstance) == id {
			r := f.checks.run(sv, id, version, x)
			sendEarly(r, x)
			f.checks.ran(r, false, sv.ended(born))
			return x.Reset()
		}
		if x.ReadBody() != nil {
			return false
		}
		if x.Header.Get(platform.HeaderExpectInstance) != id {
			return x.Misdirect()
		}
		if fault == fleetRefuse || !sv.enter(x) {
			return x.Refuse()
		}
		defer func() { <-sv.room }()
		r := f.checks.run(sv, id, version, x)
		whole := f.answer(sv, r, fault, x)
		f.checks.ran(r, whole, sv.ended(born))
		if whole && fault == fleetEcho {
			return sleep(x, echoDelay) && x.Reply(http.StatusOK, x.ID())
		}
		return whole && fault != fleetUnframed && fault != fleetLost
	}
}

// ended reports whether the process that started at born has ended.
func (sv *fleetServer) ended(born int64) bool {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return !sv.up || sv.born != born
}

// sendEarly sends a part of a response that ends with its connection.
func sendEarly(r *fleetRun, x *origin.Exchange) {
	if !isStream(x.URL.Path) {
		x.StartUnframed("HTTP/1.1")
		x.Send(x.ID()[:len(x.ID())/2])
		return
	}
	x.StartUnframed("HTTP/1.1", "Content-Type: text/event-stream")
	total := eventsOf(x.URL.Path)
	for id := r.after + 1; id < min(r.after+3, total); id++ {
		x.Send(r.event(id, total))
	}
}

// sendHeader sends a part of the header of a response.
func sendHeader(n uint64, x *origin.Exchange) {
	text := "HTTP/1.1 200 OK\r\n" + platform.HeaderAttemptID + ": " + x.ID() + "\r\n" + platform.HeaderSignature + ": s\r\nContent-Length: 10\r\n\r\n"
	x.Send(text[:n%uint64(len(text))])
	if n%3 == 0 {
		x.Reset()
	}
}

// enter waits for a slot. It returns false if too many requests wait, or the caller leaves.
func (sv *fleetServer) enter(x *origin.Exchange) bool {
	select {
	case sv.room <- struct{}{}:
		return true
	default:
	}
	if int(sv.waiting.Add(1)) > sv.queue {
		sv.waiting.Add(-1)
		return false
	}
	defer sv.waiting.Add(-1)
	t := time.NewTimer(time.Second)
	defer t.Stop()
	select {
	case sv.room <- struct{}{}:
		return true
	case <-x.Closed:
	case <-t.C:
	}
	return false
}

// sleep waits for d, and returns false if the gateway closes the connection before.
func sleep(x *origin.Exchange, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-x.Closed:
		return false
	}
}

// answer sends the response of a run, and reports whether it is whole.
func (f *fleet) answer(sv *fleetServer, r *fleetRun, fault int32, x *origin.Exchange) bool {
	n := hashOf(x.ID())
	switch {
	case fault == fleetLate && !sleep(x, lateness):
		return false
	case fault == fleetHeader && n%2 == 0:
		sendHeader(n/2, x)
		return false
	case fault == fleetStatus && n%2 == 0:
		x.Send("HTTP/1.1 000 X\r\n" + platform.HeaderAttemptID + ": " + x.ID() + "\r\n" + platform.HeaderSignature + ": s\r\nContent-Length: 1\r\n\r\n1")
		return false
	}
	if isStream(x.URL.Path) {
		return sendStream(sv, r, fault, n, x)
	}
	if !sleep(x, stockWork/2+time.Duration(n%uint64(stockWork))) {
		return false
	}
	switch {
	case fault == fleetErrors || strings.HasPrefix(x.URL.Path, "/stock/") && n%stockErrors == 0:
		return x.Reply(http.StatusInternalServerError, "failed")
	case fault == fleetLost || fault == fleetReset && n%2 == 0:
		x.Reset()
		return false
	case fault == fleetWithin:
		x.Send("HTTP/1.1 200 OK\r\n" + platform.HeaderAttemptID + ": " + x.ID() + "\r\n" + platform.HeaderSignature + ": s\r\nContent-Length: 99\r\n\r\n" + x.ID())
		x.Reset()
		return false
	case fault == fleetUnframed:
		x.StartUnframed("HTTP/1.1")
		return x.Send(x.ID())
	case fault == fleetTwice:
		x.Reply(http.StatusOK, x.ID())
	}
	return x.Reply(http.StatusOK, x.ID())
}

// sendStream sends the events after the last one that the request names.
func sendStream(sv *fleetServer, r *fleetRun, fault int32, n uint64, x *origin.Exchange) bool {
	last, total := r.after, eventsOf(x.URL.Path)
	breakAt := total + 1
	if fault == fleetReset || fault == fleetWithin || fault == fleetLost {
		breakAt = last + 1 + int(n%uint64(total))
	}
	load := time.Duration(len(sv.room)) * time.Millisecond / 8
	if !sleep(x, firstEvent+4*load) {
		return false
	}
	if fault == fleetErrors {
		return x.Reply(http.StatusInternalServerError, "failed")
	}
	unframed := fault == fleetUnframed
	if unframed {
		x.StartUnframed("HTTP/1.1", "Content-Type: text/event-stream")
	} else {
		x.StartStream()
	}
	for id := last + 1; id <= total; id++ {
		text := r.event(id, total)
		switch {
		case id == breakAt && fault == fleetWithin:
			x.Chunk(text[:len(text)/2])
			fallthrough
		case id == breakAt:
			x.Reset()
			return false
		case fault == fleetSilent && id == total/2 && !sleep(x, silence):
			return false
		}
		ok := false
		if unframed {
			ok = x.Send(text)
		} else {
			ok = x.Chunk(text)
		}
		if !ok || !sleep(x, eventGap+load) {
			if unframed {
				x.Reset()
			}
			return false
		}
	}
	return unframed || x.EndStream()
}

// hashOf returns a hash of a text.
func hashOf(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text)) // it returns no errors
	return h.Sum64()
}

// isStream reports whether the responses to a path are streams.
func isStream(path string) bool {
	return strings.HasPrefix(path, "/ask/") || strings.HasPrefix(path, "/quote/")
}

// eventsOf returns the number of events of the stream at a path.
func eventsOf(path string) int {
	if strings.HasPrefix(path, "/quote/") {
		return 20 + int(hashOf(path)%20)
	}
	return 3 + int(hashOf(path)%16)
}

// lastEvent returns the last event that a request names, 0 if it names none.
func lastEvent(h http.Header) int {
	n, err := strconv.Atoi(h.Get(platform.HeaderLastEventID))
	if err != nil {
		return 0
	}
	return n
}
