// Package fetch keeps the configuration of a daemon up to date from the store
// and from other daemons.
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

// Store is what a Fetcher needs of the key-value service.
type Store interface {
	Get(ctx context.Context, key string) (store.Entry, error)
	List(ctx context.Context, prefix string) ([]store.Item, error)
	Watch(ctx context.Context, key string, after uint64) (store.Entry, error)
}

// Peers calls other daemons.
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
	now       atomic.Pointer[current]
	confirmed atomic.Pointer[time.Time]

	mu       sync.Mutex
	changed  chan struct{}
	endWatch context.CancelFunc // ends the waiting watch, nil when none waits

	// Owned by the control goroutine.
	state *vers.State

	// Owned by the one read or watch that is under way.
	pacer pacer
	parts map[config.Digest][]byte
}

// New starts a Fetcher without a configuration.
func New(opts Options) *Fetcher {
	if opts.Log == nil {
		opts.Log = zap.NewNop()
	}
	ctx, cancel := context.WithCancel(context.Background())
	f := &Fetcher{
		opts:    opts,
		cancel:  cancel,
		events:  make(chan func(time.Time)),
		done:    make(chan struct{}),
		changed: make(chan struct{}),
		state:   vers.New(time.Now(), opts.Rand),
		parts:   make(map[config.Digest][]byte),
	}
	go f.run(ctx)
	return f
}

// Close ends all calls and waits for them and for the control goroutine. The
// configuration stays readable.
func (f *Fetcher) Close() error {
	f.cancel()
	<-f.done
	return nil
}

// Snapshot returns the configuration in force, nil before there is one.
func (f *Fetcher) Snapshot() *model.Snapshot {
	if c := f.now.Load(); c != nil {
		return c.set.Snapshot
	}
	return nil
}

// Confirmed returns the last time at which the store is known to have had no
// newer configuration, or the zero time.
func (f *Fetcher) Confirmed() time.Time {
	if t := f.confirmed.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

// Confirmation returns the version and digest in force, 0 and "" before there is
// one, and a time at which the store had no newer version, or the zero time.
func (f *Fetcher) Confirmation() (version uint64, digest string, at time.Time) {
	// In the other order, the confirmation of a version put in force in between
	// would be told of the one before. An earlier one is true of a later version.
	at = f.Confirmed()
	if c := f.now.Load(); c != nil {
		return c.set.Version(), c.set.Digest(), at
	}
	return 0, "", time.Time{}
}

// Changed returns a channel that is closed when the next version is in force.
func (f *Fetcher) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Heard notes the version in a heartbeat of a peer.
func (f *Fetcher) Heard(peer netip.AddrPort, version uint64) {
	f.send(func(time.Time) { f.state.SetPeerVersion(peer, version) })
}

// Replied notes the reply to a heartbeat that was sent to a peer at a time: the
// peer's version, its digest, "" when it was left out, and the age of the peer's
// confirmation, negative for never.
func (f *Fetcher) Replied(peer netip.AddrPort, sent time.Time, version uint64, digest string, age time.Duration) {
	f.send(func(now time.Time) {
		f.state.RecordReply(now, peer, sent, vers.Result{Version: version, Digest: digest, ConfirmedAge: age})
		f.noteConfirmed()
	})
}

// noteConfirmed publishes the time of the last confirmation.
func (f *Fetcher) noteConfirmed() {
	if t := f.state.Confirmed(); !t.IsZero() {
		f.confirmed.Store(&t)
	}
}

// SetPeers replaces the peers: those of the data centre, those of others, and
// those of the data centre that have a store duty. The own duty is told by
// watch.
func (f *Fetcher) SetPeers(local, remote, watchers []netip.AddrPort, watch bool) {
	f.send(func(time.Time) {
		f.state.SetPeers(local, remote)
		f.state.SetWatchers(watch, watchers)
	})
}

// Pull returns what a peer lacks that has a version, 0 for none. It is a patch
// when the versions in between are still known.
func (f *Fetcher) Pull(have uint64) *peerpb.PullReply {
	at := f.Confirmed() // before the version, see Confirmation
	c := f.now.Load()
	if c == nil {
		return &peerpb.PullReply{Confirmed: -1}
	}
	reply := &peerpb.PullReply{Version: c.set.Version(), Digest: c.set.Digest(), Confirmed: -1}
	if !at.IsZero() {
		reply.Confirmed = int64(time.Since(at))
	}
	switch p := c.patch(have); {
	case have >= c.set.Version():
	case p != nil:
		reply.Base, reply.Patch = have, p.Encode()
	default:
		reply.Patch = c.whole()
	}
	return reply
}

// send runs e on the control goroutine. It returns before e has run, and does
// nothing after Close.
func (f *Fetcher) send(e func(now time.Time)) {
	select {
	case f.events <- e:
	case <-f.done:
	}
}

// run is the control goroutine.
func (f *Fetcher) run(ctx context.Context) {
	defer close(f.done)
	defer f.drain()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		now := time.Now()
		a, ok, wake := f.state.Next(now)
		if ok && a.Kind == vers.KindCancelWatch {
			f.renew()
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

// renew ends the watch if it is still waiting.
func (f *Fetcher) renew() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.endWatch != nil {
		f.opts.Log.Warn("watch of the configuration stalled")
		f.endWatch()
	}
}

// drain waits for calls under way, which still send their outcome.
func (f *Fetcher) drain() {
	ended := make(chan struct{})
	go func() {
		f.calls.Wait()
		close(ended)
	}()
	for {
		select {
		case <-f.events:
		case <-ended:
			return
		}
	}
}

// outcome is the result of an action, with the set that it led to if that is
// newer than the one in force when the action began.
type outcome struct {
	vers.Result
	set   *config.Set
	patch *config.Patch
	bytes int
}

// call carries out an action and reports its outcome.
func (f *Fetcher) call(ctx context.Context, a vers.Action) {
	out, err := f.do(ctx, a)
	if err != nil {
		out = outcome{Result: vers.Result{Failed: true}}
		if ctx.Err() == nil {
			f.opts.Log.Info("configuration not fetched", zap.String("from", source(a)), zap.Uint64("have", a.Have), zap.Error(err))
		}
	}
	f.send(func(now time.Time) {
		if f.state.Done(now, a, out.Result) {
			f.apply(a, out)
		}
		f.noteConfirmed()
	})
}

// apply puts a set in force.
func (f *Fetcher) apply(a vers.Action, out outcome) {
	f.now.Store(f.now.Load().next(out.set, out.patch))
	f.state.SetMaxAge(minFresh(out.set.Snapshot.Config))
	f.opts.Log.Info("configuration in force", zap.Uint64("version", out.Version), zap.String("digest", out.Digest),
		zap.String("from", source(a)), zap.Int("bytes", out.bytes))
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.changed)
	f.changed = make(chan struct{})
}

// source names where an action asks.
func source(a vers.Action) string {
	if a.Kind == vers.KindPull {
		return a.Peer.String()
	}
	return "store"
}

// minFresh returns the shortest time for which an organisation accepts a
// confirmation, 0 when none cares.
func minFresh(cfg *model.Config) time.Duration {
	var least time.Duration
	for i := range cfg.Orgs {
		if d := cfg.Orgs[i].Fresh; d > 0 && (least == 0 || d < least) {
			least = d
		}
	}
	return least
}
