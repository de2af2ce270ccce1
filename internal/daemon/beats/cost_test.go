package beats

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/yuccalb/yuccalb/internal/core/member"
	"github.com/yuccalb/yuccalb/internal/wire/peerpb"
)

// Bytes that drpc framing adds to a unary call: to the request, the frames of the
// method name, the message and the end of sending; to the reply, its own frames.
const (
	requestFrames = 4 + len("/peer.Peer/Beat") + 5 + 4
	replyFrames   = 5 + 4
)

// fleet simulates the hosts of one data centre, and the summaries that other data
// centres send.
type fleet struct {
	hosts, sites, servers    int
	loads, fullLoads, leases bool
	loops                    []*Loop
	plans                    []*member.Plan
	now                      time.Time

	sent, received, messages, largest int // counters of host 0
	replies                           int
}

func fleetAddr(site, i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(100 + site), 20, byte(100 + i)}), 17000)
}

// stubExchange supplies the payload of one host's heartbeats. It reports load at the
// rate of a real host: each server is polled by one host every second.
type stubExchange struct {
	f    *fleet
	host int
	rng  *rand.Rand
}

func (x *stubExchange) Loads(full bool) []*peerpb.Load {
	if !x.f.loads {
		return nil
	}
	var loads []*peerpb.Load
	for s := x.host; s < x.f.servers; s += x.f.hosts {
		load := &peerpb.Load{
			Addr:   fmt.Sprintf("10.120.30.%d:19000", s),
			Queued: x.rng.Uint32N(8), Running: x.rng.Uint32N(64), Pending: x.rng.Uint32N(20000), Age: int64(x.rng.Uint32N(1e9)),
		}
		if full || x.f.fullLoads {
			load.Service, load.Limit, load.Prefill = fmt.Sprintf("service-%02d", s%15), 64, 8000
		}
		loads = append(loads, load)
	}
	return loads
}

func (x *stubExchange) MergeLoads(member.Ident, []*peerpb.Load) {}

func (x *stubExchange) Version() Version {
	digest := "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"
	return Version{Number: 1_000_000, Digest: digest, Confirmed: 3 * time.Second, Floor: 999_990}
}

func (x *stubExchange) ObserveVersion(member.Ident, uint64, string, time.Duration) {}

func (x *stubExchange) ObserveReply(member.Ident, Version, time.Time) {}

func (x *stubExchange) Claims() time.Duration                     { return time.Minute }
func (x *stubExchange) ObserveClaims(member.Ident, time.Duration) {}

func (x *stubExchange) Lease(member.Ident, uint64, *member.View) *peerpb.SlotLease {
	if !x.f.leases {
		return nil
	}
	return &peerpb.SlotLease{Slot: uint32(x.host), Length: int64(5 * time.Second), Seq: 1_000_000, Members: 1<<63 + 1}
}

// newFleet prepares loops without control goroutines. The test calls their methods
// instead, so that messages can be counted without a network.
func newFleet(hosts, sites, servers int, loads, fullLoads, leases bool) *fleet {
	f := &fleet{hosts: hosts, sites: sites, servers: servers, loads: loads, fullLoads: fullLoads, leases: leases, now: time.Unix(1_800_000_000, 0)}
	for i := range hosts {
		o := &stubExchange{f: f, host: i, rng: rand.New(rand.NewPCG(uint64(i), 1))}
		self := member.Ident{Addr: fleetAddr(0, i), Site: "quimper-00", Incarnation: f.now.UnixNano() + int64(i)}
		l := &Loop{
			opts: Options{
				Self: self, HTTP: netip.AddrPortFrom(self.Addr.Addr(), 18000), Seeds: []netip.AddrPort{fleetAddr(0, 0)},
				Versions: o, Loads: o, Claims: o, Lessor: o,
			},
			acked: make(map[netip.AddrPort]ack), inflight: make(map[netip.AddrPort]int),
		}
		l.opts.Transport = &countingTransport{f: f, host: i}
		l.table = member.New(member.Config{Self: self, HTTP: l.opts.HTTP, Seeds: l.opts.Seeds}, f.now)
		l.view.Store(l.table.View(f.now))
		f.loops = append(f.loops, l)
	}
	return f
}

// countingTransport delivers heartbeats at once and counts those that host 0 sends or
// receives.
type countingTransport struct {
	f    *fleet
	host int
}

func (c *countingTransport) Beat(_ context.Context, to netip.AddrPort, req *peerpb.BeatRequest) (*peerpb.BeatReply, error) {
	for i, l := range c.f.loops {
		if l.opts.Self.Addr != to {
			continue
		}
		reply, err := l.receive(decodeHeartbeat(req), req, c.f.now)
		n, m := proto.Size(req)+requestFrames, proto.Size(reply)+replyFrames
		if c.host == 0 {
			c.f.sent, c.f.received = c.f.sent+n, c.f.received+m
		} else if i == 0 {
			c.f.received, c.f.sent = c.f.received+n, c.f.sent+m
		}
		if c.host == 0 || i == 0 {
			c.f.messages += 2
			c.f.largest = max(c.f.largest, n, m)
		}
		return reply, err
	}
	// The receiver is in another data centre.
	if c.host == 0 {
		c.f.sent += proto.Size(req) + requestFrames
		c.f.messages += 2
	}
	return nil, errLost
}

// step runs one tick of all hosts. Each other data centre sends its summary to one
// of them.
func (f *fleet) step() {
	f.now = f.now.Add(member.Tick)
	for s := 1; s < f.sites; s++ {
		req := f.summary(s)
		to := f.loops[s%f.hosts]
		if to == f.loops[0] {
			f.received += proto.Size(req) + requestFrames
			f.messages += 2
		}
		if _, err := to.receive(decodeHeartbeat(req), req, f.now); err != nil {
			panic(err)
		}
	}
	for _, l := range f.loops {
		f.tick(l)
	}
}

// tick does the work of Loop.tick without goroutines.
func (f *fleet) tick(l *Loop) {
	plan := l.table.Tick(f.now)
	l.view.Store(plan.View)
	for _, c := range l.requests(plan) {
		reply, err := l.opts.Transport.Beat(context.Background(), c.to.To, c.req)
		if err == nil {
			l.receiveReply(c.to, plan.At, plan.At, c.req, reply, f.now)
		}
	}
}

// summary returns a heartbeat that carries the summary of another data centre.
func (f *fleet) summary(site int) *peerpb.BeatRequest {
	s := member.Summary{Site: fmt.Sprintf("quimper-%02d", site), At: f.now.UnixNano(), Version: 1_000_000, Floor: 999_990}
	for i := range f.hosts {
		a := fleetAddr(site, i)
		s.Members = append(s.Members, member.Host{
			Addr: a, HTTP: netip.AddrPortFrom(a.Addr(), 18000), State: member.StateLive, Incarnation: int64(1_800_000_000_000_000_000 + i),
		})
	}
	for i := range 15 {
		s.Capacities = append(s.Capacities, member.Capacity{
			Service: fmt.Sprintf("service-%02d", i), Servers: 12, Free: uint32(100 + i), Wait: 35 * time.Millisecond,
		})
	}
	from := member.Ident{Addr: fleetAddr(site, 0), Site: s.Site, Incarnation: 1}
	return &peerpb.BeatRequest{
		From: encodeIdent(from, true), State: peerpb.State_STATE_LIVE, Version: s.Version,
		Summaries: []*peerpb.Summary{encodeSummary(&s)},
	}
}

// BenchmarkCost reports the messages and bytes per second of one host while its data
// centre is in a steady state. Bytes include protobuf and drpc framing, but not TLS
// and TCP. us/host-tick is the time of one tick of one host, including the
// heartbeats that it receives, without the network.
func BenchmarkCost(b *testing.B) {
	for _, size := range []struct{ hosts, sites int }{{8, 3}, {18, 21}, {40, 9}} {
		for _, v := range []struct {
			name                     string
			loads, fullLoads, leases bool
		}{
			{"membership", false, false, false},
			{"loads", true, false, false},
			{"whole-loads", true, true, false},
			{"loads+leases", true, false, true},
		} {
			b.Run(fmt.Sprintf("hosts=%d/sites=%d/%s", size.hosts, size.sites, v.name), func(b *testing.B) {
				f := newFleet(size.hosts, size.sites, 180, v.loads, v.fullLoads, v.leases)
				for range 60 {
					f.step()
				}
				if got := len(f.loops[0].View().Members()); got != size.hosts {
					b.Fatalf("%d members, want %d", got, size.hosts)
				}
				f.sent, f.received, f.messages, f.largest = 0, 0, 0, 0
				ticks := 0
				for b.Loop() {
					f.step()
					ticks++
				}
				b.ReportMetric(float64(f.sent)/float64(ticks), "sent-B/s")
				b.ReportMetric(float64(f.received)/float64(ticks), "received-B/s")
				b.ReportMetric(float64(f.messages)/float64(ticks), "messages/s")
				b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(ticks*size.hosts), "us/host-tick")
			})
		}
	}
}
