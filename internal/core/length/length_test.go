package length

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// TestExpect guards against an expectation that most answers of a route
// exceed, or that stays when the route's answers change.
func TestExpect(t *testing.T) {
	var b Book
	if _, ok := b.Expect("chat"); ok {
		t.Error("a length is expected of a route without answers")
	}
	rng := rand.New(rand.NewPCG(1, 2))
	for _, mean := range []float64{2, 0.3, 5} {
		draw := func() time.Duration {
			return time.Duration(mean * (0.5 + rng.Float64()) * float64(time.Second))
		}
		for range 100 {
			b.Note("chat", draw())
		}
		got, ok := b.Expect("chat")
		longer := 0
		for range 1000 {
			if draw() > got {
				longer++
			}
		}
		if !ok || longer > 100 || got.Seconds() > 3*mean {
			t.Errorf("mean %v s: expected %v, exceeded by %d of 1000", mean, got, longer)
		}
	}
}

// TestManyRoutes guards against memory that grows with each name of a route
// that was ever used.
func TestManyRoutes(t *testing.T) {
	var b Book
	for i := range 3 * maxRoutes {
		b.Note(fmt.Sprint(i), time.Second)
	}
	if n := len(b.routes); n > maxRoutes {
		t.Errorf("%d routes are kept, want at most %d", n, maxRoutes)
	}
}
