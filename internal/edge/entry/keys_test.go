package entry

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/fake/line"
	"github.com/yuccalb/yuccalb/internal/fake/origin"
	"github.com/yuccalb/yuccalb/internal/fake/proxy"
	"github.com/yuccalb/yuccalb/platform"
)

// putOrgs writes a version of the configuration whose list of organisations is as given.
func (cl *cluster) putOrgs(version int, list string) {
	cl.t.Helper()
	var cfg map[string]json.RawMessage
	if err := json.Unmarshal(config(version).JSON(), &cfg); err != nil {
		cl.t.Fatal(err)
	}
	cfg["tenants"] = json.RawMessage(list)
	value, err := json.Marshal(cfg)
	if err != nil {
		cl.t.Fatal(err)
	}
	cl.store.Put(platform.ConfigKey, value)
}

// wantClosed checks that a host refuses all requests but those on public routes, with a status.
func (cl *cluster) wantClosed(e *Entry, status int) {
	cl.t.Helper()
	for _, path := range []string{"/order/x", "/home-b/x", "/ask/x"} {
		for name, c := range map[string]line.Call{
			"the key": post(path, "1"), "another key": withKey(post(path, "1"), "key-2"), "no key": withKey(post(path, "1"), ""),
			"an empty key": withKey(post(path, "1"), " "), // a header without a value
		} {
			if resp := cl.do(e, c); resp.Status != status {
				cl.t.Errorf("%s with %s: status %d, want %d", path, name, resp.Status, status)
			}
		}
	}
	wantStatus(cl.t, cl.do(e, withKey(post("/open/x", "1"), "")), http.StatusOK)
}

// TestLastOrganisationRemoved guards against keys that work again, and requests without one that run, once a version
// has taken the last organisation away, or its last key: at hosts that run, start, are cut off from the store, or
// come back from that.
func TestLastOrganisationRemoved(t *testing.T) {
	for name, list := range map[string]string{
		"empty": `[]`, "null": `null`, "no keys": `[{"name":"workshop","api_keys":[]}]`,
		"keys null": `[{"name":"workshop","api_keys":null}]`, "no field for keys": `[{"name":"workshop"}]`,
		"empty key": `[{"name":"workshop","api_keys":[""]}]`,
	} {
		t.Run(name, func(t *testing.T) {
			cl := newCluster(t)
			runs := cl.host("a1")
			cl.hostBehind("a1")
			cl.host("b1")
			for _, site := range []string{"a1", "b1"} {
				cl.server("s-"+site, site, func(x *origin.Exchange) bool {
					if len(x.Header[platform.HeaderAPIKey]) > 0 {
						t.Error("the key was passed on to the server")
					}
					return ok(x)
				})
			}
			cl.eventually("state report", func() bool { return len(runs.fleet.RemoteRegions("desk")) == 1 })
			for _, e := range cl.hosts {
				wantStatus(t, cl.do(e, post("/order/x", "1")), http.StatusOK)
			}
			for i, v := range []string{list, list} { // the next version changes nothing
				cl.putOrgs(2+i, v)
				cl.waitVersion(int64(2 + i))
			}
			cl.host("a1") // has read no version with keys
			for _, e := range cl.hosts {
				cl.wantClosed(e, http.StatusUnauthorized)
			}
		})
	}
}

// TestLastOrganisationRemovedDuringOutage guards against a key that a host goes on to accept because it can't read
// the version that has taken the last organisation away, and against one that works again afterwards: at a host
// that reads the version from another one of its region, and at one that is alone.
func TestLastOrganisationRemovedDuringOutage(t *testing.T) {
	for name, status := range map[string]int{"with a peer": http.StatusUnauthorized, "alone": http.StatusServiceUnavailable} {
		t.Run(name, func(t *testing.T) {
			cl := newCluster(t)
			e, p := cl.startBehind(cl.settings("a1"))
			if name != "alone" {
				other := cl.host("a1")
				cl.eventually("state reports", func() bool { return len(e.exchange.Peers()) == 1 && len(other.exchange.Peers()) == 1 })
			}
			cl.server("s1", "a1", ok)
			wantStatus(t, cl.do(e, post("/order/x", "1")), http.StatusOK)
			p.Set(held)
			cl.putOrgs(2, `[]`)
			time.Sleep(e.settings.Revoke)
			cl.wantClosed(e, status)
			p.Set(proxy.Fault{})
			cl.waitVersion(2)
			cl.eventually("keys confirmed", e.fleet.Ready)
			cl.wantClosed(e, http.StatusUnauthorized)
		})
	}
}

// TestKeysOfRestoredStore guards against a key that works again because the store was restored from a copy in which
// the last organisation still has it, also at a host that starts then and is told of the newer version.
func TestKeysOfRestoredStore(t *testing.T) {
	cl := newCluster(t)
	e := cl.host("a1")
	cl.heartbeatServer("s1", "a1")
	wantStatus(t, cl.do(e, post("/order/x", "1")), http.StatusOK)
	old := cl.store.Copy()
	cl.putOrgs(2, `[]`)
	cl.waitVersion(2)
	cl.wantClosed(e, http.StatusUnauthorized)
	cl.store.Restore(old)
	s := cl.settings("a1")
	s.First = false
	second := cl.start(s)
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, e := range []*Entry{e, second} {
			if resp := cl.do(e, post("/order/x", "1")); resp.Status == http.StatusOK {
				t.Fatalf("the key works again, version %d", e.fleet.View().Snapshot.Version)
			}
		}
	}
	cl.putOrgs(2, `[]`) // the operator writes it again
	cl.eventually("keys confirmed", func() bool { return e.fleet.Ready() && second.fleet.Ready() })
	cl.wantClosed(e, http.StatusUnauthorized)
	cl.wantClosed(second, http.StatusUnauthorized)
}
