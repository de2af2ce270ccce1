package resume

import "time"

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
