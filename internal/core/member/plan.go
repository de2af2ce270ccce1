package member

import (
	"net/netip"
	"time"
)

// Send is one heartbeat to send within the data centre.
type Send struct {
	To netip.AddrPort
	// Full is set until the receiver's current incarnation has answered a full
	// heartbeat that was sent after the last change of members, and at intervals
	// after that. A full heartbeat carries the site, the address for callers,
	// the digest of the configuration and Plan.Full; others omit these and carry
	// Plan.Brief.
	Full bool
}

// Link is one heartbeat to send to a remote data centre. It carries Plan.Local and,
// unless Hint.Members is nil, Hint.
type Link struct {
	Site string
	To   netip.AddrPort
	// Hint names hosts of the remote data centre that its last summary does not
	// contain, so that hosts there whose seeds are in other data centres
	// discover each other without the host list.
	Hint Summary
}

// Plan is what the caller has to do after a tick. The slices must not be
// modified.
type Plan struct {
	// At is the time of the tick; it goes into Reply.Sent.
	At         time.Time
	Heartbeats []Send
	Links      []Link
	// Local is the summary of the local data centre for remote ones; the caller
	// adds Capacities, Version and Floor.
	Local Summary
	// Full and Brief are the summaries in full and in other heartbeats.
	Full, Brief []Summary
	// Paused is how long the process was paused, or 0. The caller has to
	// revalidate leases and grants before it uses them.
	Paused time.Duration
	// View is the view to publish.
	View *View
}
