package entry

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/platform/plattest"
)

// TestFallsBesideFaults guards against servers that fall over because hosts divide their room
// wrongly while the store is silent, a host stops and another one starts, and a server falls
// over and comes back.
func TestFallsBesideFaults(t *testing.T) {
	const load, limit = 0.6, 20
	cl := newCluster(t)
	for range 4 {
		cl.host("a1")
	}
	servers := cl.frailServers()
	for _, f := range servers {
		f.state(limit)
	}
	var faults sync.WaitGroup
	faults.Go(func() {
		time.Sleep(fallNotice)
		cl.store.SetFault(func(*http.Request) int { return plattest.NoResponse })
		stopping := cl.hosts[3]
		faults.Go(func() {
			if err := stopping.Close(context.Background()); err != nil {
				t.Error(err)
			}
		})
		servers[0].mu.Lock()
		servers[0].fall()
		servers[0].mu.Unlock()
		time.Sleep(time.Second) // keys work on
		cl.store.SetFault(nil)
		cl.start(cl.settings("a1"))
	})
	capacity := fallServers * fallSlots / fallWork.Seconds()
	c := cl.press(load*capacity, 200, cl.hosts[:3])
	faults.Wait()
	falls, most := -1, 0 // one is a fault of the test
	for _, f := range servers {
		f.mu.Lock()
		falls += f.falls
		most = max(most, f.most)
		f.mu.Unlock()
	}
	t.Logf("%d of %d served, %d refused, %d falls, %d refusals by a server within a second", c.served.Load(), c.sent.Load(), c.refused.Load(), falls, most)
	if falls > 0 {
		t.Errorf("%d falls, want none", falls)
	}
	if got := float64(c.served.Load()) / float64(c.sent.Load()); got < 0.9 {
		t.Errorf("served %.2f, want 0.9", got)
	}
}
