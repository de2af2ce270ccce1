package queue

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yuccalb/yuccalb/internal/core/model"
)

var start = time.Unix(1e9, 0)

func item(org string, weight int, class model.Class, tokens int64) *Item {
	return &Item{Org: org, Weight: weight, Class: class, Tokens: tokens, Deadline: start.Add(time.Hour)}
}

// serve pops and finishes n requests, one at a time, and returns the sums of
// their tokens by key.
func serve(t *testing.T, q *Queue, n int, key func(*Item) string) map[string]float64 {
	t.Helper()
	sum := map[string]float64{}
	for i := range n {
		now := start.Add(time.Duration(i) * time.Second)
		next, _ := q.Pop(now)
		if next == nil {
			t.Fatalf("no request to send after %d requests", i)
		}
		sum[key(next)] += float64(next.Tokens)
		q.Finish(next, now.Add(time.Second))
	}
	return sum
}

func byOrg(i *Item) string { return i.Org }

// TestShares guards against tokens that are not shared by weight when request
// sizes differ, and against a class that starves.
func TestShares(t *testing.T) {
	q := New(Config{Total: 1e6, PerOrg: 1e6, Quantum: 512}, 1)
	for i := range 3000 {
		_ = q.Push(item("small", 1, model.ClassShort, 50+int64(i%10)), start)
		_ = q.Push(item("large", 2, model.ClassShort, 3000), start)
		_ = q.Push(item("jobs", 1, model.ClassLong, 1000), start)
	}
	got := serve(t, q, 2500, byOrg)
	if ratio := got["large"] / got["small"]; math.Abs(ratio-2) > 0.1 {
		t.Errorf("organisations with weights 2:1 got tokens %.2f:1, want 2:1", ratio)
	}
	if ratio := (got["large"] + got["small"]) / got["jobs"]; math.Abs(ratio-3) > 0.15 {
		t.Errorf("classes short and long got tokens %.2f:1, want 3:1", ratio)
	}
}

// TestIdleClass guards against a class or organisation that accumulates credit
// while it has no requests.
func TestIdleClass(t *testing.T) {
	q := New(DefaultConfig(), 1)
	for range 200 {
		_ = q.Push(item("a", 1, model.ClassShort, 1000), start)
	}
	serve(t, q, 100, byOrg)
	for range 50 {
		_ = q.Push(item("b", 1, model.ClassLong, 1000), start)
	}
	if got := serve(t, q, 40, byOrg); got["b"] > 11_000 {
		t.Errorf("the class that was idle got %v of 40,000 tokens, want a quarter", got["b"])
	}
}

// TestReject guards against requests that wait although they can't meet their
// deadline, rejections without a retry time, and queues that exceed their limits.
func TestReject(t *testing.T) {
	q := New(Config{Total: 20, PerOrg: 15, Quantum: 512, Rate: 100, BorrowFraction: 1}, 1)
	busy := item("a", 1, model.ClassShort, 100)
	_ = q.Push(busy, start)
	q.Pop(start)
	late := func(org string, tokens int64, limit time.Duration) *model.Rejection {
		i := item(org, 1, model.ClassShort, tokens)
		i.Deadline = start.Add(limit)
		return q.Push(i, start)
	}
	for i := range 10 {
		if r := late("a", 100, time.Hour); r != nil {
			t.Fatalf("request %d: %v", i, r)
		}
	}
	r := late("a", 100, 4*time.Second) // 1,000 tokens are ahead at 100 per second
	if r == nil || r.Reason != model.ReasonOverloaded || r.Run != model.RunNo || r.RetryAfter != 6*time.Second {
		t.Errorf("rejection %+v, want overloaded, run no, retry in 6 s", r)
	}
	if r := late("b", 100, 4*time.Second); r != nil {
		t.Errorf("an organisation without backlog was rejected for the backlog of another: %v", r)
	}
	for range 20 {
		late("a", 1, time.Hour)
	}
	for range 20 {
		late("b", 1, time.Hour)
	}
	if q.Len() != 20 || q.orgs["a"].waiting > 15 {
		t.Errorf("%d requests wait, %d of one organisation, want 20 and at most 15", q.Len(), q.orgs["a"].waiting)
	}
	if r := late("c", 1, time.Hour); r == nil || r.RetryAfter <= 0 {
		t.Errorf("rejection %+v of a full queue, want a retry time", r)
	}
}

// TestExpired guards against requests that are sent after their deadline.
func TestExpired(t *testing.T) {
	q := New(DefaultConfig(), 1)
	old, fresh := item("a", 1, model.ClassShort, 10), item("a", 1, model.ClassShort, 10)
	old.Deadline = start.Add(time.Second)
	_, _ = q.Push(old, start), q.Push(fresh, start)
	got, expired := q.Pop(start.Add(time.Second))
	if got != fresh || len(expired) != 1 || expired[0] != old {
		t.Errorf("got %v and %d expired, want the request within its deadline and 1 expired", got, len(expired))
	}
}

// TestShareOfSlots guards against an organisation that takes all slots when it
// sends much more than the others, and against slots that stay free when no other
// organisation needs them. Its share by weight is a third of 100 slots, or all.
func TestShareOfSlots(t *testing.T) {
	run := func(others int, borrow float64) (hot float64, waited int) {
		cfg := DefaultConfig()
		cfg.BorrowFraction = borrow
		q := New(cfg, 100)
		var busy []*Item
		for tick := range 1200 { // 100 ms each; a request takes 2 s
			now := start.Add(time.Duration(tick) * 100 * time.Millisecond)
			for len(busy) > 0 && now.Sub(busy[0].sent) >= 2*time.Second {
				q.Finish(busy[0], now)
				busy = busy[1:]
			}
			for range 10 {
				_ = q.Push(item("hot", 1, model.ClassShort, 100), now)
			}
			for i := range others * (tick % 2) {
				_ = q.Push(item(fmt.Sprint(i), 1, model.ClassShort, 100), now)
			}
			for next, _ := q.Pop(now); next != nil; next, _ = q.Pop(now) {
				busy = append(busy, next)
			}
			waited += q.Len() - q.orgs["hot"].waiting
			if tick >= 600 {
				hot += float64(q.orgs["hot"].inUse) / 600
			}
		}
		return hot, waited
	}
	if hot, waited := run(2, 0.5); hot > 45 || waited > 0 {
		t.Errorf("the hot organisation has %.1f of 100 slots and others waited %d times, want at most 45 and 0", hot, waited)
	}
	if hot, _ := run(2, 0.8); hot < 50 {
		t.Errorf("the hot organisation has %.1f of 100 slots, want at least 50 of the 80 that may be borrowed", hot)
	}
	if hot, _ := run(0, 0.5); hot < 99 {
		t.Errorf("a single organisation has %.1f of 100 slots, want all", hot)
	}
}

// TestConservation guards against requests that are lost, sent twice, or sent
// after they were cancelled, and against a Pop that doesn't return.
func TestConservation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(Config{Total: 30, PerOrg: 10, Quantum: 64, BorrowFraction: 0.3}, 4)
		waiting, sent := map[*Item]bool{}, []*Item{}
		now := start
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "op") {
			case 0, 1:
				i := item(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "org"), rapid.IntRange(0, 3).Draw(t, "weight"),
					rapid.SampledFrom([]model.Class{model.ClassShort, model.ClassLong}).Draw(t, "class"), rapid.Int64Range(0, 5000).Draw(t, "tokens"))
				i.Deadline = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "deadline")) * time.Second)
				if q.Push(i, now) == nil {
					waiting[i] = true
				}
			case 2:
				next, expired := q.Pop(now)
				for _, i := range append(expired, next) {
					if i != nil && !waiting[i] {
						t.Fatal("a request was returned that did not wait")
					}
					delete(waiting, i)
				}
				if next != nil {
					sent = append(sent, next)
				}
			case 3:
				for i := range waiting {
					if !q.Cancel(i) || q.Cancel(i) {
						t.Fatal("a waiting request could not be cancelled exactly once")
					}
					delete(waiting, i)
					break
				}
			case 4:
				if len(sent) > 0 {
					q.Finish(sent[0], now)
					sent = sent[1:]
				}
			}
			if q.Len() != len(waiting) || q.InUse() != len(sent) || len(sent) > 4 {
				t.Fatalf("%d wait and %d are in use, want %d and %d, at most 4", q.Len(), q.InUse(), len(waiting), len(sent))
			}
		}
	})
}
