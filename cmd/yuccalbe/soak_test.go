package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/fake/origin"
	"github.com/yuccalb/yuccalb/internal/fake/port"
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
)

// TestSoak runs the daemon as separate processes, injects faults from outside
// them, and checks from what callers and servers see that the promises hold:
// what may run once runs at most once, what is reported as not run has not, a
// complete response is that of its own request, no key reaches a server, and a
// withdrawn key stops working.
func TestSoak(t *testing.T) {
	bin := filepath.Join(t.TempDir(), "yuccalbe")
	if out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
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
	hosts   []*process
	servers []*origin.Server
	faulty  []*fault
	// proxies stand before servers, before the store for each host, and
	// before each host for its callers.
	proxies  []*proxy.Proxy
	toServer []*proxy.Proxy
	toStore  []*proxy.Proxy
	toHost   []*proxy.Proxy

	mu        sync.Mutex
	runs      map[string]int    // by identifier
	sent      map[string]string // method and path of each request, by identifier
	notRun    map[string]bool
	withdrawn map[string]time.Time // when a key was withdrawn
	key       int
	served    int
}

// fault is what a server does to its requests.
type fault struct {
	mu   sync.Mutex
	kind int
}

func (f *fault) set(kind int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.kind = kind
}

func (f *fault) get() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.kind
}

// Faults of servers.
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
		name: fmt.Sprintf("%d-%d", os.Getpid(), seed), t: t, rng: rand.New(rand.NewPCG(seed, seed)), store: plattest.NewStore(), runs: make(map[string]int),
		sent: make(map[string]string), notRun: make(map[string]bool), withdrawn: make(map[string]time.Time),
	}
	t.Cleanup(s.store.Close)
	s.configure()
	for i := range soakServers {
		f := &fault{}
		srv := origin.New(s.addr(), s.script(f, s.serverID(i)))
		t.Cleanup(srv.Close)
		s.servers = append(s.servers, srv)
		s.faulty = append(s.faulty, f)
		s.toServer = append(s.toServer, s.proxy(srv.Addr()))
		s.register(i)
	}
	for i := range soakHosts {
		s.toStore = append(s.toStore, s.proxy(s.store.Addr()))
		p := &process{bin: bin, settings: s.settings(i), log: s.logFile(i)}
		s.toHost = append(s.toHost, s.proxy(netip.MustParseAddrPort(p.settings["front"].(string))))
		t.Cleanup(p.kill)
		s.hosts = append(s.hosts, p)
		if err := p.start(); err != nil {
			t.Fatal(err)
		}
	}
	return s
}

// logFile returns the file for the output of a host. It is kept when the run
// fails.
func (s *soak) logFile(host int) *os.File {
	f, err := os.CreateTemp("", fmt.Sprintf("soak-%s-host-%d-*.log", s.name, host))
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() {
		_ = f.Close() // the processes have ended
		if s.t.Failed() {
			s.t.Logf("log of host %d: %s", host, f.Name())
			return
		}
		_ = os.Remove(f.Name()) // a file that is left does no harm
	})
	return f
}

// proxy starts a proxy before target.
func (s *soak) proxy(target netip.AddrPort) *proxy.Proxy {
	p, err := proxy.New(s.addr(), target)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(p.Close)
	s.proxies = append(s.proxies, p)
	return p
}

func soakSite(i int) string { return [2]string{"a1", "b1"}[i%2] }

func (s *soak) serverID(i int) string { return fmt.Sprintf("s%d-%s", i, s.name) }

func (s *soak) register(i int) {
	s.store.PutServer(s.serverID(i), "desk", soakSite(i), s.toServer[i].Addr(), "ready")
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
	s.store.PutConfig(plattest.Config{
		Version: s.key, Keys: []string{fmt.Sprint("key-", s.key)}, Org: "workshop", Rate: 1e9, Burst: 1e9, Services: []string{"desk"},
		Routes: []plattest.Route{
			{Prefix: "/safe/", Service: "desk", Kind: "safe", Attempts: 2, TimeoutMS: 2000},
			{Prefix: "/order/", Service: "desk", Kind: "unsafe", TimeoutMS: 2000},
			{Prefix: "/chat/", Service: "desk", Kind: "stream", TimeoutMS: 3000},
			{Prefix: "/ask/", Service: "desk", Kind: "stream", Resumable: true, Attempts: 3, TimeoutMS: 3000},
		},
	})
	s.withdrawn[old] = time.Now()
}

// script answers requests and counts those that ran.
func (s *soak) script(f *fault, server string) origin.Script {
	return func(x *origin.Exchange) bool {
		kind := f.get()
		if x.Header.Get(platform.HeaderServer) != server {
			return x.Send("HTTP/1.1 421 X\r\n" + platform.HeaderID + ": " + x.ID() + "\r\nContent-Length: 0\r\n\r\n")
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
			x.Send("HTTP/1.1 200 OK\r\n" + platform.HeaderID + ": " + x.ID() + "\r\n" + platform.HeaderSeal + ": s\r\nContent-Length: 99\r\n\r\n" + x.ID())
			return false
		case doubles:
			x.Reply(http.StatusOK, x.ID())
		}
		return x.Reply(http.StatusOK, x.ID())
	}
}

// stream sends the events that follow the last one of an earlier attempt, and
// breaks off in their midst while there is a fault.
func stream(x *origin.Exchange, kind int) bool {
	last, err := strconv.Atoi(x.Header.Get(platform.HeaderResume))
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
	var b strings.Builder
	for i := range soakEvents {
		b.WriteString(origin.Event(i + 1))
	}
	return b.String()
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
	s.t.Logf("%d requests served", s.served)
}

// waitServed waits until each host serves.
func (s *soak) waitServed() {
	s.t.Helper()
	for i := range s.hosts {
		for end := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
			var l line
			status, _, _ := s.request(&l, i, "GET", "/safe/x", fmt.Sprintf("%s-wait-%d-%d", s.name, i, time.Now().UnixNano()), s.currentKey())
			l.close()
			if status == http.StatusOK {
				break
			}
			if time.Now().After(end) {
				s.t.Fatalf("host %d does not serve: status %d, %s", i, status, s.hosts[i].state())
			}
		}
	}
}

// call sends requests, sometimes with a key that was withdrawn.
func (s *soak) call(caller int, rng *rand.Rand, stop <-chan struct{}) {
	kinds := []string{"GET /safe/", "POST /order/", "POST /chat/", "POST /ask/"}
	lines := make([]line, len(s.hosts))
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		method, path, _ := strings.Cut(kinds[rng.IntN(len(kinds))], " ")
		id := fmt.Sprintf("%s-c%d-%d", s.name, caller, n)
		key := s.currentKey()
		if rng.IntN(5) == 0 {
			key = "key-1"
		}
		began := time.Now()
		host := rng.IntN(len(s.hosts))
		status, body, err := s.request(&lines[host], host, method, path+id, id, key)
		s.check(id, path, key, began, status, body, err)
	}
}

// line is a caller's connection to a host, kept until it ends.
type line struct {
	conn net.Conn
	br   *bufio.Reader
}

func (l *line) close() {
	if l.conn != nil {
		_ = l.conn.Close() // nothing more is expected of it
		l.conn = nil
	}
}

// request sends one request to a host on a line, which is opened if need be.
func (s *soak) request(l *line, host int, method, path, id, key string) (int, string, error) {
	s.mu.Lock()
	s.sent[id] = method + " " + path
	s.mu.Unlock()
	if l.conn == nil {
		conn, err := net.DialTimeout("tcp4", s.toHost[host].Addr().String(), time.Second)
		if err != nil {
			return 0, "", err
		}
		l.conn = conn
		l.br = bufio.NewReader(conn)
	}
	_ = l.conn.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprintf(l.conn, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n%s: 3000\r\nContent-Length: 0\r\n\r\n",
		method, path, plattest.Host, platform.HeaderID, id, platform.HeaderKey, key, platform.HeaderDeadline)
	resp, err := http.ReadResponse(l.br, &http.Request{Method: method})
	if err != nil {
		l.close()
		return 0, "", err
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.Close {
		l.close()
	}
	return resp.StatusCode, string(body), err
}

// check compares an answer with what may be answered.
func (s *soak) check(id, path, key string, began time.Time, status int, body string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		return
	}
	switch status {
	case http.StatusOK:
		s.served++
		if want := whole(path, id); body != want {
			s.t.Errorf("request %s got %q, want %q", id, body, want)
		}
		if at, gone := s.withdrawn[key]; gone && began.Sub(at) > soakRevoke+slack {
			s.t.Errorf("request %s was served %v after its key %s was withdrawn", id, began.Sub(at), key)
		}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		s.notRun[id] = true
		if s.runs[id] > 0 {
			s.t.Errorf("request %s got %d although it has run", id, status)
		}
	case http.StatusNotFound:
		s.t.Errorf("request %s got 404 on a route that always was there", id)
	}
}

// inject brings about one fault.
func (s *soak) inject() {
	h := s.hosts[s.rng.IntN(len(s.hosts))]
	i := s.rng.IntN(soakServers)
	switch s.rng.IntN(12) {
	case 0:
		h.signal(syscall.SIGSTOP)
	case 1:
		h.signal(syscall.SIGCONT)
	case 2:
		h.restart(syscall.SIGKILL)
	case 3:
		h.restart(syscall.SIGTERM)
	case 4:
		h.signal(syscall.SIGHUP)
	case 5:
		s.faulty[i].set(s.rng.IntN(faults))
	case 6:
		s.store.Break([]plattest.Fault{
			nil, func(*http.Request) int { return plattest.Silent }, func(*http.Request) int { return http.StatusServiceUnavailable },
			func(*http.Request) int { time.Sleep(300 * time.Millisecond); return 0 },
		}[s.rng.IntN(4)])
	case 7:
		s.configure()
	case 8:
		s.store.RemoveServer(s.serverID(i))
		time.AfterFunc(time.Second, func() { s.register(i) })
	default:
		// Faults of connections are more frequent, and several last at once.
		s.proxies[s.rng.IntN(len(s.proxies))].Set([]proxy.Fault{
			{}, {}, {Delay: 200 * time.Millisecond}, {Reset: true}, {HoldForth: true}, {HoldBack: true}, {HoldForth: true, HoldBack: true},
		}[s.rng.IntN(7)])
	}
}

// heal ends all faults.
func (s *soak) heal() {
	s.store.Break(nil)
	for _, p := range s.proxies {
		p.Set(proxy.Fault{})
	}
	for i, f := range s.faulty {
		f.set(healthy)
		s.register(i)
	}
	for _, h := range s.hosts {
		h.signal(syscall.SIGCONT)
	}
}

// settings returns those of host i, in the form of its file.
func (s *soak) settings(i int) map[string]any {
	site := soakSite(i)
	m := map[string]any{
		"host": fmt.Sprintf("host-%d-%s", i, s.name), "site": site, "region": site[:1], "sites": map[string]string{"a1": "a", "b1": "b"},
		"store": s.toStore[i].Addr().String(), "first": true, "revoke": soakRevoke.String(), "grace": "6s", "retries": 50,
	}
	for _, name := range []string{"front", "ready", "lookup", "peer", "metrics"} {
		m[name] = s.addr().String()
	}
	return m
}

// addr returns an address of the soak's own.
func (s *soak) addr() netip.AddrPort {
	s.t.Helper()
	addr, err := port.Own()
	if err != nil {
		s.t.Fatal(err)
	}
	return addr
}

// process is one daemon, which is started again when it ends.
type process struct {
	bin      string
	settings map[string]any

	mu    sync.Mutex
	cmd   *exec.Cmd
	over  bool
	ended chan struct{}
	// restarting is set while the end of the process is awaited, so that it is
	// started once however often it is told to end.
	restarting bool
	log        *os.File // its output
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.over {
		return nil
	}
	b, err := json.Marshal(p.settings) // JSON is YAML as well
	if err != nil {
		return err
	}
	f, err := os.CreateTemp("", "soak-*.yaml")
	if err != nil {
		return err
	}
	if _, err := f.Write(b); err != nil {
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	cmd := exec.Command(p.bin, f.Name())
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.cmd = cmd
	p.ended = ended
	go func() {
		_ = cmd.Wait() // it was told to end
		_ = os.Remove(f.Name())
		close(ended)
	}()
	return nil
}

// state tells whether the process runs, and the end of its log.
func (p *process) state() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := "running"
	select {
	case <-p.ended:
		state = "ended: " + p.cmd.ProcessState.String()
	default:
	}
	b, err := os.ReadFile(p.log.Name())
	if err != nil {
		return fmt.Sprintf("%s, log: %v", state, err)
	}
	return fmt.Sprintf("%s, end of the log:\n%s", state, b[max(0, len(b)-4000):])
}

func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(sig) // it may have ended
}

// restart ends the process and starts it again, while the soak goes on.
func (p *process) restart(sig syscall.Signal) {
	p.signal(syscall.SIGCONT)
	p.signal(sig)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.restarting {
		return
	}
	p.restarting = true
	p.settings["first"] = false
	ended := p.ended
	go func() {
		<-ended
		p.mu.Lock()
		p.restarting = false
		p.mu.Unlock()
		_ = p.start() // the final check finds a host that does not serve
	}()
}

// kill ends the process for good and waits for it.
func (p *process) kill() {
	p.mu.Lock()
	p.over = true
	ended := p.ended
	_ = p.cmd.Process.Kill() // it may have ended
	p.mu.Unlock()
	<-ended
}
