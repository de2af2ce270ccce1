package admit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/pick"
	"github.com/yuccalb/yuccalb/internal/fake/batch"
	"github.com/yuccalb/yuccalb/internal/fake/region"
)

// engines is the shape of engines like those of Vallmo, with steps of 7 ms and a
// prefill rate of 40,000 tokens a second.
var engines = batch.Config{Slots: 64, Memory: 250_000, Step: 7 * time.Millisecond, PrefillRate: 40_000, AttentionTime: time.Millisecond, Chunk: 2048, EventTokens: 4}

// TestLongPromptsAtPeak guards against long prompts that fill the queues so far that
// more urgent short prompts are refused, and against queues in which all responses are
// late. The load is a peak while half of the engines are down: urgent short prompts
// with long responses, and less urgent long prompts.
func TestLongPromptsAtPeak(t *testing.T) {
	const (
		d       = 40 * time.Second
		urgent  = 0
		prompts = 1
	)
	load := []region.Class{
		urgent:  {Rate: 110, Prompt: 800, Output: 290, Goal: 600 * time.Millisecond, Priority: 0},
		prompts: {Rate: 34, Prompt: 3000, Output: 50, Parts: region.PrefixTree, Goal: time.Second, Priority: 1},
	}
	all := region.New(4, 6, engines).Run(load, d)
	served := func(class int) float64 {
		return region.Fraction(all, class, d, func(r *region.Request) bool { return !r.Rejected })
	}
	timely := func(class int) float64 {
		return region.Fraction(all, class, d, func(r *region.Request) bool {
			return !r.Rejected && r.Started() && r.First-r.Arrived <= load[class].Goal
		}) / served(class)
	}
	t.Logf("served: %.3f of the short prompts, %.3f of the long prompts; of these in time: %.3f, %.3f", served(urgent), served(prompts), timely(urgent), timely(prompts))
	if served(urgent) < served(prompts)-0.05 {
		t.Errorf("%.3f of the urgent short prompts are served, but %.3f of the less urgent long prompts", served(urgent), served(prompts))
	}
	for class, name := range []string{"short prompts", "long prompts"} {
		if x := timely(class); x < 0.8 {
			t.Errorf("%.3f of the %s that are served begin in time, want at least 0.8", x, name)
		}
	}
}

// TestLongPromptsBesideDeferrable guards against urgent long prompts that are late or refused
// behind short questions with a goal three times as long. The load is a region at its peak,
// whose organisations have one priority for both kinds.
func TestLongPromptsBesideDeferrable(t *testing.T) {
	const (
		d         = 30 * time.Second
		prompts   = 0
		questions = 1
	)
	fast := batch.Config{Slots: 16, Memory: 336_000, Step: 6 * time.Millisecond, PrefillRate: 50_700, AttentionTime: 368 * time.Microsecond, Chunk: 2048, EventTokens: 6}
	load := []region.Class{
		prompts:   {Rate: 14, Prompt: 3700, Output: 120, Parts: callParts, Goal: time.Second, Priority: 1, Level: 0, Urgency: 1},
		questions: {Rate: 330, Prompt: 380, Output: 48, Goal: 3 * time.Second, Priority: 1, Level: 2, Urgency: 1},
	}
	all := region.New(8, 10, fast).Run(load, d)
	timely := func(class int) float64 {
		return region.Fraction(all, class, d, func(r *region.Request) bool {
			return !r.Rejected && r.Started() && r.First-r.Arrived <= load[class].Goal && r.Pause <= 400*time.Millisecond
		})
	}
	long, short := timely(prompts), timely(questions)
	t.Logf("in time: %.3f of the long prompts, %.3f of the short questions", long, short)
	if long < short-0.05 {
		t.Errorf("%.3f of the urgent long prompts are in time, but %.3f of the short questions", long, short)
	}
}

// callParts draws the shared part of a prompt, one of 60 of about 13,300 tokens.
func callParts(rng *rand.Rand) []pick.Part {
	id := rng.Uint64N(60)
	return region.Chain([]uint64{id}, []int{int(4000 + id*310)})
}
