package pick_test

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/fake/batch"
	"github.com/yuccalb/yuccalb/internal/fake/region"
)

// pause is the time between two events beyond which a caller notices.
const pause = 300 * time.Millisecond

// TestLongAnswersBesideLongPrompts is a load of short questions with long
// answers and of long prompts with short ones. It guards against long prompts
// that go to any engine: reading them holds up all streams there.
func TestLongAnswersBesideLongPrompts(t *testing.T) {
	const d = 25 * time.Second
	cfg := batch.Config{Slots: 64, Memory: 250_000, Step: 7 * time.Millisecond, Read: 40_000, Attend: time.Millisecond, Chunk: 2048, Event: 4}
	p := region.New(4, 8, cfg)
	all := p.Run([]region.Kind{
		{Goal: time.Second, Rate: 36, Prompt: 800, Output: 290},
		{Goal: time.Second, Rate: 13, Prompt: 3000, Output: 50, Parts: region.Tree},
	}, d)
	for i, name := range []string{"long answers", "long prompts"} {
		steady := region.Portion(all, i, d, func(o *region.Request) bool {
			return o.Begun() && o.First-o.Arrived <= time.Second && o.Pause <= pause
		})
		t.Logf("%.3f of the %s begin within a second and go on without a late event", steady, name)
		if steady < 0.9 {
			t.Errorf("%.3f of the %s begin within a second and go on without a late event, want 0.9", steady, name)
		}
	}
}

// TestPrefixTree is a load whose prompts share a few heads and many second
// parts below them. It guards against placement by the heads alone, which sends
// everything to a few engines and reads the second parts again and again.
func TestPrefixTree(t *testing.T) {
	const d = 25 * time.Second
	cfg := batch.Config{Slots: 64, Memory: 250_000, Step: 7 * time.Millisecond, Read: 40_000, Chunk: 2048, Event: 4}
	p := region.New(4, 8, cfg)
	all := p.Run([]region.Kind{{Goal: time.Second, Rate: 35, Prompt: 2500, Output: 50, Parts: region.Tree}}, d)
	again := region.Mean(all, 0, d, func(o *region.Request) float64 { return float64(o.Again) / 6000 })
	used := make(map[string]int)
	for _, o := range all {
		used[o.Choice.ID]++
	}
	most := slices.Max([]int{used["s0"], used["s1"], used["s2"], used["s3"], used["s4"], used["s5"], used["s6"], used["s7"]})
	t.Logf("%.3f of the shared tokens are read again; the busiest engine gets %.2f times the mean", again, float64(most*8)/float64(len(all)))
	if again > 0.2 {
		t.Errorf("%.3f of the shared tokens are read again, want at most 0.2", again)
	}
	if float64(most*8) > 1.7*float64(len(all)) {
		t.Errorf("the busiest of 8 engines gets %d of %d requests: %v", most, len(all), used)
	}
}

// TestUnlikeEngines guards against an expectation that is right for engines of
// one speed only: after some seconds the expected times must be near those that
// are seen, whatever the engines do.
func TestUnlikeEngines(t *testing.T) {
	const d = time.Minute
	for _, c := range []struct {
		name string
		cfg  batch.Config
		load region.Kind
	}{
		{"slow reader", batch.Config{Slots: 16, Memory: 100_000, Step: 20 * time.Millisecond, Read: 6_000, Chunk: 512, Event: 1}, region.Kind{Goal: time.Second, Rate: 3, Prompt: 3000, Output: 100}},
		{"medium", batch.Config{Slots: 64, Memory: 250_000, Step: 7 * time.Millisecond, Read: 40_000, Chunk: 2048, Event: 4}, region.Kind{Goal: time.Second, Rate: 20, Prompt: 4000, Output: 60}},
		{"fast reader", batch.Config{Slots: 128, Memory: 900_000, Step: 3 * time.Millisecond, Read: 300_000, Chunk: 8192, Event: 8}, region.Kind{Goal: time.Second, Rate: 60, Prompt: 12_000, Output: 400}},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := region.New(2, 6, c.cfg)
			all := p.Run([]region.Kind{c.load}, d)
			ratio := region.Mean(all, 0, d, func(o *region.Request) float64 {
				return math.Log(float64(o.First-o.Arrived) / float64(o.Choice.Expected))
			})
			pace := p.Pace()
			held := region.Mean(all, 0, d, func(o *region.Request) float64 { return (o.End - o.Arrived).Seconds() })
			t.Logf("seen/expected %.2f, reading rate %.0f, place held %v (seen %.2f s)", math.Exp(ratio), pace.Read, pace.Held, held)
			if math.Abs(ratio) > math.Log(1.5) {
				t.Errorf("the first token comes after %.2f times the expected time", math.Exp(ratio))
			}
			if x := pace.Held.Seconds() / held; x < 0.6 || x > 1.7 {
				t.Errorf("a place is expected to be held for %v, it is for %.2f s", pace.Held, held)
			}
		})
	}
}
