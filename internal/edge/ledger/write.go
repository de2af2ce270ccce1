package ledger

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/platform"
)

// write writes records, or leaves those that are not too old to a later call.
func (l *Ledger) write(batch []*Record) {
	ctx, cancel := context.WithTimeout(l.ctx, writeTimeout)
	defer cancel()
	lease, err := l.currentLease(ctx)
	refused := err != nil
	if err == nil {
		err = l.put(ctx, batch, lease)
		refused = notDone(err)
	}
	if err == nil {
		l.close(batch)
		return
	}
	l.opts.Log.Warn("streams not recorded", zap.Int("streams", len(batch)), zap.Error(err))
	now := time.Now()
	l.mu.Lock()
	l.failedAt = now
	for _, r := range batch {
		r.taken = false
		r.unsure = r.unsure || !refused
	}
	if errors.Is(err, platform.ErrNotFound) || errors.Is(err, platform.ErrRestored) {
		l.leasedAt = time.Time{}
	}
	l.mu.Unlock()
	select {
	case <-time.After(retryPause):
	case <-l.ctx.Done():
		return
	}
	l.mu.Lock()
	var again []*Record
	for _, r := range batch {
		if now.Sub(r.added) <= retryTime {
			again = append(again, r)
		} else {
			delete(l.open, r)
		}
	}
	l.pending = slices.Insert(l.pending, 0, again...)
	l.mu.Unlock()
}

// close tells those who wait for records that they are written. After a restore of the store a
// record may be written twice.
func (l *Ledger) close(batch []*Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range batch {
		if l.open[r] {
			delete(l.open, r)
			close(r.done)
		}
	}
}

// notDone reports whether a call has failed so that the store has written nothing.
func notDone(err error) bool {
	var status *platform.StatusError
	return errors.Is(err, platform.ErrNotFound) || errors.As(err, &status) &&
		(status.Status == http.StatusServiceUnavailable || status.Status == http.StatusTooManyRequests)
}

// put writes records under a lease, with the marks of their versions that it lacks.
func (l *Ledger) put(ctx context.Context, batch []*Record, lease platform.Lease) error {
	list := make([]platform.Stream, len(batch))
	for i, r := range batch {
		list[i] = r.Stream
	}
	marks := l.missingMarks(list, lease)
	for len(list)+len(marks) > platform.MaxStreams {
		n := min(len(marks), platform.MaxStreams)
		if err := l.putStreams(ctx, nil, marks[:n], lease); err != nil {
			return err
		}
		marks = marks[n:]
	}
	return l.putStreams(ctx, list, marks, lease)
}

// putStreams is a call of the store.
func (l *Ledger) putStreams(ctx context.Context, list []platform.Stream, marks []platform.Mark, lease platform.Lease) error {
	err := l.opts.Store.PutStreams(ctx, list, marks, lease)
	l.opts.Count("streams", err)
	if err == nil {
		l.addMarks(marks, lease)
	}
	return err
}

// missingMarks returns the marks of records that the store does not hold under a lease.
func (l *Ledger) missingMarks(list []platform.Stream, lease platform.Lease) []platform.Mark {
	l.mu.Lock()
	defer l.mu.Unlock()
	var marks []platform.Mark
	for _, r := range list {
		m := platform.Mark{Service: r.Service, Version: r.Version}
		if !(lease == l.lease && l.marks[m]) && !slices.Contains(marks, m) {
			marks = append(marks, m)
		}
	}
	return marks
}

// addMarks notes the marks that were written under a lease.
func (l *Ledger) addMarks(marks []platform.Mark, lease platform.Lease) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if lease != l.lease {
		return
	}
	for _, m := range marks {
		l.marks[m] = true
	}
}

// currentLease returns the lease for new records. It obtains another one if that is too old.
func (l *Ledger) currentLease(ctx context.Context) (platform.Lease, error) {
	l.mu.Lock()
	lease, at := l.lease, l.leasedAt
	l.mu.Unlock()
	asked := time.Now()
	if !at.IsZero() && asked.Sub(at) < renewAge {
		return lease, nil
	}
	lease, err := l.opts.Store.Grant(ctx, leaseTTL)
	l.opts.Count("grant", err)
	if err != nil {
		return platform.Lease{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lease, l.leasedAt = lease, asked
	l.marks = make(map[platform.Mark]bool)
	return lease, nil
}
