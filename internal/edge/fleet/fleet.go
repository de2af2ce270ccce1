// Package fleet joins what the store, the other hosts and the own requests say
// into one picture: the servers of each service, the regions, and the hosts
// that callers may use.
package fleet

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/core/admit"
	"github.com/yuccalb/yuccalb/internal/core/pick"
	"github.com/yuccalb/yuccalb/internal/core/retry"
	"github.com/yuccalb/yuccalb/internal/core/share"
	"github.com/yuccalb/yuccalb/internal/core/spec"
	"github.com/yuccalb/yuccalb/internal/core/spread"
	"github.com/yuccalb/yuccalb/internal/core/steer"
	"github.com/yuccalb/yuccalb/internal/edge/gossip"
	"github.com/yuccalb/yuccalb/internal/edge/track"
)

// proofMargin is kept below the time within which withdrawn keys must stop
// working, for the time between the check and the dispatch.
const proofMargin = 400 * time.Millisecond

// retryShare of the retries that are allowed are used. The rest is for calls that
// servers make on behalf of a repeated request, which count as well.
const retryShare = 0.8

// settleTime is the time after the start in which all hosts of a region that was
// restarted as a whole have registered and been listed.
const settleTime = 1500 * time.Millisecond

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
	// Retries bounds the retries of a service that all hosts together may
	// save up, and RetryRatio those that each request to it earns.
	Retries    int64
	RetryRatio float64
	Store      track.Store
	// Mirror reads from other hosts what they have read from the store.
	Mirror track.Mirror
	// Count counts calls of the store.
	Count track.Counter
	Log   *zap.Logger
	// Requests is for lines about single requests.
	Requests *zap.Logger
}

// Fleet is the picture that one host has. It is safe for concurrent use.
type Fleet struct {
	opts         Options
	processStart int64
	started      time.Time
	tracker      *track.Tracker
	gossip       *gossip.Exchange
	limiter      *share.Limiter
	homes        steer.HomeCounts
	reports      reports
	leaving      atomic.Bool
	ready        atomic.Bool
	// joined is set once another host of the region was heard, or had time to.
	joined atomic.Bool

	tables atomic.Pointer[map[string]*Service]
	seeds  atomic.Pointer[[]netip.AddrPort]
	mu     sync.Mutex // guards changes of tables and listed
	listed time.Time  // of the first list of entries

	// rank is that of this host in its region.
	rank atomic.Int64

	rounds  sync.Mutex // guards what follows
	settled bool
	far     time.Time // of the last round to other regions
}

// Service is a service in the own region.
type Service struct {
	Table *pick.Table
	// Budget bounds the retries to the service.
	Budget *retry.Budget
	// Mix are the requests to the service that this host has seen.
	Mix admit.Mix
}

// New returns a fleet that exchanges its state over e. Start begins.
func New(opts Options, e *gossip.Exchange) *Fleet {
	f := &Fleet{opts: opts, gossip: e, processStart: e.ProcessStart(), started: time.Now(), limiter: share.NewLimiter(opts.First)}
	f.tables.Store(&map[string]*Service{})
	f.joined.Store(opts.First)
	f.SetSeeds(opts.Seeds)
	f.tracker = track.New(track.Options{
		Store: opts.Store, Mirror: opts.Mirror, Self: opts.Self, First: opts.First, Log: opts.Log,
		Changed: f.Changed, Rank: f.Rank, Sources: f.sources, Count: opts.Count,
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

// Restores returns how often the store came back from a copy while this process
// ran.
func (f *Fleet) Restores() int64 { return f.tracker.Restores() }

// Book returns the rate limiter of organisations.
func (f *Fleet) Book() *share.Limiter { return f.limiter }

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
	ready := !f.Leaving() && v.Snapshot != nil && v.Listed() && f.joined.Load() && fresh
	if f.ready.Swap(ready) != ready {
		f.opts.Log.Info("readiness", zap.Bool("ready", ready), zap.Bool("leaving", f.Leaving()), zap.Stringer("config", v.Item.Rev), zap.Duration("proof_age", proved), zap.Bool("listed", v.Listed()))
	}
	return ready
}

// Changed takes over the newest view of the store.
func (f *Fleet) Changed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.View()
	if v.Snapshot == nil || !v.Listed() {
		return
	}
	now := time.Now()
	if f.listed.IsZero() {
		f.listed = now
	}
	if !f.joined.Load() {
		return
	}
	old := *f.tables.Load()
	tables := make(map[string]*Service, len(v.Snapshot.Services))
	names := f.nearNames(v, now)
	warm := pick.Warming{
		Self: f.opts.Self.Name, Hosts: names, Settled: now.Sub(f.started) > settleTime,
		Reports: spread.Interval(len(names)),
	}
	retries := retryShare * float64(f.opts.Retries) / float64(f.hosts(v, now))
	for _, svc := range v.Snapshot.Services {
		s := old[svc.Name]
		if s == nil {
			s = f.newService(svc)
		}
		s.Budget.SetLimit(retries)
		var list []spec.Server
		for _, e := range v.Usable() {
			if e.Service == svc.Name && f.Region(e.Site) == f.opts.Region {
				list = append(list, e)
			}
		}
		s.Table.Update(svc, list, v.Evacuated, warm, v.Answered)
		tables[svc.Name] = s
	}
	f.tables.Store(&tables)
	f.limiter.Retain(f.accounted(v, now))
}

func (f *Fleet) newService(svc spec.Service) *Service {
	seed := uint64(time.Now().UnixNano())
	return &Service{
		Table:  pick.NewTable(svc, rand.New(rand.NewPCG(seed, seed))),
		Budget: &retry.Budget{Ratio: retryShare * f.opts.RetryRatio},
	}
}

// hosts returns the number of hosts of all regions.
func (f *Fleet) hosts(v *track.View, now time.Time) int {
	n := len(f.nearNames(v, now))
	for _, list := range f.farHosts() {
		n += len(list)
	}
	return n
}
