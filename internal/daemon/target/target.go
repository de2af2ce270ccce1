// Package target maintains for each service the router, which chooses among backend
// servers and data centres, and the gate, which limits concurrent requests. Package
// serve uses both to send requests on. They are updated from the configuration, the
// membership and the load reports of backend servers.
package target

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/member"
	"github.com/yuccalb/yuccalb/internal/core/model"
	"github.com/yuccalb/yuccalb/internal/core/queue"
	"github.com/yuccalb/yuccalb/internal/core/route"
	"github.com/yuccalb/yuccalb/internal/daemon/wait"
)

const (
	// defaultBatchSize is the assumed batch size of a server that has not reported it.
	defaultBatchSize = 8
	// oversubscription is the ratio of requests at a server to its batch size. It lets a
	// server queue a few requests, so that its batch stays full between two load
	// reports.
	oversubscription = 1.25
	// localRegionDelay and remoteRegionDelay are the assumed one-way network delays
	// within a region and between regions.
	localRegionDelay  = time.Millisecond
	remoteRegionDelay = 55 * time.Millisecond
	// loadExpiry is the age after which a load report is discarded.
	loadExpiry = 10 * time.Second
)

// Config describes the host of a Set.
type Config struct {
	Site string
	// WAN limits forwarded requests to one remote region, in bytes per second for all
	// hosts of the data centre together.
	WAN int64
	// Seed seeds random choices. It differs between hosts, so that their choices do.
	Seed uint64
}

// Service holds the router and the gate of one service.
type Service struct {
	Name   string
	Router *route.Router
	Gate   *wait.Gate

	servers []netip.AddrPort // in the local data centre
}

// Set holds the services of the configuration. It is safe for concurrent use.
type Set struct {
	cfg Config

	mu       sync.RWMutex
	rng      *rand.Rand
	region   string
	services map[string]*Service
	loads    map[netip.AddrPort]Load
	hosts    int
}

// Load is a load report of a server and the service to which the server belongs.
type Load struct {
	Service string
	route.Load
}

// New returns a set without services.
func New(cfg Config) *Set {
	return &Set{
		cfg:      cfg,
		rng:      rand.New(rand.NewPCG(cfg.Seed, cfg.Seed>>7)),
		services: make(map[string]*Service),
		loads:    make(map[netip.AddrPort]Load),
		hosts:    1,
	}
}

// Service returns a service by name, or nil.
func (s *Set) Service(name string) *Service {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.services[name]
}

// Region returns the region of the local data centre.
func (s *Set) Region() string {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.region
}

// Update applies a new configuration or membership view. It is called by the control
// goroutine.
func (s *Set) Update(snap *model.Snapshot, view *member.View, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.region = snap.RegionOf(s.cfg.Site)
	s.hosts = max(1, len(view.Members()))
	for i := range snap.Config.Services {
		s.updateService(snap, &snap.Config.Services[i], view, now)
	}
	for name, svc := range s.services {
		if snap.Service(name) == nil {
			svc.Router.Table.SetServers(nil, now)
			delete(s.services, name)
		}
	}
	s.expire(now)
}

// updateService applies the configuration and membership to one service, which it
// creates if it is new. s.mu must be held.
func (s *Set) updateService(snap *model.Snapshot, def *model.Service, view *member.View, now time.Time) {
	svc := s.services[def.Name]
	if svc == nil {
		svc = s.newService(def.Name)
		s.services[def.Name] = svc
	}
	svc.servers = svc.servers[:0:0]
	var servers []route.Server
	for _, server := range def.Servers {
		if server.Site != s.cfg.Site {
			continue
		}
		svc.servers = append(svc.servers, server.Addr)
		servers = append(servers, route.Server{Addr: server.Addr, Leaving: server.Leaving, RTT: localRegionDelay})
	}
	svc.Router.Table.SetServers(servers, now)
	svc.Router.Table.SetHosts(s.hosts)
	svc.Router.Sites.SetHosts(s.hosts)
	svc.Router.Sites.UpdateSummaries(s.otherSites(snap, def.Name, view), now)
	s.updateLimit(svc)
}

// newService returns a service without servers.
func (s *Set) newService(name string) *Service {
	sites := route.DefaultSitesConfig(1)
	return &Service{
		Name: name,
		Router: &route.Router{
			Table: route.NewTable(route.DefaultConfig(s.region), rand.New(rand.NewPCG(s.rng.Uint64(), s.rng.Uint64()))),
			Sites: route.NewSites(sites),
		},
		Gate: wait.New(queue.DefaultConfig(), defaultBatchSize),
	}
}

// otherSites converts the summaries of the other data centres that have servers of
// service.
func (s *Set) otherSites(snap *model.Snapshot, service string, view *member.View) []route.Site {
	var sites []route.Site
	for _, other := range view.Sites() {
		region := snap.RegionOf(other.Name)
		if region == "" {
			continue
		}
		site := route.Site{
			Name: other.Name, Region: region, At: other.Received,
			Delay: localRegionDelay, CrossRegion: region != s.region,
		}
		if site.CrossRegion {
			site.Delay, site.Bandwidth = remoteRegionDelay, float64(s.cfg.WAN)
		}
		for _, c := range other.Capacities {
			if c.Service == service {
				site.Servers, site.FreeSlots, site.Wait = int(c.Servers), int(c.Free), c.Wait
			}
		}
		if site.Servers > 0 {
			sites = append(sites, site)
		}
	}
	return sites
}

// updateLimit sets how many requests of this host the gate admits at the same time: an
// equal share of the batches of all servers or, if that is more, the requests that it
// already has there and an equal share of the free capacity.
func (s *Set) updateLimit(svc *Service) {
	total, used := 0, 0
	for _, addr := range svc.servers {
		load, ok := s.loads[addr]
		if !ok {
			total += defaultBatchSize
			continue
		}
		if load.Down || load.Leaving {
			continue
		}
		size := load.BatchSize
		if size == 0 {
			size = defaultBatchSize
		}
		total += int(float64(size) * oversubscription)
		used += load.Queued + load.Running
	}
	_, inUse := svc.Gate.Load()
	share := (total + s.hosts - 1) / s.hosts
	svc.Gate.SetLimit(max(1, share, inUse+max(0, total-used)/s.hosts), max(1, share))
}

// RecordLoads records load reports that were polled or received from peers. A report without
// a service is completed from the previous report of the same server, and ignored if
// there is none.
func (s *Set) RecordLoads(loads []Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	byService := make(map[string][]route.Load)
	for _, load := range loads {
		prev, known := s.loads[load.Addr]
		if known && prev.At.After(load.At) {
			continue
		}
		if load.Service == "" {
			if !known {
				continue
			}
			load.Service, load.BatchSize, load.Prefill = prev.Service, prev.BatchSize, prev.Prefill
		}
		s.loads[load.Addr] = load
		byService[load.Service] = append(byService[load.Service], load.Load)
	}
	for name, list := range byService {
		if svc := s.services[name]; svc != nil {
			svc.Router.Table.UpdateLoads(list)
			s.updateLimit(svc)
		}
	}
}

// expire discards reports older than loadExpiry.
func (s *Set) expire(now time.Time) {
	for addr, load := range s.loads {
		if now.Sub(load.At) > loadExpiry {
			delete(s.loads, addr)
		}
	}
}

// Loads returns the current load reports, sorted by address.
func (s *Set) Loads() []Load {
	s.mu.RLock()
	defer s.mu.RUnlock()
	loads := make([]Load, 0, len(s.loads))
	for _, load := range s.loads {
		loads = append(loads, load)
	}
	slices.SortFunc(loads, func(a, b Load) int { return a.Addr.Compare(b.Addr) })
	return loads
}

// Server is a backend server of the local data centre with its service.
type Server struct {
	Addr    netip.AddrPort
	Service string
}

// Servers returns all servers of the local data centre, sorted by address.
func (s *Set) Servers() []Server {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var servers []Server
	for _, svc := range s.services {
		for _, addr := range svc.servers {
			servers = append(servers, Server{addr, svc.Name})
		}
	}
	slices.SortFunc(servers, func(a, b Server) int { return a.Addr.Compare(b.Addr) })
	return servers
}

// Capacities returns the capacity of each service in the local data centre, which is
// reported to other data centres.
func (s *Set) Capacities() []member.Capacity {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var out []member.Capacity
	for _, svc := range s.services {
		if c := s.capacity(svc); c.Servers > 0 {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b member.Capacity) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// capacity returns the capacity of one service.
func (s *Set) capacity(svc *Service) member.Capacity {
	c := member.Capacity{Service: svc.Name}
	var pending, prefill int
	for _, addr := range svc.servers {
		load, ok := s.loads[addr]
		if !ok || load.Down || load.Leaving {
			continue
		}
		c.Servers++
		c.Free += uint32(max(0, load.BatchSize-load.Running-load.Queued))
		pending += load.Pending
		prefill += load.Prefill
	}
	if c.Free == 0 && prefill > 0 {
		c.Wait = time.Duration(float64(pending) / float64(prefill) * float64(time.Second))
	}
	if c.Free == 0 {
		c.Wait += svc.Gate.Expected(wait.Request{})
	}
	return c
}

// Placements returns up to limit placements made since the last call, to be sent to
// peers. Any others are discarded.
func (s *Set) Placements(limit int) []route.Placement {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var out []route.Placement
	for _, svc := range s.services {
		out = svc.Router.Table.TakePlacements(out)
	}
	if len(out) > limit {
		out = out[:limit]
	}
	return out
}

// RecordPlacements records placements that were received from a peer.
func (s *Set) RecordPlacements(placements []route.Placement, now time.Time) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, svc := range s.services {
		svc.Router.Table.AddPeerPlacements(placements, now)
	}
}

// Close makes all services reject new requests and waits for those already accepted.
func (s *Set) Close() error {
	s.mu.RLock()
	gates := make([]*wait.Gate, 0, len(s.services))
	for _, svc := range s.services {
		gates = append(gates, svc.Gate)
	}
	s.mu.RUnlock()
	for _, gate := range gates {
		if err := gate.Close(); err != nil {
			return err
		}
	}
	return nil
}
