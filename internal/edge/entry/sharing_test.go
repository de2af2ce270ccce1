package entry

import (
	"context"
	"net/http"
	"testing"
	"time"
)

// TestPartsWhileStoreAway guards against hosts that give up their parts of limits although they hear
// each other while the store is away, against parts that are not handed over when a host says that it
// stops, and against a host that keeps its part although it may be forgotten.
func TestPartsWhileStoreAway(t *testing.T) {
	cl := newCluster(t)
	a, b := cl.host("a1"), cl.host("a1")
	both := func(holding bool) func() bool {
		return func() bool {
			n, ha := a.fleet.Sharing()
			m, hb := b.fleet.Sharing()
			return n == 2 && m == 2 && ha == holding && hb == holding
		}
	}
	cl.eventually("both hosts use their parts", both(true))
	cl.store.SetFault(func(*http.Request) int { return http.StatusServiceUnavailable })
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if !both(true)() {
			t.Fatal("a part is given up although the hosts hear each other")
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // no request is in progress
	if err := b.Close(ctx); err != nil {
		t.Error(err)
	}
	cl.eventually("part handed over", func() bool {
		n, _ := a.fleet.Sharing()
		return n == 1
	})
	cl.eventually("part given up", func() bool {
		_, holding := a.fleet.Sharing()
		return !holding
	})
	cl.store.SetFault(nil)
	cl.eventually("part used again", func() bool {
		n, holding := a.fleet.Sharing()
		return n == 1 && holding
	})
}
