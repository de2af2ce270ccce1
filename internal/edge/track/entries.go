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

// followEntries reads servers, hosts and evacuations from a host of the region
// that has read newer ones, or from the store when they are said to have
// changed or when no host has confirmed them for a while.
func (t *Tracker) followEntries() {
	var p picker
	for {
		if src, ok := p.pick(t.sources(), t.hasNewerEntries); ok {
			p.note(src, t.pullEntries(src))
		} else if t.entriesDue() {
			t.readEntries()
		}
		if !t.wait(tick) {
			return
		}
	}
}

// hasNewerEntries reports whether entries were read later and are wanted: while
// a server's state is unsure or lapsed entries are kept, unchanged ones tell
// something as well.
func (t *Tracker) hasNewerEntries(k Source) bool {
	v := t.View()
	return !k.Far && k.List.After(v.List) && (k.Digest != v.Digest || t.refresh.Load() || v.unsure())
}

func (t *Tracker) entriesDue() bool {
	v := t.View()
	age := clock.Now() - t.listed.At()
	switch {
	case !v.Listed(), t.wantedList.due(v.List, t.late()):
		return true
	case (t.refresh.Load() || v.unsure()) && age > refreshAge+t.late():
		return true
	}
	return age > entriesAge+t.late()
}

func (t *Tracker) readEntries() {
	ctx, cancel := context.WithTimeout(t.ctx, callTimeout)
	defer cancel()
	asked := time.Now()
	sent := clock.Now()
	e, rev, err := t.opts.Store.Entries(ctx)
	t.answered("entries", err)
	if err != nil {
		t.wait(failedWait)
		return
	}
	for _, b := range e.Broken {
		t.opts.Log.Debug("entry left out", zap.Error(b))
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	l := &Listing{Entries: e, List: rev, Asked: asked, Answered: time.Now()}
	t.noteSettled(l)
	t.believe(l)
	t.keepLapsed(l)
	t.list(l, sent)
}

// keepLapsed adds to a listing the servers whose entries lapsed in an outage of
// the store, or were lost when it went back to a copy, and may be back soon. If
// the former listing was known to be current during the outage, other hosts
// could reach the store, and nothing lapsed.
func (t *Tracker) keepLapsed(l *Listing) {
	began, ended := t.outage.returned()
	old := t.View()
	switch {
	case !old.Listed():
	case ended && t.listed.At() < began, l.List.Era != old.List.Era:
		l.Lapsed = without(old.Usable(), l.Servers)
		l.Until = l.Answered.Add(returning)
	case l.Answered.Before(old.Until):
		l.Lapsed = without(old.Lapsed, l.Servers)
		l.Until = old.Until
	}
}

// list puts a listing into force; current is when it was known to be current.
func (t *Tracker) list(l *Listing, current time.Duration) {
	t.refresh.Store(false)
	v := t.View()
	next := *v
	next.Listing = l
	next.Digest = digest(l.Entries)
	t.logChanges(v, &next)
	t.view.Store(&next)
	t.listed.Raise(current)
	t.opts.Changed()
}

// without returns the servers of all that are not in list.
func without(all, list []spec.Server) []spec.Server {
	seen := make(map[string]bool, len(list))
	for _, s := range list {
		seen[s.ID] = true
	}
	return slices.DeleteFunc(slices.Clone(all), func(s spec.Server) bool { return seen[s.ID] })
}

// digest sums up what matters of entries; the counts of heartbeats do not.
func digest(e platform.Entries) uint64 {
	lines := make([]string, 0, len(e.Servers)+len(e.Hosts)+len(e.Evacuated))
	for _, s := range e.Servers {
		lines = append(lines, fmt.Sprint("s", s.ID, s.Service, s.Addr, s.Site, s.Leaving, s.Warm > 0, s.Born))
	}
	for _, h := range e.Hosts {
		lines = append(lines, fmt.Sprint("h", h.Name, h.Site, h.Front, h.Peer))
	}
	for _, site := range e.Evacuated {
		lines = append(lines, "e"+site)
	}
	slices.Sort(lines)
	return xxhash.Sum64String(strings.Join(lines, "\n"))
}

// logChanges writes a line for each server that came, left or changed state,
// and for evacuations.
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
		t.opts.Log.Info("server", zap.String("server", s.ID), zap.Bool("new", !ok), zap.Bool("leaving", s.Leaving), zap.Duration("warm", s.Warm), zap.Int64("born", s.Born), zap.String("service", s.Service), zap.String("site", s.Site))
	}
	for id, s := range before {
		t.opts.Log.Info("server gone", zap.String("server", id), zap.String("service", s.Service), zap.String("site", s.Site))
	}
	if !slices.Equal(slices.Sorted(slices.Values(old.Evacuated)), slices.Sorted(slices.Values(next.Evacuated))) {
		t.opts.Log.Info("evacuation", zap.Strings("sites", next.Evacuated))
	}
}
