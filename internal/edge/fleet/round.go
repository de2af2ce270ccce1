package fleet

import (
	"net/netip"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/eras"
	"github.com/yuccalb/yuccalb/internal/core/pick"
	"github.com/yuccalb/yuccalb/internal/core/share"
	"github.com/yuccalb/yuccalb/internal/core/spec"
	"github.com/yuccalb/yuccalb/internal/core/spread"
	"github.com/yuccalb/yuccalb/internal/edge/clock"
	"github.com/yuccalb/yuccalb/internal/edge/gossip"
	"github.com/yuccalb/yuccalb/internal/edge/track"
)

// heard returns the hosts of the own region that were heard of lately, and
// those of others that were heard directly.
func (f *Fleet) heard(now time.Time) (near, far []gossip.Peer) {
	for _, p := range f.gossip.Peers() {
		switch {
		case now.Sub(p.Heard) >= gossip.Lost:
		case f.Region(p.State.Host.Site) == f.opts.Region:
			near = append(near, p)
		default:
			far = append(far, p)
		}
	}
	return near, far
}

// Rank returns the rank of this host in its region, in an order that all of
// its hosts share. It is above all others while the host leaves.
func (f *Fleet) Rank() int { return int(f.rank.Load()) }

// setRank updates the rank.
func (f *Fleet) setRank(near []gossip.Peer) {
	hosts := []spec.Host{f.opts.Self}
	if f.Leaving() {
		hosts = nil
	}
	for _, p := range near {
		if !p.State.Leaving {
			hosts = append(hosts, p.State.Host)
		}
	}
	f.rank.Store(int64(spread.Rank(f.opts.Self.Name, spread.Order(hosts))))
}

// sources returns the hosts that were heard of lately and what they know of the
// store.
func (f *Fleet) sources() []track.Source {
	near, far := f.heard(time.Now())
	list := make([]track.Source, 0, len(near)+len(far))
	for _, p := range near {
		list = append(list, track.Source{Addr: p.Addr(), Known: known(p)})
	}
	for _, p := range far {
		list = append(list, track.Source{Addr: p.Addr(), Far: true, Known: known(p)})
	}
	return list
}

func known(p gossip.Peer) track.Known {
	s := p.State
	return track.Known{Era: eras.Era{Number: s.Era, Since: p.EraAt}, Config: s.Config, Proof: p.ConfigAt, Digest: s.Digest, List: s.List, Listed: p.ListAt}
}

// Round implements gossip.Source. Other regions should hear soon when much was
// admitted since they last did.
func (f *Fleet) Round(immediate bool) gossip.Round {
	if f.waited() {
		f.join()
	}
	f.settle()
	f.refresh()
	now := time.Now()
	near, far := f.heard(now)
	f.setRank(near)
	r := gossip.Round{Local: f.nearTargets(near)}
	r.Wait = spread.Interval(len(r.Local) + 1)
	f.rounds.Lock()
	defer f.rounds.Unlock()
	if immediate || f.limiter.ReportDue() || now.Sub(f.far) >= spread.Far {
		f.far = now
		r.Remote = f.farTargets(near, far, now)
	}
	return r
}

// join lets the host serve. A host that starts beside others waits until it has
// heard of one which servers leave: these may still be listed as if they stayed.
func (f *Fleet) join() {
	if !f.joined.Swap(true) {
		f.Changed()
	}
}

// waited reports whether the other hosts had time to be heard since they and the
// servers are known.
func (f *Fleet) waited() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.listed.IsZero() && time.Since(f.listed) > meetTime
}

// settle updates the tables once the hosts of the region have been listed.
func (f *Fleet) settle() {
	f.rounds.Lock()
	due := !f.settled && time.Since(f.started) > settleTime
	f.settled = f.settled || due
	f.rounds.Unlock()
	if due {
		f.Changed()
	}
}

// refresh asks for the entries while it is not clear whether a server that
// failed is well again.
func (f *Fleet) refresh() {
	for _, svc := range *f.tables.Load() {
		if svc.Table.Unsure() {
			f.tracker.Refresh()
			return
		}
	}
}

// nearTargets returns the other hosts of the own region.
func (f *Fleet) nearTargets(near []gossip.Peer) []netip.AddrPort {
	targets := make(map[netip.AddrPort]bool)
	for _, h := range f.View().Hosts {
		if f.Region(h.Site) == f.opts.Region {
			targets[h.Peer] = true
		}
	}
	for _, p := range near {
		targets[p.Addr()] = true
	}
	return f.others(targets)
}

// others returns the targets but this host.
func (f *Fleet) others(targets map[netip.AddrPort]bool) []netip.AddrPort {
	delete(targets, f.opts.Self.Peer)
	list := make([]netip.AddrPort, 0, len(targets))
	for addr := range targets {
		list = append(list, addr)
	}
	return list
}

// farTargets returns the hosts of other regions to send to: those with which
// this host carries reports, those that no report of their region names yet,
// and the seeds while nothing else is known.
func (f *Fleet) farTargets(near, far []gossip.Peer, now time.Time) []netip.AddrPort {
	targets := make(map[netip.AddrPort]bool)
	for region, hosts := range f.farHosts() {
		for _, h := range f.partners(region, hosts, now) {
			targets[h.Peer] = true
		}
	}
	named := f.reports.named()
	for _, p := range far {
		if !named[p.State.Host.Name] {
			targets[p.Addr()] = true
		}
	}
	if !f.View().Listed() || len(near)+len(far) == 0 {
		for _, s := range *f.seeds.Load() {
			targets[netip.AddrPortFrom(s.Addr(), f.opts.Self.Peer.Port())] = true
		}
	}
	return f.others(targets)
}

// partners returns the hosts of another region with which this host exchanges
// reports. The argument hosts are all that are known of the region: they are
// needed when the last report may be wrong.
func (f *Fleet) partners(region string, hosts []spec.Host, now time.Time) []spec.Host {
	r := f.reports.get(region)
	width := spread.Width(f.gap(r, now))
	if f.Rank() >= width {
		return nil
	}
	if width < spread.All {
		if staying := r.staying(); len(staying) > 0 {
			hosts = staying
		}
	}
	return spread.Order(hosts)[:min(width, len(hosts))]
}

// farHosts returns the hosts of each other region that registered or that the
// last report of the region names.
func (f *Fleet) farHosts() map[string][]spec.Host {
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

// gap returns the age of the last report between the own region and that of r,
// in the direction that is worse off.
func (f *Fleet) gap(r *report, now time.Time) time.Duration {
	if r == nil {
		return never
	}
	heard, ok := r.ReportAges[f.opts.Region]
	if !ok {
		return never
	}
	return now.Sub(r.made) + heard
}

// State implements gossip.Source.
func (f *Fleet) State(near bool) gossip.State {
	now := time.Now()
	k := f.tracker.Known()
	at := clock.Now()
	s := gossip.State{
		Host: f.opts.Self, ProcessStart: f.processStart, Leaving: f.Leaving(), Ready: f.Ready(),
		Config: k.Config, ConfigAge: age(at, k.Proof), Digest: k.Digest, List: k.List, ListAge: age(at, k.Listed),
		Era: k.Era.Number, EraAge: k.Era.Age(at),
	}
	if !near {
		s.Regions = f.ownReport(now)
		return s
	}
	s.Admitted = f.limiter.Admitted()
	s.Regions = f.reports.pass(now)
	s.Loads = make(map[string]map[string]pick.Load)
	s.Placed = make(map[string][]pick.Placement)
	s.Departed = make(map[string][]pick.Process)
	for name, svc := range *f.tables.Load() {
		loads, placed := svc.Table.Report(now)
		if len(loads) > 0 {
			s.Loads[name] = loads
		}
		if len(placed) > 0 {
			s.Placed[name] = placed
		}
		if departed := svc.Table.Departed(); len(departed) > 0 {
			s.Departed[name] = departed
		}
	}
	return s
}

// age returns the time from t to now, or 0 if t is not known.
func age(now, t time.Duration) time.Duration {
	if t == 0 {
		return 0
	}
	return now - t
}

// Receive implements gossip.Source.
func (f *Fleet) Receive(p gossip.Peer) {
	f.tracker.Heard(known(p))
	region := f.Region(p.State.Host.Site)
	near := region == f.opts.Region
	for _, r := range p.State.Regions {
		if r.Name == f.opts.Region || !near && r.Name != region {
			continue // not its to tell
		}
		if f.reports.take(r, p.Heard, !near) {
			f.limiter.Merge(share.Report{Name: regionAccount(r.Name), Run: r.Run, Hosts: len(r.Members), Admitted: r.Admitted}, p.Heard)
		}
	}
	if !near {
		return
	}
	if f.View().Listed() {
		f.join() // before the tables take over what this host says
	}
	f.limiter.Merge(share.Report{Name: p.State.Host.Name, Run: uint64(p.State.ProcessStart), Admitted: p.State.Admitted}, p.Heard)
	for name, svc := range *f.tables.Load() {
		svc.Table.Peer(p.State.Host.Name, p.State.Loads[name], p.State.Placed[name], p.Heard)
		svc.Table.Depart(p.State.Departed[name], p.Heard)
	}
}
