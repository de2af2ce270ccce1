package member

import (
	"net/netip"
	"time"
)

// Heartbeat is the part of a heartbeat that concerns membership.
type Heartbeat struct {
	From Ident
	// HTTP is the sender's address for callers; invalid when unchanged.
	HTTP    netip.AddrPort
	Leaving bool
	// Summaries holds, if the sender is in a remote data centre, the summary of
	// that data centre and possibly one of the receiver's. From a peer in the
	// same data centre it holds summaries of remote data centres and possibly
	// one of the local data centre. A summary of the receiver's data centre only
	// names hosts to contact.
	Summaries []Summary
}

// Reply is the part of the reply to a heartbeat that concerns membership.
type Reply struct {
	From    Ident
	Leaving bool
	// Sent is when the heartbeat was sent, on this host's clock. The reply
	// proves that its sender was running after that time.
	Sent time.Time
	// Full reports whether the heartbeat was sent with Send.Full.
	Full bool
}

// ListEntry is one entry of the platform's host list.
type ListEntry struct {
	// Addr is the address for peers.
	Addr    netip.AddrPort
	Site    string
	Leaving bool
}

// Verdict is the result of processing a received heartbeat or reply.
type Verdict uint8

// Verdicts on heartbeats and replies.
const (
	// Accepted heartbeats prove that their sender is reachable.
	Accepted Verdict = iota
	// FromRemoteSite heartbeats came from a remote data centre; their summaries were
	// processed.
	FromRemoteSite
	// Outdated heartbeats came from an incarnation that has been replaced, or
	// the summary of their data centre is not newer than the one before.
	Outdated
	// Refused heartbeats have no valid sender, or the table had no room for it.
	Refused
)

// Capacity is the total capacity of the servers of one service in one data
// centre.
type Capacity struct {
	Service string
	Servers uint32
	// Free is the number of requests that would start without waiting.
	Free uint32
	// Wait is the expected waiting time of a new request.
	Wait time.Duration
}

// Summary is the state report that one data centre sends to others.
type Summary struct {
	Site string
	// At orders the summaries of one incarnation of one sender.
	At int64
	// Members are the healthy and leaving hosts; nil means that they are the same
	// as in the sender's previous summary of the site.
	Members    []Host
	Capacities []Capacity
	// Version is the configuration version, Floor the lowest version that a
	// slot holder of the data centre uses.
	Version, Floor uint64
}
