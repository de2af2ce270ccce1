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

// cluster is a fake store, hosts and fake backend servers on loopback addresses.
type cluster struct {
	t     *testing.T
	store *plattest.Store
	hosts []*Entry
	// retries is the retry budget over all hosts that are started next.
	retries int64
	// logTo gets the logs of hosts that are started next.
	logTo io.Writer
}

// sites maps the data centres of all tests to their regions.
var sites = map[string]string{"a1": "a", "b1": "b"}

// routes are the routes of all tests, one for each set of properties that they need.
var routes = []plattest.Route{
	{Prefix: "/safe/", Service: "desk", Kind: "safe", Attempts: 2, TimeoutMS: 2000},
	{Prefix: "/order/", Service: "desk", Kind: "unsafe", TimeoutMS: 2000},
	{Prefix: "/chat/", Service: "desk", Kind: "stream", TimeoutMS: 5000},
	{Prefix: "/ask/", Service: "desk", Kind: "stream", Resumable: true, Attempts: 3, TimeoutMS: 5000},
	{Prefix: "/resume/", Service: "desk", Kind: "stream", Resumable: true, Attempts: 2, TimeoutMS: 5000},
	{Prefix: "/split/", Service: "desk", Split: []string{"shop"}, Kind: "stream", Resumable: true, Attempts: 2, TimeoutMS: 5000},
	{Prefix: "/home-b/", Service: "desk", Kind: "safe", TimeoutMS: 2000, Regions: []string{"b"}},
	{Prefix: "/order-b/", Service: "desk", Kind: "unsafe", TimeoutMS: 2000, Regions: []string{"b"}},
	{Prefix: "/chat-b/", Service: "desk", Kind: "stream", TimeoutMS: 5000, Regions: []string{"b"}},
	{Prefix: "/open/", Service: "desk", Kind: "safe", TimeoutMS: 2000, Public: true},
	{Prefix: "/short/", Service: "desk", Kind: "safe", TimeoutMS: 300},
}

// config returns a configuration with the given version and API keys.
func config(version int, keys ...string) plattest.Config {
	return plattest.Config{Version: version, Routes: routes, Keys: keys, Org: orgName, Rate: 1e6, Burst: 1e6, Services: []string{"desk", "shop"}}
}

// newCluster starts a store with version 1 of the configuration. It marks the test
// as parallel.
func newCluster(t *testing.T) *cluster {
	t.Helper()
	t.Parallel()
	cl := &cluster{t: t, store: plattest.NewStore(t), retries: 50, logTo: io.Discard}
	cl.store.PutConfig(config(1, key))
	return cl
}

// settings returns the settings of a new host in a data centre.
func (cl *cluster) settings(site string) boot.Settings {
	return boot.Settings{
		Host: fmt.Sprintf("host-%s-%d", site, len(cl.hosts)), Site: site, Region: sites[site], Sites: sites,
		Front: local.Addr(cl.t), Ready: local.Addr(cl.t), Lookup: local.Addr(cl.t), Peer: local.Addr(cl.t), Metrics: local.Addr(cl.t),
		Store: cl.store.Addr(), First: true, Revoke: 3 * time.Second, Grace: 6 * time.Second, Retries: cl.retries,
	}
}

// host starts a host and waits until it is ready.
func (cl *cluster) host(site string) *Entry {
	cl.t.Helper()
	e := cl.start(cl.settings(site))
	cl.waitReady(e)
	return e
}

// start starts a host and closes it at the end of the test.
func (cl *cluster) start(s boot.Settings) *Entry {
	cl.t.Helper()
	out := logs.NewWriter(cl.logTo)
	e, err := Start(s, logs.New(out, s.Host, true))
	if err != nil {
		cl.t.Fatal(err)
	}
	cl.hosts = append(cl.hosts, e)
	cl.t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel() // no request is in progress
		_ = e.Close(ctx)
		_ = out.Close()
	})
	return e
}

// eventually waits until ok returns true.
func (cl *cluster) eventually(what string, ok func() bool) {
	cl.t.Helper()
	await.True(cl.t, readyWait, what, ok)
}

func (cl *cluster) waitReady(e *Entry) {
	cl.t.Helper()
	cl.eventually("ready", e.fleet.Ready)
}

// server starts a fake backend server in a data centre and waits until all hosts of
// its region list it.
func (cl *cluster) server(id, site string, script origin.Script) *origin.Server {
	cl.t.Helper()
	s := origin.New(cl.t, script)
	cl.addServer(id, site, s)
	return s
}

func (cl *cluster) addServer(id, site string, s *origin.Server) {
	cl.t.Helper()
	cl.store.PutServer(id, "desk", site, s.Addr(), "ready")
	cl.waitListed(id, site)
}

// waitListed waits until all hosts of the region of a data centre list a server.
func (cl *cluster) waitListed(id, site string) {
	cl.t.Helper()
	for _, e := range cl.hosts {
		if e.settings.Region != sites[site] {
			continue
		}
		cl.eventually("server listed", func() bool {
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

// identified adds the API key and the timeout that each caller sends.
func identified(c line.Call) line.Call {
	return c.With(platform.HeaderAPIKey, key).With(platform.HeaderDeadline, "4000")
}

var ids atomic.Uint32

func nextID() string { return fmt.Sprintf("id-%d", ids.Add(1)) }

// dial opens a connection to the callers' address of a host.
func (cl *cluster) dial(e *Entry) *line.Conn {
	cl.t.Helper()
	conn, err := line.Dial(e.settings.Front)
	if err != nil {
		cl.t.Fatal(err)
	}
	cl.t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// do sends a call to a host on a connection of its own and reads the response.
func (cl *cluster) do(e *Entry, c line.Call) line.Response {
	cl.t.Helper()
	return cl.dial(e).Do(c, nextID())
}

func wantStatus(t *testing.T, a line.Response, want int) {
	t.Helper()
	if a.Status != want {
		t.Fatalf("status %d (error %v, body %q), want %d", a.Status, a.Err, a.Body, want)
	}
}

// ok is the script of a server that responds successfully.
func ok(x *origin.Exchange) bool { return x.Reply(http.StatusOK, "served") }

// slowStream returns the script of a server that sends n events at an interval.
func slowStream(n int, every time.Duration) origin.Script {
	return func(x *origin.Exchange) bool {
		x.StartStream()
		for i := 1; i <= n; i++ {
			time.Sleep(every)
			x.Chunk(origin.Event(i))
		}
		return x.EndStream()
	}
}
