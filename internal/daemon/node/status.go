package node

import (
	"context"
	"fmt"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/member"
	"github.com/yuccalb/yuccalb/internal/core/model"
	"github.com/yuccalb/yuccalb/internal/core/route"
	"github.com/yuccalb/yuccalb/internal/daemon/admin"
	"github.com/yuccalb/yuccalb/internal/daemon/orders"
)

// Ready reports whether the daemon has a configuration and its membership view has had
// time to settle.
func (n *Node) Ready() bool {
	return n.config.Current().Version > 0 && n.beats.View().Settled()
}

// Status implements admin.Node.
func (n *Node) Status() admin.Status {
	snap, view, now := n.config.Current(), n.beats.View(), time.Now()
	s := admin.Status{
		Host: n.o.Settings.Peer.AddrPort, Site: n.o.Settings.Site, Region: snap.RegionOf(n.o.Settings.Site),
		State: *n.state.Load(), Version: snap.Version, Digest: snap.Digest,
		Confirmed: admin.Duration(n.config.ConfirmedAge()), Uptime: admin.Duration(now.Sub(n.started)),
		Running: n.front.Running(), Slot: n.claims.Load().Slot(), Limited: n.limits.recent(now),
	}
	for _, h := range view.Hosts() {
		if h.Addr != s.Host {
			s.Peers = append(s.Peers, admin.Peer{Host: h.Addr, State: h.State.String(), Version: n.exchange.versionOf(h.Addr)})
		}
	}
	for _, o := range view.Sites() {
		s.Sites = append(s.Sites, admin.Site{
			Name: o.Name, Region: snap.RegionOf(o.Name), State: member.StateLive.String(),
			Version: o.Version, Received: admin.Duration(now.Sub(o.Received)), Hosts: len(o.Members),
		})
	}
	for _, l := range n.targets.Loads() {
		s.Servers = append(s.Servers, admin.Server{Addr: l.Addr, Service: l.Service, State: serverState(l.Load), Queued: l.Queued, Running: l.Running, Limit: l.BatchSize})
	}
	return s
}

// slowPrefill is the prefill time of the waiting prompts above which a server is shown as
// slow. 95 of 100 requests get their first token within this time.
const slowPrefill = 1400 * time.Millisecond

// serverState returns the state of a backend server according to its last report: down,
// leaving, slow (the prefill of waiting prompts takes longer than slowPrefill), full (no
// batch slot is free) or up.
func serverState(l route.Load) string {
	wait := time.Duration(0)
	if l.Prefill > 0 {
		wait = time.Duration(float64(l.Pending) / float64(l.Prefill) * float64(time.Second))
	}
	switch {
	case l.Down:
		return "down"
	case l.Leaving:
		return "leaving"
	case wait > slowPrefill:
		return "slow"
	case l.BatchSize > 0 && l.Running >= l.BatchSize:
		return "full"
	}
	return "up"
}

// registerMetrics registers the metrics whose values are read on collection.
func (n *Node) registerMetrics() {
	n.metrics.Gauge("yuccalb_config_version", "Version of the configuration in force.", func() float64 {
		return float64(n.config.Current().Version)
	})
	n.metrics.Gauge("yuccalb_config_confirmed_seconds", "Time since the store confirmed the version.", func() float64 {
		return n.config.ConfirmedAge().Seconds()
	})
	n.metrics.Gauge("yuccalb_intake_bytes", "Memory that connections and the heads of requests are charged for, in bytes.", func() float64 {
		return float64(n.gate.Bytes())
	})
	n.metrics.Counter("yuccalb_peer_received_bytes_total", "Bytes received from other hosts.", func() float64 {
		return float64(n.traffic.in.Load())
	})
	n.metrics.Counter("yuccalb_peer_sent_bytes_total", "Bytes sent to other hosts.", func() float64 {
		return float64(n.traffic.out.Load())
	})
	n.metrics.Gauge("yuccalb_peers", "Live hosts of the data centre.", func() float64 {
		return float64(len(n.beats.View().Members()))
	})
	n.metrics.Gauge("yuccalb_slot", "Claimed slot, -1 for none.", func() float64 { return float64(n.claims.Load().Slot()) })
	n.metrics.Gauge("yuccalb_sites", "Other data centres heard from lately.", func() float64 {
		return float64(len(n.beats.View().Sites()))
	})
}

// Order implements admin.Node. The server must be an engine in the configuration.
func (n *Node) Order(ctx context.Context, o orders.Order) error {
	for _, svc := range n.config.Current().Config.Services {
		for _, server := range svc.Servers {
			if server.Addr == o.Server && svc.Kind == model.KindEngine {
				return n.orders.Send(ctx, server, o)
			}
		}
	}
	return fmt.Errorf("no engine %s in the configuration", o.Server)
}
