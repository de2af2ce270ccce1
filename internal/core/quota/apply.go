package quota

import (
	"maps"
	"slices"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/model"
)

// clone returns a copy that later calls of Apply and SetFloor on s do not change.
func (s *Shares) clone() *Shares {
	c := *s
	c.layouts = slices.Clone(s.layouts)
	c.homes = maps.Clone(s.homes)
	return &c
}

// changedOrgs returns the organisations whose share may differ between s and old.
func (s *Shares) changedOrgs(old *Shares) []string {
	if len(s.layouts)+len(old.layouts) > 0 || old.unseenBelow > old.floor || s.unseenBelow > s.floor {
		var all []string
		if old.snap != nil {
			for i := range old.snap.Config.Orgs {
				all = append(all, old.snap.Config.Orgs[i].Name)
			}
		}
		return all
	}
	names := maps.Clone(s.homes)
	maps.Copy(names, old.homes)
	return slices.Collect(maps.Keys(names))
}

// pendingFloor is a configuration version floor that takes effect at the time at.
type pendingFloor struct {
	floor uint64
	at    time.Duration
}

// Apply activates a configuration snapshot and a version floor: every host
// that holds a slot or belongs to a member list uses at least version floor.
// A version or floor lower than the current one is ignored. Shares grow only
// GrantLength after the floor has risen, because grants that other hosts made
// before their shares shrank may be unspent until then.
func (n *Node) Apply(now time.Time, snap *model.Snapshot, floor uint64) {
	t := n.advanceClock(now)
	if floor > n.highestFloor() {
		n.floors = append(n.floors, pendingFloor{floor, t + padded(GrantLength)})
	}
	n.updateShares(t, func() { n.shares.Apply(snap) })
	n.applyFloors(t)
}

// Restore applies the change history of a peer; see Shares.Restore.
func (n *Node) Restore(now time.Time, history []Change) {
	n.updateShares(n.advanceClock(now), func() { n.shares.Restore(history) })
}

// highestFloor returns the highest floor received, which may still be pending.
func (n *Node) highestFloor() uint64 {
	if len(n.floors) > 0 {
		return n.floors[len(n.floors)-1].floor
	}
	return n.shares.floor
}

// applyFloors activates the pending floors that are due at t.
func (n *Node) applyFloors(t time.Duration) {
	for len(n.floors) > 0 && t >= n.floors[0].at {
		floor := n.floors[0].floor
		n.floors = n.floors[1:]
		n.updateShares(t, func() { n.shares.SetFloor(floor) })
	}
}

// updateShares runs change on the shares and resizes the pools accordingly.
func (n *Node) updateShares(t time.Duration, change func()) {
	old := n.shares.clone()
	n.advanceAll(t)
	change()
	if old.snap == n.shares.snap && old.floor == n.shares.floor && old.unseenBelow == n.shares.unseenBelow {
		return
	}
	for _, name := range n.shares.changedOrgs(old) {
		n.preserveLevel(t, old, name)
	}
	n.resize()
}

// preserveLevel creates the pool of an idle organisation whose share has
// grown, with the level that it had under the old shares. Tokens of the added
// share may have been spent on another slot just before, so they must come
// from refill.
func (n *Node) preserveLevel(t time.Duration, old *Shares, name string) {
	org, before := n.shares.Org(name), old.Org(name)
	if org == nil || before == nil || n.pools[name] != nil || len(n.leases) == 0 {
		return
	}
	grown := old.Slot(before, n.site).less(n.shares.Slot(org, n.site)) || old.Slots(n.site) < n.shares.Slots(n.site)
	if !grown || n.view.owner(name) != n.self {
		return
	}
	n.pools[name] = &pool{at: t, level: n.accumulated(t, old, before), grants: map[uint64]*grant{}}
}
