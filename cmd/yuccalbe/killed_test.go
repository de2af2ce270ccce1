package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/fake/await"
	"github.com/yuccalb/yuccalb/internal/fake/line"
	"github.com/yuccalb/yuccalb/internal/fake/local"
	"github.com/yuccalb/yuccalb/internal/fake/origin"
	"github.com/yuccalb/yuccalb/internal/fake/proc"
	"github.com/yuccalb/yuccalb/platform"
	"github.com/yuccalb/yuccalb/platform/plattest"
)

// TestResponseOfKilledHost guards against a response that ends with its connection and that looks complete
// although the process of its host was killed: the kernel closes the connections of a process in an orderly
// way. Whole deployments as processes lost the ends of streams this way.
func TestResponseOfKilledHost(t *testing.T) {
	bin, err := proc.Build(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	unframed := func(x *origin.Exchange, part string) {
		x.StartUnframed("HTTP/1.1")
		x.Send(part)
	}
	for name, c := range map[string]struct {
		path   string
		http10 bool
		send   func(x *origin.Exchange)
	}{
		"stream":           {"/chat/x", false, func(x *origin.Exchange) { unframed(x, origin.Events(1, 3)) }},
		"resumable stream": {"/ask/x", false, func(x *origin.Exchange) { unframed(x, origin.Events(1, 3)) }},
		"large body":       {"/safe/x", false, func(x *origin.Exchange) { unframed(x, strings.Repeat("x", 300<<10)) }},
		"stream to HTTP/1.0": {"/chat/x", true, func(x *origin.Exchange) {
			x.StartStream()
			x.Chunk(origin.Events(1, 3))
		}},
	} {
		t.Run(name, func(t *testing.T) {
			p, front := newStreamHost(t, bin, func(x *origin.Exchange) bool {
				if x.Method == http.MethodGet {
					return x.Reply(http.StatusOK, "served")
				}
				c.send(x)
				<-x.Closed
				return false
			})
			conn, err := line.Dial(front)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			call := line.Post(c.path, "1").With(platform.HeaderAPIKey, "k").With(platform.HeaderDeadline, "4000")
			call.HTTP10 = c.http10
			if _, err := io.WriteString(conn, call.Bytes("id-1")); err != nil {
				t.Fatal(err)
			}
			br := bufio.NewReader(conn)
			resp, err := http.ReadResponse(br, nil)
			if err != nil || resp.StatusCode != http.StatusOK {
				t.Fatalf("response %+v, %v", resp, err)
			}
			if _, err := resp.Body.Read(make([]byte, 1)); err != nil {
				t.Fatal(err)
			}
			if err := p.Signal(syscall.SIGKILL); err != nil {
				t.Fatal(err)
			}
			if rest, err := io.ReadAll(resp.Body); err == nil {
				t.Errorf("the response looks complete: %d bytes", 1+len(rest))
			}
		})
	}
}

// newStreamHost starts a host and a server with a script, and waits until the host serves requests.
func newStreamHost(t *testing.T, bin string, script origin.Script) (*proc.Process, netip.AddrPort) {
	t.Helper()
	store := plattest.NewStore(t)
	store.PutConfig(plattest.Config{
		Version: 1, Services: []string{"desk"}, Keys: []string{"k"}, Org: "o", Rate: 1e6, Burst: 1e6,
		Routes: []plattest.Route{
			{Prefix: "/safe/", Service: "desk", Kind: "safe", TimeoutMS: 4000},
			{Prefix: "/chat/", Service: "desk", Kind: "stream", TimeoutMS: 4000},
			{Prefix: "/ask/", Service: "desk", Kind: "stream", Resumable: true, Attempts: 2, TimeoutMS: 4000},
		},
	})
	settings := map[string]any{
		"host": "h", "site": "a1", "region": "a", "sites": map[string]string{"a1": "a"}, "store": store.Addr().String(), "first": true,
		"revoke": "3s", "grace": "6s", "retries": 50,
	}
	for _, name := range []string{"front", "ready", "lookup", "peer", "metrics"} {
		settings[name] = local.Addr(t).String()
	}
	path := filepath.Join(t.TempDir(), "host.yaml")
	writeSettings(t, path, settings)
	store.PutServer("s", "desk", "a1", origin.New(t, script).Addr(), "ready")
	p := proc.New(t, bin, path)
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	front := netip.MustParseAddrPort(settings["front"].(string))
	await.For(t, serveTimeout, "host serves", func() error {
		conn, err := line.Dial(front)
		if err != nil {
			return err
		}
		defer func() { _ = conn.Close() }() // the response was read
		a := conn.Do(line.Get("/safe/x").With(platform.HeaderAPIKey, "k"), fmt.Sprint("wait-", time.Now().UnixNano()))
		if a.Status != http.StatusOK {
			return fmt.Errorf("status %d, error %w", a.Status, a.Err)
		}
		return nil
	})
	return p, front
}
