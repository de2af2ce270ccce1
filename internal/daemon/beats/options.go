// Package beats runs the control loop of the membership protocol: it sends and
// answers heartbeats, reads the platform's host list, keeps the client directory up
// to date, and publishes the membership view for the goroutines that serve requests.
package beats

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/core/member"
	"github.com/yuccalb/yuccalb/internal/wire/peerpb"
)

// Transport sends heartbeats. It is called concurrently.
type Transport interface {
	Beat(ctx context.Context, to netip.AddrPort, req *peerpb.BeatRequest) (*peerpb.BeatReply, error)
}

// Lister reads the platform's host list.
type Lister interface {
	Hosts(ctx context.Context) ([]member.ListEntry, error)
}

// Directory replaces the addresses of a data centre in the client directory.
type Directory interface {
	PutDirectory(ctx context.Context, site string, addrs []netip.AddrPort) error
}

// Version describes the configuration that is in force.
type Version struct {
	Number uint64
	Digest string
	// Confirmed is the time since the store was last known to have no version newer
	// than Number; it is negative if it never was.
	Confirmed time.Duration
	// Floor is the lowest version in force on the data centre's slot holders.
	Floor uint64
}

// Versions exchanges configuration versions. Its methods, like those of the
// interfaces below, are called by the control goroutine, one at a time, and must not
// block.
type Versions interface {
	Version() Version
	// ObserveVersion is called for each heartbeat received. digest is empty if the
	// sender omitted it. The heartbeat may have been in transit for any time, so
	// confirmed does not bound the age of the confirmation.
	ObserveVersion(from member.Ident, number uint64, digest string, confirmed time.Duration)
	// ObserveReply is called for each reply to a heartbeat; sent is when that
	// heartbeat was sent. v.Floor is not set. The replier's confirmation is not
	// older than v.Confirmed before sent. v.Digest is empty if it is not known.
	ObserveReply(from member.Ident, v Version, sent time.Time)
}

// Loads exchanges load reports of backend servers. The slices may be shared with
// calls in progress and must not be modified.
type Loads interface {
	// Loads returns the reports to send with the heartbeats of one tick. A full
	// heartbeat goes to a peer that may have no state of this host yet; reports for
	// other heartbeats may omit fields that rarely change.
	Loads(full bool) []*peerpb.Load
	MergeLoads(from member.Ident, loads []*peerpb.Load)
}

// Placements exchanges new prefix placements. The rules for slices are those of
// Loads.
type Placements interface {
	Placements() []*peerpb.Placement
	MergePlacements(from member.Ident, placements []*peerpb.Placement)
}

// Lessor grants leases of this host's slot to peers.
type Lessor interface {
	// Lease returns the lease for the reply to a heartbeat, or nil for none.
	// returned is the sequence number of the lease that the peer has returned.
	Lease(to member.Ident, returned uint64, view *member.View) *peerpb.SlotLease
}

// Lessee receives leases of the slots that peers hold.
type Lessee interface {
	// ReturnedLease returns the sequence number of the peer's lease that this host has
	// returned, or 0 for none.
	ReturnedLease(to netip.AddrPort) uint64
	// AcceptLease receives a lease in the reply to a heartbeat. sent is when that
	// heartbeat was sent; the duration of the lease counts from then.
	AcceptLease(from member.Ident, lease *peerpb.SlotLease, sent time.Time)
}

// Claims exchanges the age of the slot claims that hosts have read from the store.
type Claims interface {
	// Claims returns the time since the claims were last read, negative for never.
	Claims() time.Duration
	ObserveClaims(from member.Ident, age time.Duration)
}

// Capacities summarizes the capacity of the data centre's services for other data
// centres.
type Capacities interface {
	Capacities() []member.Capacity
}

// Pauses is notified that the process was suspended, before any other method is
// called after the pause. A pause can also end within a method or between two calls,
// so holders of leases must still check the clock at each use.
type Pauses interface {
	Paused(length time.Duration)
}

// Options configures a Loop. Transport is required; the other interfaces may be
// nil.
type Options struct {
	Self  member.Ident
	HTTP  netip.AddrPort
	Seeds []netip.AddrPort

	Transport  Transport
	Lister     Lister
	Directory  Directory
	Versions   Versions
	Loads      Loads
	Placements Placements
	Lessor     Lessor
	Lessee     Lessee
	Claims     Claims
	Capacities Capacities
	Pauses     Pauses
	Log        *zap.Logger
}
