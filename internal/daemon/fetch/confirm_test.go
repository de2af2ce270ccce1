package fetch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccalb/yuccalb/internal/fake/infra"
)

// TestHeartbeatConfirmations guards against pulls made only for a confirmation that
// heartbeat replies bring as well, and against a confirmation that is later than the
// last time at which the store could be read.
func TestHeartbeatConfirmations(t *testing.T) {
	const fresh = 30 * time.Second
	const minutes = 10
	for _, tt := range []struct {
		name        string
		unconfirmed bool
		down        bool
	}{
		{"replies without confirmations", true, false},
		{"replies without confirmations, store down", true, true},
		{"replies with confirmations", false, false},
		{"replies with confirmations, store down", false, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(t)
				s.unconfirmed = tt.unconfirmed
				ids := []int{1, 2, 3, 4, 5, 6, 7, 8}
				s.publish(5, 1, fresh)
				s.start(ids...)
				s.wait(15*time.Second, 1, ids...)
				time.Sleep(fresh)
				if tt.down {
					s.platform.SetFault(infra.PartKV, infra.Fault{Down: true})
				}
				down := time.Now()
				s.takeUsage()
				var oldest time.Duration
				for range 60 * minutes {
					time.Sleep(time.Second)
					for a, f := range s.hosts {
						at := f.Confirmed()
						oldest = max(oldest, time.Since(at))
						if tt.down && at.After(down) {
							t.Fatalf("host %v: confirmed %v after the store went down", a, at.Sub(down))
						}
					}
				}
				perMinute := float64(s.takeUsage().pulls) / float64(len(ids)-2) / minutes
				t.Logf("%.1f pulls per minute and host that does not watch the store, oldest confirmation %v", perMinute, oldest)
				if !tt.down && oldest > fresh {
					t.Errorf("confirmation %v old, want at most %v", oldest, fresh)
				}
				if !tt.unconfirmed && perMinute > 0 {
					t.Errorf("%.1f pulls per minute and host without a change, want none", perMinute)
				}
			})
		})
	}
}
