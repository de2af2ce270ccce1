package fleet

import (
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/pick"
	"github.com/yuccalb/yuccalb/internal/core/spec"
	"github.com/yuccalb/yuccalb/internal/edge/gossip"
)

// TestAbsentServicesBounded guards against memory that grows with each service that a version
// of the configuration leaves out.
func TestAbsentServicesBounded(t *testing.T) {
	a := make(absentServices)
	now := time.Now()
	for i := range 2 * maxAbsent {
		a.add(strconv.Itoa(i), &Service{}, now.Add(time.Duration(i)*time.Second))
	}
	if len(a) != maxAbsent || a.take("0") != nil || a.take(strconv.Itoa(maxAbsent)) == nil {
		t.Errorf("%d services kept, want the newest %d", len(a), maxAbsent)
	}
	a.expire(now.Add(absentTTL + (2*maxAbsent-1)*time.Second))
	if len(a) != 1 {
		t.Errorf("%d services kept after their time, want the last one", len(a))
	}
}

// server returns the entry of a server of the service desk.
func server(id string) spec.Server {
	return spec.Server{ID: id, Service: "desk", Addr: netip.MustParseAddrPort("10.1.0.9:80"), Site: "a1", Born: 5, Seq: 1}
}

// list puts servers of the service desk, as Update does, into the table that the fleet holds for it.
func (f *Fleet) list(t *testing.T, now time.Time, servers ...spec.Server) *pick.Table {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.absent.take("desk")
	if s == nil {
		s = newService(spec.Service{Name: "desk"})
	}
	s.Table.Update(spec.Service{Name: "desk", Engine: true}, servers, nil, pick.RegionHosts{Self: "a-0", Hosts: []string{"a-0"}}, now)
	f.tables.Store(&map[string]*Service{"desk": s})
	return s.Table
}

// leaveOut removes the service desk, as a version does that does not name it.
func (f *Fleet) leaveOut(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.absent.add("desk", f.Service("desk"), now)
	f.tables.Store(&map[string]*Service{})
}

// TestPeerReportsUnknownService guards against requests to a server that leaves, and against more than its limit
// of requests, because another host reported these while this one did not know the service: it had just started,
// or its version of the configuration did not name it.
func TestPeerReportsUnknownService(t *testing.T) {
	now := time.Now()
	state := gossip.State{
		Host:             member("a", 1).Host,
		LeavingProcesses: map[string][]pick.Process{"desk": {{ID: "s1", Born: 5}}},
		Limits:           map[string][]pick.ServerLimit{"desk": {{Process: pick.Process{ID: "s2", Born: 5}, Value: 3}}},
	}
	for name, before := range map[string]func(f *Fleet){
		"just started": func(*Fleet) {},
		"left out": func(f *Fleet) {
			f.list(t, now, server("s1"), server("s2"))
			f.leaveOut(now)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			before(f)
			f.Receive(gossip.Peer{State: state, Received: now})
			tab := f.list(t, now, server("s1"), server("s2"))
			if n, rate := tab.LimitedServers(); n != 1 || rate != 3 {
				t.Errorf("%d servers with a limit of %v, want 1 with 3", n, rate)
			}
			if c, ok := tab.Pick(&pick.Request{Exclude: []string{"s2"}}, now); ok {
				t.Errorf("%s was chosen, which leaves", c.ID)
			}
		})
	}
}

// TestReportsLeftOutService guards against hosts that start while a version leaves a service out, and use a server
// afterwards that leaves, because the others report it only while they know the service.
func TestReportsLeftOutService(t *testing.T) {
	now := time.Now()
	f := newFleet(t)
	tab := f.list(t, now, server("s1"), server("s2"))
	c, ok := tab.Pick(&pick.Request{Exclude: []string{"s2"}}, now)
	if !ok {
		t.Fatal("no server was chosen")
	}
	tab.MarkLeaving(&c, now)
	tab.NameLimit(&c, 3, now)
	f.leaveOut(now)
	s := f.State(true)
	if len(s.LeavingProcesses["desk"]) != 1 || len(s.Limits["desk"]) != 1 {
		t.Errorf("reported as leaving %v and limits %v, want those of s1", s.LeavingProcesses, s.Limits)
	}
}
