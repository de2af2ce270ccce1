package retry

// Result is what became of an attempt, as far as it decides on the next one.
type Result int

// Results. The zero value is the most cautious one.
const (
	// Unknown means that the attempt may have run and that nothing of its
	// response was passed on.
	Unknown Result = iota
	// NotRun means that the server, or the lack of a connection to it, says
	// that the request did not run.
	NotRun
	// Answered means that the server's own error is at hand.
	Answered
	// Cut means that part of the response was passed on.
	Cut
	// Done means that the caller has its response, or has left.
	Done
)

// Rules are what a route allows.
type Rules struct {
	// Idempotent requests may run more than once, and Resumable streams go
	// on within the same response, both in at most Attempts that may run.
	Idempotent, Resumable bool
	Attempts              int
	// Forwarded is set when another host sent the request and decides on
	// attempts elsewhere.
	Forwarded bool
}

// Tally counts the attempts of a request.
type Tally struct {
	// Tries are all attempts, Sends those that reached a server or may have,
	// Ran those that may have run.
	Tries, Sends, Ran int
}

// Allows reports whether another attempt may follow.
func (r Rules) Allows(res Result, t Tally) bool {
	if t.Tries >= MaxAttempts {
		return false
	}
	switch res {
	case NotRun:
		return !r.Forwarded || t.Ran == 0
	case Unknown, Answered:
		return r.Idempotent && t.Ran < r.Attempts
	case Cut:
		return r.Resumable && t.Ran < r.Attempts
	}
	return false
}

// Pays takes the next attempt from the budget, unless no attempt has reached a
// server. It reports whether the attempt may be made.
func (t Tally) Pays(b *Budget) bool { return b == nil || t.Sends == 0 || b.Take() }
