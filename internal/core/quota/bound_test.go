package quota_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yuccalb/yuccalb/internal/core/model"
)

var (
	seedFlag  = flag.Uint64("bound.seed", 0, "run only the simulation with this seed in the bound tests")
	batchFlag = flag.Int("bound.batch", 1, "simulations per check of the bound tests")
)

// TestMain fixes rapid's seed, so that CI always runs the same simulations.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			if err := f.Value.Set(value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

// fleetConfig returns a configuration with data centres in regions "a" and "b".
func fleetConfig(sites, slots int, orgs ...model.Org) *model.Config {
	cfg := &model.Config{Regions: []model.Region{{Name: "a"}, {Name: "b"}}, Orgs: orgs}
	for i := range sites {
		region := []string{"a", "b"}[i%2]
		cfg.Sites = append(cfg.Sites, model.Site{Name: fmt.Sprintf("%s%d", region, i), Region: region, Slots: slots})
	}
	return cfg
}

// generateLoad alternates between periods of low demand, in which buckets fill
// and grants are in transit, and periods of many times the rate on every host,
// in which all available tokens are taken.
func (w *simulation) generateLoad(org model.Org, until time.Duration) {
	w.ignoreRejections = true
	low := false
	var next func()
	next = func() {
		if w.now >= until {
			return
		}
		if h := w.randomHost(); h != nil {
			h.later(0, func() { w.takeUntilEmpty(h, org, 1+w.rng.Int64N(org.Burst/6)) })
		}
		pace := time.Duration(org.Burst/16) * time.Second / time.Duration(org.Rate)
		if low {
			pace *= 30
		}
		w.at(w.upTo(2*pace), next)
	}
	w.every(5*time.Second, func() { low = !low })
	next()
}

// takeUntilEmpty requests tokens and, when rejected, ever smaller amounts, so
// that it empties buckets.
func (w *simulation) takeUntilEmpty(h *host, org model.Org, tokens int64) {
	h.reserve(org.Name, tokens, w.rng.Int64N(2*tokens)-tokens, func(ok bool) {
		if !ok && tokens > org.Burst/64 && h.up {
			w.takeUntilEmpty(h, org, tokens/2)
		}
	})
}

const simulatedTime = 50 * time.Second

// checkBound fails the test when the tokens admitted in any window exceed the
// limit.
func checkBound(t rapid.TB, w *simulation, seed uint64, name string, rate, burst int64, start time.Duration) {
	for _, late := range []bool{false, true} {
		if x := w.excess(name, rate, burst, start, late); x > 0 {
			t.Fatalf("seed %d: org %s exceeds %d tokens/s + %d by %d nanotokens (refunds counted late: %v)", seed, name, rate, burst, x, late)
		}
	}
}

// check runs simulations with seeds that rapid draws. The argument simulate
// runs the simulation of a seed and returns a function that verifies its result.
func check(t *testing.T, simulate func(seed uint64) func(rapid.TB)) {
	t.Parallel()
	if *seedFlag != 0 {
		simulate(*seedFlag)(t)
		return
	}
	for part := range 4 {
		t.Run(fmt.Sprint(part), func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(t *rapid.T) {
				first := rapid.Uint64Range(1, 1<<40).Draw(t, "seed")
				for i := range *batchFlag {
					simulate(first<<8 + uint64(part)<<6 + uint64(i))(t)
				}
			})
		})
	}
}

// randomFaults returns a random subset of the faults, so that no fault hides
// what another one reveals: lost tokens leave room for an excess.
func randomFaults(seed uint64) faults {
	rng := rand.New(rand.NewPCG(seed, 2))
	f := faults{drift: 0.01, takeoverDelay: 25 * time.Second, claimSlots: rng.IntN(2) == 0}
	for _, p := range []*float64{&f.loss, &f.dup, &f.slow} {
		if rng.IntN(2) == 0 {
			*p = rng.Float64() * 0.2
		}
	}
	for _, d := range []*time.Duration{&f.kill, &f.pause, &f.partition, &f.storeOutage, &f.oneWay, &f.noStore} {
		if rng.IntN(3) == 0 {
			*d = 3*time.Second + time.Duration(rng.Int64N(int64(20*time.Second)))
		}
	}
	return f
}

// TestBound checks invariant I7, that the admitted tokens stay within
// rate x t + burst in every window, when processes are killed, paused, stopped
// and restarted, data centres are partitioned, the store is down, and messages
// are lost, delayed, duplicated and reordered.
func TestBound(t *testing.T) {
	check(t, func(seed uint64) func(rapid.TB) {
		org := model.Org{Name: "x", Rate: 1000, Burst: int64(400 + seed%7*300), HomeRegion: []string{"", "a", "b"}[seed%3]}
		w := newSimulation(seed, fleetConfig(1+int(seed%3), 1+int(seed/5%3), org), randomFaults(seed))
		w.generateLoad(org, simulatedTime)
		w.run(simulatedTime)
		return func(t rapid.TB) { checkBound(t, w, seed, "x", org.Rate, org.Burst, 0) }
	})
}

// TestBoundTakeover checks I7 when hosts wait for the slots of hosts that have
// failed, or that only appear to have failed.
func TestBoundTakeover(t *testing.T) {
	check(t, func(seed uint64) func(rapid.TB) {
		org := model.Org{Name: "x", Rate: 1000, Burst: 500}
		f := faults{takeoverDelay: 20 * time.Second, claimSlots: true, drift: 0.01, loss: 0.01 * float64(seed%3)}
		f.noStore, f.oneWay, f.pause = 15*time.Second, 10*time.Second, 40*time.Second
		if seed%2 == 0 {
			f.kill = 20 * time.Second
		}
		w := newSimulation(seed, fleetConfig(1, 2, org), f)
		for i := range 2 {
			h := w.newHost(0, netip.AddrPortFrom(netip.MustParseAddr("127.1.9.1"), uint16(7000+i)))
			h.fixedSlot = -1
			h.start()
		}
		w.generateLoad(org, 3*simulatedTime/2)
		w.run(3 * simulatedTime / 2)
		return func(t rapid.TB) { checkBound(t, w, seed, "x", org.Rate, org.Burst, 0) }
	})
}

// TestBoundMoving checks I7 while the home region of an organisation and the
// numbers of slots change and hosts apply the versions at different times. A
// share that moves between slots must not be spent on both, not even by hosts
// that skip a version.
func TestBoundMoving(t *testing.T) {
	check(t, func(seed uint64) func(rapid.TB) {
		org := model.Org{Name: "x", Rate: 1000, Burst: int64(500 + seed%3*500), HomeRegion: "a"}
		f := faults{slow: 0.1 * float64(seed%4), drift: 0.01, takeoverDelay: 90 * time.Second, claimSlots: true}
		if seed%3 == 0 {
			f.kill, f.pause = 15*time.Second, 15*time.Second
		}
		w := newSimulation(seed, fleetConfig(2+int(seed%3), 2, org), f)
		w.skipVersions = seed%2 == 0
		edit := func(cfg *model.Config) {
			cfg.Orgs[0].HomeRegion = []string{"", "a", "b"}[w.rng.IntN(3)]
			if !w.skipVersions && w.rng.IntN(3) == 0 {
				cfg.Sites[w.rng.IntN(len(cfg.Sites))].Slots = 1 + w.rng.IntN(3)
			}
		}
		// Changes come in pairs; buckets fill up between the pairs.
		w.every(6*time.Second, func() {
			w.publishChange(edit)
			w.at(w.upTo(time.Second), func() { w.publishChange(edit) })
		})
		w.generateLoad(org, simulatedTime)
		w.run(simulatedTime)
		return func(t rapid.TB) { checkBound(t, w, seed, "x", org.Rate, org.Burst, 0) }
	})
}

// TestBoundRate checks I7 while rate and burst change: the larger limit applies
// while versions differ, and the new one as soon as every host has it and
// earlier grants have ended.
func TestBoundRate(t *testing.T) {
	check(t, func(seed uint64) func(rapid.TB) {
		org := model.Org{Name: "x", Rate: 1000, Burst: 6000}
		f := faults{slow: 0.02, loss: 0.02, drift: 0.01, takeoverDelay: 90 * time.Second, claimSlots: true}
		w := newSimulation(seed, fleetConfig(1+int(seed%3), 2, org), f)
		next := org
		next.Rate, next.Burst = 400+w.rng.Int64N(400), 1000+w.rng.Int64N(3000)
		w.at(20*time.Second, func() { w.publishChange(func(cfg *model.Config) { cfg.Orgs[0] = next }) })
		w.generateLoad(org, simulatedTime)
		w.run(simulatedTime)
		return func(t rapid.TB) {
			checkBound(t, w, seed, "x", org.Rate, org.Burst, 0)
			checkBound(t, w, seed, "x", next.Rate, next.Burst, 31*time.Second)
		}
	})
}

// publishChange publishes a changed configuration, which every host applies
// within 200 ms or within 8 s, not counting its pauses.
func (w *simulation) publishChange(edit func(*model.Config)) {
	cfg := *w.cfg
	cfg.Orgs, cfg.Sites = slices.Clone(cfg.Orgs), slices.Clone(cfg.Sites)
	edit(&cfg)
	w.publish(&cfg)
	version := uint64(len(w.snaps))
	spread := []time.Duration{200 * time.Millisecond, 8 * time.Second}[w.rng.IntN(2)]
	for _, site := range cfg.Sites {
		for _, h := range w.sites[site.Name] {
			h.later(w.upTo(spread), func() { h.apply(version) })
		}
	}
}
