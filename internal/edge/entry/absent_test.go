package entry

import (
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
	without := config(2, key)
	without.Services = []string{"shop"}
	without.Routes = []plattest.Route{{Prefix: "/safe/", Service: "shop", Kind: "safe", TimeoutMS: 2000}}
	for _, c := range []plattest.Config{without, config(3, key)} {
		cl.store.PutConfig(c)
		for _, e := range cl.hosts {
			cl.eventually("version in force", func() bool { return e.fleet.View().Snapshot.Version == int64(c.Version) })
		}
	}
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
