package admit

import (
	"testing"
	"time"
)

// TestMix guards against requests that yield to less urgent ones, or to routes
// that have no traffic.
func TestMix(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	var m Mix
	m.Note(0, 800*ms, now)
	m.Note(0, 600*ms, now.Add(-forgetKind-time.Second))
	m.Note(1, time.Second, now)
	m.Note(2, 400*ms, now)
	m.Note(0, 0, now)
	for priority, want := range []time.Duration{800 * ms, 800 * ms, 400 * ms} {
		if got := m.Least(priority, now); got != want {
			t.Errorf("least goal for rank %d: %v, want %v", priority, got, want)
		}
	}
	if got := m.Least(2, now.Add(2*forgetKind)); got != 0 {
		t.Errorf("least goal %v although nothing has come lately", got)
	}
}
