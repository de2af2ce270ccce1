package fleet

import (
	"net/netip"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/pick"
	"github.com/yuccalb/yuccalb/internal/edge/gossip"
)

const (
	// noticeRate bounds the notices that a host sends per second, and noticeBurst those at
	// once. Without a notice, the next report tells of the request.
	noticeRate  = 40.0
	noticeBurst = 20.0
)

// noticeLimit is a token bucket for notices.
type noticeLimit struct {
	level float64
	at    time.Time
}

// take reports whether one more notice may be sent.
func (l *noticeLimit) take(now time.Time) bool {
	if l.at.IsZero() {
		l.level = noticeBurst
	} else {
		l.level = min(l.level+now.Sub(l.at).Seconds()*noticeRate, noticeBurst)
	}
	l.at = now
	if l.level < 1 {
		return false
	}
	l.level--
	return true
}

// Announce tells the other hosts of the region of a request that is sent to a server, if it
// needs a long prefill.
func (f *Fleet) Announce(service string, c *pick.Choice, req *pick.Request, now time.Time) {
	n, due := c.Notice(req)
	if !due {
		return
	}
	f.noticeMu.Lock()
	due = f.notices.take(now)
	f.noticeMu.Unlock()
	if !due {
		return
	}
	local, _ := f.reachable(now)
	targets := make([]netip.AddrPort, 0, len(local))
	for _, p := range local {
		if p.State.Notices {
			targets = append(targets, p.Addr())
		}
	}
	f.gossip.Announce(gossip.Notice{Host: f.opts.Self.Name, ProcessStart: f.processStart, Service: service, Notice: n}, targets)
}

// ReceiveNotice implements gossip.Source.
func (f *Fleet) ReceiveNotice(n gossip.Notice) {
	if svc := f.Service(n.Service); svc != nil {
		svc.Table.MergeNotice(n.Host, n.Notice, time.Now())
	}
}
