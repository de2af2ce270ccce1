package track

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/core/spec"
	"github.com/yuccalb/yuccalb/internal/edge/clock"
	"github.com/yuccalb/yuccalb/platform"
)

// followConfig reads the configuration from a host of the region that has a
// newer one, or from the store when it is said to have changed or when no host
// has confirmed it for a while.
func (t *Tracker) followConfig() {
	var p picker
	for {
		if src, ok := p.pick(t.sources(), t.hasNewerConfig); ok {
			p.note(src, t.pullConfig(src))
		} else if t.configDue() {
			t.readConfig()
		}
		if !t.wait(tick) {
			return
		}
	}
}

func (t *Tracker) hasNewerConfig(k Known) bool { return k.Config > t.View().Item.Rev }

func (t *Tracker) configDue() bool {
	age, known := t.ProofAge()
	return !known || age > configAge+t.late() || t.wanted.due(t.View().Item.Rev, t.late())
}

func (t *Tracker) readConfig() {
	ctx, cancel := context.WithTimeout(t.ctx, callTimeout)
	defer cancel()
	sent := clock.Now()
	it, err := t.opts.Store.Get(ctx, platform.ConfigKey)
	t.answered("config", err)
	if err != nil {
		t.wait(failedWait)
		return
	}
	t.apply(it, sent, "store")
}

// apply puts an item of the configuration into force unless it is older than
// the one in force. It was known to be the newest at proved, 0 if that is not
// known, and was read from the store or another host.
func (t *Tracker) apply(it platform.Item, proved time.Duration, from string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.View()
	if it.Rev < v.Item.Rev {
		return
	}
	if it.Rev == v.Item.Rev {
		t.proof.Raise(proved)
		return
	}
	cfg, err := platform.DecodeConfig(it.Value)
	if err != nil {
		t.opts.Log.Error("configuration not understood, the former stays in force", zap.Int64("rev", it.Rev), zap.Int64("former", v.Item.Rev), zap.Error(err))
		return
	}
	next := *v
	next.Snapshot = spec.NewSnapshot(cfg)
	next.Item = it
	t.view.Store(&next)
	t.proof.Raise(proved)
	homes, _ := next.Snapshot.Homes()
	t.opts.Log.Info("configuration in force", zap.Strings("homes", homes), zap.Int64("rev", it.Rev), zap.Int64("version", cfg.Version), zap.Int("routes", len(cfg.Routes)), zap.Int("bytes", len(it.Value)), zap.String("from", from))
	t.opts.Changed()
}
