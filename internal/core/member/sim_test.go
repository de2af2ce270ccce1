package member

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// step is the resolution of the simulated network.
const step = 50 * time.Millisecond

// sim runs tables over a simulated network with faults.
type sim struct {
	rng   *rand.Rand
	now   time.Time
	nodes []*simNode
	queue []packet

	loss, dup float64
	delay     time.Duration            // longest delay of a message
	blocked   func(a, b *simNode) bool // nil without a partition
	check     func(n *simNode)
}

// simNode is one host. Its clock has its own rate.
type simNode struct {
	cfg         Config
	rate        float64
	up          bool
	leaving     bool
	pausedUntil time.Time
	next        time.Time // next tick, by the host's clock
	table       *Table
	view        *View
	plan        *Plan
}

type packet struct {
	at        time.Time
	from, to  *simNode
	inc       int64 // of the receiver of the reply
	heartbeat *Heartbeat
	reply     *Reply
	full      bool
	sent      time.Time
}

var simStart = time.Unix(1_800_000_000, 0)

func simAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7000)
}

func simHTTP(i int) netip.AddrPort { return netip.AddrPortFrom(simAddr(i).Addr(), 8000) }

// newSim starts one host for each of sites, the data centres of the hosts. The
// argument seeds has the numbers of the hosts in everyone's settings.
func newSim(seed uint64, seeds []int, sites ...string) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 0)), now: simStart, delay: 20 * time.Millisecond}
	var addrs []netip.AddrPort
	for _, i := range seeds {
		addrs = append(addrs, simAddr(i))
	}
	for i, site := range sites {
		n := &simNode{cfg: Config{Self: Ident{Addr: simAddr(i), Site: site}, HTTP: simHTTP(i), Seeds: addrs}}
		n.rate = 0.98 + 0.04*s.rng.Float64()
		s.nodes = append(s.nodes, n)
		s.start(n)
	}
	return s
}

// clock returns the time on the host's clock.
func (s *sim) clock(n *simNode) time.Time {
	return simStart.Add(time.Duration(float64(s.now.Sub(simStart)) * n.rate))
}

// start starts a new incarnation.
func (s *sim) start(n *simNode) {
	now := s.clock(n)
	n.cfg.Self.Incarnation = now.UnixNano()
	n.up, n.leaving, n.pausedUntil = true, false, time.Time{}
	n.table, n.next = New(n.cfg, now), now
	n.view = n.table.View(now)
}

func (s *sim) leave(n *simNode) {
	n.leaving = true
	s.execute(n, n.table.Leave(s.clock(n)))
}

// send queues a message for delivery, drops it or duplicates it.
func (s *sim) send(p packet) {
	if p.from.leaving && !p.from.up || s.blocked != nil && s.blocked(p.from, p.to) || s.rng.Float64() < s.loss {
		return
	}
	n := 1
	if s.rng.Float64() < s.dup {
		n = 2
	}
	for range n {
		p.at = s.now.Add(time.Duration(s.rng.Int64N(int64(s.delay))))
		s.queue = append(s.queue, p)
	}
}

func (s *sim) node(a netip.AddrPort) *simNode {
	for _, n := range s.nodes {
		if n.cfg.Self.Addr == a {
			return n
		}
	}
	return nil
}

// execute sends the heartbeats of a plan.
func (s *sim) execute(n *simNode, plan *Plan) {
	n.plan, n.view = plan, plan.View
	for _, b := range plan.Heartbeats {
		heartbeat := &Heartbeat{From: n.cfg.Self, Leaving: n.leaving, Summaries: plan.Brief}
		if b.Full {
			heartbeat.HTTP, heartbeat.Summaries = n.cfg.HTTP, plan.Full
		} else {
			heartbeat.From.Site = ""
		}
		s.send(packet{from: n, to: s.node(b.To), heartbeat: heartbeat, full: b.Full, sent: plan.At, inc: n.cfg.Self.Incarnation})
	}
	for _, l := range plan.Links {
		n.table.LinkFailed(l.Site, plan.At)
		heartbeat := &Heartbeat{From: n.cfg.Self, HTTP: n.cfg.HTTP, Leaving: n.leaving, Summaries: []Summary{plan.Local, l.Hint}}
		s.send(packet{from: n, to: s.node(l.To), heartbeat: heartbeat, sent: plan.At, inc: n.cfg.Self.Incarnation})
	}
}

func (s *sim) deliver(p packet) {
	n, now := p.to, s.clock(p.to)
	if p.reply != nil {
		if p.inc == n.cfg.Self.Incarnation {
			n.table.ReceiveReply(p.from.cfg.Self.Addr, p.reply, now)
		}
		return
	}
	if n.table.Receive(p.heartbeat, now) == Accepted || p.heartbeat.From.Site != n.cfg.Self.Site {
		r := &Reply{From: n.cfg.Self, Leaving: n.leaving, Sent: p.sent, Full: p.full}
		s.send(packet{from: n, to: p.from, reply: r, inc: p.inc})
	}
}

// run advances the simulation by d.
func (s *sim) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(step) {
		queue := s.queue
		s.queue = nil
		for _, p := range queue {
			switch {
			case p.at.After(s.now) || p.to.up && s.now.Before(p.to.pausedUntil):
				s.queue = append(s.queue, p)
			case p.to.up:
				s.deliver(p)
			}
		}
		for _, n := range s.nodes {
			now := s.clock(n)
			if !n.up || s.now.Before(n.pausedUntil) || now.Before(n.next) {
				continue
			}
			n.next = n.next.Add(Tick)
			if n.next.Before(now) {
				n.next = now.Add(Tick)
			}
			s.execute(n, n.table.Tick(now))
			if s.check != nil {
				s.check(n)
			}
		}
	}
}

// agree returns an error if a host's view differs from the actual state.
func (s *sim) agree() error {
	for _, n := range s.nodes {
		if !n.up {
			continue
		}
		if err := s.agreeNode(n); err != nil {
			return fmt.Errorf("view of %s: %w", n.cfg.Self.Addr, err)
		}
	}
	return nil
}

func (s *sim) agreeNode(n *simNode) error {
	var members, callers []netip.AddrPort
	for _, o := range s.nodes {
		if !o.up || o.leaving {
			continue
		}
		callers = append(callers, o.cfg.HTTP)
		if o.cfg.Self.Site == n.cfg.Self.Site {
			members = append(members, o.cfg.Self.Addr)
		}
	}
	if got := n.view.Members(); !slices.Equal(got, members) {
		return fmt.Errorf("members %v, want %v", got, members)
	}
	var got []netip.AddrPort
	for _, a := range n.view.Answers(oneRegion{}, []string{"all"}, 1) {
		got = append(got, a.Addr)
	}
	slices.SortFunc(got, netip.AddrPort.Compare)
	if !slices.Equal(got, callers) {
		return fmt.Errorf("callers get %v, want %v", got, callers)
	}
	return nil
}

type oneRegion struct{}

func (oneRegion) RegionOf(string) string { return "all" }
