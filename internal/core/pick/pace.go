package pick

import "time"

// Priors of a Pace, used until there are responses to estimate it from.
const (
	priorPrefillRate    = 50_000.0
	priorEngineSlotTime = 700 * time.Millisecond
	priorPlainSlotTime  = 50 * time.Millisecond
	priorTokenTime      = 7 * time.Millisecond
)

const (
	// prefillStep is the relative step by which one response changes the prefill
	// rate; the first responses change it by more. The rate converges to the
	// median, at which as many responses come early as late, so that single
	// servers that misreport or fail have little effect.
	prefillStep = 0.03
	// prefillRange bounds the prefill rate, as a factor of the prior.
	prefillRange = 32.0
	// minPrefillSample is the number of uncached tokens below which the time to the
	// first byte depends on other times more than on prefill.
	minPrefillSample = 1500
	// slotWeight is the weight of the newest response in the mean slot time; it is
	// greater for the first responses.
	slotWeight = 0.03
	// tokenStep is the relative step by which one response changes the time per
	// output token, and tokenSlowerRatio the number of responses that take longer
	// than expected for each that takes less, at the value to which it converges.
	tokenStep        = 0.02
	tokenSlowerRatio = 4
	// tokenRange bounds the time per output token, as a factor of the prior.
	// Responses of fewer than minTokenSample tokens say too little about it.
	tokenRange     = 32
	minTokenSample = 16
	// maxSlotTime bounds the slot time that is taken from one response.
	maxSlotTime = 30 * time.Second
)

// Pace is the speed of the servers of a service, estimated from their responses.
type Pace struct {
	// PrefillRate is the number of prompt tokens that a server reads per second.
	PrefillRate float64
	// SlotTime is the mean time for which a request takes a slot of a server.
	SlotTime time.Duration
	// TokenTime is the time per output token without concurrent prefill, if
	// responses are as long as their callers allow.
	TokenTime time.Duration
	// prefillSamples and slotSamples count the responses in PrefillRate and
	// SlotTime.
	prefillSamples, slotSamples int
}

// NewPace returns the pace that is assumed before any response. The argument engine is
// set for model engines.
func NewPace(engine bool) Pace {
	if engine {
		return Pace{PrefillRate: priorPrefillRate, SlotTime: priorEngineSlotTime, TokenTime: priorTokenTime}
	}
	return Pace{PrefillRate: priorPrefillRate, SlotTime: priorPlainSlotTime}
}

// PrefillTime returns how long the prefill of a number of tokens takes.
func (p *Pace) PrefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / p.PrefillRate * float64(time.Second))
}

// observePrefill updates the prefill rate by a time to the first byte of which prefill
// was a part.
func (p *Pace) observePrefill(took, expected time.Duration) {
	step := 1 + max(prefillStep, 1/(1+float64(p.prefillSamples)/2))
	p.prefillSamples++
	if took > expected {
		step = 1 / step
	}
	p.PrefillRate = min(max(p.PrefillRate*step, priorPrefillRate/prefillRange), priorPrefillRate*prefillRange)
}

// observeToken updates the time per output token by the time from the first byte to the
// end of a response of at most n tokens.
func (p *Pace) observeToken(took time.Duration, n int) {
	if n < minTokenSample {
		return
	}
	x := 1 + tokenStep
	if took < time.Duration(n)*p.TokenTime {
		x = 1 / (1 + tokenSlowerRatio*tokenStep)
	}
	p.TokenTime = min(max(scale(p.TokenTime, x), priorTokenTime/tokenRange), priorTokenTime*tokenRange)
}

// observeSlot updates the mean slot time by the time for which a request took a slot.
func (p *Pace) observeSlot(took time.Duration) {
	p.slotSamples++
	w := max(slotWeight, 1/float64(p.slotSamples+1))
	took = min(took, maxSlotTime)
	p.SlotTime += time.Duration(w * float64(took-p.SlotTime))
}
