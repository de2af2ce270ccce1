package member

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

const (
	// maxPeers bounds the addresses of the local data centre.
	maxPeers = 1024
	// fullTicks is the interval in ticks of full heartbeats to a peer that has
	// answered one. They restore any state that the receiver has lost.
	fullTicks = 30
)

// Config is the configuration of a table.
type Config struct {
	Self Ident
	// HTTP is this host's address for callers.
	HTTP netip.AddrPort
	// Seeds are the addresses of some hosts of the fleet, in any data centre.
	Seeds []netip.AddrPort
}

// Table is the state that one host has of the membership of its data centre and
// of remote ones. It is not safe for concurrent use. The times passed to its
// methods must not decrease.
type Table struct {
	cfg     Config
	leaving bool
	peers   map[netip.AddrPort]*peer
	remote  *remoteSites

	mark listMark // the entry of this host in the host list

	ticks      uint64
	fullNeeded time.Time // peers need a full heartbeat sent after this time
	last       time.Time
	settledAt  time.Time // from when this host may have duties
	paused     time.Duration
	start      time.Time
	changed    bool // since the last call of View
}

// New returns a table of a host that starts at now.
func New(cfg Config, now time.Time) *Table {
	t := &Table{
		cfg:       cfg,
		peers:     make(map[netip.AddrPort]*peer),
		remote:    newRemoteSites(cfg.Self.Site),
		last:      now,
		settledAt: now.Add(SettleTime),
		start:     now,
	}
	t.addSeeds(now)
	return t
}

// addSeeds adds the addresses from the settings, except those that are contacts
// of a remote data centre.
func (t *Table) addSeeds(now time.Time) {
	for _, a := range t.cfg.Seeds {
		if t.remote.contains(a) {
			continue
		}
		if p := t.add(a, now); p != nil {
			p.seed = true
		}
	}
}

// add returns the peer with an address and creates it if needed. It returns nil
// for the address of this host, for an invalid one and when there is no room.
func (t *Table) add(a netip.AddrPort, now time.Time) *peer {
	if !a.IsValid() || a == t.cfg.Self.Addr {
		return nil
	}
	if p := t.peers[a]; p != nil {
		return p
	}
	if len(t.peers) >= maxPeers {
		return nil
	}
	p := &peer{addr: a, added: now}
	t.peers[a] = p
	return p
}

// checkPause checks whether the process was paused since the last call.
func (t *Table) checkPause(now time.Time) {
	gap := elapsed(t.last, now)
	t.last = now
	if gap <= PauseAfter {
		return
	}
	t.paused += gap
	t.settledAt = now.Add(SettleTime)
	// No heartbeat could be received during the pause, so a missing one does not
	// show that a peer failed; each peer is suspect until its next message.
	for _, p := range t.peers {
		if p.incarnation != 0 && now.Sub(p.lastSeen) < DeadAfter+gap {
			p.lastSeen = now.Add(-SuspectAfter)
		}
	}
}

// DetectPause reports how long the process was paused since the last call of
// DetectPause or Tick, or 0. A caller that calls it before each other method can revalidate
// its leases and grants before it uses them.
func (t *Table) DetectPause(now time.Time) time.Duration {
	t.checkPause(now)
	paused := t.paused
	t.paused = 0
	return paused
}

// Receive records a heartbeat.
func (t *Table) Receive(b *Heartbeat, now time.Time) Verdict {
	t.checkPause(now)
	if !b.From.Addr.IsValid() || b.From.Incarnation <= 0 || b.From.Addr == t.cfg.Self.Addr {
		return Refused
	}
	if b.From.Site != "" && b.From.Site != t.cfg.Self.Site {
		return t.receiveFromRemoteSite(b, now)
	}
	p := t.add(b.From.Addr, now)
	if p == nil {
		return Refused
	}
	if !t.markReachable(p, b.From.Incarnation, b.Leaving, now, now) {
		return Outdated
	}
	if b.HTTP.IsValid() && b.HTTP != p.http {
		p.http, t.changed = b.HTTP, true
	}
	for i := range b.Summaries {
		s := &b.Summaries[i]
		if s.Site != t.cfg.Self.Site {
			t.remote.merge(b.From, s, false, now)
			continue
		}
		t.addContacts(s.Members, now)
	}
	return Accepted
}

// addContacts adds addresses of the local data centre that other hosts reported.
func (t *Table) addContacts(hosts []Host, now time.Time) {
	for _, h := range hosts {
		if p := t.add(h.Addr, now); p != nil && h.Incarnation > p.reportedIncarnation {
			p.reportedIncarnation, p.unanswered = h.Incarnation, 0
		}
	}
}

// markReachable records that a peer was reachable at a time that may be before
// now. It returns false for an incarnation older than the current one.
func (t *Table) markReachable(p *peer, incarnation int64, leaving bool, at, now time.Time) bool {
	state, before := p.state(now), p.incarnation
	if !p.markReachable(incarnation, leaving, at) {
		return false
	}
	if state == StateUnknown || state == StateDead || p.incarnation != before {
		t.fullNeeded = now
	}
	t.changed = t.changed || p.incarnation != before || p.state(now) != state
	return true
}

// needsFull reports whether the next heartbeat to a peer must be a full one. That
// is so until the peer has answered one that contains all hosts in this host's
// table and the members of the data centres that it relays, and every fullTicks.
func (t *Table) needsFull(p *peer) bool {
	return p.incarnation == 0 || !p.lastFull.After(t.fullNeeded) ||
		(t.ticks+hashAddr(p.addr))%fullTicks == 0
}

// receiveFromRemoteSite records a heartbeat from a host of a remote data centre, whose
// summary is accepted for its own data centre only. It may also name hosts of
// the local one to contact.
func (t *Table) receiveFromRemoteSite(b *Heartbeat, now time.Time) Verdict {
	delete(t.peers, b.From.Addr)
	t.remote.recordMessage(b.From.Site, b.From.Addr, now)
	verdict := FromRemoteSite
	for i := range b.Summaries {
		s := &b.Summaries[i]
		switch s.Site {
		case t.cfg.Self.Site:
			t.addContacts(s.Members, now)
		case b.From.Site:
			if !t.remote.merge(b.From, s, true, now) {
				verdict = Outdated
			}
		}
	}
	return verdict
}

// ReceiveReply records the reply to a heartbeat that was sent to an address.
func (t *Table) ReceiveReply(to netip.AddrPort, r *Reply, now time.Time) Verdict {
	t.checkPause(now)
	if r.From.Addr != to || r.From.Incarnation <= 0 {
		return Refused
	}
	if r.From.Site != "" && r.From.Site != t.cfg.Self.Site {
		delete(t.peers, to)
		t.remote.recordMessage(r.From.Site, to, now)
		t.remote.linkAnswered(r.From.Site)
		return FromRemoteSite
	}
	p := t.add(to, now)
	if p == nil {
		return Refused
	}
	if !t.markReachable(p, r.From.Incarnation, r.Leaving, r.Sent, now) {
		return Outdated
	}
	if r.Full {
		p.lastFull = r.Sent
	}
	return Accepted
}

// LinkFailed records that the heartbeat of a link to a remote data centre was not
// answered, so that the next one goes to another host there.
func (t *Table) LinkFailed(site string, now time.Time) {
	t.checkPause(now)
	t.remote.linkFailed(site)
}

// List records the platform's host list. Because the list lags, it only adds
// addresses to contact and marks hosts as leaving; it does not show that a
// host is reachable.
func (t *Table) List(hosts []ListEntry, now time.Time) {
	t.checkPause(now)
	t.changed = true
	seen := make(map[netip.AddrPort]bool, len(hosts))
	for _, h := range hosts {
		switch {
		case h.Addr == t.cfg.Self.Addr:
			seen[h.Addr] = true
			t.mark.set(h.Leaving, now)
		case h.Site == t.cfg.Self.Site:
			seen[h.Addr] = true
			if p := t.add(h.Addr, now); p != nil {
				p.mark.set(h.Leaving, now)
			}
		case !h.Leaving:
			t.remote.addContact(h.Site, h.Addr, now)
		}
	}
	if !seen[t.cfg.Self.Addr] {
		t.mark.clear()
	}
	for a, p := range t.peers {
		if !seen[a] {
			p.mark.clear()
		}
	}
}

// Leave marks this host as leaving and returns a plan with heartbeats that
// announce it to all peers that have not failed.
func (t *Table) Leave(now time.Time) *Plan {
	t.checkPause(now)
	t.leaving = true
	plan := &Plan{At: now, Local: t.localSummary(now), View: t.View(now)}
	for _, a := range t.addrs() {
		if s := t.peers[a].state(now); s != StateDead && s != StateUnknown {
			plan.Heartbeats = append(plan.Heartbeats, Send{To: a})
		}
	}
	return plan
}

// Leaving reports whether Leave was called or the platform's list marks this host
// as leaving.
func (t *Table) Leaving() bool { return t.leaving || t.mark.marksLeaving(t.cfg.Self.Incarnation) }

// addrs returns the addresses of all peers in order.
func (t *Table) addrs() []netip.AddrPort {
	return slices.SortedFunc(maps.Keys(t.peers), netip.AddrPort.Compare)
}

// Tick advances the table and returns what to send and publish. It must be
// called once per interval Tick.
func (t *Table) Tick(now time.Time) *Plan {
	t.checkPause(now)
	t.ticks++
	for a, p := range t.peers {
		if p.removable(now) {
			delete(t.peers, a)
		}
	}
	t.remote.expire(now)
	t.addSeeds(now)
	plan := &Plan{At: now, Local: t.localSummary(now), Paused: t.DetectPause(now)}
	var changed bool
	if plan.Full, plan.Brief, changed = t.remote.relays(t.ticks, now, t.stamp); changed {
		// Peers need a full heartbeat from this tick or a later one.
		t.fullNeeded = now.Add(-1)
	}
	plan.Full = append(plan.Full, Summary{Site: t.cfg.Self.Site, At: t.stamp(now), Members: t.notFailed(now)})
	for _, a := range t.addrs() {
		p := t.peers[a]
		if !p.due(t.ticks, now) {
			continue
		}
		plan.Heartbeats = append(plan.Heartbeats, Send{To: a, Full: t.needsFull(p)})
		p.unanswered++
	}
	plan.View = t.View(now)
	if plan.View.settled {
		plan.Links = t.remote.links(plan.View, now)
	}
	return plan
}

// stamp returns a value that increases with time during this incarnation, even
// when the wall clock is set back. It orders the summaries of this host.
func (t *Table) stamp(now time.Time) int64 {
	return t.cfg.Self.Incarnation + int64(now.Sub(t.start))
}

// localSummary returns the summary of the local data centre.
func (t *Table) localSummary(now time.Time) Summary {
	s := Summary{Site: t.cfg.Self.Site, At: t.stamp(now)}
	for _, h := range t.hosts(now) {
		if h.State == StateLive || h.State == StateLeaving {
			s.Members = append(s.Members, h)
		}
	}
	return s
}

// notFailed returns the hosts of the data centre that have not failed, for peers
// to contact.
func (t *Table) notFailed(now time.Time) []Host {
	return slices.DeleteFunc(t.hosts(now), func(h Host) bool { return h.State == StateDead })
}

// hosts returns this host and all hosts of the data centre from which a message
// was received, in order of address.
func (t *Table) hosts(now time.Time) []Host {
	self := Host{Addr: t.cfg.Self.Addr, HTTP: t.cfg.HTTP, State: StateLive, Incarnation: t.cfg.Self.Incarnation}
	if t.Leaving() {
		self.State = StateLeaving
	}
	hosts := []Host{self}
	for _, p := range t.peers {
		if s := p.state(now); s != StateUnknown {
			hosts = append(hosts, Host{Addr: p.addr, HTTP: p.http, State: s, Incarnation: p.incarnation})
		}
	}
	slices.SortFunc(hosts, func(a, b Host) int { return a.Addr.Compare(b.Addr) })
	return hosts
}

// Changed reports whether the hosts of the data centre have changed since the
// last view was made. Missing heartbeats are detected at the next tick only.
func (t *Table) Changed() bool { return t.changed }

// View returns the current view.
func (t *Table) View(now time.Time) *View {
	t.changed = false
	v := &View{
		at:      now,
		self:    t.cfg.Self,
		leaving: t.Leaving(),
		settled: !now.Before(t.settledAt),
		hosts:   t.hosts(now),
		sites:   t.remote.sites(now),
	}
	for _, h := range v.hosts {
		if h.State == StateLive && (v.settled || h.Addr != v.self.Addr) {
			v.nodes = append(v.nodes, node{h.Addr, hashAddr(h.Addr)})
		}
	}
	return v
}
