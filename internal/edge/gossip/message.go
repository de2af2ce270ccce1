// Package gossip exchanges the state of hosts over UDP. Each datagram holds the
// complete state of its sender, so that the next one makes up for a lost one.
package gossip

import (
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/yuccalb/yuccalb/internal/core/eras"
	"github.com/yuccalb/yuccalb/internal/core/pick"
	"github.com/yuccalb/yuccalb/internal/core/poison"
	"github.com/yuccalb/yuccalb/internal/core/spec"
)

// State is the state that a host sends to its peers.
type State struct {
	Host spec.Host `cbor:"1,keyasint"`
	// ProcessStart is the start of the process in Unix nanoseconds.
	ProcessStart int64 `cbor:"2,keyasint"`
	// Leaving hosts stop soon. Ready hosts can serve callers.
	Leaving bool `cbor:"3,keyasint,omitempty"`
	Ready   bool `cbor:"4,keyasint,omitempty"`
	// Config is the version of the configuration in force, and ConfigAge the
	// time since it was confirmed to be the newest.
	Config    eras.Version  `cbor:"5,keyasint"`
	ConfigAge time.Duration `cbor:"6,keyasint"`
	// Digest is the hash of the entries of the store, EntriesRev the revision at
	// which they were read, and EntriesAge the time since they were confirmed to be
	// current.
	Digest     uint64        `cbor:"7,keyasint"`
	EntriesRev eras.Revision `cbor:"8,keyasint"`
	EntriesAge time.Duration `cbor:"9,keyasint"`
	// Era is the era of the store, and EraAge the time since this host, or the one
	// from which it received the era, first observed it.
	Era    int64         `cbor:"10,keyasint,omitempty"`
	EraAge time.Duration `cbor:"16,keyasint,omitempty"`
	// Loads are the host's requests in progress by service and server, Placements
	// the prompt prefixes that it recently sent to servers, and Admitted the
	// tokens that it has admitted since its start by organisation. They are
	// sent to hosts of the local region only.
	Loads      map[string]map[string]pick.Load `cbor:"11,keyasint,omitempty"`
	Placements map[string][]pick.Placement     `cbor:"12,keyasint,omitempty"`
	Admitted   map[string]float64              `cbor:"13,keyasint,omitempty"`
	// LeavingProcesses are the server processes by service that have announced in a
	// response that they leave. They are sent to hosts of the local region only.
	LeavingProcesses map[string][]pick.Process `cbor:"14,keyasint,omitempty"`
	// Limits are the limits by service that servers have named in responses to this
	// host. They are sent to hosts of the local region only.
	Limits map[string][]pick.ServerLimit `cbor:"17,keyasint,omitempty"`
	// RefusalLimits are the refusal limits by service that servers have stated in
	// responses to this host. They are sent to hosts of the local region only.
	RefusalLimits map[string][]pick.RefusalLimit `cbor:"24,keyasint,omitempty"`
	// Rooms is the host's room by service at servers with refusal limits. It is sent to
	// hosts of the local region only.
	Rooms map[string]pick.HostRoom `cbor:"33,keyasint,omitempty"`
	// Poison is what the host knows of parts of prompts that make servers crash, by
	// service. It is sent to hosts of the local region only.
	Poison map[string]poison.Report `cbor:"18,keyasint,omitempty"`
	// Unreached are the services whose servers the host does not reach, and CutOff is
	// set if it reaches no server of its region.
	Unreached []string `cbor:"31,keyasint,omitempty"`
	CutOff    bool     `cbor:"32,keyasint,omitempty"`
	// Regions are reports of regions: that of the local region is sent to remote
	// hosts, and those of remote regions are forwarded to local hosts.
	Regions []Region `cbor:"15,keyasint,omitempty"`
}

// delay adds to the ages of statements about limits, of which the newest counts, how long ago the state may
// have been sent: a host that stood still reads frames that have waited for it.
func (s *State) delay(d time.Duration) {
	for _, list := range s.Limits {
		for i := range list {
			list[i].Age += d
		}
	}
	for _, list := range s.RefusalLimits {
		for i := range list {
			list[i].Age += d
		}
	}
}

// Region is a report of the state of a region, which one of its hosts sends to
// other regions.
type Region struct {
	Name string `cbor:"1,keyasint"`
	// Age is the time since the report was created.
	Age     time.Duration `cbor:"2,keyasint"`
	Members []Member      `cbor:"3,keyasint"`
	// Services is the state of the services by name, and CachedParts the short
	// keys of the prompt parts that their servers are expected to cache.
	Services    map[string]pick.Summary `cbor:"4,keyasint,omitempty"`
	CachedParts map[string][]uint32     `cbor:"5,keyasint,omitempty"`
	// CachedWaits holds the waits of CachedParts in the same order, see pick.CachedPart.
	// Earlier versions do not report them.
	CachedWaits map[string][]byte `cbor:"10,keyasint,omitempty"`
	// Admitted is the tokens that the members have admitted by organisation. Run
	// identifies the processes whose totals are included.
	Admitted map[string]float64 `cbor:"6,keyasint,omitempty"`
	Run      uint64             `cbor:"7,keyasint"`
	// Poison is what the members know of parts of prompts that make servers crash, by
	// service. Its ages are those at the creation of the report.
	Poison map[string]poison.Report `cbor:"9,keyasint,omitempty"`
	// ReportAges is the age of the last report of each remote region.
	ReportAges map[string]time.Duration `cbor:"8,keyasint,omitempty"`
}

// Member is a host in a report of its region.
type Member struct {
	Host    spec.Host `cbor:"1,keyasint"`
	Leaving bool      `cbor:"2,keyasint,omitempty"`
	Ready   bool      `cbor:"3,keyasint,omitempty"`
	// Unreached and CutOff are those of State.
	Unreached []string `cbor:"4,keyasint,omitempty"`
	CutOff    bool     `cbor:"5,keyasint,omitempty"`
}

// frame is one datagram. Each time is on the clock of the host that measured it.
type frame struct {
	Sent time.Duration `cbor:"1,keyasint"`
	// Echo is the Sent of the last frame from the receiver, and EchoAge the
	// time since it arrived: this frame was sent at Echo+EchoAge on the receiver's
	// clock, or later. ProcessStart is that of the receiver when it sent the
	// echoed frame: echoes to an earlier process are ignored, as the clock restarts
	// at zero when a host has lost power.
	Echo         time.Duration   `cbor:"2,keyasint,omitempty"`
	EchoAge      time.Duration   `cbor:"3,keyasint,omitempty"`
	ProcessStart int64           `cbor:"4,keyasint,omitempty"`
	State        cbor.RawMessage `cbor:"5,keyasint"`
}

// Peer is the last state received from another host.
type Peer struct {
	State State
	// Received is when the state arrived. It has a monotonic clock reading.
	Received time.Time
	// ConfigConfirmed and EntriesConfirmed are the times, on the local clock of
	// package clock, at which the peer's configuration and entries were last
	// confirmed to be current, or 0 if unknown.
	ConfigConfirmed, EntriesConfirmed time.Duration
	// Echo is the time at which this host sent the last frame that the peer is known to
	// have received, on the same clock, or 0 if unknown.
	Echo time.Duration
	// EraAt is the time that corresponds to State.EraAge, on the same clock. It is
	// late by the transit time of the frame.
	EraAt time.Duration
}

// Addr returns the address at which other hosts reach the peer.
func (p Peer) Addr() netip.AddrPort { return p.State.Host.Peer }
