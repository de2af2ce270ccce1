package beats

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/core/member"
	"github.com/yuccalb/yuccalb/internal/wire/peerpb"
)

const (
	// listInterval is the interval at which the host list is read.
	listInterval = 5 * time.Second
	// listTimeout bounds one read of the host list.
	listTimeout = 4 * time.Second
	// maxInFlight bounds the heartbeats in progress to all hosts together.
	maxInFlight = 256
)

// ErrClosed is returned after the loop was closed.
var ErrClosed = errors.New("membership loop is closed")

// ErrOutdated is returned for heartbeats of an incarnation that was replaced.
var ErrOutdated = errors.New("a newer incarnation of the sender is known")

// ErrRefused is returned for heartbeats that the membership table rejects: those
// without a valid sender, and those of new hosts while the table is full.
var ErrRefused = errors.New("heartbeat has no valid sender")

// Loop is the control loop of the membership protocol. Its methods are safe for
// concurrent use.
type Loop struct {
	opts   Options
	view   atomic.Pointer[member.View]
	events chan func(now time.Time)
	calls  chan struct{} // one per heartbeat in progress
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	// The control goroutine owns the fields below.
	table     *member.Table
	acked     map[netip.AddrPort]ack
	inflight  map[netip.AddrPort]int
	directory directory
}

// ack records the configuration versions whose digests this host and one
// incarnation of a peer have exchanged. Later messages omit these digests: within
// one run of a process, a version has only one digest.
type ack struct {
	incarnation int64
	sent        uint64 // version whose digest was sent to the peer
	received    uint64 // version whose digest the peer has sent
	digest      string // of version received
}

// Start starts a loop, which runs until Close.
func Start(opts Options) *Loop {
	if opts.Log == nil {
		opts.Log = zap.NewNop()
	}
	now := time.Now()
	l := &Loop{
		opts:     opts,
		events:   make(chan func(time.Time), 64),
		calls:    make(chan struct{}, maxInFlight),
		table:    member.New(member.Config{Self: opts.Self, HTTP: opts.HTTP, Seeds: opts.Seeds}, now),
		acked:    make(map[netip.AddrPort]ack),
		inflight: make(map[netip.AddrPort]int),
	}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.view.Store(l.table.View(now))
	l.wg.Go(l.run)
	if opts.Lister != nil {
		l.wg.Go(l.pollList)
	}
	return l
}

// Close cancels heartbeats in progress and waits for all goroutines of the loop.
// It does not announce that the host is leaving; Leave does.
func (l *Loop) Close() error {
	l.cancel()
	l.wg.Wait()
	return nil
}

// View returns the latest view. Callers must check View.Valid before they act on
// it.
func (l *Loop) View() *member.View { return l.view.Load() }

// run is the control goroutine.
func (l *Loop) run() {
	tick := time.NewTicker(member.Tick)
	defer tick.Stop()
	l.tick(time.Now())
	for {
		select {
		case <-l.ctx.Done():
			return
		case f := <-l.events:
			now := time.Now()
			l.handlePause(now)
			f(now)
			l.publish(now)
		case <-tick.C:
			now := time.Now()
			l.handlePause(now)
			l.tick(now)
		}
	}
}

// publish replaces the view if hosts have changed since it was made.
func (l *Loop) publish(now time.Time) {
	if l.table.Changed() {
		l.view.Store(l.table.View(now))
	}
}

// handlePause checks whether the process was suspended and, if so, replaces the view
// and notifies Options.Pauses. It is called before anything else is done after a pause.
func (l *Loop) handlePause(now time.Time) {
	pause := l.table.DetectPause(now)
	if pause == 0 {
		return
	}
	l.opts.Log.Warn("process was paused", zap.Duration("length", pause))
	l.view.Store(l.table.View(now))
	if l.opts.Pauses != nil {
		l.opts.Pauses.Paused(pause)
	}
}

// do runs f on the control goroutine and waits until it has returned.
func (l *Loop) do(ctx context.Context, f func(now time.Time)) error {
	done := make(chan struct{})
	event := func(now time.Time) {
		defer close(done)
		f(now)
	}
	select {
	case l.events <- event:
	case <-l.ctx.Done():
		return ErrClosed
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-l.ctx.Done():
		return ErrClosed
	}
}

// post queues f for the control goroutine and does not wait until it has run. Once
// the loop is closed, f is dropped.
func (l *Loop) post(f func(now time.Time)) {
	select {
	case l.events <- f:
	case <-l.ctx.Done():
	}
}

// tick sends the heartbeats of one tick and updates the view and the directory.
func (l *Loop) tick(now time.Time) {
	plan := l.table.Tick(now)
	l.view.Store(plan.View)
	l.sendHeartbeats(plan, nil)
	l.updateDirectory(plan.View, now)
	for a := range l.acked {
		if s := plan.View.State(a); s == member.StateUnknown || s == member.StateDead {
			delete(l.acked, a)
		}
	}
}

// pollList reads the platform's host list at each interval. It logs the first of
// several consecutive failures.
func (l *Loop) pollList() {
	tick := time.NewTicker(listInterval)
	defer tick.Stop()
	failing := false
	for {
		ctx, cancel := context.WithTimeout(l.ctx, listTimeout)
		hosts, err := l.opts.Lister.Hosts(ctx)
		cancel()
		switch {
		case err == nil:
			l.post(func(now time.Time) { l.table.List(hosts, now) })
		case l.ctx.Err() == nil && !failing:
			l.opts.Log.Warn("host list could not be read", zap.Error(err))
		}
		failing = err != nil
		select {
		case <-l.ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// Beat handles a heartbeat and returns the reply.
func (l *Loop) Beat(ctx context.Context, req *peerpb.BeatRequest) (*peerpb.BeatReply, error) {
	heartbeat := decodeHeartbeat(req)
	var reply *peerpb.BeatReply
	var err error
	if e := l.do(ctx, func(now time.Time) { reply, err = l.receive(heartbeat, req, now) }); e != nil {
		return nil, e
	}
	return reply, err
}

// receive handles a heartbeat on the control goroutine.
func (l *Loop) receive(heartbeat *member.Heartbeat, req *peerpb.BeatRequest, now time.Time) (*peerpb.BeatReply, error) {
	verdict := l.table.Receive(heartbeat, now)
	// Once a sender has the reply, the view must include its heartbeat.
	l.publish(now)
	switch verdict {
	case member.Outdated:
		return nil, ErrOutdated
	case member.Refused:
		return nil, ErrRefused
	}
	from := heartbeat.From
	if from.Site == "" {
		from.Site = l.opts.Self.Site
	}
	full := heartbeat.From.Site != ""
	reply := &peerpb.BeatReply{From: encodeIdent(l.opts.Self, full), State: encodeState(l.table.Leaving())}
	if v := l.opts.Versions; v != nil {
		local := v.Version()
		reply.Version, reply.Confirmed = local.Number, max(int64(local.Confirmed), -1)
		// A sender that omits its digest already has that of this host.
		if req.GetDigest() != "" {
			reply.Digest = local.Digest
		}
		v.ObserveVersion(from, req.GetVersion(), req.GetDigest(), time.Duration(req.GetConfirmed()))
	}
	if verdict == member.Accepted {
		l.deliver(from, req)
		if l.opts.Lessor != nil {
			reply.Lease = l.opts.Lessor.Lease(from, req.GetReturned(), l.view.Load())
		}
	}
	return reply, nil
}

// deliver passes the payload of a peer's heartbeat to the other components.
func (l *Loop) deliver(from member.Ident, req *peerpb.BeatRequest) {
	if l.opts.Loads != nil && len(req.GetLoads()) > 0 {
		l.opts.Loads.MergeLoads(from, head(req.GetLoads(), maxLoads))
	}
	if l.opts.Placements != nil && len(req.GetPlacements()) > 0 {
		l.opts.Placements.MergePlacements(from, head(req.GetPlacements(), maxPlacements))
	}
	// 0 means that the claims were never read.
	if l.opts.Claims != nil && req.GetClaims() > 0 {
		l.opts.Claims.ObserveClaims(from, time.Duration(req.GetClaims()))
	}
}
