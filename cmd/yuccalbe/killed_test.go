package main

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/yuccalb/yuccalb/internal/fake/line"
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
			h := newTestHost(t, bin, []plattest.Route{
				safeRoute,
				{Prefix: "/chat/", Service: "desk", Kind: "stream", TimeoutMS: 4000},
				{Prefix: "/ask/", Service: "desk", Kind: "stream", Resumable: true, Attempts: 2, TimeoutMS: 4000},
			}, nil, func(x *origin.Exchange) bool {
				if strings.HasPrefix(x.ID(), "ordinary") {
					return x.Reply(http.StatusOK, "served")
				}
				c.send(x)
				<-x.Closed
				return false
			})
			h.await(t, "host serves")
			conn, err := line.Dial(h.addrs["front"])
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
			if err := h.process.Signal(syscall.SIGKILL); err != nil {
				t.Fatal(err)
			}
			if rest, err := io.ReadAll(resp.Body); err == nil {
				t.Errorf("the response looks complete: %d bytes", 1+len(rest))
			}
		})
	}
}
