package entry

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/reach"
	"github.com/yuccalb/yuccalb/internal/edge/boot"
	"github.com/yuccalb/yuccalb/internal/edge/logs"
	"github.com/yuccalb/yuccalb/internal/edge/send"
	"github.com/yuccalb/yuccalb/internal/fake/line"
	"github.com/yuccalb/yuccalb/internal/fake/origin"
	"github.com/yuccalb/yuccalb/internal/fake/proxy"
	"github.com/yuccalb/yuccalb/platform"
)

// links are the paths of one host to the servers: a proxy for each.
type links struct {
	t       *testing.T
	mu      sync.Mutex
	proxies map[string]*proxy.Proxy
	fault   linkFault
}

// dialFault is what happens to a connection that is being opened.
type dialFault int

const (
	dialOpens dialFault = iota
	dialRefused
	dialHangs
)

// linkFault is the fault of a link: that of its open connections, and of those being opened.
type linkFault struct {
	open proxy.Fault
	dial dialFault
}

// dial opens a connection through the proxy of an address.
func (l *links) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	l.mu.Lock()
	p, fault := l.proxies[addr], l.fault.dial
	l.mu.Unlock()
	switch {
	case p == nil:
		return nil, fmt.Errorf("no link to %s", addr)
	case fault == dialRefused:
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	case fault == dialHangs:
		ctx, cancel := context.WithTimeout(ctx, send.DefaultDial)
		defer cancel()
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
	}
	return send.NewDialer(send.DefaultDial).DialContext(ctx, network, p.Addr().String())
}

// add adds the link to a server.
func (l *links) add(addr netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.proxies[addr.String()] = proxy.New(l.t, addr)
}

// set sets the fault of all links, whose connections open as before.
func (l *links) set(f proxy.Fault) { l.cut(linkFault{open: f}) }

// cut sets the fault of all links.
func (l *links) cut(f linkFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = f
	for _, p := range l.proxies {
		p.Set(f.open)
	}
}

// linkedHost starts a host whose paths to servers are links.
func (cl *cluster) linkedHost(s boot.Settings) (*Entry, *links) {
	cl.t.Helper()
	l := &links{t: cl.t, proxies: make(map[string]*proxy.Proxy)}
	return cl.hostBy(s, l), l
}

// hostBy starts a host whose paths to servers are the given links.
func (cl *cluster) hostBy(s boot.Settings, l *links) *Entry {
	cl.t.Helper()
	out := logs.NewWriter(io.Discard)
	e, err := start(s, logs.New(out, s.Host, true), l.dial)
	if err != nil {
		cl.t.Fatal(err)
	}
	cl.hosts = append(cl.hosts, e)
	cl.t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel() // no request is in progress
		_ = e.Close(ctx)
		_ = out.Close()
	})
	cl.waitReady(e)
	return e
}

// region starts three hosts and three servers in region b, and a host in region a, which is
// the last one and has no servers.
func (cl *cluster) region(script origin.Script) ([]*Entry, []*links) {
	cl.t.Helper()
	var hosts []*Entry
	var paths []*links
	for range 3 {
		e, l := cl.linkedHost(cl.settings("b1"))
		hosts = append(hosts, e)
		paths = append(paths, l)
	}
	hosts = append(hosts, cl.host("a1"))
	for i := range 3 {
		s := origin.New(cl.t, script)
		for _, l := range paths {
			l.add(s.Addr())
		}
		cl.addServer(fmt.Sprintf("s%d", i), "b1", s)
	}
	for _, e := range hosts {
		cl.eventually("state reports", func() bool { return len(e.exchange.Peers()) == 3 })
	}
	cl.eventually("report of region b", func() bool { return len(hosts[3].fleet.RemoteRegions("desk")) == 1 })
	return hosts, paths
}

// mixed answers requests of all routes, after some work.
func mixed(x *origin.Exchange) bool {
	if strings.Contains(x.URL.Path, "chat") || strings.Contains(x.URL.Path, "ask") {
		return slowStream(3, 20*time.Millisecond)(x)
	}
	time.Sleep(20 * time.Millisecond)
	return ok(x)
}

// tries counts first attempts by path.
type tries struct {
	mu           sync.Mutex
	sent, served map[string]int
	statuses     map[string]int
}

func newTries() *tries {
	return &tries{sent: make(map[string]int), served: make(map[string]int), statuses: make(map[string]int)}
}

func (n *tries) add(path string, r line.Response) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sent[path]++
	if r.Status == http.StatusOK && r.Err == nil {
		n.served[path]++
		return
	}
	n.statuses[fmt.Sprintf("%s %d", path, r.Status)]++
}

// total returns the sums over all paths.
func (n *tries) total() (sent, served int) {
	for path := range n.sent {
		sent += n.sent[path]
		served += n.served[path]
	}
	return sent, served
}

// call sends requests to a host from several callers for each path until end, and
// counts those sent after from.
func (cl *cluster) call(e *Entry, calls []line.Call, from, end time.Time, n *tries, done *sync.WaitGroup) {
	const callers = 2
	for _, c := range calls {
		for range callers {
			done.Go(func() {
				for {
					sent := time.Now()
					if sent.After(end) {
						return
					}
					r := line.Response{}
					if conn, err := line.Dial(e.settings.Front); err == nil {
						r = conn.Do(c, nextID())
						_ = conn.Close()
					}
					if sent.After(from) {
						n.add(c.Path, r)
					}
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
	}
}

// TestLostPathToServers guards against hosts that serve their callers far worse than the hosts
// beside them because they alone have lost the path to all servers of their region.
func TestLostPathToServers(t *testing.T) {
	const (
		notice = 5 * time.Second // from the beginning of the cut
		cut    = 8 * time.Second
	)
	faults := map[string]proxy.Fault{
		"reset":            {Reset: true},
		"open ones remain": {ResetNew: true},
		"held":             {HoldForth: true, HoldBack: true},
	}
	calls := []line.Call{get("/home-b/x"), post("/order-b/x", "1"), post("/chat-b/x", "1"), get("/safe/x"), post("/order/x", "1")}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			cl := newCluster(t)
			hosts, paths := cl.region(mixed)
			cutOff, others := newTries(), newTries()
			var done sync.WaitGroup
			begin := time.Now().Add(time.Second)
			from, end := begin.Add(notice), begin.Add(cut)
			cl.call(hosts[0], calls, from, end, cutOff, &done)
			cl.call(hosts[1], calls, from, end, cutOff, &done)
			cl.call(hosts[2], calls, from, end, others, &done)
			cl.call(hosts[3], calls, from, end, others, &done)
			time.Sleep(time.Until(begin))
			paths[0].set(fault)
			paths[1].set(fault)
			done.Wait()
			sent, served := cutOff.total()
			otherSent, otherServed := others.total()
			t.Logf("cut off: %d of %d served, failed %v; others: %d of %d, failed %v", served, sent, cutOff.statuses, otherServed, otherSent, others.statuses)
			for path, n := range cutOff.sent {
				share, want := float64(cutOff.served[path])/float64(n), float64(others.served[path])/float64(others.sent[path])
				if share < 2*want/3 {
					t.Errorf("%s: %.2f of the requests are served at the hosts that are cut off, %.2f at the others", path, share, want)
				}
			}
			if failed := sent + otherSent - served - otherServed; failed > 10+(sent+otherSent)/50 {
				t.Errorf("%d of %d requests failed", failed, sent+otherSent)
			}
		})
	}
}

// TestStreamDuringLostPath guards against streams that end early or hang, although they may be
// resumed, when the path to their servers is lost.
func TestStreamDuringLostPath(t *testing.T) {
	const events, callers = 12, 6
	script := func(x *origin.Exchange) bool {
		if !strings.Contains(x.URL.Path, "ask") {
			return ok(x)
		}
		last, _ := strconv.Atoi(x.Header.Get(platform.HeaderLastEventID)) // 0 without the header
		x.StartStream()
		for i := last + 1; i <= events; i++ {
			time.Sleep(50 * time.Millisecond)
			x.Chunk(origin.Event(i))
		}
		return x.EndStream()
	}
	for name, fault := range map[string]proxy.Fault{"reset": {Reset: true}, "held": {HoldForth: true, HoldBack: true}} {
		t.Run(name, func(t *testing.T) {
			cl := newCluster(t)
			cl.retries = 200 // so that each stream may need two
			hosts, paths := cl.region(script)
			for range 200 { // fill the retry budget
				wantStatus(t, cl.do(hosts[0], get("/safe/x")), http.StatusOK)
			}
			var done sync.WaitGroup
			for range callers {
				done.Go(func() {
					if a := cl.do(hosts[0], post("/ask/x", "1").With(platform.HeaderDeadline, "5000")); a.Status != http.StatusOK || a.Err != nil || a.Body != origin.Events(1, events) {
						t.Errorf("status %d, error %v, %d bytes, want %d", a.Status, a.Err, len(a.Body), len(origin.Events(1, events)))
					}
				})
			}
			time.Sleep(300 * time.Millisecond)
			paths[0].set(fault)
			done.Wait()
		})
	}
}

// TestLookupDuringLostPath guards against lookups that name hosts without a path to the servers
// while most hosts have one, and against lookups that name no host.
func TestLookupDuringLostPath(t *testing.T) {
	cl := newCluster(t)
	hosts, paths := cl.region(mixed)
	named := func() []netip.AddrPort { return hosts[2].fleet.HostsFor("b", rand.New(rand.NewPCG(1, 2))) }
	lose := func(i int) {
		paths[i].set(proxy.Fault{Reset: true})
		cl.eventually("path lost", func() bool {
			cl.do(hosts[i], get("/safe/x"))
			return hosts[i].fleet.CutOff()
		})
	}
	lose(0)
	cl.eventually("lookups name the others", func() bool {
		return len(named()) == 2 && !slices.Contains(named(), hosts[0].settings.Front)
	})
	lose(1)
	cl.eventually("lookups name all hosts", func() bool { return len(named()) == 3 })
	for _, i := range []int{0, 1} {
		paths[i].set(proxy.Fault{})
		cl.eventually("path regained", func() bool { return hosts[i].fleet.Path().State() == reach.Reached })
	}
}
