package beats

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/member"
	"github.com/yuccalb/yuccalb/internal/wire/peerpb"
)

// Bounds on convergence in ticks. They include one tick of offset between hosts.
const (
	joinTicks    = 5
	failureTicks = 4
	healTicks    = 7
)

// run calls f in a synctest bubble with a cluster of n hosts in data centre "a" after
// they have discovered each other.
func run(t *testing.T, n int, f func(c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.stop()
		var all []int
		for i := range n {
			c.start(i, "a", nil)
			all = append(all, i)
			time.Sleep(130 * time.Millisecond)
		}
		time.Sleep(joinTicks * member.Tick)
		c.expect("start", all...)
		f(c)
	})
}

// Guards against a new host that peers do not discover, a failed host that stays in
// the view, and a restarted host that cannot rejoin.
func TestJoinAndFailure(t *testing.T) {
	run(t, 4, func(c *cluster) {
		c.start(4, "a", nil)
		time.Sleep(joinTicks * member.Tick)
		c.expect("join", 0, 1, 2, 3, 4)
		c.crash(2)
		time.Sleep(failureTicks * member.Tick)
		c.expect("failure", 0, 1, 3, 4)
		c.start(2, "a", nil)
		time.Sleep(joinTicks * member.Tick)
		c.expect("restart", 0, 1, 2, 3, 4)
	})
}

// Guards against peers that still direct clients to a leaving host after Leave has
// returned.
func TestLeave(t *testing.T) {
	run(t, 4, func(c *cluster) {
		if err := c.loops[addr(3)].Leave(c.t.Context()); err != nil {
			c.t.Error(err)
		}
		c.expect("leave", 0, 1, 2)
		for a, l := range c.loops {
			for _, h := range l.View().Answers(oneRegion{}, []string{"all"}, 1) {
				if h.Addr == httpAddr(3) {
					c.t.Errorf("%s still directs clients to the leaving host", a)
				}
			}
		}
		time.Sleep(2 * member.Tick)
		if got := c.directoryEntries("a"); !slices.Equal(got, []netip.AddrPort{httpAddr(0), httpAddr(1), httpAddr(2)}) {
			c.t.Errorf("directory %v contains the leaving host or lacks others", got)
		}
	})
}

// Guards against a Leave that waits for an unresponsive peer beyond the end of its
// context.
func TestLeaveUnresponsivePeer(t *testing.T) {
	run(t, 3, func(c *cluster) {
		c.set(func() { c.unresponsive[addr(1)] = true })
		ctx, cancel := context.WithTimeout(c.t.Context(), 300*time.Millisecond)
		defer cancel()
		start := time.Now()
		if err := c.loops[addr(2)].Leave(ctx); err == nil {
			c.t.Error("Leave reports success although a peer did not answer")
		}
		if d := time.Since(start); d != 300*time.Millisecond {
			c.t.Errorf("Leave took %s", d)
		}
		if got := c.loops[addr(0)].View().Members(); len(got) != 2 {
			c.t.Errorf("the other peer sees members %v, want 2", got)
		}
	})
}

// Guards against a client directory that every host writes, and against writes at a
// higher rate than directoryInterval.
func TestDirectoryWriter(t *testing.T) {
	run(t, 4, func(c *cluster) {
		c.set(func() { c.writes = 0 })
		time.Sleep(4 * directoryInterval)
		c.set(func() {
			if c.writes < 3 || c.writes > 5 {
				c.t.Errorf("%d writes in %s, want about 4", c.writes, 4*directoryInterval)
			}
		})
	})
}

// Guards against a client directory that still lists the last host after it left.
func TestLastHostLeaves(t *testing.T) {
	run(t, 1, func(c *cluster) {
		if got := c.directoryEntries("a"); len(got) != 1 {
			c.t.Errorf("directory %v, want one address", got)
		}
		if err := c.loops[addr(0)].Leave(c.t.Context()); err != nil {
			c.t.Error(err)
		}
		synctest.Wait()
		if got := c.directoryEntries("a"); len(got) != 0 {
			c.t.Errorf("directory %v after the last host has left, want none", got)
		}
	})
}

// Guards against an unresponsive peer that delays heartbeats to others.
func TestSlowPeer(t *testing.T) {
	run(t, 4, func(c *cluster) {
		c.set(func() {
			c.unresponsive[addr(1)] = true
			c.blocked = func(from, _ netip.AddrPort) bool { return from == addr(1) }
		})
		time.Sleep(failureTicks * member.Tick)
		for _, i := range []int{0, 2, 3} {
			if got := c.loops[addr(i)].View().Members(); !slices.Equal(got, []netip.AddrPort{addr(0), addr(2), addr(3)}) {
				c.t.Errorf("view of %s: %v", addr(i), got)
			}
		}
	})
}

// Guards against views that do not converge after a partition has healed.
func TestPartition(t *testing.T) {
	for _, length := range []time.Duration{2 * time.Second, 30 * time.Second} {
		t.Run(length.String(), func(t *testing.T) {
			run(t, 5, func(c *cluster) {
				c.set(func() {
					c.blocked = func(a, b netip.AddrPort) bool {
						return (a.Compare(addr(2)) < 0) != (b.Compare(addr(2)) < 0)
					}
				})
				time.Sleep(length)
				if length > failureTicks*member.Tick {
					if got := c.loops[addr(0)].View().Members(); len(got) != 2 {
						c.t.Errorf("smaller side sees %v", got)
					}
					if got := c.loops[addr(4)].View().Members(); len(got) != 3 {
						c.t.Errorf("larger side sees %v", got)
					}
				}
				c.set(func() { c.blocked = nil })
				time.Sleep(healTicks * member.Tick)
				c.expect("heal", 0, 1, 2, 3, 4)
			})
		})
	}
}

// Guards against a loop that acts on a stale view or stale leases after the process
// was suspended.
func TestPause(t *testing.T) {
	run(t, 3, func(c *cluster) {
		e := &exchange{name: "x"}
		l := c.start(3, "a", e.attach)
		time.Sleep(joinTicks*member.Tick + 500*time.Millisecond)
		c.expect("join", 0, 1, 2, 3)
		e.mu.Lock()
		e.blockFor = 20 * time.Second
		e.mu.Unlock()
		time.Sleep(18 * time.Second)
		if l.View().Valid(time.Now()) {
			c.t.Error("the view stays valid while the control goroutine is blocked")
		}
		if got := c.loops[addr(0)].View().Members(); len(got) != 3 {
			c.t.Errorf("peers see members %v during the pause, want 3", got)
		}
		time.Sleep(2*time.Second + 900*time.Millisecond)
		synctest.Wait()
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.paused < 18*time.Second || e.paused > 21*time.Second {
			c.t.Errorf("reported pause %s, want about 20s", e.paused)
		}
		if i := slices.Index(e.log, "held"); i < 0 || e.log[i+1] != "paused" {
			c.t.Errorf("the pause was not reported before anything else: index %d in %q", i, e.log)
		}
		if l.View().Settled() {
			c.t.Error("the loop claims duties at once after the pause")
		}
		e.mu.Unlock()
		time.Sleep(healTicks * member.Tick)
		e.mu.Lock()
		c.expect("resume", 0, 1, 2, 3)
	})
}

// Guards against views that diverge when all hosts of a data centre are replaced one
// after the other, on the same or on other addresses.
func TestReplaceAll(t *testing.T) {
	for _, shift := range []int{0, 10} {
		t.Run(fmt.Sprintf("addresses shifted by %d", shift), func(t *testing.T) {
			run(t, 4, func(c *cluster) {
				for i := range 4 {
					if err := c.loops[addr(i)].Leave(c.t.Context()); err != nil {
						c.t.Error(err)
					}
					time.Sleep(member.AnswerTTL)
					c.crash(i)
					time.Sleep(member.Tick)
					c.start(i+shift, "a", func(o *Options) {
						// Seeds are hosts that run at that time.
						o.Seeds = []netip.AddrPort{addr((i + 1) % 4), addr((i+3)%4 + shift)}
					})
					time.Sleep(joinTicks * member.Tick)
					var want []int
					for k := range 4 {
						if k > i {
							want = append(want, k)
						} else {
							want = append(want, k+shift)
						}
					}
					slices.Sort(want)
					c.expect(fmt.Sprintf("after host %d", i), want...)
				}
			})
		})
	}
}

// Guards against payload of heartbeats that is not delivered, is delivered to another
// data centre, or is attributed to the wrong sender.
func TestExchange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.stop()
		x, y, z := &exchange{name: "x"}, &exchange{name: "y"}, &exchange{name: "z"}
		c.start(0, "a", x.attach)
		c.start(1, "a", y.attach)
		c.start(2, "b", z.attach)
		time.Sleep(10 * member.Tick)
		synctest.Wait()
		got := strings.Join(y.log, "\n")
		for _, want := range []string{
			`version 7 "digest of x" 3s from 10.0.0.1:7000`,
			`version 7 "" 3s from 10.0.0.1:7000`,
			`reply 7 "digest of x" 3s from 10.0.0.1:7000, sent 1ms ago`,
			"load of x from 10.0.0.1:7000, full true",
			"load of x from 10.0.0.1:7000, full false",
			"placement 9 from 10.0.0.1:7000",
			"claims 1m0s old from 10.0.0.1:7000",
			"lease to live a 10.0.0.1:7000, returned 4",
			"lease 11 from 10.0.0.1:7000, sent 1ms ago",
		} {
			if !strings.Contains(got, want) {
				t.Errorf("host 1 did not record %q", want)
			}
		}
		if strings.Contains(strings.Join(x.log, "\n"), "lease to unknown") {
			t.Error("a lease was granted with a view that lacks its receiver")
		}
		if log := strings.Join(z.log, "\n"); strings.Contains(log, "lease") || strings.Contains(log, "load") {
			t.Errorf("a host of another data centre received a lease or loads:\n%s", log)
		}
		for i := range 2 {
			s, ok := c.loops[addr(i)].View().Site("b")
			if !ok || s.Floor != 5 || s.Version != 7 || len(s.Members) != 1 || len(s.Capacities) != 1 || s.Capacities[0].Wait != time.Second {
				t.Errorf("host %d has summary %+v, %v of the other data centre", i, s, ok)
			}
		}
		c.crash(0)
		synctest.Wait()
		y.log = nil
		c.start(0, "a", (&exchange{name: "w"}).attach)
		time.Sleep(10 * member.Tick)
		synctest.Wait()
		if got := strings.Join(y.log, "\n"); !strings.Contains(got, `reply 7 "digest of w"`) || strings.Contains(got, `reply 7 "digest of x"`) {
			t.Errorf("host 1 recorded after the restart of host 0:\n%s", got)
		}
	})
}

// Guards against a host that does not discover peers by the host list, and against
// one that loses its peers while the list cannot be read.
func TestHostList(t *testing.T) {
	run(t, 2, func(c *cluster) {
		c.set(func() { c.list = []member.ListEntry{{Addr: addr(7), Site: "a"}} })
		c.start(7, "a", func(o *Options) { o.Seeds = nil })
		time.Sleep((joinTicks + 5) * member.Tick)
		c.expect("found by the list", 0, 1, 7)
		c.set(func() { c.listDown = true })
		time.Sleep(20 * member.Tick)
		c.expect("without the list", 0, 1, 7)
	})
}

// Guards against heartbeats of a replaced process that are accepted as those of its
// successor, and against invalid senders.
func TestBeatRefused(t *testing.T) {
	run(t, 2, func(c *cluster) {
		l := c.loops[addr(0)]
		for _, tc := range []struct {
			from *peerpb.Ident
			want error
		}{
			{&peerpb.Ident{Addr: addr(1).String(), Site: "a", Incarnation: 1}, ErrOutdated},
			{&peerpb.Ident{Addr: "host", Site: "a", Incarnation: 1}, ErrRefused},
			{nil, ErrRefused},
		} {
			if _, err := l.Beat(c.t.Context(), &peerpb.BeatRequest{From: tc.from}); err != tc.want {
				c.t.Errorf("heartbeat from %v: %v, want %v", tc.from, err, tc.want)
			}
		}
		c.crash(0)
		if _, err := l.Beat(c.t.Context(), &peerpb.BeatRequest{}); err != ErrClosed {
			c.t.Errorf("heartbeat after Close: %v, want ErrClosed", err)
		}
	})
}

type oneRegion struct{}

func (oneRegion) RegionOf(string) string { return "all" }
