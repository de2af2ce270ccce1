// Package fleet maintains a host's view of the whole system: the servers of each
// service, the regions, and the hosts that callers may use. It combines the entries
// of the store, the states of other hosts and the requests of this host.
package fleet

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/core/pick"
	"github.com/yuccalb/yuccalb/internal/core/poison"
	"github.com/yuccalb/yuccalb/internal/core/rank"
	"github.com/yuccalb/yuccalb/internal/core/reach"
	"github.com/yuccalb/yuccalb/internal/core/resume"
	"github.com/yuccalb/yuccalb/internal/core/retry"
	"github.com/yuccalb/yuccalb/internal/core/roster"
	"github.com/yuccalb/yuccalb/internal/core/share"
	"github.com/yuccalb/yuccalb/internal/core/spec"
	"github.com/yuccalb/yuccalb/internal/core/steer"
	"github.com/yuccalb/yuccalb/internal/edge/gossip"
	"github.com/yuccalb/yuccalb/internal/edge/hold"
	"github.com/yuccalb/yuccalb/internal/edge/track"
)

// keyAgeMargin is subtracted from the time within which revoked keys must stop
// working. It covers the time between the check and the dispatch of a request.
const keyAgeMargin = 400 * time.Millisecond

// registerTime is the time after the start within which all hosts of a region that
// restarted as a whole have registered and read each other's entries.
const registerTime = 1500 * time.Millisecond

// Options sets up a Fleet.
type Options struct {
	Self   spec.Host
	Region string
	// Sites maps each data centre to its region.
	Sites map[string]string
	// Seeds are hosts to contact while the entries of the store have not been read
	// or no other host is reachable.
	Seeds []netip.AddrPort
	// First is set when the whole system starts with this host.
	First bool
	// Revoke is the time within which revoked keys must stop working.
	Revoke time.Duration
	// Retries bounds the retry budget of a service, over all hosts together, and
	// RetryRatio is the deposit of each request to it.
	Retries    int64
	RetryRatio float64
	Store      track.Store
	// PeerReader reads from other hosts the data that they have read from the
	// store.
	PeerReader track.PeerReader
	// Records writes to the store what must outlive the hosts.
	Records Records
	// Count counts calls to the store.
	Count track.Counter
	Log   *zap.Logger
	// Requests is the log for lines about single requests.
	Requests *zap.Logger
}

// Fleet is the view that one host has of the system. It is safe for concurrent use.
type Fleet struct {
	opts         Options
	processStart int64 // in Unix nanoseconds
	started      time.Time
	tracker      *track.Tracker
	gossip       *gossip.Exchange
	limiter      *share.Limiter
	budgets      *retry.Budgets
	homes        steer.HomeCounts
	bases        resume.Bases
	moves        resume.Moves
	lists        resume.Lists
	path         *reach.Path
	marks        marks
	reports      reports
	leaving      atomic.Bool
	ready        atomic.Bool
	// joined is set once the state of another host of the region was received, or
	// the time for it has passed.
	joined atomic.Bool

	tables   atomic.Pointer[map[string]*Service]
	seeds    atomic.Pointer[[]netip.AddrPort]
	stop     chan struct{} // ends keepRecords
	done     sync.WaitGroup
	mu       sync.Mutex // guards changes of tables and the fields below
	listedAt time.Time  // of the first list of entries
	absent   absentServices
	// roster tells among which hosts limits are divided, and sharing is what it told
	// last. division gives this host its part of the retry budgets, in retries, the last of
	// which is retryPart.
	roster    roster.Roster
	sharing   roster.Members
	holding   bool
	division  retry.Division
	retryPart float64

	// regionSize is the number of hosts of the region, with this one.
	regionSize atomic.Int64
	sent       sentRequests

	// position is that of this host in the order of its region's hosts.
	position atomic.Int64

	roundMu    sync.Mutex // guards the fields below
	registered bool
	remoteAt   time.Time // of the last round to remote regions
}

// Service is the state of a service in the local region.
type Service struct {
	Table *pick.Table
	// Poison finds the parts of prompts that make the servers crash.
	Poison *poison.Detector
	// Kinds are those of the recent requests to the service at this host.
	Kinds rank.Kinds
	// Held are the requests that wait for room at servers with a refusal limit. A host has
	// one such line for a service.
	Held hold.Line
}

// New returns a fleet that exchanges its state over e. It is idle until Start is
// called.
func New(opts Options, e *gossip.Exchange) *Fleet {
	f := &Fleet{
		opts: opts, gossip: e, processStart: e.ProcessStart(), started: time.Now(), stop: make(chan struct{}), absent: make(absentServices),
		limiter: share.NewLimiter(opts.First), budgets: retry.NewBudgets(retryShare * opts.RetryRatio), roster: roster.Roster{First: opts.First}, division: retry.Division{First: opts.First},
	}
	f.path = reach.NewPath(rand.New(rand.NewPCG(uint64(f.processStart), 0)))
	f.tables.Store(&map[string]*Service{})
	f.joined.Store(opts.First)
	f.SetSeeds(opts.Seeds)
	f.tracker = track.New(track.Options{
		Store: opts.Store, PeerReader: opts.PeerReader, Self: opts.Self, First: opts.First, Log: opts.Log,
		OnChange: f.Update, Position: f.Position, Sources: f.sources, Count: opts.Count,
	})
	return f
}

// Start begins to follow the store and to exchange states with other hosts.
func (f *Fleet) Start() {
	f.tracker.Start()
	f.gossip.Start(f)
	f.done.Go(f.keepRecords)
}

// Close stops following and the exchange and waits for their goroutines.
func (f *Fleet) Close() error {
	close(f.stop)
	f.done.Wait()
	f.tracker.Close()
	return f.gossip.Close()
}

// ProcessStart returns the start of this process in Unix nanoseconds.
func (f *Fleet) ProcessStart() int64 { return f.processStart }

// SetSeeds replaces Options.Seeds.
func (f *Fleet) SetSeeds(seeds []netip.AddrPort) { f.seeds.Store(&seeds) }

// View returns the last data read from the store.
func (f *Fleet) View() *track.View { return f.tracker.View() }

// Restores returns how often the store was restored from a copy while this
// process ran.
func (f *Fleet) Restores() int64 { return f.tracker.Restores() }

// Limiter returns the rate limiter of organisations.
func (f *Fleet) Limiter() *share.Limiter { return f.limiter }

// Service returns the state of a service, or nil if it is unknown.
func (f *Fleet) Service(name string) *Service { return (*f.tables.Load())[name] }

// LimitedServers returns the number of servers of the region that name a limit, and the
// sum of their limits in requests per second over all hosts.
func (f *Fleet) LimitedServers() (servers int, rate float64) {
	for _, svc := range *f.tables.Load() {
		n, r := svc.Table.LimitedServers()
		servers += n
		rate += r
	}
	return servers, rate
}

// RefusalLimited returns the number of servers of the region with a refusal limit.
func (f *Fleet) RefusalLimited() int {
	n := 0
	for _, svc := range *f.tables.Load() {
		n += svc.Table.RefusalLimited()
	}
	return n
}

// Waiting returns the number of requests that wait for room, by service and priority.
func (f *Fleet) Waiting() map[string]map[int]int {
	waiting := make(map[string]map[int]int)
	for name, svc := range *f.tables.Load() {
		if counts := svc.Held.Counts(); len(counts) > 0 {
			waiting[name] = counts
		}
	}
	return waiting
}

// Region returns the region of a data centre.
func (f *Fleet) Region(site string) string { return f.opts.Sites[site] }

// LocalRegion returns the local region.
func (f *Fleet) LocalRegion() string { return f.opts.Region }

// Leave marks the host as leaving and sends its state to the others immediately.
func (f *Fleet) Leave() {
	f.leaving.Store(true)
	f.gossip.Flush()
}

// Leaving reports whether the host stops soon.
func (f *Fleet) Leaving() bool { return f.leaving.Load() }

// KeyAge returns the time since the keys were last confirmed to be current, and
// whether they may still be used.
func (f *Fleet) KeyAge() (time.Duration, bool) {
	age, confirmed := f.tracker.ConfirmedAge()
	return age, confirmed && age < f.opts.Revoke-keyAgeMargin
}

// Ready reports whether the host can serve callers, and logs changes.
func (f *Fleet) Ready() bool {
	v := f.View()
	keyAge, fresh := f.KeyAge()
	ready := !f.Leaving() && v.Snapshot != nil && v.Listed() && f.joined.Load() && fresh
	if f.ready.Swap(ready) != ready {
		f.opts.Log.Info("readiness", zap.Bool("ready", ready), zap.Bool("leaving", f.Leaving()), zap.Stringer("config", v.Item.Rev), zap.Duration("proof_age", keyAge), zap.Bool("listed", v.Listed()))
	}
	return ready
}

// Update updates the service tables and the limiter to the last data read from the
// store. It does nothing until the entries are listed and the host has joined.
func (f *Fleet) Update() {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.View()
	if v.Snapshot == nil || !v.Listed() {
		return
	}
	now := time.Now()
	if f.listedAt.IsZero() {
		f.listedAt = now
	}
	f.moves.Update(v.Snapshot.Routes, now)
	f.moves.UpdateStored(v.Routing, v.EntriesRev, now)
	f.bases.Update(resumableServices(v.Snapshot), v.Usable(), v.Bases, now)
	f.updateMembers(v, now)
	if !f.joined.Load() {
		return
	}
	old := *f.tables.Load()
	tables := make(map[string]*Service, len(v.Snapshot.Services))
	servers := make(map[string]bool)
	hosts := f.regionHosts(now)
	for _, svc := range v.Snapshot.Services {
		s := old[svc.Name]
		if s == nil {
			s = f.absent.take(svc.Name)
		}
		if s == nil {
			s = newService(svc)
		}
		var list []spec.Server
		for _, e := range v.Usable() {
			if e.Service == svc.Name && f.Region(e.Site) == f.opts.Region {
				list = append(list, e)
			}
		}
		for _, e := range list {
			servers[e.ID] = true
		}
		s.Table.Update(svc, list, v.Evacuated, hosts, v.Answered)
		f.updatePoison(svc.Name, s, list, v.Suspects, now)
		tables[svc.Name] = s
	}
	for name, s := range old {
		if tables[name] == nil {
			f.absent.add(name, s, now)
		}
	}
	f.absent.expire(now)
	f.tables.Store(&tables)
	f.path.SetServers(servers)
	f.limiter.Retain(f.limiterPeers(v, now))
}

func newService(svc spec.Service) *Service {
	seed := uint64(time.Now().UnixNano())
	return &Service{
		Poison: poison.NewDetector(),
		Table:  pick.NewTable(svc, rand.New(rand.NewPCG(seed, seed))),
	}
}
