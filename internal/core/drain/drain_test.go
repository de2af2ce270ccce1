package drain

import (
	"testing"
	"time"
)

func TestAllows(t *testing.T) {
	zero := time.Unix(1000, 0)
	at := func(s float64) time.Time { return zero.Add(time.Duration(s * float64(time.Second))) }
	plan := Plan{Stale: at(2), End: at(7.6)}
	for _, c := range []struct {
		name string
		a    Attempt
		now  float64
		want bool
	}{
		{"nothing known, long deadline", Attempt{Deadline: at(8)}, 0, false},
		{"nothing known, short deadline", Attempt{Deadline: at(7)}, 0, true},
		{"expected to end", Attempt{Deadline: at(10), Expected: 5 * time.Second}, 2, true},
		{"expected to last", Attempt{Deadline: at(10), Expected: 5 * time.Second}, 2.5, false},
		{"expected to last beyond the deadline", Attempt{Deadline: at(6), Expected: 9 * time.Second}, 1, true},
		{"late, long deadline", Attempt{Deadline: at(10), Expected: time.Millisecond}, 2.1, false},
		{"late, short deadline", Attempt{Deadline: at(7), Expected: time.Millisecond}, 5, true},
		{"late, at the end", Attempt{Deadline: at(7.1), Expected: time.Millisecond}, 7, false},
		{"again, expected to end", Attempt{Deadline: at(10), Expected: time.Second, Ran: true}, 6, true},
		{"again, expected to last", Attempt{Deadline: at(10), Expected: time.Second, Ran: true}, 6.2, false},
		{"resumed", Attempt{Deadline: at(10), Ran: true, Begun: true}, 7, true},
		{"resumed at the end", Attempt{Deadline: at(10), Ran: true, Begun: true}, 7.5, false},
	} {
		if got := plan.Allows(c.a, at(c.now)); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
