package relay

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
)

const (
	// firstReserve is the memory in bytes that is reserved for a body at first.
	firstReserve = 4 << 10
	// responseShare is the share of the memory for bodies that those of responses may
	// use: a server that ends none of them must not keep callers from sending theirs.
	responseShare = 0.75
)

var (
	errNoMemory = errors.New("memory limit for bodies reached")
	errTooLong  = errors.New("body exceeds its limit")
)

// byteLimit bounds the memory of a host for bodies. It is safe for concurrent
// use.
type byteLimit struct {
	max  int64
	used atomic.Int64
}

// reservation is the memory that one body holds of a byteLimit.
type reservation struct {
	limit *byteLimit
	// max bounds what all reservations together may hold when this one grows.
	max  int64
	held int64
}

// requestMemory returns a reservation for the body of a request.
func (s *Relay) requestMemory() reservation {
	return reservation{limit: &s.bodyMemory, max: s.bodyMemory.max}
}

// responseMemory returns a reservation for the body of a response.
func (s *Relay) responseMemory() reservation {
	return reservation{limit: &s.bodyMemory, max: int64(responseShare * float64(s.bodyMemory.max))}
}

// reserve raises the reservation to n bytes and reports whether the limit permits it.
func (v *reservation) reserve(n int64) bool {
	more := n - v.held
	if v.limit.used.Add(more) > v.max {
		v.limit.used.Add(-more)
		return false
	}
	v.held = n
	return true
}

// hold sets the reservation to n bytes even if the limit does not permit them: a response that has been begun
// can't do without its buffer. Other reservations are refused the earlier.
func (v *reservation) hold(n int64) {
	v.limit.used.Add(n - v.held)
	v.held = n
}

// read appends the bytes of r up to its end to b, which must be empty at the first call.
// It reserves memory before it reads, and twice as much each time it is full, since the
// declared length of a body may be false. The error is errNoMemory, errTooLong if b
// exceeds maxLen bytes, or that of r; b then holds what was read before.
func (v *reservation) read(b *bytes.Buffer, r io.Reader, maxLen int64) error {
	for {
		if b.Available() == 0 {
			size := min(max(2*v.held, firstReserve), maxLen+1)
			if !v.reserve(size) {
				return errNoMemory
			}
			*b = *bytes.NewBuffer(append(make([]byte, 0, size), b.Bytes()...))
		}
		space := b.AvailableBuffer()
		n, err := r.Read(space[:cap(space)])
		b.Write(space[:n])
		switch {
		case int64(b.Len()) > maxLen:
			return errTooLong
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return fmt.Errorf("read body: %w", err)
		}
	}
}

// release returns all reserved bytes.
func (v *reservation) release() {
	v.limit.used.Add(-v.held)
	v.held = 0
}
