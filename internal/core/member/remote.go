package member

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxSites bounds the remote data centres, maxContacts and maxSources the
	// entries of each.
	maxSites    = 256
	maxContacts = 1024
	maxSources  = 256
	// remoteContactRetention is how long an address of a remote data centre is
	// retained after it was last named. It must exceed partitions between
	// regions, which can last an hour.
	remoteContactRetention = 24 * time.Hour
	// memberRelays is the number of relays of a summary of which one carries
	// the members when they have not changed. Changes are sent in full
	// heartbeats, which are repeated until they are answered.
	memberRelays = 15
	// maxRelayAge is the age from which a summary is no longer relayed.
	maxRelayAge = 2 * Tick
	// relayTicks is the interval in ticks at which the summary of a data centre
	// is relayed to peers. With 2, two relays fit into SummaryAge, so the loss of
	// one heartbeat does not make a data centre disappear from the view.
	relayTicks = 2
)

// remoteSites is the state of all remote data centres.
type remoteSites struct {
	local  string
	byName map[string]*remoteSite
}

// remoteSite is the state of one remote data centre.
type remoteSite struct {
	relayOffset    uint64 // shifts the ticks of relays, different for each site
	contacts       map[netip.AddrPort]contact
	sources        map[netip.AddrPort]*source
	latest         Site // the latest summary; Received is zero before the first one
	direct         Site // the latest summary from the data centre itself
	relayedAt      time.Time
	relayedMembers []Host // members as last relayed by this host
	unanswered     int    // link heartbeats since the last answered one
}

// contact is an address of a remote data centre.
type contact struct {
	lastNamed   time.Time // last named by the host list or a host
	lastMessage time.Time // last message to this host
}

// source is a sender of summaries of a data centre.
type source struct {
	incarnation, at int64
	received        time.Time
	members         []Host
}

func newRemoteSites(local string) *remoteSites {
	return &remoteSites{local: local, byName: make(map[string]*remoteSite)}
}

// site returns the state of a remote data centre and creates it if needed. It
// returns nil for the local data centre and when there is no room.
func (r *remoteSites) site(name string) *remoteSite {
	if d := r.byName[name]; d != nil {
		return d
	}
	if name == "" || name == r.local || len(r.byName) >= maxSites {
		return nil
	}
	d := &remoteSite{
		relayOffset: xxhash.Sum64String(name) >> 1,
		contacts:    make(map[netip.AddrPort]contact),
		sources:     make(map[netip.AddrPort]*source),
	}
	r.byName[name] = d
	return d
}

// addContact records that an address of a data centre was named. It returns nil if
// the address is invalid or there is no room.
func (r *remoteSites) addContact(site string, a netip.AddrPort, now time.Time) *remoteSite {
	d := r.site(site)
	if d == nil || !a.IsValid() {
		return nil
	}
	c, ok := d.contacts[a]
	if !ok && len(d.contacts) >= maxContacts {
		return nil
	}
	c.lastNamed = now
	d.contacts[a] = c
	return d
}

// recordMessage records that a message from a host of a data centre arrived.
func (r *remoteSites) recordMessage(site string, a netip.AddrPort, now time.Time) {
	if d := r.addContact(site, a, now); d != nil {
		d.contacts[a] = contact{now, now}
	}
}

// merge records a summary and reports whether it is newer than the sender's
// previous one. The argument direct is set if the sender is a host of the data
// centre that the summary describes.
func (r *remoteSites) merge(from Ident, s *Summary, direct bool, now time.Time) bool {
	d := r.site(s.Site)
	if d == nil {
		return false
	}
	src := d.sources[from.Addr]
	switch {
	case src == nil && len(d.sources) >= maxSources:
		return false
	case src == nil || from.Incarnation > src.incarnation:
		src = &source{incarnation: from.Incarnation}
		d.sources[from.Addr] = src
	case from.Incarnation < src.incarnation || s.At <= src.at:
		return false
	}
	src.at, src.received = s.At, now
	if s.Members != nil {
		src.members = s.Members
	}
	if src.members == nil {
		src.members = d.latest.Members
	}
	d.latest = Site{
		Name: s.Site, Received: now, Members: src.members,
		Capacities: s.Capacities, Version: s.Version, Floor: s.Floor,
	}
	if direct {
		d.direct = d.latest
	}
	for _, m := range s.Members {
		r.addContact(s.Site, m.Addr, now)
	}
	return true
}

// linkAnswered records that the heartbeat of a link was answered.
func (r *remoteSites) linkAnswered(site string) {
	if d := r.byName[site]; d != nil {
		d.unanswered = 0
	}
}

// linkFailed records that the heartbeat of a link was not answered.
func (r *remoteSites) linkFailed(site string) {
	if d := r.byName[site]; d != nil {
		d.unanswered++
	}
}

// expire removes expired sources and contacts, and data centres without any.
func (r *remoteSites) expire(now time.Time) {
	for name, d := range r.byName {
		maps.DeleteFunc(d.sources, func(_ netip.AddrPort, s *source) bool { return now.Sub(s.received) >= incarnationRetention })
		maps.DeleteFunc(d.contacts, func(_ netip.AddrPort, c contact) bool { return now.Sub(c.lastNamed) >= remoteContactRetention })
		if len(d.contacts) == 0 && len(d.sources) == 0 {
			delete(r.byName, name)
		}
	}
}

// contains reports whether an address is a contact of a remote data centre.
func (r *remoteSites) contains(a netip.AddrPort) bool {
	for _, d := range r.byName {
		if _, ok := d.contacts[a]; ok {
			return true
		}
	}
	return false
}

// names returns the names of the remote data centres in order.
func (r *remoteSites) names() []string { return slices.Sorted(maps.Keys(r.byName)) }

// sites returns the remote data centres with a current summary in order of name.
func (r *remoteSites) sites(now time.Time) []Site {
	var sites []Site
	for _, name := range r.names() {
		d := r.byName[name]
		if !d.latest.Received.IsZero() && now.Sub(d.latest.Received) < SummaryAge {
			sites = append(sites, d.latest)
		}
	}
	return sites
}

// relays returns the summaries to relay to peers, which are those that came
// directly from remote data centres: for full heartbeats all recent ones with
// members, for others those that are due and were not relayed before, usually
// without members. The result changed is set when members differ from those
// relayed before, so that all peers need a full heartbeat. The summaries get
// stamps of this host.
func (r *remoteSites) relays(tick uint64, now time.Time, stamp func(time.Time) int64) (full, brief []Summary, changed bool) {
	for _, name := range r.names() {
		d := r.byName[name]
		if d.direct.Received.IsZero() || now.Sub(d.direct.Received) >= maxRelayAge {
			// Another host may relay in the meantime, so peers may not have
			// the members that this host relayed last.
			d.relayedMembers = nil
			continue
		}
		updated := !slices.Equal(d.direct.Members, d.relayedMembers)
		changed = changed || updated
		turn := tick + d.relayOffset
		s := Summary{
			Site: name, At: stamp(d.direct.Received), Members: d.direct.Members,
			Capacities: d.direct.Capacities, Version: d.direct.Version, Floor: d.direct.Floor,
		}
		// A receiver of the brief summary must not ignore the full one.
		f := s
		f.At++
		full = append(full, f)
		if !updated && (turn%relayTicks != 0 || !d.direct.Received.After(d.relayedAt)) {
			continue
		}
		if !updated && (turn/relayTicks)%memberRelays != 0 {
			s.Members = nil
		}
		d.relayedAt, d.relayedMembers = d.direct.Received, d.direct.Members
		brief = append(brief, s)
	}
	return full, brief, changed
}

// links returns the heartbeats to those remote data centres for which this host
// has the link duty or whose summary lacks hosts. The receiver is the host that
// has the duty in the opposite direction, or another one after a failure.
func (r *remoteSites) links(v *View, now time.Time) []Link {
	var links []Link
	for _, name := range r.names() {
		d := r.byName[name]
		// Without a healthy host in the data centre, as when its only host is
		// leaving, this host maintains the link.
		has := v.Has("link/"+name) || len(v.nodes) == 0
		hint := d.hint(name, has, now)
		if len(d.contacts) == 0 || hint.Members == nil && !has {
			continue
		}
		var healthy, leaving, rest []netip.AddrPort
		for _, m := range d.latest.Members {
			if m.State == StateLive {
				healthy = append(healthy, m.Addr)
			} else {
				leaving = append(leaving, m.Addr)
			}
		}
		for a := range d.contacts {
			if !slices.Contains(healthy, a) && !slices.Contains(leaving, a) {
				rest = append(rest, a)
			}
		}
		var all []netip.AddrPort
		for _, group := range [][]netip.AddrPort{healthy, leaving, rest} {
			all = append(all, OrderOf("link/"+r.local, group)...)
		}
		links = append(links, Link{Site: name, To: all[d.unanswered%len(all)], Hint: hint})
	}
	return links
}

// hint returns the hosts that are missing from the latest summary of the data
// centre although this host recently received a message from them or, if
// fromSources is set, a current summary from another source contains them.
func (d *remoteSite) hint(name string, fromSources bool, now time.Time) Summary {
	s := Summary{Site: name}
	add := func(a netip.AddrPort) {
		is := func(h Host) bool { return h.Addr == a }
		if !slices.ContainsFunc(d.latest.Members, is) && !slices.ContainsFunc(s.Members, is) {
			s.Members = append(s.Members, Host{Addr: a})
		}
	}
	for a, c := range d.contacts {
		if !c.lastMessage.IsZero() && now.Sub(c.lastMessage) < DeadAfter {
			add(a)
		}
	}
	for _, src := range d.sources {
		if fromSources && now.Sub(src.received) < SummaryAge {
			for _, m := range src.members {
				add(m.Addr)
			}
		}
	}
	slices.SortFunc(s.Members, func(a, b Host) int { return a.Addr.Compare(b.Addr) })
	return s
}
