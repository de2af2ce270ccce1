package hold

import (
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/rank"
)

// claim returns the claim of a request that begins to wait now and may wait for 200 ms.
func claim(priority int) rank.Claim {
	now := time.Now()
	return rank.Claim{Priority: priority, Level: priority, Deadline: now.Add(5 * time.Second), Since: now, Until: now.Add(200 * time.Millisecond)}
}

// join adds a request that must get a place.
func join(t *testing.T, l *Line, most int, c rank.Claim) *Place {
	t.Helper()
	p, ok := l.Join(most, c)
	if !ok {
		t.Fatalf("no place for %+v", c)
	}
	return p
}

// looks reports whether the request should look for room.
func looks(p *Place) bool {
	select {
	case <-p.Ready():
		return true
	default:
		return false
	}
}

// TestOrder guards against requests that get room before others that came earlier with the
// same priority, or before more urgent ones.
func TestOrder(t *testing.T) {
	var l Line
	second := join(t, &l, 4, claim(5))
	third := join(t, &l, 4, claim(5))
	first := join(t, &l, 4, claim(2))
	for i, p := range []*Place{first, second, third} {
		l.Wake()
		if !p.First() || !looks(p) {
			t.Fatalf("request %d is not the one that looks for room", i)
		}
		p.Leave()
	}
}

// TestOrderChanges guards against requests that keep the places they joined at: a request that
// can no longer be on time stays before one that can, and one that has waited for half of its
// time stays behind requests that are one priority more urgent.
func TestOrderChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var l Line
		begin := time.Now()
		old := join(t, &l, 4, claim(1))
		c := claim(0)
		c.Due = begin.Add(50 * time.Millisecond)
		late := join(t, &l, 4, c)
		c.Due, c.Until = begin.Add(time.Second), begin.Add(time.Minute)
		timely := join(t, &l, 4, c)
		expect := func(places ...*Place) {
			t.Helper()
			for i, p := range places {
				if got := p.Position(); got != i+1 {
					t.Errorf("after %v, request %d has position %d", time.Since(begin), i+1, got)
				}
			}
			l.Wake()
			if !places[0].First() || !looks(places[0]) {
				t.Errorf("after %v, another request than the first looks for room", time.Since(begin))
			}
		}
		expect(late, timely, old)
		time.Sleep(50*time.Millisecond + 1)
		expect(timely, late, old)
		time.Sleep(50 * time.Millisecond) // late and old count as one priority more urgent
		expect(late, timely, old)
		c.Due = time.Time{}
		join(t, &l, 4, c)
		expect(late, timely, old)
	})
}

// TestPass guards against a request that finds nothing it may use and keeps the others from
// room that they may use.
func TestPass(t *testing.T) {
	var l Line
	first, second := join(t, &l, 2, claim(5)), join(t, &l, 2, claim(5))
	l.Wake()
	if !looks(first) || looks(second) {
		t.Fatal("not only the first request looks for room")
	}
	first.Pass()
	if looks(first) || !looks(second) {
		t.Error("the second request does not look for room")
	}
}

// TestUrgentInFullLine guards against a more urgent request that is refused while less urgent
// ones wait, and against one that displaces a request which ranks before it.
func TestUrgentInFullLine(t *testing.T) {
	var l Line
	first, last := join(t, &l, 2, claim(5)), join(t, &l, 2, claim(5))
	if _, ok := l.Join(2, claim(5)); ok {
		t.Error("a full line takes another request of the same rank")
	}
	c := claim(1)
	urgent := join(t, &l, 2, c)
	select {
	case <-last.Lost():
	default:
		t.Error("the last request keeps its place")
	}
	if by, n := last.By(), last.Position(); by != c || n != 2 {
		t.Errorf("the last request lost position %d to %+v, want 2 and %+v", n, by, c)
	}
	if !urgent.First() || l.Len() != 2 {
		t.Errorf("urgent request first: %v, %d wait", urgent.First(), l.Len())
	}
	if want, got := map[int]int{1: 1, 5: 1}, l.Counts(); !maps.Equal(got, want) {
		t.Errorf("%v wait by priority, want %v", got, want)
	}
	urgent.Leave()
	if !first.First() {
		t.Error("the request that came first is not first again")
	}
	last.Leave() // has no effect
	if want, got := map[int]int{1: 0, 5: 1}, l.Counts(); !maps.Equal(got, want) || l.Len() != 1 {
		t.Errorf("%d wait, by priority %v, want 1 and %v", l.Len(), got, want)
	}
}

// TestDisplacedByWork guards against a full line that keeps requests with much work of the
// service of which those with less are turned away.
func TestDisplacedByWork(t *testing.T) {
	var l Line
	long := claim(1)
	long.Due, long.Work = long.Since.Add(2*time.Second), 300*time.Millisecond
	short := long
	short.Due, short.Work = long.Since.Add(1730*time.Millisecond), 30*time.Millisecond
	p := join(t, &l, 1, long)
	join(t, &l, 1, short)
	select {
	case <-p.Lost():
	default:
		t.Error("of two requests with the same latest start, the one with more work keeps the place")
	}
}
