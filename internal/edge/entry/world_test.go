package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/edge/boot"
	"github.com/yuccalb/yuccalb/internal/edge/logs"
	"github.com/yuccalb/yuccalb/internal/fake/await"
	"github.com/yuccalb/yuccalb/internal/fake/line"
	"github.com/yuccalb/yuccalb/internal/fake/local"
	"github.com/yuccalb/yuccalb/internal/fake/origin"
	"github.com/yuccalb/yuccalb/platform"
	"github.com/yuccalb/yuccalb/platform/plattest"
)

const (
	key       = "key-1"
	orgName   = "workshop"
	readyWait = 10 * time.Second
)

// world is a store, hosts and backend servers on loopback addresses.
type world struct {
	t     *testing.T
	store *plattest.Store
	hosts []*Entry
}

// sites of all tests.
var sites = map[string]string{"a1": "a", "b1": "b"}

// routes of all tests: one of each kind.
var routes = []plattest.Route{
	{Prefix: "/safe/", Service: "desk", Kind: "safe", Attempts: 2, TimeoutMS: 2000},
	{Prefix: "/order/", Service: "desk", Kind: "unsafe", TimeoutMS: 2000},
	{Prefix: "/chat/", Service: "desk", Kind: "stream", TimeoutMS: 5000},
	{Prefix: "/ask/", Service: "desk", Kind: "stream", Resumable: true, Attempts: 3, TimeoutMS: 5000},
	{Prefix: "/home-b/", Service: "desk", Kind: "safe", TimeoutMS: 2000, Regions: []string{"b"}},
	{Prefix: "/order-b/", Service: "desk", Kind: "unsafe", TimeoutMS: 2000, Regions: []string{"b"}},
	{Prefix: "/open/", Service: "desk", Kind: "safe", TimeoutMS: 2000, Public: true},
	{Prefix: "/short/", Service: "desk", Kind: "safe", TimeoutMS: 300},
}

func config(version int, keys ...string) plattest.Config {
	return plattest.Config{Version: version, Routes: routes, Keys: keys, Org: orgName, Rate: 1e6, Burst: 1e6, Services: []string{"desk"}}
}

// newWorld starts a store with the usual configuration. The test runs in
// parallel with others from here on.
func newWorld(t *testing.T) *world {
	t.Helper()
	t.Parallel()
	w := &world{t: t, store: plattest.NewStore(t)}
	w.store.PutConfig(config(1, key))
	return w
}

// settings returns those of a new host.
func (w *world) settings(site string) boot.Settings {
	return boot.Settings{
		Host: fmt.Sprintf("host-%s-%d", site, len(w.hosts)), Site: site, Region: sites[site], Sites: sites,
		Front: local.Addr(w.t), Ready: local.Addr(w.t), Lookup: local.Addr(w.t), Peer: local.Addr(w.t), Metrics: local.Addr(w.t),
		Store: w.store.Addr(), First: true, Revoke: 3 * time.Second, Grace: 6 * time.Second, Retries: 50,
	}
}

// host starts a host and waits until it is ready.
func (w *world) host(site string) *Entry {
	w.t.Helper()
	e := w.start(w.settings(site))
	w.waitReady(e)
	return e
}

func (w *world) start(s boot.Settings) *Entry {
	w.t.Helper()
	out := logs.NewWriter(io.Discard)
	e, err := Start(s, logs.New(out, s.Host, true))
	if err != nil {
		w.t.Fatal(err)
	}
	w.hosts = append(w.hosts, e)
	w.t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel() // nothing is left to wait for
		_ = e.Close(ctx)
		_ = out.Close()
	})
	return e
}

// eventually waits until ok returns true.
func (w *world) eventually(what string, ok func() bool) {
	w.t.Helper()
	await.True(w.t, readyWait, what, ok)
}

func (w *world) waitReady(e *Entry) {
	w.t.Helper()
	w.eventually("ready", e.fleet.Ready)
}

// server starts a backend server in a site and waits until all hosts of its
// region know it.
func (w *world) server(id, site string, script origin.Script) *origin.Server {
	w.t.Helper()
	s := origin.New(w.t, script)
	w.addServer(id, site, s)
	return s
}

func (w *world) addServer(id, site string, s *origin.Server) {
	w.t.Helper()
	w.store.PutServer(id, "desk", site, s.Addr(), "ready")
	for _, e := range w.hosts {
		if e.settings.Region != sites[site] {
			continue
		}
		w.eventually("server known", func() bool {
			svc := e.fleet.Service("desk")
			if svc == nil {
				return false
			}
			_, ok := svc.Table.Server(id)
			return ok
		})
	}
}

func get(path string) line.Call { return identified(line.Get(path)) }

func post(path, body string) line.Call { return identified(line.Post(path, body)) }

// identified adds what each caller states.
func identified(c line.Call) line.Call {
	return c.With(platform.HeaderKey, key).With(platform.HeaderDeadline, "4000")
}

var ids atomic.Uint32

func nextID() string { return fmt.Sprintf("id-%d", ids.Add(1)) }

// dial opens a connection to the front of a host.
func (w *world) dial(e *Entry) *line.Line {
	w.t.Helper()
	l, err := line.Dial(e.settings.Front)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { _ = l.Close() })
	return l
}

// do sends a call to a host on a connection of its own and reads the response.
func (w *world) do(e *Entry, c line.Call) line.Answer {
	w.t.Helper()
	return w.dial(e).Do(c, nextID())
}

func wantStatus(t *testing.T, a line.Answer, want int) {
	t.Helper()
	if a.Status != want {
		t.Fatalf("status %d (error %v, body %q), want %d", a.Status, a.Err, a.Body, want)
	}
}

// ok is the script of a server that serves.
func ok(x *origin.Exchange) bool { return x.Reply(http.StatusOK, "served") }

// slowly returns the script of a server that sends n events, each after a time.
func slowly(n int, every time.Duration) origin.Script {
	return func(x *origin.Exchange) bool {
		x.StartStream()
		for i := 1; i <= n; i++ {
			time.Sleep(every)
			x.Chunk(origin.Event(i))
		}
		return x.EndStream()
	}
}
