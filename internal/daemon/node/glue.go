package node

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/yuccalb/yuccalb/internal/adapt/engine"
	"github.com/yuccalb/yuccalb/internal/adapt/peers"
	"github.com/yuccalb/yuccalb/internal/adapt/store"
	"github.com/yuccalb/yuccalb/internal/core/route"
	"github.com/yuccalb/yuccalb/internal/daemon/serve"
	"github.com/yuccalb/yuccalb/internal/daemon/target"
)

// streamOpener opens streams to other hosts for package serve. The peer may have closed
// a pooled connection without this host having noticed yet, so a stream for a call that
// must not be retried always gets a new connection.
type streamOpener struct{ client *peers.Client }

// Forward implements serve.Remote.
func (r streamOpener) Forward(ctx context.Context, to netip.AddrPort, once bool) (serve.Stream, error) {
	open := r.client.Forward
	if once {
		open = r.client.ForwardUnpooled
	}
	s, err := open(ctx, to)
	if err != nil {
		return nil, fmt.Errorf("open stream to %s: %w", to, err)
	}
	return s, nil
}

// forwardHandler passes requests that other hosts forward to package serve.
type forwardHandler struct{ server *serve.Server }

// Forward implements peers.Forwarder.
func (a forwardHandler) Forward(ctx context.Context, s peers.ForwardStream) error {
	return a.server.ServeForwarded(ctx, s)
}

// recordStore adapts the store client to the interfaces of packages once and spend.
type recordStore struct{ client *store.Client }

// Get implements once.Store.
func (r recordStore) Get(ctx context.Context, key string) ([]byte, uint64, error) {
	e, err := r.client.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, fmt.Errorf("read record: %w", err)
	}
	return e.Value, e.Version, nil
}

// Put implements once.Store.
func (r recordStore) Put(ctx context.Context, key string, value []byte, prev uint64, lease string) (uint64, bool, error) {
	version, err := r.client.Put(ctx, key, value, prev, lease)
	if errors.Is(err, store.ErrConflict) {
		return 0, false, nil
	}
	if err != nil {
		return 0, false, fmt.Errorf("write record: %w", err)
	}
	return version, true, nil
}

// Swap implements spend.Store.
func (r recordStore) Swap(ctx context.Context, key string, value []byte, prev uint64) (uint64, bool, error) {
	return r.Put(ctx, key, value, prev, "")
}

// Grant implements once.Store.
func (r recordStore) Grant(ctx context.Context, ttl time.Duration) (string, error) {
	lease, err := r.client.NewLease(ctx, ttl)
	if err != nil {
		return "", fmt.Errorf("create lease for records: %w", err)
	}
	return lease.ID, nil
}

// loadReader reads load reports and cache events of backend servers.
type loadReader struct{ client *engine.Client }

// Load implements target.LoadReader. The time in the report is of the server's clock, so
// the load has the time of arrival instead.
func (l loadReader) Load(ctx context.Context, addr netip.AddrPort) (route.Load, error) {
	r, err := l.client.Load(ctx, addr)
	if err != nil {
		return route.Load{}, fmt.Errorf("read load report of %s: %w", addr, err)
	}
	return route.Load{
		Addr: addr, Queued: r.Queued, Running: r.Running, BatchSize: r.Limit,
		Pending: r.Pending, Prefill: r.Prefill, Leaving: r.Leaving, At: time.Now(),
	}, nil
}

// cacheDrop is the operation of a cache event that evicts a block.
const cacheDrop = "drop"

// Cache implements target.CacheReader.
func (l loadReader) Cache(ctx context.Context, addr netip.AddrPort, after uint64) (target.CachePage, error) {
	r, err := l.client.Cache(ctx, addr, after)
	if err != nil {
		return target.CachePage{}, fmt.Errorf("read cache events of %s: %w", addr, err)
	}
	page := target.CachePage{Next: r.Next, Epoch: r.Epoch}
	for _, e := range r.Events {
		page.Events = append(page.Events, route.CacheEvent{Digest: e.Digest, Tokens: e.Tokens, Evicted: e.Op == cacheDrop})
	}
	return page, nil
}
