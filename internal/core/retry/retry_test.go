package retry

import (
	"math/rand/v2"
	"testing"

	"github.com/yuccalb/yuccalb/internal/core/model"
)

// TestFail guards against a second run of a request that must run once, a
// response assembled from two runs, and a rejection that falsely states that the
// request did not run.
func TestFail(t *testing.T) {
	plain, idempotent := Call{}, Call{Idempotent: true}
	resumable := Call{Idempotent: true, Resumable: true}
	once := Call{Once: true, Idempotent: true, Resumable: true}
	cases := map[string]struct {
		call    Call
		failure Failure
		action  Action
		run     model.Run
	}{
		"nothing written":             {plain, Failure{Outcome: NotWritten}, Retry, ""},
		"nothing written, once":       {once, Failure{Outcome: NotWritten}, Stop, model.RunNo},
		"refused":                     {plain, Failure{Outcome: Refused}, Retry, ""},
		"refused, once":               {once, Failure{Outcome: Refused}, Stop, model.RunUnknown},
		"no response":                 {plain, Failure{Outcome: NoResponse}, Stop, model.RunUnknown},
		"no response, idempotent":     {idempotent, Failure{Outcome: NoResponse}, Retry, ""},
		"no response, once":           {once, Failure{Outcome: NoResponse}, Stop, model.RunUnknown},
		"started":                     {plain, Failure{Outcome: Started}, Stop, model.RunUnknown},
		"started, idempotent":         {idempotent, Failure{Outcome: Started}, Retry, ""},
		"started, resumable":          {resumable, Failure{Outcome: Started, Position: 7}, Resume, ""},
		"delivered":                   {idempotent, Failure{Outcome: Started, Delivered: true, Position: 7}, Stop, model.RunUnknown},
		"delivered, resumable":        {resumable, Failure{Outcome: Started, Delivered: true, Position: 7}, Resume, ""},
		"delivered, position unknown": {resumable, Failure{Outcome: Started, Delivered: true}, Stop, model.RunUnknown},
		"resume was refused":          {resumable, Failure{Outcome: Refused, Delivered: true, Position: 7}, Resume, ""},
		"delivered, then not written": {idempotent, Failure{Outcome: NotWritten, Delivered: true, Position: 7}, Stop, model.RunUnknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var budget Budget
			for range int(1 / DefaultRatio) {
				budget.Deposit()
			}
			d := NewAttempts(c.call).Fail(c.failure, &budget, rand.New(rand.NewPCG(1, 1)))
			if d.Action != c.action || d.Run != c.run {
				t.Errorf("action %v run %q, want %v %q", d.Action, d.Run, c.action, c.run)
			}
			if d.Action == Resume && d.Position != c.failure.Position {
				t.Errorf("resumed at %d, want %d", d.Position, c.failure.Position)
			}
		})
	}
}

// TestRunUnknownAfterNotWritten guards against reporting a request as not run
// because its last attempt wrote nothing, although an earlier one may have run.
func TestRunUnknownAfterNotWritten(t *testing.T) {
	var budget Budget
	for range int(1 / DefaultRatio) {
		budget.Deposit()
	}
	a := NewAttempts(Call{Idempotent: true})
	rng := rand.New(rand.NewPCG(1, 1))
	if d := a.Fail(Failure{Outcome: NoResponse}, &budget, rng); d.Action != Retry {
		t.Fatalf("action %v, want Retry", d.Action)
	}
	d := a.Fail(Failure{Outcome: NotWritten}, &budget, rng)
	if d.Action != Stop || !d.Exhausted || d.Run != model.RunUnknown {
		t.Errorf("decision %+v, want an exhausted stop with run unknown", d)
	}
}

// TestBudget guards against more than 1.1 attempts per request at the start, and
// against more than DefaultLimit retries at once after a long time without
// failures.
func TestBudget(t *testing.T) {
	var budget Budget
	retries := 0
	for n := 1; n <= 5000; n++ {
		budget.Deposit()
		for budget.Withdraw() {
			retries++
		}
		if 10*retries > n {
			t.Fatalf("%d retries after %d requests", retries, n)
		}
	}
	for range 100_000 {
		budget.Deposit()
	}
	burst := 0
	for budget.Withdraw() {
		burst++
	}
	if retries != 500 || burst != DefaultLimit {
		t.Errorf("%d retries for 5,000 requests and %d at once, want 500 and %d", retries, burst, DefaultLimit)
	}
}

// TestLimitOfBudgetLowered guards against a host that keeps the retries of a larger part
// of the budget of all hosts when it has to share the budget with more of them.
func TestLimitOfBudgetLowered(t *testing.T) {
	var budget Budget
	budget.SetLimit(40)
	for range 1000 {
		budget.Deposit()
	}
	budget.SetLimit(6)
	retries := 0
	for budget.Withdraw() {
		retries++
	}
	if retries != 6 {
		t.Errorf("%d retries at once after the limit fell to 6", retries)
	}
}

// TestBackoff guards against retries without delay and against synchronised
// retries.
func TestBackoff(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	seen := map[int64]bool{}
	for failed := range 20 {
		for range 50 {
			d := Backoff(failed, rng)
			if d <= 0 || d > maxDelay {
				t.Fatalf("delay %v after %d failures", d, failed)
			}
			seen[int64(d)] = true
		}
	}
	if len(seen) < 900 {
		t.Errorf("only %d different delays in 1,000", len(seen))
	}
}
