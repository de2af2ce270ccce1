package track

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/platform"
)

const (
	// pullTimeout bounds a read from another host.
	pullTimeout = time.Second
	// avoidTime is how long a host is not asked after it failed to answer.
	avoidTime = time.Second
)

// Mirror reads from other hosts what they have read from the store.
type Mirror interface {
	Config(ctx context.Context, host netip.AddrPort) (platform.Item, error)
	Entries(ctx context.Context, host netip.AddrPort) (*Listing, error)
}

// Source is another host and what it knows.
type Source struct {
	Addr netip.AddrPort
	// Far is set for a host of another region.
	Far bool
	Known
}

func (t *Tracker) sources() []Source {
	if t.opts.Mirror == nil || t.opts.Sources == nil {
		return nil
	}
	return t.opts.Sources()
}

// pullConfig reads the configuration from another host.
func (t *Tracker) pullConfig(src Source) error {
	ctx, cancel := context.WithTimeout(t.ctx, pullTimeout)
	defer cancel()
	it, err := t.opts.Mirror.Config(ctx, src.Addr)
	t.pulled("config of host", src, err)
	if err != nil {
		return err
	}
	proved := src.Proof
	if it.Rev != src.Config.Rev {
		proved = 0 // it was told of another revision
	}
	t.apply(it, proved, src.Addr.String())
	return nil
}

// pullEntries reads the entries from another host.
func (t *Tracker) pullEntries(src Source) error {
	ctx, cancel := context.WithTimeout(t.ctx, pullTimeout)
	defer cancel()
	l, err := t.opts.Mirror.Entries(ctx, src.Addr)
	t.pulled("entries of host", src, err)
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !l.List.After(t.View().List) {
		return nil // this host has read the store meanwhile
	}
	t.compare(l)
	t.list(l, src.Listed)
	return nil
}

// pulled records the outcome of a read from another host.
func (t *Tracker) pulled(call string, src Source, err error) {
	if t.opts.Count != nil {
		t.opts.Count(call, err)
	}
	if err != nil && t.ctx.Err() == nil {
		t.opts.Log.Warn("host did not answer", zap.String("call", call), zap.Stringer("peer", src.Addr), zap.Error(err))
	}
}

// picker chooses among sources and avoids those that failed.
type picker struct{ avoid map[netip.AddrPort]time.Time }

// pick returns one of the sources for which ok holds.
func (p *picker) pick(list []Source, ok func(Source) bool) (Source, bool) {
	now := time.Now()
	var found Source
	n := 0
	for _, s := range list {
		if !ok(s) || now.Before(p.avoid[s.Addr]) {
			continue
		}
		n++
		if rand.IntN(n) == 0 {
			found = s
		}
	}
	return found, n > 0
}

// note records whether a source answered.
func (p *picker) note(s Source, err error) {
	if err == nil {
		delete(p.avoid, s.Addr)
		return
	}
	if p.avoid == nil {
		p.avoid = make(map[netip.AddrPort]time.Time)
	}
	p.avoid[s.Addr] = time.Now().Add(avoidTime)
}

// wish is something newer that another host knows and this one does not.
type wish[T interface{ After(T) bool }] struct {
	mu    sync.Mutex
	what  T
	since time.Time
}

// raise notes something newer than what is known.
func (w *wish[T]) raise(what, known T) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.what.After(known) {
		w.since = time.Now()
	}
	if what.After(w.what) {
		w.what = what
	}
}

// due reports whether the wish has stood for a time.
func (w *wish[T]) due(known T, after time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.what.After(known) && time.Since(w.since) >= after
}
