package track

import (
	"context"
	"errors"

	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/platform"
)

// register keeps the host's own entry in the store.
func (t *Tracker) register() {
	defer t.unregister()
	for {
		if err := t.renew(); err != nil {
			t.opts.Log.Debug("entry of this host not renewed", zap.Error(err))
		}
		if !t.wait(keep) {
			return
		}
	}
}

func (t *Tracker) renew() error {
	ctx, cancel := context.WithTimeout(t.ctx, callTimeout)
	defer cancel()
	if t.lease != 0 {
		err := t.opts.Store.Keep(ctx, t.lease)
		t.answered("keep", err)
		if !errors.Is(err, platform.ErrNotFound) {
			return err
		}
		t.lease = 0
	}
	key, value, err := platform.EncodeHost(t.opts.Self)
	if err != nil {
		return err
	}
	id, err := t.opts.Store.Grant(ctx, lease)
	t.answered("grant", err)
	if err != nil {
		return err
	}
	err = t.opts.Store.Put(ctx, key, value, id)
	t.answered("put", err)
	if err != nil {
		return err
	}
	t.lease = id
	return nil
}

// unregister ends the lease, so that the entry goes at once.
func (t *Tracker) unregister() {
	if t.lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := t.opts.Store.End(ctx, t.lease); err != nil {
		t.opts.Log.Warn("entry of this host not removed, it lapses", zap.Error(err))
	}
}
