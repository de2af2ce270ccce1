package member

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Time limits after faults have stopped and the last delayed message has arrived.
const (
	// agreeTicks allows for the retry of a failed address every retryTicks and
	// for SuspectAfter until a host that failed last is suspect.
	agreeTicks = retryTicks + 3
	// remoteTicks allows for the members of a data centre to pass, after its
	// views agree, through a link, which may have to try other hosts, and a
	// relay, which is repeated until it is answered.
	remoteTicks = agreeTicks + 8
)

// injectFaults applies a random series of faults.
func injectFaults(t *rapid.T, s *sim) {
	s.loss = rapid.Float64Range(0, 0.9).Draw(t, "loss")
	s.dup = rapid.Float64Range(0, 0.5).Draw(t, "dup")
	s.delay = time.Duration(rapid.IntRange(50, 4000).Draw(t, "delay ms")) * time.Millisecond
	for range rapid.IntRange(1, 12).Draw(t, "faults") {
		n := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "host")]
		switch rapid.SampledFrom([]string{"none", "crash", "start", "restart", "pause", "leave", "cut", "heal"}).Draw(t, "fault") {
		case "crash":
			n.up = false
		case "start":
			if !n.up {
				s.start(n)
			}
		case "restart":
			s.start(n)
		case "pause":
			n.pausedUntil = s.now.Add(time.Duration(rapid.IntRange(1, 15).Draw(t, "pause s")) * time.Second)
		case "leave":
			if n.up && !s.now.Before(n.pausedUntil) {
				s.leave(n)
			}
		case "cut":
			k := rapid.IntRange(1, len(s.nodes)-1).Draw(t, "side")
			s.blocked = func(a, b *simNode) bool {
				return (a.cfg.Self.Addr.Compare(simAddr(k)) < 0) != (b.cfg.Self.Addr.Compare(simAddr(k)) < 0)
			}
		case "heal":
			s.blocked = nil
		}
		s.run(time.Duration(rapid.IntRange(0, 15).Draw(t, "run s")) * time.Second)
	}
}

// endFaults ends all faults and lets delayed messages arrive.
func endFaults(s *sim) {
	s.loss, s.dup, s.blocked = 0, 0, nil
	rest := s.delay
	for _, n := range s.nodes {
		rest = max(rest, n.pausedUntil.Sub(s.now))
	}
	s.delay = 20 * time.Millisecond
	s.run(rest + step)
}

// checkMonotonic fails the test when a view returns to an older incarnation, or
// shows a host as StateLive that it has shown as StateLeaving.
func checkMonotonic(t *rapid.T, s *sim) {
	type key struct {
		viewer, host netip.AddrPort
		run          int64
	}
	newest, left := make(map[key]int64), make(map[key]int64)
	s.check = func(n *simNode) {
		for _, h := range n.view.Hosts() {
			k := key{n.cfg.Self.Addr, h.Addr, n.cfg.Self.Incarnation}
			if h.Incarnation < newest[k] {
				t.Fatalf("view of %s shows incarnation %d of %s after %d", n.cfg.Self.Addr, h.Incarnation, h.Addr, newest[k])
			}
			newest[k] = h.Incarnation
			if h.State == StateLeaving {
				left[k] = h.Incarnation
			}
			if h.State == StateLive && h.Incarnation <= left[k] {
				t.Fatalf("view of %s shows %s live after its leaving", n.cfg.Self.Addr, h.Addr)
			}
		}
	}
}

// Guards against views that do not converge after lost, delayed, duplicated and
// reordered heartbeats, restarts, pauses and partitions, with clocks of
// different rates; against an old incarnation that replaces a newer one; and
// against a leaving host that becomes StateLive again.
func TestViewsAgreeAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64().Draw(t, "seed"), []int{0, 4}, "a", "a", "a", "a", "b", "b")
		checkMonotonic(t, s)
		injectFaults(t, s)
		// Hosts without any state discover each other only through the seeds.
		for _, i := range []int{0, 4} {
			if !s.nodes[i].up {
				s.start(s.nodes[i])
			}
		}
		endFaults(s)
		s.run(remoteTicks * Tick)
		if err := s.agree(); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against views of a data centre that need longer than agreeTicks to
// converge.
func TestSiteAgreesInTicks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64().Draw(t, "seed"), []int{0}, "a", "a", "a", "a", "a")
		checkMonotonic(t, s)
		injectFaults(t, s)
		if !s.nodes[0].up {
			s.start(s.nodes[0])
		}
		endFaults(s)
		s.run(agreeTicks * Tick)
		if err := s.agree(); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against hosts that never discover each other because their seeds are in
// a remote data centre.
func TestForeignSeeds(t *testing.T) {
	for seed := range uint64(200) {
		s := newSim(seed, []int{0}, "a", "a", "b", "b", "b")
		s.run(2 * remoteTicks * Tick)
		if err := s.agree(); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
}

// Guards against a host without heartbeats that keeps its duties and callers, and
// one that loses them before SuspectAfter.
func TestHeartbeatTimeout(t *testing.T) {
	now := simStart
	tab := New(Config{Self: Ident{Addr: simAddr(0), Site: "a", Incarnation: 1}, HTTP: simHTTP(0)}, now)
	tab.Receive(&Heartbeat{From: Ident{Addr: simAddr(1), Site: "a", Incarnation: 5}, HTTP: simHTTP(1)}, now)
	for i, want := range []State{1: StateLive, 2: StateLive, 3: StateSuspect, 9: StateSuspect, 10: StateDead} {
		now = simStart.Add(time.Duration(i) * time.Second)
		v := tab.Tick(now).View
		if want == StateUnknown {
			continue
		}
		if got := v.State(simAddr(1)); got != want {
			t.Errorf("after %d s: state %s, want %s", i, got, want)
		}
		// The host itself is not a member until SettleTime has passed.
		members := 1
		if i >= 2 {
			members++
		}
		if want != StateLive {
			members--
		}
		if got := len(v.Members()); got != members {
			t.Errorf("after %d s: %d members, want %d", i, got, members)
		}
	}
}

// Guards against a host that performs duties after a pause which it had before,
// and one that is slow to rediscover its peers after a pause so long that they
// have become StateDead in its table.
func TestPause(t *testing.T) {
	for _, length := range []time.Duration{8 * time.Second, 30 * time.Second} {
		t.Run(length.String(), func(t *testing.T) {
			s := newSim(1, []int{0}, "a", "a", "a")
			s.run(10 * Tick)
			n := s.nodes[1]
			old := n.view
			if !old.Settled() || len(old.Members()) != 3 {
				t.Fatalf("before the pause: settled %v, members %v", old.Settled(), old.Members())
			}
			n.pausedUntil = s.now.Add(length)
			s.run(length)
			if old.Valid(s.clock(n)) {
				t.Error("the view from before the pause is still valid")
			}
			s.queue = nil
			paused := time.Duration(0)
			s.check = func(m *simNode) {
				if m != n || m.plan.Paused == 0 {
					return
				}
				paused = m.plan.Paused
				for i := range 100 {
					if duty := fmt.Sprintf("poll/%d", i); m.view.Has(duty) {
						t.Fatalf("the resumed host has duty %s", duty)
					}
				}
			}
			s.run(2 * Tick)
			if paused < length-Tick || paused > length+2*Tick {
				t.Errorf("reported pause %s, want about %s", paused, length)
			}
			s.run(2 * Tick)
			if err := s.agree(); err != nil {
				t.Errorf("4 ticks after the pause: %v", err)
			}
		})
	}
}

// Guards against an outdated host list that overrides heartbeats.
func TestList(t *testing.T) {
	heartbeat := func(i int, inc time.Time) *Heartbeat {
		return &Heartbeat{From: Ident{Addr: simAddr(i), Site: "a", Incarnation: inc.UnixNano()}, HTTP: simHTTP(i)}
	}
	listEntries := func(leaving bool) []ListEntry {
		return []ListEntry{{Addr: simAddr(1), Site: "a", Leaving: leaving}, {Addr: simAddr(0), Site: "a"}}
	}
	early := simStart.Add(-time.Hour)
	for _, tc := range []struct {
		name string
		do   func(tab *Table, at func(s int) time.Time)
		want State
	}{
		{"no heartbeat received", func(tab *Table, at func(int) time.Time) { tab.List(listEntries(false), at(0)) }, StateUnknown},
		{"failed but listed live", func(tab *Table, at func(int) time.Time) {
			tab.Receive(heartbeat(1, early), at(-15))
			for i := -14; i < 0; i++ {
				tab.Tick(at(i))
			}
			tab.List(listEntries(false), at(0))
		}, StateDead},
		{"listed leaving", func(tab *Table, at func(int) time.Time) {
			tab.Receive(heartbeat(1, early), at(0))
			tab.List(listEntries(true), at(0))
		}, StateLeaving},
		{"listed live, then leaving, started recently", func(tab *Table, at func(int) time.Time) {
			tab.Receive(heartbeat(1, at(-5)), at(0))
			tab.List(listEntries(false), at(0))
			tab.List(listEntries(true), at(0))
		}, StateLeaving},
		{"listed leaving before a restart", func(tab *Table, at func(int) time.Time) {
			tab.Receive(heartbeat(1, early), at(-10))
			tab.List(listEntries(true), at(-9))
			tab.Receive(heartbeat(1, at(-1)), at(0))
			tab.List(listEntries(true), at(0))
		}, StateLive},
		{"first list lags behind a restart", func(tab *Table, at func(int) time.Time) {
			tab.Receive(heartbeat(1, at(-10)), at(0))
			tab.List(listEntries(true), at(0))
		}, StateLive},
		{"listed live after it announced leaving", func(tab *Table, at func(int) time.Time) {
			b := heartbeat(1, early)
			b.Leaving = true
			tab.Receive(b, at(0))
			tab.List(listEntries(false), at(0))
		}, StateLeaving},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tab := New(Config{Self: Ident{Addr: simAddr(0), Site: "a", Incarnation: 1}}, simStart.Add(-20*time.Second))
			tc.do(tab, func(s int) time.Time { return simStart.Add(time.Duration(s) * time.Second) })
			if got := tab.View(simStart).State(simAddr(1)); got != tc.want {
				t.Errorf("state %s, want %s", got, tc.want)
			}
			if tab.View(simStart).Leaving() {
				t.Error("the view says that the host is leaving")
			}
		})
	}
	tab := New(Config{Self: ident(1, "a", early.UnixNano())}, simStart)
	tab.List(listEntries(true), simStart)
	if v := tab.View(simStart); !v.Leaving() || v.State(simAddr(1)) != StateLeaving {
		t.Error("the view does not show the host as leaving although the list does")
	}
}
