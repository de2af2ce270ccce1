package ledger

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/fake/await"
	"github.com/yuccalb/yuccalb/platform"
	"github.com/yuccalb/yuccalb/platform/plattest"
)

// TestLateWrite guards against streams that go on at the version of an earlier attempt, whose
// record got no answer from the store and was written seconds later.
func TestLateWrite(t *testing.T) {
	s := plattest.NewStore(t)
	l := newLedger(t, s)
	if !l.Add(stream("before", "v1", 0)).Wait(t.Context(), wait) { // grants the lease
		t.Fatal("not written")
	}
	var late atomic.Bool
	executed := make(chan struct{})
	s.SetFault(func(r *http.Request) int {
		if r.URL.Path == txnPath && late.CompareAndSwap(false, true) {
			<-executed
		}
		return 0
	})
	l.Add(stream("id", "v2", 0))
	await.True(t, wait, "a write in progress", late.Load)
	if !l.Add(stream("id", "v1", 1)).Wait(t.Context(), wait) {
		t.Fatal("not written")
	}
	other := newLedger(t, s)
	wantVersion(t, other, "id", "v1", SourceStore)
	calls := s.Calls(txnPath)
	close(executed)
	await.True(t, wait, "writes", func() bool { return s.Calls(txnPath) >= calls })
	time.Sleep(2 * flushInterval)
	wantVersion(t, other, "id", "v1", SourceStore)
	wantVersion(t, l, "id", "v1", SourceStore)
}

// TestRecordOfOtherHost guards against streams that go on at the version of an earlier attempt,
// which another host refused and whose record that host wrote after the one of the last attempt.
func TestRecordOfOtherHost(t *testing.T) {
	s := plattest.NewStore(t)
	first, other := newLedger(t, s), newLedger(t, s)
	busy := first.Add(stream("busy", "v1", 0)) // the next record of this host is written with it
	time.Sleep(flushInterval / 2)
	refused := other.Add(stream("id", "v2", 0))
	began := first.Add(stream("id", "v1", 1))
	for _, r := range []*Record{busy, began, refused} {
		if !r.Wait(t.Context(), wait) {
			t.Fatal("not written")
		}
	}
	wantVersion(t, newLedger(t, s), "id", "v1", SourceStore)
}

// TestDrop guards against a record that is withdrawn and written all the same, and against one that
// counts as withdrawn although the store may hold it.
func TestDrop(t *testing.T) {
	s := plattest.NewStore(t)
	l := newLedger(t, s)
	if r := l.Add(stream("pending", "v1", 0)); !l.Drop(r) {
		t.Error("a pending record can't be withdrawn")
	}
	s.SetFault(func(*http.Request) int { return http.StatusServiceUnavailable })
	refused := l.Add(stream("refused", "v1", 0))
	await.True(t, wait, "failure", func() bool { return !l.Healthy(time.Now()) })
	if !l.Drop(refused) {
		t.Error("a record that the store has refused can't be withdrawn")
	}
	s.SetFault(nil)
	written := l.Add(stream("written", "v1", 0))
	if !written.Wait(t.Context(), wait) || l.Drop(written) {
		t.Error("a record was withdrawn that the store holds")
	}
	other := newLedger(t, s)
	wantVersion(t, other, "pending", "", SourceNone)
	wantVersion(t, other, "refused", "", SourceNone)
	s.SetFault(func(*http.Request) int { return plattest.NoResponse })
	calls := s.Calls(txnPath)
	unsure := l.Add(stream("unsure", "v1", 0))
	await.True(t, wait, "two writes", func() bool { return s.Calls(txnPath) >= calls+2 })
	if l.Drop(unsure) {
		t.Error("a record was withdrawn that the store may hold")
	}
}

// TestMemoryOfReplacedRecord guards against streams that go on at the version of an earlier attempt
// at the host of that attempt, which can't read the record that another host wrote after it.
func TestMemoryOfReplacedRecord(t *testing.T) {
	s := plattest.NewStore(t)
	first, other := newLedger(t, s), newLedger(t, s)
	if !first.Add(stream("id", "v2", 0)).Wait(t.Context(), wait) || !other.Add(stream("id", "v1", 1)).Wait(t.Context(), wait) {
		t.Fatal("not written")
	}
	s.SetFault(func(*http.Request) int { return http.StatusServiceUnavailable })
	if v, from, err := first.Version(t.Context(), platform.NewAttempt("id"), ""); err == nil {
		t.Errorf("version %q from %q, want none", v, from)
	}
}

// TestMarkOfOtherHost guards against the mark of a version that ends before the records of the
// streams, since another host has written it under a lease that ends earlier.
func TestMarkOfOtherHost(t *testing.T) {
	s := plattest.NewStore(t)
	store := platform.NewStore(s.Addr(), &http.Transport{})
	marks := []platform.Mark{{Service: "desk", Version: "v2"}}
	for _, ttl := range []time.Duration{time.Minute, time.Second} {
		lease, err := store.Grant(t.Context(), ttl)
		if err != nil {
			t.Fatal(err)
		}
		if err := store.PutStreams(t.Context(), []platform.Stream{stream(ttl.String(), "v2", 0)}, marks, lease); err != nil {
			t.Fatal(err)
		}
	}
	l := newLedger(t, s)
	await.True(t, wait, "end of the shorter lease", func() bool {
		_, from, err := l.Version(t.Context(), platform.NewAttempt(time.Second.String()), "")
		return from == SourceNone && err == nil
	})
	wantVersion(t, l, time.Minute.String(), "v2", SourceStore)
	if versions, err := l.Versions(t.Context(), "desk"); err != nil || len(versions) != 1 {
		t.Errorf("versions %q, error %v; want one", versions, err)
	}
}

// TestNumberOfTenRecords guards against records whose numbers are compared as text.
func TestNumberOfTenRecords(t *testing.T) {
	s := plattest.NewStore(t)
	for n, version := range map[int]string{9: "v1", 10: "v2", 1000: "v3"} {
		if !newLedger(t, s).Add(stream("id", version, n)).Wait(t.Context(), wait) {
			t.Fatal("not written")
		}
	}
	wantVersion(t, newLedger(t, s), "id", "v3", SourceStore)
}
