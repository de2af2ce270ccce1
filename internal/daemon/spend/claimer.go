package spend

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/core/slots"
	"github.com/yuccalb/yuccalb/internal/daemon/pause"
)

const (
	// claimInterval is the mean time between reads of the record while this host
	// has no usable slot.
	claimInterval = 2 * time.Second
	// startupInterval replaces claimInterval during the startupPeriod of a process,
	// when the first write often loses a race with other starting hosts. 370 hosts
	// that start at once use 925 of the store's 2,000 reads per second.
	startupInterval = 400 * time.Millisecond
	startupPeriod   = 10 * time.Second
	// confirmInterval is the mean time between reads that confirm a held slot. 370
	// hosts use 6 of the store's 2,000 reads per second.
	confirmInterval = time.Minute
	// storeTimeout bounds a call to the store.
	storeTimeout = 5 * time.Second
	// releasePollInterval is the time between two checks during Release.
	releasePollInterval = 100 * time.Millisecond
)

// Store is the subset of the key-value store that slot claims need. Get returns
// version 0 for an absent key. Swap is a compare-and-swap: it writes only if the
// version is prev, and otherwise reports false.
type Store interface {
	Get(ctx context.Context, key string) (value []byte, version uint64, err error)
	Swap(ctx context.Context, key string, value []byte, prev uint64) (version uint64, ok bool, err error)
}

// ClaimConfig configures a Claimer.
type ClaimConfig struct {
	Self          slots.Holder
	Site          string
	TakeoverDelay time.Duration // slots.TakeoverDelay, except in tests
	Store         Store
	Limiter       *Limiter
	// PeerFailed reports whether a host of the data centre is considered failed.
	PeerFailed func(netip.AddrPort) bool
	// CheckCurrent returns nil if this host's configuration is at least as new as the
	// version that the store held after the call began. A new slot is not used
	// before that, because other hosts may have raised their shares without
	// counting this one. A nil CheckCurrent skips the check.
	CheckCurrent func(ctx context.Context) error
	Rand         *rand.Rand
	Log          *zap.Logger
}

// Claimer claims a slot for this host in the store, keeps the claim and sets the slot
// in the Limiter. It is safe for concurrent use.
type Claimer struct {
	cfg       ClaimConfig
	mu        sync.Mutex // guards what follows up to ctx
	claim     *slots.ClaimState
	stopped   bool
	confirmed bool // CheckCurrent has succeeded since the slot was claimed
	holders   []slots.Holder
	readAt    time.Time // last read of the record; zero before the first

	ctx    context.Context // ends with Close
	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// NewClaimer starts a Claimer. The time of the call is taken as the start time of the
// process. Close stops it.
func NewClaimer(cfg ClaimConfig) *Claimer {
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &Claimer{cfg: cfg, claim: slots.New(cfg.Self, time.Now(), cfg.TakeoverDelay), ctx: ctx, cancel: cancel}
	c.tasks.Go(c.run)
	return c
}

// run calls Step at random intervals. A slot that becomes usable only later is passed to
// the Limiter by a later step, so the intervals are short until a slot is in use.
func (c *Claimer) run() {
	started := time.Now()
	for {
		if err := c.Step(c.ctx); err != nil && c.ctx.Err() == nil {
			c.cfg.Log.Warn("slot claim step failed", zap.Error(err))
		}
		mean := claimInterval
		switch {
		case c.inUse():
			mean = confirmInterval
		case time.Since(started) < startupPeriod:
			mean = startupInterval
		}
		timer := time.NewTimer(mean/2 + time.Duration(c.cfg.Rand.Int64N(int64(mean))))
		select {
		case <-c.ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

// inUse reports whether the host may use its slot now.
func (c *Claimer) inUse() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _, ok := c.claim.Slot(time.Now())
	return ok && c.confirmed
}

// Step reads the record of slot claims once and, if the rules in core/slots require a
// change, writes it with compare-and-swap.
func (c *Claimer) Step(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	key := slots.Key(c.cfg.Site)
	sent := time.Now()
	data, version, err := c.cfg.Store.Get(ctx, key)
	if err != nil {
		return fmt.Errorf("read %s: %w", key, err)
	}
	rec, err := slots.Decode(data)
	if err != nil {
		return fmt.Errorf("read %s: %w", key, err)
	}
	next := c.applyRead(sent, rec, version)
	if next != nil {
		writeSent := time.Now()
		written, ok, err := c.cfg.Store.Swap(ctx, key, next.Encode(), version)
		if err != nil {
			// The write may have taken effect; the next read shows it.
			return fmt.Errorf("write %s: %w", key, err)
		}
		if ok {
			c.applyWrite(writeSent, *next, written)
		}
	}
	return c.confirm(ctx)
}

// applyRead passes a read of the record to the state machine. It returns the record to
// write, or nil.
func (c *Claimer) applyRead(sent time.Time, rec slots.Record, version uint64) *slots.Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	conditions := slots.Conditions{Slots: c.cfg.Limiter.Slots(), Failed: c.cfg.PeerFailed}
	c.readAt = time.Now()
	c.holders = c.holders[:0:0]
	for _, claim := range rec.Claims {
		c.holders = append(c.holders, claim.Holder)
	}
	next := c.claim.Read(c.readAt, sent, rec, version, conditions)
	c.updateLimiter()
	return next
}

// applyWrite passes a successful write of the record to the state machine.
func (c *Claimer) applyWrite(sent time.Time, rec slots.Record, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.claim.Written(time.Now(), sent, rec, version)
	c.updateLimiter()
}

// confirm checks after each new claim, until it succeeds once, that the configuration
// is current.
func (c *Claimer) confirm(ctx context.Context) error {
	c.mu.Lock()
	pending := c.claim.Held() && !c.confirmed
	c.mu.Unlock()
	if !pending {
		return nil
	}
	if c.cfg.CheckCurrent != nil {
		if err := c.cfg.CheckCurrent(ctx); err != nil {
			return fmt.Errorf("confirm the configuration: %w", err)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.confirmed = c.claim.Held()
	c.updateLimiter()
	return nil
}

// updateLimiter sets the usable slot in the Limiter. The caller must hold c.mu.
func (c *Claimer) updateLimiter() {
	if !c.claim.Held() {
		c.confirmed = false
	}
	slot, until, ok := c.claim.Slot(time.Now())
	if !ok || c.stopped || !c.confirmed {
		slot, until = -1, time.Now()
	}
	c.cfg.Limiter.SetSlot(slot, until)
}

// Slot returns the slot in use, or -1 if there is none.
func (c *Claimer) Slot() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	slot, _, ok := c.claim.Slot(time.Now())
	if !ok || c.stopped || !c.confirmed {
		return -1
	}
	return slot
}

// Holders returns the processes that held slots when the record was last read. The
// result must not be modified.
func (c *Claimer) Holders() []slots.Holder {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holders
}

// Age returns the time since the record was last read, or a negative value if it has
// never been read.
func (c *Claimer) Age() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readAt.IsZero() {
		return -1
	}
	return time.Since(c.readAt)
}

// Release releases the slot. It stops the use of the slot, waits until all its leases
// and grants have ended (about 7 seconds unless lessees return them earlier) and removes
// the claim. It returns an error if ctx ends first; the claim then stays in the record
// until another process takes it over.
func (c *Claimer) Release(ctx context.Context) error {
	c.mu.Lock()
	c.stopped = true
	c.updateLimiter()
	c.mu.Unlock()
	for !c.cfg.Limiter.Idle() {
		if err := pause.Sleep(ctx, releasePollInterval); err != nil {
			return fmt.Errorf("wait for leases of the slot: %w", err)
		}
	}
	c.mu.Lock()
	c.claim.Release()
	c.mu.Unlock()
	for {
		err := c.Step(ctx)
		c.mu.Lock()
		held := c.claim.Held()
		c.mu.Unlock()
		if err == nil && !held {
			return nil
		}
		if stop := pause.Sleep(ctx, releasePollInterval); stop != nil {
			return fmt.Errorf("release the slot: %w", stop)
		}
	}
}

// Close stops the reads and waits for a store call in flight. It does not release the
// slot.
func (c *Claimer) Close() error {
	c.cancel()
	c.tasks.Wait()
	return nil
}
