package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/platform/plattest"
)

// cleaner is the part of testing.TB that the store's stand-in needs outside of tests.
type cleaner struct{ testing.TB }

func (cleaner) Helper() {}

// Cleanup does nothing: the stand-in ends with this process.
func (cleaner) Cleanup(func()) {}

// zone is a data centre and its region.
type zone struct{ name, region string }

// host is one process of the daemon.
type host struct {
	name     string
	zone     zone
	front    netip.AddrPort
	lookup   netip.AddrPort
	ready    netip.AddrPort
	settings string // path of the settings file
	fields   map[string]any
	log      *os.File
	cmd      *exec.Cmd
}

// deployment is a small system: the store's stand-in and the hosts.
type deployment struct {
	dir   string // temporary, for settings and logs
	store *plattest.Store
	zones []zone
	hosts []*host
}

// newDeployment starts the store's stand-in. Hosts are added with addHost.
func newDeployment(zones ...zone) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, fmt.Errorf("make temporary folder: %w", err)
	}
	d := &deployment{dir: dir, store: plattest.NewStore(cleaner{}), zones: zones}
	d.closeOnSignal()
	return d, nil
}

// closeOnSignal ends all processes if this one is told to stop.
func (d *deployment) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		d.close()
		os.Exit(exitFailed)
	}()
}

// Ports are taken from below those that the kernel gives to outgoing connections.
const (
	firstPort = 15000
	numPorts  = 15000
)

// givenPorts are the ports that freeAddr has returned.
var givenPorts sync.Map

// freeAddr returns a loopback address that is free for TCP and UDP.
func freeAddr() (netip.AddrPort, error) {
	for range 200 {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(firstPort+rand.IntN(numPorts)))
		l, err := net.Listen("tcp4", addr.String())
		if err != nil {
			continue
		}
		u, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
		_ = l.Close() // the port is only looked for
		if err == nil {
			_ = u.Close() // the same
			if _, given := givenPorts.LoadOrStore(addr.Port(), true); !given {
				return addr, nil
			}
		}
	}
	return netip.AddrPort{}, errors.New("no free port found")
}

// addHost writes the settings of a host of a zone. The fields in change replace those of a
// small deployment.
func (d *deployment) addHost(z zone, change map[string]any) (*host, error) {
	var addrs [5]netip.AddrPort
	for i := range addrs {
		var err error
		if addrs[i], err = freeAddr(); err != nil {
			return nil, err
		}
	}
	h := &host{name: fmt.Sprintf("h%d", len(d.hosts)+1), zone: z, front: addrs[0], ready: addrs[1], lookup: addrs[2]}
	sites := make(map[string]string)
	for _, z := range d.zones {
		sites[z.name] = z.region
	}
	var seeds []string
	for _, other := range d.hosts {
		seeds = append(seeds, other.fields["peer"].(string))
	}
	h.fields = map[string]any{
		"host": h.name, "site": z.name, "region": z.region, "sites": sites,
		"front": addrs[0].String(), "ready": addrs[1].String(), "lookup": addrs[2].String(), "peer": addrs[3].String(), "metrics": addrs[4].String(),
		"seeds": append(seeds, addrs[3].String()), "store": d.store.Addr().String(), "first": true,
		"revoke": "5000ms", "grace": "8s", "retries": 54, "ratio": 0.2, "cores": 0.4, "memory": 284, "files": 4100,
	}
	for name, v := range change {
		h.fields[name] = v
	}
	h.settings = filepath.Join(d.dir, h.name+".yaml")
	if err := h.writeSettings(); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(d.dir, h.name+".log"))
	if err != nil {
		return nil, fmt.Errorf("create log of %s: %w", h.name, err)
	}
	h.log = log
	d.hosts = append(d.hosts, h)
	return h, nil
}

func (h *host) writeSettings() error {
	b, err := json.Marshal(h.fields)
	if err != nil {
		return fmt.Errorf("encode settings of %s: %w", h.name, err)
	}
	return os.WriteFile(h.settings, b, 0o600)
}

// start starts the process with the command of the deploy file.
func (h *host) start() error {
	h.cmd = exec.Command("target/yuccalbe")
	h.cmd.Env = []string{"YUCCALB_NODE_FILE=" + h.settings, "PATH=" + os.Getenv("PATH")}
	h.cmd.Stdout = h.log
	h.cmd.Stderr = h.log
	if err := h.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", h.name, err)
	}
	return nil
}

// signal sends a signal to the process.
func (h *host) signal(s syscall.Signal) error { return h.cmd.Process.Signal(s) }

// kill ends the process at once and waits for its end.
func (h *host) kill() {
	if h.cmd == nil {
		return
	}
	_ = h.cmd.Process.Kill() // it may have ended
	_ = h.cmd.Wait()         // it was killed
	h.cmd = nil
}

// isReady reports whether the host says that it serves.
func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + h.ready.String() + "/-/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close() // only the status counts
	return resp.StatusCode == http.StatusOK
}

// startAll starts all hosts and waits until they serve.
func (d *deployment) startAll() error {
	for _, h := range d.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	if err := d.awaitReady(20*time.Second, d.hosts...); err != nil {
		return err
	}
	for _, h := range d.hosts { // later starts are not first ones
		h.fields["first"] = false
		if err := h.writeSettings(); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until the hosts serve.
func (d *deployment) awaitReady(timeout time.Duration, hosts ...*host) error {
	end := time.Now().Add(timeout)
	for _, h := range hosts {
		for !h.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("host %s is not ready", h.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// close ends all processes and removes the temporary folder.
func (d *deployment) close() {
	for _, h := range d.hosts {
		h.kill()
		_ = h.log.Close() // nothing is written any more
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir) // a temporary folder
	}
}
