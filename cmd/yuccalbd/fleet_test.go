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

// binary is the path of the daemon under test, which TestMain builds.
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

// waitTimeout bounds each wait for a condition. It only ends a hanging test; no test
// depends on its value.
const waitTimeout = 60 * time.Second

// fleet is a set of daemon processes, with fakes of the platform and of the backend
// servers in the test process.
type fleet struct {
	t        testing.TB
	platform *infra.Platform
	url      string // of the platform
	engine   *server.Engine
	plain    *server.Plain
	cfg      *model.Config
	key      string // of the only organisation
	daemons  []*daemon
}

// daemon is one daemon process and its addresses.
type daemon struct {
	site              string
	http, peer, admin netip.AddrPort
	*proc.Process
}

// newFleet starts the fakes and one daemon for each element of sites, the data centre
// of the daemon. The engine and the plain service are in the data centre "west-a".
func newFleet(t testing.TB, sites ...string) *fleet {
	t.Helper()
	f := &fleet{
		t: t, platform: infra.New(infra.Options{}), key: model.NewKey(),
		engine: server.NewEngine(server.EngineConfig{Model: "fake", Token: 2 * time.Millisecond, Limit: 64}),
		plain:  server.NewPlain(server.PlainConfig{}),
	}
	f.url = local.Serve(t, f.platform)
	f.cfg = f.config(local.Serve(t, f.engine), local.Serve(t, f.plain), sites)
	f.publish()
	dir := f.writeCredentials()
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
	f.waitReady()
	return f
}

// writeCredentials writes the secret for tickets, a certificate authority and a
// certificate for the address of the daemons, and returns their folder.
func (f *fleet) writeCredentials() string {
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

// config returns a configuration with two regions of one data centre each, which has
// as many slots as hosts, but at least one.
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

// publish writes the fleet's configuration to the store.
func (f *fleet) publish() {
	f.t.Helper()
	shop.Publish(f.t, f.url, f.cfg)
}

// start starts a daemon.
func (f *fleet) start(d *daemon) {
	f.t.Helper()
	if err := d.Start(); err != nil {
		f.t.Fatal(err)
	}
}

// waitReady waits until every daemon lists all hosts for callers and has a slot.
func (f *fleet) waitReady() {
	f.t.Helper()
	f.eventually("every host lists all hosts for callers and has a slot", func() error {
		for _, d := range f.daemons {
			hosts, err := f.hosts(d)
			if err != nil {
				return err
			}
			if len(hosts) != len(f.daemons) {
				return fmt.Errorf("%s lists %d hosts", d.http, len(hosts))
			}
			// While the store is unavailable, a host without a slot rejects the
			// requests that the rate limit pools of other hosts do not cover.
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

// eventually waits until check returns nil.
func (f *fleet) eventually(what string, check func() error) {
	f.t.Helper()
	await.For(f.t, waitTimeout, what, check)
}

// hosts returns the addresses that a daemon lists for callers.
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

// result is the response to a request or its error.
type result = caller.Result

// send sends a request to a daemon and reads the whole response.
func (f *fleet) send(d *daemon, method, path string) result {
	return caller.Send(caller.Request{Base: "http://" + d.http.String(), Key: f.key, Method: method, Path: path})
}

// chat sends a streamed chat for n tokens.
func (f *fleet) chat(d *daemon, n int) result {
	return caller.Chat(caller.Request{Base: "http://" + d.http.String(), Key: f.key}, "drafter", "film and adhesive", n)
}

// longChat starts a streamed chat for n tokens and returns once it runs. It repeats the
// request if it ends early, as when a host has just started and has too few rate limit
// tokens.
func (f *fleet) longChat(d *daemon, n int) <-chan result {
	f.t.Helper()
	ended := make(chan result, 1)
	send := func() { ended <- f.chat(d, n) }
	go send()
	f.eventually("the stream is running", func() error {
		select {
		case r := <-ended:
			go send()
			return r.Failure()
		default:
		}
		if f.engine.Running() == 0 {
			return errors.New("no request is running at the engine")
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
