package entry

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/fake/origin"
	"github.com/yuccalb/yuccalb/platform/plattest"
)

// TestRecordOfOtherRegion guards against a stream that is taken up at the version of a failed attempt which
// a host of another region made and recorded: the later attempt must replace that record.
func TestRecordOfOtherRegion(t *testing.T) {
	cl := newCluster(t)
	e := cl.host("a1")
	cl.host("b1")
	var paused, broken atomic.Bool
	first, second := versioned("v1"), versioned("v2")
	cl.server("s1-a1", "a1", func(x *origin.Exchange) bool {
		if paused.Swap(false) {
			return x.RefuseWith("Retry-After: 0.4")
		}
		return first(x)
	})
	cl.eventually("base version", func() bool { _, known := e.fleet.Bases().Base("desk", 0); return known })
	cl.warmUp(e)
	s := origin.New(t, func(x *origin.Exchange) bool {
		switch {
		case x.URL.Path == "/safe/x":
			return ok(x)
		case !broken.Swap(true):
			time.Sleep(700 * time.Millisecond) // the record is written, and the pause ends
			return false
		}
		return second(x)
	})
	cl.store.PutEntry(plattest.Server{ID: "s2-b1", Service: "desk", Site: "b1", Addr: s.Addr(), State: "ready", Version: "v2", Born: 1, Seq: 1})
	cl.waitServers([]string{"s2-b1"}, true)
	cl.eventually("report of region b", func() bool { return len(e.fleet.RemoteRegions("desk")) == 1 })
	paused.Store(true)
	cl.do(e, get("/safe/x")) // the server of region a asks for a pause
	a := cl.beginTogether(e, 1)
	if !broken.Load() || len(a) != 1 || a[0].version != "v1" {
		t.Fatalf("stream %v, attempt in the other region %v", a, broken.Load())
	}
	if r := cl.resumeAll(a); r.complete != 1 {
		t.Errorf("%+v", r)
	}
}

// TestTakeUpAfterBaseIsBack guards against a stream that began without a record while no server of the base
// was listed and the store took none, and that goes on at a server of the base which is back.
func TestTakeUpAfterBaseIsBack(t *testing.T) {
	cl := newCluster(t)
	e, other := cl.host("a1"), cl.host("a1")
	first := cl.addVersion("v1")
	cl.eventually("base version", func() bool { _, known := e.fleet.Bases().Base("desk", 0); return known })
	cl.addVersion("v2")
	cl.removeServers(first)
	time.Sleep(6 * time.Second) // all hosts know it
	cl.store.SetFault(func(r *http.Request) int {
		if r.URL.Path == "/-/kv-txn" || r.URL.Path == "/-/kv-lease" {
			return http.StatusServiceUnavailable
		}
		return 0
	})
	list := cl.beginTogether(e, 12)
	if len(list) < 9 {
		t.Errorf("%d streams began", len(list))
	}
	cl.addVersion("v1")
	cl.hosts = []*Entry{other}
	if r := cl.resumeAll(list); r.joined > 0 {
		t.Errorf("of %d streams: %+v", len(list), r)
	}
}
