package track

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/core/spec"
	"github.com/yuccalb/yuccalb/internal/edge/clock"
	"github.com/yuccalb/yuccalb/platform"
)

// followEntries reads servers, hosts and evacuations from a host of the local
// region that has read newer ones. It reads them from the store if a peer has
// reported a change or no host has confirmed them for maxEntriesAge.
func (t *Tracker) followEntries() {
	var p picker
	for {
		if src, ok := p.pick(t.sources(), t.hasNewerEntries); ok {
			p.record(src, t.readPeerEntries(src))
		} else if t.entriesDue() {
			t.readEntries()
		}
		if !t.wait(pollInterval) {
			return
		}
	}
}

// hasNewerEntries reports whether a host of the local region has read the entries
// later and they are needed. Unchanged ones are needed after Refresh and while the
// listing is provisional.
func (t *Tracker) hasNewerEntries(s Source) bool {
	v := t.View()
	return !s.Remote && s.EntriesRev.After(v.EntriesRev) && (s.Digest != v.Digest || t.refresh.Load() || v.provisional())
}

func (t *Tracker) entriesDue() bool {
	v := t.View()
	age := clock.Now() - t.entriesConfirmed.At()
	switch {
	case !v.Listed(), t.pendingEntries.due(v.EntriesRev, t.readDelay()):
		return true
	case (t.refresh.Load() || v.provisional()) && age > maxRefreshAge+t.readDelay():
		return true
	}
	return age > maxEntriesAge+t.readDelay()
}

func (t *Tracker) readEntries() {
	ctx, cancel := context.WithTimeout(t.ctx, callTimeout)
	defer cancel()
	asked := time.Now()
	sent := clock.Now()
	e, rev, err := t.opts.Store.Entries(ctx)
	t.recordCall("entries", err)
	if err != nil {
		t.wait(retryPause)
		return
	}
	for _, err := range e.Errors {
		t.opts.Log.Debug("entry left out", zap.Error(err))
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	l := &Listing{Entries: e, EntriesRev: rev, Asked: asked, Answered: time.Now()}
	t.adoptSettled(l)
	t.reconcile(l)
	t.retainExpired(l)
	t.setListing(l, sent)
}

// setListing puts a listing into force, which was confirmed to be current at
// confirmed.
func (t *Tracker) setListing(l *Listing, confirmed time.Duration) {
	t.refresh.Store(false)
	v := t.View()
	next := *v
	next.Listing = l
	next.Digest = digest(l.Entries)
	t.logChanges(v, &next)
	t.view.Store(&next)
	t.entriesConfirmed.Raise(confirmed)
	t.opts.OnChange()
}

// digest returns a hash of the entries without the counts of heartbeats, which
// change at each renewal, and the routes of streams, which hosts need when they start.
func digest(e platform.Entries) uint64 {
	lines := make([]string, 0, len(e.Servers)+len(e.Hosts)+len(e.Evacuated))
	for _, s := range e.Servers {
		lines = append(lines, fmt.Sprint("s", s.ID, s.Service, s.Addr, s.Site, s.Leaving, s.Warm > 0, s.Born, s.Version, s.Slots))
	}
	for _, h := range e.Hosts {
		lines = append(lines, fmt.Sprint("h", h.Name, h.Site, h.Front, h.Peer))
	}
	for _, site := range e.Evacuated {
		lines = append(lines, "e"+site)
	}
	for _, s := range e.Suspects {
		lines = append(lines, fmt.Sprint("p", s.Service, " ", s.Part, " ", s.Probes))
	}
	for _, b := range e.Bases {
		lines = append(lines, fmt.Sprint("b", b.Service, " ", b.Version, " ", b.Absent))
	}
	slices.Sort(lines)
	return xxhash.Sum64String(strings.Join(lines, "\n"))
}

// logChanges logs each server that was added, removed or changed state, and changes
// of the evacuations.
func (t *Tracker) logChanges(old, next *View) {
	before := make(map[string]spec.Server)
	for _, s := range old.Usable() {
		before[s.ID] = s
	}
	for _, s := range next.Usable() {
		o, ok := before[s.ID]
		delete(before, s.ID)
		if ok && o.Leaving == s.Leaving && o.Born == s.Born && (o.Warm > 0) == (s.Warm > 0) {
			continue
		}
		t.opts.Log.Info("server", zap.String("server", s.ID), zap.Bool("new", !ok), zap.Bool("leaving", s.Leaving), zap.Duration("warm", s.Warm), zap.Int64("born", s.Born), zap.String("service", s.Service), zap.String("version", s.Version), zap.String("site", s.Site))
	}
	for id, s := range before {
		t.opts.Log.Info("server gone", zap.String("server", id), zap.String("service", s.Service), zap.String("site", s.Site))
	}
	if !slices.Equal(slices.Sorted(slices.Values(old.Evacuated)), slices.Sorted(slices.Values(next.Evacuated))) {
		t.opts.Log.Info("evacuation", zap.Strings("sites", next.Evacuated))
	}
}
