package fence

import "time"

// Spacer enforces a minimum interval between loads from the weight store.
type Spacer struct {
	gap  time.Duration
	next time.Time
}

// NewSpacer returns a spacer with the given minimum interval between two loads.
func NewSpacer(gap time.Duration) *Spacer { return &Spacer{gap: gap} }

// Next returns the earliest time of the next load.
func (s *Spacer) Next() time.Time { return s.next }

// RecordLoad records a load at now.
func (s *Spacer) RecordLoad(now time.Time) { s.Postpone(now.Add(s.gap)) }

// Postpone postpones the next load until t, for example because of the
// Retry-After header of the weight store. It never makes the next load earlier.
func (s *Spacer) Postpone(t time.Time) {
	if t.After(s.next) {
		s.next = t
	}
}
