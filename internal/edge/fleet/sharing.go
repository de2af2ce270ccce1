package fleet

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/core/pick"
	"github.com/yuccalb/yuccalb/internal/core/roster"
	"github.com/yuccalb/yuccalb/internal/core/spread"
	"github.com/yuccalb/yuccalb/internal/edge/clock"
	"github.com/yuccalb/yuccalb/internal/edge/track"
)

// maxLimiterListAge is the age of the list from which on a region that is cut off gives up most of
// its share of the limits of organisations: below reportTTL, after which other regions forget it.
const maxLimiterListAge = reportTTL - 5*time.Second

// refreshMembers updates the hosts among which limits are divided, and this host's parts:
// both change with time as well.
func (f *Fleet) refreshMembers() {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.View()
	if v.Snapshot == nil || !v.Listed() {
		return
	}
	now := time.Now()
	f.updateLists()
	f.updateMembers(v, now)
	hosts := f.regionHosts(now)
	for _, svc := range *f.tables.Load() {
		svc.Table.SetHosts(hosts, now)
	}
}

// updateMembers updates the hosts among which limits are divided and the retry budgets, and
// logs changes.
func (f *Fleet) updateMembers(v *track.View, now time.Time) {
	m := f.roster.Update(f.regionView(v, now), now)
	holding := m.Holds(now)
	if holding != f.holding || !slices.Equal(m.Names, f.sharing.Names) {
		f.opts.Log.Info("hosts that share limits", zap.Strings("hosts", m.Names), zap.Bool("holding", holding), zap.Duration("list_age", f.ListAge()))
	}
	f.sharing, f.holding = m, holding
	f.limiter.SetHolding(holding && f.ListAge() < maxLimiterListAge)
	f.updateBudgets(v, now)
}

// regionView returns what this host knows of the hosts of its region.
func (f *Fleet) regionView(v *track.View, now time.Time) roster.View {
	at := clock.Now()
	written, renewed := f.tracker.Entry()
	view := roster.View{
		Self: f.opts.Self.Name, Leaving: f.Leaving(), ListedAt: wall(f.tracker.State().EntriesConfirmed, at, now),
		EntryAt: wall(written, at, now), RenewedAt: wall(renewed, at, now),
	}
	for _, h := range v.Hosts {
		if f.Region(h.Site) == f.opts.Region {
			view.Listed = append(view.Listed, h.Name)
		}
	}
	local, _ := f.reachable(now)
	for _, p := range local {
		view.Peers = append(view.Peers, roster.Peer{Name: p.State.Host.Name, Leaving: p.State.Leaving, Echo: wall(p.Echo, at, now)})
	}
	return view
}

// wall converts a time on the clock of package clock, which shows at when the time is now. It
// returns the zero time for 0, which is unknown.
func wall(t, at time.Duration, now time.Time) time.Time {
	if t == 0 {
		return time.Time{}
	}
	return now.Add(t - at)
}

// regionHosts returns the hosts that share the limits of servers.
func (f *Fleet) regionHosts(now time.Time) pick.RegionHosts {
	return pick.RegionHosts{
		Self: f.opts.Self.Name, Hosts: f.sharing.Names, Until: f.sharing.Until,
		Discovered: now.Sub(f.started) > registerTime, ReportInterval: spread.Interval(len(f.sharing.Names)),
	}
}

// Sharing returns the number of hosts among which this host divides limits, and whether it
// may use its parts of them.
func (f *Fleet) Sharing() (hosts int, holding bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.sharing.Names), f.sharing.Holds(time.Now())
}
