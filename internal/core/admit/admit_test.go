package admit

import (
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/pick"
)

const ms = time.Millisecond

// pace is the speed of the engines.
var pace = pick.Pace{PrefillRate: 54_600}

// longPrompt is a request with a long shared prefix.
var longPrompt = Demand{Goal: time.Second, Remaining: 8 * time.Second, Prompt: 17_000, Shared: 13_300, Bytes: 5000, Pace: pace}

// shortPrompt is a request with a short prompt.
var shortPrompt = Demand{Goal: 800 * ms, Remaining: 5 * time.Second, Prompt: 383, Bytes: 400, Pace: pace}

// besideShortGoal is a request with a long prompt, sent to servers that also get
// requests with a shorter goal.
var besideShortGoal = Demand{Goal: time.Second, ShortestGoal: 800 * ms, Remaining: 8 * time.Second, Prompt: 17_000, Shared: 13_300, Bytes: 5000, Pace: pace}

// TestChooseRegion guards against requests that queue in a region at its peak while
// another one is idle, that go to another region although this takes longer than the
// queue, and that leave a region with their cached prefix for one without it.
func TestChooseRegion(t *testing.T) {
	tests := []struct {
		name   string
		demand Demand
		local  time.Duration // score of the local region
		wait   time.Duration // in the remote region
		cached int           // shared tokens cached there
		usable bool
		want   bool
	}{
		{"both idle", shortPrompt, 10 * ms, 0, 0, true, false},
		{"local queue shorter than the remote delay", shortPrompt, 100 * ms, 0, 0, true, false},
		{"local queue longer than the remote delay", shortPrompt, 200 * ms, 0, 0, true, true},
		{"both loaded", shortPrompt, 200 * ms, 200 * ms, 0, true, false},
		{"no usable local server", shortPrompt, 0, 900 * ms, 0, false, true},
		{"prefix cached locally", longPrompt, pace.PrefillTime(3700), 0, 0, true, false},
		{"prefix cached locally, long queue", longPrompt, 2 * time.Second, 0, 0, true, true},
		{"prefix cached remotely only", longPrompt, 3 * pace.PrefillTime(17_000), 0, 13_300, true, true},
		{"prefix not cached", longPrompt, 3 * pace.PrefillTime(17_000), 0, 0, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			local := Estimate{Score: tt.local, First: tt.local}
			if got := PreferRemote(local, tt.usable, tt.demand.RemoteEstimate(Remote{Summary: pick.Summary{Wait: tt.wait}, Cached: tt.cached, CachedWait: tt.wait}), 0); got != tt.want {
				t.Errorf("sent to the remote region: %v, want %v", got, tt.want)
			}
		})
	}
}

// TestTooLate guards against a queue in which all responses are late when the servers are
// overloaded, against refusing requests that can be served in time, and against
// refusing large prompts because of their own prefill time.
func TestTooLate(t *testing.T) {
	tests := []struct {
		name   string
		demand Demand
		first  time.Duration
		want   bool
	}{
		{"in time", shortPrompt, 550 * ms, false},
		{"just in time", shortPrompt, 600 * ms, false},
		{"within the goal but not its margin", shortPrompt, 700 * ms, true},
		{"far too late", shortPrompt, 1400 * ms, true},
		{"after the deadline", Demand{Remaining: 100 * ms, Pace: pace}, 200 * ms, true},
		{"no goal", Demand{Remaining: 5 * time.Second, Pace: pace}, 4 * time.Second, false},
		{"beside shorter goals, short queue", besideShortGoal, besideShortGoal.Pace.PrefillTime(besideShortGoal.Prompt) + 590*ms, false},
		{"beside shorter goals, queue too long for these", besideShortGoal, besideShortGoal.Pace.PrefillTime(besideShortGoal.Prompt) + 610*ms, true},
		{"large prompt", Demand{Goal: time.Second, Remaining: 8 * time.Second, Prompt: 100_000, Pace: pace}, pace.PrefillTime(100_000) + 700*ms, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			retry, late := tt.demand.TooLate(tt.first)
			if late != tt.want {
				t.Fatalf("refused as late: %v, want %v", late, tt.want)
			}
			if least := tt.first - tt.demand.Bound(); late && (retry <= least || retry > tt.first) {
				t.Errorf("retry after %v, want at most the expected %v and more than %v, when the queue is short enough", retry, tt.first, least)
			}
		})
	}
}
