package target

import (
	"context"
	"net/netip"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/route"
)

// CachePage is a sequence of prefix cache events of a server. Next is the number to read
// after. Epoch changes when the server starts with an empty cache.
type CachePage struct {
	Events []route.CacheEvent
	Next   uint64
	Epoch  string
}

// CacheReader reads the prefix cache events of an engine that follow event number after.
type CacheReader interface {
	Cache(ctx context.Context, addr netip.AddrPort, after uint64) (CachePage, error)
}

const (
	// eventSize is the size of an encoded event, in bytes.
	eventSize = 72
	// eventBudget is the largest rate at which a host reads cache events, in bytes per
	// second. At the designed size, ten engines per host produce about 24 KB/s of
	// events, more than the whole budget for control traffic. Servers above their share
	// of the budget are skipped: the placements of this host and the cached tokens in
	// responses provide most of the same information.
	eventBudget = 2000
	// cacheReadInterval is the time between two reads of the events of one server,
	// cacheRetryDelay the time after a failed read, and overBudgetPause the time for
	// which a server with too many events is skipped.
	cacheReadInterval = time.Second
	cacheRetryDelay   = 15 * time.Second
	overBudgetPause   = time.Hour
)

// cursor is the read position in the events of a server.
type cursor struct {
	after  uint64
	epoch  string
	readAt time.Time // time of the last read; events read next are not older
	dueAt  time.Time
}

// CachePoller reads cache events of the servers that this host polls, at up to
// eventBudget. It is not safe for concurrent use.
type CachePoller struct {
	reader  CacheReader
	cursors map[netip.AddrPort]*cursor
}

// NewCachePoller returns a poller that reads events from reader.
func NewCachePoller(reader CacheReader) *CachePoller {
	return &CachePoller{reader: reader, cursors: make(map[netip.AddrPort]*cursor)}
}

// Poll reads the events of the servers that are due and calls report with them.
func (p *CachePoller) Poll(ctx context.Context, servers []Server, report func(Server, []route.CacheEvent)) {
	cursors := make(map[netip.AddrPort]*cursor, len(servers))
	for _, server := range servers {
		c := p.cursors[server.Addr]
		if c == nil {
			c = &cursor{}
		}
		cursors[server.Addr] = c
		if time.Now().Before(c.dueAt) {
			continue
		}
		if events := p.read(ctx, server.Addr, c, len(servers)); len(events) > 0 {
			report(server, events)
		}
	}
	p.cursors = cursors
}

// read reads the events of one server and sets when the next read is due.
func (p *CachePoller) read(ctx context.Context, addr netip.AddrPort, c *cursor, servers int) []route.CacheEvent {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	now := time.Now()
	page, err := p.reader.Cache(ctx, addr, c.after)
	if err != nil {
		c.dueAt = now.Add(cacheRetryDelay)
		return nil
	}
	if c.epoch != page.Epoch && c.epoch != "" {
		*c = cursor{epoch: page.Epoch} // the numbering has restarted: read from 0 next
		return nil
	}
	first, since := c.readAt.IsZero(), c.readAt
	*c = cursor{after: page.Next, epoch: page.Epoch, readAt: now, dueAt: now.Add(cacheReadInterval)}
	if size := len(page.Events) * eventSize * servers; !first && float64(size) > eventBudget*now.Sub(since).Seconds() {
		c.dueAt = now.Add(overBudgetPause)
	}
	if first { // the age of these events is unknown
		return nil
	}
	for i := range page.Events {
		page.Events[i].At = since
	}
	return page.Events
}

// RecordCacheEvents records prefix cache events of a server in the routing table of its
// service.
func (s *Set) RecordCacheEvents(server Server, events []route.CacheEvent) {
	if svc := s.Service(server.Service); svc != nil {
		svc.Router.Table.ApplyCacheEvents(server.Addr, events)
	}
}
