package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/fake/local"
	"github.com/yuccalb/yuccalb/internal/fake/origin"
	"github.com/yuccalb/yuccalb/internal/fake/proc"
	"github.com/yuccalb/yuccalb/internal/fake/proxy"
	"github.com/yuccalb/yuccalb/platform/plattest"
)

var (
	fleetSeeds = flag.Int("fleet", 0, "number of seeds of TestFleet, from -soak.first on, each for -soak.time")
	// A host goes by the version of the list for up to 3 s, so that such restarts join streams.
	fleetReborn = flag.Bool("fleet.reborn", false, "let servers of TestFleet also restart at another version under their former identifier")
	fleetRate   = flag.Float64("fleet.rate", 90, "requests per second of TestFleet, on average")
)

// Services of the fleet. Routes move between the first two.
const (
	draftService = "draft"
	spareService = "spare"
	stockService = "stock"
)

const (
	// fleetRevoke and fleetGrace are settings of the hosts.
	fleetRevoke = 5 * time.Second
	fleetGrace  = 8 * time.Second
	// regionDelay is the delay of one way between two regions.
	regionDelay = 55 * time.Millisecond
	// heartbeat is the interval at which servers renew their entries, which expire
	// after expireTime.
	heartbeat  = time.Second
	expireTime = 3 * time.Second
	// settleBudget is the time at the end in which there are no faults.
	settleBudget = 3 * time.Second
)

// fleetSites are the data centres of the fleet, one of each region. The store is in the first.
var fleetSites = []fleetSite{
	{name: "qa", region: "q", hosts: 3, servers: map[string]int{draftService: 4, spareService: 1, stockService: 1}},
	{name: "ra", region: "r", hosts: 2, servers: map[string]int{draftService: 3, spareService: 1, stockService: 1}},
	{name: "va", region: "v", hosts: 2, servers: map[string]int{draftService: 2, spareService: 1, stockService: 1}},
}

// fleetSite is a data centre with the number of its hosts, and of its servers by service.
type fleetSite struct {
	name, region string
	hosts        int
	servers      map[string]int
}

// TestFleet runs the daemons and the servers of a whole deployment, three regions of 3, 2 and 2
// hosts with 15 servers, under series of faults that overlap. It checks that the events of each
// stream are in order over all its attempts, that repeats stay within their bound, that requests
// run no more often than their route allows, that what is reported as not run has not run, and
// that no deadline is handed on that is longer than what is left.
func TestFleet(t *testing.T) {
	if *fleetSeeds == 0 {
		t.Skip("runs by hand only, with -fleet")
	}
	bin, err := proc.Build(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	for i := range *fleetSeeds {
		seed := *soakFirst + uint64(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { newFleet(t, bin, seed).run() })
	}
}

// fleet is one run of the test.
type fleet struct {
	t       *testing.T
	name    string // part of all identifiers
	rng     *rand.Rand
	begin   time.Time
	store   *plattest.Store
	dir     string
	moves   bool // of streams' routes between services
	spare   int  // version of the servers of the spare service at the start
	hosts   []*fleetHost
	servers []*fleetServer
	links   *regionLinks
	stores  []netip.AddrPort // the store as each data centre sees it
	mu      sync.Mutex       // guards the settings of the hosts
	ended   chan struct{}
	tasks   sync.WaitGroup // of faults, heartbeats and callers

	checks  *fleetChecks
	routes  *fleetRoutes
	beats   atomic.Int64
	numbers atomic.Int64 // of requests
	pool    callerPool
}

// fleetHost is a daemon and the proxies before it.
type fleetHost struct {
	site     int
	process  *proc.Process
	path     string // of its settings
	settings map[string]any
	callers  *proxy.Proxy // between callers and the host
	store    *proxy.Proxy // between the host and the store
	// away is the delay of the store's region.
	away time.Duration
}

func newFleet(t *testing.T, bin string, seed uint64) *fleet {
	f := &fleet{
		t: t, name: fmt.Sprintf("%d-%d", os.Getpid(), seed), rng: rand.New(rand.NewPCG(seed, seed)), begin: time.Now(),
		store: plattest.NewStore(t), dir: t.TempDir(), ended: make(chan struct{}),
	}
	f.moves = seed%2 == 1
	f.spare = f.rng.IntN(2)
	f.checks = newFleetChecks(f)
	f.routes = newFleetRoutes(f.store)
	for i, site := range fleetSites {
		for service, n := range site.servers {
			for range n {
				f.addServer(service, i)
			}
		}
	}
	var linked []linkedHost
	for i, site := range fleetSites {
		for range site.hosts {
			linked = append(linked, linkedHost{i, local.Addr(t)})
		}
	}
	f.links = newRegionLinks(t, linked)
	for i := range fleetSites {
		f.stores = append(f.stores, f.links.storeOf(f.store, i))
	}
	for _, h := range linked {
		f.addHost(bin, h.site, h.addr)
	}
	return f
}

// addServer starts a server in the data centre with an index.
func (f *fleet) addServer(service string, site int) {
	sv := &fleetServer{number: len(f.servers), service: service, site: fleetSites[site].name, up: true, listed: true, born: time.Now().UnixMilli()}
	sv.slots, sv.queue = 64, 192
	if service == spareService {
		sv.version = f.spare
	}
	if service == stockService {
		sv.slots, sv.queue = 6, 24
	}
	sv.room = make(chan struct{}, sv.slots)
	sv.origin = origin.New(f.t, f.script(sv))
	sv.origin.LeaveBody = true
	sv.proxy = proxy.New(f.t, sv.origin.Addr())
	f.servers = append(f.servers, sv)
	f.register(sv)
}

// addHost starts a host in the data centre with an index, with an address for other hosts.
func (f *fleet) addHost(bin string, site int, peer netip.AddrPort) {
	i := len(f.hosts)
	h := &fleetHost{site: site, path: filepath.Join(f.dir, fmt.Sprintf("host-%d.yaml", i))}
	if site != 0 {
		h.away = regionDelay
	}
	front := local.Addr(f.t)
	h.callers = proxy.New(f.t, front)
	h.store = proxy.New(f.t, f.stores[site])
	h.store.Set(proxy.Fault{Delay: h.away})
	sites := make(map[string]string)
	for _, s := range fleetSites {
		sites[s.name] = s.region
	}
	h.settings = map[string]any{
		"host": fmt.Sprintf("host-%d-%s", i, f.name), "site": fleetSites[site].name, "region": fleetSites[site].region, "sites": sites,
		"store": h.store.Addr().String(), "front": front.String(), "first": true, "revoke": fleetRevoke.String(), "grace": fleetGrace.String(),
		"retries": soakBurst, "ratio": soakRatio, "cores": 0.4, "memory": 284, "files": 4100,
	}
	h.settings["peer"] = peer.String()
	for _, name := range []string{"ready", "lookup", "metrics"} {
		h.settings[name] = local.Addr(f.t).String()
	}
	writeSettings(f.t, h.path, h.settings)
	h.process = proc.New(f.t, bin, h.path)
	f.hosts = append(f.hosts, h)
	if err := h.process.Start(); err != nil {
		f.t.Fatal(err)
	}
}

// restart ends a host with a signal and starts it again.
func (f *fleet) restart(h *fleetHost, sig syscall.Signal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if h.settings["first"] == true {
		h.settings["first"] = false
		writeSettings(f.t, h.path, h.settings)
	}
	h.process.Restart(sig)
}

// run sends requests and injects faults for the time of the soak, then checks the result.
func (f *fleet) run() {
	f.tasks.Go(f.beat)
	time.Sleep(2 * time.Second) // the hosts list the servers and find each other
	f.begin = time.Now()
	for site := range fleetSites {
		rng := rand.New(rand.NewPCG(f.rng.Uint64(), uint64(site)))
		f.tasks.Go(func() { f.sendRequests(site, rng) })
	}
	f.injectFaults()
	time.Sleep(settleBudget)
	close(f.ended)
	f.tasks.Wait()
	f.pool.close()
	f.links.end()
	f.checks.end()
}

// over reports whether the run has ended.
func (f *fleet) over() bool {
	select {
	case <-f.ended:
		return true
	default:
		return false
	}
}

// after runs a function after d, at once if the run ends before.
func (f *fleet) after(d time.Duration, do func()) {
	f.tasks.Go(func() {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-t.C:
		case <-f.ended:
		}
		do()
	})
}

// hostsOf returns the addresses of the hosts of a data centre, or of all others.
func (f *fleet) hostsOf(site int, others bool) []netip.AddrPort {
	var list []netip.AddrPort
	for _, h := range f.hosts {
		if (h.site == site) != others {
			list = append(list, h.callers.Addr())
		}
	}
	return list
}
