package member

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Site is the state of a remote data centre according to its latest summary.
type Site struct {
	Name string
	// Received is when the summary was received, on this host's clock.
	Received   time.Time
	Members    []Host
	Capacities []Capacity
	// Version is the configuration version, Floor the lowest version that a
	// slot holder of the data centre uses.
	Version, Floor uint64
}

// View is a snapshot of the membership. It is immutable and safe for concurrent
// use.
type View struct {
	at      time.Time
	self    Ident
	leaving bool
	settled bool
	hosts   []Host // hosts of the local data centre, by address
	nodes   []node // hosts that can have duties, by address
	sites   []Site // by name
}

// At returns when the view was made.
func (v *View) At() time.Time { return v.at }

// Self returns the host that made the view.
func (v *View) Self() Ident { return v.self }

// Leaving reports whether this host has announced that it is leaving, or the
// platform's list marks it as leaving.
func (v *View) Leaving() bool { return v.leaving }

// Valid reports whether the view is recent enough to act on. After a pause of
// the process it is not, until the control loop has made a new one.
func (v *View) Valid(now time.Time) bool { return elapsed(v.at, now) <= PauseAfter }

// Settled reports whether SettleTime has passed since the host started or was
// paused. Until then it has no duties.
func (v *View) Settled() bool { return v.settled }

// Hosts returns this host and all hosts of the data centre from which a message was
// received, in order of address. The result must not be modified.
func (v *View) Hosts() []Host { return v.hosts }

// Sites returns the remote data centres with a current summary in order of name.
// The result must not be modified.
func (v *View) Sites() []Site { return v.sites }

// Site returns a remote data centre; ok is false without a current summary.
func (v *View) Site(name string) (s Site, ok bool) {
	i, ok := slices.BinarySearchFunc(v.sites, name, func(s Site, n string) int {
		if s.Name < n {
			return -1
		}
		if s.Name > n {
			return 1
		}
		return 0
	})
	if !ok {
		return Site{}, false
	}
	return v.sites[i], true
}

// State returns the state of a host of the data centre.
func (v *View) State(addr netip.AddrPort) State {
	i, ok := slices.BinarySearchFunc(v.hosts, addr, func(h Host, a netip.AddrPort) int {
		return h.Addr.Compare(a)
	})
	if !ok {
		return StateUnknown
	}
	return v.hosts[i].State
}

// Members returns the addresses of the hosts that can have duties, in order.
func (v *View) Members() []netip.AddrPort {
	addrs := make([]netip.AddrPort, len(v.nodes))
	for i, n := range v.nodes {
		addrs[i] = n.addr
	}
	return addrs
}

// Order returns the hosts that can have the duty, in order of precedence; the first
// has it.
func (v *View) Order(duty string) []netip.AddrPort { return ordered(duty, v.nodes) }

// Owner returns the host that has the duty, or the zero value if there is none.
// It does not allocate.
func (v *View) Owner(duty string) netip.AddrPort {
	if len(v.nodes) == 0 {
		return netip.AddrPort{}
	}
	h := xxhash.Sum64String(duty)
	best := v.nodes[0]
	for _, n := range v.nodes[1:] {
		if precedes(h, n, best) {
			best = n
		}
	}
	return best.addr
}

// Has reports whether this host has the duty. Two hosts may both have a duty for
// a few seconds while their views differ.
func (v *View) Has(duty string) bool {
	return v.Owner(duty) == v.self.Addr
}

// elapsed returns the time from a to b by the wall clock or by the monotonic
// clock, whichever is longer: the monotonic clock stops while a virtual
// machine is suspended, and the wall clock can be set back.
func elapsed(a, b time.Time) time.Duration {
	return max(b.Sub(a), b.Round(0).Sub(a.Round(0)))
}
