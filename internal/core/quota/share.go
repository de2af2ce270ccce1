package quota

import (
	"math"

	"github.com/yuccalb/yuccalb/internal/core/model"
)

// HomePercent is the percentage of an organisation's limit that the slots of its
// home region hold.
const HomePercent = 70

// Fraction is a share of a limit.
type Fraction struct {
	Num, Den int64
}

// Of returns the fraction f of n, rounded down.
func (f Fraction) Of(n int64) int64 {
	if f.Den <= 0 {
		return 0
	}
	q, _ := mulDiv(n, f.Num, 0, f.Den)
	return q
}

// less reports whether f is smaller than g.
func (f Fraction) less(g Fraction) bool {
	return f.Num*g.Den < g.Num*f.Den
}

// layout holds the number of slots of each data centre and region.
type layout struct {
	sites   map[string]model.Site
	regions map[string]int64
	total   int64
}

func newLayout(cfg *model.Config) *layout {
	l := &layout{sites: map[string]model.Site{}, regions: map[string]int64{}}
	for _, site := range cfg.Sites {
		l.sites[site.Name] = model.Site{Region: site.Region, Slots: site.Slots}
		l.regions[site.Region] += int64(site.Slots)
		l.total += int64(site.Slots)
	}
	return l
}

func (l *layout) equal(m *layout) bool {
	if len(l.sites) != len(m.sites) {
		return false
	}
	for name, site := range l.sites {
		other, ok := m.sites[name]
		if !ok || other.Region != site.Region || other.Slots != site.Slots {
			return false
		}
	}
	return true
}

// slot returns the share of one slot of site for an organisation with the
// given home region. A home region that has no slots or all slots counts as no
// home region.
func (l *layout) slot(site, home string) Fraction {
	st, ok := l.sites[site]
	if !ok || st.Slots <= 0 {
		return Fraction{0, 1}
	}
	inside := l.regions[home]
	outside := l.total - inside
	switch {
	case home == "" || inside == 0 || outside == 0:
		return Fraction{1, l.total}
	case st.Region == home:
		return Fraction{HomePercent, 100 * inside}
	default:
		return Fraction{100 - HomePercent, 100 * outside}
	}
}

// Change is a former layout or home region that hosts with a configuration
// version below Until still use. Org is empty for a layout.
type Change struct {
	Until uint64
	Org   string
	Home  string
	Sites []model.Site
}

// formerLayout is a layout that version until replaced.
type formerLayout struct {
	until  uint64
	layout *layout
}

// formerHome is a home region that version until replaced.
type formerHome struct {
	until uint64
	home  string
}

// Shares computes the share of a limit that each slot holds. While some host
// may use an older configuration version, a slot has the smallest share that
// any version since the floor gives it, so hosts of different versions together
// never hold more than the whole limit.
type Shares struct {
	snap        *model.Snapshot
	layout      *layout
	layouts     []formerLayout
	homes       map[string][]formerHome
	unseenBelow uint64 // versions below this one may be missing from the history
	floor       uint64
}

// NewShares returns shares without a configuration; all of them are 0.
func NewShares() *Shares {
	return &Shares{layout: newLayout(&model.Config{}), homes: map[string][]formerHome{}}
}

// Apply activates snap. Snapshots of a lower version are ignored. Restore should
// follow the first snapshot and each one that skips versions: other hosts may
// use a version that this one has not received, so until the floor passes it,
// the home of every organisation may be any region. Without Restore, slot counts
// that only a skipped version had are not taken into account.
func (s *Shares) Apply(snap *model.Snapshot) {
	if s.snap == nil {
		s.snap, s.layout, s.unseenBelow = snap, newLayout(snap.Config), snap.Version
		return
	}
	if snap.Version <= s.snap.Version {
		return
	}
	if snap.Version > s.snap.Version+1 {
		s.unseenBelow = snap.Version
	}
	next := newLayout(snap.Config)
	if !next.equal(s.layout) {
		s.layouts = append(s.layouts, formerLayout{snap.Version, s.layout})
	}
	for i := range s.snap.Config.Orgs {
		old := &s.snap.Config.Orgs[i]
		if org := snap.Org(old.Name); org == nil || org.HomeRegion != old.HomeRegion {
			s.homes[old.Name] = append(s.homes[old.Name], formerHome{snap.Version, old.HomeRegion})
		}
	}
	s.snap, s.layout = snap, next
}

// SetFloor declares that every host that holds a slot or belongs to a member
// list uses at least version floor. A floor lower than the current one is
// ignored.
func (s *Shares) SetFloor(floor uint64) {
	if floor <= s.floor {
		return
	}
	s.floor = floor
	kept := s.layouts[:0]
	for _, f := range s.layouts {
		if f.until > floor {
			kept = append(kept, f)
		}
	}
	s.layouts = kept
	for org, list := range s.homes {
		var left []formerHome
		for _, f := range list {
			if f.until > floor {
				left = append(left, f)
			}
		}
		if len(left) == 0 {
			delete(s.homes, org)
		} else {
			s.homes[org] = left
		}
	}
}

// History returns the changes that hosts below the current version may not have
// applied. A starting host receives it from a peer together with its first
// snapshot.
func (s *Shares) History() []Change {
	var changes []Change
	for _, f := range s.layouts {
		c := Change{Until: f.until}
		for name, site := range f.layout.sites {
			c.Sites = append(c.Sites, model.Site{Name: name, Region: site.Region, Slots: site.Slots})
		}
		changes = append(changes, c)
	}
	for org, list := range s.homes {
		for _, f := range list {
			changes = append(changes, Change{Until: f.until, Org: org, Home: f.home})
		}
	}
	return changes
}

// Restore adds the history of a peer. The peer's version must be at least the
// current one of s, and its own history must be complete.
func (s *Shares) Restore(history []Change) {
	s.unseenBelow = 0
	for _, c := range history {
		switch {
		case c.Until <= s.floor:
		case c.Org == "":
			s.layouts = append(s.layouts, formerLayout{c.Until, newLayout(&model.Config{Sites: c.Sites})})
		default:
			s.homes[c.Org] = append(s.homes[c.Org], formerHome{c.Until, c.Home})
		}
	}
}

// Complete reports whether the history includes all versions since the floor.
func (s *Shares) Complete() bool { return s.unseenBelow <= s.floor }

// Org returns an organisation of the active configuration, or nil.
func (s *Shares) Org(name string) *model.Org {
	if s.snap == nil {
		return nil
	}
	return s.snap.Org(name)
}

// Slots returns the number of slots of site that have a share: the smallest
// number that any version since the floor gives it.
func (s *Shares) Slots(site string) int {
	n := s.layout.sites[site].Slots
	for _, f := range s.layouts {
		n = min(n, f.layout.sites[site].Slots)
	}
	return n
}

// Slot returns the share of each slot of site for org.
func (s *Shares) Slot(org *model.Org, site string) Fraction {
	least := s.minShare(s.layout, org, site)
	for _, f := range s.layouts {
		if g := s.minShare(f.layout, org, site); g.less(least) {
			least = g
		}
	}
	return least
}

// minShare returns the smallest share under layout l over all home regions that
// may be in use.
func (s *Shares) minShare(l *layout, org *model.Org, site string) Fraction {
	least := l.slot(site, org.HomeRegion)
	consider := func(home string) {
		if g := l.slot(site, home); g.less(least) {
			least = g
		}
	}
	for _, f := range s.homes[org.Name] {
		consider(f.home)
	}
	if s.unseenBelow > s.floor {
		consider("")
		for region := range l.regions {
			consider(region)
		}
	}
	return least
}

// limit is the rate and burst of a token bucket, in nanotokens per second and
// nanotokens.
type limit struct {
	rate, burst int64
}

// slotLimit returns the limit of one slot of site. The rate is lowered by the
// largest allowed difference of clock rates, so that a host with a fast clock
// refills no faster than the rate as measured by a slow clock.
func (s *Shares) slotLimit(org *model.Org, site string) limit {
	f := s.Slot(org, site)
	rate := toNano(org.Rate)
	return limit{rate: f.Of(rate - rate/driftDivisor), burst: f.Of(toNano(org.Burst))}
}

// times returns the limit of n slots.
func (l limit) times(n int64) limit {
	if n > 0 && (l.rate > math.MaxInt64/n || l.burst > math.MaxInt64/n) {
		return limit{math.MaxInt64, math.MaxInt64}
	}
	return limit{l.rate * n, l.burst * n}
}
