package target

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/route"
)

// fakeCache is a CacheReader with a fixed rate of new events. Like an engine, it keeps
// only the latest ones.
type fakeCache struct {
	start time.Time
	rate  int // events per second
	bytes int // returned in total
}

func (f *fakeCache) Cache(_ context.Context, _ netip.AddrPort, after uint64) (CachePage, error) {
	next := uint64(time.Since(f.start).Seconds() * float64(f.rate))
	page := CachePage{Next: next, Epoch: "a", Events: make([]route.CacheEvent, min(next-after, 4096))}
	f.bytes += len(page.Events) * eventSize
	return page, nil
}

// TestCacheBudget guards against cache events that exceed the budget for control
// traffic, and against events that are dated later than they may have happened.
func TestCacheBudget(t *testing.T) {
	for _, rate := range []int{5, 40} {
		synctest.Test(t, func(t *testing.T) {
			const seconds = 3 * 3600
			f := &fakeCache{start: time.Now(), rate: rate}
			p := NewCachePoller(f)
			servers := []Server{{Addr: netip.MustParseAddrPort("127.0.0.1:1")}, {Addr: netip.MustParseAddrPort("127.0.0.1:2")}}
			events, last := 0, time.Now()
			for range seconds {
				time.Sleep(time.Second)
				p.Poll(t.Context(), servers, func(_ Server, got []route.CacheEvent) {
					events += len(got)
					if got[0].At.After(last) {
						t.Errorf("event of the interval that began at %s is dated %s", last, got[0].At)
					}
				})
				last = time.Now()
			}
			if bytes := float64(f.bytes) / seconds; bytes > eventBudget || events == 0 {
				t.Errorf("%d events per second: read %.0f bytes per second and %d events, want at least one event within eventBudget", rate, bytes, events)
			}
		})
	}
}
