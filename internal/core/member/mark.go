package member

import "time"

// listLag is the assumed maximum lag of the platform's host list. If a list marks
// an address as leaving that was not listed as live before, the mark does not
// apply to a process that started there less than listLag before, but to its
// predecessor.
const listLag = 2 * time.Minute

// listMark is the state of an address in the platform's host list.
type listMark struct {
	live    bool
	leaving bool
	// since is the newest incarnation that leaving applies to, in Unix
	// nanoseconds.
	since int64
}

// set records the entry of a list that was read at now.
func (m *listMark) set(leaving bool, now time.Time) {
	if leaving && !m.leaving {
		m.since = now.UnixNano()
		if !m.live {
			m.since -= int64(listLag)
		}
	}
	m.live, m.leaving = !leaving, leaving
}

// clear records that the list does not contain the address.
func (m *listMark) clear() { m.live, m.leaving = false, false }

// marksLeaving reports whether the list marks the incarnation as leaving.
func (m *listMark) marksLeaving(incarnation int64) bool { return m.leaving && incarnation <= m.since }
