package beats

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/core/member"
)

const (
	// directoryInterval is the interval at which an unchanged directory is written
	// again. This replaces an entry that a host with an older view has written.
	directoryInterval = 30 * time.Second
	// directoryTimeout bounds one write.
	directoryTimeout = 5 * time.Second
	// directoryRetryDelay is the wait after a failed write.
	directoryRetryDelay = 5 * time.Second
)

// directory is the state of the writes to the client directory.
type directory struct {
	writing  bool // a write is in progress
	written  []netip.AddrPort
	next     time.Time // time of the next write without a change
	earliest time.Time // no write before, after a failure
}

// updateDirectory writes the addresses of the data centre's hosts if this host
// is responsible for the directory and the addresses have changed or a periodic
// write is due. A leaving host without peers removes its own address.
func (l *Loop) updateDirectory(v *member.View, now time.Time) {
	d := &l.directory
	alone := l.table.Leaving() && len(v.Members()) == 0
	if l.opts.Directory == nil || d.writing || now.Before(d.earliest) {
		return
	}
	if !alone && !v.Has("directory") {
		// Another host may write in the meantime, so d.written may become stale.
		d.next = time.Time{}
		return
	}
	addrs := []netip.AddrPort{}
	for _, h := range v.Hosts() {
		if h.State == member.StateLive && h.HTTP.IsValid() {
			addrs = append(addrs, h.HTTP)
		}
	}
	if now.Before(d.next) && slices.Equal(addrs, d.written) {
		return
	}
	d.writing = true
	l.wg.Go(func() {
		ctx, cancel := context.WithTimeout(l.ctx, directoryTimeout)
		defer cancel()
		err := l.opts.Directory.PutDirectory(ctx, l.opts.Self.Site, addrs)
		l.post(func(now time.Time) {
			d.writing = false
			if err != nil {
				l.opts.Log.Warn("client directory could not be written", zap.Error(err))
				d.earliest = now.Add(directoryRetryDelay)
				return
			}
			d.written, d.next = addrs, now.Add(directoryInterval)
		})
	})
}
