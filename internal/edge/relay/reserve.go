package relay

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
)

// reserveStep is how many bytes of a body are read at once, after they were
// reserved.
const reserveStep = 16 << 10

var (
	errNoMemory = errors.New("bodies take all the memory that they may")
	errTooLong  = errors.New("body is too long")
)

// byteLimit bounds the bytes of bodies that a host holds at once.
type byteLimit struct {
	max  int64
	used atomic.Int64
}

func (l *byteLimit) take(n int64) bool {
	if l.used.Add(n) <= l.max {
		return true
	}
	l.used.Add(-n)
	return false
}

// reservation is what one request has taken of a limit.
type reservation struct {
	limit *byteLimit
	taken int64
}

// read appends to b what r has until its end. It reserves bytes before they
// come, and no more than a step ahead, whatever length was declared. The error
// is errNoMemory, errTooLong beyond most bytes in all, or that of r; b then
// holds what was read before.
func (v *reservation) read(b *bytes.Buffer, r io.Reader, most int64) error {
	for {
		if v.taken-int64(b.Len()) < reserveStep {
			if !v.limit.take(reserveStep) {
				return errNoMemory
			}
			v.taken += reserveStep
		}
		n, err := io.CopyN(b, r, min(reserveStep, most+1-int64(b.Len())))
		switch {
		case int64(b.Len()) > most:
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

// release gives all that was taken back.
func (v *reservation) release() {
	v.limit.used.Add(-v.taken)
	v.taken = 0
}
