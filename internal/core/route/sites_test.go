package route_test

import (
	"errors"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/route"
)

// remoteSite returns a data centre in another region with free capacity.
func remoteSite() route.Site {
	return route.Site{
		Name: "remote", Region: "east", Servers: 4, FreeSlots: 1000, At: start,
		Delay: 50 * time.Millisecond, Bandwidth: 1e6, CrossRegion: true,
	}
}

func newSites(site route.Site) *route.Sites {
	sites := route.NewSites(route.DefaultSitesConfig(0.1))
	sites.UpdateSummaries([]route.Site{site}, start)
	return sites
}

// bothRegions returns a request that may be served in both regions.
func bothRegions(bytes int) *route.Request {
	return &route.Request{Prompt: 800, Bytes: bytes, Regions: []string{"west", "east"}}
}

// TestChooseConstraints guards against forwarding that is not allowed or not
// faster. The expected time in the other data centre is the sum of 100 ms for
// the round trip, 100 ms for prefill and 1 ms for the transfer.
func TestChooseConstraints(t *testing.T) {
	cases := map[string]struct {
		local  time.Duration
		change func(*route.Request, *route.Site)
		want   bool
	}{
		"gain":             {time.Second, func(*route.Request, *route.Site) {}, true},
		"no local server":  {-1, func(*route.Request, *route.Site) {}, true},
		"no gain":          {200 * time.Millisecond, func(*route.Request, *route.Site) {}, false},
		"below hysteresis": {340 * time.Millisecond, func(*route.Request, *route.Site) {}, false},
		"same region":      {340 * time.Millisecond, func(_ *route.Request, s *route.Site) { s.CrossRegion = false }, true},
		"residency":        {-1, func(r *route.Request, _ *route.Site) { r.Regions = []string{"west"} }, false},
		"hop limit":        {-1, func(r *route.Request, _ *route.Site) { r.Forwarded = true }, false},
		"failed there":     {-1, func(r *route.Request, _ *route.Site) { r.ExcludeSites = []string{"remote"} }, false},
		"old summary":      {-1, func(_ *route.Request, s *route.Site) { s.At = start.Add(-6 * time.Second) }, false},
		"no servers":       {-1, func(_ *route.Request, s *route.Site) { s.Servers = 0 }, false},
		"slow":             {time.Second, func(_ *route.Request, s *route.Site) { s.Wait = time.Second }, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			req, site := bothRegions(1000), remoteSite()
			c.change(req, &site)
			if _, ok := newSites(site).Choose(req, c.local, start); ok != c.want {
				t.Errorf("forwarded: %v, want %v", ok, c.want)
			}
		})
	}
}

// TestHysteresis guards against overflow that starts and stops with each small
// change of the load: once started, it continues while there is any gain.
func TestHysteresis(t *testing.T) {
	sites := newSites(remoteSite())
	if _, ok := sites.Choose(bothRegions(1000), time.Second, start); !ok {
		t.Fatal("overflow did not start")
	}
	if _, ok := sites.Choose(bothRegions(1000), 250*time.Millisecond, start.Add(time.Second)); !ok {
		t.Error("overflow stopped although the other data centre was faster")
	}
}

// TestRamp guards against overflow that overloads servers with cold caches. It
// must start at 1% of the free capacity, double every 2 s, and fall back after a
// pause.
func TestRamp(t *testing.T) {
	site := remoteSite()
	site.Bandwidth = 0
	sites := newSites(site)
	fill := func(at time.Duration) (n int) {
		site.At = start.Add(at)
		sites.UpdateSummaries([]route.Site{site}, start.Add(at))
		var sent []route.SiteChoice
		for c, ok := sites.Choose(bothRegions(0), -1, start.Add(at)); ok; c, ok = sites.Choose(bothRegions(0), -1, start.Add(at)) {
			sent = append(sent, c)
		}
		for _, c := range sent {
			sites.Done(c, 0, false, start.Add(at))
		}
		return len(sent)
	}
	for i, want := range []int{10, 20, 40, 80} {
		if got := fill(time.Duration(i) * 2 * time.Second); got != want {
			t.Errorf("after %d s %d requests were forwarded, want %d", 2*i, got, want)
		}
	}
	if got := fill(60 * time.Second); got != 10 {
		t.Errorf("after a pause %d requests were forwarded, want 10", got)
	}
}

// TestByteBudget guards against overflow that exceeds its share of a wide-area
// link: 10% of 1 MB/s.
func TestByteBudget(t *testing.T) {
	sites := newSites(remoteSite())
	bytes := 0
	for i := range 20_000 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		if i%1000 == 0 {
			site := remoteSite()
			site.At = now
			sites.UpdateSummaries([]route.Site{site}, now)
		}
		if c, ok := sites.Choose(bothRegions(5000), time.Second, now); ok {
			bytes += 5000
			sites.Done(c, 5000, false, now)
		}
	}
	if limit := 21 * 100_000; bytes > limit || bytes < limit/2 {
		t.Errorf("%d bytes were sent in 20 s, want between %d and %d", bytes, limit/2, limit)
	}
}

// TestRouter guards against a router that counts a request twice, forwards
// without need or more than once, or returns the wrong error when no server can
// take a request.
func TestRouter(t *testing.T) {
	table := newTable(1)
	r := &route.Router{Table: table, Sites: newSites(remoteSite())}
	d, err := r.Pick(bothRegions(1000), start)
	if err != nil || d.Remote() {
		t.Fatalf("idle data centre: forwarded %v, error %v; want a local server", d.Remote(), err)
	}
	table.UpdateLoads([]route.Load{{Addr: addr(0), Pending: 1e6, Prefill: 1000, At: start}})
	if d, err = r.Pick(bothRegions(1000), start); err != nil || !d.Remote() {
		t.Errorf("overloaded data centre: request was not forwarded (error %v)", err)
	}
	req := bothRegions(1000)
	req.QueueWait, req.Forwarded = time.Minute, true
	if d, err = r.Pick(req, start); err != nil || d.Remote() {
		t.Errorf("forwarded request: forwarded again %v, error %v; want a local server", d.Remote(), err)
	}
	for region, want := range map[string]error{"east": route.ErrNoServer, "north": route.ErrRegion} {
		req := &route.Request{Prompt: 10, Regions: []string{region}, ExcludeSites: []string{"remote"}}
		if _, err := r.Pick(req, start); !errors.Is(err, want) {
			t.Errorf("region %s: error %v, want %v", region, err, want)
		}
	}
}

// TestRemoteSiteBeforeLastResort guards against requests to servers in backoff
// that another data centre would take.
func TestRemoteSiteBeforeLastResort(t *testing.T) {
	table := newTable(1)
	r := &route.Router{Table: table, Sites: newSites(remoteSite())}
	c, err := table.Pick(bothRegions(1000), start)
	if err != nil {
		t.Fatal(err)
	}
	table.Done(c, route.Result{Failed: true, Cached: -1}, start)
	d, err := r.Pick(bothRegions(1000), start)
	if err != nil || !d.Remote() {
		t.Errorf("decision %+v, %v; want the other data centre", d, err)
	}
	req := bothRegions(1000)
	req.ExcludeSites = []string{"remote"}
	if d, err = r.Pick(req, start); err != nil || d.Server.Addr != c.Addr {
		t.Errorf("decision %+v, %v; want the server in backoff", d, err)
	}
}
