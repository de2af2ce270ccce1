package pick_test

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/fake/batch"
	"github.com/yuccalb/yuccalb/internal/fake/region"
)

// noticeableGap is the time between two events from which on a caller notices the stall.
const noticeableGap = 300 * time.Millisecond

// TestLongAnswersBesideLongPrompts guards against long prompts that are sent to any
// engine, where their prefill stalls all streams. The load is a mix of short prompts
// with long responses and of long prompts with short responses.
func TestLongAnswersBesideLongPrompts(t *testing.T) {
	const d = 25 * time.Second
	cfg := batch.Config{Slots: 64, Memory: 250_000, Step: 7 * time.Millisecond, PrefillRate: 40_000, AttentionTime: time.Millisecond, Chunk: 2048, EventTokens: 4}
	p := region.New(4, 8, cfg)
	all := p.Run([]region.Class{
		{Goal: time.Second, Rate: 36, Prompt: 800, Output: 290},
		{Goal: time.Second, Rate: 13, Prompt: 3000, Output: 50, Parts: region.PrefixTree},
	}, d)
	for i, name := range []string{"long responses", "long prompts"} {
		timely := region.Fraction(all, i, d, func(o *region.Request) bool {
			return o.Started() && o.First-o.Arrived <= time.Second && o.Pause <= noticeableGap
		})
		t.Logf("%.3f of the %s begin within a second and have no late event", timely, name)
		if timely < 0.9 {
			t.Errorf("%.3f of the %s begin within a second and have no late event, want at least 0.9", timely, name)
		}
	}
}

// TestPrefixTree guards against placement by the first part of prompts alone, which
// sends all requests to a few engines and repeats the prefill of the second parts. The
// prompts share a few first parts and many second parts below these.
func TestPrefixTree(t *testing.T) {
	const d = 25 * time.Second
	cfg := batch.Config{Slots: 64, Memory: 250_000, Step: 7 * time.Millisecond, PrefillRate: 40_000, Chunk: 2048, EventTokens: 4}
	p := region.New(4, 8, cfg)
	all := p.Run([]region.Class{{Goal: time.Second, Rate: 35, Prompt: 2500, Output: 50, Parts: region.PrefixTree}}, d)
	prefilledShared := region.Mean(all, 0, d, func(o *region.Request) float64 { return float64(o.PrefilledShared) / 6000 })
	used := make(map[string]int)
	for _, o := range all {
		used[o.Choice.ID]++
	}
	most := slices.Max([]int{used["s0"], used["s1"], used["s2"], used["s3"], used["s4"], used["s5"], used["s6"], used["s7"]})
	t.Logf("%.3f of the shared tokens are prefilled again; the busiest engine gets %.2f times the mean", prefilledShared, float64(most*8)/float64(len(all)))
	if prefilledShared > 0.2 {
		t.Errorf("%.3f of the shared tokens are prefilled again, want at most 0.2", prefilledShared)
	}
	if float64(most*8) > 1.7*float64(len(all)) {
		t.Errorf("the busiest of 8 engines gets %d of %d requests: %v", most, len(all), used)
	}
}

// TestEngineSpeeds guards against estimates that fit engines of one speed only: after
// some seconds the expected times must be close to the measured ones, whatever the
// speed of the engines.
func TestEngineSpeeds(t *testing.T) {
	const d = time.Minute
	for _, c := range []struct {
		name string
		cfg  batch.Config
		load region.Class
	}{
		{"slow prefill", batch.Config{Slots: 16, Memory: 100_000, Step: 20 * time.Millisecond, PrefillRate: 6_000, Chunk: 512, EventTokens: 1}, region.Class{Goal: time.Second, Rate: 3, Prompt: 3000, Output: 100}},
		{"medium prefill", batch.Config{Slots: 64, Memory: 250_000, Step: 7 * time.Millisecond, PrefillRate: 40_000, Chunk: 2048, EventTokens: 4}, region.Class{Goal: time.Second, Rate: 20, Prompt: 4000, Output: 60}},
		{"fast prefill", batch.Config{Slots: 128, Memory: 900_000, Step: 3 * time.Millisecond, PrefillRate: 300_000, Chunk: 8192, EventTokens: 8}, region.Class{Goal: time.Second, Rate: 60, Prompt: 12_000, Output: 400}},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := region.New(2, 6, c.cfg)
			all := p.Run([]region.Class{c.load}, d)
			ratio := region.Mean(all, 0, d, func(o *region.Request) float64 {
				return math.Log(float64(o.First-o.Arrived) / float64(o.Choice.Expected))
			})
			pace := p.Pace()
			held := region.Mean(all, 0, d, func(o *region.Request) float64 { return (o.End - o.Arrived).Seconds() })
			t.Logf("measured/expected %.2f, prefill rate %.0f, slot time %v (measured %.2f s)", math.Exp(ratio), pace.PrefillRate, pace.SlotTime, held)
			if math.Abs(ratio) > math.Log(1.5) {
				t.Errorf("the time to the first token is %.2f times the expected one", math.Exp(ratio))
			}
			if x := pace.SlotTime.Seconds() / held; x < 0.6 || x > 1.7 {
				t.Errorf("expected slot time %v, measured %.2f s", pace.SlotTime, held)
			}
		})
	}
}
