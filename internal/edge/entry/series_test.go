package entry

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/reach"
	"github.com/yuccalb/yuccalb/internal/fake/line"
	"github.com/yuccalb/yuccalb/internal/fake/origin"
	"github.com/yuccalb/yuccalb/internal/fake/proxy"
	"github.com/yuccalb/yuccalb/platform"
	"github.com/yuccalb/yuccalb/platform/plattest"
)

// cutNotice is the time from the beginning of a cut after which the callers of a host must be
// served all the same.
const cutNotice = 5 * time.Second

// Faults of all links of a host, as a partition shows itself to the host.
var (
	noCut     = linkFault{}
	resetAll  = linkFault{open: proxy.Fault{Reset: true}, dial: dialRefused}
	refuseNew = linkFault{dial: dialRefused}
	resetNew  = linkFault{open: proxy.Fault{ResetNew: true}}
	holdAll   = linkFault{open: proxy.Fault{HoldForth: true, HoldBack: true}, dial: dialHangs}
	holdForth = linkFault{open: proxy.Fault{HoldForth: true}, dial: dialHangs}
	holdBack  = linkFault{open: proxy.Fault{HoldBack: true}, dial: dialHangs}
)

// cutStep sets the fault of the links of some hosts at a time.
type cutStep struct {
	at    time.Duration
	hosts []int
	fault linkFault
}

// cuts are the steps of a series in the order of their times.
type cuts []cutStep

// since returns since when a host has been cut off at a time, and whether it is.
func (s cuts) since(host int, at time.Duration) (since time.Duration, cut bool) {
	for _, step := range s {
		if step.at > at || !slices.Contains(step.hosts, host) {
			continue
		}
		if step.fault == noCut {
			cut = false
		} else if !cut {
			since, cut = step.at, true
		}
	}
	return since, cut
}

// play applies the steps from a time on.
func (s cuts) play(paths []*links, begin time.Time) {
	for _, step := range s {
		time.Sleep(time.Until(begin.Add(step.at)))
		for _, i := range step.hosts {
			paths[i].cut(step.fault)
		}
	}
}

// regions starts three hosts and three servers in region b, then two hosts and two servers in
// region a. Only those of region b have links that can be cut.
func (cl *cluster) regions(script origin.Script) ([]*Entry, []*links) {
	cl.t.Helper()
	hosts, paths := cl.region(script)
	hosts = append(hosts, cl.host("a1"))
	for _, id := range []string{"t1", "t2"} {
		cl.server(id, "a1", script)
	}
	for _, e := range hosts {
		cl.eventually("report of the other region", func() bool { return len(e.fleet.RemoteRegions("desk")) == 1 })
	}
	return hosts, paths
}

// largeBody is written beside the reading of the response.
var largeBody = strings.Repeat("x", 200<<10)

// seriesCalls are those of each caller; only the last two may be served in region a.
var seriesCalls = []line.Call{get("/home-b/x"), post("/order-b/x", "1"), post("/chat-b/x", "1"), get("/safe/x"), post("/order/x", "1")}

// callDuring sends requests to all hosts until end. It counts those sent while their host has
// been cut off for cutNotice, and those sent meanwhile to hosts that are not cut off.
func (cl *cluster) callDuring(hosts []*Entry, calls []line.Call, s cuts, begin time.Time, last time.Duration) (cutOff, others *tries) {
	cutOff, others = newTries(), newTries()
	applies := func(at time.Duration) bool {
		for i := range hosts {
			if since, cut := s.since(i, at); cut && at-since >= cutNotice {
				return true
			}
		}
		return false
	}
	var done sync.WaitGroup
	for i, e := range hosts {
		for _, c := range calls {
			done.Go(func() {
				for at := time.Since(begin); at < last; at = time.Since(begin) {
					r := line.Response{}
					if conn, err := line.Dial(e.settings.Front); err == nil {
						r = conn.Do(c, nextID())
						_ = conn.Close()
					}
					since, cut := s.since(i, at)
					switch {
					case cut && at-since >= cutNotice:
						cutOff.add(c.Path, r)
					case !cut && applies(at):
						others.add(c.Path, r)
					}
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
	}
	done.Wait()
	return cutOff, others
}

// checkRecover checks that requests at hosts that are cut off are served at least two thirds as
// often as those at the others, and that few fail at either.
func checkRecover(t *testing.T, cutOff, others *tries) {
	t.Helper()
	sent, served := cutOff.total()
	otherSent, otherServed := others.total()
	t.Logf("cut off: %d of %d served, failed %v; others: %d of %d, failed %v", served, sent, cutOff.statuses, otherServed, otherSent, others.statuses)
	if sent == 0 || otherSent == 0 {
		t.Fatal("no requests were counted")
	}
	for path, n := range cutOff.sent {
		share, want := float64(cutOff.served[path])/float64(n), float64(others.served[path])/float64(others.sent[path])
		if share < 2*want/3 {
			t.Errorf("%s: %.2f of the requests are served at the hosts that are cut off, %.2f at the others", path, share, want)
		}
	}
	for name, n := range map[string]*tries{"that are cut off": cutOff, "that are not cut off": others} {
		if sent, served := n.total(); sent-served > 10+sent/50 {
			t.Errorf("%d of %d requests failed at the hosts %s", sent-served, sent, name)
		}
	}
}

// TestLostPathsInSeries guards against hosts that serve their callers far worse than the others
// once cuts of several kinds follow one another, overlap, act one way or meet other faults, and
// against requests of other hosts that suffer from them.
func TestLostPathsInSeries(t *testing.T) {
	type duringCut func(cl *cluster, hosts []*Entry, begin time.Time)
	unbound := seriesCalls[3:]
	tests := []struct {
		name   string
		cuts   cuts
		last   time.Duration
		calls  []line.Call
		during duringCut
	}{
		{"requests are held", cuts{{0, []int{0, 1}, holdForth}}, 9 * time.Second, seriesCalls, nil},
		{"responses are held", cuts{{0, []int{0, 1}, holdBack}}, 9 * time.Second, seriesCalls, nil},
		{"new connections refused", cuts{{0, []int{0, 1}, refuseNew}}, 9 * time.Second, seriesCalls, nil},
		{"hosts in turn", cuts{
			{0, []int{0}, refuseNew},
			{3 * time.Second, []int{1}, holdAll},
			{7 * time.Second, []int{0}, noCut},
			{7500 * time.Millisecond, []int{2}, resetAll},
			{9 * time.Second, []int{1}, noCut},
			{10 * time.Second, []int{0}, holdBack},
			{14 * time.Second, []int{2}, noCut},
			{14 * time.Second, []int{1}, resetNew},
			{16 * time.Second, []int{0}, noCut},
			{20 * time.Second, []int{1}, noCut},
		}, 20 * time.Second, seriesCalls, nil},
		{"kinds in series", cuts{
			{0, []int{0, 1}, resetAll},
			{2 * time.Second, []int{0, 1}, refuseNew},
			{4 * time.Second, []int{0, 1}, holdAll},
			{7 * time.Second, []int{0, 1}, resetNew},
			{8500 * time.Millisecond, []int{0, 1}, holdForth},
			{11 * time.Second, []int{0, 1}, holdBack},
		}, 14 * time.Second, seriesCalls, nil},
		{"short cuts of others", cuts{
			{0, []int{0}, holdAll},
			{2 * time.Second, []int{1}, resetAll},
			{3500 * time.Millisecond, []int{1}, noCut},
			{5 * time.Second, []int{1}, holdAll},
			{7 * time.Second, []int{1}, noCut},
			{8 * time.Second, []int{1}, refuseNew},
			{10 * time.Second, []int{1}, noCut},
			{11 * time.Second, []int{1}, holdBack},
			{13 * time.Second, []int{1}, noCut},
		}, 14 * time.Second, seriesCalls, nil},
		{"all hosts, responses held", cuts{{0, []int{0, 1, 2}, holdBack}}, 9 * time.Second, unbound, nil},
		{"some, then all hosts", cuts{
			{0, []int{0, 1}, holdAll},
			{6 * time.Second, []int{2}, resetAll},
			{12 * time.Second, []int{1, 2}, noCut},
			{13 * time.Second, []int{1, 2}, refuseNew},
		}, 19 * time.Second, unbound, nil},
		{"large bodies and streams", cuts{
			{0, []int{0, 1}, resetAll},
			{3 * time.Second, []int{0, 1}, holdAll},
			{8 * time.Second, []int{0, 1}, noCut},
			{8500 * time.Millisecond, []int{1, 2}, holdBack},
		}, 15 * time.Second, []line.Call{post("/order-b/x", largeBody), post("/order/x", largeBody), post("/ask/x", largeBody), post("/chat-b/x", "1")}, nil},
		{"store away", cuts{{time.Second, []int{0, 1}, resetAll}, {7 * time.Second, []int{0, 1}, holdAll}}, 11 * time.Second, seriesCalls, func(cl *cluster, _ []*Entry, begin time.Time) {
			cl.store.SetFault(func(*http.Request) int { return plattest.NoResponse })
			time.Sleep(time.Until(begin.Add(9 * time.Second)))
			cl.store.SetFault(nil)
		}},
		{"a neighbour stops", cuts{{0, []int{0}, holdAll}}, 10 * time.Second, seriesCalls, func(_ *cluster, hosts []*Entry, begin time.Time) {
			time.Sleep(time.Until(begin.Add(4 * time.Second)))
			_ = hosts[1].Close(context.Background())
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cl := newCluster(t)
			if tt.name == "store away" {
				cl.store.PutConfig(config(1)) // keys would not be confirmed any more
			}
			hosts, paths := cl.regions(mixed)
			begin := time.Now().Add(time.Second)
			var done sync.WaitGroup
			done.Go(func() { tt.cuts.play(paths, begin) })
			called := hosts
			if tt.during != nil {
				done.Go(func() { tt.during(cl, hosts, begin) })
			}
			if tt.name == "a neighbour stops" {
				called = slices.Concat(hosts[:1], hosts[2:])
			}
			cutOff, others := cl.callDuring(called, tt.calls, tt.cuts, begin, tt.last)
			done.Wait()
			checkRecover(t, cutOff, others)
		})
	}
}

// TestSilentServer guards against a path that counts as lost, and against a server that gets few
// requests for long, because one server falls silent for about a second and goes on.
func TestSilentServer(t *testing.T) {
	const (
		silent = 1200 * time.Millisecond
		series = 3
		rest   = time.Second // after a silence, until the server has its part again
		used   = time.Second
	)
	cl := newCluster(t)
	hosts, paths := cl.region(mixed)
	svc := hosts[0].fleet.Service("desk")
	s0, _ := svc.Table.Server("s0")
	var done sync.WaitGroup
	end := time.Now().Add(series*(silent+rest+used) + time.Second)
	n := newTries()
	cl.call(hosts[0], seriesCalls, time.Now(), end, n, &done)
	cl.call(hosts[1], seriesCalls, time.Now(), end, n, &done)
	done.Go(func() {
		for time.Now().Before(end) {
			for i, e := range hosts[:3] {
				if state := e.fleet.Path().State(); state != reach.Reached {
					t.Errorf("host %d: the path counts as %v", i, state)
				}
			}
			time.Sleep(10 * time.Millisecond)
		}
	})
	load := func() (all, of int) {
		for _, l := range []*links{paths[0], paths[1]} {
			l.mu.Lock()
			for addr, p := range l.proxies {
				all += p.Chunks()
				if addr == s0.Addr.String() {
					of += p.Chunks()
				}
			}
			l.mu.Unlock()
		}
		return all, of
	}
	for range series {
		for _, l := range paths[:2] {
			l.proxies[s0.Addr.String()].Set(proxy.Fault{HoldForth: true, HoldBack: true})
		}
		time.Sleep(silent)
		for _, l := range paths[:2] {
			l.proxies[s0.Addr.String()].Set(proxy.Fault{})
		}
		time.Sleep(rest)
		all, of := load()
		time.Sleep(used)
		allAfter, ofAfter := load()
		if got, sum := ofAfter-of, allAfter-all; got*6 < sum {
			t.Errorf("the server that was silent gets %d of %d requests", got, sum)
		}
	}
	done.Wait()
	if sent, served := n.total(); sent-served > sent/50 {
		t.Errorf("%d of %d requests failed: %v", sent-served, sent, n.statuses)
	}
}

// TestLostPathOfIdleHost guards against a host with few requests that does not notice that its
// path is lost, since each of them waits for another server until its deadline.
func TestLostPathOfIdleHost(t *testing.T) {
	const servers, warm = 8, 60
	cl := newCluster(t)
	hosts, paths := cl.region(mixed)
	for i := range servers {
		s := origin.New(t, mixed)
		for _, l := range paths {
			l.add(s.Addr())
		}
		cl.addServer(fmt.Sprintf("more%d", i), "b1", s)
	}
	var done sync.WaitGroup
	for range warm { // opens connections to all servers
		done.Go(func() { cl.do(hosts[0], get("/safe/x")) })
	}
	done.Wait()
	paths[0].cut(holdAll)
	begin := time.Now()
	failed := 0
	for time.Since(begin) < cutNotice+2*time.Second {
		late := time.Since(begin) > cutNotice
		r := cl.do(hosts[0], post("/order/x", "1").With(platform.HeaderDeadline, "1000"))
		if late && (r.Err != nil || r.Status != http.StatusOK) {
			failed++
		}
	}
	if failed > 0 {
		t.Errorf("%d requests failed later than %v after the cut", failed, cutNotice)
	}
}

// TestHostStartsCutOff guards against a host that starts while it has no path to the servers, and
// serves its callers far worse than the others.
func TestHostStartsCutOff(t *testing.T) {
	for name, fault := range map[string]linkFault{"held": holdAll, "refused": refuseNew} {
		t.Run(name, func(t *testing.T) {
			cl := newCluster(t)
			hosts, paths := cl.region(mixed)
			late := &links{t: t, proxies: make(map[string]*proxy.Proxy)}
			for addr := range paths[0].proxies {
				late.add(netip.MustParseAddrPort(addr))
			}
			late.cut(fault)
			settings := cl.settings("b1")
			settings.First = false
			hosts = append(hosts, cl.hostBy(settings, late))
			s := cuts{{0, []int{4}, fault}}
			cutOff, others := cl.callDuring(hosts, seriesCalls, s, time.Now(), cutNotice+2*time.Second)
			checkRecover(t, cutOff, others)
		})
	}
}
