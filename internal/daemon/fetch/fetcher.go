// Package fetch keeps the configuration of a daemon up to date. It fetches new versions
// from the store and from other daemons.
package fetch

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/adapt/store"
	"github.com/yuccalb/yuccalb/internal/core/config"
	"github.com/yuccalb/yuccalb/internal/core/model"
	"github.com/yuccalb/yuccalb/internal/core/vers"
	"github.com/yuccalb/yuccalb/internal/wire/peerpb"
)

// Store is the part of the key-value store that a Fetcher uses.
type Store interface {
	Get(ctx context.Context, key string) (store.Entry, error)
	List(ctx context.Context, prefix string) ([]store.Item, error)
	Watch(ctx context.Context, key string, after uint64) (store.Entry, error)
}

// Peers sends requests to other daemons.
type Peers interface {
	Pull(ctx context.Context, addr netip.AddrPort, have uint64) (*peerpb.PullReply, error)
}

// Options configures a Fetcher. Store, Peers and Rand are required.
type Options struct {
	Store Store
	Peers Peers
	// Rand is used by the control goroutine only.
	Rand *rand.Rand
	Log  *zap.Logger
}

// Fetcher holds the configuration in force. All methods may be called
// concurrently.
type Fetcher struct {
	opts      Options
	cancel    context.CancelFunc
	events    chan func(now time.Time)
	done      chan struct{}
	calls     sync.WaitGroup
	current   atomic.Pointer[current]
	confirmed atomic.Pointer[time.Time]

	mu          sync.Mutex
	changed     chan struct{}
	cancelWatch context.CancelFunc // cancels the pending watch, nil if there is none

	// Owned by the control goroutine.
	state *vers.State

	// Owned by the read or watch in progress, of which there is at most one.
	limiter      readLimiter
	segmentCache map[config.Digest][]byte
}

// New starts a Fetcher without a configuration.
func New(opts Options) *Fetcher {
	if opts.Log == nil {
		opts.Log = zap.NewNop()
	}
	ctx, cancel := context.WithCancel(context.Background())
	f := &Fetcher{
		opts:         opts,
		cancel:       cancel,
		events:       make(chan func(time.Time)),
		done:         make(chan struct{}),
		changed:      make(chan struct{}),
		state:        vers.New(time.Now(), opts.Rand),
		segmentCache: make(map[config.Digest][]byte),
	}
	go f.run(ctx)
	return f
}

// Close cancels all calls and waits for them and for the control goroutine. The
// configuration remains readable.
func (f *Fetcher) Close() error {
	f.cancel()
	<-f.done
	return nil
}

// Snapshot returns the configuration in force, or nil if there is none yet.
func (f *Fetcher) Snapshot() *model.Snapshot {
	if c := f.current.Load(); c != nil {
		return c.set.Snapshot
	}
	return nil
}

// Confirmed returns the latest time at which the store is known to have had no newer
// configuration, or the zero time.
func (f *Fetcher) Confirmed() time.Time {
	if t := f.confirmed.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

// Confirmation returns the version and digest in force, or 0 and "" if there is none
// yet, and a time at which the store had no newer version, or the zero time.
func (f *Fetcher) Confirmation() (version uint64, digest string, at time.Time) {
	// The time is read first: in the other order, the confirmation of a version put in
	// force in between would be attributed to the version before. An earlier
	// confirmation is valid for a later version.
	at = f.Confirmed()
	if c := f.current.Load(); c != nil {
		return c.set.Version(), c.set.Digest(), at
	}
	return 0, "", time.Time{}
}

// Changed returns a channel that is closed when the next version is put in force.
func (f *Fetcher) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// SetPeerVersion records the version that a peer reported in a heartbeat.
func (f *Fetcher) SetPeerVersion(peer netip.AddrPort, version uint64) {
	f.send(func(time.Time) { f.state.SetPeerVersion(peer, version) })
}

// RecordReply records the reply of a peer to a heartbeat that was sent at the given time:
// the peer's version, its digest, "" if the reply has none, and the age of the peer's
// confirmation, negative if it has none.
func (f *Fetcher) RecordReply(peer netip.AddrPort, sent time.Time, version uint64, digest string, age time.Duration) {
	f.send(func(now time.Time) {
		f.state.RecordReply(now, peer, sent, vers.Result{Version: version, Digest: digest, ConfirmedAge: age})
		f.publishConfirmed()
	})
}

// publishConfirmed makes the time of the last confirmation visible to Confirmed.
func (f *Fetcher) publishConfirmed() {
	if t := f.state.Confirmed(); !t.IsZero() {
		f.confirmed.Store(&t)
	}
}

// SetPeers replaces the peers: those of the local data centre, those of others, and
// those of the local data centre that watch the store. watch says whether this host
// watches the store too.
func (f *Fetcher) SetPeers(local, remote, watchers []netip.AddrPort, watch bool) {
	f.send(func(time.Time) {
		f.state.SetPeers(local, remote)
		f.state.SetWatchers(watch, watchers)
	})
}

// Pull returns the reply to a peer that has the version have, or 0 for none. The reply
// holds a patch if the patches since then are still available, the whole configuration
// if they are not, and neither if the peer is up to date.
func (f *Fetcher) Pull(have uint64) *peerpb.PullReply {
	at := f.Confirmed() // before the version, see Confirmation
	c := f.current.Load()
	if c == nil {
		return &peerpb.PullReply{Confirmed: -1}
	}
	reply := &peerpb.PullReply{Version: c.set.Version(), Digest: c.set.Digest(), Confirmed: -1}
	if !at.IsZero() {
		reply.Confirmed = int64(time.Since(at))
	}
	switch p := c.patchFrom(have); {
	case have >= c.set.Version():
	case p != nil:
		reply.Base, reply.Patch = have, p.Encode()
	default:
		reply.Patch = c.encoded()
	}
	return reply
}

// send passes e to the control goroutine, which runs it. It does not wait until e has
// run, and does nothing after Close.
func (f *Fetcher) send(e func(now time.Time)) {
	select {
	case f.events <- e:
	case <-f.done:
	}
}

// run is the body of the control goroutine.
func (f *Fetcher) run(ctx context.Context) {
	defer close(f.done)
	defer f.drainEvents()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		now := time.Now()
		a, ok, wake := f.state.Next(now)
		if ok && a.Kind == vers.KindCancelWatch {
			f.cancelStalledWatch()
			continue
		}
		if ok {
			f.calls.Go(func() { f.call(ctx, a) })
			continue
		}
		var tick <-chan time.Time
		if !wake.IsZero() {
			timer.Reset(max(0, wake.Sub(now)))
			tick = timer.C
		}
		select {
		case <-ctx.Done():
			return
		case e := <-f.events:
			e(time.Now())
		case <-tick:
		}
	}
}

// cancelStalledWatch cancels the watch if it is still pending.
func (f *Fetcher) cancelStalledWatch() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancelWatch != nil {
		f.opts.Log.Warn("watch of the configuration stalled; cancelling it")
		f.cancelWatch()
	}
}

// drainEvents waits for calls in progress and discards the outcomes that they send.
func (f *Fetcher) drainEvents() {
	finished := make(chan struct{})
	go func() {
		f.calls.Wait()
		close(finished)
	}()
	for {
		select {
		case <-f.events:
		case <-finished:
			return
		}
	}
}

// outcome is the result of an action. The set is nil unless it is newer than the one
// that was in force when the action started.
type outcome struct {
	vers.Result
	set   *config.Set
	patch *config.Patch
	bytes int // received
}

// call carries out an action and sends its outcome to the control goroutine.
func (f *Fetcher) call(ctx context.Context, a vers.Action) {
	out, err := f.execute(ctx, a)
	if err != nil {
		out = outcome{Result: vers.Result{Failed: true}}
		if ctx.Err() == nil {
			f.opts.Log.Info("fetching the configuration failed", zap.String("from", source(a)), zap.Uint64("have", a.Have), zap.Error(err))
		}
	}
	f.send(func(now time.Time) {
		if f.state.Done(now, a, out.Result) {
			f.apply(a, out)
		}
		f.publishConfirmed()
	})
}

// apply puts a set in force.
func (f *Fetcher) apply(a vers.Action, out outcome) {
	f.current.Store(f.current.Load().next(out.set, out.patch))
	f.state.SetMaxAge(lowestMaxConfigAge(out.set.Snapshot.Config))
	f.opts.Log.Info("configuration in force", zap.Uint64("version", out.Version), zap.String("digest", out.Digest),
		zap.String("from", source(a)), zap.Int("bytes", out.bytes))
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.changed)
	f.changed = make(chan struct{})
}

// source returns the name of the source of an action for the log.
func source(a vers.Action) string {
	if a.Kind == vers.KindPull {
		return a.Peer.String()
	}
	return "store"
}

// minFreshness returns the shortest age limit that an organisation sets for the
// confirmation, or 0 if none sets one.
func lowestMaxConfigAge(cfg *model.Config) time.Duration {
	var shortest time.Duration
	for i := range cfg.Orgs {
		if d := cfg.Orgs[i].MaxConfigAge; d > 0 && (shortest == 0 || d < shortest) {
			shortest = d
		}
	}
	return shortest
}
