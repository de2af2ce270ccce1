package cmds

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/adapt/store"
	"github.com/yuccalb/yuccalb/internal/core/model"
	"github.com/yuccalb/yuccalb/internal/daemon/front"
	"github.com/yuccalb/yuccalb/internal/daemon/node"
	"github.com/yuccalb/yuccalb/internal/daemon/setup"
	"github.com/yuccalb/yuccalb/internal/fake/infra"
	"github.com/yuccalb/yuccalb/internal/fake/port"
	"github.com/yuccalb/yuccalb/internal/fake/server"
)

// DemoCmd runs a fleet of three hosts in this process and sends requests to it.
type DemoCmd struct {
	File  string `help:"File whose text is the prompt of the chat." default:"README.md"`
	Serve bool   `help:"Keep the fleet running and print requests to try."`
	Logs  bool   `help:"Print the logs of the hosts."`
}

// demoTimeout bounds each of the apply, the wait for ready hosts and the retries of a
// request.
const demoTimeout = 20 * time.Second

// demoHost is one host of the demo.
type demoHost struct {
	site              string
	http, peer, admin netip.AddrPort
	node              *node.Node
}

// demo holds the hosts and fakes of the demo.
type demo struct {
	dir      string // configuration folder
	key      string
	keyFile  string
	platform string // base URL
	hosts    []*demoHost
	closers  []func() error
}

// Run executes the command.
func (c *DemoCmd) Run(e *env) (err error) {
	text, err := readInput(c.File)
	if err != nil {
		return err
	}
	log := zap.NewNop()
	if c.Logs {
		if log, err = zap.NewProduction(); err != nil {
			return fmt.Errorf("create logger: %w", err)
		}
	}
	d := &demo{}
	defer func() { err = errors.Join(err, d.close()) }()
	if err := d.start(e, log); err != nil {
		return err
	}
	if err := d.sendRequests(e, text); err != nil {
		return err
	}
	if c.Serve {
		d.serve(e)
	}
	return nil
}

// serveFake serves h on a free loopback port and returns its address.
func (d *demo) serveFake(h http.Handler) (netip.AddrPort, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("listen: %w", err)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: shutdownTimeout}
	go func() { _ = srv.Serve(ln) }() // returns an error after Close
	d.closers = append(d.closers, srv.Close)
	return netip.MustParseAddrPort(ln.Addr().String()), nil
}

// demoConfig is the format of the demo's configuration; its arguments are the
// addresses of the fake engine and the fake plain service.
const demoConfig = `regions: [{name: east}, {name: west}]
sites:
  - {name: west-a, region: west, slots: 2}
  - {name: east-a, region: east, slots: 1}
services:
  - {name: drafter, kind: engine, model: fake, servers: [{addr: %q, site: west-a}]}
  - {name: desk, kind: plain, servers: [{addr: %q, site: east-a}]}
routes:
  - {name: drafter, service: drafter, kind: chat, answer: 64, deadline: 30s}
  - {name: stock, service: desk, kind: plain, method: GET, path: /stock/film, deadline: 5s}
  - {name: booking, service: desk, kind: plain, method: POST, path: /bookings, once: true, deadline: 10s}
`

// demoOrg is the format of the organisation's configuration, which is in a separate
// file, as each change of a configuration is; its argument is the hash of the key.
const demoOrg = `organisations:
  - name: shop1
    rate: 20000
    burst: 100000
    home: west
    keys: [{hash: %s, note: demo}]
`

// start starts the fakes, applies the configuration and starts the hosts.
func (d *demo) start(e *env, log *zap.Logger) error {
	platform, err := d.serveFake(infra.New(infra.Options{}))
	if err != nil {
		return err
	}
	d.platform = "http://" + platform.String()
	engine, err := d.serveFake(server.NewEngine(server.EngineConfig{Model: "fake", First: 30 * time.Millisecond, Token: 10 * time.Millisecond}))
	if err != nil {
		return err
	}
	desk, err := d.serveFake(server.NewPlain(server.PlainConfig{}))
	if err != nil {
		return err
	}
	if err := d.writeConfig(engine, desk); err != nil {
		return err
	}
	if err := d.apply(e); err != nil {
		return err
	}
	for _, site := range []string{"west-a", "west-a", "east-a"} {
		if err := d.startHost(site, log); err != nil {
			return err
		}
	}
	return d.waitReady()
}

// writeConfig writes the configuration folder and the key file to a temporary folder.
func (d *demo) writeConfig(engine, desk netip.AddrPort) error {
	dir, err := os.MkdirTemp("", "yuccalb-demo-")
	if err != nil {
		return fmt.Errorf("create folder: %w", err)
	}
	d.dir, d.key, d.keyFile = filepath.Join(dir, "config"), model.NewKey(), filepath.Join(dir, "key")
	d.closers = append(d.closers, func() error { return os.RemoveAll(dir) })
	if err := os.Mkdir(d.dir, 0o755); err != nil {
		return fmt.Errorf("create folder: %w", err)
	}
	for path, text := range map[string]string{
		filepath.Join(d.dir, "00-base.yaml"): fmt.Sprintf(demoConfig, engine, desk),
		filepath.Join(d.dir, "10-org.yaml"):  fmt.Sprintf(demoOrg, model.HashKey(d.key)),
		d.keyFile:                            d.key + "\n",
	} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return fmt.Errorf("write configuration: %w", err)
		}
	}
	return nil
}

// apply puts the configuration folder in force.
func (d *demo) apply(e *env) error {
	cfg, err := readFolder(d.dir)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	kv := store.New(d.platform, nil)
	defer kv.Close()
	p, err := store.Publish(ctx, kv, cfg, d.key[:8], 0)
	if err != nil {
		return fmt.Errorf("apply configuration: %w", err)
	}
	e.Printf("configuration %s: version %d in force\n", d.dir, p.Version)
	return nil
}

// startHost starts one host. All hosts but the first use the first as a seed peer.
func (d *demo) startHost(site string, log *zap.Logger) error {
	h := &demoHost{site: site}
	for _, a := range []*netip.AddrPort{&h.http, &h.peer, &h.admin} {
		var err error
		if *a, err = port.Free(); err != nil {
			return err
		}
	}
	text := fmt.Sprintf("site: %s\nhttp: %s\npeer: %s\nadmin: %s\nplatform: %s\ndrain: 15s\n", site, h.http, h.peer, h.admin, d.platform)
	if len(d.hosts) > 0 {
		text += fmt.Sprintf("peers: [%q]\n", d.hosts[0].peer)
	}
	s, err := setup.Parse([]byte(text))
	if err != nil {
		return fmt.Errorf("parse settings: %w", err)
	}
	h.node, err = node.Start(context.Background(), node.Options{Settings: s, Log: log.With(zap.Stringer("host", h.peer)), Grace: 100 * time.Millisecond})
	if err != nil {
		return fmt.Errorf("start host: %w", err)
	}
	d.hosts = append(d.hosts, h)
	return nil
}

// waitReady waits until all hosts are ready and the first lists all of them for
// callers.
func (d *demo) waitReady() error {
	end := time.Now().Add(demoTimeout)
	for time.Now().Before(end) {
		ready := true
		for _, h := range d.hosts {
			ready = ready && h.node.Ready()
		}
		if ready && len(d.listedHosts()) == len(d.hosts) {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("hosts not ready within %s", demoTimeout)
}

// listedHosts returns the hosts that the first host lists for callers, or nil if its
// list cannot be read.
func (d *demo) listedHosts() []front.Host {
	list, err := fetchHosts(d.hosts[0].http, d.key)
	if err != nil {
		return nil
	}
	return list.Hosts
}

// sendRequests sends a chat, a look-up, a booking and the same booking again.
func (d *demo) sendRequests(e *env, text []byte) error {
	list, err := fetchHosts(d.hosts[0].http, d.key)
	if err != nil {
		return err
	}
	e.Printf("hosts to use (for %s):", list.TTL)
	for _, h := range list.Hosts {
		e.Printf(" %s (%s)", h.Addr, h.Site)
	}
	e.Printf("\n")
	for _, r := range []struct {
		title string
		request
	}{
		{"chat, streamed", request{route: "drafter", tokens: 40, input: text}},
		{"idempotent look-up", request{route: "stock", plain: true, method: http.MethodGet}},
		{"booking", request{route: "booking", plain: true, method: http.MethodPost, idempotencyKey: "demo-1", input: []byte(`{"booking":"demo-1"}`)}},
		{"the same booking again", request{route: "booking", plain: true, method: http.MethodPost, idempotencyKey: "demo-1", input: []byte(`{"booking":"demo-1"}`)}},
	} {
		r.key, r.timeout = d.key, 30*time.Second
		e.Printf("\n== %s\n", r.title)
		start := time.Now()
		trail, err := r.sendWithRetry(list.Hosts[0].Addr, e.out, time.Now().Add(demoTimeout))
		if err != nil {
			return fmt.Errorf("%s: %w", r.title, err)
		}
		e.Printf("-- %s in %s\n", strings.Join(trail, " -> "), time.Since(start).Round(time.Millisecond))
	}
	return nil
}

// serve prints example requests and waits for SIGINT or SIGTERM.
func (d *demo) serve(e *env) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	h := d.hosts[0]
	e.Printf("\nTry:\n")
	replacer := strings.NewReplacer("HTTP", h.http.String(), "ADMIN", h.admin.String(), "KEY", d.keyFile, "DIR", d.dir, "PLATFORM", d.platform)
	for _, line := range []string{
		`curl -s http://HTTP/v1/hosts -H "Authorization: Bearer $(cat KEY)"`,
		`curl -sN http://HTTP/v1/chat/completions -H "Authorization: Bearer $(cat KEY)" -d '{"model":"drafter","stream":true,"messages":[{"role":"user","content":"hello"}]}'`,
		`curl -si http://HTTP/v1/call/booking -H "Authorization: Bearer $(cat KEY)" -H 'Idempotency-Key: b-1' -d '{"booking":"b-1"}'`,
		`go run ./cmd/yuccalb send drafter --host HTTP --key KEY --file README.md`,
		`go run ./cmd/yuccalb status --admin ADMIN`,
		`go run ./cmd/yuccalb apply DIR --platform PLATFORM`,
		`curl -s http://ADMIN/metrics`,
	} {
		e.Printf("  %s\n", replacer.Replace(line))
	}
	e.Printf("Ctrl-C ends it.\n")
	<-ctx.Done()
}

// close stops the hosts, then the fakes, and removes the temporary folder.
func (d *demo) close() error {
	var errs []error
	done := make(chan error, len(d.hosts))
	for _, h := range d.hosts {
		go func() { done <- h.node.Close(context.Background()) }()
	}
	for range d.hosts {
		errs = append(errs, <-done)
	}
	for i := len(d.closers) - 1; i >= 0; i-- {
		errs = append(errs, d.closers[i]())
	}
	return errors.Join(errs...)
}
