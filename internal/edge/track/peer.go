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
	// peerReadTimeout bounds a read from another host.
	peerReadTimeout = time.Second
	// avoidTime is how long no reads go to a host that has failed to answer.
	avoidTime = time.Second
)

// PeerReader reads from other hosts what they have read from the store.
type PeerReader interface {
	Config(ctx context.Context, host netip.AddrPort) (platform.Item, error)
	Entries(ctx context.Context, host netip.AddrPort) (*Listing, error)
}

// Source is another host with the state that it has reported.
type Source struct {
	Addr netip.AddrPort
	// Remote is set for a host of a remote region.
	Remote bool
	StoreState
}

func (t *Tracker) sources() []Source {
	if t.opts.PeerReader == nil || t.opts.Sources == nil {
		return nil
	}
	return t.opts.Sources()
}

// readPeerConfig reads the configuration from another host.
func (t *Tracker) readPeerConfig(src Source) error {
	ctx, cancel := context.WithTimeout(t.ctx, peerReadTimeout)
	defer cancel()
	it, err := t.opts.PeerReader.Config(ctx, src.Addr)
	t.recordPeerRead("config of host", src, err)
	if err != nil {
		return err
	}
	confirmed := src.ConfigConfirmed
	if it.Rev != src.Config.Rev {
		confirmed = 0 // src reported another revision
	}
	t.apply(it, confirmed, src.Addr.String())
	return nil
}

// readPeerEntries reads the entries from another host.
func (t *Tracker) readPeerEntries(src Source) error {
	ctx, cancel := context.WithTimeout(t.ctx, peerReadTimeout)
	defer cancel()
	l, err := t.opts.PeerReader.Entries(ctx, src.Addr)
	t.recordPeerRead("entries of host", src, err)
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !l.EntriesRev.After(t.View().EntriesRev) {
		return nil // this host has read the store in the meantime
	}
	t.reconcilePeer(l)
	t.dropEnded(l)
	t.setListing(l, src.EntriesConfirmed)
	return nil
}

// recordPeerRead records the outcome of a read from another host.
func (t *Tracker) recordPeerRead(call string, src Source, err error) {
	if t.opts.Count != nil {
		t.opts.Count(call, err)
	}
	if err != nil && t.ctx.Err() == nil {
		t.opts.Log.Warn("host did not answer", zap.String("call", call), zap.Stringer("peer", src.Addr), zap.Error(err))
	}
}

// picker chooses among sources and avoids those that failed recently.
type picker struct{ avoid map[netip.AddrPort]time.Time }

// pick returns a random one of the sources for which ok holds.
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

// record records whether a source has answered.
func (p *picker) record(s Source, err error) {
	if err == nil {
		delete(p.avoid, s.Addr)
		return
	}
	if p.avoid == nil {
		p.avoid = make(map[netip.AddrPort]time.Time)
	}
	p.avoid[s.Addr] = time.Now().Add(avoidTime)
}

// pending is the newest version or revision that a peer has reported, and since when
// there is one that this host has not read.
type pending[T interface{ After(T) bool }] struct {
	mu     sync.Mutex
	newest T
	since  time.Time
}

// raise records a reported value that is newer than the current one of this host.
func (p *pending[T]) raise(reported, current T) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.newest.After(current) {
		p.since = time.Now()
	}
	if reported.After(p.newest) {
		p.newest = reported
	}
}

// due reports whether a value newer than the current one has been pending for at least
// delay.
func (p *pending[T]) due(current T, delay time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.newest.After(current) && time.Since(p.since) >= delay
}
