package node

import (
	"slices"
	"sync"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/model"
	"github.com/yuccalb/yuccalb/internal/core/quota"
	"github.com/yuccalb/yuccalb/internal/wire/peerpb"
)

// versionedLimits is the part of the limiter that depends on configuration versions.
type versionedLimits interface {
	Apply(snap *model.Snapshot, floor uint64)
	History() []quota.Change
	Restore(history []quota.Change)
}

// history passes each configuration to the limits, together with the earlier divisions
// of the rate limits that hosts with older versions may still use. It receives these
// from peers. It is safe for concurrent use.
type history struct {
	limits versionedLimits

	mu      sync.Mutex
	applied uint64 // version last passed to the limits
	// gapUntil is the version up to which changes may be missing, 0 for none. Until
	// the floor has reached it, hosts with older versions may still run.
	gapUntil     uint64
	floorReached time.Time // when the floor reached gapUntil, or zero

	// Changes received from peers with a configuration that is not applied yet.
	received []quota.Change
	complete uint64 // version up to which received has no gap
}

// receive merges the history in a peer's reply. It must be called before the
// configuration in the reply is applied.
func (h *history) receive(reply *peerpb.PullReply) {
	changes, complete := decodeHistory(reply.GetHistory())
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range changes {
		if !slices.ContainsFunc(h.received, func(d quota.Change) bool { return sameChange(c, d) }) {
			h.received = append(h.received, c)
		}
	}
	if complete {
		h.complete = max(h.complete, reply.GetVersion())
	}
}

// apply passes a configuration and the lowest version in use to the limits. It restores
// the changes received from peers first, so that no share is ever larger than hosts with
// older versions allow. If snap skips versions, the limits assume every possible change;
// the second Restore ends that if the received history has no gap.
func (h *history) apply(snap *model.Snapshot, floor uint64, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if snap.Version > h.applied {
		if h.applied == 0 || snap.Version > h.applied+1 {
			h.gapUntil, h.floorReached = snap.Version, time.Time{}
		}
		known := h.limits.History()
		h.limits.Restore(slices.DeleteFunc(h.received, func(c quota.Change) bool {
			return slices.ContainsFunc(known, func(d quota.Change) bool { return sameChange(c, d) })
		}))
		h.received, h.applied = nil, snap.Version
	}
	h.limits.Apply(snap, floor)
	if h.gapUntil > 0 && h.complete >= h.applied {
		h.gapUntil = 0
		h.limits.Restore(nil)
	}
	if h.floorReached.IsZero() && floor >= h.gapUntil {
		h.floorReached = now
	}
}

// addTo adds the history to a reply that contains a configuration.
func (h *history) addTo(reply *peerpb.PullReply, now time.Time) {
	if len(reply.GetPatch()) == 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	// Limits drop a change only some time after the floor has passed its version.
	complete := h.gapUntil == 0 || (!h.floorReached.IsZero() && now.Sub(h.floorReached) > 2*quota.GrantLength)
	reply.History = encodeHistory(h.limits.History(), complete && h.applied >= reply.GetVersion())
}

// sameChange reports whether a and b are the same change. A version replaces at most
// one division into slots, and at most one home of each organisation.
func sameChange(a, b quota.Change) bool { return a.Until == b.Until && a.Org == b.Org }

// encodeHistory converts changes to protobuf. An entry without a version marks a history
// that has no gap. Without the mark, even an empty history may lack changes.
func encodeHistory(changes []quota.Change, complete bool) []*peerpb.Former {
	var out []*peerpb.Former
	for _, c := range changes {
		f := &peerpb.Former{Until: c.Until, Org: c.Org, Home: c.Home}
		for _, s := range c.Sites {
			f.Sites = append(f.Sites, &peerpb.FormerSite{Name: s.Name, Region: s.Region, Slots: uint32(max(s.Slots, 0))})
		}
		out = append(out, f)
	}
	if complete {
		out = append(out, &peerpb.Former{})
	}
	return out
}

// decodeHistory is the inverse of encodeHistory.
func decodeHistory(list []*peerpb.Former) (changes []quota.Change, complete bool) {
	for _, f := range list {
		if f.GetUntil() == 0 {
			complete = true
			continue
		}
		c := quota.Change{Until: f.GetUntil(), Org: f.GetOrg(), Home: f.GetHome()}
		for _, s := range f.GetSites() {
			c.Sites = append(c.Sites, model.Site{Name: s.GetName(), Region: s.GetRegion(), Slots: int(s.GetSlots())})
		}
		changes = append(changes, c)
	}
	return changes, complete
}
