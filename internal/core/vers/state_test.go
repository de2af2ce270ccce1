package vers

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
)

// TestMain fixes the seed of the property tests; rapid prints it on a failure.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "500", "rapid.steps": "60"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = f.Value.Set(value)
		}
	}
	os.Exit(m.Run())
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000)
}

// call is an action in progress.
type call struct {
	host int
	a    Action
	run  int // incarnation of the host that started it
}

// heartbeat is a heartbeat in progress. The receiver replies some time after the
// sender sent it, and the reply arrives some time after that.
type heartbeat struct {
	to, from, run int
	sent          time.Time
	answered      bool
	r             Result
}

// cluster is a data centre of hosts with a store. Hosts that restart get a new run
// number.
type cluster struct {
	t          *rapid.T
	now        time.Time
	heads      []time.Time // when each version was written, version 1 first
	hosts      []*State
	runs       []int
	inFlight   []call
	heartbeats []heartbeat
	staleRead  bool // the store has returned stale data
}

func (c *cluster) start(i int) {
	c.hosts[i] = New(c.now, rand.New(rand.NewPCG(1, uint64(i))))
	c.runs[i]++
	var local []netip.AddrPort
	for j := range c.hosts {
		if j != i {
			local = append(local, addr(j))
		}
	}
	c.hosts[i].SetPeers(local, nil)
	c.hosts[i].SetWatchers(i == 0, local[:1])
	c.hosts[i].SetMaxAge(3 * time.Second)
}

func digest(v uint64) string { return fmt.Sprint("d", v) }

// respond returns a response with what the source has now. If old is true, the store
// returns a version that has been replaced.
func (c *cluster) respond(f call, old bool) Result {
	if f.a.Kind == KindPull {
		from := c.hosts[int(f.a.Peer.Addr().As4()[3])]
		r := Result{Version: from.Version(), Digest: digest(from.Version()), ConfirmedAge: -1}
		if at := from.Confirmed(); !at.IsZero() && rapid.Bool().Draw(c.t, "confirmed") {
			r.ConfirmedAge = c.now.Sub(at)
		}
		return r
	}
	v := uint64(len(c.heads))
	if old && v > 1 {
		v = rapid.Uint64Range(1, v-1).Draw(c.t, "old")
		c.staleRead = true
	}
	if f.a.Kind == KindProbe || (f.a.Kind == KindWatch && v <= f.a.After) {
		return Result{Unchanged: true, StoreVersion: v}
	}
	return Result{Version: v, Digest: digest(v), StoreVersion: v}
}

// deliver completes the action at index i with r and checks the invariants.
func (c *cluster) deliver(i int, r Result) {
	f := c.inFlight[i]
	c.inFlight = append(c.inFlight[:i:i], c.inFlight[i+1:]...)
	if c.runs[f.host] != f.run {
		return // the host has restarted since it started the action
	}
	h := c.hosts[f.host]
	before := h.Version()
	apply := h.Done(c.now, f.a, r)
	if h.Version() < before {
		c.t.Fatalf("host %d went from version %d to %d", f.host, before, h.Version())
	}
	if apply != (h.Version() > before) || (apply && h.Version() != r.Version) {
		c.t.Fatalf("host %d: Done returned %v, version went from %d to %d after %+v", f.host, apply, before, h.Version(), r)
	}
	c.checkConfirmed(f.host)
}

// checkConfirmed checks that the confirmation of host i is not later than the time at
// which its version in force was replaced.
func (c *cluster) checkConfirmed(i int) {
	h := c.hosts[i]
	at := h.Confirmed()
	if at.After(c.now) {
		c.t.Fatalf("host %d confirmed in the future", i)
	}
	if v := h.Version(); !c.staleRead && !at.IsZero() && v < uint64(len(c.heads)) && at.After(c.heads[v]) {
		c.t.Fatalf("host %d has version %d confirmed at %v, replaced at %v", i, v, at, c.heads[v])
	}
}

// answerHeartbeat fills in the reply of the receiver of a heartbeat.
func (c *cluster) answerHeartbeat(b *heartbeat) {
	from := c.hosts[b.from]
	b.answered, b.r = true, Result{Version: from.Version(), Digest: digest(from.Version()), ConfirmedAge: -1}
	if at := from.Confirmed(); !at.IsZero() {
		b.r.ConfirmedAge = c.now.Sub(at)
	}
}

// deliverReply delivers the reply to the heartbeat at index i, if there is one.
func (c *cluster) deliverReply(i int) {
	b := c.heartbeats[i]
	c.heartbeats = slices.Delete(c.heartbeats, i, i+1)
	if b.answered && b.run == c.runs[b.to] {
		c.hosts[b.to].RecordReply(c.now, addr(b.from), b.sent, b.r)
		c.checkConfirmed(b.to)
	}
}

// send starts all actions that the hosts request.
func (c *cluster) send() {
	for i, h := range c.hosts {
		for n := 0; ; n++ {
			a, ok, _ := h.Next(c.now)
			if !ok {
				break
			}
			if a.Kind == KindCancelWatch {
				for j := len(c.inFlight) - 1; j >= 0; j-- {
					if c.inFlight[j].host == i && c.inFlight[j].a.Kind == KindWatch {
						c.deliver(j, Result{Failed: true})
					}
				}
				continue
			}
			if n > 4 {
				c.t.Fatalf("host %d has more than 3 actions in progress", i)
			}
			c.inFlight = append(c.inFlight, call{i, a, c.runs[i]})
		}
	}
}

// TestVersionNeverDecreases guards against a host that puts a lower version in force
// or counts a replaced version as confirmed when responses are lost, delayed, reordered
// or stale, or when hosts restart. It also guards against a host that does not get the
// last version after the faults end.
func TestVersionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &cluster{t: t, now: epoch, hosts: make([]*State, 3), runs: make([]int, 3)}
		monotonic := rapid.Bool().Draw(t, "honest") // the store never returns stale data
		for i := range c.hosts {
			c.start(i)
		}
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(*rapid.T) { c.heads = append(c.heads, c.now) },
			"time": func(t *rapid.T) {
				c.now = c.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
				c.send()
			},
			"heartbeat version": func(t *rapid.T) {
				i, j := rapid.IntRange(0, 2).Draw(t, "to"), rapid.IntRange(0, 2).Draw(t, "from")
				v := rapid.Uint64Range(0, c.hosts[j].Version()).Draw(t, "version")
				c.hosts[i].SetPeerVersion(addr(j), v)
			},
			"beat": func(t *rapid.T) {
				i, j := rapid.IntRange(0, 2).Draw(t, "to"), rapid.IntRange(0, 2).Draw(t, "from")
				c.heartbeats = append(c.heartbeats, heartbeat{to: i, from: j, run: c.runs[i], sent: c.now})
			},
			"answer": func(t *rapid.T) {
				if len(c.heartbeats) > 0 {
					if b := &c.heartbeats[rapid.IntRange(0, len(c.heartbeats)-1).Draw(t, "i")]; !b.answered {
						c.answerHeartbeat(b)
					}
				}
			},
			"reply": func(t *rapid.T) {
				if len(c.heartbeats) > 0 {
					c.deliverReply(rapid.IntRange(0, len(c.heartbeats)-1).Draw(t, "i"))
				}
			},
			"response": func(t *rapid.T) {
				if len(c.inFlight) > 0 {
					i := rapid.IntRange(0, len(c.inFlight)-1).Draw(t, "i")
					c.deliver(i, c.respond(c.inFlight[i], !monotonic && rapid.IntRange(0, 5).Draw(t, "old") == 0))
				}
			},
			"delayed": func(t *rapid.T) {
				if len(c.inFlight) > 0 {
					i := rapid.IntRange(0, len(c.inFlight)-1).Draw(t, "i")
					r := c.respond(c.inFlight[i], false)
					late := time.Duration(rapid.IntRange(0, 9000).Draw(t, "ms")) * time.Millisecond
					if rapid.Bool().Draw(t, "publish") {
						c.heads = append(c.heads, c.now)
					}
					c.now = c.now.Add(late)
					c.deliver(i, r)
				}
			},
			"lost": func(t *rapid.T) {
				if len(c.inFlight) > 0 {
					c.deliver(rapid.IntRange(0, len(c.inFlight)-1).Draw(t, "i"), Result{Failed: true})
				}
			},
			"restart": func(t *rapid.T) { c.start(rapid.IntRange(0, 2).Draw(t, "i")) },
		})
		c.settle()
	})
}

// settle fails the actions in progress, lets every later one succeed and checks that
// all hosts get the last version.
func (c *cluster) settle() {
	for len(c.inFlight) > 0 {
		c.deliver(0, Result{Failed: true})
	}
	const tick = 100 * time.Millisecond
	for until := c.now.Add(4*time.Second + watcherHoldOff); c.now.Before(until); c.now = c.now.Add(tick) {
		c.send()
		for i := len(c.inFlight) - 1; i >= 0; i-- {
			if r := c.respond(c.inFlight[i], false); !r.Unchanged || c.inFlight[i].a.Kind != KindWatch {
				c.deliver(i, r)
			}
		}
		for i := range c.hosts {
			for j := range c.hosts {
				c.hosts[i].SetPeerVersion(addr(j), c.hosts[j].Version())
			}
		}
	}
	for i, h := range c.hosts {
		if h.Version() != uint64(len(c.heads)) {
			c.t.Fatalf("host %d has version %d after the faults ended, want %d", i, h.Version(), len(c.heads))
		}
	}
}

// TestSourceOrder guards against a starting host that reads the store although a peer
// could respond, and against one that waits for peers when there are none.
func TestSourceOrder(t *testing.T) {
	first := func(s *State, after time.Duration) Kind {
		a, _, _ := s.Next(epoch.Add(after))
		return a.Kind
	}
	newState := func() *State { return New(epoch, rand.New(rand.NewPCG(1, 1))) }
	isolated := newState()
	isolated.SetWatchers(true, nil)
	if k := first(isolated, 0); k != KindRead {
		t.Errorf("host without peers: kind %d, want a read at once", k)
	}
	s := newState()
	s.SetPeers([]netip.AddrPort{addr(1)}, []netip.AddrPort{addr(2)})
	s.SetWatchers(true, nil)
	for i, want := range []int{1, 2} {
		a, ok, _ := s.Next(epoch)
		if !ok || a.Kind != KindPull || a.Peer != addr(want) {
			t.Errorf("action %d: %+v, want a pull from peer %d", i, a, want)
		}
		if b, ok, _ := s.Next(epoch); ok {
			t.Errorf("action %+v while the pull from peer %d is in progress, want none", b, want)
		}
		s.Done(epoch, a, Result{Failed: true})
	}
	if a, ok, _ := s.Next(epoch); !ok || a.Kind != KindRead {
		t.Errorf("after all peers failed: %+v, want a read at once", a)
	}
	nonWatcher := newState()
	nonWatcher.SetPeers([]netip.AddrPort{addr(1)}, nil)
	nonWatcher.pulling = true
	if k := first(nonWatcher, coldStartHoldOff-1); k != 0 {
		t.Errorf("host that does not watch: kind %d before the hold-off ends, want none", k)
	}
	if k := first(nonWatcher, 2*coldStartHoldOff); k != KindRead {
		t.Errorf("host that does not watch: kind %d after the hold-off, want a read", k)
	}
}

// TestFailingStore guards against calls without backoff to a store that fails or returns
// stale data, and against calls so rare that its recovery is detected late.
func TestFailingStore(t *testing.T) {
	for name, next := range map[string]func(calls uint64) Result{
		"stale data": func(n uint64) Result { return Result{Version: 4 + n%2, Digest: digest(4 + n%2), StoreVersion: 4 + n%2} },
		"failing":    func(uint64) Result { return Result{Failed: true} },
	} {
		s := New(epoch, rand.New(rand.NewPCG(1, 1)))
		s.SetWatchers(true, nil)
		s.Done(epoch, Action{Kind: KindRead, Sent: epoch}, Result{Version: 5, Digest: digest(5), StoreVersion: 5})
		calls, probes, now := uint64(0), 0, epoch
		for now.Before(epoch.Add(time.Minute)) {
			a, ok, wake := s.Next(now)
			if !ok {
				now = wake
				continue
			}
			if a.Kind == KindProbe {
				s.Done(now, a, Result{Failed: true})
				probes++
				continue
			}
			s.Done(now, a, next(calls))
			calls++
		}
		if s.Version() != 5 || calls < 30 || calls > 70 || probes > 61 {
			t.Errorf("%s: version %d after %d calls and %d probes in a minute, want version 5, 30 to 70 calls and 61 probes", name, s.Version(), calls, probes)
		}
	}
}

// TestHeartbeatReply guards against a heartbeat reply with another version or digest that
// counts as a confirmation, against a confirmation that counts from the arrival of the
// reply, and against pulls that only repeat what replies have already confirmed.
func TestHeartbeatReply(t *testing.T) {
	sent, now := epoch.Add(time.Minute), epoch.Add(time.Minute+2*time.Second)
	for _, tt := range []struct {
		name string
		peer int
		r    Result
		want time.Time
		next Kind // 2 s after the reply
	}{
		{"same version", 1, Result{Version: 5, Digest: digest(5), ConfirmedAge: 100 * time.Millisecond}, sent.Add(-101 * time.Millisecond), 0},
		{"never confirmed", 1, Result{Version: 5, Digest: digest(5), ConfirmedAge: -1}, epoch, 0},
		{"never confirmed, peer does not watch", 2, Result{Version: 5, Digest: digest(5), ConfirmedAge: -1}, epoch, KindPull},
		{"no digest", 1, Result{Version: 5, ConfirmedAge: 0}, epoch, KindPull},
		{"other digest", 1, Result{Version: 5, Digest: "x", ConfirmedAge: 0}, epoch, KindPull},
		{"older version", 1, Result{Version: 4, Digest: digest(5), ConfirmedAge: 0}, epoch, KindPull},
		{"newer version", 1, Result{Version: 6, Digest: digest(5), ConfirmedAge: 0}, epoch, KindPull},
		{"unknown peer", 9, Result{Version: 5, Digest: digest(5), ConfirmedAge: 0}, epoch, KindPull},
	} {
		s := New(epoch, rand.New(rand.NewPCG(1, 1)))
		s.Done(epoch, Action{Kind: KindRead, Sent: epoch}, Result{Version: 5, Digest: digest(5), StoreVersion: 7})
		s.SetPeers([]netip.AddrPort{addr(1), addr(2), addr(3)}, nil)
		s.SetWatchers(false, []netip.AddrPort{addr(1)})
		s.SetMaxAge(30 * time.Second)
		s.SetPeerVersion(addr(3), 5)
		s.reading = true // keeps store actions out of this test
		s.RecordReply(now, addr(tt.peer), sent, tt.r)
		if got := s.Confirmed(); !got.Equal(tt.want) {
			t.Errorf("%s: confirmed at %v, want %v", tt.name, got, tt.want)
		}
		if a, _, _ := s.Next(now.Add(2 * time.Second)); a.Kind != tt.next {
			t.Errorf("%s: next action has kind %d, want %d", tt.name, a.Kind, tt.next)
		}
	}
}

// TestConfirmation guards against a response that counts as a confirmation although it
// does not show that the version in force is the latest.
func TestConfirmation(t *testing.T) {
	sent := epoch.Add(time.Second)
	for _, tt := range []struct {
		name   string
		pulled uint64 // version pulled from a peer since the head was read
		kind   Kind
		r      Result
		want   bool
		next   Kind
	}{
		{"probe", 0, KindProbe, Result{Unchanged: true, StoreVersion: 7}, true, 0},
		{"probe shows a change", 0, KindProbe, Result{Unchanged: true, StoreVersion: 8}, false, KindRead},
		{"probe with stale data", 0, KindProbe, Result{Unchanged: true, StoreVersion: 6}, false, 0},
		{"probe after a pull", 6, KindProbe, Result{Unchanged: true, StoreVersion: 7}, false, 0},
		{"watch", 0, KindWatch, Result{Unchanged: true}, true, 0},
		{"watch after a pull", 6, KindWatch, Result{Unchanged: true}, false, 0},
		{"read with stale data", 0, KindRead, Result{Version: 4, Digest: digest(4), StoreVersion: 6}, false, 0},
		{"other digest", 0, KindRead, Result{Version: 5, Digest: "x", StoreVersion: 7}, false, 0},
	} {
		s := New(epoch, rand.New(rand.NewPCG(1, 1)))
		s.Done(epoch, Action{Kind: KindRead, Sent: epoch}, Result{Version: 5, Digest: digest(5), StoreVersion: 7})
		if tt.pulled > 0 {
			s.Done(epoch, Action{Kind: KindPull, Sent: epoch}, Result{Version: tt.pulled, Digest: digest(tt.pulled), ConfirmedAge: -1})
		}
		s.Done(sent, Action{Kind: tt.kind, Sent: sent, After: 7}, tt.r)
		if got := s.Confirmed().Equal(sent); got != tt.want {
			t.Errorf("%s: confirmed %v, want %v", tt.name, got, tt.want)
		}
		if s.storeVersion < 7 {
			t.Errorf("%s: store version %d, want at least 7", tt.name, s.storeVersion)
		}
		if a, _, _ := s.Next(sent); a.Kind != tt.next {
			t.Errorf("%s: next action has kind %d, want %d", tt.name, a.Kind, tt.next)
		}
	}
}
