package pick

import "time"

// Priors of a Pace. They matter until the first responses have come.
const (
	priorRead   = 50_000.0
	priorEngine = 700 * time.Millisecond
	priorPlain  = 50 * time.Millisecond
	priorToken  = 7 * time.Millisecond
)

const (
	// readStep is by how much one response moves the expected reading rate,
	// the first ones move it further. The rate settles where as many responses
	// come sooner as later, so that single servers that lie or fail do not move
	// it far.
	readStep = 0.03
	// readRange bounds the reading rate, as a factor of the prior.
	readRange = 32.0
	// readLeast is the number of tokens below which other times hide that of
	// reading.
	readLeast = 1500
	// heldWeight is that of the newest response in the mean time for which a
	// place is taken, once enough were seen.
	heldWeight = 0.03
	// tokenStep is by how much one response moves the expected time for a
	// token, and tokenSlower how many of them are expected to take longer for
	// each that takes less.
	tokenStep   = 0.02
	tokenSlower = 4
	// tokenRange bounds that time, as a factor of the prior, and tokenLeast is
	// the length below which a response tells little.
	tokenRange = 32
	tokenLeast = 16
	// maxHeldTime bounds one response's part in it.
	maxHeldTime = 30 * time.Second
)

// Pace is how fast the servers of a service work, learnt from their responses.
type Pace struct {
	// Read is the prompt tokens that a server reads per second.
	Read float64
	// Held is how long a request takes a place.
	Held time.Duration
	// Token is the time for one token of a response while no prompt is read,
	// if responses are as long as their callers allow.
	Token time.Duration
	// reads and holds count the responses in Read and Held.
	reads, holds int
}

// NewPace returns what is assumed of servers that have not answered yet.
func NewPace(engine bool) Pace {
	if engine {
		return Pace{Read: priorRead, Held: priorEngine, Token: priorToken}
	}
	return Pace{Read: priorRead, Held: priorPlain}
}

// ReadTime returns how long a server reads tokens of prompts.
func (p *Pace) ReadTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / p.Read * float64(time.Second))
}

// read takes in the time to a first byte for which reading a prompt was
// expected to take part.
func (p *Pace) read(took, expected time.Duration) {
	step := 1 + max(readStep, 1/(1+float64(p.reads)/2))
	p.reads++
	if took > expected {
		step = 1 / step
	}
	p.Read = min(max(p.Read*step, priorRead/readRange), priorRead*readRange)
}

// token takes in how long a response of at most n tokens took from its first
// one on.
func (p *Pace) token(took time.Duration, n int) {
	if n < tokenLeast {
		return
	}
	x := 1 + tokenStep
	if took < time.Duration(n)*p.Token {
		x = 1 / (1 + tokenSlower*tokenStep)
	}
	p.Token = min(max(scale(p.Token, x), priorToken/tokenRange), priorToken*tokenRange)
}

// held takes in the time for which a request took a place.
func (p *Pace) held(took time.Duration) {
	p.holds++
	w := max(heldWeight, 1/float64(p.holds+1))
	took = min(took, maxHeldTime)
	p.Held += time.Duration(w * float64(took-p.Held))
}
