package relay

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
)

// holdStep is how many bytes of a body are read at once, after room was taken
// for them.
const holdStep = 16 << 10

var (
	errNoRoom  = errors.New("bodies take all the memory that they may")
	errTooLong = errors.New("body is too long")
)

// room bounds the bytes of bodies that a host holds at once.
type room struct {
	limit int64
	used  atomic.Int64
}

func (r *room) take(n int64) bool {
	if r.used.Add(n) <= r.limit {
		return true
	}
	r.used.Add(-n)
	return false
}

// held is what one request has taken of a room.
type held struct {
	room  *room
	taken int64
}

// read appends to b what r has until its end. It takes room for bytes before
// they come, and not for more than a step, whatever length was declared. The
// error is errNoRoom, errTooLong beyond limit bytes in all, or that of r; b
// then holds what was read before.
func (h *held) read(b *bytes.Buffer, r io.Reader, limit int64) error {
	for {
		if h.taken-int64(b.Len()) < holdStep {
			if !h.room.take(holdStep) {
				return errNoRoom
			}
			h.taken += holdStep
		}
		n, err := io.CopyN(b, r, min(holdStep, limit+1-int64(b.Len())))
		switch {
		case int64(b.Len()) > limit:
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
func (h *held) release() {
	h.room.used.Add(-h.taken)
	h.taken = 0
}
