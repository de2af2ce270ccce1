package track

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/core/eras"
	"github.com/yuccalb/yuccalb/internal/core/spec"
	"github.com/yuccalb/yuccalb/internal/edge/clock"
	"github.com/yuccalb/yuccalb/platform"
)

const (
	// maxEntriesAge is the age at which servers, hosts and evacuations are read
	// again. It is well below the 3 s within which a leaving server must stop
	// receiving requests. maxConfigAge is the same for the configuration; it is
	// longer because the configuration is larger and its changes have 3 s too.
	maxEntriesAge = 800 * time.Millisecond
	maxConfigAge  = 1200 * time.Millisecond
	// positionDelay is added to both ages for each position of the host in the
	// order of its region, up to maxPosition. The first host reads and reports to
	// the others; the next one reads if the first does not.
	positionDelay = 150 * time.Millisecond
	maxPosition   = 8
	// maxRefreshAge replaces maxEntriesAge after Refresh, which is called when a
	// server has failed, and while a listing is provisional.
	maxRefreshAge = 400 * time.Millisecond
	// retryPause is the pause after a failed call, and the minimum time between
	// reads of the configuration.
	retryPause = 300 * time.Millisecond
	// remoteDelay is how long a reported version is read from the store
	// before it is requested from hosts of remote regions.
	remoteDelay = 300 * time.Millisecond
	// callTimeout bounds a call to the store.
	callTimeout = 1500 * time.Millisecond
	// leaseTTL is the time to live of the host's own entry, which is renewed every
	// renewInterval. Hosts learn from state reports which peers are reachable;
	// the entry serves hosts that have received no report yet.
	leaseTTL      = 10 * time.Second
	renewInterval = 3500 * time.Millisecond
	// minOutage is the length of an outage after which entries may have expired
	// because they could not be renewed. Servers renew theirs more often than
	// that.
	minOutage = time.Second
	// pollInterval is how often the goroutines check whether a read is due.
	pollInterval = 50 * time.Millisecond
)

// Store is the platform's store.
type Store interface {
	// Era returns the newest era that any response has named.
	Era() int64
	Get(ctx context.Context, key string) (platform.Item, error)
	Entries(ctx context.Context) (platform.Entries, eras.Revision, error)
	Grant(ctx context.Context, ttl time.Duration) (platform.Lease, error)
	Keep(ctx context.Context, l platform.Lease) error
	Put(ctx context.Context, key string, value []byte, l platform.Lease) (eras.Revision, error)
	Remove(ctx context.Context, key string, rev eras.Revision) error
}

// Counter counts calls to the store, and to other hosts in its place, by name and
// outcome.
type Counter func(call string, err error)

// Options configures a Tracker.
type Options struct {
	Store Store
	Self  spec.Host
	// First is set when the whole system starts for the first time with this
	// host.
	First bool
	Log   *zap.Logger
	// PeerReader reads from other hosts what they have read from the store. It
	// may be nil.
	PeerReader PeerReader
	// Sources returns the other hosts that can be reached. It may be nil.
	Sources func() []Source
	// OnChange is called after each change of the view.
	OnChange func()
	// Position returns the position of the host in the order of its region, from 0.
	Position func() int
	Count    Counter
}

// Tracker follows the store. Its methods are safe for concurrent use.
type Tracker struct {
	opts Options
	view atomic.Pointer[View]
	// configConfirmed and entriesConfirmed are the times at which the
	// configuration in force was last known to be the newest, and the entries in
	// force to be current, on the clock of package clock.
	configConfirmed  MaxTime
	entriesConfirmed following
	// entryWritten and renewed are when the own entry was written and last renewed.
	entryWritten, renewed MaxTime
	// pendingConfig is the newest version of the configuration that a peer has
	// reported, and pendingEntries the newest revision of the store at which its
	// entries differed.
	pendingConfig  pending[eras.Version]
	pendingEntries pending[eras.Revision]
	refresh        atomic.Bool
	era            era

	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
	mu     sync.Mutex // guards changes of view
	// skipped is the revision of the last configuration that was read and not put
	// into force because it is not newer.
	skipped eras.Revision
	// configRead is when the configuration was last requested from the store.
	configRead time.Time

	entry  entry
	outage outage
}

// New returns a tracker with an empty view. Start begins to follow the store.
func New(opts Options) *Tracker {
	t := &Tracker{opts: opts}
	t.era.changed = make(chan struct{}, 1)
	t.view.Store(&View{Listing: &Listing{}})
	t.ctx, t.cancel = context.WithCancel(context.Background())
	return t
}

// Start begins to follow the store.
func (t *Tracker) Start() {
	t.done.Go(t.followEntries)
	t.done.Go(t.followConfig)
	t.done.Go(t.register)
}

// Close stops following, removes the host's entry and waits for the
// goroutines.
func (t *Tracker) Close() {
	t.cancel()
	t.done.Wait()
}

// View returns the current view.
func (t *Tracker) View() *View { return t.view.Load() }

// ConfirmedAge returns the time since the configuration in force was last confirmed to
// be the newest, or false if it never was. Suspensions of the host count.
func (t *Tracker) ConfirmedAge() (time.Duration, bool) {
	at := t.configConfirmed.At()
	if at == 0 {
		return 0, false
	}
	return clock.Now() - at, true
}

// StoreState is the state of the store as one host has last seen it, which hosts report
// to each other. Times are on the clock of the host that holds it.
type StoreState struct {
	// Era is the era of the store.
	Era eras.Era
	// Config is the version of the configuration in force, and ConfigConfirmed
	// the time at which it was confirmed to be the newest.
	Config          eras.Version
	ConfigConfirmed time.Duration
	// Digest is the digest of the entries, EntriesRev the revision of the store
	// at which they were read, and EntriesConfirmed the time at which they were
	// confirmed to be current.
	Digest           uint64
	EntriesRev       eras.Revision
	EntriesConfirmed time.Duration
}

// State returns the state to report to other hosts.
func (t *Tracker) State() StoreState {
	v := t.View()
	return StoreState{Era: t.era.get(), Config: v.Version(), ConfigConfirmed: t.configConfirmed.At(), Digest: v.Digest, EntriesRev: v.EntriesRev, EntriesConfirmed: t.entriesConfirmed.At()}
}

// MergeReport merges the state that a peer has reported, with its times converted to
// the clock of this host. A zero time is unknown.
func (t *Tracker) MergeReport(s StoreState) {
	t.mergeEra(s.Era, "host")
	v := t.View()
	if s.Config.Same(v.Version()) && v.Snapshot != nil && s.ConfigConfirmed > 0 {
		t.configConfirmed.Raise(s.ConfigConfirmed)
	}
	if s.Config.After(v.Version()) {
		t.pendingConfig.raise(s.Config, v.Version())
	}
	switch {
	case v.EntriesRev.After(s.EntriesRev) || !v.Listed():
	case s.Digest != v.Digest:
		t.pendingEntries.raise(s.EntriesRev, v.EntriesRev)
	case s.EntriesConfirmed > 0 && !v.provisional():
		// A provisional listing stays due: only a new read can drop expired
		// servers or confirm unconfirmed ones.
		t.entriesConfirmed.Raise(s.EntriesConfirmed)
	}
}

// Refresh makes the entries due for a read after maxRefreshAge.
func (t *Tracker) Refresh() { t.refresh.Store(true) }

// wait sleeps for d and reports whether the tracker is still open.
func (t *Tracker) wait(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-t.ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// readDelay returns how long this host leaves a due read to the hosts before it in
// the order of its region.
func (t *Tracker) readDelay() time.Duration {
	return time.Duration(min(t.opts.Position(), maxPosition)) * positionDelay
}
