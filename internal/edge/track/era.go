package track

import (
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/core/eras"
	"github.com/yuccalb/yuccalb/internal/edge/clock"
)

// era is what a host knows of the era of the store. It is safe for concurrent
// use.
type era struct {
	mu    sync.Mutex
	known eras.Era
	// answered is set once the store has answered this process.
	answered bool
	// changes counts changes of the era after the first answer, and changed is
	// sent to at each one.
	changes atomic.Int64
	changed chan struct{}
}

func (e *era) get() eras.Era {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.known
}

// join takes over what was told of the era.
func (e *era) join(told eras.Era) (old eras.Era, changed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	old = e.known
	e.known, changed = old.Merge(told)
	return old, changed
}

// first reports whether the store answers this process for the first time.
func (e *era) first() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	first := !e.answered
	e.answered = true
	return first
}

// Restores returns how often the store came back from a copy while this process
// ran.
func (t *Tracker) Restores() int64 { return t.era.changes.Load() }

// heedEra takes over the era that the answers of the store name. When the whole
// system starts with this host, nothing was lost before.
func (t *Tracker) heedEra(err error) {
	now := clock.Now()
	told := eras.Era{Number: t.opts.Store.Era(), Since: now}
	if err == nil && t.era.first() && t.opts.First {
		told.Since = now - eras.SettleTime
	}
	t.enter(told, "store")
}

// enter takes over an era that the store or another host told of.
func (t *Tracker) enter(told eras.Era, from string) {
	old, changed := t.era.join(told)
	if !changed {
		return
	}
	v := t.View()
	t.opts.Log.Warn("store has a new era", zap.Int64("old", old.Number), zap.Int64("new", told.Number), zap.String("from", from),
		zap.Stringer("config", v.Item.Rev), zap.Int64("version", v.Version().Number), zap.Stringer("list", v.List))
	if v.Snapshot != nil || v.Listed() {
		t.era.changes.Add(1)
	}
	select {
	case t.era.changed <- struct{}{}:
	default: // the host's entry is about to be written already
	}
}

// noteSettled takes over that the era has lasted for long from the entries of
// hosts that have registered in it.
func (t *Tracker) noteSettled(l *Listing) {
	for _, h := range l.Hosts {
		if l.List.Era > 0 && h.Settled == l.List.Era {
			t.enter(eras.Era{Number: h.Settled, Since: clock.Now() - eras.SettleTime}, "entry of host "+h.Name)
			return
		}
	}
}

// settled reports whether a listing can be believed as it is.
func (t *Tracker) settled(l *Listing) bool {
	e := t.era.get()
	return e.Number == l.List.Era && e.Age(clock.Now()) >= eras.SettleTime
}

// believe compares a listing of the store with what is known, since a store
// that has come back from a copy may list what was true before.
func (t *Tracker) believe(l *Listing) {
	if t.settled(l) {
		return
	}
	old := t.View()
	first := l.List.Era != old.List.Era
	next := old.belief().Reconcile(l.Servers, l.Evacuated, first, l.Answered.Sub(old.Answered))
	l.Servers = next.Servers
	l.Evacuated = next.Evacuated
	l.Doubted = next.Unconfirmed
}

// compare does so for the listing of another host, which has found out which
// servers are to be believed.
func (t *Tracker) compare(l *Listing) {
	old := t.View()
	if t.settled(l) || !old.Listed() {
		return
	}
	next := old.belief().Reconcile(l.Servers, l.Evacuated, false, l.Answered.Sub(old.Answered))
	l.Servers = next.Servers
	l.Evacuated = next.Evacuated
}

func (l *Listing) belief() eras.Membership {
	return eras.Membership{Servers: l.Usable(), Evacuated: l.Evacuated, Unconfirmed: l.Doubted}
}
