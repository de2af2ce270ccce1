package entry

import (
	"sync"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/reach"
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
