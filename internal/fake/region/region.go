// Package region plays a region without a network: hosts that decide by the
// packages pick and admit on what they know, and model engines that work in
// steps. Tests of decisions under load run on it.
package region

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/admit"
	"github.com/yuccalb/yuccalb/internal/core/pick"
	"github.com/yuccalb/yuccalb/internal/core/spec"
	"github.com/yuccalb/yuccalb/internal/fake/batch"
)

const (
	// tick is the step of the played time, and reports the interval at which
	// the hosts tell each other of their requests.
	tick    = 5 * time.Millisecond
	reports = 250 * time.Millisecond
	// deadline is that of all requests.
	deadline = 15 * time.Second
	// warm and last are left out of the figures at the begin and the end.
	warm = 3 * time.Second
	last = 5 * time.Second
)

// Kind is a kind of request of a load.
type Kind struct {
	// Rate is in requests a second.
	Rate float64
	// Prompt and Output are means of tokens, drawn with a long tail; Prompt is
	// without the shared parts.
	Prompt, Output float64
	// Parts returns the parts that a request shares, nil for none.
	Parts func(rng *rand.Rand) []pick.Part
	// Goal is the time to the first token, and Priority the rank, 0 first.
	Goal     time.Duration
	Priority int
}

// Request is a request of the load. Its Run says what became of it.
type Request struct {
	*batch.Run
	Kind int
	// Refused is set if no engine got it.
	Refused bool
	Choice  pick.Choice

	host *host
}

// host is one host of the region.
type host struct {
	name  string
	table *pick.Table
	mix   admit.RecentGoals
}

// Region is a region of hosts that choose among the same engines.
type Region struct {
	hosts   []*host
	engines []*batch.Engine
	index   map[string]*batch.Engine
	rng     *rand.Rand
	epoch   time.Time
}

// New returns a region of hosts and of engines of a shape.
func New(hosts, engines int, cfg batch.Config) *Region {
	p := &Region{index: make(map[string]*batch.Engine), rng: rand.New(rand.NewPCG(5, 6)), epoch: time.Unix(1_700_000_000, 0)}
	svc := spec.Service{Name: "chat", Engine: true, Slots: cfg.Slots, CacheTokens: cfg.Memory}
	var list []spec.Server
	for i := range engines {
		e := batch.New(cfg)
		p.engines = append(p.engines, e)
		s := spec.Server{
			ID: fmt.Sprint("s", i), Service: svc.Name, Site: "a", Slots: cfg.Slots, Born: 1, Seq: 1,
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
		}
		p.index[s.ID] = e
		list = append(list, s)
	}
	var names []string
	for i := range hosts {
		names = append(names, fmt.Sprint("h", i))
	}
	for i, name := range names {
		h := &host{name: name, table: pick.NewTable(svc, rand.New(rand.NewPCG(uint64(i), 1)))}
		h.table.Update(svc, list, nil, pick.WarmupHosts{Self: name, Hosts: names, Discovered: true, ReportInterval: reports}, p.epoch)
		p.hosts = append(p.hosts, h)
	}
	return p
}

// Pace returns what the first host has learnt of the engines.
func (p *Region) Pace() pick.Pace { return p.hosts[0].table.Pace() }

// Run plays a load for d and returns its requests.
func (p *Region) Run(load []Kind, d time.Duration) []*Request {
	var all []*Request
	index := make(map[*batch.Run]*Request)
	for now := time.Duration(0); now < d; now += tick {
		for _, e := range p.engines {
			for _, r := range e.Advance(now) {
				p.changed(index[r])
			}
		}
		if now%reports == 0 {
			p.exchange(now)
		}
		for i, k := range load {
			for range p.arrivals(k.Rate) {
				r := p.send(k, now)
				r.Kind = i
				all = append(all, r)
				if !r.Refused {
					index[r.Run] = r
					p.index[r.Choice.ID].Add(r.Run)
				}
			}
		}
	}
	return all
}

// changed tells a host of its request's first token or end.
func (p *Region) changed(r *Request) {
	r.host.table.FirstByte(&r.Choice, p.epoch.Add(r.First))
	if r.Ended() {
		r.host.table.Done(&r.Choice, pick.Served, p.epoch.Add(r.End))
	}
}

// exchange passes each host's report to all others.
func (p *Region) exchange(now time.Duration) {
	at := p.epoch.Add(now)
	for _, from := range p.hosts {
		loads, placed := from.table.Report(at)
		for _, to := range p.hosts {
			if to != from {
				to.table.MergePeer(from.name, loads, placed, at)
			}
		}
	}
}

// arrivals draws the number of requests in a tick.
func (p *Region) arrivals(rate float64) int {
	n := 0
	for x := p.rng.ExpFloat64(); x < rate*tick.Seconds(); x += p.rng.ExpFloat64() {
		n++
	}
	return n
}

// draw returns a length with a mean and a long tail.
func (p *Region) draw(mean float64) int {
	return max(1, int(mean*math.Exp(0.8*p.rng.NormFloat64()-0.32)))
}

// send lets one of the hosts decide on a request.
func (p *Region) send(k Kind, now time.Duration) *Request {
	run := &batch.Run{Prompt: p.draw(k.Prompt), Output: p.draw(k.Output), Arrived: now}
	req := &pick.Request{Output: int(k.Output)}
	if k.Parts != nil {
		req.Parts = k.Parts(p.rng)
		for _, part := range req.Parts {
			run.Parts = append(run.Parts, batch.Part(part))
			run.Prompt += part.Tokens
		}
	}
	req.Prompt = run.Prompt
	r := &Request{Run: run, host: p.hosts[p.rng.IntN(len(p.hosts))]}
	r.Refused = !r.decide(k, req, p.epoch.Add(now))
	return r
}

// decide chooses a server unless the request must be refused.
func (r *Request) decide(k Kind, req *pick.Request, at time.Time) bool {
	h := r.host
	d := admit.Demand{Goal: k.Goal, Remaining: deadline, Prompt: req.Prompt, Shared: req.Shared(), Pace: h.table.Pace()}
	h.mix.Record(k.Priority, k.Goal, at)
	d.ShortestGoal = h.mix.Shortest(k.Priority, at)
	_, first, ok := h.table.Expect(req, at)
	if !ok {
		return false
	}
	if _, late := d.TooLate(first); late {
		return false
	}
	r.Choice, ok = h.table.Pick(req, at)
	return ok
}

// Portion returns the part of the requests of a kind that meet a condition,
// leaving out those that came in the first or last seconds of d.
func Portion(all []*Request, kind int, d time.Duration, meets func(*Request) bool) float64 {
	n, met := 0, 0
	for _, r := range all {
		if r.Kind != kind || r.Arrived < warm || r.Arrived > d-last {
			continue
		}
		n++
		if meets(r) {
			met++
		}
	}
	return float64(met) / float64(n)
}

// Mean returns the mean of a figure of the requests of a kind that have ended.
func Mean(all []*Request, kind int, d time.Duration, of func(*Request) float64) float64 {
	sum, n := 0.0, 0
	Portion(all, kind, d, func(r *Request) bool {
		if !r.Refused && r.Ended() {
			sum += of(r)
			n++
		}
		return true
	})
	return sum / float64(n)
}

// Chain returns the parts of a prompt from their identifiers and lengths.
func Chain(ids []uint64, lengths []int) []pick.Part {
	var parts []pick.Part
	key := uint64(0)
	for i, id := range ids {
		key = (key*31 + id + 1) * 0x9e3779b97f4a7c15
		parts = append(parts, pick.Part{Key: key, Tokens: lengths[i]})
	}
	return parts
}

// Tree draws the shared parts of a prompt: one of 4 heads of 2500 tokens and one
// of 120 second parts of 3500 below them, some of which are asked for more often.
func Tree(rng *rand.Rand) []pick.Part {
	leaf := uint64(math.Pow(rng.Float64(), 1.5) * 120)
	return Chain([]uint64{leaf % 4, leaf}, []int{2500, 3500})
}
