package track

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/core/eras"
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
		if src, ok := t.configSource(&p); ok {
			p.note(src, t.pullConfig(src))
		} else if t.configDue() {
			t.readConfig()
		}
		if !t.wait(tick) {
			return
		}
	}
}

// configSource returns a host that has a newer configuration. Hosts of other
// regions are asked if the store does not show it: it may have gone back to a
// copy that lacks it.
func (t *Tracker) configSource(p *picker) (Source, bool) {
	own := t.View().Version()
	far := t.wanted.due(own, t.late()+farWait)
	return p.pick(t.sources(), func(s Source) bool { return s.Config.After(own) && (far || !s.Far) })
}

func (t *Tracker) configDue() bool {
	if time.Since(t.read) < failedWait {
		return false
	}
	age, known := t.ProofAge()
	return !known || age > configAge+t.late() || t.wanted.due(t.View().Version(), t.late())
}

func (t *Tracker) readConfig() {
	ctx, cancel := context.WithTimeout(t.ctx, callTimeout)
	defer cancel()
	t.read = time.Now()
	sent := clock.Now()
	it, err := t.opts.Store.Get(ctx, platform.ConfigKey)
	t.answered("config", err)
	if err != nil {
		t.wait(failedWait)
		return
	}
	if e := t.era.get(); e.Number != it.Rev.Era || e.Age(sent) < eras.Rewritten {
		sent = 0 // the operator may not have written the newest one again
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
	switch {
	case it.Rev == v.Item.Rev && v.Snapshot != nil:
		t.proof.Raise(proved)
		return
	case it.Rev == t.passed:
		t.outlived(it.Rev, proved)
		return
	}
	cfg, err := platform.DecodeConfig(it.Value)
	if err != nil {
		t.opts.Log.Error("configuration not understood, the former stays in force", zap.Stringer("rev", it.Rev), zap.Stringer("former", v.Item.Rev), zap.Error(err))
		return
	}
	if v.Snapshot != nil && !(eras.Version{Number: cfg.Version, Rev: it.Rev}).After(v.Version()) {
		t.passed = it.Rev
		t.outlived(it.Rev, proved)
		return
	}
	next := *v
	next.Snapshot = spec.NewSnapshot(cfg)
	next.Item = it
	t.view.Store(&next)
	t.proof.Raise(proved)
	homes, _ := next.Snapshot.Homes()
	t.opts.Log.Info("configuration in force", zap.Strings("homes", homes), zap.Stringer("rev", it.Rev), zap.Int64("version", cfg.Version), zap.Int("routes", len(cfg.Routes)), zap.Int("bytes", len(it.Value)), zap.String("from", from))
	t.opts.Changed()
}

// outlived records that an older configuration than the one in force was read.
// If the store has gone back to it, the one in force is the newest that is
// known, and a read confirms it as well.
func (t *Tracker) outlived(rev eras.Revision, proved time.Duration) {
	if rev.Era > t.View().Item.Rev.Era {
		t.proof.Raise(proved)
	}
}
