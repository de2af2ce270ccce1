package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world is one run of a case: the store, the processes and the record.
type world struct {
	// trouble is unset if the disruption is left out.
	trouble bool
	store   *store
	dir     string // of settings files and logs
	started time.Time

	mu     sync.Mutex
	record *os.File
	procs  []*process
	// lines are those that workers have written.
	lines []workerLine
}

// workerLine is a line that a worker has written, with the time of its arrival.
type workerLine struct {
	at   time.Time
	text string
}

// newWorld starts a store. The record is written to a folder.
func newWorld(folder string) (*world, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s, err := newStore()
	if err != nil {
		return nil, err
	}
	return &world{trouble: os.Getenv("TROUBLE") != "0", store: s, dir: dir, started: time.Now(), record: record}, nil
}

// logf writes a line of the record.
func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%7.3f %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...)) // the result does not depend on it
}

// close ends all processes.
func (w *world) close() {
	w.mu.Lock()
	procs := w.procs
	w.mu.Unlock()
	for _, p := range procs {
		p.kill()
	}
	_ = os.RemoveAll(w.dir) // a leftover folder is harmless
	_ = w.record.Close()    // nothing follows
}

// process is a process that the case has started.
type process struct {
	name  string
	cmd   *exec.Cmd
	stdin io.WriteCloser
	ended chan struct{}
}

// start starts a process with additional variables of the environment, whose output goes to output.
func (w *world) start(name string, output func(line string), env []string, path string, args ...string) (*process, error) {
	p := &process{name: name, cmd: exec.Command(path, args...), ended: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), env...)
	stdin, err := p.cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	p.stdin = stdin
	r, out, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	_ = out.Close() // the process has its own
	go func() {
		in := bufio.NewScanner(r)
		in.Buffer(nil, 1<<20)
		for in.Scan() {
			output(in.Text())
		}
	}()
	go func() {
		_ = p.cmd.Wait() // most are killed
		close(p.ended)
	}()
	w.mu.Lock()
	w.procs = append(w.procs, p)
	w.mu.Unlock()
	return p, nil
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) } // it may have ended

// kill kills the process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// tell writes a line to the standard input of the process.
func (p *process) tell(line string) { _, _ = io.WriteString(p.stdin, line+"\n") } // it may have ended

// startWorker starts a backend server. Without an address it listens on a free port.
func (w *world) startWorker(id, addr string, more ...string) (*process, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	if addr == "" {
		if addr, err = freeAddr(); err != nil {
			return nil, err
		}
	}
	listens := make(chan struct{})
	var once sync.Once
	args := append([]string{"worker", "-id", id, "-addr", addr, "-store", w.store.trusted}, more...)
	p, err := w.start(id, func(line string) {
		w.mu.Lock()
		w.lines = append(w.lines, workerLine{time.Now(), line})
		w.mu.Unlock()
		w.logf("worker %s", line)
		if strings.Contains(line, " listens ") {
			once.Do(func() { close(listens) })
		}
	}, nil, self, args...)
	if err != nil {
		return nil, err
	}
	select {
	case <-listens:
		return p, nil
	case <-time.After(5 * time.Second):
		return nil, fmt.Errorf("worker %s does not listen", id)
	}
}

// workerLines returns the lines that workers have written so far.
func (w *world) workerLines() []workerLine {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]workerLine(nil), w.lines...)
}

// host is a daemon of the project.
type host struct {
	*process
	front, ready string
	settings     string
}

// hostOptions are the settings of a host that differ between cases.
type hostOptions struct {
	name, site, region string
	sites              map[string]string
	first              bool
	store, peer        string // chosen unless set
}

// newHost writes the settings of a host, which are those of a small deployment.
func (w *world) newHost(o hostOptions) (*host, error) {
	addrs := make(map[string]string)
	for _, name := range []string{"front", "ready", "lookup", "peer", "metrics"} {
		addr, err := freeAddr()
		if err != nil {
			return nil, err
		}
		addrs[name] = addr
	}
	if o.store == "" {
		o.store = w.store.addr
	}
	if o.peer != "" {
		addrs["peer"] = o.peer
	}
	settings := map[string]any{
		"host": o.name, "site": o.site, "region": o.region, "sites": o.sites, "front": addrs["front"], "ready": addrs["ready"],
		"lookup": addrs["lookup"], "peer": addrs["peer"], "metrics": addrs["metrics"], "seeds": []string{addrs["peer"]}, "store": o.store,
		"first": o.first, "revoke": "5000ms", "grace": "8s", "retries": 54, "ratio": 0.2, "cores": 0.4, "memory": 284, "files": 4100,
	}
	b, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, err
	}
	h := &host{front: addrs["front"], ready: addrs["ready"], settings: filepath.Join(w.dir, o.name+".json")}
	return h, os.WriteFile(h.settings, b, 0o600)
}

// startHost starts the daemon of a host and waits until it is ready.
func (w *world) startHost(h *host) error {
	log, err := os.OpenFile(h.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	name := strings.TrimSuffix(filepath.Base(h.settings), ".json")
	h.process, err = w.start(name, func(line string) {
		_, _ = fmt.Fprintln(log, line) // for a look by hand
		if os.Getenv("HOST_LOG") != "" {
			w.logf("log of %s %s", name, line)
		}
	}, []string{"YUCCALB_NODE_FILE=" + h.settings}, filepath.Join("target", "yuccalbe"))
	if err != nil {
		return err
	}
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + h.ready + "/-/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close() // nothing is read of it
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New("host is not ready after 10 s")
}

// Ports of processes that the case starts. They lie below those that the kernel gives to outgoing
// connections, which could take one before its process listens.
const (
	firstPort = 12_000
	ports     = 18_000
)

// given holds the addresses that freeAddr has returned.
var given sync.Map

// freeAddr returns a loopback address on which nothing listens, each once.
func freeAddr() (string, error) {
	for range 100 {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(ports))
		if _, again := given.LoadOrStore(addr, true); again {
			continue
		}
		l, err := net.Listen("tcp4", addr)
		if err != nil {
			continue
		}
		_ = l.Close() // it was only used to find a port
		if p, err := net.ListenPacket("udp4", addr); err == nil {
			_ = p.Close() // the same
			return addr, nil
		}
	}
	return "", errors.New("no free port")
}

// route is a route of a configuration.
type route struct {
	Name      string   `json:"name"`
	Host      string   `json:"host"`
	Prefix    string   `json:"prefix"`
	Kind      string   `json:"kind"`
	Service   string   `json:"service"`
	Timeout   int      `json:"timeout_ms"`
	Goal      int      `json:"goal_ms"`
	Attempts  int      `json:"attempts"`
	Priority  int      `json:"priority"`
	Resumable bool     `json:"can_resume"`
	Public    bool     `json:"public"`
	Homes     []string `json:"home_regions"`
}

// hostName is the host name of all routes.
const hostName = "shop.example"

// config returns the value of a configuration whose services are those without a rate for cold servers, as
// the order and stock counter of the site has. The tenants may be nil.
func config(version int, services []string, routes []route, tenants []map[string]any) map[string]any {
	var list []map[string]any
	for _, name := range services {
		list = append(list, map[string]any{"name": name, "health_path": "/healthz", "max_conns": 100, "warmup_per_s": 0})
	}
	cfg := map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
	if tenants != nil {
		cfg["tenants"] = tenants
	}
	return cfg
}
