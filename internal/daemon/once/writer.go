package once

import (
	"context"
	"errors"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/order"
)

const (
	// minRetryDelay and maxRetryDelay bound the exponential backoff between attempts
	// to write an outcome; each delay is twice the one before.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 10 * time.Second
	// writeWindow is how long attempts to write an outcome go on. After it, the lease
	// of the record expires soon, and a new record under the same key could then get
	// the version that the writer expects.
	writeWindow = order.Retention - time.Hour
)

// errConflict means that the record no longer has the expected version.
var errConflict = errors.New("record does not have the expected version")

// write starts a writer for the record of b in the background. The caller must hold
// o.mu.
func (o *Once) write(b *booking) {
	if o.stopped {
		return
	}
	w := &writer{once: o, booking: b, record: b.record, version: b.version, versionKnown: b.version != 0, lease: b.lease}
	o.writers.Go(func() {
		if w.run() {
			o.mu.Lock()
			defer o.mu.Unlock()
			o.remove(b)
		}
	})
}

// writer writes the final record of one booking.
type writer struct {
	once    *Once
	booking *booking
	record  order.Record
	// version is the version of the record to replace, valid if versionKnown is set;
	// 0 means that no record exists.
	version      uint64
	versionKnown bool
	lease        string // "" after a failed write
}

// run retries the write until it succeeds, the record needs no write any more, the
// write window has passed, or the host stops. It reports whether the booking can be
// removed from the active ones, which is false only when the host stops.
func (w *writer) run() bool {
	end := time.Now().Add(writeWindow)
	for delay := minRetryDelay; time.Now().Before(end); delay = min(2*delay, maxRetryDelay) {
		settled, err := w.attempt()
		if settled {
			return true
		}
		if errors.Is(err, errConflict) && delay == minRetryDelay {
			continue
		}
		select {
		case <-time.After(delay):
		case <-w.once.background.Done():
			return false
		}
	}
	return true
}

// attempt makes one attempt to write the record. If the version to replace is not
// known, it reads the record first.
func (w *writer) attempt() (settled bool, err error) {
	opts := &w.once.opts
	ctx, cancel := context.WithTimeout(w.once.background, 2*opts.Timeout)
	defer cancel()
	if !w.versionKnown {
		if settled, err = w.readCurrent(ctx); settled || err != nil {
			return settled, err
		}
	}
	if w.lease == "" {
		if w.lease, err = w.once.leases.get(ctx); err != nil {
			return false, err
		}
	}
	data, err := w.record.Encode()
	if err != nil {
		return true, err
	}
	w.versionKnown = false
	_, ok, err := opts.Store.Put(ctx, w.booking.key, data, w.version, w.lease)
	switch {
	case err != nil:
		w.once.leases.discard(w.lease)
		w.lease = ""
		return false, err
	case !ok:
		return false, errConflict
	}
	return true, nil
}

// readCurrent reads the record to replace. The result is settled if the final record
// was already written, or the record belongs to another request. If no record exists,
// the writer creates one: the store may have lost the record, or the delayed write of
// Begin may still create it, which the new record prevents.
func (w *writer) readCurrent(ctx context.Context) (settled bool, err error) {
	data, version, err := w.once.opts.Store.Get(ctx, w.booking.key)
	if err != nil {
		return false, err
	}
	w.versionKnown, w.version = true, version
	if version == 0 {
		return false, nil
	}
	r, err := order.DecodeRecord(data)
	if err != nil || r.Nonce != w.record.Nonce || r.State == w.record.State {
		return true, nil
	}
	return false, nil
}
