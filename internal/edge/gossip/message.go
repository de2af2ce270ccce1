// Package gossip exchanges the state of hosts over UDP. Each datagram holds
// the whole state of its sender, so that a lost one is made good by the next.
package gossip

import (
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/yuccalb/yuccalb/internal/core/eras"
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
	// Config is the version of the configuration in force, and Proof the
	// time since it was known to be the newest.
	Config eras.Version  `cbor:"5,keyasint"`
	Proof  time.Duration `cbor:"6,keyasint"`
	// Digest is that of the entries of the store, List the revision at which
	// they were read, Listed the time since they were known to be current.
	Digest uint64        `cbor:"7,keyasint"`
	List   eras.Revision `cbor:"8,keyasint"`
	Listed time.Duration `cbor:"9,keyasint"`
	// Era is the store's, and EraAge the time since it is known.
	Era    int64         `cbor:"10,keyasint,omitempty"`
	EraAge time.Duration `cbor:"16,keyasint,omitempty"`
	// Loads are the host's own requests by service and server, Placed the
	// prefixes that it placed lately, Spent what it has admitted since its
	// start by organisation. They go to hosts of its region only.
	Loads  map[string]map[string]pick.Load `cbor:"11,keyasint,omitempty"`
	Placed map[string][]pick.Placement     `cbor:"12,keyasint,omitempty"`
	Spent  map[string]float64              `cbor:"13,keyasint,omitempty"`
	// Departed are the servers by service that have said in an answer that
	// they leave. They go to hosts of its region only.
	Departed map[string][]pick.Process `cbor:"14,keyasint,omitempty"`
	// Regions are reports: of its own region to hosts of others, and of others
	// to hosts of its own.
	Regions []Region `cbor:"15,keyasint,omitempty"`
}

// Region is what one host sums up of its region for others.
type Region struct {
	Name string `cbor:"1,keyasint"`
	// Age is the time since it was summed up.
	Age     time.Duration `cbor:"2,keyasint"`
	Members []Member      `cbor:"3,keyasint"`
	// Services is the state of the services, Held the parts of prompts that
	// their servers cache.
	Services map[string]pick.Summary `cbor:"4,keyasint,omitempty"`
	Held     map[string][]uint32     `cbor:"5,keyasint,omitempty"`
	// Spent is what the members have admitted by organisation. Run changes
	// with the processes that it is the sum of.
	Spent map[string]float64 `cbor:"6,keyasint,omitempty"`
	Run   uint64             `cbor:"7,keyasint"`
	// Heard is the age of the last report of each other region.
	Heard map[string]time.Duration `cbor:"8,keyasint,omitempty"`
}

// Member is a host in a report of its region.
type Member struct {
	Host    spec.Host `cbor:"1,keyasint"`
	Leaving bool      `cbor:"2,keyasint,omitempty"`
	Ready   bool      `cbor:"3,keyasint,omitempty"`
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
	// Era is when the peer knew of the era of the store at the latest, on the
	// same clock.
	Era time.Duration
}

// Addr returns the address of the peer for other hosts.
func (p Peer) Addr() netip.AddrPort { return p.State.Host.Peer }
