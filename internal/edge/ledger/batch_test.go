package ledger

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/platform"
)

// memStore is a Store that takes latency for each call and counts those for records.
type memStore struct {
	latency time.Duration

	mu    sync.Mutex
	calls []int // the number of records of each
}

func (s *memStore) Era() int64 { return 0 }

func (s *memStore) Grant(context.Context, time.Duration) (platform.Lease, error) {
	return platform.Lease{}, nil
}

func (s *memStore) PutStreams(_ context.Context, list []platform.Stream, _ []platform.Mark, _ platform.Lease) error {
	s.mu.Lock()
	s.calls = append(s.calls, len(list))
	s.mu.Unlock()
	time.Sleep(s.latency)
	return nil
}

func (s *memStore) Stream(context.Context, platform.Attempt) (platform.Stream, error) {
	return platform.Stream{}, platform.ErrNotFound
}

func (s *memStore) MarkedVersions(context.Context, string) ([]string, error) { return nil, nil }

// TestFullBatches guards against calls for a few records that are written right after a full
// batch, although other records follow within the time for which each may wait.
func TestFullBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &memStore{latency: 4 * time.Millisecond}
		l := New(Options{Store: s, Count: func(string, error) {}, Log: zap.NewNop()})
		const rounds, burst = 10, maxBatch + 2
		for i := range rounds * burst {
			l.Add(stream(fmt.Sprint("id-", i), "v", 0))
			if i%burst == burst-1 {
				time.Sleep(10 * time.Millisecond)
			}
		}
		time.Sleep(flushInterval + 2*s.latency)
		if err := l.Close(); err != nil {
			t.Error(err)
		}
		if want := rounds*burst/maxBatch + 1; len(s.calls) > want {
			t.Errorf("calls for %v records, want at most %d calls", s.calls, want)
		}
	})
}

// TestBusyWriters guards against a ledger that keeps a processor busy while all its calls wait for
// the store, and against records that wait longer than for the end of one.
func TestBusyWriters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &memStore{latency: writeTimeout / 2}
		l := New(Options{Store: s, Count: func(string, error) {}, Log: zap.NewNop()})
		var last *Record
		for i := range (maxWriters + 1) * maxBatch {
			last = l.Add(stream(fmt.Sprint("id-", i), "v", 0))
		}
		if !last.Wait(t.Context(), 2*s.latency+flushInterval) {
			t.Error("not written once a writer was free")
		}
		if err := l.Close(); err != nil {
			t.Error(err)
		}
	})
}
