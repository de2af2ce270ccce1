package node

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/core/member"
	"github.com/yuccalb/yuccalb/internal/core/route"
	"github.com/yuccalb/yuccalb/internal/daemon/beats"
	"github.com/yuccalb/yuccalb/internal/daemon/target"
	"github.com/yuccalb/yuccalb/internal/wire/peerpb"
)

// exchange provides and receives the payload of heartbeats besides membership. It
// implements the interfaces that package beats declares.
type exchange struct {
	n    *Node
	loop atomic.Pointer[beats.Loop] // nil until the loop has started

	mu           sync.Mutex
	loads        []target.Load             // results of this host's last poll
	versions     map[netip.AddrPort]uint64 // last version received from each host
	remoteFloors map[string]uint64         // highest floor received from each other data centre
}

func newExchange(n *Node) *exchange {
	return &exchange{n: n, versions: make(map[netip.AddrPort]uint64), remoteFloors: make(map[string]uint64)}
}

// Version implements beats.Versions.
func (e *exchange) Version() beats.Version {
	v := beats.Version{Confirmed: -1, Floor: e.localFloor()}
	var at time.Time
	if v.Number, v.Digest, at = e.n.config.fetch.Confirmation(); !at.IsZero() {
		v.Confirmed = time.Since(at)
	}
	return v
}

// ObserveVersion implements beats.Versions.
func (e *exchange) ObserveVersion(from member.Ident, number uint64, _ string, _ time.Duration) {
	e.recordVersion(from, number)
	e.n.config.fetch.SetPeerVersion(from.Addr, number)
}

// ObserveReply implements beats.Versions.
func (e *exchange) ObserveReply(from member.Ident, v beats.Version, sent time.Time) {
	e.recordVersion(from, v.Number)
	e.n.config.fetch.RecordReply(from.Addr, sent, v.Number, v.Digest, v.Confirmed)
}

// recordVersion records the version that a host has reported.
func (e *exchange) recordVersion(from member.Ident, number uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.versions[from.Addr] = number // may be lower than before, after a restart
}

// versionOf returns the version that a host of the data centre last reported, or 0.
func (e *exchange) versionOf(addr netip.AddrPort) uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.versions[addr]
}

// localFloor returns the lowest configuration version of the hosts of this data centre
// that hold a slot or are members. It is 0 if one of them has not reported a version.
func (e *exchange) localFloor() uint64 {
	loop, claims := e.loop.Load(), e.n.claims.Load()
	if loop == nil || claims == nil {
		return 0
	}
	floor := e.n.config.Current().Version
	self := e.n.o.Settings.Peer.AddrPort
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, h := range claims.Holders() {
		if h.Addr != self {
			floor = min(floor, e.versions[h.Addr])
		}
	}
	for _, addr := range loop.View().Members() {
		if addr != self {
			floor = min(floor, e.versions[addr])
		}
	}
	return floor
}

// globalFloor returns the lowest version in use in any data centre: the local floor and
// the last floors received from all other data centres in the configuration.
func (e *exchange) globalFloor() uint64 {
	floor := e.localFloor()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, site := range e.n.beats.View().Sites() {
		e.remoteFloors[site.Name] = max(site.Floor, e.remoteFloors[site.Name])
	}
	for _, site := range e.n.config.Current().Config.Sites {
		if site.Name != e.n.o.Settings.Site {
			floor = min(floor, e.remoteFloors[site.Name])
		}
	}
	return floor
}

// Loads implements beats.Loads. Only full heartbeats carry the fields that rarely
// change: in other heartbeats they would add 2.8 KB/s to what each host receives, with
// 18 hosts and 180 servers.
func (e *exchange) Loads(full bool) []*peerpb.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]*peerpb.Load, 0, len(e.loads))
	for _, l := range e.loads {
		m := &peerpb.Load{
			Addr: l.Addr.String(), Queued: uint32(l.Queued), Running: uint32(l.Running), Pending: uint32(l.Pending),
			Leaving: l.Leaving, Down: l.Down, Age: int64(time.Since(l.At)),
		}
		if full {
			m.Service, m.Limit, m.Prefill = l.Service, uint32(l.BatchSize), uint32(l.Prefill)
		}
		out = append(out, m)
	}
	return out
}

// MergeLoads implements beats.Loads.
func (e *exchange) MergeLoads(_ member.Ident, in []*peerpb.Load) {
	now := time.Now()
	loads := make([]target.Load, 0, len(in))
	for _, m := range in {
		addr, err := netip.ParseAddrPort(m.Addr)
		if err != nil {
			continue // sent by a newer version of the protocol
		}
		loads = append(loads, target.Load{Service: m.Service, Load: route.Load{
			Addr: addr, Queued: int(m.Queued), Running: int(m.Running), BatchSize: int(m.Limit),
			Pending: int(m.Pending), Prefill: int(m.Prefill), Leaving: m.Leaving, Down: m.Down,
			At: now.Add(-time.Duration(m.Age)),
		}})
	}
	e.n.targets.RecordLoads(loads)
}

// maxPlacements bounds the placements in the heartbeats of one tick. At 18 bytes each to
// 17 peers, they must stay far below the 19 KB/s of a host's heartbeat traffic.
const maxPlacements = 32

// Placements implements beats.Placements.
func (e *exchange) Placements() []*peerpb.Placement {
	placed := e.n.targets.Placements(maxPlacements)
	out := make([]*peerpb.Placement, 0, len(placed))
	for _, p := range placed {
		out = append(out, &peerpb.Placement{Addr: p.Addr.String(), Digest: p.Digest, Tokens: uint32(p.Tokens)})
	}
	return out
}

// MergePlacements implements beats.Placements.
func (e *exchange) MergePlacements(_ member.Ident, in []*peerpb.Placement) {
	placed := make([]route.Placement, 0, len(in))
	for _, p := range in {
		addr, err := netip.ParseAddrPort(p.Addr)
		if err != nil {
			continue // sent by a newer version of the protocol
		}
		placed = append(placed, route.Placement{Addr: addr, Digest: p.Digest, Tokens: int(p.Tokens)})
	}
	e.n.targets.RecordPlacements(placed, time.Now())
}

// Lease implements beats.Lessor.
func (e *exchange) Lease(to member.Ident, returned uint64, _ *member.View) *peerpb.SlotLease {
	return e.n.limiter.Lease(to.Addr, returned)
}

// ReturnedLease implements beats.Lessee.
func (e *exchange) ReturnedLease(to netip.AddrPort) uint64 { return e.n.limiter.ReturnedLease(to) }

// AcceptLease implements beats.Lessee.
func (e *exchange) AcceptLease(from member.Ident, lease *peerpb.SlotLease, sent time.Time) {
	e.n.limiter.AcceptLease(from.Addr, sent, lease)
}

// Capacities implements beats.Capacities.
func (e *exchange) Capacities() []member.Capacity { return e.n.targets.Capacities() }

// Claims implements beats.Claims.
func (e *exchange) Claims() time.Duration {
	if claims := e.n.claims.Load(); claims != nil {
		return claims.Age()
	}
	return -1
}

// ObserveClaims implements beats.Claims. It ignores the age of a peer's read: that read
// does not show that the claim of this host was still valid.
func (e *exchange) ObserveClaims(member.Ident, time.Duration) {}

// Paused implements beats.Pauses. Nothing has to be invalidated, because leases and
// grants are checked against the clock at each use.
func (e *exchange) Paused(length time.Duration) {
	e.n.log.Warn("the process was paused", zap.Duration("length", length))
}
