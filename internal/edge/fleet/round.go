package fleet

import (
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/core/eras"
	"github.com/yuccalb/yuccalb/internal/core/pick"
	"github.com/yuccalb/yuccalb/internal/core/poison"
	"github.com/yuccalb/yuccalb/internal/core/reach"
	"github.com/yuccalb/yuccalb/internal/core/share"
	"github.com/yuccalb/yuccalb/internal/core/spec"
	"github.com/yuccalb/yuccalb/internal/core/spread"
	"github.com/yuccalb/yuccalb/internal/edge/clock"
	"github.com/yuccalb/yuccalb/internal/edge/gossip"
	"github.com/yuccalb/yuccalb/internal/edge/track"
)

// reachable returns the hosts from which a state was received recently, those of
// the local region and those of remote ones.
func (f *Fleet) reachable(now time.Time) (local, remote []gossip.Peer) {
	for _, p := range f.gossip.Peers() {
		switch {
		case now.Sub(p.Received) >= gossip.PeerTimeout:
		case f.Region(p.State.Host.Site) == f.opts.Region:
			local = append(local, p)
		default:
			remote = append(remote, p)
		}
	}
	return local, remote
}

// Position returns the position of this host, 0 first, in the order of its region's
// hosts, which all of them share. While the host is leaving, its position is after
// the last one.
func (f *Fleet) Position() int { return int(f.position.Load()) }

// setPosition computes the position from the hosts that are not leaving.
func (f *Fleet) setPosition(local []gossip.Peer) {
	hosts := []spec.Host{f.opts.Self}
	if f.Leaving() {
		hosts = nil
	}
	for _, p := range local {
		if !p.State.Leaving {
			hosts = append(hosts, p.State.Host)
		}
	}
	f.position.Store(int64(spread.Position(f.opts.Self.Name, spread.Order(hosts))))
}

// sources returns the reachable hosts with the state of the store that they have
// read.
func (f *Fleet) sources() []track.Source {
	local, remote := f.reachable(time.Now())
	list := make([]track.Source, 0, len(local)+len(remote))
	for _, p := range local {
		list = append(list, track.Source{Addr: p.Addr(), StoreState: storeState(p)})
	}
	for _, p := range remote {
		list = append(list, track.Source{Addr: p.Addr(), Remote: true, StoreState: storeState(p)})
	}
	return list
}

// storeState returns a peer's state of the store.
func storeState(p gossip.Peer) track.StoreState {
	s := p.State
	return track.StoreState{Era: eras.Era{Number: s.Era, Since: p.EraAt}, Config: s.Config, ConfigConfirmed: p.ConfigConfirmed, Digest: s.Digest, EntriesRev: s.EntriesRev, EntriesConfirmed: p.EntriesConfirmed}
}

// Round implements gossip.Source. It includes remote regions ahead of schedule if
// many tokens were admitted since the last round to them.
func (f *Fleet) Round(immediate bool) gossip.Round {
	if f.discovered() {
		f.join()
	}
	f.updateRegistered()
	f.refreshMembers()
	f.refresh()
	now := time.Now()
	local, remote := f.reachable(now)
	f.setPosition(local)
	f.regionSize.Store(int64(len(local) + 1))
	r := gossip.Round{Local: f.localTargets(local)}
	r.Wait = spread.Interval(len(r.Local) + 1)
	f.roundMu.Lock()
	defer f.roundMu.Unlock()
	if immediate || f.limiter.ReportDue() || now.Sub(f.remoteAt) >= spread.RemoteInterval {
		f.remoteAt = now
		r.Remote = f.remoteTargets(local, remote, now)
	}
	return r
}

// join lets the host serve callers. A host that starts while others run first waits
// for a state of one of them, which names the servers that are leaving: the store may
// still list these as usable.
func (f *Fleet) join() {
	if !f.joined.Swap(true) {
		f.Update()
	}
}

// discovered reports whether the states of the other hosts have had time to arrive
// since the entries were first listed.
func (f *Fleet) discovered() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.listedAt.IsZero() && time.Since(f.listedAt) > discoveryTime
}

// updateRegistered updates the tables once, after the hosts of the region have had
// time to register.
func (f *Fleet) updateRegistered() {
	f.roundMu.Lock()
	due := !f.registered && time.Since(f.started) > registerTime
	f.registered = f.registered || due
	f.roundMu.Unlock()
	if due {
		f.Update()
	}
}

// refresh requests the entries as long as it is unknown whether a server that has
// failed is healthy again.
func (f *Fleet) refresh() {
	for _, svc := range *f.tables.Load() {
		if svc.Table.HasProbation() {
			f.tracker.Refresh()
			return
		}
	}
}

// localTargets returns the addresses of the other hosts of the local region.
func (f *Fleet) localTargets(local []gossip.Peer) []netip.AddrPort {
	targets := make(map[netip.AddrPort]bool)
	for _, h := range f.View().Hosts {
		if f.Region(h.Site) == f.opts.Region {
			targets[h.Peer] = true
		}
	}
	for _, p := range local {
		targets[p.Addr()] = true
	}
	return f.withoutSelf(targets)
}

// withoutSelf returns the targets except this host.
func (f *Fleet) withoutSelf(targets map[netip.AddrPort]bool) []netip.AddrPort {
	delete(targets, f.opts.Self.Peer)
	list := make([]netip.AddrPort, 0, len(targets))
	for addr := range targets {
		list = append(list, addr)
	}
	return list
}

// remoteTargets returns the hosts of remote regions to send to: those with which this
// host exchanges reports, those that have sent a state but are not yet in the report
// of their region, and the seeds while the entries have not been read or no other host
// is reachable.
func (f *Fleet) remoteTargets(local, remote []gossip.Peer, now time.Time) []netip.AddrPort {
	targets := make(map[netip.AddrPort]bool)
	for region, hosts := range f.remoteHosts() {
		for _, h := range f.partners(region, hosts, now) {
			targets[h.Peer] = true
		}
	}
	members := f.reports.memberNames()
	for _, p := range remote {
		if !members[p.State.Host.Name] {
			targets[p.Addr()] = true
		}
	}
	if !f.View().Listed() || len(local)+len(remote) == 0 {
		for _, s := range *f.seeds.Load() {
			targets[netip.AddrPortFrom(s.Addr(), f.opts.Self.Peer.Port())] = true
		}
	}
	return f.withoutSelf(targets)
}

// partners returns the hosts of a remote region with which this host exchanges
// reports. The argument hosts lists all hosts of the region that are registered or
// reported. They are used instead of those in the last report if it is missing or
// very old, or if all hosts in it are leaving.
func (f *Fleet) partners(region string, hosts []spec.Host, now time.Time) []spec.Host {
	r := f.reports.get(region)
	width := spread.Width(f.reportAge(r, now))
	if f.Position() >= width {
		return nil
	}
	if width < spread.AllHosts {
		if staying := r.staying(); len(staying) > 0 {
			hosts = staying
		}
	}
	return spread.Order(hosts)[:min(width, len(hosts))]
}

// remoteHosts returns the hosts of each remote region that are registered or listed
// in the last report of the region.
func (f *Fleet) remoteHosts() map[string][]spec.Host {
	found := make(map[string][]spec.Host)
	seen := make(map[string]bool)
	add := func(h spec.Host) {
		region := f.Region(h.Site)
		if region != f.opts.Region && !seen[h.Name] {
			seen[h.Name] = true
			found[region] = append(found[region], h)
		}
	}
	for _, h := range f.View().Hosts {
		add(h)
	}
	for _, r := range f.reports.all() {
		for _, m := range r.Members {
			add(m.Host)
		}
	}
	return found
}

// reportAge returns the age of the last report of the local region that the region of
// r is known to have received. It is at least the age of r, so that it covers the
// worse of both directions.
func (f *Fleet) reportAge(r *report, now time.Time) time.Duration {
	if r == nil {
		return never
	}
	ackAge, ok := r.ReportAges[f.opts.Region]
	if !ok {
		return never
	}
	return now.Sub(r.created) + ackAge
}

// State implements gossip.Source.
func (f *Fleet) State(local bool) gossip.State {
	now := time.Now()
	st := f.tracker.State()
	at := clock.Now()
	s := gossip.State{
		Host: f.opts.Self, ProcessStart: f.processStart, Leaving: f.Leaving(), Ready: f.Ready(),
		Config: st.Config, ConfigAge: age(at, st.ConfigConfirmed), Digest: st.Digest, EntriesRev: st.EntriesRev, EntriesAge: age(at, st.EntriesConfirmed),
		Era: st.Era.Number, EraAge: st.Era.Age(at), Unreached: f.unreached(), CutOff: f.path.State() != reach.Reached,
	}
	if !local {
		s.Regions = f.localReport(now)
		return s
	}
	s.Admitted = f.limiter.Admitted()
	s.Poison = f.poisonReports(poison.Own, now)
	s.Regions = f.reports.forward(now)
	s.Loads = make(map[string]map[string]pick.Load)
	s.Placements = make(map[string][]pick.Placement)
	s.LeavingProcesses = make(map[string][]pick.Process)
	s.Limits = make(map[string][]pick.ServerLimit)
	s.RefusalLimits = make(map[string][]pick.RefusalLimit)
	s.Rooms = f.rooms(now)
	for name, svc := range *f.tables.Load() {
		loads, placements := svc.Table.Report(now)
		if len(loads) > 0 {
			s.Loads[name] = loads
		}
		if len(placements) > 0 {
			s.Placements[name] = placements
		}
	}
	for name, svc := range f.allServices() {
		addStatements(&s, name, svc.Table, now)
	}
	return s
}

// age returns the time from t to now, or 0 if t is unknown.
func age(now, t time.Duration) time.Duration {
	if t == 0 {
		return 0
	}
	return now - t
}

// Receive implements gossip.Source.
func (f *Fleet) Receive(p gossip.Peer) {
	f.tracker.MergeReport(storeState(p))
	region := f.Region(p.State.Host.Site)
	local := region == f.opts.Region
	for _, r := range p.State.Regions {
		if r.Name == f.opts.Region || !local && r.Name != region {
			continue // the sender may not report this region
		}
		if f.reports.add(r, p.Received, !local) {
			f.limiter.Merge(share.Report{Name: regionPeer(r.Name), Run: r.Run, Hosts: len(r.Members), Admitted: r.Admitted}, p.Received)
			f.mergePoison(r.Poison, poison.Remote, "region "+r.Name, p.Received.Add(-r.Age))
		}
	}
	if !local {
		return
	}
	if f.View().Listed() {
		f.join() // before the tables merge the state of this host
	}
	f.mergePoison(p.State.Poison, poison.Region, "host "+p.State.Host.Name, p.Received)
	f.limiter.Merge(share.Report{Name: p.State.Host.Name, Run: uint64(p.State.ProcessStart), Admitted: p.State.Admitted}, p.Received)
	for name, svc := range *f.tables.Load() {
		svc.Table.MergePeer(p.State.Host.Name, p.State.Loads[name], p.State.Placements[name], p.Received)
		svc.Table.MergeRoom(p.State.Host.Name, p.State.Rooms[name], p.Received)
	}
	f.mergeStatements(p)
}

// LogLimit logs a change of the limit of a server; source are fields that tell where it
// is known from.
func LogLimit(log *zap.Logger, c pick.LimitChange, source ...zap.Field) {
	fields := append(source, zap.String("server", c.Server))
	if c.Ended {
		log.Info("server ended its limit", fields...)
		return
	}
	log.Info("server limits requests", append(fields, zap.Float64("limit", c.Limit), zap.Float64("part", c.Part))...)
}

// LogRefusalLimit logs a change of the refusal limit of a server; source are fields that
// tell where it is known from.
func LogRefusalLimit(log *zap.Logger, c pick.RefusalChange, source ...zap.Field) {
	fields := append(source, zap.String("server", c.Server))
	if c.Ended {
		log.Info("server ended its refusal limit", fields...)
		return
	}
	log.Info("server limits its refusals", append(fields, zap.Int("limit", c.Limit), zap.Int("room", c.Room), zap.Int("part", c.Part))...)
}
