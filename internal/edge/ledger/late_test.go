package ledger

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/fake/await"
	"github.com/yuccalb/yuccalb/platform/plattest"
)

// TestLateWrite guards against streams that go on at the version of an earlier attempt, whose
// record got no answer from the store and was written seconds later.
func TestLateWrite(t *testing.T) {
	s := plattest.NewStore(t)
	l := newLedger(t, s)
	if !l.Add("before", "v1").Wait(t.Context(), wait) { // grants the lease
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
	l.Add("id", "v2")
	await.True(t, wait, "a write in progress", late.Load)
	if !l.Add("id", "v1").Wait(t.Context(), wait) {
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
	busy := first.Add("busy", "v1") // the next record of this host is written with it
	time.Sleep(flushInterval / 2)
	refused := other.Add("id", "v2")
	began := first.Add("id", "v1")
	for _, r := range []*Record{busy, began, refused} {
		if !r.Wait(t.Context(), wait) {
			t.Fatal("not written")
		}
	}
	wantVersion(t, newLedger(t, s), "id", "v1", SourceStore)
}
