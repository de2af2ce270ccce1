package relay

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
)

// reserveStep is the number of bytes that are reserved at once, and the most that
// one call reads into them.
const reserveStep = 16 << 10

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

// acquire reserves n bytes and reports whether the limit permits it.
func (l *byteLimit) acquire(n int64) bool {
	if l.used.Add(n) <= l.max {
		return true
	}
	l.used.Add(-n)
	return false
}

// reservation is the memory that one body holds of a byteLimit.
type reservation struct {
	limit *byteLimit
	held  int64
}

// read appends the bytes of r up to its end to b. It reserves memory before it
// reads, one reserveStep at a time, since the declared length of a body may be
// false. The error is errNoMemory, errTooLong if b exceeds maxLen bytes, or that
// of r; b then holds what was read before.
func (v *reservation) read(b *bytes.Buffer, r io.Reader, maxLen int64) error {
	for {
		if v.held-int64(b.Len()) < reserveStep {
			if !v.limit.acquire(reserveStep) {
				return errNoMemory
			}
			v.held += reserveStep
		}
		n, err := io.CopyN(b, r, min(reserveStep, maxLen+1-int64(b.Len())))
		switch {
		case int64(b.Len()) > maxLen:
			return errTooLong
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return fmt.Errorf("read body: %w", err)
		case n == 0:
			return io.ErrNoProgress
		}
	}
}

// release returns all reserved bytes.
func (v *reservation) release() {
	v.limit.used.Add(-v.held)
	v.held = 0
}
