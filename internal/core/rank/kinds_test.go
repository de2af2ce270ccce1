package rank

import (
	"testing"
	"time"
)

// TestShortest guards against requests whose waiting time is bounded by the goals
// of less urgent requests, or of routes without recent traffic.
func TestShortest(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	var kinds Kinds
	record := func(priority int, goal time.Duration, at time.Time) {
		kinds.Record(Kind{Priority: priority, Level: priority, Goal: goal}, 1, at)
	}
	record(0, 800*ms, now)
	record(0, 600*ms, now.Add(-kindTTL-time.Second))
	record(1, time.Second, now)
	record(2, 400*ms, now)
	record(0, 0, now)
	for priority, want := range []time.Duration{800 * ms, 800 * ms, 400 * ms} {
		if got := kinds.Shortest(priority, now); got != want {
			t.Errorf("shortest goal for priority %d: %v, want %v", priority, got, want)
		}
	}
	if got := kinds.Shortest(2, now.Add(2*kindTTL)); got != 0 {
		t.Errorf("shortest goal %v without recent requests, want 0", got)
	}
}

// TestDeferrable guards against requests that are deferred in favour of others although these are less urgent,
// can wait as long or need less work, and against requests with a long goal that keep
// urgent ones with a short goal waiting.
func TestDeferrable(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	long := Kind{Level: 0, Goal: time.Second}
	tests := []struct {
		name string
		kind Kind
		work int
		want bool
	}{
		{"longer goal, less urgent, less work", Kind{Level: 2, Goal: 3 * time.Second}, 400, true},
		{"as urgent", Kind{Level: 0, Goal: 3 * time.Second}, 400, true},
		{"goal leaves no room", Kind{Level: 2, Goal: 1500 * ms}, 400, false},
		{"more work", Kind{Level: 2, Goal: 3 * time.Second}, 20_000, false},
		{"more urgent by the route", Kind{Level: -1, Goal: 3 * time.Second}, 400, false},
		{"more urgent organisation", Kind{Priority: -1, Level: 2, Goal: 3 * time.Second}, 400, false},
		{"shorter goal", Kind{Level: 0, Goal: 800 * ms}, 400, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var kinds Kinds
			kinds.Record(long, 17_000, now)
			kinds.Record(tt.kind, tt.work, now)
			if got, _ := kinds.Deferral(tt.kind, now); got != tt.want {
				t.Errorf("deferrable: %v, want %v", got, tt.want)
			}
			if _, got := kinds.Deferral(long, now); got != tt.want {
				t.Errorf("the other kind is preferred: %v, want %v", got, tt.want)
			}
			if got, _ := kinds.Deferral(tt.kind, now.Add(2*kindTTL)); got {
				t.Error("deferrable without recent requests")
			}
		})
	}
}
