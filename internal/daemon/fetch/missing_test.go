package fetch

import (
	"context"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccalb/yuccalb/internal/adapt/store"
	"github.com/yuccalb/yuccalb/internal/core/config"
)

// racingStore publishes a new version before each of the first reads of a segment.
type racingStore struct {
	*store.Client
	publish func()
	left    int // reads before which to publish
}

func (s *racingStore) Get(ctx context.Context, key string) (store.Entry, error) {
	if strings.HasPrefix(key, config.SegmentPrefix) && s.left > 0 {
		s.left--
		s.publish()
	}
	return s.Client.Get(ctx, key)
}

// TestMissingSegment guards against a host whose read fails, or is retried only after
// the backoff, because a segment that it needs was deleted after a change.
func TestMissingSegment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		rate, v := int64(1), s.publish(1, 1, 0)
		racing := &racingStore{Client: s.kv, left: 3, publish: func() {
			rate++
			v = s.publish(1, rate, 0)
		}}
		f := New(Options{Store: racing, Peers: link{s, hostAddr(1)}, Rand: rand.New(rand.NewPCG(1, 1))})
		s.mu.Lock()
		s.hosts[hostAddr(1)] = f
		s.mu.Unlock()
		f.SetPeers(nil, nil, nil, true)
		time.Sleep(minRetryDelay / 2)
		if snap := f.Snapshot(); snap == nil || snap.Version != v || v != 4 {
			t.Errorf("in force: %+v, want version %d without a failed read", snap, v)
		}
	})
}

// minRetryDelay is the shortest delay after a failed read.
const minRetryDelay = 250 * time.Millisecond
