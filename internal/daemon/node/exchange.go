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

// exchange is what heartbeats carry besides membership. It implements the
// interfaces that package beats declares.
type exchange struct {
	n    *Node
	loop atomic.Pointer[beats.Loop] // nil while it starts

	mu       sync.Mutex
	loads    []target.Load // polled by this host
	versions map[netip.AddrPort]uint64
	floors   map[string]uint64 // last floor heard of each other data centre
}

func newExchange(n *Node) *exchange {
	return &exchange{n: n, versions: make(map[netip.AddrPort]uint64), floors: make(map[string]uint64)}
}

// Version implements beats.Versions.
func (e *exchange) Version() beats.Version {
	v := beats.Version{Confirmed: -1, Floor: e.siteFloor()}
	var at time.Time
	if v.Number, v.Digest, at = e.n.config.fetch.Confirmation(); !at.IsZero() {
		v.Confirmed = time.Since(at)
	}
	return v
}

// ObserveVersion implements beats.Versions.
func (e *exchange) ObserveVersion(from member.Ident, number uint64, _ string, _ time.Duration) {
	e.note(from, number)
	e.n.config.fetch.Heard(from.Addr, number)
}

// ObserveReply implements beats.Versions.
func (e *exchange) ObserveReply(from member.Ident, v beats.Version, sent time.Time) {
	e.note(from, v.Number)
	e.n.config.fetch.Replied(from.Addr, sent, v.Number, v.Digest, v.Confirmed)
}

// note keeps the version of a host.
func (e *exchange) note(from member.Ident, number uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.versions[from.Addr] = number // lower again after a restart
}

// versionOf returns the version that a host of the data centre last reported.
func (e *exchange) versionOf(addr netip.AddrPort) uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.versions[addr]
}

// siteFloor returns the lowest version of the hosts of the data centre that
// hold a slot or are known; 0 when a holder was never heard.
func (e *exchange) siteFloor() uint64 {
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

// floor returns the lowest version in use anywhere: of the own data centre and,
// as last heard, of all others in the configuration.
func (e *exchange) floor() uint64 {
	floor := e.siteFloor()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, site := range e.n.beats.View().Sites() {
		e.floors[site.Name] = max(site.Floor, e.floors[site.Name])
	}
	for _, site := range e.n.config.Current().Config.Sites {
		if site.Name != e.n.o.Settings.Site {
			floor = min(floor, e.floors[site.Name])
		}
	}
	return floor
}

// Loads implements beats.Loads. Only full heartbeats carry what rarely changes:
// 18 hosts with 180 servers otherwise receive 2.8 KB/s more each.
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
			m.Service, m.Limit, m.Prefill = l.Service, uint32(l.Limit), uint32(l.Prefill)
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
			continue // of a newer version of the protocol
		}
		loads = append(loads, target.Load{Service: m.Service, Load: route.Load{
			Addr: addr, Queued: int(m.Queued), Running: int(m.Running), Limit: int(m.Limit),
			Pending: int(m.Pending), Prefill: int(m.Prefill), Leaving: m.Leaving, Down: m.Down,
			At: now.Add(-time.Duration(m.Age)),
		}})
	}
	e.n.targets.Report(loads)
}

// maxPlacements bounds the placements in the heartbeats of one tick: 18 bytes
// each to 17 peers must stay far below the 19 KB/s of a host.
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
			continue // of a newer version of the protocol
		}
		placed = append(placed, route.Placement{Addr: addr, Digest: p.Digest, Tokens: int(p.Tokens)})
	}
	e.n.targets.Placed(placed, time.Now())
}

// Lease implements beats.Lessor.
func (e *exchange) Lease(to member.Ident, returned uint64, _ *member.View) *peerpb.SlotLease {
	return e.n.limiter.Lease(to.Addr, returned)
}

// Returned implements beats.Lessee.
func (e *exchange) Returned(to netip.AddrPort) uint64 { return e.n.limiter.Returned(to) }

// TakeLease implements beats.Lessee.
func (e *exchange) TakeLease(from member.Ident, lease *peerpb.SlotLease, sent time.Time) {
	e.n.limiter.TakeLease(from.Addr, sent, lease)
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

// ObserveClaims implements beats.Claims. The age of a peer's read does not say
// that the own claim was intact, so it is not used.
func (e *exchange) ObserveClaims(member.Ident, time.Duration) {}

// Paused implements beats.Pauses. Leases and grants are checked against the
// clock at each use, so nothing has to be undone.
func (e *exchange) Paused(length time.Duration) {
	e.n.log.Warn("the process was paused", zap.Duration("length", length))
}
