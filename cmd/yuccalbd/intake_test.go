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

const (
	// crowdTime is how long a crowd sends before the bounds are checked.
	crowdTime = 1500 * time.Millisecond
	// endlessSize is the number of connections that send without end, and endlessTime how
	// long they do.
	endlessSize = 60
	endlessTime = 800 * time.Millisecond
)

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
			testCrowd(t, f, crowdTime, func(d *daemon) *crowd.Crowd {
				return crowd.Start(tc.addr(d), tc.size, []byte(strings.ReplaceAll(tc.input, "KEY", f.key)), true)
			})
		})
	}
}

// TestEndlessCrowd guards against a daemon that runs out of memory because connections send requests beyond the
// limits, lines before a request, or a handshake, without end.
func TestEndlessCrowd(t *testing.T) {
	const (
		get  = "GET / HTTP/1.1\r\nHost: x\r\n"
		post = "POST /v1/call/booking HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer KEY\r\nTransfer-Encoding: chunked\r\n\r\n"
		// hello begins a record of a handshake of 16 KiB that is a message of 64 KiB.
		hello = "\x16\x03\x01\x40\x00\x01\x00\xff\xff\x03\x03"
	)
	f := newFleet(t, "west-a")
	http := func(d *daemon) netip.AddrPort { return d.http }
	admin := func(d *daemon) netip.AddrPort { return d.admin }
	peer := func(d *daemon) netip.AddrPort { return d.peer }
	for _, tc := range []struct {
		name        string
		addr        func(*daemon) netip.AddrPort
		first, more string
	}{
		{"http/fields", http, get, strings.Repeat("abc:\r\n", 1000)},
		{"http/field", http, get + "A: ", strings.Repeat("x", 8<<10)},
		{"http/request line", http, "GET /", strings.Repeat("x", 8<<10)},
		{"http/empty lines", http, "", strings.Repeat("\r\n", 4<<10)},
		{"http/chunks", http, post, strings.Repeat("1\r\nx\r\n", 1000)},
		{"http/chunk extension", http, post + "1;", strings.Repeat("x", 8<<10)},
		{"http/trailers", http, post + "0\r\n", strings.Repeat("abc:\r\n", 1000)},
		{"admin/fields", admin, get, strings.Repeat("abc:\r\n", 1000)},
		{"admin/empty lines", admin, "", strings.Repeat("\r\n", 4<<10)},
		{"peer/request", peer, get, strings.Repeat("abc:\r\n", 1000)},
		{"peer/empty lines", peer, "", strings.Repeat("\r\n", 4<<10)},
		{"peer/handshake", peer, hello, strings.Repeat("\x00", 16<<10)},
		{"peer/records", peer, "", strings.Repeat("\x16\x03\x01\x00\x01\x01", 1000)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			testCrowd(t, f, endlessTime, func(d *daemon) *crowd.Crowd {
				return crowd.StartEndless(tc.addr(d), endlessSize, []byte(strings.ReplaceAll(tc.first, "KEY", f.key)), []byte(tc.more))
			})
		})
	}
}

// testCrowd lets a crowd come to the first daemon for a time.
func testCrowd(t *testing.T, f *fleet, duration time.Duration, start func(*daemon) *crowd.Crowd) {
	d := f.daemons[0]
	c := start(d)
	defer c.End()
	time.Sleep(duration) // the crowd sends
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
}
