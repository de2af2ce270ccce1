package fetch

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/yuccalb/yuccalb/internal/adapt/store"
	"github.com/yuccalb/yuccalb/internal/core/config"
	"github.com/yuccalb/yuccalb/internal/core/vers"
	"github.com/yuccalb/yuccalb/internal/wire/peerpb"
)

// probeTimeout is the timeout of a probe. A stalled probe and a stalled watch together
// must not delay a change by 4 s.
const probeTimeout = 2 * time.Second

// maxHeadReads is the largest number of heads that one read tries in turn. A cold start
// takes 8 s, in which few changes replace a segment before it is read.
const maxHeadReads = 8

// execute carries out an action.
func (f *Fetcher) execute(ctx context.Context, a vers.Action) (outcome, error) {
	switch a.Kind {
	case vers.KindPull:
		return f.pull(ctx, a)
	case vers.KindProbe:
		return f.probe(ctx)
	default:
		return f.read(ctx, a)
	}
}

// currentSet returns the configuration in force, or nil if there is none.
func (f *Fetcher) currentSet() *config.Set {
	if c := f.current.Load(); c != nil {
		return c.set
	}
	return nil
}

// pull asks a peer for a newer configuration. If the patch in the reply can't be
// applied, pull requests the whole configuration.
func (f *Fetcher) pull(ctx context.Context, a vers.Action) (outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, a.Limit)
	defer cancel()
	base := f.currentSet()
	reply, err := f.opts.Peers.Pull(ctx, a.Peer, base.Version())
	if err != nil {
		return outcome{}, fmt.Errorf("pull: %w", err)
	}
	out, err := decodeReply(base, reply)
	if err == nil || reply.GetBase() == 0 {
		return out, err
	}
	whole, errWhole := f.opts.Peers.Pull(ctx, a.Peer, 0)
	if errWhole != nil {
		return outcome{}, fmt.Errorf("pull whole configuration: %w, after: %w", errWhole, err)
	}
	return decodeReply(base, whole)
}

// decodeReply converts a reply to an outcome, whose set is nil unless the reply is newer
// than base.
func decodeReply(base *config.Set, reply *peerpb.PullReply) (outcome, error) {
	out := outcome{
		Result: vers.Result{Version: reply.GetVersion(), Digest: reply.GetDigest(), ConfirmedAge: time.Duration(reply.GetConfirmed())},
		bytes:  len(reply.GetPatch()),
	}
	if out.Version <= base.Version() {
		return out, nil
	}
	var err error
	if reply.GetBase() == 0 {
		out.set, err = config.DecodeSet(reply.GetPatch(), out.Version, out.Digest)
		return out, err
	}
	if out.patch, err = config.DecodePatch(reply.GetPatch()); err != nil {
		return out, err
	}
	if out.set, err = base.Apply(out.patch); err != nil {
		return out, err
	}
	if out.set.Version() != out.Version || out.set.Digest() != out.Digest {
		return out, fmt.Errorf("patch results in version %d (%s), want %d (%s)", out.set.Version(), out.set.Digest(), out.Version, out.Digest)
	}
	return out, nil
}

// probe reads the store's version of the head without the head itself.
func (f *Fetcher) probe(ctx context.Context) (outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	items, err := f.opts.Store.List(ctx, config.HeadKey)
	if err != nil {
		return outcome{}, err
	}
	out := outcome{Result: vers.Result{Unchanged: true}}
	for _, item := range items {
		if item.Key == config.HeadKey {
			out.StoreVersion = item.Version
		}
	}
	return out, nil
}

// read reads the head, or waits for a newer one, and reads the segments that changed.
func (f *Fetcher) read(ctx context.Context, a vers.Action) (outcome, error) {
	entry, err := f.readHead(ctx, a)
	switch {
	case errors.Is(err, store.ErrUnchanged):
		return outcome{Result: vers.Result{Unchanged: true}}, nil
	case errors.Is(err, store.ErrNotFound):
		return outcome{}, nil
	case err != nil:
		return outcome{}, err
	}
	head, err := config.DecodeHead(entry.Value)
	if err != nil {
		return outcome{}, err
	}
	out := outcome{
		Result: vers.Result{Version: head.Version, Digest: head.Digest.String(), StoreVersion: entry.Version},
		bytes:  len(entry.Value),
	}
	base := f.currentSet()
	if head.Version <= base.Version() {
		return out, nil
	}
	var read map[int][]byte
	for n := 1; ; n++ {
		if read, err = f.readSegments(ctx, base, head); err == nil {
			break
		}
		if !errors.Is(err, store.ErrNotFound) || n == maxHeadReads {
			return outcome{}, err
		}
		if head, entry, err = f.newerHead(ctx, head, err); err != nil {
			return outcome{}, err
		}
		out.Version, out.Digest, out.StoreVersion = head.Version, head.Digest.String(), entry.Version
		out.bytes += len(entry.Value)
	}
	for _, data := range read {
		out.bytes += len(data)
	}
	if out.set, err = base.ApplyHead(head, read); err != nil {
		return outcome{}, err
	}
	clear(f.segmentCache)
	return out, nil
}

// newerHead reads the head again after a segment was not found: segments are deleted
// once a newer head does not refer to them. It returns cause if the store has no newer
// head, because the data of the store may be stale.
func (f *Fetcher) newerHead(ctx context.Context, head *config.Head, cause error) (*config.Head, store.Entry, error) {
	entry, err := f.opts.Store.Get(ctx, config.HeadKey)
	if err != nil {
		return nil, entry, fmt.Errorf("read head again: %w, after: %w", err, cause)
	}
	next, err := config.DecodeHead(entry.Value)
	if err != nil {
		return nil, entry, err
	}
	if next.Version <= head.Version {
		return nil, entry, cause
	}
	return next, entry, nil
}

// readHead returns the entry of the head in the store. For a watch it waits for a
// version above a.After.
func (f *Fetcher) readHead(ctx context.Context, a vers.Action) (store.Entry, error) {
	if a.Kind != vers.KindWatch {
		return f.opts.Store.Get(ctx, config.HeadKey)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	set := func(stop context.CancelFunc) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.cancelWatch = stop
	}
	set(cancel)
	defer set(nil)
	return f.opts.Store.Watch(ctx, config.HeadKey, a.After)
}

// readSegments reads, at a limited rate, the segments that base lacks of head. Segments
// read before a failure are kept for the next attempt.
func (f *Fetcher) readSegments(ctx context.Context, base *config.Set, head *config.Head) (map[int][]byte, error) {
	read := make(map[int][]byte)
	for _, i := range base.MissingSegments(head) {
		d := head.Segments[i]
		if _, ok := f.segmentCache[d]; !ok {
			if err := f.limiter.wait(ctx); err != nil {
				return nil, err
			}
			entry, err := f.opts.Store.Get(ctx, config.SegmentKey(d))
			if err != nil {
				return nil, fmt.Errorf("segment %d of version %d: %w", i, head.Version, err)
			}
			if config.Sum(entry.Value) != d {
				return nil, fmt.Errorf("segment %d of version %d in the store does not match its digest", i, head.Version)
			}
			f.segmentCache[d] = entry.Value
		}
		read[i] = f.segmentCache[d]
	}
	return read, nil
}
