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
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/fake/await"
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
)

const (
	soakHosts   = 4
	soakEvents  = 5 // of a resumable stream
	soakServers = 4
	soakCallers = 8
	soakRevoke  = 3 * time.Second
	// slack is added to bounds in time for a busy machine.
	slack = time.Second
	// maxCopyAge is the greatest age of a copy that the store goes back to, and
	// rewriteTime that within which what was lost is written again.
	maxCopyAge  = 4 * time.Second
	rewriteTime = time.Second
	// servedWait bounds the wait until a host serves, answerWait that for an
	// answer.
	servedWait = 20 * time.Second
	answerWait = 5 * time.Second
)

// TestSoak runs the daemon as separate processes, injects faults from outside
// them, and checks from what callers and servers see that the promises hold:
// what may run once runs at most once, what is reported as not run has not, a
// complete response is that of its own request, no key reaches a server, and a
// withdrawn key stops working.
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

// soak is one run. Its name is part of all identifiers, so that runs that
// follow each other on the same ports, or stand side by side, are told apart.
type soak struct {
	name    string
	t       *testing.T
	rng     *rand.Rand
	store   *plattest.Store
	dir     string           // of the settings
	configs []map[string]any // settings of the hosts
	hosts   []*proc.Process
	faults  []*atomic.Int32 // of the servers
	// proxies stand before servers, before the store for each host, and
	// before each host for its callers.
	proxies  []*proxy.Proxy
	toServer []*proxy.Proxy
	toStore  []*proxy.Proxy
	toHost   []*proxy.Proxy

	// beats counts the heartbeats of all servers.
	beats atomic.Int64
	// copied is what the store may go back to, taken at copiedAt.
	copied   *plattest.Copy
	copiedAt time.Time
	restores int

	mu        sync.Mutex
	runs      map[string]int    // by identifier
	sent      map[string]string // method and path of each request, by identifier
	notRun    map[string]bool
	withdrawn map[string]time.Time // when a key was withdrawn
	key       int
	served    int
}

// What a server does to its requests.
const (
	healthy = iota
	resets
	refuses
	tears
	doubles
	faults
)

func newSoak(t *testing.T, bin string, seed uint64) *soak {
	s := &soak{
		name: fmt.Sprintf("%d-%d", os.Getpid(), seed), t: t, dir: t.TempDir(), rng: rand.New(rand.NewPCG(seed, seed)), store: plattest.NewStore(t), runs: make(map[string]int),
		sent: make(map[string]string), notRun: make(map[string]bool), withdrawn: make(map[string]time.Time),
	}
	s.configure()
	for i := range soakServers {
		f := &atomic.Int32{}
		srv := origin.New(t, s.script(f, s.serverID(i)))
		s.faults = append(s.faults, f)
		s.toServer = append(s.toServer, s.proxy(srv.Addr()))
		s.register(i)
	}
	for i := range soakHosts {
		s.toStore = append(s.toStore, s.proxy(s.store.Addr()))
		front := local.Addr(s.t)
		s.toHost = append(s.toHost, s.proxy(front))
		s.configs = append(s.configs, s.settings(i, front))
		s.write(s.path(i), s.configs[i])
		p := proc.New(t, bin, s.path(i))
		s.hosts = append(s.hosts, p)
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
	}
	return s
}

// proxy starts a proxy before target.
func (s *soak) proxy(target netip.AddrPort) *proxy.Proxy {
	p := proxy.New(s.t, target)
	s.proxies = append(s.proxies, p)
	return p
}

func soakSite(i int) string { return [2]string{"a1", "b1"}[i%2] }

func (s *soak) serverID(i int) string { return fmt.Sprintf("s%d-%s", i, s.name) }

func (s *soak) register(i int) {
	s.store.PutHeartbeat(s.serverID(i), "desk", soakSite(i), s.toServer[i].Addr(), "ready", s.beats.Add(1))
}

// currentKey is the key that is in force.
func (s *soak) currentKey() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprint("key-", s.key)
}

// configure puts a version with a new key in force.
func (s *soak) configure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := fmt.Sprint("key-", s.key)
	s.key++
	s.putConfig()
	s.withdrawn[old] = time.Now()
}

// putConfig writes the version in force.
func (s *soak) putConfig() {
	s.store.PutConfig(plattest.Config{
		Version: s.key, Keys: []string{fmt.Sprint("key-", s.key)}, Org: "workshop", Rate: 1e9, Burst: 1e9, Services: []string{"desk"},
		Routes: []plattest.Route{
			{Prefix: "/safe/", Service: "desk", Kind: "safe", Attempts: 2, TimeoutMS: 2000},
			{Prefix: "/order/", Service: "desk", Kind: "unsafe", TimeoutMS: 2000},
			{Prefix: "/chat/", Service: "desk", Kind: "stream", TimeoutMS: 3000},
			{Prefix: "/ask/", Service: "desk", Kind: "stream", Resumable: true, Attempts: 3, TimeoutMS: 3000},
		},
	})
}

// restore lets the store go back to its last copy. The operator and the servers
// write again what they wrote.
func (s *soak) restore() {
	if s.copied == nil || time.Since(s.copiedAt) > maxCopyAge {
		return
	}
	s.restores++
	s.store.Restore(s.copied)
	s.copied = nil
	time.AfterFunc(s.within(rewriteTime), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.putConfig()
	})
	for i := range soakServers {
		time.AfterFunc(s.within(rewriteTime), func() { s.register(i) })
	}
}

// within returns a random time below d.
func (s *soak) within(d time.Duration) time.Duration { return time.Duration(s.rng.Int64N(int64(d))) }

// script answers requests and counts those that ran.
func (s *soak) script(f *atomic.Int32, server string) origin.Script {
	return func(x *origin.Exchange) bool {
		kind := f.Load()
		if x.Header.Get(platform.HeaderExpectInstance) != server {
			return x.Misdirect()
		}
		if strings.Contains(x.Raw, "key-") {
			s.t.Errorf("a key reached a server:\n%s", x.Raw)
		}
		if kind == refuses {
			return x.Refuse()
		}
		s.ran(x)
		if strings.HasPrefix(x.URL.Path, "/ask/") {
			return stream(x, kind)
		}
		switch kind {
		case resets:
			return x.Reset()
		case tears:
			x.Send("HTTP/1.1 200 OK\r\n" + platform.HeaderAttemptID + ": " + x.ID() + "\r\n" + platform.HeaderSignature + ": s\r\nContent-Length: 99\r\n\r\n" + x.ID())
			return false
		case doubles:
			x.Reply(http.StatusOK, x.ID())
		}
		return x.Reply(http.StatusOK, x.ID())
	}
}

// stream sends the events that follow the last one of an earlier attempt, and
// breaks off in their midst while there is a fault.
func stream(x *origin.Exchange, kind int32) bool {
	last, err := strconv.Atoi(x.Header.Get(platform.HeaderLastEventID))
	if err != nil {
		last = 0 // the first attempt states none
	}
	x.StartStream()
	for id := last + 1; id <= soakEvents; id++ {
		if kind != healthy && id == last+3 {
			return x.Reset()
		}
		x.Chunk(origin.Event(id))
		time.Sleep(5 * time.Millisecond)
	}
	return x.EndStream()
}

// whole returns the body of a complete response.
func whole(path, id string) string {
	if !strings.HasPrefix(path, "/ask/") {
		return id
	}
	return origin.Events(1, soakEvents)
}

// repeatable reports whether a request may run more than once.
func repeatable(path string) bool {
	return strings.HasPrefix(path, "/safe/") || strings.HasPrefix(path, "/ask/")
}

// ran checks a request that a server runs.
func (s *soak) ran(x *origin.Exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := x.ID()
	s.runs[id]++
	switch want := s.sent[id]; {
	case want != x.Method+" "+x.URL.Path:
		s.t.Errorf("a server runs %s %s of request %s, which is %q", x.Method, x.URL.Path, id, want)
	case s.notRun[id]:
		s.t.Errorf("request %s runs after it was reported as not run", id)
	case s.runs[id] > 1 && !repeatable(x.URL.Path):
		s.t.Errorf("request %s (%s) runs %d times", id, x.URL.Path, s.runs[id])
	}
}

func (s *soak) run() {
	s.waitServed()
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i := range soakCallers {
		rng := rand.New(rand.NewPCG(s.rng.Uint64(), uint64(i)))
		callers.Go(func() { s.call(i, rng, stop) })
	}
	for end := time.Now().Add(*soakTime); time.Now().Before(end); {
		s.inject()
		time.Sleep(time.Duration(100+s.rng.IntN(500)) * time.Millisecond)
	}
	s.heal()
	close(stop)
	callers.Wait()
	s.waitServed()
	s.t.Logf("%d requests served, %d restores of the store", s.served, s.restores)
}

// waitServed waits until each host serves.
func (s *soak) waitServed() {
	s.t.Helper()
	for i := range s.hosts {
		await.For(s.t, servedWait, fmt.Sprintf("host %d serves", i), func() error {
			var l *line.Line
			id := fmt.Sprintf("%s-wait-%d-%d", s.name, i, time.Now().UnixNano())
			a := s.request(&l, i, line.Get("/safe/x"), id, s.currentKey())
			closeLine(&l)
			if a.Err != nil || a.Status != http.StatusOK {
				return fmt.Errorf("status %d, error %w", a.Status, a.Err)
			}
			return nil
		})
	}
}

// call sends requests, sometimes with a key that was withdrawn.
func (s *soak) call(caller int, rng *rand.Rand, stop <-chan struct{}) {
	kinds := []line.Call{line.Get("/safe/"), line.Post("/order/", ""), line.Post("/chat/", ""), line.Post("/ask/", "")}
	lines := make([]*line.Line, len(s.hosts))
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		c := kinds[rng.IntN(len(kinds))]
		id := fmt.Sprintf("%s-c%d-%d", s.name, caller, n)
		key := s.currentKey()
		if rng.IntN(5) == 0 {
			key = "key-1"
		}
		began := time.Now()
		host := rng.IntN(len(s.hosts))
		c.Path += id
		a := s.request(&lines[host], host, c, id, key)
		s.check(id, c.Path, key, began, a)
	}
}

// request sends one request to a host on a line, which is opened if need be and
// kept until it ends.
func (s *soak) request(l **line.Line, host int, c line.Call, id, key string) line.Answer {
	s.mu.Lock()
	s.sent[id] = c.Method + " " + c.Path
	s.mu.Unlock()
	if *l == nil {
		var err error
		if *l, err = line.Dial(s.toHost[host].Addr()); err != nil {
			*l = nil
			return line.Answer{Err: err}
		}
	}
	_ = (*l).SetDeadline(time.Now().Add(answerWait)) // a closed line fails below
	a := (*l).Do(c.With(platform.HeaderAPIKey, key).With(platform.HeaderDeadline, "3000"), id)
	if a.Err != nil || a.Last {
		closeLine(l)
	}
	return a
}

// closeLine closes a line if it is open.
func closeLine(l **line.Line) {
	if *l != nil {
		_ = (*l).Close() // nothing more is expected of it
		*l = nil
	}
}

// check compares an answer with what may be answered.
func (s *soak) check(id, path, key string, began time.Time, a line.Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.Err != nil {
		return
	}
	switch a.Status {
	case http.StatusOK:
		s.served++
		if want := whole(path, id); a.Body != want {
			s.t.Errorf("request %s got %q, want %q", id, a.Body, want)
		}
		if at, gone := s.withdrawn[key]; gone && began.Sub(at) > soakRevoke+slack {
			s.t.Errorf("request %s was served %v after its key %s was withdrawn", id, began.Sub(at), key)
		}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		s.notRun[id] = true
		if s.runs[id] > 0 {
			s.t.Errorf("request %s got %d although it has run", id, a.Status)
		}
	case http.StatusNotFound:
		s.t.Errorf("request %s got 404 on a route that always was there", id)
	}
}

// inject brings about one fault.
func (s *soak) inject() {
	host := s.rng.IntN(len(s.hosts))
	h := s.hosts[host]
	i := s.rng.IntN(soakServers)
	if s.copied == nil || s.rng.IntN(4) == 0 {
		s.copied, s.copiedAt = s.store.Copy(), time.Now()
	}
	switch s.rng.IntN(14) {
	case 0:
		_ = h.Signal(syscall.SIGSTOP) // it may have ended, here and below
	case 1:
		_ = h.Signal(syscall.SIGCONT)
	case 2:
		s.restart(host, syscall.SIGKILL)
	case 3:
		s.restart(host, syscall.SIGTERM)
	case 4:
		_ = h.Signal(syscall.SIGHUP)
	case 5:
		s.faults[i].Store(s.rng.Int32N(faults))
	case 6:
		s.store.SetFault([]plattest.Fault{
			nil, func(*http.Request) int { return plattest.NoResponse }, func(*http.Request) int { return http.StatusServiceUnavailable },
			func(*http.Request) int { time.Sleep(300 * time.Millisecond); return 0 },
		}[s.rng.IntN(4)])
	case 7:
		s.configure()
	case 8:
		s.store.RemoveServer(s.serverID(i))
		time.AfterFunc(time.Second, func() { s.register(i) })
	case 9:
		s.restore()
	default:
		// Faults of connections are more frequent, and several last at once.
		s.proxies[s.rng.IntN(len(s.proxies))].Set([]proxy.Fault{
			{}, {}, {Delay: 200 * time.Millisecond}, {Reset: true}, {HoldForth: true}, {HoldBack: true}, {HoldForth: true, HoldBack: true},
		}[s.rng.IntN(7)])
	}
}

// heal ends all faults.
func (s *soak) heal() {
	s.store.SetFault(nil)
	for _, p := range s.proxies {
		p.Set(proxy.Fault{})
	}
	for i, f := range s.faults {
		f.Store(healthy)
		s.register(i)
	}
	for _, h := range s.hosts {
		_ = h.Signal(syscall.SIGCONT) // it may have ended
	}
}

// settings returns those of host i at its first start.
func (s *soak) settings(i int, front netip.AddrPort) map[string]any {
	site := soakSite(i)
	m := map[string]any{
		"host": fmt.Sprintf("host-%d-%s", i, s.name), "site": site, "region": site[:1], "sites": map[string]string{"a1": "a", "b1": "b"},
		"store": s.toStore[i].Addr().String(), "front": front.String(), "first": true, "revoke": soakRevoke.String(), "grace": "6s", "retries": 50,
	}
	for _, name := range []string{"ready", "lookup", "peer", "metrics"} {
		m[name] = local.Addr(s.t).String()
	}
	return m
}

// write writes settings to a file.
func (s *soak) write(path string, settings map[string]any) {
	b, err := json.Marshal(settings) // JSON is YAML as well
	if err == nil {
		err = os.WriteFile(path, b, 0o600)
	}
	if err != nil {
		s.t.Errorf("settings: %v", err)
	}
}

// restart ends host i with a signal and lets it start again, as one that is not
// the first of its system.
func (s *soak) restart(i int, sig syscall.Signal) {
	s.configs[i]["first"] = false
	s.write(s.path(i), s.configs[i])
	s.hosts[i].Restart(sig)
}

// path returns that of the settings of host i.
func (s *soak) path(i int) string { return filepath.Join(s.dir, fmt.Sprintf("host-%d.yaml", i)) }
