package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/adapt/peers"
	"github.com/yuccalb/yuccalb/internal/core/model"
	"github.com/yuccalb/yuccalb/internal/daemon/admin"
	"github.com/yuccalb/yuccalb/internal/fake/await"
	"github.com/yuccalb/yuccalb/internal/fake/caller"
	"github.com/yuccalb/yuccalb/internal/fake/infra"
	"github.com/yuccalb/yuccalb/internal/fake/local"
	"github.com/yuccalb/yuccalb/internal/fake/port"
	"github.com/yuccalb/yuccalb/internal/fake/proc"
	"github.com/yuccalb/yuccalb/internal/fake/server"
	"github.com/yuccalb/yuccalb/internal/fake/shop"
)

// binary is the daemon under test, built once.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "yuccalbd-")
	if err != nil {
		panic(err)
	}
	if binary, err = proc.Build(dir); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// patience bounds each wait for an outcome. It only ends a hanging test; no
// test measures time by it.
const patience = 60 * time.Second

// fleet is a set of daemons as processes, with stand-ins in the test process.
type fleet struct {
	t        testing.TB
	platform *infra.Platform
	url      string
	engine   *server.Engine
	desk     *server.Plain
	cfg      *model.Config
	key      string
	daemons  []*daemon
}

// daemon is one process.
type daemon struct {
	site              string
	http, peer, admin netip.AddrPort
	*proc.Process
}

// newFleet starts stand-ins and one daemon per given data centre. The engine
// and the plain service stand in the data centre "west-a".
func newFleet(t testing.TB, sites ...string) *fleet {
	t.Helper()
	f := &fleet{
		t: t, platform: infra.New(infra.Options{}), key: model.NewKey(),
		engine: server.NewEngine(server.EngineConfig{Model: "fake", Token: 2 * time.Millisecond, Limit: 64}),
		desk:   server.NewPlain(server.PlainConfig{}),
	}
	f.url = local.Serve(t, f.platform)
	f.cfg = f.config(local.Serve(t, f.engine), local.Serve(t, f.desk), sites)
	f.publish()
	dir := f.credentials()
	for _, site := range sites {
		d := &daemon{site: site, http: local.Addr(t), peer: local.Addr(t), admin: local.Addr(t)}
		text := fmt.Sprintf("site: %s\nhttp: %s\npeer: %s\nadmin: %s\nplatform: %s\nsecret: %[6]s/secret\ntls: {cert: %[6]s/host.pem, key: %[6]s/host-key.pem, ca: %[6]s/ca.pem}\ndrain: 20s\n", site, d.http, d.peer, d.admin, f.url, dir)
		if len(f.daemons) > 0 {
			text += fmt.Sprintf("peers: [%q]\n", f.daemons[0].peer)
		}
		settings := filepath.Join(t.TempDir(), "settings.yaml")
		if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		d.Process = proc.New(t, binary, settings)
		f.daemons = append(f.daemons, d)
		f.start(d)
	}
	f.ready()
	return f
}

// credentials writes the secret for tickets, a certificate authority and a
// certificate for the address of the daemons, and returns their folder.
func (f *fleet) credentials() string {
	f.t.Helper()
	dir, now := f.t.TempDir(), time.Now()
	ca, err := peers.NewCA("test", now, time.Hour)
	if err != nil {
		f.t.Fatal(err)
	}
	root, _, err := ca.PEM()
	if err != nil {
		f.t.Fatal(err)
	}
	cert, key, err := ca.IssueHost("host", []netip.Addr{port.IP()}, now, time.Hour)
	if err != nil {
		f.t.Fatal(err)
	}
	for name, data := range map[string][]byte{
		"secret": []byte(strings.Repeat("s", 32)), "ca.pem": root, "host.pem": cert, "host-key.pem": key,
	} {
		if err := os.WriteFile(filepath.Join(dir, name), data, 0o600); err != nil {
			f.t.Fatal(err)
		}
	}
	return dir
}

// config returns two regions with one data centre each, which has as many slots
// as hosts.
func (f *fleet) config(engineURL, deskURL string, sites []string) *model.Config {
	slots := map[string]int{}
	for _, site := range sites {
		slots[site]++
	}
	at := func(url string) []model.Server {
		return []model.Server{{Addr: local.Host(url), Site: "west-a"}}
	}
	org := shop.Org("shop1", f.key)
	org.HomeRegion = "west"
	return &model.Config{
		Regions:  []model.Region{{Name: "east"}, {Name: "west"}},
		Sites:    []model.Site{{Name: "east-a", Region: "east", Slots: max(1, slots["east-a"])}, {Name: "west-a", Region: "west", Slots: max(1, slots["west-a"])}},
		Services: shop.Services(at(deskURL), at(engineURL)),
		Routes:   shop.Routes(20*time.Second, 50*time.Second),
		Orgs:     []model.Org{org},
	}
}

// publish puts the fleet's configuration in force.
func (f *fleet) publish() {
	f.t.Helper()
	shop.Publish(f.t, f.url, f.cfg)
}

// start runs a daemon.
func (f *fleet) start(d *daemon) {
	f.t.Helper()
	if err := d.Start(); err != nil {
		f.t.Fatal(err)
	}
}

// ready waits until all running daemons know each other.
func (f *fleet) ready() {
	f.t.Helper()
	f.eventually("all hosts are returned to callers by every host and have slots", func() error {
		for _, d := range f.daemons {
			hosts, err := f.hosts(d)
			if err != nil {
				return err
			}
			if len(hosts) != len(f.daemons) {
				return fmt.Errorf("%s returns %d hosts", d.http, len(hosts))
			}
			// A host that has no slot when the store goes away rejects what
			// the pools of others do not cover until it is back.
			s, err := f.status(d)
			if err != nil {
				return err
			}
			if s.Slot < 0 {
				return fmt.Errorf("%s has no slot", d.http)
			}
		}
		return nil
	})
}

// eventually waits until check holds.
func (f *fleet) eventually(what string, check func() error) {
	f.t.Helper()
	await.For(f.t, patience, what, check)
}

// hosts returns the addresses that a daemon tells callers to use.
func (f *fleet) hosts(d *daemon) ([]netip.AddrPort, error) {
	var list struct {
		Hosts []struct {
			Addr netip.AddrPort `json:"addr"`
		} `json:"hosts"`
	}
	r := f.send(d, http.MethodGet, "/v1/hosts")
	if r.Err != nil {
		return nil, r.Err
	}
	if err := json.Unmarshal(r.Body, &list); err != nil {
		return nil, err
	}
	var addrs []netip.AddrPort
	for _, h := range list.Hosts {
		addrs = append(addrs, h.Addr)
	}
	return addrs, nil
}

// result is the end of a request.
type result = caller.Result

// send sends a request to a daemon and reads the whole response.
func (f *fleet) send(d *daemon, method, path string) result {
	return caller.Send(caller.Request{Base: "http://" + d.http.String(), Key: f.key, Method: method, Path: path})
}

// chat sends a streamed chat for n tokens.
func (f *fleet) chat(d *daemon, n int) result {
	return caller.Chat(caller.Request{Base: "http://" + d.http.String(), Key: f.key}, "drafter", "film and adhesive", n)
}

// longChat starts a streamed chat for n tokens and returns once it runs. A host
// that has too few tokens so early after its start is asked again.
func (f *fleet) longChat(d *daemon, n int) <-chan result {
	f.t.Helper()
	ended := make(chan result, 1)
	send := func() { ended <- f.chat(d, n) }
	go send()
	f.eventually("the stream runs", func() error {
		select {
		case r := <-ended:
			go send()
			return r.Failure()
		default:
		}
		if f.engine.Running() == 0 {
			return errors.New("no request at the engine")
		}
		return nil
	})
	return ended
}

// book sends a booking with an idempotency key.
func (f *fleet) book(d *daemon, key, ref string) result {
	return caller.Send(caller.Request{
		Base: "http://" + d.http.String(), Key: f.key, Method: http.MethodPost, Path: "/v1/call/booking",
		Body: fmt.Sprintf(`{"booking":%q}`, ref), Idem: key,
	})
}

// status returns a daemon's status.
func (f *fleet) status(d *daemon) (s admin.Status, err error) {
	resp, err := http.Get("http://" + d.admin.String() + "/status")
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	return s, json.NewDecoder(resp.Body).Decode(&s)
}

// signal sends a signal to a daemon.
func (f *fleet) signal(d *daemon, s syscall.Signal) {
	f.t.Helper()
	if err := d.Signal(s); err != nil {
		f.t.Fatal(err)
	}
}
