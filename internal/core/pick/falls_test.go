package pick

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/spec"
)

const (
	// frailDown is how long a server that falls over is away.
	frailDown = 3 * time.Second
	// frailFault is when the fault of a trial comes, and frailTouch the time from then on
	// in which the hosts that it strikes are out of touch, so that their refusals do not
	// count.
	frailFault = 4 * time.Second
	frailTouch = 5 * time.Second
	// frailForget is the time after which the others no longer count a host that died.
	frailForget = 2 * time.Second
)

// newFrailSim returns a trial whose hosts know each other.
func (f frailty) newFrailSim() *frailSim {
	s := &frailSim{frailty: f, rng: rand.New(rand.NewPCG(1, 2)), running: make(map[string]int), refused: make(map[string][]time.Time), silent: make(map[int]bool), down: make(map[int]bool), born: make(map[int]int64), begin: time.Unix(1000, 0)}
	for range f.hosts {
		s.add(s.begin)
	}
	for i := range s.tables {
		s.update(i, s.names, true, s.begin)
	}
	return s
}

// run plays events until a time after the begin.
func (s *frailSim) run(until time.Duration) {
	s.arrive(s.begin)
	for s.queue[0].at.Sub(s.begin) < until {
		e := heap.Pop(&s.queue).(event)
		e.run(e.at)
	}
}

// restartAll gives all hosts new tables, which know nothing.
func (s *frailSim) restartAll(now time.Time) {
	for i := range s.tables {
		s.tables[i] = NewTable(spec.Service{}, rand.New(rand.NewPCG(9, uint64(i))))
		s.held[i] = nil
		s.update(i, s.names, false, now)
		s.after(now, 1500*time.Millisecond, func(now time.Time) { s.update(i, s.names, true, now) })
	}
}

// endHost lets the last host end. The others count it until frailForget later.
func (s *frailSim) endHost(now time.Time) {
	last := len(s.tables) - 1
	s.held[last] = nil
	s.silent[last] = true
	s.after(now, frailForget, func(now time.Time) {
		for i := range last {
			s.update(i, s.names[:last], true, now)
		}
	})
}

// fall ends a server, which is back as a new process after frailDown.
func (s *frailSim) fall(k int, now time.Time) {
	s.down[k] = true
	s.listAll(now)
	s.after(now, frailDown, func(now time.Time) {
		s.down[k] = false
		s.born[k]++
		s.running[fmt.Sprint("s", k)] = 0
		s.listAll(now)
	})
}

// listAll tells all hosts which servers there are.
func (s *frailSim) listAll(now time.Time) {
	for i := range s.tables {
		s.update(i, s.names, true, now)
	}
}

// TestRefusalsAfterFaults guards against hosts that make a server refuse more requests within
// a second than its limit after a server has fallen over, a host has ended, or all hosts have
// started again; and against room that stays unused for long then.
func TestRefusalsAfterFaults(t *testing.T) {
	for name, fault := range map[string]func(s *frailSim, now time.Time){
		"server falls":      func(s *frailSim, now time.Time) { s.fall(0, now) },
		"host ends":         func(s *frailSim, now time.Time) { s.endHost(now) },
		"all hosts restart": func(s *frailSim, now time.Time) { s.restartAll(now) },
	} {
		for _, slots := range []int{6, 64} {
			for _, limit := range []int{0, 3, 20} {
				for _, load := range []float64{0.6, 3} {
					s := frailty{hosts: 4, slots: slots, limit: limit, load: load}.newFrailSim()
					s.after(s.begin, frailFault, func(now time.Time) { fault(s, now) })
					struck := 0
					s.after(s.begin, frailFault+frailTouch, func(time.Time) { struck = mostWithinSecond(s.refused); s.sent, s.served = 0, 0 })
					if name == "all hosts restart" {
						s.after(s.begin, frailFault+frailTouch, func(time.Time) { clear(s.refused) })
					}
					s.run(frailFault + frailTouch + 3*time.Second)
					if most := mostWithinSecond(s.refused); most > limit {
						t.Errorf("%s, %d slots, limit %d, load %v: %d refusals within a second", name, slots, limit, load, most)
					}
					able := min(float64(s.sent), frailServers/frailWork.Seconds()*3)
					got := float64(s.served) / able
					t.Logf("%s, %d slots, limit %d, load %v: %d refusals out of touch, served %.2f from %v on", name, slots, limit, load, struck, got, frailTouch)
					if got < 0.7 {
						t.Errorf("%s, %d slots, limit %d, load %v: served %.2f of what the servers can do, want 0.7", name, slots, limit, load, got)
					}
				}
			}
		}
	}
}
