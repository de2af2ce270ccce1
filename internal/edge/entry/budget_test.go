package entry

import (
	"fmt"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync"
	"testing"

	"github.com/yuccalb/yuccalb/internal/fake/local"
	"github.com/yuccalb/yuccalb/internal/fake/origin"
)

// repeats returns the number of arrivals at servers beyond the first of each request.
func repeats(servers ...*origin.Server) int {
	seen := make(map[string]bool)
	n := 0
	for _, s := range servers {
		for _, x := range s.Seen() {
			if seen[x.ID()] {
				n++
			}
			seen[x.ID()] = true
		}
	}
	return n
}

// unlistedStore returns the address of a proxy of the store through which lists fail.
func unlistedStore(cl *cluster) string {
	target, err := url.Parse("http://" + cl.store.Addr().String())
	if err != nil {
		cl.t.Fatal(err)
	}
	forward := httputil.NewSingleHostReverseProxy(target)
	return local.Serve(cl.t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/-/kv-range" {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		forward.ServeHTTP(w, r)
	}))
}

// TestRetriesBeforeServersListed guards against a host that retries without a bound while
// it does not know the servers yet, and sends all requests by another region.
func TestRetriesBeforeServersListed(t *testing.T) {
	const requests, burst, ratio = 300, 10, 0.2
	cl := newCluster(t)
	for range 3 {
		s := cl.settings("b1")
		s.Retries, s.Ratio = burst, ratio
		cl.waitReady(cl.start(s))
	}
	var servers []*origin.Server
	for i := range 4 {
		servers = append(servers, cl.server(fmt.Sprint("s", i), "b1", (*origin.Exchange).Refuse))
	}
	settings := cl.settings("a1")
	settings.Retries, settings.Ratio, settings.First = burst, ratio, false
	settings.Store = local.Host(unlistedStore(cl))
	e := cl.start(settings)
	cl.eventually("region b is known", func() bool { return len(e.fleet.RemoteRegions("desk")) > 0 })
	var callers sync.WaitGroup
	for range 6 {
		callers.Go(func() {
			for range requests / 6 {
				cl.do(e, get("/safe/x"))
			}
		})
	}
	callers.Wait()
	if n, allowed := repeats(servers...), int(burst+ratio*requests); n > allowed {
		t.Errorf("%d arrivals beyond the first of %d requests, %d allowed", n, requests, allowed)
	}
}
