// Package spend enforces the token rate limits of organisations in a daemon. It runs
// the state machine of core/quota with a clock, a lock and calls to other hosts, and
// claims this host's slot, its share of the limits, in the store.
package spend

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/core/model"
	"github.com/yuccalb/yuccalb/internal/core/quota"
	"github.com/yuccalb/yuccalb/internal/wire/peerpb"
)

const (
	// settleInterval is the time between two flushes of queued settlements.
	settleInterval = 100 * time.Millisecond
	// sweepInterval is the time between two removals of idle pools.
	sweepInterval = time.Second
	// ownerTimeout bounds a call to the owner of a pool in the local data centre,
	// which may in turn ask other data centres.
	ownerTimeout = time.Second
	// remoteTimeout bounds a call to another data centre; a wide-area round
	// trip takes 110 ms.
	remoteTimeout = 400 * time.Millisecond
	// failureBackoff is how long an owner is not asked after it failed to answer.
	failureBackoff = time.Second
)

// Sender calls other daemons.
type Sender interface {
	Grant(ctx context.Context, addr netip.AddrPort, req *peerpb.GrantRequest) (*peerpb.GrantReply, error)
	Settle(ctx context.Context, addr netip.AddrPort, req *peerpb.SettleRequest) (*peerpb.SettleReply, error)
}

// Config configures a Limiter.
type Config struct {
	Self        netip.AddrPort
	Site        string
	Incarnation int64 // start time in unix nanoseconds
	Rand        *rand.Rand
	Sender      Sender
	Log         *zap.Logger
}

// Limiter reserves tokens for requests and serves the pools that this host
// owns. It is safe for concurrent use.
type Limiter struct {
	cfg   Config
	ident *peerpb.Ident

	mu   sync.Mutex // guards node, members and failed
	node *quota.Node
	// members are the member hosts in the current view.
	members []netip.AddrPort
	failed  map[netip.AddrPort]time.Time // failed owners, with the end of their backoff

	version atomic.Uint64 // of the configuration in force
	batcher *batcher
	outbox  *outbox

	ctx    context.Context // ends with Close
	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// New starts a Limiter. Until Apply, SetView and SetSlot are called it has no
// configuration, membership view or slot. Close stops it.
func New(cfg Config) *Limiter {
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &Limiter{
		cfg:    cfg,
		ident:  &peerpb.Ident{Addr: cfg.Self.String(), Site: cfg.Site, Incarnation: cfg.Incarnation},
		node:   quota.NewNode(time.Now(), cfg.Self, cfg.Site, cfg.Incarnation, cfg.Rand),
		failed: map[netip.AddrPort]time.Time{},
		ctx:    ctx, cancel: cancel,
	}
	l.batcher = newBatcher(l)
	l.outbox = newOutbox(l)
	l.tasks.Go(l.run)
	return l
}

// run periodically sends settlements and removes idle state until Close.
func (l *Limiter) run() {
	settle := time.NewTicker(settleInterval)
	defer settle.Stop()
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-settle.C:
			l.outbox.flush(l.ctx)
		case <-sweep.C:
			l.sweep()
		}
	}
}

// sweep removes idle pools and owner failures whose backoff has ended.
func (l *Limiter) sweep() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.node.Sweep(now)
	for addr, until := range l.failed {
		if !now.Before(until) {
			delete(l.failed, addr)
		}
	}
}

// Close cancels calls in flight and sends the queued settlements, which takes at most
// settleTimeout. Later calls of Reserve are rejected, and later calls of Settle have
// no effect on other hosts.
func (l *Limiter) Close() error {
	l.batcher.close()
	l.cancel()
	l.tasks.Wait()
	l.outbox.wait() // cancelled calls queue their settlements again
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	l.outbox.flush(ctx)
	l.outbox.wait()
	return nil
}

// Apply makes snap the current configuration. The floor is the lowest configuration
// version in use at any host that holds a slot or belongs to a member list.
func (l *Limiter) Apply(snap *model.Snapshot, floor uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.node.Apply(time.Now(), snap, floor)
	l.version.Store(snap.Version)
}

// History returns the changes of earlier configuration versions that a starting host
// needs.
func (l *Limiter) History() []quota.Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.node.Shares().History()
}

// Restore applies the history received from a peer; see quota.Shares.Restore.
func (l *Limiter) Restore(history []quota.Change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.node.Restore(time.Now(), history)
}

// SetView sets the current view of the membership. The view must not be modified
// afterwards.
func (l *Limiter) SetView(v *quota.View) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.node.SetView(time.Now(), v)
	l.members = v.Members
}

// SetSlot sets the slot that this host may use until the given time; -1 means none.
func (l *Limiter) SetSlot(slot int, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.node.SetSlot(time.Now(), slot, until)
}

// Idle reports whether, after SetSlot(-1), all leases and grants of the slot have
// ended.
func (l *Limiter) Idle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.node.Idle(time.Now())
}

// Slots returns the number of usable slots of the local data centre.
func (l *Limiter) Slots() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.node.Shares().Slots(l.cfg.Site)
}

// Lease returns the slot lease to include in the reply to a heartbeat from another
// host of the data centre, or nil. It must be called before the reply is sent. The
// argument returned is the heartbeat's field of that name.
func (l *Limiter) Lease(from netip.AddrPort, returned uint64) *peerpb.SlotLease {
	l.mu.Lock()
	defer l.mu.Unlock()
	lease, ok := l.node.Lease(time.Now(), from, returned)
	if !ok {
		return nil
	}
	return &peerpb.SlotLease{
		Slot: uint32(lease.Slot), Length: int64(lease.Length), Seq: lease.Seq, Members: quota.Digest(lease.Members),
	}
}

// AcceptLease accepts the lease in the reply to a heartbeat; msg may be nil. The argument
// sent is the time of the heartbeat, read before it was sent, since the lease runs
// from then.
func (l *Limiter) AcceptLease(from netip.AddrPort, sent time.Time, msg *peerpb.SlotLease) {
	if msg == nil {
		return
	}
	lease := quota.Lease{Slot: int(msg.GetSlot()), Length: time.Duration(msg.GetLength()), Seq: msg.GetSeq()}
	l.mu.Lock()
	defer l.mu.Unlock()
	if msg.GetMembers() == quota.Digest(l.members) {
		lease.Members = l.members // a lease for any other member list is returned
	}
	l.node.AcceptLease(time.Now(), from, sent, lease)
}

// ReturnedLease returns the value of the field returned in heartbeats to a host: the highest
// sequence number among the leases from that host that this host has returned.
func (l *Limiter) ReturnedLease(to netip.AddrPort) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.node.ReturnedLease(to)
}
