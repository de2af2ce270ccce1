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

// followConfig reads the configuration from a host that has a newer one. It reads it
// from the store if a peer has reported a change or no host has confirmed it for
// maxConfigAge.
func (t *Tracker) followConfig() {
	var p picker
	for {
		if src, ok := t.configSource(&p); ok {
			p.record(src, t.readPeerConfig(src))
		} else if t.configDue() {
			t.readConfig()
		}
		if !t.wait(pollInterval) {
			return
		}
	}
}

// configSource returns a host that has a newer configuration. Hosts of remote regions
// are included if the store has not returned it for a while: it may have been
// restored from a copy that lacks it.
func (t *Tracker) configSource(p *picker) (Source, bool) {
	current := t.View().Version()
	remote := t.pendingConfig.due(current, t.readDelay()+remoteDelay)
	return p.pick(t.sources(), func(s Source) bool { return s.Config.After(current) && (remote || !s.Remote) })
}

func (t *Tracker) configDue() bool {
	if time.Since(t.configRead) < retryPause {
		return false
	}
	age, ok := t.ConfirmedAge()
	return !ok || age > maxConfigAge+t.readDelay() || t.pendingConfig.due(t.View().Version(), t.readDelay())
}

func (t *Tracker) readConfig() {
	ctx, cancel := context.WithTimeout(t.ctx, callTimeout)
	defer cancel()
	t.configRead = time.Now()
	sent := clock.Now()
	it, err := t.opts.Store.Get(ctx, platform.ConfigKey)
	t.recordCall("config", err)
	if err != nil {
		t.wait(retryPause)
		return
	}
	if e := t.era.get(); e.Number != it.Rev.Era || e.Age(sent) < eras.RewriteTime {
		sent = 0 // the operator may not have written the newest configuration again
	}
	t.apply(it, sent, "store")
}

// apply puts a configuration into force if it is newer than the one in force. It was
// confirmed to be the newest at confirmed, 0 if that is unknown. From is the log
// value for where it was read: the store or the address of a host.
func (t *Tracker) apply(it platform.Item, confirmed time.Duration, from string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.View()
	switch {
	case it.Rev == v.Item.Rev && v.Snapshot != nil:
		t.configConfirmed.Raise(confirmed)
		return
	case it.Rev == t.skipped:
		t.confirmIfRestored(it.Rev, confirmed)
		return
	}
	cfg, err := platform.DecodeConfig(it.Value)
	if err != nil {
		t.opts.Log.Error("failed to decode the configuration; the former one stays in force", zap.Stringer("rev", it.Rev), zap.Stringer("former", v.Item.Rev), zap.Error(err))
		return
	}
	if v.Snapshot != nil && !(eras.Version{Number: cfg.Version, Rev: it.Rev}).After(v.Version()) {
		t.skipped = it.Rev
		t.confirmIfRestored(it.Rev, confirmed)
		return
	}
	next := *v
	next.Snapshot = spec.NewSnapshot(cfg)
	next.Item = it
	t.view.Store(&next)
	t.configConfirmed.Raise(confirmed)
	t.warnOfKeys(v.Snapshot, next.Snapshot)
	homes, _ := next.Snapshot.CommonHomes()
	t.opts.Log.Info("configuration in force", zap.Strings("homes", homes), zap.Stringer("rev", it.Rev), zap.Int64("version", cfg.Version), zap.Int("routes", len(cfg.Routes)), zap.Int("bytes", len(it.Value)), zap.String("from", from))
	t.opts.OnChange()
}

// warnOfKeys logs what a configuration says about keys if the operator may not have meant it.
func (t *Tracker) warnOfKeys(old, snap *spec.Snapshot) {
	switch {
	case snap.RequiresKey && len(snap.Orgs) == 0:
		t.opts.Log.Warn("the configuration lists no organisation: only public routes are open", zap.Int64("version", snap.Version))
	case !snap.RequiresKey && old != nil && old.RequiresKey:
		t.opts.Log.Warn("the configuration has no list of organisations any more: all routes are open without a key", zap.Int64("version", snap.Version))
	}
}

// confirmIfRestored is called when a configuration was read that does not replace the
// one in force. If it is of a later era, the store was restored from a copy that
// lacks the one in force, which is then the newest known and is confirmed by the read.
func (t *Tracker) confirmIfRestored(rev eras.Revision, confirmed time.Duration) {
	if rev.Era > t.View().Item.Rev.Era {
		t.configConfirmed.Raise(confirmed)
	}
}
