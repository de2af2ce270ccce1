package admit

import (
	"testing"
	"time"
)

// TestMix guards against requests whose waiting time is bounded by the goals of less
// urgent requests, or of routes without recent traffic.
func TestMix(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	var m Mix
	m.Note(0, 800*ms, now)
	m.Note(0, 600*ms, now.Add(-classTTL-time.Second))
	m.Note(1, time.Second, now)
	m.Note(2, 400*ms, now)
	m.Note(0, 0, now)
	for priority, want := range []time.Duration{800 * ms, 800 * ms, 400 * ms} {
		if got := m.Least(priority, now); got != want {
			t.Errorf("shortest goal for priority %d: %v, want %v", priority, got, want)
		}
	}
	if got := m.Least(2, now.Add(2*classTTL)); got != 0 {
		t.Errorf("shortest goal %v without recent requests, want 0", got)
	}
}
