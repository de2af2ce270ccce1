package track

import (
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/core/eras"
	"github.com/yuccalb/yuccalb/internal/edge/clock"
)

// era is the newest era of the store that this host has seen. It is safe for
// concurrent use.
type era struct {
	mu      sync.Mutex
	current eras.Era
	// answered is set once this process has received a response from the store.
	answered bool
	// changes counts changes of the era after the first state was read, and
	// changed receives a value at each change.
	changes atomic.Int64
	changed chan struct{}
}

func (e *era) get() eras.Era {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current
}

// merge merges an era that a peer or the store has reported.
func (e *era) merge(reported eras.Era) (old eras.Era, changed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	old = e.current
	e.current, changed = old.Merge(reported)
	return old, changed
}

// firstAnswer reports whether it is called for the first time: at the first
// successful call to the store by this process.
func (e *era) firstAnswer() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	first := !e.answered
	e.answered = true
	return first
}

// Restores returns how many restores of the store this process has seen.
func (t *Tracker) Restores() int64 { return t.era.changes.Load() }

// updateEra merges the era that the store's responses name; err is the result of
// the last call. If the whole system starts for the first time with this host,
// nothing was lost before and the era counts as settled.
func (t *Tracker) updateEra(err error) {
	now := clock.Now()
	reported := eras.Era{Number: t.opts.Store.Era(), Since: now}
	if err == nil && t.era.firstAnswer() && t.opts.First {
		reported.Since = now - eras.SettleTime
	}
	t.mergeEra(reported, "store")
}

// mergeEra merges an era that the store or a peer has reported, and logs a new one.
func (t *Tracker) mergeEra(reported eras.Era, from string) {
	old, changed := t.era.merge(reported)
	if !changed {
		return
	}
	v := t.View()
	t.opts.Log.Warn("store has a new era", zap.Int64("old", old.Number), zap.Int64("new", reported.Number), zap.String("from", from),
		zap.Stringer("config", v.Item.Rev), zap.Int64("version", v.Version().Number), zap.Stringer("list", v.EntriesRev))
	if v.Snapshot != nil || v.Listed() {
		t.era.changes.Add(1)
	}
	select {
	case t.era.changed <- struct{}{}:
	default: // the host's entry is already due to be written
	}
}

// adoptSettled treats the era as settled if a host has registered it as settled.
func (t *Tracker) adoptSettled(l *Listing) {
	for _, h := range l.Hosts {
		if l.EntriesRev.Era > 0 && h.TrustedEra == l.EntriesRev.Era {
			t.mergeEra(eras.Era{Number: h.TrustedEra, Since: clock.Now() - eras.SettleTime}, "entry of host "+h.Name)
			return
		}
	}
}

// isSettled reports whether a listing is of the current era and that era has settled.
func (t *Tracker) isSettled(l *Listing) bool {
	e := t.era.get()
	return e.Number == l.EntriesRev.Era && e.Age(clock.Now()) >= eras.SettleTime
}

// reconcile merges a listing of the store with the current view unless the era has
// settled: a store that was restored from an older copy may list outdated entries.
func (t *Tracker) reconcile(l *Listing) {
	if t.isSettled(l) {
		return
	}
	old := t.View()
	first := l.EntriesRev.Era != old.EntriesRev.Era
	next := old.membership().Reconcile(l.Servers, l.Evacuated, first, l.Answered.Sub(old.Answered))
	l.Servers = next.Servers
	l.Evacuated = next.Evacuated
	l.Unconfirmed = next.Unconfirmed
}

// reconcilePeer does the same for the listing of a peer, which has already
// identified the unconfirmed servers.
func (t *Tracker) reconcilePeer(l *Listing) {
	old := t.View()
	if t.isSettled(l) || !old.Listed() {
		return
	}
	next := old.membership().Reconcile(l.Servers, l.Evacuated, false, l.Answered.Sub(old.Answered))
	l.Servers = next.Servers
	l.Evacuated = next.Evacuated
}

func (l *Listing) membership() eras.Membership {
	return eras.Membership{Servers: l.Usable(), Evacuated: l.Evacuated, Unconfirmed: l.Unconfirmed}
}
