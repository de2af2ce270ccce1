package node

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/yuccalb/yuccalb/internal/adapt/peers"
	"github.com/yuccalb/yuccalb/internal/core/model"
	"github.com/yuccalb/yuccalb/internal/daemon/fetch"
	"github.com/yuccalb/yuccalb/internal/wire/peerpb"
)

// configuration gives other components access to the configuration in force.
type configuration struct {
	fetch   *fetch.Fetcher
	history *history
	start   time.Time
}

// emptySnapshot is in force until a configuration has been fetched.
var emptySnapshot = model.NewSnapshot(0, "", &model.Config{})

// Current returns the configuration in force; it is never nil.
func (c *configuration) Current() *model.Snapshot {
	if snap := c.fetch.Snapshot(); snap != nil {
		return snap
	}
	return emptySnapshot
}

// ConfirmedAge returns the time since the store was last known to have no newer
// configuration, or since the start if it never was.
func (c *configuration) ConfirmedAge() time.Duration {
	at := c.fetch.Confirmed()
	if at.IsZero() {
		at = c.start
	}
	return time.Since(at)
}

// Pull implements peers.Puller.
func (c *configuration) Pull(_ context.Context, req *peerpb.PullRequest) (*peerpb.PullReply, error) {
	reply := c.fetch.Pull(req.Have)
	c.history.addTo(reply, time.Now())
	return reply, nil
}

// puller fetches the configuration from other hosts.
type puller struct {
	client  *peers.Client
	self    *peerpb.Ident
	history *history
}

// Pull implements fetch.Peers.
func (p puller) Pull(ctx context.Context, addr netip.AddrPort, have uint64) (*peerpb.PullReply, error) {
	reply, err := p.client.Pull(ctx, addr, &peerpb.PullRequest{From: p.self, Have: have})
	if err != nil {
		return nil, fmt.Errorf("pull configuration from %s: %w", addr, err)
	}
	p.history.receive(reply)
	return reply, nil
}
