package pick

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/spec"
	"github.com/yuccalb/yuccalb/internal/fake/batch"
)

// kind is a kind of request of a load.
type kind struct {
	rate           float64 // requests a second
	prompt, output float64 // means of tokens, drawn with a long tail
	// parts returns the parts that a request shares.
	parts func(rng *rand.Rand) []Part
}

// simulation is a region: hosts that choose among the same engines and report to
// each other at intervals.
type simulation struct {
	tables  []*Table
	engines []*batch.Engine
	index   map[string]*batch.Engine
	rng     *rand.Rand
}

// open is a request in progress.
type open struct {
	*batch.Run
	kind   int
	table  *Table
	choice Choice
}

const (
	simTick    = 5 * time.Millisecond
	simReports = 250 * time.Millisecond
	// patience is the expected time to a first token beyond which a request is
	// refused.
	patience = 1500 * time.Millisecond
)

// newSimulation returns a region of hosts and of engines of a shape.
func newSimulation(hosts, engines int, cfg batch.Config) *simulation {
	p := &simulation{index: make(map[string]*batch.Engine), rng: rand.New(rand.NewPCG(5, 6))}
	svc := spec.Service{Name: "chat", Engine: true, Slots: cfg.Slots, Cache: cfg.Memory}
	list := entries(engines)
	for i := range list {
		list[i].Slots = cfg.Slots
		p.engines = append(p.engines, batch.New(cfg))
		p.index[list[i].ID] = p.engines[i]
	}
	var names []string
	for i := range hosts {
		names = append(names, fmt.Sprint("h", i))
	}
	for i := range hosts {
		tab := NewTable(svc, rand.New(rand.NewPCG(uint64(i), 1)))
		tab.Update(svc, list, nil, Warming{Self: names[i], Hosts: names, Settled: true, Reports: simReports}, epoch)
		p.tables = append(p.tables, tab)
	}
	return p
}

// run plays a load for d and returns its requests.
func (p *simulation) run(load []kind, d time.Duration) []*open {
	var all []*open
	index := make(map[*batch.Run]*open)
	for now := time.Duration(0); now < d; now += simTick {
		at := epoch.Add(now)
		for _, e := range p.engines {
			for _, r := range e.Advance(now) {
				p.changed(index[r])
			}
		}
		if now%simReports == 0 {
			exchange(p.tables, at)
		}
		for i, k := range load {
			for range p.arrivals(k.rate) {
				o := p.send(k, at)
				o.kind = i
				o.Arrived = now
				all = append(all, o)
				if o.choice.ID != "" {
					index[o.Run] = o
					p.index[o.choice.ID].Add(o.Run)
				}
			}
		}
	}
	return all
}

// changed tells a host of its request's first token or end.
func (p *simulation) changed(o *open) {
	if o.Ended() {
		o.table.Begun(&o.choice, epoch.Add(o.First))
		o.table.Done(&o.choice, Served, epoch.Add(o.End))
		return
	}
	o.table.Begun(&o.choice, epoch.Add(o.First))
}

// arrivals draws the number of requests in a tick.
func (p *simulation) arrivals(rate float64) int {
	n := 0
	for x := p.rng.ExpFloat64(); x < rate*simTick.Seconds(); x += p.rng.ExpFloat64() {
		n++
	}
	return n
}

// draw returns a length with a mean and a long tail.
func (p *simulation) draw(mean float64) int {
	return max(1, int(mean*math.Exp(0.8*p.rng.NormFloat64()-0.32)))
}

// send lets one of the hosts choose. A request that is refused has no choice.
func (p *simulation) send(k kind, at time.Time) *open {
	run := &batch.Run{Prompt: p.draw(k.prompt), Output: p.draw(k.output)}
	req := &Request{Output: int(k.output)}
	if k.parts != nil {
		req.Parts = k.parts(p.rng)
		for _, part := range req.Parts {
			run.Parts = append(run.Parts, batch.Part(part))
			run.Prompt += part.Tokens
		}
	}
	req.Prompt = run.Prompt
	o := &open{Run: run, table: p.tables[p.rng.IntN(len(p.tables))]}
	if _, first, _ := o.table.Expect(req, at); first > patience { // no server is ever excluded
		return o
	}
	o.choice, _ = o.table.Pick(req, at)
	return o
}

// portion returns the part of the requests of a kind that meet a condition,
// leaving out those that came in the first or last seconds.
func portion(all []*open, kind int, d time.Duration, meets func(*open) bool) float64 {
	n, met := 0, 0
	for _, o := range all {
		if o.kind != kind || o.Arrived < 3*time.Second || o.Arrived > d-5*time.Second {
			continue
		}
		n++
		if meets(o) {
			met++
		}
	}
	return float64(met) / float64(n)
}

// mean returns the mean of a figure of the requests of a kind that have ended.
func mean(all []*open, kind int, d time.Duration, of func(*open) float64) float64 {
	sum, n := 0.0, 0
	portion(all, kind, d, func(o *open) bool {
		if o.Ended() {
			sum += of(o)
			n++
		}
		return true
	})
	return sum / float64(n)
}

// chain returns the parts of a prompt from their identifiers and lengths.
func chain(ids []uint64, lengths []int) []Part {
	var parts []Part
	key := uint64(0)
	for i, id := range ids {
		key = weight(key*31+id+1, "part")
		parts = append(parts, Part{Key: key, Tokens: lengths[i]})
	}
	return parts
}

// TestLongAnswersBesideLongPrompts is a load of short questions with long
// answers and of long prompts with short ones. It guards against long prompts
// that go to any engine: reading them holds up all streams there.
func TestLongAnswersBesideLongPrompts(t *testing.T) {
	const d = 25 * time.Second
	cfg := batch.Config{Slots: 64, Memory: 250_000, Step: 7 * time.Millisecond, Read: 40_000, Attend: time.Millisecond, Chunk: 2048, Event: 4}
	p := newSimulation(4, 8, cfg)
	all := p.run([]kind{
		{rate: 36, prompt: 800, output: 290},
		{rate: 13, prompt: 3000, output: 50, parts: tree},
	}, d)
	for i, name := range []string{"long answers", "long prompts"} {
		steady := portion(all, i, d, func(o *open) bool {
			return o.Begun() && o.First-o.Arrived <= time.Second && o.Pause <= pause
		})
		t.Logf("%.3f of the %s begin within a second and go on without a late event", steady, name)
		if steady < 0.9 {
			t.Errorf("%.3f of the %s begin within a second and go on without a late event, want 0.9", steady, name)
		}
	}
}

// tree draws the shared parts of a prompt: one of 4 heads and one of 120 second
// parts below them, some of which are asked for more often.
func tree(rng *rand.Rand) []Part {
	leaf := uint64(math.Pow(rng.Float64(), 1.5) * 120)
	return chain([]uint64{leaf % 4, leaf}, []int{2500, 3500})
}

// TestPrefixTree is a load whose prompts share a few heads and many second
// parts below them. It guards against placement by the heads alone, which sends
// everything to a few engines and reads the second parts again and again.
func TestPrefixTree(t *testing.T) {
	const d = 25 * time.Second
	cfg := batch.Config{Slots: 64, Memory: 250_000, Step: 7 * time.Millisecond, Read: 40_000, Chunk: 2048, Event: 4}
	p := newSimulation(4, 8, cfg)
	all := p.run([]kind{{rate: 35, prompt: 2500, output: 50, parts: tree}}, d)
	again := mean(all, 0, d, func(o *open) float64 { return float64(o.Again) / 6000 })
	used := make(map[string]int)
	for _, o := range all {
		used[o.choice.ID]++
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
		load kind
	}{
		{"slow reader", batch.Config{Slots: 16, Memory: 100_000, Step: 20 * time.Millisecond, Read: 6_000, Chunk: 512, Event: 1}, kind{rate: 3, prompt: 3000, output: 100}},
		{"medium", batch.Config{Slots: 64, Memory: 250_000, Step: 7 * time.Millisecond, Read: 40_000, Chunk: 2048, Event: 4}, kind{rate: 20, prompt: 4000, output: 60}},
		{"fast reader", batch.Config{Slots: 128, Memory: 900_000, Step: 3 * time.Millisecond, Read: 300_000, Chunk: 8192, Event: 8}, kind{rate: 60, prompt: 12_000, output: 400}},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newSimulation(2, 6, c.cfg)
			all := p.run([]kind{c.load}, d)
			ratio := mean(all, 0, d, func(o *open) float64 {
				return math.Log(float64(o.First-o.Arrived) / float64(o.choice.Expected))
			})
			pace := p.tables[0].Pace()
			held := mean(all, 0, d, func(o *open) float64 { return (o.End - o.Arrived).Seconds() })
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
