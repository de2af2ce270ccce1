package entry

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/fake/origin"
	"github.com/yuccalb/yuccalb/platform"
	"github.com/yuccalb/yuccalb/platform/plattest"
)

// leaveOut writes a version that does not name the service desk, and then one that does.
func (cl *cluster) leaveOut() {
	cl.putConfig(withoutDesk(2))
	cl.putConfig(config(3, key))
}

// withoutDesk returns a version that does not name the service desk.
func withoutDesk(version int) plattest.Config {
	c := config(version, key)
	c.Services = []string{"shop"}
	c.Routes = []plattest.Route{{Prefix: "/safe/", Service: "shop", Kind: "safe", TimeoutMS: 2000}}
	return c
}

// putConfig writes a version and waits until it is in force at all hosts.
func (cl *cluster) putConfig(c plattest.Config) {
	cl.t.Helper()
	cl.store.PutConfig(c)
	cl.waitVersion(int64(c.Version))
}

// TestServerStateKeptWhileServiceLeftOut guards against a server that is sent requests in the
// pause that it requested, or after it announced that it leaves, since a version of the
// configuration left its service out meanwhile.
func TestServerStateKeptWhileServiceLeftOut(t *testing.T) {
	for name, says := range map[string]func(x *origin.Exchange) bool{
		"pause": func(x *origin.Exchange) bool { return x.RefuseWith("Retry-After: 30") },
		"leave": func(x *origin.Exchange) bool {
			return x.Reply(http.StatusOK, "served", platform.HeaderLeaving+": "+platform.Leaving)
		},
	} {
		t.Run(name, func(t *testing.T) {
			slow := func(x *origin.Exchange) bool {
				time.Sleep(5 * time.Millisecond) // requests overlap, so that both servers get some
				return ok(x)
			}
			cl := newCluster(t)
			e := cl.host("a1")
			cl.server("s1", "a1", slow)
			var asked atomic.Bool
			s2 := cl.server("s2", "a1", func(x *origin.Exchange) bool {
				if asked.Load() {
					return says(x)
				}
				return slow(x)
			})
			asked.Store(true)
			send := func() {
				var callers sync.WaitGroup
				for range 8 {
					callers.Go(func() {
						for range 10 {
							cl.do(e, get("/safe/x"))
						}
					})
				}
				callers.Wait()
			}
			send()
			before := len(s2.Seen())
			cl.leaveOut()
			cl.eventually("service known again", func() bool { return cl.do(e, get("/safe/x")).Status == http.StatusOK })
			send()
			if n := len(s2.Seen()) - before; n > 0 || before == 0 || before > 8 {
				t.Errorf("the server got %d requests before the versions, and %d after them", before, n)
			}
		})
	}
}

// TestHostStartsWhileServiceLeftOut guards against requests to a server that has announced to another host that it
// leaves, by a host that has started while a version left its service out, and after the other one has ended.
func TestHostStartsWhileServiceLeftOut(t *testing.T) {
	cl := newCluster(t)
	first := cl.host("a1")
	s1 := cl.server("s1", "a1", func(x *origin.Exchange) bool { return x.Reply(http.StatusOK, "served", leavingHeader) })
	wantStatus(t, cl.do(first, get("/safe/x")), http.StatusOK)
	cl.putConfig(withoutDesk(2))
	second := cl.host("a1")
	cl.eventually("state reports", func() bool { return len(second.exchange.Peers()) == 1 && len(first.exchange.Peers()) == 1 })
	time.Sleep(time.Second) // some more of them
	stop, cancel := context.WithCancel(context.Background())
	cancel() // no request is in progress
	if err := first.Close(stop); err != nil {
		t.Fatal(err)
	}
	cl.hosts = []*Entry{second}
	cl.putConfig(config(3, key))
	if n := cl.requestsTo(second, s1, 30); n > 0 {
		t.Errorf("%d requests sent to the draining server", n)
	}
}
