package admit

import (
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/pick"
)

const ms = time.Millisecond

// pace is that of the engines.
var pace = pick.Pace{PrefillRate: 54_600}

// longPrompt is a request with a long shared prefix.
var longPrompt = Demand{Goal: time.Second, Left: 8 * time.Second, Prompt: 17_000, Shared: 13_300, Bytes: 5000, Pace: pace}

// question is a short request.
var question = Demand{Goal: 800 * ms, Left: 5 * time.Second, Prompt: 383, Bytes: 400, Pace: pace}

// behind is a long prompt beside questions with a shorter goal.
var behind = Demand{Goal: time.Second, Least: 800 * ms, Left: 8 * time.Second, Prompt: 17_000, Shared: 13_300, Bytes: 5000, Pace: pace}

// TestPeak is the load of regions that have their peaks in turn. It guards
// against requests that wait in a queue while another region idles, that cross
// regions for less than the way takes, or that leave the cache of their prefix.
func TestPeak(t *testing.T) {
	tests := []struct {
		name   string
		demand Demand
		own    time.Duration // score of the own region
		wait   time.Duration // in the other one
		cached int           // tokens there
		usable bool
		want   bool
	}{
		{"both idle", question, 10 * ms, 0, 0, true, false},
		{"own queue shorter than the way", question, 100 * ms, 0, 0, true, false},
		{"own queue longer than the way", question, 200 * ms, 0, 0, true, true},
		{"both at their peak", question, 200 * ms, 200 * ms, 0, true, false},
		{"no server", question, 0, 900 * ms, 0, false, true},
		{"prefix cached here", longPrompt, pace.PrefillTime(3700), 0, 0, true, false},
		{"prefix cached here, long queue", longPrompt, 2 * time.Second, 0, 0, true, true},
		{"prefix cached there only", longPrompt, 3 * pace.PrefillTime(17_000), 0, 13_300, true, true},
		{"prefix cached nowhere", longPrompt, 3 * pace.PrefillTime(17_000), 0, 0, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			own := Estimate{Score: tt.own, First: tt.own}
			if got := Leaves(own, tt.usable, tt.demand.Far(tt.wait, tt.cached)); got != tt.want {
				t.Errorf("leaves: %v, want %v", got, tt.want)
			}
		})
	}
}

// TestLate is the load of a system whose servers are all busy. It guards against
// a queue in which every response is late, against refusing requests that are
// served in time, and against refusing large prompts for their own length.
func TestLate(t *testing.T) {
	tests := []struct {
		name   string
		demand Demand
		first  time.Duration
		want   bool
	}{
		{"in time", question, 550 * ms, false},
		{"hardly in time", question, 600 * ms, false},
		{"in time only if all goes well", question, 700 * ms, true},
		{"far too late", question, 1400 * ms, true},
		{"after the end", Demand{Left: 100 * ms, Pace: pace}, 200 * ms, true},
		{"no goal", Demand{Left: 5 * time.Second, Pace: pace}, 4 * time.Second, false},
		{"beside shorter goals, short queue", behind, behind.Pace.PrefillTime(behind.Prompt) + 590*ms, false},
		{"beside shorter goals, queue that is too long for them", behind, behind.Pace.PrefillTime(behind.Prompt) + 610*ms, true},
		{"large prompt", Demand{Goal: time.Second, Left: 8 * time.Second, Prompt: 100_000, Pace: pace}, pace.PrefillTime(100_000) + 700*ms, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			retry, late := tt.demand.Late(tt.first)
			if late != tt.want {
				t.Fatalf("late: %v, want %v", late, tt.want)
			}
			if least := tt.first - tt.demand.Bound(); late && (retry <= least || retry > tt.first) {
				t.Errorf("come back after %v, while the queue takes %v and is short enough after %v", retry, tt.first, least)
			}
		})
	}
}
