// Package gossip exchanges the state of hosts over UDP. Each datagram holds
// the whole state of its sender, so that a lost one is made good by the next.
package gossip

import (
	"encoding/json"
	"net/netip"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/pick"
	"github.com/yuccalb/yuccalb/internal/core/spec"
)

// State is what a host tells the others of itself.
type State struct {
	Host spec.Host `json:"host"`
	// Boot is the start of the process in Unix nanoseconds.
	Boot int64 `json:"boot"`
	// Leaving hosts stop soon. Ready hosts can take callers.
	Leaving bool `json:"leaving,omitempty"`
	Ready   bool `json:"ready,omitempty"`
	// Config is the revision of the configuration in force, and Proof the
	// time since the store was last asked for it.
	Config int64         `json:"config"`
	Proof  time.Duration `json:"proof"`
	// Services is the state of the services in the region of the host.
	Services map[string]pick.Summary `json:"services,omitempty"`
	// Loads are the host's own requests by service and server, Placed the
	// prefixes that it placed lately. Both go to hosts of its region only.
	Loads  map[string]map[string]pick.Load `json:"loads,omitempty"`
	Placed map[string][]pick.Placement     `json:"placed,omitempty"`
	// Spent is what the host has admitted since its start by organisation.
	Spent map[string]float64 `json:"spent,omitempty"`
}

// frame is one datagram. Times are on the clock of the host that took them.
type frame struct {
	Sent time.Duration `json:"sent"`
	// Echo is the newest Sent of the receiver and Held the time since it
	// arrived: the frame was sent at Echo+Held on the receiver's clock, or
	// later. Boot is the start of the receiver's process at that time: the
	// clock starts anew when a host has been without power.
	Echo  time.Duration   `json:"echo,omitempty"`
	Held  time.Duration   `json:"held,omitempty"`
	Boot  int64           `json:"boot,omitempty"`
	State json.RawMessage `json:"state"`
}

// Peer is the last that was heard of another host.
type Peer struct {
	State State
	// Heard is when the state arrived, on the steady clock.
	Heard time.Time
	// Proof is a time on the own clock of package clock at which the peer's
	// configuration was current, 0 if that can't be told.
	Proof time.Duration
}

// Addr returns the address of the peer for other hosts.
func (p Peer) Addr() netip.AddrPort { return p.State.Host.Peer }
