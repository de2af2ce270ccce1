package target

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/route"
)

// LoadReader reads load reports of backend servers.
type LoadReader interface {
	Load(ctx context.Context, addr netip.AddrPort) (route.Load, error)
}

const (
	// pollTimeout is the timeout of one read of a load report or of cache events.
	pollTimeout = 900 * time.Millisecond
	// downAfter is the number of consecutive failed reads after which a server is
	// reported as down.
	downAfter = 2
	// maxConcurrentPolls is the largest number of concurrent reads of load reports.
	maxConcurrentPolls = 16
)

// Poller reads the load reports of the servers assigned to this host. It is not safe
// for concurrent use.
type Poller struct {
	reader LoadReader
	failed map[netip.AddrPort]int
}

// NewPoller returns a poller that reads load reports from reader.
func NewPoller(reader LoadReader) *Poller {
	return &Poller{reader: reader, failed: make(map[netip.AddrPort]int)}
}

// PollKey returns the key under which polling a server is assigned to hosts.
func PollKey(addr netip.AddrPort) string { return "poll/" + addr.String() }

// Poll reads the reports of servers concurrently and waits for all of them. A server
// whose read failed downAfter times in a row is reported as down.
func (p *Poller) Poll(ctx context.Context, servers []Server) []Load {
	loads := make([]Load, len(servers))
	errs := make([]error, len(servers))
	var wg sync.WaitGroup
	sem := make(chan struct{}, maxConcurrentPolls)
	for i, server := range servers {
		sem <- struct{}{}
		wg.Go(func() {
			defer func() { <-sem }()
			ctx, cancel := context.WithTimeout(ctx, pollTimeout)
			defer cancel()
			loads[i].Load, errs[i] = p.reader.Load(ctx, server.Addr)
			loads[i].Service = server.Service
		})
	}
	wg.Wait()
	return p.collect(servers, loads, errs)
}

// collect counts consecutive failures. It returns the reports that were read and a
// report for each server that is down.
func (p *Poller) collect(servers []Server, loads []Load, errs []error) []Load {
	out := loads[:0]
	failed := make(map[netip.AddrPort]int, len(servers))
	for i, server := range servers {
		if errs[i] == nil {
			out = append(out, loads[i])
			continue
		}
		failed[server.Addr] = p.failed[server.Addr] + 1
		if failed[server.Addr] >= downAfter {
			out = append(out, Load{Service: server.Service, Load: route.Load{Addr: server.Addr, Down: true, At: time.Now()}})
		}
	}
	p.failed = failed
	return out
}
