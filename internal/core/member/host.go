// Package member tracks group membership. From heartbeats it determines the state
// of each host of the local data centre, merges and relays summaries of remote
// data centres, and assigns duties to hosts. It does no I/O: the caller passes
// the time and the received messages, and carries out the returned plans.
//
// A duty is a named task, such as the link to a remote data centre, that one
// healthy host of a data centre performs. Rendezvous hashing over the healthy hosts
// determines which.
package member

import (
	"net/netip"
	"time"
)

const (
	// Tick is the interval between heartbeats.
	Tick = time.Second
	// SuspectAfter is how long no message may arrive from a host before it loses
	// its duties and is not returned to callers. A view may be one tick older.
	SuspectAfter = 3 * time.Second
	// DeadAfter is how long no message may arrive from a host before it counts
	// as failed.
	DeadAfter = 10 * time.Second
	// SummaryAge is how long the summary of a remote data centre is used after
	// it was received.
	SummaryAge = 5 * time.Second
	// PauseAfter is the time between two calls to a Table above which the
	// process counts as paused. It is shorter than SuspectAfter, so a host
	// detects its pause before its peers have assigned its duties to others.
	PauseAfter = 2 * time.Second
	// SettleTime is how long a host that started or was paused takes no duty,
	// so that it receives heartbeats from its peers first.
	SettleTime = 2 * time.Second
)

// State is the state of a host according to its heartbeats and the platform's
// host list.
type State uint8

// States of hosts. StateLive is the state of a healthy host; only healthy hosts get
// duties and are returned to callers.
// StateUnknown is the state of an address from which nothing was received, and
// StateDead that of a host that has failed.
const (
	StateUnknown State = iota
	StateLive
	StateLeaving
	StateSuspect
	StateDead
)

var stateNames = [...]string{"unknown", "live", "leaving", "suspect", "dead"}

// String returns the name of the state in lower case.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "invalid"
}

// Ident identifies one run of one daemon.
type Ident struct {
	// Addr is the address for peers.
	Addr netip.AddrPort
	// Site is the data centre. In messages inside a data centre it may be
	// empty after the first exchange.
	Site string
	// Incarnation is the start time in Unix nanoseconds.
	Incarnation int64
}

// Host is the entry of a host in a view or summary.
type Host struct {
	Addr netip.AddrPort
	// HTTP is the address for callers; invalid when it is not yet known.
	HTTP        netip.AddrPort
	State       State
	Incarnation int64
}
