package entry

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/reach"
	"github.com/yuccalb/yuccalb/internal/fake/line"
	"github.com/yuccalb/yuccalb/internal/fake/origin"
)

// TestCutsAreNoCrashes guards against requests that are suspected to make servers crash because
// each cut in a series breaks one of them off, and connections are refused meanwhile.
func TestCutsAreNoCrashes(t *testing.T) {
	const (
		series = 12
		work   = time.Second
	)
	cl := newCluster(t)
	hosts, paths := cl.region(func(x *origin.Exchange) bool {
		if string(x.Body) == "long" {
			time.Sleep(work)
		}
		return mixed(x)
	})
	var done sync.WaitGroup
	for range series {
		done.Go(func() { cl.do(hosts[0], post("/order-b/x", "long")) }) // broken off, or served by a neighbour
		time.Sleep(work / 2)
		paths[0].cut(resetAll)
		for range 10 {
			cl.do(hosts[0], get("/safe/x"))
			time.Sleep(50 * time.Millisecond)
		}
		done.Wait()
		paths[0].cut(noCut)
		cl.eventually("path regained", func() bool { return hosts[0].fleet.Path().State() == reach.Reached })
	}
	for i, e := range hosts {
		if n := e.fleet.SuspectedParts(); n > 0 {
			t.Errorf("host %d: %d requests or parts of prompts are suspected", i, n)
		}
	}
}

// TestUnsafeOverPathInDoubt guards against requests that may not run twice and get no answer, or
// 502, because they are sent over a path to the servers that a neighbour could replace while
// it is not yet known to be lost.
func TestUnsafeOverPathInDoubt(t *testing.T) {
	const (
		callers = 6
		notice  = 1300 * time.Millisecond // of a path on which everything is held
		// reaction is the time after the first failure within which no further
		// request may be sent over a path on which new connections are reset.
		reaction = 20 * time.Millisecond
		cut      = 4 * time.Second
		series   = 3
	)
	calls := []line.Call{post("/order-b/x", "1"), post("/order/x", "1"), post("/chat-b/x", "1")}
	for name, tt := range map[string]struct {
		fault  linkFault
		notice time.Duration // from the begin of the cut, 0 for reaction
	}{
		"held":           {holdAll, notice},
		"responses held": {holdBack, notice},
		"new ones reset": {resetNew, 0},
	} {
		t.Run(name, func(t *testing.T) {
			cl := newCluster(t)
			hosts, paths := cl.region(mixed)
			for i := range series {
				from := time.Now().Add(300 * time.Millisecond)
				var sent, failed, first atomic.Int64 // first is the time of the first failure
				var done sync.WaitGroup
				for k := range callers {
					done.Go(func() {
						for time.Now().Before(from.Add(cut)) {
							at := time.Now()
							r := cl.do(hosts[0], calls[k%len(calls)])
							bad := r.Err != nil || r.Status != http.StatusOK
							if bad {
								first.CompareAndSwap(0, time.Now().UnixNano())
							}
							after := from.Add(tt.notice)
							if tt.notice == 0 {
								after = time.Unix(0, first.Load()).Add(reaction)
							}
							if first.Load() == 0 && tt.notice == 0 || at.Before(after) {
								continue
							}
							sent.Add(1)
							if bad {
								failed.Add(1)
							}
							// Now and then there are more requests than open connections.
							time.Sleep(time.Duration(k) * 7 * time.Millisecond)
						}
					})
				}
				time.Sleep(time.Until(from))
				paths[0].cut(tt.fault)
				done.Wait()
				t.Logf("cut %d: %d of %d requests failed", i, failed.Load(), sent.Load())
				if failed.Load() > 0 {
					t.Errorf("cut %d: %d of %d requests failed, none may", i, failed.Load(), sent.Load())
				}
				paths[0].cut(noCut)
				cl.eventually("path regained", func() bool {
					return hosts[0].fleet.Reaches("desk") && cl.do(hosts[0], get("/safe/x")).Status == http.StatusOK
				})
			}
		})
	}
}
