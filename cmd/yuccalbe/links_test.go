package main

import (
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/yuccalb/yuccalb/internal/fake/line"
	"github.com/yuccalb/yuccalb/internal/fake/proc"
	"github.com/yuccalb/yuccalb/internal/fake/proxy"
	"github.com/yuccalb/yuccalb/platform"
)

const (
	// cutNotice is the time from the beginning of a cut after which callers of the hosts
	// that are cut off must be served, and cutTime how long they are counted then.
	cutNotice = 5 * time.Second
	cutTime   = 2 * time.Second
	// cutCallers is the number of callers of each host.
	cutCallers = 3
)

// cutFaults are the faults of all links of a host, by which it is cut off from the servers.
var cutFaults = []proxy.Fault{
	{Reset: true}, {ResetNew: true}, {HoldForth: true, HoldBack: true}, {HoldForth: true}, {HoldBack: true},
}

// linkTo returns the proxy between the hosts and a server, which forwards to the link of the
// host that has opened the connection.
func (s *soak) linkTo(server netip.AddrPort) *proxy.Proxy {
	links := make([]*proxy.Proxy, *soakHosts)
	for h := range links {
		links[h] = s.proxy(server)
	}
	s.links = append(s.links, links)
	p := proxy.NewSwitch(s.t, func(client netip.AddrPort) netip.AddrPort {
		inode := proc.SocketInode(client)
		for h, p := range s.processes() {
			if p.Owns(inode) {
				return links[h].Addr()
			}
		}
		return server // the connection or its host has ended
	})
	s.proxies = append(s.proxies, p)
	return p
}

// cut sets the fault of all links of a host.
func (s *soak) cut(host int, f proxy.Fault) {
	for _, links := range s.links {
		links[host].Set(f)
	}
}

// injectCut cuts a host off from all servers for some seconds.
func (s *soak) injectCut(host int) {
	s.cut(host, cutFaults[s.rng.IntN(len(cutFaults))])
	time.AfterFunc(time.Second+s.jitter(5*time.Second), func() { s.cut(host, proxy.Fault{}) })
}

// checkLostPaths cuts one host of each region off from the servers, then the other one of
// the first region as well, beside the restart of a host, and checks each time that the callers
// of the hosts that are cut off are served at least two thirds as often as those of the others.
func (s *soak) checkLostPaths() {
	s.t.Helper()
	defer s.keepHeartbeat()()
	time.Sleep(settleTime) // after the faults before
	kind := func() proxy.Fault { return cutFaults[s.rng.IntN(len(cutFaults))] }
	s.cut(0, kind())
	s.cut(1, kind())
	s.checkRecover("one host of each region", []int{0, 1}, []int{2, 3})
	s.cut(1, proxy.Fault{})
	s.cut(0, kind())
	s.cut(2, kind())
	s.restart(1, []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM}[s.rng.IntN(2)])
	s.checkRecover("all hosts of a region", []int{0, 2}, []int{3})
	s.cut(0, proxy.Fault{})
	s.cut(2, proxy.Fault{})
}

// checkRecover waits for cutNotice, then sends first attempts to hosts that are cut off and to
// others.
func (s *soak) checkRecover(what string, cutOff, others []int) {
	s.t.Helper()
	time.Sleep(cutNotice)
	calls := []line.Call{line.Get("/safe/"), line.Post("/order/", "")}
	if slices.Contains(others, 2) { // a host of region a reaches its servers
		calls = append(calls, line.Post("/order-a/", ""))
	}
	sent, served := s.countServed(append(cutOff, others...), calls)
	share := func(hosts []int) (float64, int) {
		all, good := 0, 0
		for _, h := range hosts {
			all += sent[h]
			good += served[h]
		}
		return float64(good) / float64(max(all, 1)), all - good
	}
	got, failed := share(cutOff)
	want, otherFailed := share(others)
	s.t.Logf("%s cut off: %d of %d served", what, served, sent)
	all := 0
	for _, n := range sent {
		all += n
	}
	if got < want*2/3 && failed+otherFailed > 10+all/50 {
		s.t.Errorf("%s cut off: %.2f of the requests are served there, %.2f at the others; served by host %d of %d", what, got, want, served, sent)
	}
}

// countServed sends first attempts to hosts for cutTime and counts them by host.
func (s *soak) countServed(hosts []int, calls []line.Call) (sent, served []int) {
	sent, served = make([]int, len(s.hosts)), make([]int, len(s.hosts))
	var mu sync.Mutex
	var callers sync.WaitGroup
	end := time.Now().Add(cutTime)
	for _, h := range hosts {
		for i := range cutCallers {
			callers.Go(func() {
				for n := 0; time.Now().Before(end); n++ {
					id := fmt.Sprintf("%s-cut-%d-%d-%d", s.name, h, i, time.Now().UnixNano())
					call := calls[n%len(calls)]
					call.Path += id
					var conn *line.Conn
					key, start := s.currentKey(), time.Now()
					r := s.request(&conn, h, call, id, key)
					closeConnection(&conn)
					s.check(id, call.Path, key, start, r)
					mu.Lock()
					sent[h]++
					if r.Err == nil && r.Status == http.StatusOK && r.Header.Get(platform.HeaderSignature) != "" {
						served[h]++
					}
					mu.Unlock()
					time.Sleep(*soakPause)
				}
			})
		}
	}
	callers.Wait()
	return sent, served
}

// processes returns the hosts that have been started so far.
func (s *soak) processes() []*proc.Process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hosts
}
