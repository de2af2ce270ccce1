package entry

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/fake/origin"
)

// TestOddEntries guards against a host that ends, or no longer follows the store, because
// another writer left an entry that describes no server, and against requests to the
// address in such an entry.
func TestOddEntries(t *testing.T) {
	cl := newCluster(t)
	e := cl.host("a1")
	trap := origin.New(t, ok)
	addr := trap.Addr().String()
	for key, value := range map[string]string{
		"nested":          strings.Repeat(`{"a":`, 200000) + strings.Repeat("}", 200000),
		"nested list":     strings.Repeat("[", 500000),
		"huge slots":      `{"service":"desk","addr":"` + addr + `","zone":"a1","slots":1e999,"state":"ready"}`,
		"fractional":      `{"service":"desk","addr":"` + addr + `","zone":"a1","slots":1.5,"state":"ready"}`,
		"huge born":       `{"service":"desk","addr":"` + addr + `","zone":"a1","slots":1,"state":"ready","born":1e300}`,
		"huge seq":        `{"service":"desk","addr":"` + addr + `","zone":"a1","slots":1,"state":"ready","seq":-1e300}`,
		"huge warm":       `{"service":"desk","addr":"` + addr + `","zone":"a1","slots":1,"state":"ready","warm_left_ms":1e400}`,
		"port too large":  `{"service":"desk","addr":"127.0.0.1:99999","zone":"a1","slots":1,"state":"ready"}`,
		"port zero":       `{"service":"desk","addr":"127.0.0.1:0","zone":"a1","slots":1,"state":"ready"}`,
		"negative port":   `{"service":"desk","addr":"127.0.0.1:-1","zone":"a1","slots":1,"state":"ready"}`,
		"other type":      `{"service":["desk"],"addr":"` + addr + `","zone":"a1","slots":1,"state":"ready"}`,
		"unknown service": `{"service":"nothing","addr":"` + addr + `","zone":"a1","slots":1,"state":"ready"}`,
		"unknown state":   `{"service":"desk","addr":"` + addr + `","zone":"a1","slots":1,"state":"READY"}`,
		"unknown place":   `{"service":"desk","addr":"` + addr + `","zone":"nowhere","slots":1,"state":"ready"}`,
		"bytes":           "\xff\x00\xfe",
		"empty":           "",
	} {
		cl.store.Put("servers/"+key, []byte(value))
	}
	cl.store.Put("yuccalb/hosts/odd", []byte(strings.Repeat("[", 500000)))
	cl.store.Put("yuccalb/hosts/port", []byte(`{"zone":"a1","front":"127.0.0.1:0","peer":"127.0.0.1:0"}`))
	cl.store.Put("yuccalb/suspects/desk/x", []byte(`{"service":"desk","part":"99999999999999999999","probes":-1}`))
	cl.server("s1", "a1", ok)
	wantStatus(t, cl.do(e, get("/safe/x")), http.StatusOK)
	cl.store.PutConfig(config(2, "key-2"))
	cl.eventually("configuration of version 2", func() bool { return e.fleet.View().Version().Number == 2 })
	restarted := cl.host("a1")
	for _, h := range []*Entry{e, restarted} {
		for range 10 {
			wantStatus(t, cl.do(h, get("/open/x")), http.StatusOK)
		}
		if n := len(h.fleet.View().Servers); n > 3 {
			t.Errorf("%d servers are listed: %+v", n, h.fleet.View().Servers)
		}
	}
	time.Sleep(time.Second) // a reading of the store that fails would be repeated meanwhile
	if n := len(trap.Seen()); n > 0 {
		t.Errorf("the address of an odd entry got %d requests", n)
	}
	if !e.fleet.Ready() {
		t.Error("the host is not ready")
	}
}

// TestStateHeaderFromCaller guards against a caller's request that the next host takes for one of a host for its state,
// because its caller has set that header and its route has no property.
func TestStateHeaderFromCaller(t *testing.T) {
	cl := newCluster(t)
	a := cl.host("a1")
	cl.host("b1")
	cl.server("s1", "b1", ok)
	cl.eventually("state report of region b", func() bool { return len(a.fleet.RemoteRegions("desk")) == 1 })
	for _, path := range []string{"/order-b/x", "/home-b/x"} {
		resp := cl.do(a, post(path, "1").With("Yuccalb-State", "entries"))
		if resp.Status != http.StatusOK || resp.Body != "served" {
			t.Errorf("%s: status %d, body %q", path, resp.Status, resp.Body)
		}
	}
}
