package track

import (
	"context"
	"errors"
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
	// key was written at rev, as host; an empty one was not.
	key  string
	rev  eras.Revision
	host spec.Host
}

// register keeps the host's own entry in the store.
func (t *Tracker) register() {
	defer t.unregister()
	for {
		if err := t.renew(); err != nil {
			t.opts.Log.Debug("entry of this host not renewed", zap.Error(err))
		}
		if !t.waitEra(keep) {
			return
		}
	}
}

// waitEra sleeps for d, until the era of the store changes, or until the
// tracker is closed.
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

// self returns the host as it registers now.
func (t *Tracker) self() spec.Host {
	h := t.opts.Self
	if e := t.era.get(); e.Age(clock.Now()) >= eras.SettleTime {
		h.Settled = e.Number
	}
	return h
}

// renew renews the lease of the entry, and writes the entry if it has ended or
// says something else.
func (t *Tracker) renew() error {
	ctx, cancel := context.WithTimeout(t.ctx, callTimeout)
	defer cancel()
	if t.entry.key != "" {
		err := t.opts.Store.Keep(ctx, t.entry.lease)
		t.answered("keep", err)
		switch {
		case errors.Is(err, platform.ErrNotFound), errors.Is(err, platform.ErrRestored):
			t.entry = entry{}
		case err != nil || t.entry.host == t.self():
			return err
		}
	}
	if t.entry.key == "" {
		l, err := t.opts.Store.Grant(ctx, lease)
		t.answered("grant", err)
		if err != nil {
			return err
		}
		t.entry.lease = l
	}
	return t.write(ctx)
}

// write writes the entry under its lease.
func (t *Tracker) write(ctx context.Context) error {
	host := t.self()
	key, value, err := platform.EncodeHost(host)
	if err != nil {
		return err
	}
	rev, err := t.opts.Store.Put(ctx, key, value, t.entry.lease)
	t.answered("put", err)
	if err != nil {
		t.entry = entry{}
		return err
	}
	t.entry.key, t.entry.rev, t.entry.host = key, rev, host
	return nil
}

// unregister removes the entry at once. Its lease is left to end by itself: it
// may be another host's since the store went back to a copy.
func (t *Tracker) unregister() {
	if t.entry.key == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	err := t.opts.Store.Remove(ctx, t.entry.key, t.entry.rev)
	if err != nil && !errors.Is(err, platform.ErrConflict) {
		t.opts.Log.Warn("entry of this host not removed, it lapses", zap.Error(err))
	}
}
