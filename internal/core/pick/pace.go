package pick

import (
	"math"
	"time"
)

// Priors of a Pace. They matter until the first responses have come.
const (
	priorRead   = 50_000.0
	priorEngine = 700 * time.Millisecond
	priorPlain  = 50 * time.Millisecond
)

const (
	// readStep is by how much one response moves the expected reading rate;
	// the rate settles where as many responses come sooner as later, so that
	// single servers that lie or fail do not move it far.
	readStep = 0.03
	// readRange bounds the reading rate, as a factor of the prior.
	readRange = 32.0
	// readLeast is the number of tokens below which other times hide that of
	// reading.
	readLeast = 1500
	// heldWeight is that of the newest response in the mean time for which a
	// place is taken, once enough were seen.
	heldWeight = 0.03
	// maxHeldTime bounds one response's part in it.
	maxHeldTime = 30 * time.Second
)

// Pace is how fast the servers of a service work, learnt from their responses.
type Pace struct {
	// Read is the prompt tokens that a server reads per second.
	Read float64
	// Held is how long a request takes a place.
	Held time.Duration
	n    int // responses in Held
}

// NewPace returns what is assumed of servers that have not answered yet.
func NewPace(engine bool) Pace {
	if engine {
		return Pace{Read: priorRead, Held: priorEngine}
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
	step := 1 + readStep
	if took > expected {
		step = 1 / step
	}
	p.Read = min(max(p.Read*step, priorRead/readRange), priorRead*readRange)
}

// held takes in the time for which a request took a place.
func (p *Pace) held(took time.Duration) {
	p.n++
	w := math.Max(heldWeight, 1/float64(p.n+1))
	took = min(took, maxHeldTime)
	p.Held += time.Duration(w * float64(took-p.Held))
}
