package beats

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/member"
	"github.com/yuccalb/yuccalb/internal/wire/peerpb"
)

func addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7000)
}

func httpAddr(i int) netip.AddrPort { return netip.AddrPortFrom(addr(i).Addr(), 8000) }

// cluster connects loops without a network and injects faults.
type cluster struct {
	t *testing.T

	mu           sync.Mutex
	loops        map[netip.AddrPort]*Loop
	latency      time.Duration
	blocked      func(from, to netip.AddrPort) bool
	unresponsive map[netip.AddrPort]bool
	list         []member.ListEntry
	listDown     bool
	directory    map[string][]netip.AddrPort
	writes       int
}

func newCluster(t *testing.T) *cluster {
	return &cluster{
		t: t, loops: make(map[netip.AddrPort]*Loop), latency: time.Millisecond,
		unresponsive: make(map[netip.AddrPort]bool), directory: make(map[string][]netip.AddrPort),
	}
}

// transport connects one host to the cluster. It implements Transport, Lister and
// Directory.
type transport struct {
	*cluster
	self netip.AddrPort
}

var errLost = errors.New("no connection")

func (tr transport) Beat(ctx context.Context, to netip.AddrPort, req *peerpb.BeatRequest) (*peerpb.BeatReply, error) {
	time.Sleep(tr.latency)
	tr.mu.Lock()
	l := tr.loops[to]
	lost := tr.blocked != nil && tr.blocked(tr.self, to)
	unresponsive := tr.unresponsive[to]
	tr.mu.Unlock()
	if unresponsive {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if l == nil || lost {
		return nil, errLost
	}
	return l.Beat(ctx, req)
}

func (tr transport) Hosts(context.Context) ([]member.ListEntry, error) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if tr.listDown {
		return nil, errLost
	}
	return tr.list, nil
}

func (tr transport) PutDirectory(_ context.Context, site string, addrs []netip.AddrPort) error {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.writes++
	tr.directory[site] = addrs
	return nil
}

// start starts host i with host 0 as its seed.
func (c *cluster) start(i int, site string, set func(*Options)) *Loop {
	tr := transport{c, addr(i)}
	opts := Options{
		Self: member.Ident{Addr: addr(i), Site: site, Incarnation: time.Now().UnixNano()}, HTTP: httpAddr(i),
		Seeds: []netip.AddrPort{addr(0)}, Transport: tr, Lister: tr, Directory: tr,
	}
	if set != nil {
		set(&opts)
	}
	l := Start(opts)
	c.mu.Lock()
	c.loops[addr(i)] = l
	c.mu.Unlock()
	return l
}

// set calls f, which changes the faults or counters, with the lock held.
func (c *cluster) set(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

// directoryEntries returns the addresses of a data centre in the client directory.
func (c *cluster) directoryEntries(site string) []netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.directory[site]
}

// crash stops host i without announcing that it leaves.
func (c *cluster) crash(i int) {
	c.mu.Lock()
	l := c.loops[addr(i)]
	delete(c.loops, addr(i))
	c.mu.Unlock()
	l.Close()
}

// stop stops all hosts.
func (c *cluster) stop() {
	for i := range 64 {
		if c.loops[addr(i)] != nil {
			c.crash(i)
		}
	}
}

// expect fails the test unless the view of every host has exactly the given members.
func (c *cluster) expect(what string, want ...int) {
	c.t.Helper()
	var addrs []netip.AddrPort
	for _, i := range want {
		addrs = append(addrs, addr(i))
	}
	for a, l := range c.loops {
		if got := l.View().Members(); !slices.Equal(got, addrs) {
			c.t.Errorf("%s: view of %s has members %v, want %v", what, a, got, addrs)
		}
	}
}

// exchange implements the interfaces for the payload of heartbeats and records what
// they receive.
type exchange struct {
	mu       sync.Mutex
	name     string
	log      []string
	paused   time.Duration
	blockFor time.Duration // how long the next Loads call blocks the loop
}

func (e *exchange) record(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.log = append(e.log, fmt.Sprintf(format, args...))
}

func (e *exchange) Version() Version {
	return Version{Number: 7, Digest: "digest of " + e.name, Confirmed: 3 * time.Second, Floor: 5}
}

func (e *exchange) ObserveVersion(from member.Ident, n uint64, digest string, confirmed time.Duration) {
	e.record("version %d %q %s from %s", n, digest, confirmed, from.Addr)
}

func (e *exchange) ObserveReply(from member.Ident, v Version, sent time.Time) {
	e.record("reply %d %q %s from %s, sent %s ago", v.Number, v.Digest, v.Confirmed, from.Addr, time.Since(sent))
}

func (e *exchange) Loads(full bool) []*peerpb.Load {
	e.mu.Lock()
	blockFor := e.blockFor
	e.blockFor = 0
	e.mu.Unlock()
	time.Sleep(blockFor)
	if blockFor > 0 {
		e.record("held")
	}
	return []*peerpb.Load{{Service: "load of " + e.name, Down: full}}
}

func (e *exchange) MergeLoads(from member.Ident, l []*peerpb.Load) {
	e.record("%s from %s, full %v", l[0].Service, from.Addr, l[0].Down)
}

func (e *exchange) Placements() []*peerpb.Placement { return []*peerpb.Placement{{Digest: 9}} }

func (e *exchange) MergePlacements(from member.Ident, p []*peerpb.Placement) {
	e.record("placement %d from %s", p[0].Digest, from.Addr)
}

func (e *exchange) Lease(to member.Ident, returned uint64, v *member.View) *peerpb.SlotLease {
	e.record("lease to %s %s %s, returned %d", v.State(to.Addr), to.Site, to.Addr, returned)
	return &peerpb.SlotLease{Seq: 11}
}

func (e *exchange) ReturnedLease(netip.AddrPort) uint64 { return 4 }

func (e *exchange) AcceptLease(from member.Ident, l *peerpb.SlotLease, sent time.Time) {
	e.record("lease %d from %s, sent %s ago", l.Seq, from.Addr, time.Since(sent))
}

func (e *exchange) Claims() time.Duration { return time.Minute }

func (e *exchange) ObserveClaims(from member.Ident, age time.Duration) {
	e.record("claims %s old from %s", age, from.Addr)
}

func (e *exchange) Capacities() []member.Capacity {
	return []member.Capacity{{Service: "drafter", Servers: 3, Free: 2, Wait: time.Second}}
}

func (e *exchange) Paused(d time.Duration) {
	e.record("paused")
	e.mu.Lock()
	defer e.mu.Unlock()
	e.paused += d
}

// attach sets every interface for the payload of heartbeats to e.
func (e *exchange) attach(o *Options) {
	o.Versions, o.Loads, o.Placements, o.Lessor, o.Lessee = e, e, e, e, e
	o.Claims, o.Capacities, o.Pauses = e, e, e
}
