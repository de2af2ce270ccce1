package main

import (
	"fmt"
	"maps"
	"net/http"
	"net/netip"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/fake/await"
	"github.com/yuccalb/yuccalb/internal/fake/crowd"
	"github.com/yuccalb/yuccalb/internal/fake/line"
	"github.com/yuccalb/yuccalb/internal/fake/local"
	"github.com/yuccalb/yuccalb/internal/fake/origin"
	"github.com/yuccalb/yuccalb/internal/fake/proc"
	"github.com/yuccalb/yuccalb/platform"
	"github.com/yuccalb/yuccalb/platform/plattest"
)

const (
	// crowdSize is the number of connections that are open at once, each opened again
	// once it is closed.
	crowdSize = 400
	// endlessSize is the number of connections that send without end, and endlessTime how
	// long they do before the bounds are checked.
	endlessSize = 60
	endlessTime = 800 * time.Millisecond
	// crowdMemoryMB and crowdFiles are the limits in the settings of the host, and the
	// bounds for the process.
	crowdMemoryMB = 96
	crowdFiles    = 300
	// crowdTime is how long the crowd stays before the bounds are checked.
	crowdTime = 1500 * time.Millisecond
)

const (
	// soakCrowd is the number of connections of a crowd in the soak, and soakCrowdTime how
	// long it stays.
	soakCrowd     = 150
	soakCrowdTime = 2 * time.Second
	// soakMemoryMB and soakFiles are the limits in the settings of the hosts of the soak.
	soakMemoryMB = 128
	soakFiles    = 400
)

// shortFields is a request whose header consists of short fields and has no end.
var shortFields = "GET / HTTP/1.1\r\nHost: " + plattest.Host + "\r\n" + strings.Repeat("abc:\r\n", 62<<10/6)

// distinctFields is shortFields with a different name for each field.
var distinctFields = sync.OnceValue(func() string { return "GET / HTTP/1.1\r\nHost: " + plattest.Host + "\r\n" + manyFields() })

// crowdInputs are what each connection of a crowd sends before it stops sending.
var crowdInputs = map[string]func() string{
	"fields":          func() string { return shortFields },
	"distinct fields": distinctFields,
	"long field":      func() string { return "GET / HTTP/1.1\r\nHost: x\r\nA: " + strings.Repeat("x", 63<<10) },
	"request line":    func() string { return "GET /" + strings.Repeat("x", 63<<10) },
	"empty lines":     func() string { return strings.Repeat("\r\n", 30<<10) },
	"silence":         func() string { return "" },
	"unread": func() string {
		return strings.Repeat("GET "+platform.LookupPath+" HTTP/1.1\r\nHost: x\r\n\r\n", 1000)
	},
	"unread metrics": func() string { return strings.Repeat("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n", 1000) },
	"body": func() string {
		return "POST /safe/x HTTP/1.1\r\nHost: " + plattest.Host + "\r\n" + platform.HeaderAttemptID + ": body\r\n" + platform.HeaderAPIKey + ": k\r\nContent-Length: 4000000\r\n\r\n" + strings.Repeat("x", 900_000)
	},
	"rest": func() string {
		return "POST /safe/x HTTP/1.1\r\nHost: " + plattest.Host + "\r\n" + platform.HeaderAttemptID + ": rest\r\nContent-Length: 1000\r\n\r\n"
	},
	"chunks": func() string {
		return "POST /safe/x HTTP/1.1\r\nHost: " + plattest.Host + "\r\n" + platform.HeaderAttemptID + ": chunks\r\n" + platform.HeaderAPIKey + ": k\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", 30_000) + "5;" + strings.Repeat("x", 3000)
	},
}

// TestCrowd guards against a host that runs out of memory or file descriptors, or no
// longer serves, because many connections each send a part of a request, or read no
// response. Each stays below the limits of one request.
func TestCrowd(t *testing.T) {
	bin, err := proc.Build(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		addr   string
		inputs []string
	}{
		{"front", []string{"fields", "distinct fields", "long field", "request line", "empty lines", "silence", "body", "chunks", "rest"}},
		{"lookup", []string{"distinct fields", "silence", "unread"}},
		{"ready", []string{"distinct fields", "silence"}},
		{"peer", []string{"distinct fields", "silence"}},
		{"metrics", []string{"distinct fields", "silence", "unread metrics"}},
	} {
		for _, input := range tc.inputs {
			t.Run(tc.addr+"/"+input, func(t *testing.T) { testCrowd(t, bin, tc.addr, input) })
		}
	}
}

func testCrowd(t *testing.T, bin, name, input string) {
	newCrowdHost(t, bin).testCrowd(t, name, crowdTime, func(addr netip.AddrPort) *crowd.Crowd {
		return crowd.Start(addr, crowdSize, []byte(crowdInputs[input]()), !strings.HasPrefix(input, "unread"))
	})
}

const (
	// getStart and postStart begin requests.
	getStart  = "GET / HTTP/1.1\r\nHost: " + plattest.Host + "\r\n"
	postStart = "POST /safe/x HTTP/1.1\r\nHost: " + plattest.Host + "\r\n" + platform.HeaderAttemptID + ": endless\r\n" + platform.HeaderAPIKey + ": k\r\n"
)

// endlessInputs are what each connection of an endless crowd sends first, and what it sends again and again.
var endlessInputs = map[string]struct{ first, more string }{
	"fields":                 {getStart, strings.Repeat("abc:\r\n", 1000)},
	"field":                  {getStart + "A: ", strings.Repeat("x", 8<<10)},
	"field name":             {getStart, strings.Repeat("x", 8<<10)},
	"folded field":           {getStart + "A: x\r\n", strings.Repeat(" x\r\n", 1000)},
	"request line":           {"GET /", strings.Repeat("x", 8<<10)},
	"method":                 {"", strings.Repeat("X", 8<<10)},
	"empty lines":            {"", strings.Repeat("\r\n", 4<<10)},
	"line feeds":             {"", strings.Repeat("\n", 8<<10)},
	"lines after a request":  {postStart + "Content-Length: 0\r\n\r\n", strings.Repeat("\r\n", 4<<10)},
	"body":                   {postStart + "Content-Length: 1000000000000\r\n\r\n", strings.Repeat("x", 8<<10)},
	"chunks":                 {postStart + "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("1\r\nx\r\n", 1000)},
	"chunk extension":        {postStart + "Transfer-Encoding: chunked\r\n\r\n1;", strings.Repeat("x", 8<<10)},
	"chunk size":             {postStart + "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("0", 8<<10)},
	"trailers":               {postStart + "Transfer-Encoding: chunked\r\n\r\n0\r\n", strings.Repeat("abc:\r\n", 1000)},
	"requests without a key": {"", strings.Repeat("GET /safe/x HTTP/1.1\r\nHost: "+plattest.Host+"\r\n"+platform.HeaderAttemptID+": r\r\n\r\n", 50)},
}

// TestEndlessCrowd guards against a host that runs out of memory or file descriptors, or no longer serves, because
// connections send requests beyond the limits, or lines before a request, without end.
func TestEndlessCrowd(t *testing.T) {
	bin, err := proc.Build(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	h := newCrowdHost(t, bin)
	test := func(name, input string) {
		text := endlessInputs[input]
		t.Run(name+"/"+input, func(t *testing.T) {
			h.testCrowd(t, name, endlessTime, func(addr netip.AddrPort) *crowd.Crowd {
				return crowd.StartEndless(addr, endlessSize, []byte(text.first), []byte(text.more))
			})
		})
	}
	for input := range endlessInputs {
		test("front", input)
	}
	for _, name := range []string{"lookup", "ready", "peer", "metrics"} {
		test(name, "fields")
		test(name, "field")
		test(name, "empty lines")
	}
}

// testCrowd lets a crowd come to an address of the host for a time.
func (h *testHost) testCrowd(t *testing.T, name string, d time.Duration, start func(netip.AddrPort) *crowd.Crowd) {
	h.await(t, "host serves")
	c := start(h.addrs[name])
	defer c.End()
	files := 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		n, err := h.process.OpenFiles()
		if err != nil {
			t.Fatal(err)
		}
		files = max(files, n)
	}
	h.await(t, "ordinary request served beside the crowd")
	c.End()
	h.await(t, "ordinary request served after the crowd")
	peak, err := h.process.PeakMemory()
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("peak memory %d MB, %d open files", peak>>20, files)
	if peak > crowdMemoryMB<<20 {
		t.Errorf("peak memory %d MB, the host has %d MB", peak>>20, crowdMemoryMB)
	}
	if files > crowdFiles {
		t.Errorf("%d open files, the host has %d", files, crowdFiles)
	}
}

// testHost is a host with one server of the service desk.
type testHost struct {
	process *proc.Process
	addrs   map[string]netip.AddrPort
}

// newTestHost starts a host with routes to desk and settings beside the usual ones, and a server with a script.
// The server must respond to requests whose identifier begins with ordinary.
func newTestHost(t *testing.T, bin string, routes []plattest.Route, settings map[string]any, script origin.Script) *testHost {
	t.Helper()
	store := plattest.NewStore(t)
	store.PutConfig(plattest.Config{Version: 1, Services: []string{"desk"}, Keys: []string{"k"}, Org: "o", Rate: 1e6, Burst: 1e6, Routes: routes})
	h := &testHost{addrs: make(map[string]netip.AddrPort)}
	all := map[string]any{
		"host": "h", "site": "a1", "region": "a", "sites": map[string]string{"a1": "a"}, "store": store.Addr().String(), "first": true,
		"revoke": "3s", "grace": "6s", "retries": 50,
	}
	maps.Copy(all, settings)
	for _, name := range []string{"front", "ready", "lookup", "peer", "metrics"} {
		h.addrs[name] = local.Addr(t)
		all[name] = h.addrs[name].String()
	}
	path := filepath.Join(t.TempDir(), "host.yaml")
	writeSettings(t, path, all)
	store.PutServer("s", "desk", "a1", origin.New(t, script).Addr(), "ready")
	h.process = proc.New(t, bin, path)
	if err := h.process.Start(); err != nil {
		t.Fatal(err)
	}
	return h
}

// safeRoute is the route of ordinary requests.
var safeRoute = plattest.Route{Prefix: "/safe/", Service: "desk", Kind: "safe", TimeoutMS: 4000}

// newCrowdHost starts a host with low limits.
func newCrowdHost(t *testing.T, bin string) *testHost {
	t.Helper()
	return newTestHost(t, bin, []plattest.Route{safeRoute}, map[string]any{"memory": crowdMemoryMB, "files": crowdFiles},
		func(x *origin.Exchange) bool { return x.Reply(http.StatusOK, "served") })
}

// await waits until the host serves a request with a body.
func (h *testHost) await(t *testing.T, what string) {
	t.Helper()
	await.For(t, serveTimeout, what, func() error {
		conn, err := line.Dial(h.addrs["front"])
		if err != nil {
			return err
		}
		defer func() { _ = conn.Close() }() // the response was read
		_ = conn.SetDeadline(time.Now().Add(responseTimeout))
		a := conn.Do(line.Post("/safe/x", strings.Repeat("x", 6<<10)).With(platform.HeaderAPIKey, "k"), fmt.Sprint("ordinary-", time.Now().UnixNano()))
		if a.Status != http.StatusOK || a.Err != nil {
			return fmt.Errorf("status %d, error %w", a.Status, a.Err)
		}
		return nil
	})
}

// injectCrowd lets a crowd come to an address of a host for a time.
func (s *soak) injectCrowd(host int) {
	addresses, inputs := []string{"front", "lookup", "ready", "peer", "metrics"}, []string{"fields", "long field", "silence", "body", "chunks"}
	text, _ := s.configs[host][addresses[s.rng.IntN(len(addresses))]].(string)
	addr, err := netip.ParseAddrPort(text)
	if err != nil {
		s.t.Errorf("address of host %d: %v", host, err)
		return
	}
	input := crowdInputs[inputs[s.rng.IntN(len(inputs))]]()
	input = strings.ReplaceAll(input, platform.HeaderAPIKey+": k\r\n", platform.HeaderAPIKey+": "+s.currentKey()+"\r\n")
	c := crowd.Start(addr, soakCrowd, []byte(input), true)
	s.crowds = append(s.crowds, c)
	s.crashed.Go(func() {
		time.Sleep(soakCrowdTime)
		c.End()
	})
}
