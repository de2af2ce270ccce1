// Package retry decides what follows a failed attempt: another attempt, a
// resumed response, or a rejection that states whether the request may have
// run. A retry budget bounds the load that retries add.
package retry

import (
	"math/rand/v2"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/model"
)

// Outcome is how far a failed attempt got.
type Outcome int

// Outcomes of failed attempts. The zero value is the most cautious one.
const (
	// NoResponse means that something may have been written to the server and
	// no response arrived.
	NoResponse Outcome = iota
	// NotWritten means that nothing was written to the server.
	NotWritten
	// Refused means that the server answered that it did not run the request.
	Refused
	// Started means that part of the response arrived.
	Started
)

// Action is what to do after a failed attempt.
type Action int

// Actions. Stop makes no further attempt, Retry sends the request to another
// server, and Resume requests the rest of the response from Decision.Position.
const (
	Stop Action = iota
	Retry
	Resume
)

// Call holds the properties of a request that decide on its retries.
type Call struct {
	// Idempotent is set when the request may run more than once.
	Idempotent bool
	// Once marks a request that is dispatched at most once.
	Once bool
	// Resumable is set when the service can continue a response from a token
	// position.
	Resumable bool
}

// Failure is one failed attempt.
type Failure struct {
	Outcome Outcome
	// Delivered is set when any byte of the response has reached the caller.
	Delivered bool
	// Position is the number of response tokens received, which is where the
	// service can resume.
	Position int
}

// Decision is what to do after a failed attempt.
type Decision struct {
	Action Action
	// Delay is the time to wait before the next attempt.
	Delay time.Duration
	// Position is set for Resume.
	Position int
	// Run is set for Stop. It states whether any attempt may have run.
	Run model.Run
	// Exhausted is set for Stop when the rules permit another attempt but the
	// budget or MaxAttempts does not.
	Exhausted bool
}

const (
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts = 4
	// baseDelay and maxDelay bound the backoff: baseDelay is the longest delay
	// after the first failure, maxDelay the longest after any number.
	baseDelay = 10 * time.Millisecond
	maxDelay  = 500 * time.Millisecond
)

// Attempts tracks the attempts of one request. It is not safe for concurrent
// use.
type Attempts struct {
	call   Call
	failed int
	run    model.Run
}

// NewAttempts returns the state of a request of which no attempt was made.
func NewAttempts(call Call) *Attempts {
	return &Attempts{call: call, run: model.RunNo}
}

// Run returns whether any failed attempt may have run. Only attempts that wrote
// nothing to a server count as not run.
func (a *Attempts) Run() model.Run { return a.run }

// Fail records a failed attempt and decides what follows it. It withdraws from
// the budget if that is another attempt.
func (a *Attempts) Fail(f Failure, budget *Budget, rng *rand.Rand) Decision {
	a.failed++
	if f.Outcome != NotWritten || f.Delivered {
		a.run = model.RunUnknown
	}
	action := a.permitted(f)
	if action == Stop {
		return Decision{Run: a.run}
	}
	if a.failed >= MaxAttempts || !budget.Withdraw() {
		return Decision{Run: a.run, Exhausted: true}
	}
	d := Decision{Action: action, Delay: Backoff(a.failed, rng)}
	if action == Resume {
		d.Position = f.Position
	}
	return d
}

// permitted returns the action that the rules permit, regardless of the budget
// and of MaxAttempts.
func (a *Attempts) permitted(f Failure) Action {
	if a.call.Once {
		return Stop
	}
	switch f.Outcome {
	case NotWritten, Refused:
		if f.Delivered {
			return a.resumeOrStop(f)
		}
		return Retry
	case Started, NoResponse:
		if !a.call.Idempotent {
			return Stop
		}
		if f.Delivered {
			return a.resumeOrStop(f)
		}
		if f.Outcome == Started && a.call.Resumable {
			return Resume
		}
		return Retry
	}
	return Stop
}

// resumeOrStop returns Resume if the response can be resumed, Stop otherwise.
// Once the caller has part of the response, a second run from the start could
// not continue it, since it may generate another text.
func (a *Attempts) resumeOrStop(f Failure) Action {
	if a.call.Resumable && a.call.Idempotent && f.Position > 0 {
		return Resume
	}
	return Stop
}

// Backoff returns the delay before the next attempt after failed attempts:
// exponential with full jitter, at most 500 ms.
func Backoff(failed int, rng *rand.Rand) time.Duration {
	limit := min(baseDelay<<min(max(failed-1, 0), 10), maxDelay)
	return time.Duration(rng.Int64N(int64(limit)) + 1)
}
