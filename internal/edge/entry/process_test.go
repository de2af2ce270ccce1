package entry

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/fake/origin"
	"github.com/yuccalb/yuccalb/internal/fake/proxy"
	"github.com/yuccalb/yuccalb/platform"
	"github.com/yuccalb/yuccalb/platform/plattest"
)

// reports returns the script of a server that states when its process started, or nothing if that is 0.
func reports(born *atomic.Int64, script origin.Script) origin.Script {
	return func(x *origin.Exchange) bool {
		switch {
		case x.RequestURI != platform.ReportPath:
			return script(x)
		case born.Load() == 0:
			return x.Reply(http.StatusNotFound, "")
		}
		return x.Reply(http.StatusOK, fmt.Sprintf(`{"stage":"x","born":%d,"seq":3}`, born.Load()))
	}
}

// outage is a host that can't reach the store, with one server at version v1 on its list.
type outage struct {
	*cluster
	e      *Entry
	p      *proxy.Proxy
	server *origin.Server
	entry  plattest.Server
}

// newOutage starts a host and a server, and cuts the host off from the store until its list of servers is
// older than 3 s. It calls before when the list is still read.
func newOutage(t *testing.T, script origin.Script, before func(*outage)) *outage {
	t.Helper()
	o := &outage{cluster: newCluster(t)}
	o.e, o.p = o.hostBehind("a1")
	o.server = origin.New(t, script)
	o.entry = plattest.Server{ID: "s1-a1", Service: "desk", Site: "a1", Addr: o.server.Addr(), State: "ready", Version: "v1", Born: 1, Seq: 1}
	o.store.PutEntry(o.entry)
	o.waitServers([]string{"s1-a1"}, true)
	o.eventually("base version", func() bool { _, known := o.e.fleet.Bases().Base("desk", 0); return known })
	before(o)
	o.p.Set(held)
	o.eventually("old list", func() bool { return o.e.fleet.ListAge() > 3*time.Second })
	return o
}

// TestBeginByOldList guards against streams that begin without a record at a server that has started
// again at another version, by a list which the host could not read again for seconds.
func TestBeginByOldList(t *testing.T) {
	for name, stated := range map[string]int64{"states its start": 2, "has no report": 0, "sends no report": -1} {
		t.Run(name, func(t *testing.T) {
			var back atomic.Bool
			var born atomic.Int64
			born.Store(stated)
			first, second := versioned("v1"), versioned("v2")
			script := func(x *origin.Exchange) bool {
				if back.Load() {
					return second(x)
				}
				return first(x)
			}
			if stated >= 0 {
				script = reports(&born, script)
			}
			o := newOutage(t, script, func(o *outage) {
				back.Store(true)
				o.entry.Version, o.entry.Born = "v2", 2
			})
			resp := o.do(o.e, post("/resume/x", "1"))
			if resp.Status != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
				t.Errorf("status %d, header %v", resp.Status, resp.Header)
			}
			began := ofVersion(o.beginTogether(o.e, 4), "v2")
			o.store.PutEntry(o.entry)
			base := origin.New(t, versioned("v1"))
			o.store.PutEntry(plattest.Server{ID: "s2-a1", Service: "desk", Site: "a1", Addr: base.Addr(), State: "ready", Version: "v1", Born: 1, Seq: 1})
			o.p.Set(proxy.Fault{})
			o.waitServers([]string{"s1-a1", "s2-a1"}, true)
			o.eventually("new list", func() bool { return o.e.fleet.ListAge() < time.Second })
			for _, a := range began {
				if resp := o.do(o.e, a.resume()); resp.Status == http.StatusOK && strings.Contains(resp.Body, "v1") {
					t.Errorf("began at v2, goes on: %q", resp.Body)
				}
			}
			o.begin(3)
		})
	}
}

// asked returns the number of times that a server was asked for its report.
func asked(s *origin.Server) int {
	n := 0
	for _, x := range s.Seen() {
		if x.RequestURI == platform.ReportPath {
			n++
		}
	}
	return n
}

// TestStreamsDuringOutage guards against streams that are refused, or broken off, for the whole of an
// outage of the store although the servers are those of the list.
func TestStreamsDuringOutage(t *testing.T) {
	var born atomic.Int64
	born.Store(1)
	o := newOutage(t, reports(&born, versioned("v1")), func(*outage) {})
	list := o.begin(12)
	for range 6 {
		resp := o.do(o.e, post("/ask/x", "1"))
		if _, last := parseEvents(resp.Body); last != versionEvents && last != brokenAfter {
			t.Errorf("status %d, error %v, body %q", resp.Status, resp.Err, resp.Body)
		}
	}
	if n, opened := asked(o.server), int(o.e.relay.Opened()); n == 0 || n > opened {
		t.Errorf("the server was asked %d times on %d connections", n, opened)
	}
	o.p.Set(proxy.Fault{})
	o.eventually("new list", func() bool { return o.e.fleet.ListAge() < time.Second })
	if r := o.resumeAll(list); r.complete < len(list) {
		t.Errorf("of %d streams: %+v", len(list), r)
	}
}

// TestOpenConnectionDuringOutage guards against streams that are refused during an outage of the store
// on a connection that was open before, and so leads to the process of the list.
func TestOpenConnectionDuringOutage(t *testing.T) {
	var born atomic.Int64
	o := newOutage(t, reports(&born, versioned("v1")), func(o *outage) {
		o.warmUp(o.e)
		time.Sleep(2500 * time.Millisecond) // the connection is older than the list may be late
	})
	for range 5 {
		resp := o.do(o.e, post("/ask/warm", "1"))
		if versions, last := parseEvents(resp.Body); last != versionEvents || !versions["v1"] {
			t.Errorf("status %d, error %v, body %q", resp.Status, resp.Err, resp.Body)
		}
	}
	if n := asked(o.server); n > 0 {
		t.Errorf("the server was asked %d times", n)
	}
}

// TestResumeAtOtherProcess guards against a stream that breaks during an outage of the store and goes on,
// within the same response, at a server that has started again at another version.
func TestResumeAtOtherProcess(t *testing.T) {
	var back atomic.Bool
	var born atomic.Int64
	born.Store(1)
	next := versioned("v2")
	script := reports(&born, func(x *origin.Exchange) bool {
		if back.Load() {
			return next(x)
		}
		x.StartStream()
		x.Chunk(versionEvent("v1", 1))
		if isWarmUp(x) {
			return x.EndStream()
		}
		time.Sleep(20 * time.Millisecond)
		born.Store(2)
		back.Store(true) // the other server has started again as well
		return false
	})
	o := newOutage(t, script, func(o *outage) {
		other := origin.New(t, script)
		o.store.PutEntry(plattest.Server{ID: "s2-a1", Service: "desk", Site: "a1", Addr: other.Addr(), State: "ready", Version: "v1", Born: 1, Seq: 1})
		o.waitServers([]string{"s2-a1"}, true)
		o.warmUp(o.e)
	})
	resp := o.do(o.e, post("/ask/x", "1"))
	if versions, _ := parseEvents(resp.Body); versions["v2"] || !versions["v1"] || resp.Err == nil {
		t.Errorf("status %d, error %v, body %q", resp.Status, resp.Err, resp.Body)
	}
}

// TestTakeUpByAgingList guards against a stream that goes on at a server that has started again at another
// version, because the list of servers was young enough before the record was read and no longer after it.
func TestTakeUpByAgingList(t *testing.T) {
	cl := newCluster(t)
	e, _ := cl.hostBehind("a1")
	base := origin.New(t, versioned("v1"))
	cl.store.PutEntry(plattest.Server{ID: "s1-a1", Service: "desk", Site: "a1", Addr: base.Addr(), State: "ready", Version: "v1", Born: 1, Seq: 1})
	cl.eventually("base version", func() bool { _, known := e.fleet.Bases().Base("desk", 0); return known })
	var back atomic.Bool
	first, second := versioned("v2"), versioned("v1")
	s := origin.New(t, func(x *origin.Exchange) bool {
		if back.Load() {
			return second(x)
		}
		return first(x)
	})
	cl.store.PutEntry(plattest.Server{ID: "s2-a1", Service: "desk", Site: "a1", Addr: s.Addr(), State: "ready", Version: "v2", Born: 1, Seq: 1})
	cl.waitServers([]string{"s1-a1", "s2-a1"}, true)
	list := ofVersion(cl.begin(24), "v2")
	if len(list) == 0 {
		t.Fatal("no stream began at the new version")
	}
	cl.store.SetFault(func(r *http.Request) int {
		if strings.Contains(r.URL.String(), "attempts") {
			time.Sleep(900 * time.Millisecond)
			back.Store(true)
			return 0
		}
		return http.StatusServiceUnavailable
	})
	cl.eventually("list of 2.5 s", func() bool { return e.fleet.ListAge() > 2500*time.Millisecond })
	resp := cl.do(e, list[0].resume())
	if versions, _ := parseEvents(resp.Body); len(versions) > 0 {
		t.Errorf("the stream began at v2; status %d, body %q", resp.Status, resp.Body)
	}
}

// TestBeginAfterOutage guards against streams that begin, right after an outage of the store, at a server
// that has started again at another version in it and is not registered yet.
func TestBeginAfterOutage(t *testing.T) {
	var back atomic.Bool
	var born atomic.Int64
	born.Store(1)
	first, second := versioned("v1"), versioned("v2")
	o := newOutage(t, reports(&born, func(x *origin.Exchange) bool {
		if back.Load() {
			return second(x)
		}
		return first(x)
	}), func(*outage) {})
	born.Store(2)
	back.Store(true)
	o.eventually("longer outage", func() bool { return o.e.fleet.ListAge() > 5*time.Second })
	o.p.Set(proxy.Fault{})
	o.eventually("new list", func() bool { return o.e.fleet.ListAge() < time.Second })
	for range 3 {
		resp := o.do(o.e, post("/resume/x", "1"))
		if versions, _ := parseEvents(resp.Body); versions["v2"] || resp.Status != http.StatusServiceUnavailable {
			t.Errorf("status %d, body %q", resp.Status, resp.Body)
		}
	}
	o.entry.Version, o.entry.Born = "v2", 2
	o.store.PutEntry(o.entry)
	o.eventually("streams at the new version", func() bool {
		versions, _ := parseEvents(o.do(o.e, post("/ask/x", "1")).Body)
		return versions["v2"]
	})
}
