package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/fake/await"
	"github.com/yuccalb/yuccalb/internal/fake/crowd"
	"github.com/yuccalb/yuccalb/internal/fake/line"
	"github.com/yuccalb/yuccalb/internal/fake/local"
	"github.com/yuccalb/yuccalb/internal/fake/origin"
	"github.com/yuccalb/yuccalb/internal/fake/proc"
	"github.com/yuccalb/yuccalb/internal/fake/proxy"
	"github.com/yuccalb/yuccalb/platform"
	"github.com/yuccalb/yuccalb/platform/plattest"
)

var (
	soakSeeds = flag.Int("soak", 1, "number of seeds of the soak, from 1 on unless -soak.first is set")
	soakFirst = flag.Uint64("soak.first", 1, "first seed of the soak")
	soakTime  = flag.Duration("soak.time", 12*time.Second, "time that each seed of the soak runs")

	soakHosts   = flag.Int("soak.hosts", 4, "number of hosts of the soak")
	soakServers = flag.Int("soak.servers", 4, "number of servers of the soak")
	soakPause   = flag.Duration("soak.pause", 20*time.Millisecond, "pause of each caller between requests")
	soakCallers = flag.Int("soak.callers", 8, "number of callers of the soak")
)

const (
	soakEvents = 5 // of a resumable stream
	// soakRevoke is the time within which a revoked key must stop working.
	soakRevoke = 3 * time.Second
	// slack is added to time bounds to allow for a busy machine.
	slack = time.Second
	// maxSnapshotAge is the greatest age of a snapshot that is restored, and
	// rewriteDelay the time within which lost values are written again.
	maxSnapshotAge = 4 * time.Second
	rewriteDelay   = time.Second
	// serveTimeout bounds the wait until a host serves requests, responseTimeout
	// the wait for a response.
	serveTimeout    = 20 * time.Second
	responseTimeout = 5 * time.Second
)

// TestSoak runs several daemons as processes, injects faults from outside, and
// checks at the callers and the backend servers that a request that must not be
// repeated runs at most once, a request that is reported as not run has not run, a
// complete response belongs to its request, no key reaches a server, and a revoked
// key stops working. After the faults, it checks that servers get no more requests than
// the limits allow that they name, that under overload more urgent requests of a service are not
// served less often than others, that a part of prompts that makes them crash is found and
// stays known when all hosts restart, and that callers of hosts without a path to the servers are
// served nearly as often as others. At all times, it checks that arrivals of a request
// after its first stay within the bound.
func TestSoak(t *testing.T) {
	bin, err := proc.Build(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	for i := range *soakSeeds {
		seed := *soakFirst + uint64(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { newSoak(t, bin, seed).run() })
	}
}

// soak is one run of the test. Its name is part of all identifiers, which keeps
// apart runs that use the same ports one after the other or run at the same time.
type soak struct {
	name    string
	t       *testing.T
	rng     *rand.Rand
	store   *plattest.Store
	dir     string           // of the settings files
	configs []map[string]any // settings of the hosts
	hosts   []*proc.Process
	faults  []*atomic.Int32 // current faults of the servers
	limits  []*limit        // of the servers
	servers []*origin.Server
	born    []*atomic.Int64 // when the processes of the servers started, in Unix ms
	down    []*atomic.Bool  // servers that have crashed
	// releases counts how often each server was replaced by one of another version.
	releases []*atomic.Int64
	// proxies are all proxies: one between the hosts and each server, one between
	// each host and the store, and one between the callers and each host.
	proxies       []*proxy.Proxy
	serverProxies []*proxy.Proxy
	// links are those between each server and each host, behind serverProxies.
	links        [][]*proxy.Proxy
	storeProxies []*proxy.Proxy
	hostProxies  []*proxy.Proxy

	// arrivals are those of requests at the servers.
	arrivals arrivals
	// overload is that of the servers in the check of priorities.
	overload overload

	// heartbeats counts the heartbeats of all servers.
	heartbeats atomic.Int64
	// snapshot, taken at snapshotAt, is the state that the store may be restored to.
	snapshot   *plattest.Copy
	snapshotAt time.Time
	restores   int
	crowds     []*crowd.Crowd
	// endless counts the responses without an end.
	endless atomic.Int64

	mu      sync.Mutex
	runs    map[string]int    // number of runs by request identifier
	sent    map[string]string // method and path by request identifier
	notRun  map[string]bool
	revoked map[string]time.Time // time of revocation by key
	version int                  // of the configuration and its key
	served  int
	crashes []time.Time // of servers
	crashed sync.WaitGroup
}

func newSoak(t *testing.T, bin string, seed uint64) *soak {
	s := &soak{
		name: fmt.Sprintf("%d-%d", os.Getpid(), seed), t: t, dir: t.TempDir(), rng: rand.New(rand.NewPCG(seed, seed)), store: plattest.NewStore(t), runs: make(map[string]int),
		sent: make(map[string]string), notRun: make(map[string]bool), revoked: make(map[string]time.Time),
	}
	s.overload.running = make([]atomic.Int64, *soakServers)
	s.rotateKey()
	t.Cleanup(s.crashed.Wait) // after the servers are closed
	for i := range *soakServers {
		s.born = append(s.born, &atomic.Int64{})
		s.down = append(s.down, &atomic.Bool{})
		s.releases = append(s.releases, &atomic.Int64{})
		s.faults = append(s.faults, &atomic.Int32{})
		s.limits = append(s.limits, &limit{})
		srv := origin.New(t, s.serverScript(i))
		s.servers = append(s.servers, srv)
		s.serverProxies = append(s.serverProxies, s.linkTo(srv.Addr()))
		s.register(i)
	}
	for i := range *soakHosts {
		s.storeProxies = append(s.storeProxies, s.proxy(s.store.Addr()))
		front := local.Addr(s.t)
		s.hostProxies = append(s.hostProxies, s.proxy(front))
		s.configs = append(s.configs, s.settings(i, front))
		writeSettings(s.t, s.settingsPath(i), s.configs[i])
		p := proc.New(t, bin, s.settingsPath(i))
		s.mu.Lock()
		s.hosts = append(s.hosts, p)
		s.mu.Unlock()
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
	}
	return s
}

// proxy starts a proxy that forwards to target.
func (s *soak) proxy(target netip.AddrPort) *proxy.Proxy {
	p := proxy.New(s.t, target)
	s.proxies = append(s.proxies, p)
	return p
}

// soakSites are the data centres, one of each region.
var soakSites = []string{"a1", "b1"}

// soakSite returns the data centre of the i-th host or server.
func soakSite(i int) string { return soakSites[i%len(soakSites)] }

func (s *soak) serverID(i int) string {
	return fmt.Sprintf("s%d.%d-%s", i, s.releases[i].Load(), s.name)
}

// register writes the store entry of a server with a new heartbeat.
func (s *soak) register(i int) {
	s.store.PutEntry(plattest.Server{
		ID: s.serverID(i), Service: "desk", Site: soakSite(i), Addr: s.serverProxies[i].Addr(), State: "ready",
		Version: s.serverVersion(i), Born: s.born[i].Load(), Slots: s.overload.slots(), Seq: s.heartbeats.Add(1),
	})
}

// currentKey returns the key that is in force.
func (s *soak) currentKey() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprint("key-", s.version)
}

// rotateKey writes a configuration with a new key, which revokes the former one.
func (s *soak) rotateKey() {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := fmt.Sprint("key-", s.version)
	s.version++
	s.putConfig()
	s.revoked[old] = time.Now()
}

// putConfig writes the configuration of the current version.
func (s *soak) putConfig() {
	s.store.PutConfig(plattest.Config{
		Version: s.version, Keys: []string{fmt.Sprint("key-", s.version)}, Org: "workshop", Rate: 1e9, Burst: 1e9, Services: []string{"desk"},
		Routes: []plattest.Route{
			{Prefix: "/safe/", Service: "desk", Kind: "safe", Attempts: 2, TimeoutMS: 2000},
			{Prefix: "/order/", Service: "desk", Kind: "unsafe", TimeoutMS: 2000},
			{Prefix: "/order-a/", Service: "desk", Kind: "unsafe", TimeoutMS: 2000, Regions: []string{"a"}},
			{Prefix: "/urgent/", Service: "desk", Kind: "unsafe", TimeoutMS: 2000},
			{Prefix: "/later/", Service: "desk", Kind: "unsafe", TimeoutMS: 2000, Priority: 2},
			{Prefix: "/chat/", Service: "desk", Kind: "stream", TimeoutMS: 3000},
			{Prefix: "/ask/", Service: "desk", Kind: "stream", Resumable: true, Attempts: 3, TimeoutMS: 3000},
		},
	})
}

// restoreStore restores the store to the last snapshot unless it is too old. The
// operator and the servers then write their current values again.
func (s *soak) restoreStore() {
	if s.snapshot == nil || time.Since(s.snapshotAt) > maxSnapshotAge {
		return
	}
	s.restores++
	s.store.Restore(s.snapshot)
	s.snapshot = nil
	time.AfterFunc(s.jitter(rewriteDelay), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.putConfig()
	})
	for i := range *soakServers {
		time.AfterFunc(s.jitter(rewriteDelay), func() { s.register(i) })
	}
}

// jitter returns a random duration below d.
func (s *soak) jitter(d time.Duration) time.Duration { return time.Duration(s.rng.Int64N(int64(d))) }

// run sends requests and injects faults for the time of the soak, then checks that
// all hosts serve again.
func (s *soak) run() {
	s.waitServing()
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i := range *soakCallers {
		rng := rand.New(rand.NewPCG(s.rng.Uint64(), uint64(i)))
		callers.Go(func() { s.sendRequests(i, rng, stop) })
	}
	for end := time.Now().Add(*soakTime); time.Now().Before(end); {
		s.injectFault()
		time.Sleep(time.Duration(100+s.rng.IntN(500)) * time.Millisecond)
	}
	s.clearFaults()
	s.checkLimits()
	s.checkUrgency()
	s.checkPoison()
	s.checkLostPaths()
	close(stop)
	callers.Wait()
	s.waitServing()
	s.arrivals.check(s.t)
	s.t.Logf("%d requests served, %d restores of the store", s.served, s.restores)
}

// waitServing waits until each host serves a request.
func (s *soak) waitServing() {
	s.t.Helper()
	for i := range s.hosts {
		await.For(s.t, serveTimeout, fmt.Sprintf("host %d serves", i), func() error {
			var conn *line.Conn
			id := fmt.Sprintf("%s-wait-%d-%d", s.name, i, time.Now().UnixNano())
			a := s.request(&conn, i, line.Get("/safe/x"), id, s.currentKey())
			closeConnection(&conn)
			if a.Err != nil || a.Status != http.StatusOK {
				return fmt.Errorf("status %d, error %w", a.Status, a.Err)
			}
			return nil
		})
	}
}

// sendRequests sends requests of a caller to random hosts until stop is closed, a fifth
// of them with the first key, which is usually revoked.
func (s *soak) sendRequests(caller int, rng *rand.Rand, stop <-chan struct{}) {
	calls := []line.Call{line.Get("/safe/"), line.Post("/order/", ""), line.Post("/chat/", ""), line.Post("/ask/", "")}
	conns := make([]*line.Conn, len(s.hosts))
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		c := calls[rng.IntN(len(calls))]
		id := fmt.Sprintf("%s-c%d-%d", s.name, caller, n)
		key := s.currentKey()
		if rng.IntN(5) == 0 {
			key = "key-1"
		}
		start := time.Now()
		host := rng.IntN(len(s.hosts))
		c.Path += id
		a := s.request(&conns[host], host, c, id, key)
		s.check(id, c.Path, key, start, a)
		time.Sleep(*soakPause)
		if strings.HasPrefix(c.Path, "/ask/") {
			s.followStream(id, a, rng)
		}
	}
}

// request sends one request to a host. It opens a connection if conn holds none and
// keeps it for later requests until it ends.
func (s *soak) request(conn **line.Conn, host int, c line.Call, id, key string) line.Response {
	s.arrivals.send()
	s.mu.Lock()
	s.sent[id] = c.Method + " " + c.Path
	s.mu.Unlock()
	if *conn == nil {
		var err error
		if *conn, err = line.Dial(s.hostProxies[host].Addr()); err != nil {
			*conn = nil
			return line.Response{Err: err}
		}
	}
	_ = (*conn).SetDeadline(time.Now().Add(responseTimeout)) // a closed connection fails below
	a := (*conn).Do(c.With(platform.HeaderAPIKey, key).With(platform.HeaderDeadline, "3000"), id)
	if a.Err != nil || a.Close {
		closeConnection(conn)
	}
	return a
}

// closeConnection closes a connection if it is open.
func closeConnection(conn **line.Conn) {
	if *conn != nil {
		_ = (*conn).Close() // it is not used again
		*conn = nil
	}
}

// check checks the response to a request. A request without a complete response is
// not checked.
func (s *soak) check(id, path, key string, start time.Time, a line.Response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.Err != nil {
		return
	}
	switch a.Status {
	case http.StatusOK:
		s.served++
		// Only a response that states its end is known to be complete.
		if want := wantBody(path, id); !strings.HasPrefix(path, "/ask/") && a.Body != want && (a.Framed || !strings.HasPrefix(want, a.Body)) {
			s.t.Errorf("request %s got %q, want %q", id, a.Body, want)
		}
		if at, ok := s.revoked[key]; ok && start.Sub(at) > soakRevoke+slack {
			s.t.Errorf("request %s was served %v after its key %s was revoked", id, start.Sub(at), key)
		}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		s.notRun[id] = true
		if s.runs[id] > 0 {
			s.t.Errorf("request %s got %d although it has run", id, a.Status)
		}
	case http.StatusNotFound:
		s.t.Errorf("request %s got 404 although its route was always configured", id)
	}
}

// injectFault injects or ends one fault at random.
func (s *soak) injectFault() {
	host := s.rng.IntN(len(s.hosts))
	h := s.hosts[host]
	i := s.rng.IntN(*soakServers)
	if s.snapshot == nil || s.rng.IntN(4) == 0 {
		s.snapshot, s.snapshotAt = s.store.Copy(), time.Now()
	}
	switch s.rng.IntN(17) {
	case 0:
		_ = h.Signal(syscall.SIGSTOP) // fails if the process has exited, here and below
	case 1:
		_ = h.Signal(syscall.SIGCONT)
	case 2:
		s.restart(host, syscall.SIGKILL)
	case 3:
		s.restart(host, syscall.SIGTERM)
	case 4:
		_ = h.Signal(syscall.SIGHUP)
	case 5:
		s.faults[i].Store(s.rng.Int32N(numFaults))
	case 6:
		s.store.SetFault([]plattest.Fault{
			nil, func(*http.Request) int { return plattest.NoResponse }, func(*http.Request) int { return http.StatusServiceUnavailable },
			func(*http.Request) int { time.Sleep(300 * time.Millisecond); return 0 },
		}[s.rng.IntN(4)])
	case 7:
		s.rotateKey()
	case 8:
		s.store.RemoveServer(s.serverID(i))
		time.AfterFunc(time.Second, func() { s.register(i) })
	case 9:
		s.restoreStore()
	case 15:
		s.release(i)
	case 16:
		s.injectCrowd(host)
	case 14:
		s.injectCut(host)
	case 10:
		k := s.rng.IntN(len(faultyLimits))
		s.limits[i].name(faultyLimits[k])
		s.limits[i].state(faultyRefusals[k])
	default:
		// Connection faults are more frequent, so that several are active at once.
		s.proxies[s.rng.IntN(len(s.proxies))].Set([]proxy.Fault{
			{},
			{},
			{Delay: 200 * time.Millisecond},
			{Reset: true},
			{HoldForth: true},
			{HoldBack: true},
			{HoldForth: true, HoldBack: true},
			{Delay: time.Second}, // a slow link, on which callers and hosts give up
		}[s.rng.IntN(8)])
	}
}

// clearFaults ends all faults and registers all servers.
func (s *soak) clearFaults() {
	s.store.SetFault(nil)
	for _, c := range s.crowds {
		c.End()
	}
	for _, p := range s.proxies {
		p.Set(proxy.Fault{})
	}
	for i, f := range s.faults {
		f.Store(faultNone)
		s.register(i)
	}
	for _, h := range s.hosts {
		_ = h.Signal(syscall.SIGCONT) // fails if the process has exited
	}
}

// settings returns the settings of host i for its first start.
func (s *soak) settings(i int, front netip.AddrPort) map[string]any {
	site := soakSite(i)
	m := map[string]any{
		"host": fmt.Sprintf("host-%d-%s", i, s.name), "site": site, "region": site[:1], "sites": map[string]string{"a1": "a", "b1": "b"},
		"store": s.storeProxies[i].Addr().String(), "front": front.String(), "first": true, "revoke": soakRevoke.String(), "grace": "6s", "retries": soakBurst, "ratio": soakRatio,
		"memory": soakMemoryMB, "files": soakFiles,
	}
	for _, name := range []string{"ready", "lookup", "peer", "metrics"} {
		m[name] = local.Addr(s.t).String()
	}
	return m
}

// writeSettings writes the settings of a host to a file.
func writeSettings(t *testing.T, path string, settings map[string]any) {
	t.Helper()
	b, err := json.Marshal(settings) // JSON is valid YAML
	if err == nil {
		err = os.WriteFile(path, b, 0o600)
	}
	if err != nil {
		t.Errorf("write settings: %v", err)
	}
}

// restart ends host i with a signal and starts it again without the setting "first",
// which is for the first start of the whole system.
func (s *soak) restart(i int, sig syscall.Signal) {
	s.configs[i]["first"] = false
	writeSettings(s.t, s.settingsPath(i), s.configs[i])
	s.hosts[i].Restart(sig)
}

// settingsPath returns the path of the settings file of host i.
func (s *soak) settingsPath(i int) string {
	return filepath.Join(s.dir, fmt.Sprintf("host-%d.yaml", i))
}
