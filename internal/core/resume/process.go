package resume

import (
	"slices"
	"sync"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/spec"
)

const (
	// maxListAge is the age from which on a list of servers is too old to tell to which process a
	// new connection leads: servers may have started again, at another version, under the same
	// identifier. Lists are read each second or two unless the host stands still or can't reach
	// the store.
	maxListAge = 3 * time.Second
	// registerTime is how long a process may serve before the store holds its entry.
	registerTime = 2 * time.Second
)

// Outdated reports whether a list of servers that was confirmed to be current an age ago tells
// nothing about new connections.
func Outdated(age time.Duration) bool { return age > maxListAge }

// OpenedUntil returns the time up to which a connection to a server must have been opened to lead to
// the process that the list names. The list was confirmed last at confirmed, 0 if it never was.
// A connection ends with its process, so that an old list holds for the connections
// that were open when it was confirmed.
func OpenedUntil(confirmed, now time.Duration) time.Duration {
	switch {
	case confirmed == 0:
		return 0
	case Outdated(now - confirmed):
		return confirmed - registerTime
	}
	return confirmed + maxListAge
}

// Lists tells by which lists of servers processes may be told apart. The first lists after an outage of the
// store may still name processes that ended in it. Its zero value is ready to use. It is safe for
// concurrent use.
type Lists struct {
	mu      sync.Mutex
	last    time.Duration // when the list was last confirmed
	servers []spec.Server // of that list
	// before is when the list was last confirmed before the last time without lists, with its servers, and
	// after when it was first confirmed after that. All are zero if there was none.
	before, after time.Duration
	former        []spec.Server
}

// Update takes over the list of servers, which was last confirmed at a time.
func (l *Lists) Update(servers []spec.Server, at time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.last != 0 && Outdated(at-l.last) {
		if !l.unsettled() {
			l.before, l.former = l.last, l.servers
		}
		l.after = at
	}
	if at >= l.last {
		l.last, l.servers = at, servers
	}
}

// unsettled reports whether processes may not have been able to register since the last time without lists.
func (l *Lists) unsettled() bool { return l.after != 0 && l.last-l.after < registerTime }

// Confirmed returns when it was last confirmed that a process is the one registered for its server, if the
// list that names it was last confirmed at a time.
func (l *Lists) Confirmed(id string, born int64, at time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unsettled() && slices.ContainsFunc(l.former, func(s spec.Server) bool { return s.ID == id && s.Born == born }) {
		return l.before
	}
	return at
}
