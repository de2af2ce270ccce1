package length

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// TestExpect guards against an expected duration that many responses of a route exceed,
// and against one that does not follow a change of the responses' durations.
func TestExpect(t *testing.T) {
	var b Estimator
	if _, ok := b.Expect("chat"); ok {
		t.Error("got an expected duration for a route without responses")
	}
	rng := rand.New(rand.NewPCG(1, 2))
	for _, mean := range []float64{2, 0.3, 5} {
		draw := func() time.Duration {
			return time.Duration(mean * (0.5 + rng.Float64()) * float64(time.Second))
		}
		for range 100 {
			b.Record("chat", draw())
		}
		got, ok := b.Expect("chat")
		longer := 0
		for range 1000 {
			if draw() > got {
				longer++
			}
		}
		if !ok || longer > 100 || got.Seconds() > 3*mean {
			t.Errorf("mean %v s: got an expected duration of %v, exceeded by %d of 1000 responses", mean, got, longer)
		}
	}
}

// TestManyRoutes guards against memory use that grows with every route name that was
// ever used.
func TestManyRoutes(t *testing.T) {
	var b Estimator
	for i := range 3 * maxRoutes {
		b.Record(fmt.Sprint(i), time.Second)
	}
	if n := len(b.routes); n > maxRoutes {
		t.Errorf("estimates for %d routes are stored, want at most %d", n, maxRoutes)
	}
}
