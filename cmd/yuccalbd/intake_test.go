package main

import (
	"errors"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/fake/crowd"
)

// maxCrowdMemory bounds the memory in bytes of a daemon whose settings state no limits.
const maxCrowdMemory = 160 << 20

// TestCrowd guards against a daemon that runs out of memory because many connections
// each send a part of a request. Each stays below the limits of one request.
func TestCrowd(t *testing.T) {
	const start = "GET / HTTP/1.1\r\nHost: x\r\n"
	for _, tc := range []struct {
		name  string
		addr  func(*daemon) netip.AddrPort
		size  int
		input string
	}{
		{"http/fields", func(d *daemon) netip.AddrPort { return d.http }, 1200, start + strings.Repeat("abc:\r\n", 19<<10/6)},
		{"http/body", func(d *daemon) netip.AddrPort { return d.http }, 300, "POST /v1/call/booking HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer KEY\r\nContent-Length: 4000000\r\n\r\n" + strings.Repeat("x", 900_000)},
		{"admin/fields", func(d *daemon) netip.AddrPort { return d.admin }, 30, start + strings.Repeat("abc:\r\n", 900<<10/6)},
		{"peer/silence", func(d *daemon) netip.AddrPort { return d.peer }, 300, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet(t, "west-a")
			d := f.daemons[0]
			c := crowd.Start(tc.addr(d), tc.size, []byte(strings.ReplaceAll(tc.input, "KEY", f.key)), true)
			defer c.End()
			time.Sleep(1500 * time.Millisecond) // the crowd sends
			served := func() error {
				r := f.send(d, http.MethodGet, "/v1/ping")
				if r.Err == nil && r.Status != http.StatusNoContent {
					return errors.New(http.StatusText(r.Status))
				}
				return r.Err
			}
			f.eventually("request served beside the crowd", served)
			c.End()
			f.eventually("request served after the crowd", served)
			peak, err := d.PeakMemory()
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("peak memory %d MB", peak>>20)
			if peak > maxCrowdMemory {
				t.Errorf("peak memory %d MB, at most %d wanted", peak>>20, maxCrowdMemory>>20)
			}
		})
	}
}
