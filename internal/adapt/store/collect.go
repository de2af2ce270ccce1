package store

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/config"
)

// A segment is deleted by the publisher whose head replaced the last head that
// references it. Publishers may run concurrently, be paused at any point, and
// lose the response to a write that takes effect later. Each publisher takes
// these steps in order:
//
//  1. It reads the current head, the parent of its own.
//  2. It lists the segments in the store with their versions.
//  3. It writes every segment that its head references and the parent does not,
//     even if the store already has it, which gives the segment a new version.
//  4. It replaces the head by compare-and-swap.
//  5. If it is certain that step 4 succeeded, it deletes each listed segment that
//     its head does not reference, provided that the segment still has the listed
//     version.
//
// Claim: the current head never references a missing segment. Let P delete
// segment d at the listed version, and let the head of version n, written by Q,
// be the first of consecutive heads that reference d. P's own head does not
// reference d, so it comes before n or after the last of these heads. If it comes
// before, P listed d before its own head was written. Q read P's head or a later
// one and wrote d after that, so either d has a newer version than the listed one
// and P's delete conflicts, or the delete came first and Q's write created d
// again. If P's head comes after, P deletes d only when none of these heads is
// current any more. A publisher that was paused before step 4 fails there if
// the head was replaced meanwhile, so a segment that it wrote and P deleted is
// not needed. A publisher that was paused before step 5, and a delete whose
// response was lost, are the first case. A publisher that fails at step 4, or does
// not receive the result of a step 4 that succeeded, deletes nothing; the segments
// that it leaves over are in the list of the next publisher.
//
// This relies on versions of a key that keep increasing when the key is deleted
// and written again. All publishers must follow these steps: if one does not write
// a segment again because the store already has it, that segment may be deleted.

const (
	// maxDeletes bounds the deletes of one Publish. It is more than the 257
	// segments that one change can replace, so a backlog of unused segments
	// shrinks with each change.
	maxDeletes = 1000
	// collectTimeout bounds the time that one Publish spends on deletes. The
	// operator waits for them although the change is already in force.
	collectTimeout = 5 * time.Second
	// loadAttempts bounds how often Load reads the head.
	loadAttempts = 8
)

// listSegments returns the versions of the segments in the store by key. If the
// list can't be read it returns nil. Then nothing is deleted, and putSegment gets
// the version of an existing segment from its first conflict.
func listSegments(ctx context.Context, kv KV) map[string]uint64 {
	items, err := kv.List(ctx, config.SegmentPrefix)
	if err != nil {
		return nil
	}
	listed := make(map[string]uint64, len(items))
	for _, item := range items {
		if strings.HasPrefix(item.Key, config.SegmentPrefix) {
			listed[item.Key] = item.Version
		}
	}
	return listed
}

// collect deletes the listed segments that head does not reference and returns how
// many it deleted. head must be or have been the current head. collect stops at
// the first call without a usable response, so that an outage does not delay the
// operator.
func collect(ctx context.Context, kv KV, head *config.Head, listed map[string]uint64) int {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	needed := make(map[string]bool, len(head.Segments))
	for _, d := range head.Segments {
		needed[config.SegmentKey(d)] = true
	}
	tried, deleted := 0, 0
	for _, key := range slices.Sorted(maps.Keys(listed)) {
		if needed[key] {
			continue
		}
		if tried++; tried > maxDeletes {
			break
		}
		switch err := kv.Delete(ctx, key, listed[key]); {
		case err == nil:
			deleted++
		case errors.Is(err, ErrNotFound) || errors.Is(err, ErrConflict):
			// Another publisher has deleted the segment or written it again.
		default:
			return deleted
		}
	}
	return deleted
}

// putSegment writes a segment whose version is prev, 0 if it does not exist. On a
// conflict it tries again with the segment's actual version. It returns only when
// one write is known to have succeeded: it is not enough that the segment exists,
// since a delete of the existing version may be in flight. A segment has no effect
// before a head references it, so even a write of unknown outcome is reported as
// ErrUnavailable.
func putSegment(ctx context.Context, kv KV, key string, value []byte, prev uint64) error {
	conflicts := 0
	for w := (backoff{}); ; {
		_, err := kv.Put(ctx, key, value, prev, "")
		if err == nil {
			return nil
		}
		var conflict *ConflictError
		if errors.As(err, &conflict) {
			prev = conflict.Version
			// The first conflict may be due to a stale list, so retry at once. Later
			// ones are with publishers that write the same segment.
			if conflicts++; conflicts == 1 {
				continue
			}
		} else if !errors.Is(err, ErrOutcomeUnknown) && !errors.Is(err, ErrUnavailable) {
			return err
		}
		if w.wait(ctx) != nil {
			return &callError{ErrUnavailable, fmt.Errorf("configuration not changed: %s", err)}
		}
	}
}

// Load reads the configuration in the store. It returns nil if there is none yet.
// If a segment is missing, the head has been replaced and the segment deleted
// since the head was read, so Load reads the head again.
func Load(ctx context.Context, kv KV) (*config.Set, error) {
	parts := make(map[config.Digest][]byte)
	w := backoff{}
	for n := 1; ; n++ {
		h, _, err := Head(ctx, kv)
		if err != nil || h == nil {
			return nil, err
		}
		set, err := load(ctx, kv, h, parts)
		if !errors.Is(err, ErrNotFound) || n == loadAttempts || w.wait(ctx) != nil {
			return set, err
		}
	}
}

// load reads the segments of a head that are not yet in parts, adds them to parts,
// and returns the configuration.
func load(ctx context.Context, kv KV, h *config.Head, parts map[config.Digest][]byte) (*config.Set, error) {
	var none *config.Set
	read := make(map[int][]byte)
	for _, i := range none.MissingSegments(h) {
		d := h.Segments[i]
		if parts[d] == nil {
			e, err := kv.Get(ctx, config.SegmentKey(d))
			if err != nil {
				return nil, fmt.Errorf("segment %d of version %d: %w", i, h.Version, err)
			}
			parts[d] = e.Value
		}
		read[i] = parts[d]
	}
	return none.ApplyHead(h, read)
}
