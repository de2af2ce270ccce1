package track

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/core/eras"
	"github.com/yuccalb/yuccalb/internal/core/spec"
	"github.com/yuccalb/yuccalb/internal/edge/clock"
	"github.com/yuccalb/yuccalb/platform"
)

// entry is the host's own entry in the store.
type entry struct {
	lease platform.Lease
	// key was written at rev with the value of host. It is empty if the entry is
	// not in the store.
	key  string
	rev  eras.Revision
	host spec.Host
}

// register writes the host's entry and renews it until the tracker is closed.
func (t *Tracker) register() {
	defer t.unregister()
	for {
		if err := t.renew(); err != nil {
			t.opts.Log.Debug("failed to renew the entry of this host", zap.Error(err))
		}
		if !t.waitEra(renewInterval) {
			return
		}
	}
}

// waitEra sleeps for d or until the era of the store changes, and reports whether
// the tracker is still open.
func (t *Tracker) waitEra(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-t.ctx.Done():
		return false
	case <-t.era.changed:
	case <-timer.C:
	}
	return true
}

// self returns the host with the era to register, if that era has settled.
func (t *Tracker) self() spec.Host {
	h := t.opts.Self
	if e := t.era.get(); e.Age(clock.Now()) >= eras.SettleTime {
		h.TrustedEra = e.Number
	}
	return h
}

// renew renews the lease of the entry, and writes the entry if the lease has ended
// or the value has changed.
func (t *Tracker) renew() error {
	began := clock.Now()
	ctx, cancel := context.WithTimeout(t.ctx, callTimeout)
	defer cancel()
	if t.entry.key != "" {
		err := t.opts.Store.Keep(ctx, t.entry.lease)
		t.recordCall("keep", err)
		switch {
		case errors.Is(err, platform.ErrNotFound), errors.Is(err, platform.ErrRestored):
			t.entry = entry{}
		case err != nil:
			return err
		}
		if t.entry.key != "" && t.replaced() {
			t.opts.Log.Warn("the entry of this host is gone although its lease lasts; it is written again")
			t.entry = entry{}
		}
		if t.entry.key != "" {
			t.renewed.Raise(began)
			if t.entry.host == t.self() {
				return nil
			}
		}
	}
	if t.entry.key == "" {
		l, err := t.opts.Store.Grant(ctx, leaseTTL)
		t.recordCall("grant", err)
		if err != nil {
			return err
		}
		t.entry.lease = l
	}
	existed := t.entry.key != ""
	if err := t.write(ctx); err != nil {
		return err
	}
	if !existed {
		t.entryWritten.Raise(clock.Now())
	}
	t.renewed.Raise(began)
	return nil
}

// replaced reports whether a list that is newer than the entry lacks it. An earlier write, of this process
// or of the one before it, may be carried out late, and takes the entry with it when its lease ends.
func (t *Tracker) replaced() bool {
	v := t.View()
	return v.EntriesRev.After(t.entry.rev) && !slices.ContainsFunc(v.Hosts, func(h spec.Host) bool { return h.Name == t.opts.Self.Name })
}

// Entry returns when the entry of this host was written that is in the store, and when it was last
// renewed, on the clock of package clock. Both are 0 if there was none yet.
func (t *Tracker) Entry() (written, renewed time.Duration) {
	renewed = t.renewed.At() // before the other: a new entry raises it last
	return t.entryWritten.At(), renewed
}

// write writes the entry under its lease.
func (t *Tracker) write(ctx context.Context) error {
	host := t.self()
	key, value, err := platform.EncodeHost(host)
	if err != nil {
		return err
	}
	rev, err := t.opts.Store.Put(ctx, key, value, t.entry.lease)
	t.recordCall("put", err)
	if err != nil {
		t.entry = entry{}
		return err
	}
	t.entry.key, t.entry.rev, t.entry.host = key, rev, host
	return nil
}

// unregister removes the entry. It leaves the lease to expire, since after a
// restore of the store its identifier may belong to another host.
func (t *Tracker) unregister() {
	if t.entry.key == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	err := t.opts.Store.Remove(ctx, t.entry.key, t.entry.rev)
	if err != nil && !errors.Is(err, platform.ErrConflict) {
		t.opts.Log.Warn("failed to remove the entry of this host; it remains until its lease expires", zap.Error(err))
	}
}
