package replay

import (
	"container/list"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/model"
	"github.com/yuccalb/yuccalb/internal/core/queue"
	"github.com/yuccalb/yuccalb/internal/core/retry"
	"github.com/yuccalb/yuccalb/internal/core/route"
)

// Setup describes one replay of a trace.
type Setup struct {
	Policy   string   // expected, random, robin, least or two
	Regions  []string // one data centre each; a single one gets the requests of all regions
	Servers  int      // per region
	Hosts    int      // per region
	Seed     uint64
	Passes   int     // number of times that the trace is replayed
	Unique   bool    // no request shares a prefix with another
	NoEvents bool    // all cache events are lost
	Down     bool    // half of the servers refuse connections
	Hot      string  // organisation whose rate is multiplied by Factor; empty for none
	Factor   int     // multiple of the rate of the organisation Hot
	Fair     bool    // hosts queue by fair share, with weights for the organisations of Generate
	Stay     bool    // requests are not forwarded to other regions
	Pace     float64 // speed of the replay relative to the trace; 0 means 1
	Warm     bool    // the first pass is not measured
	// Classes describes the requests by route; those of other routes have priority 0 and no
	// goal.
	Classes map[string]Class
}

// host is a simulated host, which receives requests from callers and peers.
type host struct {
	region     string
	router     *route.Router
	rng        *rand.Rand
	budget     retry.Budget
	queue      *queue.Queue
	nextEngine int             // counter of the policy robin
	inFlight   map[*engine]int // attempts in flight from this host, for the baseline policies
}

// weights are the fair-share weights of the organisations. Generate draws requests in
// the same proportion.
var weights = map[string]int{"a": 2, "b": 2, "c": 1, "d": 1, "e": 1}

// fleet replays a trace on engines and hosts.
type fleet struct {
	Setup
	clock   *clock
	engines map[string][]*engine
	hosts   map[string][]*host
	reports map[*engine]route.Load // the latest that were delivered to the hosts
	byAddr  map[netip.AddrPort]*engine
	active  int // requests that have not ended; load reports stop at 0
	rows    int // rows of the trace
	fig     *Figures
}

// Replay replays a trace of at least one row and returns the figures. The same rows
// and setup give the same figures.
func Replay(rows []Row, s Setup) *Figures {
	f := &fleet{
		Setup: s, clock: &clock{now: time.Unix(1e9, 0)},
		engines: map[string][]*engine{}, hosts: map[string][]*host{},
		reports: map[*engine]route.Load{}, byAddr: map[netip.AddrPort]*engine{},
		fig: newFigures(),
	}
	for r, region := range s.Regions {
		f.addRegion(r, region)
	}
	if s.Pace == 0 {
		f.Pace = 1
	}
	rng := rand.New(rand.NewPCG(s.Seed, 1))
	length := rows[len(rows)-1].At + time.Second
	f.active, f.rows = 1, len(rows)
	for pass := range s.Passes {
		for i := range rows {
			for k := range 1 + f.extraCopies(&rows[i]) {
				at := time.Duration(float64(rows[i].At+time.Duration(pass)*length)/f.Pace) + time.Duration(rng.Int64N(5e6))
				region := s.Regions[0]
				if len(s.Regions) > 1 {
					region = rows[i].Region
				}
				h := f.hosts[region][rng.IntN(s.Hosts)]
				id := (pass*10+k)*len(rows) + i
				f.active++
				f.clock.after(at, func() { f.arrive(h, &rows[i], id) })
			}
		}
	}
	f.active--
	f.collectReports()
	f.clock.run()
	f.fig.Span = float64(s.Passes) * length.Seconds() / f.Pace
	f.fig.Servers = s.Servers * len(s.Regions)
	for _, region := range s.Regions {
		for _, e := range f.engines[region] {
			f.fig.Busy += e.busy
		}
	}
	return f.fig
}

// extraCopies returns how many times a row is repeated beyond the first: Factor-1 for
// the organisation Hot, otherwise 0.
func (f *fleet) extraCopies(r *Row) int {
	if r.Org == f.Hot {
		return f.Factor - 1
	}
	return 0
}

// addRegion creates the engines and hosts of a region. The argument r is its index.
func (f *fleet) addRegion(r int, region string) {
	var servers []route.Server
	for i := range f.Servers {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(r), byte(i + 1)}), 9000)
		e := &engine{clock: f.clock, addr: addr, region: region, lru: list.New(), blocks: map[uint64]*list.Element{}}
		e.down = f.Down && i%2 == 1
		f.engines[region] = append(f.engines[region], e)
		f.byAddr[addr] = e
		servers = append(servers, route.Server{Addr: addr, RTT: time.Millisecond})
	}
	for i := range f.Setup.Hosts {
		rng := rand.New(rand.NewPCG(f.Seed, uint64(100*r+i)))
		cfg := route.DefaultConfig(region)
		cfg.Prefill = enginePrefill
		table := route.NewTable(cfg, rng)
		table.SetServers(servers, f.clock.now)
		table.SetHosts(f.Setup.Hosts)
		sites := route.NewSites(route.DefaultSitesConfig(0.2))
		sites.SetHosts(f.Setup.Hosts)
		f.hosts[region] = append(f.hosts[region], &host{
			region: region, rng: rng, inFlight: map[*engine]int{},
			router: &route.Router{Table: table, Sites: sites}, queue: queue.New(queue.DefaultConfig(), f.Servers*engineLimit/f.Setup.Hosts),
		})
	}
}

// collectReports takes the load reports of all engines every second. They are
// delivered reportAge later, with the placements of peers, the cache events, of which
// a third is lost, and the summaries for other regions.
func (f *fleet) collectReports() {
	if f.active == 0 {
		return
	}
	for _, region := range f.Regions {
		var loads []route.Load
		var placements []route.Placement
		free := 0
		wait := time.Duration(0)
		for _, e := range f.engines[region] {
			l := e.report()
			l.Down = false // a host that polls has not detected the failure yet
			loads = append(loads, l)
			free += max(0, l.BatchSize-l.Running-l.Queued)
			wait += seconds(float64(l.Pending) / enginePrefill / float64(f.Servers))
		}
		for _, h := range f.hosts[region] {
			placements = h.router.Table.TakePlacements(placements)
		}
		site := route.Site{
			Name: region, Region: region, Servers: f.Servers, FreeSlots: free, Wait: wait,
			Delay: 55 * time.Millisecond, Bandwidth: LinkRate, CrossRegion: true,
		}
		f.clock.after(reportAge, func() { f.deliverReports(region, loads, placements, site) })
	}
	f.clock.after(time.Second, f.collectReports)
}

// deliverReports delivers the reports of a region: a summary to the hosts of other
// regions, everything else to its own hosts.
func (f *fleet) deliverReports(region string, loads []route.Load, placements []route.Placement, site route.Site) {
	site.At = f.clock.now
	for _, l := range loads {
		f.reports[f.byAddr[l.Addr]] = l
	}
	for _, other := range f.Regions {
		for _, h := range f.hosts[other] {
			if other != region {
				h.router.Sites.UpdateSummaries([]route.Site{site}, f.clock.now)
				continue
			}
			h.queue.SetLimit(h.queue.InUse()+max(1, site.FreeSlots/f.Setup.Hosts), f.Servers*engineLimit/f.Setup.Hosts)
			f.admit(h)
			h.router.Table.UpdateLoads(loads)
			h.router.Table.AddPeerPlacements(placements, f.clock.now)
		}
	}
	for i, e := range f.engines[region] {
		if !f.NoEvents && i%3 != int(f.clock.now.Unix()%3) {
			for _, h := range f.hosts[region] {
				h.router.Table.ApplyCacheEvents(e.addr, e.events)
			}
		}
		e.events = e.events[:0]
	}
}

// flight is a request in progress.
type flight struct {
	row      *Row
	entry    *host
	arrived  time.Time
	req      route.Request
	chain    []uint64 // block digests of the whole prompt
	attempts *retry.Attempts
	item     *queue.Item
	release  func() // ends the accounting of a forwarded request; nil if not forwarded
	warm     bool   // belongs to the first pass of a warm replay, which is not measured
}

// arrive handles a request of a caller at its entry host h. With Fair it is queued.
func (f *fleet) arrive(h *host, r *Row, id int) {
	fl := &flight{row: r, entry: h, arrived: f.clock.now, attempts: retry.NewAttempts(retry.Call{Idempotent: true})}
	fl.warm = f.Warm && id < 10*f.rows
	fl.chain = r.chain(id, f.Unique)
	fl.req = route.Request{Chain: fl.chain[:min(len(fl.chain), route.MaxBlocks)], Prompt: r.Prompt, Bytes: 4*r.Prompt + 100*r.Answer, Regions: f.Regions}
	f.fig.Requests++
	if !fl.warm {
		f.fig.class(r.Route).Sent++
	}
	h.budget.Deposit()
	if !f.Fair {
		f.send(h, fl)
		return
	}
	class := model.ClassShort
	if r.Route == "quote" || r.Route == "chat" {
		class = model.ClassLong
	}
	item := &queue.Item{Org: r.Org, Weight: weights[r.Org], Class: class, Tokens: int64(r.Prompt + r.Answer), Deadline: f.clock.now.Add(5 * time.Second), Value: fl}
	if rejection := h.queue.Push(item, f.clock.now); rejection != nil {
		f.fig.Rejected[r.Org]++
		f.countRefused(fl, f.clock.now)
		f.active--
		return
	}
	f.admit(h)
}

// admit sends queued requests of h up to the limit of its queue, and rejects those
// whose deadline has passed.
func (f *fleet) admit(h *host) {
	for {
		item, expired := h.queue.Pop(f.clock.now)
		for _, x := range expired {
			f.fig.Rejected[x.Org]++
			f.countRefused(x.Value.(*flight), x.Deadline)
			f.active--
		}
		if item == nil {
			return
		}
		fl := item.Value.(*flight)
		fl.item = item
		f.send(h, fl)
	}
}

// endRequest completes a request at its entry host.
func (f *fleet) endRequest(fl *flight, ok bool) {
	f.active--
	if fl.release != nil {
		fl.release()
	}
	if !ok {
		f.fig.Failed++
		f.countRefused(fl, f.clock.now)
	}
	if f.Fair {
		fl.entry.queue.Finish(fl.item, f.clock.now)
		f.admit(fl.entry)
	}
}

// send makes one attempt from h, which is the entry host or the host that the request
// was forwarded to.
func (f *fleet) send(h *host, fl *flight) {
	if f.Policy != "expected" {
		e := f.baseline(h, fl)
		h.inFlight[e]++
		f.attempt(e, fl, time.Millisecond/2, func(int) {}, func(failed bool, _ int) {
			h.inFlight[e]--
			f.endAttempt(h, e, fl, failed)
		})
		return
	}
	fl.req.Forwarded = f.Stay || h != fl.entry
	d, err := h.router.Pick(&fl.req, f.clock.now)
	if err != nil {
		f.endRequest(fl, false)
		return
	}
	if d.Remote() {
		f.fig.Away++
		f.fig.Wide += fl.req.Bytes
		hosts := f.hosts[d.Site.Site]
		sites, choice := h.router.Sites, d.Site
		fl.release = func() { sites.Done(choice, choice.Bytes(), false, f.clock.now) }
		f.clock.after(55*time.Millisecond+seconds(float64(fl.req.Bytes)/LinkRate), func() {
			f.send(hosts[h.rng.IntN(len(hosts))], fl)
		})
		return
	}
	e, choice := f.byAddr[d.Server.Addr], d.Server
	f.attempt(e, fl, time.Millisecond/2, func(int) {}, func(failed bool, cached int) {
		h.router.Table.Done(choice, route.Result{Failed: failed, Cached: cached}, f.clock.now)
		f.endAttempt(h, e, fl, failed)
	})
}

// attempt sends a request to an engine after a network delay. A failed engine refuses
// the connection. The callback first runs at the first token, done at the end of the
// attempt.
func (f *fleet) attempt(e *engine, fl *flight, delay time.Duration, first func(int), done func(failed bool, cached int)) {
	f.fig.Attempts++
	f.clock.after(delay, func() {
		if e.down {
			done(true, -1)
			return
		}
		e.submit(&job{row: fl.row, priority: f.Classes[fl.row.Route].Priority, chain: fl.chain, onFirst: func(cached int) {
			first(cached)
			if fl.warm {
				return
			}
			f.fig.Cached += cached
			f.fig.Prompt += fl.row.Prompt
			latency := delay
			if e.region != fl.entry.region {
				latency += 55 * time.Millisecond
			}
			us := min(f.clock.now.Add(latency).Sub(fl.arrived).Microseconds(), maxMicros)
			_ = f.fig.TTFT.RecordValue(us)
			f.countServed(fl, us)
			if f.fig.Orgs[fl.row.Org] == nil {
				f.fig.Orgs[fl.row.Org] = newHistogram()
			}
			_ = f.fig.Orgs[fl.row.Org].RecordValue(us)
		}, onDone: func(cached int) { done(false, cached) }})
	})
}

// endAttempt completes the request, or retries it if the attempt failed and the retry
// budget of h allows it.
func (f *fleet) endAttempt(h *host, e *engine, fl *flight, failed bool) {
	if !failed {
		f.endRequest(fl, true)
		return
	}
	d := fl.attempts.Fail(retry.Failure{Outcome: retry.NotWritten}, &h.budget, h.rng)
	if d.Action != retry.Retry {
		f.endRequest(fl, false)
		return
	}
	fl.req.Exclude = append(fl.req.Exclude, e.addr)
	f.clock.after(d.Delay, func() { f.send(h, fl) })
}

// baseline chooses an engine by one of the policies that the router is compared with,
// which use neither prefixes nor expected times.
func (f *fleet) baseline(h *host, fl *flight) *engine {
	engines := f.engines[fl.entry.region]
	reported := func(e *engine) int { return f.reports[e].Queued + f.reports[e].Running }
	switch f.Policy {
	case "robin":
		h.nextEngine++
		return engines[h.nextEngine%len(engines)]
	case "least":
		best := engines[h.rng.IntN(len(engines))]
		for _, e := range engines {
			if reported(e) < reported(best) {
				best = e
			}
		}
		return best
	case "two":
		a, b := engines[h.rng.IntN(len(engines))], engines[h.rng.IntN(len(engines))]
		if reported(b)+h.inFlight[b] < reported(a)+h.inFlight[a] {
			return b
		}
		return a
	}
	return engines[h.rng.IntN(len(engines))]
}
