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
	// wantInterval is the mean time between reads without a slot.
	wantInterval = 2 * time.Second
	// startInterval replaces it in the first startTime of a process, when the
	// first write often loses a race with other hosts that start: 370 hosts
	// at once make 925 of the store's 2,000 reads per second.
	startInterval = 400 * time.Millisecond
	startTime     = 10 * time.Second
	// heldInterval is the mean time between reads that confirm a slot: 370
	// hosts make 6 of the store's 2,000 reads per second.
	heldInterval = time.Minute
	// storeTimeout bounds a call to the store.
	storeTimeout = 5 * time.Second
	// idleInterval is the time between two looks at leases on release.
	idleInterval = 100 * time.Millisecond
)

// Store is the part of the key-value service that slot claims need. Get
// returns version 0 for an absent key. Swap writes only over version prev and
// reports false when another version was there.
type Store interface {
	Get(ctx context.Context, key string) (value []byte, version uint64, err error)
	Swap(ctx context.Context, key string, value []byte, prev uint64) (version uint64, ok bool, err error)
}

// ClaimConfig is what a Claimer needs.
type ClaimConfig struct {
	Self    slots.Holder
	Site    string
	Hold    time.Duration // slots.Hold but in tests
	Store   Store
	Limiter *Limiter
	// Gone reports whether a host of the data centre looks dead.
	Gone func(netip.AddrPort) bool
	// Current returns nil when the configuration in force is at least the
	// version that the store held after the call began. A new slot is used
	// only then: other hosts may have raised their shares without counting
	// this one. Nil skips the check.
	Current func(ctx context.Context) error
	Rand    *rand.Rand
	Log     *zap.Logger
}

// Claimer keeps a slot for this host and tells the Limiter. It is safe for
// concurrent use.
type Claimer struct {
	cfg     ClaimConfig
	mu      sync.Mutex // guards what follows up to ctx
	machine *slots.Machine
	stopped bool
	current bool // the configuration was confirmed after the claim
	holders []slots.Holder
	readAt  time.Time // last read of the record, or the zero time

	ctx    context.Context // ends with Close
	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// NewClaimer returns a running Claimer. Its start counts as the start of the
// process.
func NewClaimer(cfg ClaimConfig) *Claimer {
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &Claimer{cfg: cfg, machine: slots.New(cfg.Self, time.Now(), cfg.Hold), ctx: ctx, cancel: cancel}
	c.tasks.Go(c.run)
	return c
}

// run reads the record now and then. A slot that can be used only later is
// handed over by the next step, so steps are short until then.
func (c *Claimer) run() {
	started := time.Now()
	for {
		if err := c.Step(c.ctx); err != nil && c.ctx.Err() == nil {
			c.cfg.Log.Warn("slot claim", zap.Error(err))
		}
		mean := wantInterval
		switch {
		case c.using():
			mean = heldInterval
		case time.Since(started) < startTime:
			mean = startInterval
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

func (c *Claimer) using() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _, ok := c.machine.Slot(time.Now())
	return ok && c.current
}

// Step reads the record once and writes what the claim rules ask for.
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
	next := c.read(sent, rec, version)
	if next != nil {
		wrote := time.Now()
		written, ok, err := c.cfg.Store.Swap(ctx, key, next.Encode(), version)
		if err != nil {
			// It may have taken effect: the next read tells.
			return fmt.Errorf("write %s: %w", key, err)
		}
		if ok {
			c.wrote(wrote, *next, written)
		}
	}
	return c.confirm(ctx)
}

func (c *Claimer) read(sent time.Time, rec slots.Record, version uint64) *slots.Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	need := slots.Need{Slots: c.cfg.Limiter.Slots(), Gone: c.cfg.Gone}
	c.readAt = time.Now()
	c.holders = c.holders[:0:0]
	for _, claim := range rec.Claims {
		c.holders = append(c.holders, claim.Holder)
	}
	next := c.machine.Read(c.readAt, sent, rec, version, need)
	c.apply()
	return next
}

func (c *Claimer) wrote(sent time.Time, rec slots.Record, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machine.Wrote(time.Now(), sent, rec, version)
	c.apply()
}

// confirm checks the configuration once after a claim.
func (c *Claimer) confirm(ctx context.Context) error {
	c.mu.Lock()
	wanted := c.machine.Held() && !c.current
	c.mu.Unlock()
	if !wanted {
		return nil
	}
	if c.cfg.Current != nil {
		if err := c.cfg.Current(ctx); err != nil {
			return fmt.Errorf("confirm the configuration: %w", err)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = c.machine.Held()
	c.apply()
	return nil
}

// apply tells the Limiter which slot may be used.
func (c *Claimer) apply() {
	if !c.machine.Held() {
		c.current = false
	}
	slot, until, ok := c.machine.Slot(time.Now())
	if !ok || c.stopped || !c.current {
		slot, until = -1, time.Now()
	}
	c.cfg.Limiter.SetSlot(slot, until)
}

// Slot returns the slot in use, -1 for none.
func (c *Claimer) Slot() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	slot, _, ok := c.machine.Slot(time.Now())
	if !ok || c.stopped || !c.current {
		return -1
	}
	return slot
}

// Holders returns the processes that held slots at the last read.
func (c *Claimer) Holders() []slots.Holder {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holders
}

// Age returns the time since the record was read, negative for never.
func (c *Claimer) Age() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readAt.IsZero() {
		return -1
	}
	return time.Since(c.readAt)
}

// Release gives the slot back: it ends its use, waits until every lease and
// grant of it has ended (about 7 seconds unless lessees return them), and
// removes the claim. It returns an error when ctx ends first; the claim then
// stays until another process takes it over.
func (c *Claimer) Release(ctx context.Context) error {
	c.mu.Lock()
	c.stopped = true
	c.apply()
	c.mu.Unlock()
	for !c.cfg.Limiter.Idle() {
		if err := pause.For(ctx, idleInterval); err != nil {
			return fmt.Errorf("wait for leases of the slot: %w", err)
		}
	}
	c.mu.Lock()
	c.machine.Release()
	c.mu.Unlock()
	for {
		err := c.Step(ctx)
		c.mu.Lock()
		held := c.machine.Held()
		c.mu.Unlock()
		if err == nil && !held {
			return nil
		}
		if stop := pause.For(ctx, idleInterval); stop != nil {
			return fmt.Errorf("release the slot: %w", stop)
		}
	}
}

// Close ends the reads and waits for a call to the store in flight. It doesn't
// release the slot.
func (c *Claimer) Close() error {
	c.cancel()
	c.tasks.Wait()
	return nil
}
