package retry

import "testing"

// TestRules guards against a second run of a request that may run once, against
// more runs than a route allows, and against giving up a request that another
// server could take.
func TestRules(t *testing.T) {
	unsafe := Rules{}
	safe := Rules{Idempotent: true, Attempts: 2}
	stream := Rules{Idempotent: true, Resumable: true, Attempts: 3}
	tests := []struct {
		name  string
		rules Rules
		res   Result
		tally Tally
		want  bool
	}{
		{"unsafe, refused", unsafe, NotRun, Tally{1, 1, 0}, true},
		{"unsafe, may have run", unsafe, Unknown, Tally{1, 1, 1}, false},
		{"unsafe, server's error", unsafe, Answered, Tally{1, 1, 1}, false},
		{"unsafe, cut", unsafe, Cut, Tally{1, 1, 1}, false},
		{"safe, may have run", safe, Unknown, Tally{1, 1, 1}, true},
		{"safe, runs used up", safe, Unknown, Tally{2, 2, 2}, false},
		{"safe, refused after a run", safe, NotRun, Tally{2, 2, 1}, true},
		{"safe, cut", safe, Cut, Tally{1, 1, 1}, false},
		{"stream, cut", stream, Cut, Tally{1, 1, 1}, true},
		{"stream, runs used up", stream, Cut, Tally{3, 3, 3}, false},
		{"too many attempts", safe, NotRun, Tally{MaxAttempts, 0, 0}, false},
		{"forwarded, refused", Rules{Forwarded: true}, NotRun, Tally{1, 1, 0}, true},
		{"forwarded, refused after a run", Rules{Forwarded: true, Idempotent: true, Attempts: 3}, NotRun, Tally{2, 2, 1}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := tt.rules.Allows(tt.res, tt.tally); got != tt.want {
				t.Errorf("another attempt: %v, want %v", got, tt.want)
			}
		})
	}
}

// TestPays is the load of servers that refuse connections. It guards against
// attempts beyond the budget, and against a budget that attempts without any
// request use up.
func TestPays(t *testing.T) {
	var b Budget
	if !(Tally{Tries: 1}).Pays(&b) {
		t.Error("an attempt that follows one without a connection was not allowed")
	}
	if (Tally{Tries: 1, Sends: 1}).Pays(&b) {
		t.Error("a repeated request was allowed by an empty budget")
	}
	for range int(1 / Ratio) {
		b.Request()
	}
	if !(Tally{Tries: 1, Sends: 1}).Pays(&b) {
		t.Error("a repeated request was not allowed within the budget")
	}
}

// TestSharedBudget guards against hosts that each save up what all together may
// use at once.
func TestSharedBudget(t *testing.T) {
	const hosts = 7
	sum := 0
	for range hosts {
		b := Budget{Ratio: 0.2}
		b.SetLimit(54.0 / hosts)
		for range 1000 {
			b.Request()
		}
		for b.Take() {
			sum++
		}
	}
	if sum > 54 || sum < 40 {
		t.Errorf("%d retries at once at %d hosts, want at most 54 and most of them", sum, hosts)
	}
}
