package beats

import (
	"net/netip"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/member"
	"github.com/yuccalb/yuccalb/internal/wire/peerpb"
)

// Bounds on the lists of a received heartbeat. Entries beyond them are ignored.
const (
	maxLoads      = 4096
	maxPlacements = 4096
	maxSummaries  = 256
	maxMembers    = 1024
	maxServices   = 1024
)

// encodeState returns the state of a host in its protobuf form.
func encodeState(leaving bool) peerpb.State {
	if leaving {
		return peerpb.State_STATE_LEAVING
	}
	return peerpb.State_STATE_LIVE
}

// encodeAddr returns the text of an address, or "" if it is invalid.
func encodeAddr(a netip.AddrPort) string {
	if !a.IsValid() {
		return ""
	}
	return a.String()
}

// decodeAddr parses an address. It returns the zero value if s is not one.
func decodeAddr(s string) netip.AddrPort {
	a, err := netip.ParseAddrPort(s)
	if err != nil {
		return netip.AddrPort{}
	}
	return a
}

func encodeIdent(id member.Ident, full bool) *peerpb.Ident {
	p := &peerpb.Ident{Addr: encodeAddr(id.Addr), Incarnation: id.Incarnation}
	if full {
		p.Site = id.Site
	}
	return p
}

func decodeIdent(p *peerpb.Ident) member.Ident {
	return member.Ident{Addr: decodeAddr(p.GetAddr()), Site: p.GetSite(), Incarnation: p.GetIncarnation()}
}

func encodeSummary(s *member.Summary) *peerpb.Summary {
	p := &peerpb.Summary{Site: s.Site, At: s.At, Version: s.Version, Floor: s.Floor}
	for _, m := range s.Members {
		p.Members = append(p.Members, &peerpb.Member{
			Addr: encodeAddr(m.Addr), Http: encodeAddr(m.HTTP),
			State: encodeState(m.State == member.StateLeaving), Incarnation: m.Incarnation,
		})
	}
	for _, c := range s.Capacities {
		p.Capacities = append(p.Capacities, &peerpb.Capacity{
			Service: c.Service, Servers: c.Servers, Free: c.Free, Wait: int64(c.Wait),
		})
	}
	return p
}

func encodeSummaries(list []member.Summary) []*peerpb.Summary {
	var out []*peerpb.Summary
	for i := range list {
		out = append(out, encodeSummary(&list[i]))
	}
	return out
}

func decodeSummary(p *peerpb.Summary) member.Summary {
	s := member.Summary{Site: p.GetSite(), At: p.GetAt(), Version: p.GetVersion(), Floor: p.GetFloor()}
	for _, m := range head(p.GetMembers(), maxMembers) {
		h := member.Host{
			Addr: decodeAddr(m.GetAddr()), HTTP: decodeAddr(m.GetHttp()),
			State: member.StateLive, Incarnation: m.GetIncarnation(),
		}
		if m.GetState() != peerpb.State_STATE_LIVE {
			h.State = member.StateLeaving
		}
		if h.Addr.IsValid() {
			s.Members = append(s.Members, h)
		}
	}
	for _, c := range head(p.GetCapacities(), maxServices) {
		s.Capacities = append(s.Capacities, member.Capacity{
			Service: c.GetService(), Servers: c.GetServers(), Free: c.GetFree(), Wait: time.Duration(c.GetWait()),
		})
	}
	return s
}

// decodeHeartbeat returns the membership part of a heartbeat.
func decodeHeartbeat(req *peerpb.BeatRequest) *member.Heartbeat {
	b := &member.Heartbeat{
		From:    decodeIdent(req.GetFrom()),
		HTTP:    decodeAddr(req.GetHttp()),
		Leaving: req.GetState() == peerpb.State_STATE_LEAVING,
	}
	for _, s := range head(req.GetSummaries(), maxSummaries) {
		b.Summaries = append(b.Summaries, decodeSummary(s))
	}
	return b
}

// head returns the first n elements of s, or all if there are fewer.
func head[T any](s []T, n int) []T { return s[:min(len(s), n)] }
