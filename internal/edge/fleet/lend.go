package fleet

import (
	"net/netip"
	"slices"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/pick"
	"github.com/yuccalb/yuccalb/internal/edge/gossip"
)

// Lender is another host of the region that has room at servers with refusal limits.
type Lender struct {
	Name string
	Addr netip.AddrPort
	// Weight is the number of requests that it has room for.
	Weight float64
}

// Lenders returns the other hosts of the region that have room for requests to a service.
func (f *Fleet) Lenders(service string, now time.Time) []Lender {
	svc := f.Service(service)
	if svc == nil {
		return nil
	}
	weights := svc.Table.Lenders(now)
	if len(weights) == 0 {
		return nil
	}
	local, _ := f.reachable(now)
	var list []Lender
	for _, p := range local {
		if h := p.State.Host; weights[h.Name] > 0 && f.serves(&p, service, now) {
			list = append(list, Lender{Name: h.Name, Addr: h.Peer, Weight: weights[h.Name]})
		}
	}
	return list
}

// serves reports whether another host of the region sends requests to servers of a service.
func (f *Fleet) serves(p *gossip.Peer, service string, now time.Time) bool {
	s := &p.State
	return !s.Leaving && !s.CutOff && !slices.Contains(s.Unreached, service) && !f.marks.has(mark{p.Addr(), service}, now)
}

// rooms returns this host's room by service.
func (f *Fleet) rooms(now time.Time) map[string]pick.HostRoom {
	rooms := make(map[string]pick.HostRoom)
	for name, svc := range *f.tables.Load() {
		if r := svc.Table.HostRoom(svc.Held.Len(), now); r.Limited {
			r.Idle = r.Idle || f.Leaving()
			rooms[name] = r
		}
	}
	return rooms
}

// OwnRoom returns the number of requests for which this host has room of its own at servers
// with refusal limits.
func (f *Fleet) OwnRoom() int {
	sum := 0
	for _, r := range f.rooms(time.Now()) {
		sum += r.Own
	}
	return sum
}
