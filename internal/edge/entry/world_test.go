package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/edge/boot"
	"github.com/yuccalb/yuccalb/internal/edge/logs"
	"github.com/yuccalb/yuccalb/internal/fake/origin"
	"github.com/yuccalb/yuccalb/internal/fake/port"
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
	w := &world{t: t, store: plattest.NewStore()}
	t.Cleanup(w.store.Close)
	w.store.PutConfig(config(1, key))
	return w
}

// freeAddr returns an address that nobody listens on.
func freeAddr(t *testing.T) netip.AddrPort {
	t.Helper()
	addr, err := port.Own()
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

// settings returns those of a new host.
func (w *world) settings(site string) boot.Settings {
	return boot.Settings{
		Host: fmt.Sprintf("host-%s-%d", site, len(w.hosts)), Site: site, Region: sites[site], Sites: sites,
		Front: freeAddr(w.t), Ready: freeAddr(w.t), Lookup: freeAddr(w.t), Peer: freeAddr(w.t), Metrics: freeAddr(w.t),
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
	for end := time.Now().Add(readyWait); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	w.t.Fatalf("%s: not within %v", what, readyWait)
}

func (w *world) waitReady(e *Entry) {
	w.t.Helper()
	w.eventually("ready", e.fleet.Ready)
}

// server starts a backend server in a site and waits until all hosts of its
// region know it.
func (w *world) server(id, site string, script origin.Script) *origin.Server {
	w.t.Helper()
	s := origin.New(freeAddr(w.t), script)
	w.t.Cleanup(s.Close)
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

// call is a request on a connection of its own.
type call struct {
	method, path string
	header       http.Header
	body         string
}

func get(path string) call { return call{method: http.MethodGet, path: path} }

func post(path, body string) call { return call{method: http.MethodPost, path: path, body: body} }

func (c call) with(name, value string) call {
	h := c.header.Clone()
	if h == nil {
		h = make(http.Header)
	}
	h.Set(name, value)
	c.header = h
	return c
}

// bytes returns the request as it is sent; id is the identifier.
func (c call) bytes(id string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n", c.method, c.path, plattest.Host, platform.HeaderID, id)
	h := http.Header{platform.HeaderKey: {key}, platform.HeaderDeadline: {"4000"}}
	for name, values := range c.header {
		h[name] = values
	}
	for name, values := range h {
		for _, v := range values {
			if v != "" {
				fmt.Fprintf(&b, "%s: %s\r\n", name, v)
			}
		}
	}
	if c.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(c.body))
	}
	return b.String() + "\r\n" + c.body
}

// answer is a response and the error that ended its body.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
	// last is set when the connection ends with the response.
	last bool
}

var ids atomic.Uint32

func nextID() string { return fmt.Sprintf("id-%d", ids.Add(1)) }

// dial opens a connection to the front of a host.
func (w *world) dial(e *Entry) net.Conn {
	w.t.Helper()
	c, err := net.Dial("tcp4", e.settings.Front.String())
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { _ = c.Close() })
	return c
}

// do sends a call to a host and reads the response.
func (w *world) do(e *Entry, c call) answer {
	w.t.Helper()
	return w.exchange(w.dial(e), c)
}

func (w *world) exchange(conn net.Conn, c call) answer {
	w.t.Helper()
	if _, err := io.WriteString(conn, c.bytes(nextID())); err != nil {
		return answer{err: err}
	}
	return readAnswer(bufio.NewReader(conn), c.method)
}

func readAnswer(br *bufio.Reader, method string) answer {
	resp, err := http.ReadResponse(br, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(body), err: err, last: resp.Close}
}

func wantStatus(t *testing.T, a answer, want int) {
	t.Helper()
	if a.status != want {
		t.Fatalf("status %d (error %v, body %q), want %d", a.status, a.err, a.body, want)
	}
}

// ok is the script of a server that serves.
func ok(x *origin.Exchange) bool { return x.Reply(http.StatusOK, "served") }
