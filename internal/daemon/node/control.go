package node

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yuccalb/yuccalb/internal/adapt/store"
	"github.com/yuccalb/yuccalb/internal/core/member"
	"github.com/yuccalb/yuccalb/internal/core/model"
	"github.com/yuccalb/yuccalb/internal/core/quota"
	"github.com/yuccalb/yuccalb/internal/daemon/front"
	"github.com/yuccalb/yuccalb/internal/daemon/target"
)

// control passes changes of configuration and membership to the components that
// depend on them, and polls backend servers for load reports and cache events. The
// control goroutines of membership, configuration and slot claims are in their own
// packages.
type control struct {
	n      *Node
	poller *target.Poller
	caches *target.CachePoller
	seed   atomic.Uint64 // varies the order of hosts in responses to GET /v1/hosts
	stop   context.CancelFunc
	wg     sync.WaitGroup
}

func newControl(n *Node) *control {
	reader := loadReader{n.engine}
	return &control{n: n, poller: target.NewPoller(reader), caches: target.NewCachePoller(reader)}
}

// start starts the goroutines, which run until close.
func (c *control) start() {
	ctx, stop := context.WithCancel(context.Background())
	c.stop = stop
	c.wg.Go(func() { c.watchState(ctx) })
	c.wg.Go(func() { c.pollLoads(ctx) })
	c.wg.Go(func() { c.pollCaches(ctx) })
}

// close stops the goroutines and waits for them.
func (c *control) close() {
	c.stop()
	c.wg.Wait()
}

// watchState calls applyState once per tick and whenever a new configuration comes into
// force.
func (c *control) watchState(ctx context.Context) {
	tick := time.NewTicker(member.Tick)
	defer tick.Stop()
	for {
		changed := c.n.config.fetch.Changed()
		c.applyState()
		select {
		case <-tick.C:
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// storeDuties are the duties of watching the store. Membership assigns each of them to
// one host of the data centre, so that usually two hosts watch.
var storeDuties = []string{"store/0", "store/1"}

// applyState passes the current configuration and view to the other components.
func (c *control) applyState() {
	n, snap, view := c.n, c.n.config.Current(), c.n.beats.View()
	n.targets.Update(snap, view, time.Now())
	if snap.Version > 0 {
		n.config.history.apply(snap, n.exchange.globalFloor(), time.Now())
	}
	n.limiter.SetView(c.quotaView(view))
	self := n.o.Settings.Peer.AddrPort
	local := slices.DeleteFunc(slices.Clone(view.Members()), func(a netip.AddrPort) bool { return a == self })
	var remote, watchers []netip.AddrPort
	for _, site := range view.Sites() {
		remote = append(remote, liveHosts(site)...)
	}
	watch := false
	for _, duty := range storeDuties {
		watch = watch || view.Has(duty)
		if owner := view.Owner(duty); owner.IsValid() && owner != self {
			watchers = append(watchers, owner)
		}
	}
	n.config.fetch.SetPeers(local, remote, watchers, watch)
}

// quotaView converts a membership view to the form that rate limits use.
func (c *control) quotaView(view *member.View) *quota.View {
	q := &quota.View{Members: view.Members(), Order: view.Order}
	snap := c.n.config.Current()
	for _, site := range view.Sites() {
		hosts := liveHosts(site)
		q.Remotes = append(q.Remotes, quota.Remote{
			Site: site.Name, Region: snap.RegionOf(site.Name),
			Owner: func(duty string) netip.AddrPort { return member.OwnerOf(duty, hosts) },
		})
	}
	return q
}

// liveHosts returns the hosts of another data centre that are in StateLive, which are
// those that can have duties.
func liveHosts(site member.Site) []netip.AddrPort {
	var hosts []netip.AddrPort
	for _, h := range site.Members {
		if h.State == member.StateLive {
			hosts = append(hosts, h.Addr)
		}
	}
	return hosts
}

// pollLoads reads the load reports of the servers that are assigned to this host.
func (c *control) pollLoads(ctx context.Context) {
	tick := time.NewTicker(member.Tick)
	defer tick.Stop()
	for {
		polled := c.poller.Poll(ctx, c.polledServers())
		c.n.targets.RecordLoads(polled)
		c.n.exchange.mu.Lock()
		c.n.exchange.loads = polled
		c.n.exchange.mu.Unlock()
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// polledServers returns the servers that membership assigns to this host for polling.
func (c *control) polledServers() []target.Server {
	view := c.n.beats.View()
	return slices.DeleteFunc(c.n.targets.Servers(), func(s target.Server) bool { return !view.Has(target.PollKey(s.Addr)) })
}

// pollCaches reads the cache events of the engines that are assigned to this host.
func (c *control) pollCaches(ctx context.Context) {
	tick := time.NewTicker(member.Tick)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		snap := c.n.config.Current()
		engines := slices.DeleteFunc(c.polledServers(), func(s target.Server) bool {
			svc := snap.Service(s.Service)
			return svc == nil || svc.Kind != model.KindEngine
		})
		c.caches.Poll(ctx, engines, c.n.targets.RecordCacheEvents)
	}
}

// presumedFailed reports whether the local view shows a host of the data centre as
// failed or does not contain it. It returns false until the view is settled, because
// heartbeats of healthy peers may not have arrived before that.
func (c *control) presumedFailed(addr netip.AddrPort) bool {
	view := c.n.beats.View()
	state := view.State(addr)
	return view.Settled() && (state == member.StateDead || state == member.StateUnknown)
}

// checkCurrent returns nil if the configuration in force is at least as new as that in
// the store.
func (c *control) checkCurrent(ctx context.Context) error {
	head, _, err := store.Head(ctx, c.n.kv)
	if err != nil {
		return fmt.Errorf("read the configuration head: %w", err)
	}
	if have := c.n.config.Current().Version; head == nil || have == 0 || have < head.Version {
		return fmt.Errorf("configuration version %d is in force, but the store has a newer one or none", have)
	}
	return nil
}

// Hosts implements front.Fleet.
func (c *control) Hosts(regions []string) []front.Host {
	snap := c.n.config.Current()
	if len(regions) == 0 {
		for _, r := range snap.Config.Regions {
			regions = append(regions, r.Name)
		}
	}
	var hosts []front.Host
	view := c.n.beats.View()
	starting := c.starting(view)
	for _, a := range view.Answers(snap, regions, c.seed.Add(1)) {
		if slices.Contains(starting, a.Addr) {
			continue
		}
		hosts = append(hosts, front.Host{Addr: a.Addr, Site: a.Site, Region: a.Region})
	}
	return hosts
}

// starting returns the HTTP addresses of the peers that have not reported a
// configuration version yet.
func (c *control) starting(view *member.View) []netip.AddrPort {
	var out []netip.AddrPort
	for _, h := range view.Hosts() {
		if h.Addr != view.Self().Addr && c.n.exchange.versionOf(h.Addr) == 0 {
			out = append(out, h.HTTP)
		}
	}
	return out
}
