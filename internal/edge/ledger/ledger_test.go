package ledger

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/fake/await"
	"github.com/yuccalb/yuccalb/internal/fake/heap"
	"github.com/yuccalb/yuccalb/platform"
	"github.com/yuccalb/yuccalb/platform/plattest"
)

const (
	txnPath = "/-/kv-txn"
	wait    = 5 * time.Second
)

// newLedger returns a ledger on a store, which it shares with those of other tests hosts.
func newLedger(t *testing.T, s *plattest.Store) *Ledger {
	t.Helper()
	l := New(Options{Store: platform.NewStore(s.Addr(), &http.Transport{}), Count: func(string, error) {}, Log: zap.NewNop()})
	t.Cleanup(func() { _ = l.Close() }) // it returns no errors
	return l
}

func stream(attempt, version string, number int) platform.Stream {
	return platform.Stream{Attempt: platform.NewAttempt(attempt), Version: version, Number: number}
}

func wantVersion(t *testing.T, l *Ledger, attempt, version string, source Source) {
	t.Helper()
	v, from, err := l.Version(t.Context(), platform.NewAttempt(attempt), "")
	if v != version || from != source || err != nil {
		t.Errorf("%s: version %q from %q, error %v; want %q from %q", attempt, v, from, err, version, source)
	}
}

// TestBatches guards against a call of the store for each stream, and against records that
// another host does not find.
func TestBatches(t *testing.T) {
	s := plattest.NewStore(t)
	a, b := newLedger(t, s), newLedger(t, s)
	const n = 100
	var records []*Record
	for i := range n {
		records = append(records, a.Add(stream(fmt.Sprint("id-", i), fmt.Sprint("v", i%3), 0)))
	}
	for _, r := range records {
		if !r.Wait(t.Context(), wait) {
			t.Fatal("not written")
		}
	}
	if calls := s.Calls(txnPath); calls > n/platform.MaxStreams+2 {
		t.Errorf("%d calls for %d records", calls, n)
	}
	for i := range n {
		wantVersion(t, b, fmt.Sprint("id-", i), fmt.Sprint("v", i%3), SourceStore)
	}
	wantVersion(t, b, "id-none", "", SourceNone)
}

// TestReplacedRecord guards against the record of an attempt that a later one has replaced, and
// which is written after it because the store failed meanwhile.
func TestReplacedRecord(t *testing.T) {
	s := plattest.NewStore(t)
	l := newLedger(t, s)
	s.SetFault(func(*http.Request) int { return http.StatusServiceUnavailable })
	l.Add(stream("id", "v1", 0))
	await.True(t, wait, "failure", func() bool { return !l.Healthy(time.Now()) })
	r := l.Add(stream("id", "v2", 1))
	s.SetFault(nil)
	if !r.Wait(t.Context(), wait) {
		t.Fatal("not written")
	}
	time.Sleep(2*retryPause + 2*flushInterval)
	wantVersion(t, newLedger(t, s), "id", "v2", SourceStore)
}

// TestStoreAway guards against waiting for a store that is away, against records that are
// lost with it, and against an answer that nobody can know.
func TestStoreAway(t *testing.T) {
	s := plattest.NewStore(t)
	a, b := newLedger(t, s), newLedger(t, s)
	s.SetFault(func(*http.Request) int { return http.StatusServiceUnavailable })
	r := a.Add(stream("id", "v1", 0))
	began := time.Now()
	if r.Wait(t.Context(), 300*time.Millisecond) || time.Since(began) > time.Second {
		t.Errorf("waited for %v", time.Since(began))
	}
	if a.Healthy(time.Now()) {
		t.Error("healthy")
	}
	a.Pass(r)
	wantVersion(t, a, "id", "v1", SourceMemory)
	var status *platform.StatusError
	if _, _, err := b.Version(t.Context(), platform.NewAttempt("id"), ""); !errors.As(err, &status) {
		t.Errorf("another host: error %v", err)
	}
	s.SetFault(nil)
	if !r.Wait(t.Context(), wait) {
		t.Fatal("not written after the store was back")
	}
	wantVersion(t, b, "id", "v1", SourceStore)
	await.True(t, wait, "healthy again", func() bool { return a.Healthy(time.Now()) })
}

// TestStoreRestored guards against records that are lost when the store is restored from a copy.
func TestStoreRestored(t *testing.T) {
	s := plattest.NewStore(t)
	l := newLedger(t, s)
	if !l.Add(stream("first", "v1", 0)).Wait(t.Context(), wait) {
		t.Fatal("not written")
	}
	snapshot := s.Copy()
	if !l.Add(stream("second", "v2", 0)).Wait(t.Context(), wait) {
		t.Fatal("not written")
	}
	s.Restore(snapshot)
	other := newLedger(t, s)
	await.True(t, wait, "second record written again", func() bool {
		_, _, _ = l.Version(t.Context(), platform.NewAttempt("none"), "") // a response names the new era
		v, _, err := other.Version(t.Context(), platform.NewAttempt("second"), "")
		return v == "v2" && err == nil
	})
	wantVersion(t, other, "first", "v1", SourceStore)
}

// TestClose guards against a Close that waits for a store that does not answer.
func TestClose(t *testing.T) {
	s := plattest.NewStore(t)
	s.SetFault(func(*http.Request) int { return plattest.NoResponse })
	l := New(Options{Store: platform.NewStore(s.Addr(), &http.Transport{}), Count: func(string, error) {}, Log: zap.NewNop()})
	r := l.Add(stream("id", "v1", 0))
	time.Sleep(2 * flushInterval)
	began := time.Now()
	_ = l.Close() // it returns no errors
	if time.Since(began) > writeTimeout/2 {
		t.Errorf("Close took %v", time.Since(began))
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if r.Wait(ctx, wait) {
		t.Error("written")
	}
}

// TestKept guards against memory that grows with the number of streams.
func TestKept(t *testing.T) {
	s := plattest.NewStore(t)
	l := newLedger(t, s)
	s.SetFault(func(*http.Request) int { return http.StatusServiceUnavailable })
	for i := range 2 * maxKept {
		l.Add(stream(fmt.Sprint("id-", i), "v1", 0))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.kept) > maxKept || len(l.versions) > maxKept {
		t.Errorf("%d records kept, %d versions", len(l.kept), len(l.versions))
	}
}

// TestLongIdentifiers guards against a host that runs out of memory because it keeps the identifiers of attempts, which
// callers choose, with the records of their streams.
func TestLongIdentifiers(t *testing.T) {
	const records, size, most = 1000, 58 << 10, 8 << 20
	s := plattest.NewStore(t)
	s.SetFault(func(*http.Request) int { return http.StatusServiceUnavailable })
	l := newLedger(t, s)
	before := heap.InUse()
	for i := range records {
		l.Add(stream(fmt.Sprint(i, strings.Repeat("x", size)), "v1", 0))
	}
	if n := heap.InUse() - before; n > most {
		t.Errorf("%d records hold %d bytes, want at most %d", records, n, most)
	}
}
