package retry

// Result classifies an attempt for the decision on the next one.
type Result int

// Results. The zero value is the most cautious one.
const (
	// Unknown means that the attempt may have run and that no part of its
	// response was forwarded to the caller.
	Unknown Result = iota
	// NotRun means that the request did not run: the server said so, or no
	// connection to it was established.
	NotRun
	// ServerError means that the server answered with an error, which is held
	// back and has not been forwarded to the caller.
	ServerError
	// Truncated means that the response ended early after part of it was
	// forwarded to the caller.
	Truncated
	// EndUnknown means that the response was forwarded up to an end that its server
	// did not mark, after the caller was promised a marked one. It may be complete, so
	// it is not resumed.
	EndUnknown
	// Done means that the response was forwarded completely, or that the caller
	// has disconnected.
	Done
)

// Rules are the retry rules of a route.
type Rules struct {
	// Idempotent requests may run more than once, and Resumable streams may be
	// continued by another server within the same response. Attempts bounds
	// the attempts that may have run, in both cases.
	Idempotent, Resumable bool
	Attempts              int
	// Forwarded is set when another host forwarded the request and decides
	// itself on attempts in other regions.
	Forwarded bool
}

// Tally counts the attempts of a request.
type Tally struct {
	// Tries counts all attempts, Sends those that reached a server or may have
	// reached one, Ran those that may have run, and Paid the retries that were withdrawn
	// from the budget.
	Tries, Sends, Ran, Paid int
}

// Allows reports whether the rules permit another attempt after res.
func (r Rules) Allows(res Result, t Tally) bool {
	if t.Tries >= MaxAttempts {
		return false
	}
	switch res {
	case NotRun:
		return !r.Forwarded || t.Ran == 0
	case Unknown, ServerError:
		return r.Idempotent && t.Ran < r.Attempts
	case Truncated:
		return r.Resumable && t.Ran < r.Attempts
	}
	return false
}
