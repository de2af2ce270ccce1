// Package gossip exchanges the state of hosts over UDP. Each datagram holds
// the whole state of its sender, so that a lost one is made good by the next.
package gossip

import (
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/yuccalb/yuccalb/internal/core/pick"
	"github.com/yuccalb/yuccalb/internal/core/spec"
)

// State is what a host tells the others of itself.
type State struct {
	Host spec.Host `cbor:"1,keyasint"`
	// Boot is the start of the process in Unix nanoseconds.
	Boot int64 `cbor:"2,keyasint"`
	// Leaving hosts stop soon. Ready hosts can take callers.
	Leaving bool `cbor:"3,keyasint,omitempty"`
	Ready   bool `cbor:"4,keyasint,omitempty"`
	// Config is the revision of the configuration in force, and Proof the
	// time since it was known to be the newest.
	Config int64         `cbor:"5,keyasint"`
	Proof  time.Duration `cbor:"6,keyasint"`
	// Digest is that of the entries of the store, List the revision at which
	// they were read, Listed the time since they were known to be current.
	Digest uint64        `cbor:"7,keyasint"`
	List   int64         `cbor:"8,keyasint"`
	Listed time.Duration `cbor:"9,keyasint"`
	// Services is the state of the services in the region of the host.
	Services map[string]pick.Summary `cbor:"10,keyasint,omitempty"`
	// Loads are the host's own requests by service and server, Placed the
	// prefixes that it placed lately. Both go to hosts of its region only.
	Loads  map[string]map[string]pick.Load `cbor:"11,keyasint,omitempty"`
	Placed map[string][]pick.Placement     `cbor:"12,keyasint,omitempty"`
	// Held are the prefixes that the region's servers cache, by service. One
	// host of each region tells them.
	Held map[string][]uint32 `cbor:"14,keyasint,omitempty"`
	// Spent is what the host has admitted since its start by organisation.
	Spent map[string]float64 `cbor:"13,keyasint,omitempty"`
}

// frame is one datagram. Times are on the clock of the host that took them.
type frame struct {
	Sent time.Duration `cbor:"1,keyasint"`
	// Echo is the newest Sent of the receiver and Held the time since it
	// arrived: the frame was sent at Echo+Held on the receiver's clock, or
	// later. Boot is the start of the receiver's process at that time: the
	// clock starts anew when a host has been without power.
	Echo  time.Duration   `cbor:"2,keyasint,omitempty"`
	Held  time.Duration   `cbor:"3,keyasint,omitempty"`
	Boot  int64           `cbor:"4,keyasint,omitempty"`
	State cbor.RawMessage `cbor:"5,keyasint"`
}

// Peer is the last that was heard of another host.
type Peer struct {
	State State
	// Heard is when the state arrived, on the steady clock.
	Heard time.Time
	// Proof and Listed are times on the own clock of package clock at which
	// the peer's configuration and entries were current, 0 if that can't be
	// told.
	Proof, Listed time.Duration
}

// Addr returns the address of the peer for other hosts.
func (p Peer) Addr() netip.AddrPort { return p.State.Host.Peer }
