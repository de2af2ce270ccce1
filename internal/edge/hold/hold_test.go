package hold

import "testing"

// join adds a request that must get a place.
func join(t *testing.T, l *Line, most, priority int) *Place {
	t.Helper()
	p, ok := l.Join(most, priority)
	if !ok {
		t.Fatalf("no place for priority %d", priority)
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
	second := join(t, &l, 4, 5)
	third := join(t, &l, 4, 5)
	first := join(t, &l, 4, 2)
	for i, p := range []*Place{first, second, third} {
		l.Wake()
		if !p.First() || !looks(p) {
			t.Fatalf("request %d is not the one that looks for room", i)
		}
		p.Leave()
	}
}

// TestPass guards against a request that finds nothing it may use and keeps the others from
// room that they may use.
func TestPass(t *testing.T) {
	var l Line
	first, second := join(t, &l, 2, 5), join(t, &l, 2, 5)
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
// ones wait.
func TestUrgentInFullLine(t *testing.T) {
	var l Line
	first, last := join(t, &l, 2, 5), join(t, &l, 2, 5)
	if _, ok := l.Join(2, 5); ok {
		t.Error("a full line takes another request of the same priority")
	}
	urgent := join(t, &l, 2, 1)
	select {
	case <-last.Lost():
	default:
		t.Error("the last request keeps its place")
	}
	if !urgent.First() || l.Len() != 2 {
		t.Errorf("urgent request first: %v, %d wait", urgent.First(), l.Len())
	}
	urgent.Leave()
	if !first.First() {
		t.Error("the request that came first is not first again")
	}
	last.Leave() // has no effect
	if l.Len() != 1 {
		t.Errorf("%d requests wait, want 1", l.Len())
	}
}
