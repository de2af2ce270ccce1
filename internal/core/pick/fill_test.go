package pick

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/spec"
)

// region simulates hosts of a region that choose among the same servers and report to
// each other at intervals.
type region struct {
	tables  []*Table
	reports time.Duration
	first   time.Duration // time to the first byte
	held    time.Duration // how long a request takes a slot
}

// run sends rate requests a second for d, each to a random host, and returns the mean
// time that a request waits for a slot of its server.
func (r *region) run(slots int, rate float64, d time.Duration) time.Duration {
	type sent struct {
		at      time.Time
		table   *Table
		choice  Choice
		started bool
	}
	rng := rand.New(rand.NewPCG(3, 4))
	running := make(map[string]int)
	var queue []*sent
	step := time.Duration(float64(time.Second) / rate)
	var wait time.Duration
	n := 0
	last := epoch
	for at := epoch; at.Before(epoch.Add(d)); at = at.Add(step) {
		for _, q := range queue {
			if !q.started && at.Sub(q.at) >= r.first {
				q.started = true
				q.table.FirstByte(&q.choice, at)
			}
		}
		for len(queue) > 0 && at.Sub(queue[0].at) >= r.held {
			running[queue[0].choice.ID]--
			queue[0].table.Done(&queue[0].choice, Served, at)
			queue = queue[1:]
		}
		if at.Sub(last) >= r.reports {
			last = at
			exchange(r.tables, at)
		}
		tab := r.tables[rng.IntN(len(r.tables))]
		c, ok := tab.Pick(&Request{Prompt: 383, Output: 50}, at)
		if !ok {
			continue
		}
		n++
		if over := running[c.ID] - slots + 1; over > 0 {
			wait += r.held * time.Duration(over) / time.Duration(slots)
		}
		running[c.ID]++
		queue = append(queue, &sent{at: at, table: tab, choice: c})
	}
	return wait / time.Duration(n)
}

// exchange sends the report of each host to all others.
func exchange(tables []*Table, at time.Time) {
	for i, from := range tables {
		loads, placed := from.Report(at)
		for j, to := range tables {
			if i != j {
				to.MergePeer(fmt.Sprint("h", i), loads, placed, at)
			}
		}
	}
}

// TestManyHosts guards against hosts that all send to the server that was best at the
// last report. In a large region near its capacity, with 25 hosts, 36 servers of 12
// slots and reports every 250 ms, requests must wait for a slot at most 60% of the time
// that they wait in that case.
func TestManyHosts(t *testing.T) {
	const hosts, servers, slots = 25, 36, 12
	const reports = 250 * time.Millisecond
	svc := spec.Service{Name: "chat", Engine: true, Slots: slots, CacheTokens: 324_000}
	list := entries(servers)
	for i := range list {
		list[i].Slots = slots
	}
	var names []string
	for i := range hosts {
		names = append(names, fmt.Sprint("h", i))
	}
	wait := func(load float64, interval time.Duration) time.Duration {
		r := &region{reports: reports, first: 100 * time.Millisecond, held: 700 * time.Millisecond}
		for i := range hosts {
			tab := NewTable(svc, rand.New(rand.NewPCG(uint64(i), 1)))
			tab.Update(svc, list, nil, RegionHosts{Self: names[i], Hosts: names, Discovered: true, ReportInterval: interval}, epoch)
			r.tables = append(r.tables, tab)
		}
		return r.run(slots, load*servers*slots/r.held.Seconds(), 5*time.Second)
	}
	for _, load := range []float64{0.5, 0.7, 0.85} {
		best := wait(load, 0) // as if reports were always current
		got := wait(load, reports)
		t.Logf("at %.0f%% of the capacity, requests wait %v for a slot, %v if sent to the best server", 100*load, got, best)
		if float64(got) > 0.6*float64(best) {
			t.Errorf("at %.0f%% of the capacity, requests wait %v for a slot, want at most 60%% of the %v if sent to the best server", 100*load, got, best)
		}
	}
}
