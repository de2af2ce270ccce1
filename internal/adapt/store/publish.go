package store

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/config"
	"github.com/yuccalb/yuccalb/internal/core/model"
)

// Delays between the attempts of one operation; see backoff.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// ErrNoChange is returned by Publish if the store already has the configuration.
var ErrNoChange = errors.New("the store already has this configuration")

// PublishConflictError means that another operator's change was published first and that
// nothing of the caller's own change took effect.
type PublishConflictError struct {
	// Version is the version that the other operator published.
	Version uint64
	// Nonce identifies the other operator's write.
	Nonce string
}

// Error implements error.
func (e *PublishConflictError) Error() string {
	return fmt.Sprintf("conflict with version %d, which another operator published with nonce %s", e.Version, e.Nonce)
}

// Publication is the outcome of a Publish that took effect.
type Publication struct {
	Version uint64
	Digest  string
	// Segments is the number of segments written, Bytes the size of these and of
	// the head.
	Segments int
	Bytes    int
	// Deleted is the number of unused segments that were deleted.
	Deleted int
}

// KV is the part of Client that Publish and Load use.
type KV interface {
	Get(ctx context.Context, key string) (Entry, error)
	Put(ctx context.Context, key string, value []byte, prev uint64, lease string) (uint64, error)
	Delete(ctx context.Context, key string, prev uint64) error
	List(ctx context.Context, prefix string) ([]Item, error)
}

// Head reads the head of the configuration and returns it with the version of its
// key in the store. It returns nil and 0 if there is none yet.
func Head(ctx context.Context, kv KV) (*config.Head, uint64, error) {
	e, err := kv.Get(ctx, config.HeadKey)
	if errors.Is(err, ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	h, err := config.DecodeHead(e.Value)
	if err != nil {
		return nil, 0, err
	}
	return h, e.Version, nil
}

// Publish makes cfg the next version of the configuration: it writes the segments
// that the current version lacks, replaces the head by compare-and-swap, and
// deletes segments that are no longer needed, as far as the store is available.
// The nonce must be unique to the call. If expect is not 0 and the store has
// another version than expect, nothing is written. The error shows whether the
// change took effect: it did if the error is nil; ErrNoChange means that there was
// nothing to write; *PublishConflictError and ErrUnavailable mean that it did not. Only with
// ErrOutcomeUnknown, returned if ctx ends while the store is unreachable, is this unknown.
func Publish(ctx context.Context, kv KV, cfg *model.Config, nonce string, expect uint64) (*Publication, error) {
	if err := config.Check(cfg); err != nil {
		return nil, fmt.Errorf("publish: %w", err)
	}
	segments := config.Split(cfg)
	parent, prev, err := readParent(ctx, kv, expect, config.TotalDigest(config.Digests(segments)))
	if err != nil {
		return nil, fmt.Errorf("publish: %w", err)
	}
	head := config.NewHead(parent, nonce, config.Digests(segments))
	listed := listSegments(ctx, kv)
	pub := &Publication{Version: head.Version, Digest: head.Digest.String()}
	for i, d := range head.Segments {
		if config.IsEmptySegment(d) || (parent != nil && parent.Segments[i] == d) {
			continue
		}
		key := config.SegmentKey(d)
		if err := putSegment(ctx, kv, key, segments[i], listed[key]); err != nil {
			return nil, fmt.Errorf("publish: %w", err)
		}
		pub.Segments++
		pub.Bytes += len(segments[i])
	}
	value := head.Encode()
	pub.Bytes += len(value)
	if err := putHead(ctx, kv, head, value, prev); err != nil {
		return nil, fmt.Errorf("publish version %d: %w", head.Version, err)
	}
	pub.Deleted = collect(ctx, kv, head, listed)
	return pub, nil
}

// readParent returns the head to replace and the version of its key in the store.
// Reads may return stale data. Therefore a head with a version below expect is read
// again, and a head that already has the digest is taken for current only after it
// was written again unchanged by compare-and-swap.
func readParent(ctx context.Context, kv KV, expect uint64, digest config.Digest) (*config.Head, uint64, error) {
	for w := (backoff{}); ; {
		head, prev, err := Head(ctx, kv)
		if err != nil {
			return nil, 0, err
		}
		switch {
		case expect > 0 && (head == nil || head.Version < expect):
			err = fmt.Errorf("the store does not return version %d yet", expect)
		case expect > 0 && head.Version > expect:
			return nil, 0, &PublishConflictError{Version: head.Version, Nonce: head.Nonce}
		case head == nil || head.Digest != digest:
			return head, prev, nil
		default:
			if _, err = kv.Put(ctx, config.HeadKey, head.Encode(), prev, ""); err == nil {
				return nil, 0, ErrNoChange
			}
		}
		if w.wait(ctx) != nil {
			return nil, 0, &callError{ErrUnavailable, errors.New(err.Error())}
		}
	}
}

// putHead replaces the head by compare-and-swap. If a response is lost, it repeats
// the same write: the write can take effect only once, and the response to the
// repetition shows whether it did. A read alone would not show it, because the
// first write may still be in flight. A conflict with a head of the parent's
// version means that another publisher wrote the parent again unchanged. Then the
// earlier write can no longer take effect, and putHead repeats the write with the
// new version of the key.
func putHead(ctx context.Context, kv KV, head *config.Head, value []byte, prev uint64) error {
	unknown := false
	for w := (backoff{}); ; {
		_, err := kv.Put(ctx, config.HeadKey, value, prev, "")
		var conflict *ConflictError
		switch {
		case err == nil:
			return nil
		case errors.As(err, &conflict):
			current, version, err := headAfterConflict(ctx, kv, head, conflict.Version, unknown)
			if err != nil {
				return err
			}
			if current.Version >= head.Version {
				return conflictOutcome(head, current, unknown)
			}
			prev = version
			continue
		case errors.Is(err, ErrOutcomeUnknown):
			unknown = true
		case !errors.Is(err, ErrUnavailable):
			return err
		}
		if w.wait(ctx) != nil {
			if unknown {
				return outcomeUnknown(err)
			}
			return err
		}
	}
}

// headAfterConflict reads the head after a conflict that reported version at of its
// key. It reads again if the store returns older data.
func headAfterConflict(ctx context.Context, kv KV, head *config.Head, at uint64, unknown bool) (*config.Head, uint64, error) {
	for w := (backoff{}); ; {
		current, version, err := Head(ctx, kv)
		if err == nil && current != nil && version >= at {
			return current, version, nil
		}
		if err == nil {
			err = fmt.Errorf("the store returned version %d of the head after a conflict with version %d", version, at)
		}
		if w.wait(ctx) == nil {
			continue
		}
		if unknown {
			return nil, 0, outcomeUnknown(err)
		}
		return nil, 0, fmt.Errorf("%w; the new head could not be read: %w", &PublishConflictError{Version: head.Version}, err)
	}
}

// outcomeUnknown returns an ErrOutcomeUnknown with the text of the error of a later
// attempt. The error itself is not wrapped: even if the later attempt wrote
// nothing, the first may have taken effect.
func outcomeUnknown(err error) error {
	return &callError{ErrOutcomeUnknown, errors.New(err.Error())}
}

// conflictOutcome returns the outcome of writing head own after a conflict with the
// head current. If no attempt had an unknown outcome, the conflict itself shows that
// the write failed; otherwise the nonces show whether own took effect.
func conflictOutcome(own, current *config.Head, unknown bool) error {
	switch {
	case !unknown:
		return &PublishConflictError{Version: current.Version, Nonce: current.Nonce}
	case current.Nonce == own.Nonce:
		return nil
	case current.Version == own.Version+1 && current.Parent == own.Nonce:
		return nil // took effect and was then replaced by another operator's change
	case current.Version > own.Version+1:
		return &callError{ErrOutcomeUnknown, fmt.Errorf("version %d is in force, the writer of version %d can't be determined", current.Version, own.Version)}
	default:
		return &PublishConflictError{Version: current.Version, Nonce: current.Nonce}
	}
}

// backoff delays the attempts of one operation.
type backoff struct{ next time.Duration }

// wait sleeps, twice as long each time up to maxBackoff, and returns an error if
// ctx ends.
func (w *backoff) wait(ctx context.Context) error {
	w.next = min(max(2*w.next, minBackoff), maxBackoff)
	t := time.NewTimer(w.next)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
