package admit

import (
	"testing"
	"time"
)

// TestRecentGoals guards against requests whose waiting time is bounded by the goals
// of less urgent requests, or of routes without recent traffic.
func TestRecentGoals(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	var goals RecentGoals
	goals.Record(0, 800*ms, now)
	goals.Record(0, 600*ms, now.Add(-classTTL-time.Second))
	goals.Record(1, time.Second, now)
	goals.Record(2, 400*ms, now)
	goals.Record(0, 0, now)
	for priority, want := range []time.Duration{800 * ms, 800 * ms, 400 * ms} {
		if got := goals.Shortest(priority, now); got != want {
			t.Errorf("shortest goal for priority %d: %v, want %v", priority, got, want)
		}
	}
	if got := goals.Shortest(2, now.Add(2*classTTL)); got != 0 {
		t.Errorf("shortest goal %v without recent requests, want 0", got)
	}
}
