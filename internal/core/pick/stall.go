package pick

import (
	"math"
	"time"
)

// While an engine reads prompts, its streams hardly move. The weights say what
// that counts against waiting for a first byte.
const (
	// stallWeight is what a second for which one stream stands still counts.
	stallWeight = 0.02
	// lateOther is what an event that comes late counts in each stream that
	// runs on the server, and lateOwn in the request's own stream.
	lateOther = 25 * time.Millisecond
	lateOwn   = 300 * time.Millisecond
	// pause is the time between two events beyond which a caller notices.
	pause = 300 * time.Millisecond
	// An event comes late if reading takes longer than a pause, and may do so
	// from earlyPauses of one on.
	earlyPauses = 0.4
	// readingSpan is the time over which the share of a server's time is
	// averaged in which events come late.
	readingSpan = 3 * time.Second
	// mostReading bounds that share.
	mostReading = 0.95
)

// share is the mean of a value between 0 and 1 over the last seconds.
type share struct {
	mean, now float64
	at        time.Time
}

// set records the value from now on.
func (s *share) set(x float64, now time.Time) {
	s.mean = s.get(now)
	s.at = now
	s.now = x
}

// get returns the mean up to now.
func (s *share) get(now time.Time) float64 {
	decay := math.Exp(-max(now.Sub(s.at), 0).Seconds() / readingSpan.Seconds())
	return s.mean*decay + s.now*(1-decay)
}

// late returns how likely an event comes late while tokens of prompts are read.
func (m *model) late(unread int) float64 {
	x := float64(m.ReadTime(unread)) / float64(pause)
	return min(max((x-earlyPauses)/(1-earlyPauses), 0), 1)
}

// stall rates what sending a request to a server under a load means for
// streams: for those that run there while its prompt is read, and for its own
// one on a server on which events come late for a share of the time.
func (m *model) stall(l Load, req *Request, unread int, share float64) time.Duration {
	share = min(share, mostReading)
	running := float64(l.Running)
	length := scale(m.Token, float64(req.Output))
	still := scale(m.ReadTime(unread), running) + scale(length, share/(1-share))
	others := running * (m.late(l.Unread+unread) - m.late(l.Unread))
	own := 1 - math.Exp(-share*float64(length)/float64(pause))
	return scale(still, stallWeight) + scale(lateOther, others) + scale(lateOwn, own)
}
