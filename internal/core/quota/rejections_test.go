package quota_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/model"
)

// trial is one measurement of the requests that are rejected although they are
// within the rate.
type trial struct {
	sites, hosts int
	demand       string // even, skewed, moving or partition
	rate         int64
	orgs         int
	length       time.Duration
	seed         uint64
}

// outcome counts requests: those offered, and those rejected by this package
// (design) or with a fixed share of the limit per host (fixed) that a single
// exact bucket with the same arrivals admits. In a partition trial only requests
// in the home region count.
type outcome struct {
	offered, design, fixed int
	st                     stats
	hosts                  int
	length                 time.Duration
	excess                 int64
}

func (o outcome) designFraction() float64 { return float64(o.design) / float64(max(1, o.offered)) }
func (o outcome) fixedFraction() float64  { return float64(o.fixed) / float64(max(1, o.offered)) }

// warmUp is the time for leases to be granted and buckets to fill.
const warmUp = 25 * time.Second

// bucket is an exact token bucket, the reference for the results.
type bucket struct {
	level, rate, burst float64
	at                 time.Duration
}

func (b *bucket) take(now time.Duration, n float64) bool {
	b.level = min(b.burst, b.level+b.rate*(now-b.at).Seconds())
	b.at = now
	if n > b.level {
		return false
	}
	b.level -= n
	return true
}

// pick chooses the host that gets a request.
func (tr trial) pick(w *simulation, rng *rand.Rand) *host {
	site := rng.IntN(tr.sites)
	switch {
	case tr.demand == "skewed" && rng.Float64() < 0.8:
		site = 0
	case tr.demand == "moving" && rng.Float64() < 0.8:
		site = int(w.now/(15*time.Second)) % tr.sites
	case tr.demand == "partition":
		// 80% of the demand is in region a, which has the even data centres.
		site = rng.IntN((tr.sites+1)/2) * 2
		if rng.Float64() < 0.2 {
			site = min(site+1, tr.sites-1)
		}
	}
	list := w.sites[w.cfg.Sites[site].Name]
	return list[rng.IntN(len(list))]
}

// run applies the same Poisson arrivals, at 80% of the rate and with a mean of
// 800 tokens, to this package, an exact bucket and a fixed share per host.
func (tr trial) run() outcome {
	var orgs []model.Org
	for i := range tr.orgs {
		org := model.Org{Name: fmt.Sprint("org", i), Rate: tr.rate, Burst: 8 * tr.rate}
		if tr.demand == "partition" {
			org.HomeRegion = "a"
		}
		orgs = append(orgs, org)
	}
	cfg := fleetConfig(tr.sites, tr.hosts/tr.sites, orgs...)
	for i := range tr.hosts % tr.sites {
		cfg.Sites[i].Slots++
	}
	w := newSimulation(tr.seed, cfg, faults{})
	if tr.demand == "partition" {
		w.at(warmUp, func() {
			w.hideAfter = w.now + 5*time.Second
			for i := 1; i < tr.sites; i += 2 {
				w.isolatedSites[w.cfg.Sites[i].Name] = true
			}
		})
	}
	o := &outcome{hosts: len(w.hosts), length: tr.length}
	for _, org := range orgs {
		tr.arrive(w, org, o)
	}
	w.run(warmUp)
	w.st = stats{}
	w.run(warmUp + tr.length)
	o.st = w.st
	o.excess = math.MinInt64
	for _, org := range orgs {
		o.excess = max(o.excess, w.excess(org.Name, org.Rate, org.Burst, 0, false))
	}
	return *o
}

// arrive generates the arrivals of one organisation for all three.
func (tr trial) arrive(w *simulation, org model.Org, o *outcome) {
	rng := rand.New(rand.NewPCG(tr.seed, uint64(len(org.Name))+uint64(org.Name[len(org.Name)-1])))
	exact := &bucket{level: float64(org.Burst), rate: float64(org.Rate), burst: float64(org.Burst), at: warmUp}
	n := float64(len(w.hosts))
	fixed := map[*host]*bucket{}
	gap := func() time.Duration {
		return time.Duration(rng.ExpFloat64() * 800 / (0.8 * float64(org.Rate)) * float64(time.Second))
	}
	var next func()
	next = func() {
		h := tr.pick(w, rng)
		tokens := 1 + int64(rng.ExpFloat64()*799)
		if fixed[h] == nil {
			fixed[h] = &bucket{level: float64(org.Burst) / n, rate: float64(org.Rate) / n, burst: float64(org.Burst) / n, at: warmUp}
		}
		fits := exact.take(w.now, float64(tokens))
		byFixed := fixed[h].take(w.now, float64(tokens))
		counts := tr.demand != "partition" || h.site.Region == "a"
		if counts {
			o.offered++
			if fits && !byFixed {
				o.fixed++
			}
		}
		h.reserve(org.Name, tokens, 0, func(ok bool) {
			if counts && fits && !ok {
				o.design++
			}
		})
		w.at(gap(), next)
	}
	w.at(warmUp+gap(), next)
}

// TestRejectionsWithinRate checks the targets for requests that are rejected
// although they are within the rate (section 5.2): under 1% in ordinary
// operation, under 5% in the home region during a partition. No trial may admit
// more than rate x t + burst.
func TestRejectionsWithinRate(t *testing.T) {
	for _, size := range [][2]int{{2, 8}, {8, 80}, {21, 370}} {
		for _, demand := range []string{"even", "skewed", "moving", "partition"} {
			tr := trial{sites: size[0], hosts: size[1], demand: demand, rate: 2000, orgs: 20, length: 60 * time.Second, seed: 1}
			if size[0] == 21 {
				tr.length = 15 * time.Second
			}
			t.Run(fmt.Sprintf("%s-%d", demand, size[1]), func(t *testing.T) {
				t.Parallel()
				o := tr.run()
				limit := 0.01
				if demand == "partition" {
					limit = 0.05
				}
				t.Logf("seed %d: rejected %.2f%% of %d requests (fixed share: %.2f%%)", tr.seed, 100*o.designFraction(), o.offered, 100*o.fixedFraction())
				if o.designFraction() >= limit {
					t.Errorf("rejected %.2f%%, want under %.0f%%", 100*o.designFraction(), 100*limit)
				}
				if o.excess > 0 {
					t.Errorf("limit exceeded by %d nanotokens", o.excess)
				}
			})
		}
	}
}

// BenchmarkRejections compares this package with a fixed share per host at 8, 80
// and 370 hosts over 5 seeds:
//
//	go test -run '^$' -bench Rejections -benchtime 1x ./internal/core/quota
func BenchmarkRejections(b *testing.B) {
	for _, size := range [][2]int{{2, 8}, {8, 80}, {21, 370}} {
		for _, demand := range []string{"even", "skewed", "moving", "partition"} {
			b.Run(fmt.Sprintf("%s-%d", demand, size[1]), func(b *testing.B) {
				for b.Loop() {
					reportDemand(b, size, demand)
				}
			})
		}
	}
}

// reportDemand reports the results for one demand and fleet size.
func reportDemand(b *testing.B, size [2]int, demand string) {
	results := make(chan outcome, 5)
	for seed := range uint64(5) {
		tr := trial{sites: size[0], hosts: size[1], demand: demand, rate: 2000, orgs: 20, length: 120 * time.Second, seed: seed + 1}
		go func() { results <- tr.run() }()
	}
	low, high := [2]float64{1, 1}, [2]float64{}
	var sum outcome
	for range 5 {
		o := <-results
		for i, x := range []float64{o.designFraction(), o.fixedFraction()} {
			low[i], high[i] = min(low[i], x), max(high[i], x)
		}
		sum.offered += o.offered
		sum.design += o.design
		sum.fixed += o.fixed
		sum.hosts += o.hosts
		sum.st.messages += o.st.messages
		sum.st.bytes += o.st.bytes
		sum.st.leaseBytes += o.st.leaseBytes
		sum.st.trips += o.st.trips
		sum.st.reserves += o.st.reserves
		if o.excess > 0 {
			b.Errorf("%s at %d hosts: limit exceeded by %d nanotokens", demand, o.hosts, o.excess)
		}
	}
	per := float64(sum.hosts) * 120
	b.ReportMetric(100*sum.designFraction(), "design-%")
	b.ReportMetric(100*low[0], "design-min-%")
	b.ReportMetric(100*high[0], "design-max-%")
	b.ReportMetric(100*sum.fixedFraction(), "fixed-%")
	b.ReportMetric(100*low[1], "fixed-min-%")
	b.ReportMetric(100*high[1], "fixed-max-%")
	b.ReportMetric(float64(sum.st.messages)/per, "msg/host/s")
	b.ReportMetric(float64(sum.st.bytes)/per, "B/host/s")
	b.ReportMetric(float64(sum.st.leaseBytes)/per, "leaseB/host/s")
	b.ReportMetric(float64(sum.st.trips)/float64(max(1, sum.st.reserves)), "trips/req")
	b.ReportMetric(0, "ns/op")
}
