package entry

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/edge/boot"
	"github.com/yuccalb/yuccalb/internal/fake/origin"
	"github.com/yuccalb/yuccalb/internal/fake/proxy"
	"github.com/yuccalb/yuccalb/platform"
	"github.com/yuccalb/yuccalb/platform/plattest"
)

// hostBehind starts a host that reaches the store through a proxy.
func (cl *cluster) hostBehind(site string) (*Entry, *proxy.Proxy) {
	cl.t.Helper()
	s := cl.settings(site)
	s.Revoke = time.Minute // the host serves although it can't confirm keys
	return cl.startBehind(s)
}

// startBehind is hostBehind with settings.
func (cl *cluster) startBehind(s boot.Settings) (*Entry, *proxy.Proxy) {
	cl.t.Helper()
	p := proxy.New(cl.t, cl.store.Addr())
	s.Store = p.Addr()
	e := cl.start(s)
	cl.waitReady(e)
	return e, p
}

// held holds what a host and the store send to each other.
var held = proxy.Fault{HoldForth: true, HoldBack: true}

// beginTogether begins n streams at a host at the same time. It returns those whose callers get
// the first events, after which they lose the connection.
func (cl *cluster) beginTogether(e *Entry, n int) []attempt {
	cl.t.Helper()
	var mu sync.Mutex
	var list []attempt
	var callers sync.WaitGroup
	for range n {
		id := nextID()
		conn := cl.dial(e)
		callers.Go(func() {
			_, _ = conn.Write([]byte(post("/resume/x", id).Bytes(id))) // the read fails then
			if version, ok := readVersion(conn); ok {
				mu.Lock()
				list = append(list, attempt{id, version, heldAfter})
				mu.Unlock()
			}
			_ = conn.Close() // nothing is left to send
		})
	}
	callers.Wait()
	return list
}

// TestUnrecordedStream guards against streams that callers take up at a host which finds no record
// of their version, because the host that began them could not write it.
func TestUnrecordedStream(t *testing.T) {
	cl := newCluster(t)
	e, p := cl.hostBehind("a1")
	other := cl.host("a1")
	cl.addVersion("v1")
	cl.addVersion("v2")
	if begun := cl.beginTogether(e, 16); len(ofVersion(begun, "v1")) == 0 || len(ofVersion(begun, "v2")) == 0 {
		t.Fatalf("streams began at %v", begun)
	}
	p.Set(held)
	list := cl.beginTogether(e, 24)
	if len(ofVersion(list, "v1")) == 0 {
		t.Errorf("streams began at %v", list)
	}
	cl.hosts = []*Entry{other}
	if r := cl.resumeAll(list); r.joined > 0 {
		t.Errorf("of %d streams, %d at the later version: %+v", len(list), len(ofVersion(list, "v2")), r)
	}
}

// TestTakeUpAtStaleHost guards against streams that go on at another version, at a host that has
// not read of the servers that began them: its list names only one version.
func TestTakeUpAtStaleHost(t *testing.T) {
	cl := newCluster(t)
	cl.host("a1")
	e, p := cl.hostBehind("b1")
	cl.addVersion("v1")
	cl.eventually("base version", func() bool { _, known := e.fleet.Bases().Base("desk", 0); return known })
	base := cl.begin(1)[0].resume().With(platform.HeaderResumes, "")
	wantStatus(t, cl.do(e, base), http.StatusOK)
	p.Set(held)
	cl.hosts = cl.hosts[:1]
	cl.addVersion("v2")
	list := ofVersion(cl.begin(24), "v2")
	if len(list) == 0 {
		t.Fatal("no stream began at the new version")
	}
	for _, a := range list {
		resp := cl.do(e, a.resume().With(platform.HeaderResumes, ""))
		if resp.Status != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" || resp.Body != "" {
			t.Errorf("status %d, header %v, body %q", resp.Status, resp.Header, resp.Body)
		}
	}
}

// TestTakeUpAfterServerLeft guards against a caller that does not name its attempt and whose stream
// began at a version of which the last server has left since: the list names one version again.
func TestTakeUpAfterServerLeft(t *testing.T) {
	cl := newCluster(t)
	e := cl.host("a1")
	cl.addVersion("v1")
	second := cl.addVersion("v2")
	list := ofVersion(cl.begin(24), "v2")
	if len(list) == 0 {
		t.Fatal("no stream began at the new version")
	}
	cl.removeServers(second)
	for _, a := range list {
		resp := cl.do(e, a.resume().With(platform.HeaderResumes, ""))
		if resp.Status != http.StatusServiceUnavailable || resp.Body != "" {
			t.Errorf("status %d, body %q", resp.Status, resp.Body)
		}
	}
}

// TestTakeUpByOldList guards against streams that go on at a server that has started again at
// another version, by a list of servers which the host could not read again for seconds.
func TestTakeUpByOldList(t *testing.T) {
	cl := newCluster(t)
	e, p := cl.hostBehind("a1")
	base := origin.New(t, versioned("v1"))
	cl.store.PutEntry(plattest.Server{ID: "s1-a1", Service: "desk", Site: "a1", Addr: base.Addr(), State: "ready", Version: "v1", Born: 1, Seq: 1})
	cl.eventually("base version", func() bool { _, known := e.fleet.Bases().Base("desk", 0); return known })
	var back atomic.Bool
	first, second := versioned("v2"), versioned("v1")
	s := origin.New(t, func(x *origin.Exchange) bool {
		if back.Load() {
			return second(x)
		}
		return first(x)
	})
	entry := plattest.Server{ID: "s2-a1", Service: "desk", Site: "a1", Addr: s.Addr(), State: "ready", Version: "v2", Born: 1, Seq: 1}
	cl.store.PutEntry(entry)
	cl.waitServers([]string{"s1-a1", "s2-a1"}, true)
	list := ofVersion(cl.begin(24), "v2")
	if len(list) == 0 {
		t.Fatal("no stream began at the new version")
	}
	p.Set(held)
	back.Store(true)
	entry.Version, entry.Born = "v1", 2
	cl.store.PutEntry(entry)
	cl.eventually("old list", func() bool { return e.fleet.ListAge() > 3*time.Second })
	resp := cl.do(e, list[0].resume())
	if resp.Status != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" || resp.Body != "" {
		t.Errorf("status %d, header %v, body %q", resp.Status, resp.Header, resp.Body)
	}
	p.Set(proxy.Fault{})
	cl.eventually("new list", func() bool { return e.fleet.ListAge() < time.Second })
	if resp := cl.do(e, list[0].resume()); resp.Status != http.StatusServiceUnavailable {
		t.Errorf("status %d, body %q", resp.Status, resp.Body)
	}
}
