package once

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/model"
	"github.com/yuccalb/yuccalb/internal/core/order"
)

// booking is a booking with an opaque key that is in progress on this host or whose
// outcome has not been written yet. Once.mu guards record; the other fields are owned
// by Begin and then by the writer.
type booking struct {
	key     string
	record  order.Record
	version uint64 // of the record in the store, 0 if not known
	lease   string
	bytes   int // size of the response, included in Once.bytes
}

// createResult is the result of an attempt to create the record of a booking.
type createResult struct {
	granted   bool // the record in the store is that of this booking
	uncertain bool // the write may have taken effect, or may still do so
	response  *order.Response
	rejection *model.Rejection
}

// beginStored starts a request whose key is opaque.
func (o *Once) beginStored(ctx context.Context, e *Entry, key, body string) *model.Rejection {
	b := &booking{key: key, record: order.Record{
		State: order.StateRunning, Body: body, Host: o.opts.Host,
		Incarnation: o.opts.Incarnation, Nonce: rand.Text(), Until: e.until.Add(grace),
	}}
	handled, rejection := o.register(e, b)
	if handled || rejection != nil {
		return rejection
	}
	v := o.create(ctx, b)
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case v.granted:
		e.booking = b
	case v.uncertain:
		// Nothing was dispatched. If the write took effect, the record is marked as
		// free, so that the key can be used again.
		b.record = b.record.Finish(order.Outcome{Run: model.RunNo})
		o.write(b)
	default:
		o.remove(b)
		e.recorded = v.response
	}
	return v.rejection
}

// register adds b to the active bookings. If a booking with the same key is active on
// this host, or b has to be rejected, handled is true; e then has the recorded
// response, if there is one.
func (o *Once) register(e *Entry, b *booking) (handled bool, rejection *model.Rejection) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if old := o.active[b.key]; old != nil {
		if old.record.State == order.StateFree {
			// The booking did not run, and its record is being marked as free.
			return true, rejectStoreDown()
		}
		e.recorded, rejection = old.record.Repeat(b.record.Body, time.Now())
		return true, rejection
	}
	if o.closed {
		return true, rejectLeaving()
	}
	if len(o.active) >= o.opts.Pending {
		return true, model.Reject(model.ReasonOverloaded, "too many bookings in progress").WithRetryAfter(retryAfter)
	}
	o.active[b.key] = b
	return false, nil
}

// create writes the record of a new booking. It replaces a record that is free.
func (o *Once) create(ctx context.Context, b *booking) createResult {
	lease, err := o.leases.get(ctx)
	if err != nil {
		return createResult{rejection: rejectStoreDown()}
	}
	b.lease = lease
	v := o.put(ctx, b, 0)
	if v.granted || v.rejection != nil || v.response != nil {
		return v
	}
	// The record is free. Replace it, unless another request does so first.
	v = o.put(ctx, b, b.version)
	if !v.granted && v.rejection == nil && v.response == nil {
		v.rejection = order.Running()
	}
	return v
}

// put writes the record of b if the version in the store is prev. A result that has
// neither granted nor a response or rejection means that the record in the store is
// free and has version b.version.
func (o *Once) put(ctx context.Context, b *booking, prev uint64) createResult {
	data, err := b.record.Encode()
	if err != nil {
		return createResult{rejection: model.Reject(model.ReasonBadRequest, "%v", err)}
	}
	call, cancel := context.WithTimeout(ctx, o.opts.Timeout)
	defer cancel()
	version, ok, err := o.opts.Store.Put(call, b.key, data, prev, b.lease)
	if err == nil && ok {
		b.version = version
		return createResult{granted: true}
	}
	if err != nil {
		o.leases.discard(b.lease)
	}
	return o.readBack(ctx, b, err != nil)
}

// readBack reads the record after a write that was not confirmed. lost means that the
// write ended with an error and may still take effect; otherwise it found another
// version.
func (o *Once) readBack(ctx context.Context, b *booking, lost bool) createResult {
	call, cancel := context.WithTimeout(ctx, o.opts.Timeout)
	defer cancel()
	data, version, err := o.opts.Store.Get(call, b.key)
	switch {
	case err != nil && lost:
		return createResult{uncertain: true, rejection: rejectStoreDown()}
	case err != nil:
		// A record exists, and may be that of a booking that ran.
		return createResult{rejection: rejectStoreDown().MayHaveRun()}
	case version == 0 && lost:
		return createResult{uncertain: true, rejection: rejectStoreDown()}
	case version == 0:
		// The read is stale: the write before it found a record.
		return createResult{rejection: order.Running()}
	}
	r, err := order.DecodeRecord(data)
	if err != nil {
		return createResult{rejection: model.Reject(model.ReasonUnknown, "%v", err).MayHaveRun()}
	}
	b.version = version
	if r.Nonce == b.record.Nonce {
		return createResult{granted: true}
	}
	response, rejection := r.Repeat(b.record.Body, time.Now())
	return createResult{response: response, rejection: rejection, uncertain: lost && rejection == nil && response == nil}
}

// rejectStoreDown returns the rejection of a booking that can't be recorded.
func rejectStoreDown() *model.Rejection {
	return model.Reject(model.ReasonStoreDown, "the booking can't be recorded; use a ticket").WithRetryAfter(retryAfter)
}
