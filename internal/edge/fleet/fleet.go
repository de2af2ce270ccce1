// Package fleet joins what the store, the other hosts and the own requests say
// into one picture: the servers of each service, the regions, and the hosts
// that callers may use.
package fleet

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/core/pick"
	"github.com/yuccalb/yuccalb/internal/core/retry"
	"github.com/yuccalb/yuccalb/internal/core/share"
	"github.com/yuccalb/yuccalb/internal/core/spec"
	"github.com/yuccalb/yuccalb/internal/core/steer"
	"github.com/yuccalb/yuccalb/internal/edge/clock"
	"github.com/yuccalb/yuccalb/internal/edge/gossip"
	"github.com/yuccalb/yuccalb/internal/edge/track"
)

// proofMargin is kept below the time within which withdrawn keys must stop
// working, for the time between the check and the dispatch.
const proofMargin = 400 * time.Millisecond

// settle is the time after the start in which all hosts of a region that was
// restarted as a whole have registered and been listed.
const settle = 1500 * time.Millisecond

// Options sets up a Fleet.
type Options struct {
	Self   spec.Host
	Region string
	// Sites maps each data centre to its region.
	Sites map[string]string
	Seeds []netip.AddrPort
	// First is set when the whole system starts with this host.
	First bool
	// Revoke is the time within which withdrawn keys must stop working.
	Revoke time.Duration
	// Retries bounds the retries that all hosts together may save up.
	Retries int64
	Store   track.Store
	// Count counts calls of the store.
	Count track.Counter
	Log   *zap.Logger
	// Requests is for lines about single requests.
	Requests *zap.Logger
}

// Fleet is the picture that one host has. It is safe for concurrent use.
type Fleet struct {
	opts    Options
	boot    int64
	started time.Time
	settled bool // owned by Tick
	tracker *track.Tracker
	gossip  *gossip.Exchange
	book    *share.Book
	homes   steer.Homes
	leaving atomic.Bool
	ready   atomic.Bool

	tables atomic.Pointer[map[string]*Service]
	seeds  atomic.Pointer[[]netip.AddrPort]
	mu     sync.Mutex // guards changes of tables
}

// Service is a service in the own region.
type Service struct {
	Table *pick.Table
	// Budget bounds the retries to the service.
	Budget *retry.Budget
}

// New returns a fleet that exchanges its state over e. Start begins.
func New(opts Options, e *gossip.Exchange) *Fleet {
	f := &Fleet{opts: opts, gossip: e, boot: e.Boot(), started: time.Now(), book: share.NewBook(opts.First)}
	f.tables.Store(&map[string]*Service{})
	f.SetSeeds(opts.Seeds)
	f.tracker = track.New(track.Options{
		Store: opts.Store, Self: opts.Self, Log: opts.Log, Changed: f.Changed, Rank: f.Rank, Count: opts.Count,
	})
	return f
}

// Start begins to follow the store and to exchange states.
func (f *Fleet) Start() {
	f.tracker.Start()
	f.gossip.Start(f)
}

// Close stops both and waits for their goroutines.
func (f *Fleet) Close() error {
	f.tracker.Close()
	return f.gossip.Close()
}

// SetSeeds replaces the hosts to ask when the store does not answer.
func (f *Fleet) SetSeeds(seeds []netip.AddrPort) { f.seeds.Store(&seeds) }

// View returns what is known of the store.
func (f *Fleet) View() *track.View { return f.tracker.View() }

// Book returns the accounts of organisations.
func (f *Fleet) Book() *share.Book { return f.book }

// Service returns the state of a service, nil if it isn't known.
func (f *Fleet) Service(name string) *Service { return (*f.tables.Load())[name] }

// Region returns the region of a data centre.
func (f *Fleet) Region(site string) string { return f.opts.Sites[site] }

// Home returns the own region.
func (f *Fleet) Home() string { return f.opts.Region }

// Leave marks the host as leaving and tells the others at once.
func (f *Fleet) Leave() {
	f.leaving.Store(true)
	f.gossip.Flush()
}

// Leaving reports whether the host stops soon.
func (f *Fleet) Leaving() bool { return f.leaving.Load() }

// KeyAge returns the time since the keys were last known to be current, and
// whether they may still be used.
func (f *Fleet) KeyAge() (time.Duration, bool) {
	age, known := f.tracker.ProofAge()
	return age, known && age < f.opts.Revoke-proofMargin
}

// Ready reports whether the host can serve callers, and logs changes.
func (f *Fleet) Ready() bool {
	v := f.View()
	proved, fresh := f.KeyAge()
	ready := !f.Leaving() && v.Snapshot != nil && v.Listed && fresh
	if f.ready.Swap(ready) != ready {
		f.opts.Log.Info("readiness", zap.Bool("ready", ready), zap.Bool("leaving", f.Leaving()), zap.Int64("config", v.Rev), zap.Duration("proof_age", proved), zap.Bool("listed", v.Listed))
	}
	return ready
}

// Changed takes over the newest view of the store.
func (f *Fleet) Changed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.View()
	if v.Snapshot == nil || !v.Listed {
		return
	}
	now := time.Now()
	old := *f.tables.Load()
	tables := make(map[string]*Service, len(v.Snapshot.Services))
	warm := pick.Warming{Self: f.opts.Self.Name, Hosts: f.nearHosts(v), Settled: now.Sub(f.started) > settle}
	for _, svc := range v.Snapshot.Services {
		s := old[svc.Name]
		if s == nil {
			s = f.newService(svc, len(v.Hosts))
		}
		var list []spec.Server
		for _, e := range v.Servers {
			if e.Service == svc.Name && f.Region(e.Site) == f.opts.Region {
				list = append(list, e)
			}
		}
		s.Table.Update(svc, list, v.Evacuated, warm, v.Answered)
		tables[svc.Name] = s
	}
	f.tables.Store(&tables)
	f.book.Keep(f.known(v, now))
}

func (f *Fleet) newService(svc spec.Service, hosts int) *Service {
	seed := uint64(time.Now().UnixNano())
	return &Service{
		Table:  pick.NewTable(svc, rand.New(rand.NewPCG(seed, seed))),
		Budget: &retry.Budget{Limit: max(f.opts.Retries/int64(max(hosts, 1)), 1)},
	}
}

// nearHosts returns the names of the hosts of the own region.
func (f *Fleet) nearHosts(v *track.View) []string {
	names := map[string]bool{f.opts.Self.Name: true}
	for _, h := range v.Hosts {
		if f.Region(h.Site) == f.opts.Region {
			names[h.Name] = true
		}
	}
	for _, p := range f.gossip.Peers() {
		if f.Region(p.State.Host.Site) == f.opts.Region && time.Since(p.Heard) < gossip.Lost {
			names[p.State.Host.Name] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// known returns the names of other hosts that are registered or heard of.
func (f *Fleet) known(v *track.View, now time.Time) []string {
	var names []string
	for _, h := range v.Hosts {
		names = append(names, h.Name)
	}
	for _, p := range f.gossip.Peers() {
		if now.Sub(p.Heard) < gossip.Lost {
			names = append(names, p.State.Host.Name)
		}
	}
	return names
}

// State implements gossip.Source.
func (f *Fleet) State(near bool) gossip.State {
	now := time.Now()
	k := f.tracker.Known()
	at := clock.Now()
	s := gossip.State{
		Host: f.opts.Self, Boot: f.boot, Leaving: f.Leaving(), Ready: f.Ready(),
		Config: k.Config, Proof: age(at, k.Proof), Digest: k.Digest, List: k.List, Listed: age(at, k.Listed),
		Spent: f.book.Spent(), Services: make(map[string]pick.Summary),
	}
	if near {
		s.Loads = make(map[string]map[string]pick.Load)
		s.Placed = make(map[string][]pick.Placement)
	}
	teller := !near && f.Rank() == 0
	for name, svc := range *f.tables.Load() {
		s.Services[name] = svc.Table.Summary(now)
		if teller {
			s.Held = addHeld(s.Held, name, svc.Table.Held(now))
		}
		if !near {
			continue
		}
		loads, placed := svc.Table.Report(now)
		if len(loads) > 0 {
			s.Loads[name] = loads
		}
		if len(placed) > 0 {
			s.Placed[name] = placed
		}
	}
	return s
}

// addHeld adds the prefixes of a service, if there are any.
func addHeld(held map[string][]uint32, service string, list []uint32) map[string][]uint32 {
	if len(list) == 0 {
		return held
	}
	if held == nil {
		held = make(map[string][]uint32)
	}
	held[service] = list
	return held
}

// age returns the time from t to now, or 0 if t is not known.
func age(now, t time.Duration) time.Duration {
	if t == 0 {
		return 0
	}
	return now - t
}

// Tick implements gossip.Source. Other regions should hear soon when much was
// admitted since they last did.
func (f *Fleet) Tick() bool {
	if !f.settled && time.Since(f.started) > settle {
		f.settled = true
		f.Changed()
	}
	for _, svc := range *f.tables.Load() {
		if svc.Table.Unsure() {
			f.tracker.Refresh()
			break
		}
	}
	return f.book.Moved()
}

// Rank returns the rank of this host among those of its region that are heard
// of, in an order that all of them share.
func (f *Fleet) Rank() int {
	own := xxhash.Sum64String(f.opts.Self.Name)
	rank := 0
	for _, p := range f.gossip.Peers() {
		if p.State.Leaving || f.Region(p.State.Host.Site) != f.opts.Region || time.Since(p.Heard) > gossip.Lost {
			continue
		}
		if xxhash.Sum64String(p.State.Host.Name) < own {
			rank++
		}
	}
	return rank
}

// Targets implements gossip.Source.
func (f *Fleet) Targets() []gossip.Target {
	targets := make(map[netip.AddrPort]gossip.Target)
	add := func(addr netip.AddrPort, near bool) {
		if addr != f.opts.Self.Peer {
			targets[addr] = gossip.Target{Addr: addr, Near: near}
		}
	}
	for _, s := range *f.seeds.Load() {
		add(netip.AddrPortFrom(s.Addr(), f.opts.Self.Peer.Port()), false)
	}
	for _, h := range f.View().Hosts {
		add(h.Peer, f.Region(h.Site) == f.opts.Region)
	}
	for _, p := range f.gossip.Peers() {
		add(p.Addr(), f.Region(p.State.Host.Site) == f.opts.Region)
	}
	list := make([]gossip.Target, 0, len(targets))
	for _, t := range targets {
		list = append(list, t)
	}
	return list
}

// Heard implements gossip.Source.
func (f *Fleet) Heard(p gossip.Peer) {
	f.tracker.Heard(track.Known{Config: p.State.Config, Proof: p.Proof, Digest: p.State.Digest, List: p.State.List, Listed: p.Listed})
	f.book.Hear(p.State.Host.Name, p.State.Boot, p.State.Spent, p.Heard)
	if f.Region(p.State.Host.Site) != f.opts.Region {
		return
	}
	for name, svc := range *f.tables.Load() {
		svc.Table.Peer(p.State.Host.Name, p.State.Loads[name], p.State.Placed[name], p.Heard)
	}
}

// Place is another region that can serve a request.
type Place struct {
	Region string
	Hosts  []netip.AddrPort
	pick.Summary
	held []uint32
}

// Holds reports whether a server of the region is expected to cache a prefix.
func (p *Place) Holds(prefix uint64) bool {
	return slices.Contains(p.held, pick.Short(prefix))
}

// Places returns the other regions with usable servers of a service and hosts
// that can be reached.
func (f *Fleet) Places(service string) []Place {
	var places []Place
	for _, p := range f.gossip.Peers() {
		region := f.Region(p.State.Host.Site)
		sum := p.State.Services[service]
		if region == f.opts.Region || p.State.Leaving || sum.Servers == 0 || time.Since(p.Heard) > gossip.Lost {
			continue
		}
		i := slices.IndexFunc(places, func(x Place) bool { return x.Region == region })
		if i < 0 {
			places = append(places, Place{Region: region, Summary: sum})
			i = len(places) - 1
		}
		places[i].Hosts = append(places[i].Hosts, p.Addr())
		if held := p.State.Held[service]; held != nil {
			places[i].held = held
		}
	}
	slices.SortFunc(places, func(a, b Place) int {
		if a.Region < b.Region {
			return -1
		}
		return 1
	})
	return places
}

// load returns the wait of the service that has most of it.
func load(services map[string]pick.Summary) time.Duration {
	var d time.Duration
	for _, s := range services {
		d = max(d, s.Wait)
	}
	return d
}

// CountHomes counts a request of a route with homes.
func (f *Fleet) CountHomes(homes []string) { f.homes.Add(homes) }

// regions returns what is known of all regions.
func (f *Fleet) regions() []steer.Region {
	var static []string
	homed := false
	if snap := f.View().Snapshot; snap != nil {
		static, homed = snap.Homes()
	}
	found := make(map[string]*steer.Region)
	region := func(name string, wait time.Duration) *steer.Region {
		r := found[name]
		if r == nil {
			r = &steer.Region{Name: name, Load: wait, Misfit: f.homes.Misfit(name, static, homed)}
			found[name] = r
		}
		return r
	}
	if f.Ready() {
		r := region(f.opts.Region, load(f.State(false).Services))
		r.Hosts = append(r.Hosts, f.opts.Self.Front)
	}
	for _, p := range f.gossip.Peers() {
		if time.Since(p.Heard) >= gossip.Lost {
			continue
		}
		r := region(f.Region(p.State.Host.Site), load(p.State.Services))
		switch {
		case p.State.Leaving:
			r.Leaving = append(r.Leaving, p.State.Host.Front)
		case p.State.Ready:
			r.Hosts = append(r.Hosts, p.State.Host.Front)
		}
	}
	list := make([]steer.Region, 0, len(found))
	for _, r := range found {
		list = append(list, *r)
	}
	return list
}

// Lead returns the addresses of hosts for a caller of a region.
func (f *Fleet) Lead(region string, rng *rand.Rand) []netip.AddrPort {
	regions := f.regions()
	hosts, name := steer.Pick(region, regions, rng)
	switch {
	case len(hosts) == 0 && f.Leaving():
		return nil
	case len(hosts) == 0:
		// The refusal there tells when to return.
		f.opts.Requests.Info("no host for a caller", zap.String("caller", region))
		return []netip.AddrPort{f.opts.Self.Front}
	case name != region:
		f.led(region, name, regions)
	}
	return hosts
}

// led records a caller that is led to another region.
func (f *Fleet) led(caller, region string, regions []steer.Region) {
	e := f.opts.Requests.Check(zap.InfoLevel, "caller led away")
	if e == nil {
		return
	}
	fields := []zap.Field{zap.String("caller", caller), zap.String("region", region), zap.Int64("config", f.View().Rev)}
	for _, r := range regions {
		switch r.Name {
		case region:
			fields = append(fields, zap.Duration("load", r.Load), zap.Float64("misfit", r.Misfit))
		case caller:
			fields = append(fields, zap.Duration("own_load", r.Load), zap.Int("own_hosts", len(r.Hosts)))
		}
	}
	e.Write(fields...)
}
