package fleet

import (
	"maps"
	"net/netip"
	"sync"
	"time"
)

// markTTL is how long a host gets no requests to a service after it has answered that it
// does not reach the servers: until its own report, or that of its region, says so.
const markTTL = time.Second

// maxMarks bounds the marks.
const maxMarks = 1024

// mark is a host that does not reach the servers of a service.
type mark struct {
	host    netip.AddrPort
	service string
}

// marks are hosts that have answered that they do not reach the servers of a service. They
// are safe for concurrent use; the zero value is ready.
type marks struct {
	mu    sync.Mutex
	until map[mark]time.Time
}

// add adds a mark.
func (m *marks) add(k mark, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.until == nil {
		m.until = make(map[mark]time.Time)
	}
	if len(m.until) >= maxMarks {
		maps.DeleteFunc(m.until, func(_ mark, until time.Time) bool { return now.After(until) })
	}
	if len(m.until) < maxMarks {
		m.until[k] = now.Add(markTTL)
	}
}

// has reports whether there is a mark.
func (m *marks) has(k mark, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now.Before(m.until[k])
}

// MarkUnreached records that another host has answered that it does not reach the servers of
// a service.
func (f *Fleet) MarkUnreached(host netip.AddrPort, service string) {
	f.marks.add(mark{host, service}, time.Now())
}
