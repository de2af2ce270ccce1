// Package region simulates a region without a network: hosts that admit and place
// requests with the packages pick and admit, each with its own state, and model
// engines from package batch. Tests of these decisions under load use it.
package region

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/admit"
	"github.com/yuccalb/yuccalb/internal/core/pick"
	"github.com/yuccalb/yuccalb/internal/core/rank"
	"github.com/yuccalb/yuccalb/internal/core/spec"
	"github.com/yuccalb/yuccalb/internal/fake/batch"
)

const (
	// tick is the step of the simulated time, and reportInterval the interval at
	// which the hosts exchange load reports.
	tick           = 5 * time.Millisecond
	reportInterval = 250 * time.Millisecond
	// deadline is the deadline of all requests after their arrival.
	deadline = 15 * time.Second
	// Requests that arrive in the first warmup or in the last cooldown of a run
	// are excluded from the statistics.
	warmup   = 3 * time.Second
	cooldown = 5 * time.Second
)

// Class describes one class of requests of a load.
type Class struct {
	// Rate is in requests per second.
	Rate float64
	// Prompt and Output are the mean numbers of tokens of a log-normal
	// distribution. Prompt does not include the shared parts.
	Prompt, Output float64
	// Parts draws the shared parts of a prompt. It is nil if there are none.
	Parts func(rng *rand.Rand) []pick.Part
	// Goal is the latency target for the first token. Priority 0 is the most urgent.
	Goal     time.Duration
	Priority int
	// Level is the priority of the route, if the organisation has one of its own.
	Level int
	// Urgency is what the engines are told of the requests; 0 is the most urgent. It is one
	// more for deferrable requests.
	Urgency int
}

// Request is a request of the load. Its Run holds the progress at the engine.
type Request struct {
	*batch.Run
	Class int // index into the load
	// Rejected is set if the request was rejected and sent to no engine.
	Rejected bool
	Choice   pick.Choice

	host *host
}

// host is one host of the region, with its own load table.
type host struct {
	name  string
	table *pick.Table
	kinds rank.Kinds
}

// Region is a simulated region whose hosts share the same engines.
type Region struct {
	hosts      []*host
	engines    []*batch.Engine
	engineByID map[string]*batch.Engine
	rng        *rand.Rand
	start      time.Time
}

// New returns a region with a number of hosts and of engines.
func New(hosts, engines int, cfg batch.Config) *Region {
	p := &Region{engineByID: make(map[string]*batch.Engine), rng: rand.New(rand.NewPCG(5, 6)), start: time.Unix(1_700_000_000, 0)}
	svc := spec.Service{Name: "chat", Engine: true, Slots: cfg.Slots, CacheTokens: cfg.Memory}
	var list []spec.Server
	for i := range engines {
		e := batch.New(cfg)
		p.engines = append(p.engines, e)
		s := spec.Server{
			ID: fmt.Sprint("s", i), Service: svc.Name, Site: "a", Slots: cfg.Slots, Born: 1, Seq: 1,
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
		}
		p.engineByID[s.ID] = e
		list = append(list, s)
	}
	var names []string
	for i := range hosts {
		names = append(names, fmt.Sprint("h", i))
	}
	for i, name := range names {
		h := &host{name: name, table: pick.NewTable(svc, rand.New(rand.NewPCG(uint64(i), 1)))}
		h.table.Update(svc, list, nil, pick.RegionHosts{Self: name, Hosts: names, Discovered: true, ReportInterval: reportInterval}, p.start)
		p.hosts = append(p.hosts, h)
	}
	return p
}

// Pace returns the speed of the engines as the first host estimates it.
func (p *Region) Pace() pick.Pace { return p.hosts[0].table.Pace() }

// Run simulates a load for d and returns its requests.
func (p *Region) Run(load []Class, d time.Duration) []*Request {
	var all []*Request
	byRun := make(map[*batch.Run]*Request)
	for now := time.Duration(0); now < d; now += tick {
		for _, e := range p.engines {
			for _, r := range e.Advance(now) {
				p.recordProgress(byRun[r])
			}
		}
		if now%reportInterval == 0 {
			p.exchangeReports(now)
		}
		for i, class := range load {
			for range p.arrivals(class.Rate) {
				r := p.send(class, now)
				r.Class = i
				all = append(all, r)
				if !r.Rejected {
					byRun[r.Run] = r
					p.engineByID[r.Choice.ID].Add(r.Run)
				}
			}
		}
	}
	return all
}

// recordProgress records the first token or the end of a request in its host's table.
func (p *Region) recordProgress(r *Request) {
	r.host.table.FirstByte(&r.Choice, p.start.Add(r.First))
	if r.Ended() {
		r.host.table.Done(&r.Choice, pick.Served, p.start.Add(r.End))
	}
}

// exchangeReports delivers each host's load report to all other hosts.
func (p *Region) exchangeReports(now time.Duration) {
	at := p.start.Add(now)
	for _, from := range p.hosts {
		loads, placed := from.table.Report(at)
		for _, to := range p.hosts {
			if to != from {
				to.table.MergePeer(from.name, loads, placed, at)
			}
		}
	}
}

// arrivals draws the number of requests that arrive in a tick from a Poisson
// distribution.
func (p *Region) arrivals(rate float64) int {
	n := 0
	for x := p.rng.ExpFloat64(); x < rate*tick.Seconds(); x += p.rng.ExpFloat64() {
		n++
	}
	return n
}

// drawLength draws a number of tokens from a log-normal distribution with the given
// mean.
func (p *Region) drawLength(mean float64) int {
	return max(1, int(mean*math.Exp(0.8*p.rng.NormFloat64()-0.32)))
}

// send creates a request and lets a random host admit and place it.
func (p *Region) send(class Class, now time.Duration) *Request {
	run := &batch.Run{Prompt: p.drawLength(class.Prompt), Output: p.drawLength(class.Output), Urgency: class.Urgency, Arrived: now}
	req := &pick.Request{Output: int(class.Output)}
	if class.Parts != nil {
		req.Parts = class.Parts(p.rng)
		for _, part := range req.Parts {
			run.Parts = append(run.Parts, batch.Part(part))
			run.Prompt += part.Tokens
		}
	}
	req.Prompt = run.Prompt
	r := &Request{Run: run, host: p.hosts[p.rng.IntN(len(p.hosts))]}
	r.Rejected = !r.decide(class, req, p.start.Add(now))
	return r
}

// decide chooses a server. It returns false if the request must be rejected.
func (r *Request) decide(class Class, req *pick.Request, at time.Time) bool {
	h := r.host
	d := admit.Demand{Goal: class.Goal, Remaining: deadline, Prompt: req.Prompt, Shared: req.Shared(), Pace: h.table.Pace()}
	kind := rank.Kind{Priority: class.Priority, Level: class.Level, Goal: class.Goal}
	h.kinds.Record(kind, req.Prompt+req.Output, at)
	d.ShortestGoal = h.kinds.Shortest(class.Priority, at)
	var preferred bool
	if req.Deferrable, preferred = h.kinds.Deferral(kind, at); req.Deferrable {
		r.Urgency++
	}
	if preferred {
		req.Within = admit.Within(class.Goal, 0)
	}
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

// Fraction returns the fraction of the requests of a class that meet a condition. It
// ignores requests that arrived during the warm-up or the cool-down of a run of d.
func Fraction(all []*Request, class int, d time.Duration, meets func(*Request) bool) float64 {
	n, met := 0, 0
	for _, r := range all {
		if r.Class != class || r.Arrived < warmup || r.Arrived > d-cooldown {
			continue
		}
		n++
		if meets(r) {
			met++
		}
	}
	return float64(met) / float64(n)
}

// Mean returns the mean of a value over the completed requests of a class. It ignores
// the same requests as Fraction.
func Mean(all []*Request, class int, d time.Duration, of func(*Request) float64) float64 {
	sum, n := 0.0, 0
	Fraction(all, class, d, func(r *Request) bool {
		if !r.Rejected && r.Ended() {
			sum += of(r)
			n++
		}
		return true
	})
	return sum / float64(n)
}

// Chain returns the parts of a prompt. The key of each part is derived from its own
// identifier and those of all parts before it.
func Chain(ids []uint64, lengths []int) []pick.Part {
	var parts []pick.Part
	key := uint64(0)
	for i, id := range ids {
		key = (key*31 + id + 1) * 0x9e3779b97f4a7c15
		parts = append(parts, pick.Part{Key: key, Tokens: lengths[i]})
	}
	return parts
}

// PrefixTree draws the shared parts of a prompt from a tree of prefixes: one of 4 first
// parts of 2500 tokens, then one of 120 second parts of 3500 tokens. The second parts
// are not equally frequent.
func PrefixTree(rng *rand.Rand) []pick.Part {
	leaf := uint64(math.Pow(rng.Float64(), 1.5) * 120)
	return Chain([]uint64{leaf % 4, leaf}, []int{2500, 3500})
}
