package retry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/roster"
)

// TestDivisionAtFirstStart guards against hosts of a first start that have next to no retries for
// many seconds, since the others do not know of them yet.
func TestDivisionAtFirstStart(t *testing.T) {
	const retries, regions = 48, 3
	start := time.Unix(1_700_000_000, 0)
	for name, c := range map[string]struct {
		first      bool
		held, lost time.Duration // when the others begin and cease to count this host
		want       []float64     // each second
	}{
		"first start":          {true, time.Second, time.Hour, []float64{8, 8, 8, 8, 8, 8, 8, 8}},
		"later start":          {false, time.Second, time.Hour, []float64{1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 8}},
		"forgotten afterwards": {true, time.Second, 3 * time.Second, []float64{8, 8, 8, 1, 1}},
		"never known":          {true, time.Hour, time.Hour, []float64{8, 8, 8, 8, 8, 8, 1, 1}},
	} {
		t.Run(name, func(t *testing.T) {
			d := Division{First: c.first}
			for i, want := range c.want {
				after := time.Duration(i) * time.Second
				m := roster.Members{Lately: 2, Until: start}
				if after >= c.held && after < c.lost {
					m.Until = start.Add(after + time.Second)
				}
				if got := d.Part(retries, regions, m, start.Add(after)); got != want {
					t.Errorf("after %v: %v, want %v", after, got, want)
				}
			}
		})
	}
}

// divisionHost is a host of TestDivisionOfDisagreeingHosts.
type divisionHost struct {
	name     string
	region   int
	store    bool      // whether the host reaches the store
	group    int       // it reaches the hosts of the same group
	renewed  time.Time // when it last reached the store
	entry    time.Time // when its process has written the entry that is in the store
	own      time.Time // when its process last reached the store
	listed   time.Time // when its list was known to be current, zero if it has none
	list     []*divisionHost
	roster   roster.Roster
	budget   Budget
	division Division
}

// restart begins a process that knows nothing.
func (h *divisionHost) restart() {
	h.listed, h.list, h.entry, h.own = time.Time{}, nil, time.Time{}, time.Time{}
	h.roster, h.division = roster.Roster{}, Division{}
	h.budget = Budget{Ratio: 0.16}
	h.budget.SetLimit(firstPart)
}

// look updates what the host knows of the others and what it may hold, and fills its budget.
func (h *divisionHost) look(all []*divisionHost, now time.Time, regions int) {
	for _, o := range all {
		if o.group == h.group && (o.store || o.listed.After(h.listed)) {
			h.readList(all, now, o)
		}
	}
	if h.listed.IsZero() {
		return // it serves nobody
	}
	v := roster.View{Self: h.name, ListedAt: h.listed, EntryAt: h.entry, RenewedAt: h.own}
	for _, o := range h.list {
		if o.region == h.region {
			v.Listed = append(v.Listed, o.name)
		}
	}
	for _, o := range all {
		if o != h && o.region == h.region && o.group == h.group {
			v.Peers = append(v.Peers, roster.Peer{Name: o.name, Echo: now})
		}
	}
	h.budget.SetLimit(h.division.Part(0.8*54, regions, h.roster.Update(v, now), now))
	for h.budget.Available() < h.budget.Limit() {
		h.budget.Deposit()
	}
}

// readList takes the list of registered hosts from the store, or the last one that o has.
func (h *divisionHost) readList(all []*divisionHost, now time.Time, o *divisionHost) {
	if !o.store {
		h.list, h.listed = o.list, o.listed
		return
	}
	h.list, h.listed = nil, now
	for _, x := range all {
		if now.Sub(x.renewed) <= 10*time.Second {
			h.list = append(h.list, x)
		}
	}
}

// TestDivisionOfDisagreeingHosts guards against hosts that know different ones of the others,
// since they are cut off from these or from the store or have just started, and hold more
// retries in sum than all hosts may make at once.
func TestDivisionOfDisagreeingHosts(t *testing.T) {
	const seeds, allowed = 300, 54.0
	above, most := 0, 0.0
	for seed := range uint64(seeds) {
		calm, held := holdings(rand.New(rand.NewPCG(seed, 41)))
		if calm < 40 {
			t.Errorf("seed %d: the hosts hold only %.1f retries before the first fault", seed, calm)
		}
		most = max(most, held)
		if held > allowed {
			above++
		}
	}
	if above > 0 {
		t.Errorf("the hosts hold up to %.1f retries, %v allowed; %d of %d seeds", most, allowed, above, seeds)
	}
}

// holdings returns the retries that the hosts of three regions hold before the first fault, and
// the most that they hold in three minutes.
func holdings(rng *rand.Rand) (calm, most float64) {
	const regions, step = 3, 500 * time.Millisecond
	var all []*divisionHost
	for region := range regions {
		for range 1 + rng.IntN(3) {
			h := &divisionHost{name: fmt.Sprint("h", len(all)), region: region, store: true}
			h.restart()
			h.roster.First, h.division.First = true, true
			all = append(all, h)
		}
	}
	begin := time.Unix(0, 0)
	for now := begin; now.Before(begin.Add(3 * time.Minute)); now = now.Add(step) {
		if now.After(begin.Add(15*time.Second)) && rng.IntN(10) == 0 {
			disturb(all, rng)
		} else if now.Equal(begin.Add(15 * time.Second)) {
			calm = most
		}
		for _, h := range all {
			if h.store {
				if h.entry.IsZero() || now.Sub(h.renewed) > 10*time.Second {
					h.entry = now
				}
				h.renewed, h.own = now, now
			}
		}
		sum := 0.0
		for _, h := range all {
			h.look(all, now, regions)
			sum += h.budget.Available()
		}
		most = max(most, sum)
	}
	return calm, most
}

// disturb cuts a host or a region off from the store and the others, lets it come back, or
// restarts it.
func disturb(all []*divisionHost, rng *rand.Rand) {
	picked := all[rng.IntN(len(all))]
	whole, kind := rng.IntN(2) == 0, rng.IntN(4)
	for i, h := range all {
		if h != picked && !(whole && h.region == picked.region) {
			continue
		}
		switch kind {
		case 0:
			h.restart()
		case 1:
			h.store, h.group = false, 1+i
			if whole {
				h.group = 100 + h.region
			}
		default:
			h.store, h.group = true, 0
		}
	}
}
