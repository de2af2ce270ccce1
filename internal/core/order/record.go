// Package order implements the records of bookings, which are requests that must
// run at most once. A booking is identified by its organisation and an
// idempotency key. The key is either opaque, with its record in the key-value
// service, or a signed ticket that names the host that holds the record in
// memory. The package performs no I/O, reads no clock and starts no goroutines.
// Its types are not safe for concurrent use, except for Signer.
package order

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/model"
)

const (
	// Retention is how long the record of an opaque key is kept.
	Retention = 24 * time.Hour
	// MaxBody is the maximum size, in bytes, of the body of a recorded response.
	// A record is JSON, in which a body takes 4/3 of its size, and the key-value
	// service accepts values up to 1 MB. A larger response is not recorded, and a
	// repeat is rejected with reason unknown.
	MaxBody = 512 << 10
	// retryAfter is the retry time in rejections of a repeat of a running booking
	// and of a booking that exceeds Limits.Records.
	retryAfter = time.Second
)

// State is the state of a booking.
type State string

// States of a booking.
const (
	// StateRunning means that the booking may be dispatched or was dispatched.
	StateRunning State = "running"
	// StateDone means that the booking got a complete response.
	StateDone State = "done"
	// StateUnknown means that the booking was dispatched and got no complete
	// response.
	StateUnknown State = "unknown"
	// StateFree means that the booking certainly did not run, so that its key may
	// be used again. A free record is replaced and never deleted: a delayed
	// delete could remove the record of a later request if the versions of the
	// key restarted.
	StateFree State = "free"
)

// Response is the response of a backend server to a booking.
type Response struct {
	Status int    `json:"status"`
	Type   string `json:"type,omitempty"`
	Body   []byte `json:"body,omitempty"`
}

// Record is the record of a booking.
type Record struct {
	State State `json:"state"`
	// Body is the digest of the request.
	Body string `json:"body"`
	// Host and Incarnation identify the process that dispatches the booking.
	Host        netip.AddrPort `json:"host"`
	Incarnation int64          `json:"incarnation"`
	// Nonce identifies the request that wrote the record.
	Nonce string `json:"nonce"`
	// Until is the time from which the outcome of a booking that is still running
	// is treated as unknown.
	Until    time.Time `json:"until"`
	Response *Response `json:"response,omitempty"`
}

// Outcome is the outcome of a dispatched booking.
type Outcome struct {
	// Response is the complete response, or nil.
	Response *Response
	// Run reports whether a booking without a response may have run.
	Run model.Run
}

// Finish returns the record with the outcome of the booking.
func (r Record) Finish(o Outcome) Record {
	switch {
	case o.Response != nil:
		r.State = StateDone
		if len(o.Response.Body) <= MaxBody {
			r.Response = o.Response
		}
	case o.Run == model.RunNo:
		r.State = StateFree
	default:
		r.State = StateUnknown
	}
	return r
}

// Repeat returns the result of a later request with the same key: the recorded
// response or a rejection. Both are nil if the record is free, in which case the
// request may replace it. digest is the digest of the later request.
func (r Record) Repeat(digest string, now time.Time) (*Response, *model.Rejection) {
	switch {
	case r.State == StateFree:
		return nil, nil
	case r.Body != digest:
		return nil, model.Reject(model.ReasonKeyReused, "idempotency key was used for another request")
	case r.State == StateDone && r.Response != nil:
		return r.Response, nil
	case r.State == StateDone:
		return nil, unknown("the booking ran and its response is no longer kept")
	case r.State == StateRunning && now.Before(r.Until):
		return nil, Running()
	}
	return nil, unknown("the booking was dispatched and its outcome is not known")
}

// Running returns the rejection of a repeat of a running booking.
func Running() *model.Rejection {
	return model.Reject(model.ReasonRunning, "the booking is running").MayHaveRun().WithRetryAfter(retryAfter)
}

// OwnerUnreachable returns the rejection of a request whose ticket names a host that is
// unreachable or was restarted.
func OwnerUnreachable() *model.Rejection {
	return unknown("the host that issued the ticket is gone")
}

// unknown returns the rejection of a booking that may have run.
func unknown(text string) *model.Rejection {
	return model.Reject(model.ReasonUnknown, "%s", text).MayHaveRun()
}

// Encode returns the record as JSON.
func (r Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode booking record: %w", err)
	}
	return data, nil
}

// DecodeRecord decodes a record from JSON.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, fmt.Errorf("decode booking record: %w", err)
	}
	switch r.State {
	case StateRunning, StateDone, StateUnknown, StateFree:
		return r, nil
	}
	return Record{}, fmt.Errorf("decode booking record: unknown state %q", r.State)
}

// StoreKey returns the key of a record in the key-value service.
func StoreKey(org, key string) string {
	return "yuccalb/once/" + org + "/" + Digest([]byte(key))
}

// Digest returns the SHA-256 digest of parts in hexadecimal. Each part is
// preceded by its length, so that the same bytes split into other parts have
// another digest.
func Digest(parts ...[]byte) string {
	h := sha256.New()
	var size [8]byte
	for _, p := range parts {
		binary.BigEndian.PutUint64(size[:], uint64(len(p)))
		h.Write(size[:])
		h.Write(p)
	}
	return hex.EncodeToString(h.Sum(nil))
}
