package pick

import (
	"math"
	"time"
)

// During prefill, an engine's streams stall. The constants weigh that against the time
// to the first byte.
const (
	// stallWeight is the cost, in seconds, of a stall of one stream for a second.
	stallWeight = 0.02
	// lateOtherPenalty is the cost of a late event in each stream that runs on the
	// server, and lateOwnPenalty that in the stream of the request itself.
	lateOtherPenalty = 25 * time.Millisecond
	lateOwnPenalty   = 300 * time.Millisecond
	// noticeableGap is the time between two events from which on a caller notices
	// the stall, if the service's routes do not state theirs.
	noticeableGap = 300 * time.Millisecond
	// lateThreshold is the part of the gap from which on prefill may make an event
	// late. Prefill that takes a whole gap always does.
	lateThreshold = 0.4
	// lateWindow is the time constant of the moving average of the share of a
	// server's time in which events come late.
	lateWindow = 3 * time.Second
	// maxLateShare bounds that share in the cost of stalls.
	maxLateShare = 0.95
)

// movingAverage is an exponential moving average over time of a value that changes in
// steps.
type movingAverage struct {
	mean  float64 // at the time of the last change
	value float64 // since then
	at    time.Time
}

// set changes the value from now on.
func (a *movingAverage) set(x float64, now time.Time) {
	a.mean = a.get(now)
	a.at = now
	a.value = x
}

// get returns the average at now.
func (a *movingAverage) get(now time.Time) float64 {
	decay := math.Exp(-max(now.Sub(a.at), 0).Seconds() / lateWindow.Seconds())
	return a.mean*decay + a.value*(1-decay)
}

// gap returns the time between two events from which on a caller notices a stall.
func (m *model) gap() time.Duration {
	if m.Pause > 0 {
		return m.Pause
	}
	return noticeableGap
}

// lateProbability returns the probability that an event comes late during prefill of
// unread tokens.
func (m *model) lateProbability(unread int) float64 {
	x := float64(m.PrefillTime(unread)) / float64(m.gap())
	return min(max((x-lateThreshold)/(1-lateThreshold), 0), 1)
}

// stallCost returns the cost of the stalls that follow from sending a request to a
// server under a load: those of running streams during its prefill, and those of its
// own stream on a server on which events come late for a share of the time.
func (m *model) stallCost(l Load, req *Request, unread int, share float64) time.Duration {
	share = min(share, maxLateShare)
	running := float64(l.Running)
	length := scale(m.TokenTime, float64(req.Output))
	stalled := scale(m.PrefillTime(unread), running) + scale(length, share/(1-share))
	others := running * (m.lateProbability(l.Unread+unread) - m.lateProbability(l.Unread))
	own := 1 - math.Exp(-share*float64(length)/float64(m.gap()))
	return scale(stalled, stallWeight) + scale(lateOtherPenalty, others) + scale(lateOwnPenalty, own)
}
