package retry

// Grant tells whether another attempt may be made, and why.
type Grant string

// Grants. Free needs no retry from the budget, since no attempt has reached a server;
// Withdrawn took one; Unbounded had no budget to take it from. The others are reasons
// against another attempt: the rules of the route, the time left, an exhausted budget.
const (
	Free      Grant = "free"
	Withdrawn Grant = "budget"
	Unbounded Grant = "no budget"

	DeniedByRules  Grant = "rules"
	DeniedByTime   Grant = "time"
	DeniedByBudget Grant = "budget exhausted"
)

// Permitted reports whether the attempt may be made.
func (g Grant) Permitted() bool { return g == Free || g == Withdrawn || g == Unbounded }

// Withdraw takes the next attempt from the budget. It needs no budget while no attempt
// has reached a server, or if b is nil.
func (t Tally) Withdraw(b *Budget) Grant {
	switch {
	case t.Sends == 0:
		return Free
	case b == nil:
		return Unbounded
	case b.Withdraw():
		return Withdrawn
	}
	return DeniedByBudget
}
