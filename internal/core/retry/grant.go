package retry

// Grant tells whether another attempt may be made, and why.
type Grant string

// Grants. Free needs no retry from the budget, since no attempt has reached a server
// that is not paid for; Withdrawn took one. The others are reasons against another attempt: the rules of the
// route, the time left, an exhausted budget.
const (
	Free      Grant = "free"
	Withdrawn Grant = "budget"

	DeniedByRules  Grant = "rules"
	DeniedByTime   Grant = "time"
	DeniedByBudget Grant = "budget exhausted"
)

// Permitted reports whether the attempt may be made.
func (g Grant) Permitted() bool { return g == Free || g == Withdrawn }

// Withdraw takes the next attempt from the budget. It needs none while no attempt has
// reached a server, nor after a retry that was paid for and reached none.
func (t *Tally) Withdraw(b *Budget) Grant {
	switch {
	case t.Paid >= t.Sends:
		return Free
	case b.Withdraw():
		t.Paid++
		return Withdrawn
	}
	return DeniedByBudget
}
