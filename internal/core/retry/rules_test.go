package retry

import "testing"

// TestRules guards against a second run of a request that may run once, more
// runs than a route allows, and the rejection of a request that another server
// could serve.
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
		{"unsafe, refused", unsafe, NotRun, Tally{1, 1, 0, 0}, true},
		{"unsafe, may have run", unsafe, Unknown, Tally{1, 1, 1, 0}, false},
		{"unsafe, server's error", unsafe, ServerError, Tally{1, 1, 1, 0}, false},
		{"unsafe, truncated", unsafe, Truncated, Tally{1, 1, 1, 0}, false},
		{"safe, may have run", safe, Unknown, Tally{1, 1, 1, 0}, true},
		{"safe, all runs used", safe, Unknown, Tally{2, 2, 2, 0}, false},
		{"safe, refused after a run", safe, NotRun, Tally{2, 2, 1, 0}, true},
		{"safe, truncated", safe, Truncated, Tally{1, 1, 1, 0}, false},
		{"stream, truncated", stream, Truncated, Tally{1, 1, 1, 0}, true},
		{"stream, all runs used", stream, Truncated, Tally{3, 3, 3, 0}, false},
		{"too many attempts", safe, NotRun, Tally{MaxAttempts, 0, 0, 0}, false},
		{"forwarded, refused", Rules{Forwarded: true}, NotRun, Tally{1, 1, 0, 0}, true},
		{"forwarded, refused after a run", Rules{Forwarded: true, Idempotent: true, Attempts: 3}, NotRun, Tally{2, 2, 1, 0}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := tt.rules.Allows(tt.res, tt.tally); got != tt.want {
				t.Errorf("another attempt: %v, want %v", got, tt.want)
			}
		})
	}
}

// TestTallyWithdraw guards against attempts beyond the budget, and against
// exhausting the budget with attempts that send no request, as happens when
// servers refuse connections.
func TestTallyWithdraw(t *testing.T) {
	var b Budget
	if !(&Tally{Tries: 1}).Withdraw(&b).Permitted() {
		t.Error("attempt rejected after one that established no connection")
	}
	if (&Tally{Tries: 1, Sends: 1}).Withdraw(&b).Permitted() {
		t.Error("retry of a sent request admitted by an empty budget")
	}
	for range int(1 / DefaultRatio) {
		b.Deposit()
	}
	if !(&Tally{Tries: 1, Sends: 1}).Withdraw(&b).Permitted() {
		t.Error("retry of a sent request rejected within the budget")
	}
}

// TestSharedBudget guards against hosts whose budgets, taken together, hold more
// retries than all hosts may make at once.
func TestSharedBudget(t *testing.T) {
	const hosts = 7
	sum := 0
	for range hosts {
		b := Budget{Ratio: 0.2}
		b.SetLimit(54.0 / hosts)
		for range 1000 {
			b.Deposit()
		}
		for b.Withdraw() {
			sum++
		}
	}
	if sum > 54 || sum < 40 {
		t.Errorf("%d retries at once at %d hosts, want at most 54 and most of them", sum, hosts)
	}
}

// TestBudgetsOfUnknownServices guards against services without a bound: those of which
// the host knows nothing yet, and those that come back after they were left out.
func TestBudgetsOfUnknownServices(t *testing.T) {
	s := NewBudgets(0.2)
	withdraw := func() (n int) {
		for range 100 {
			s.Of("desk").Deposit()
		}
		for s.Of("desk").Withdraw() {
			n++
		}
		return n
	}
	if s.Of("desk").Withdraw() {
		t.Error("retry without a request")
	}
	if n := withdraw(); n != 1 {
		t.Errorf("%d retries at once before the hosts are known, want 1", n)
	}
	s.SetPart(7)
	if n := withdraw(); n != 7 {
		t.Errorf("%d retries at once, want 7", n)
	}
	s.Retain([]string{"shop"})
	if s.Of("desk").Withdraw() {
		t.Error("retry without a request to a service that came back")
	}
	if n := withdraw(); n != 7 {
		t.Errorf("%d retries at once to a service that came back, want 7", n)
	}
}

// TestRetryThatReachedNoServer guards against a request that pays again for an attempt
// because the one it has paid for got no connection.
func TestRetryThatReachedNoServer(t *testing.T) {
	b := Budget{Ratio: 1}
	b.Deposit()
	tally := Tally{Tries: 1, Sends: 1}
	if g := tally.Withdraw(&b); g != Withdrawn {
		t.Fatalf("%s after a sent request", g)
	}
	tally.Tries++ // no connection
	if g := tally.Withdraw(&b); g != Free {
		t.Errorf("%s after a retry that reached no server", g)
	}
	tally.Tries++
	tally.Sends++
	if g := tally.Withdraw(&b); g != DeniedByBudget {
		t.Errorf("%s after a retry that was sent", g)
	}
}
