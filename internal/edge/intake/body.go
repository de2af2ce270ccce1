package intake

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
	// largeShare is the share that large bodies of requests leave to small ones.
	largeShare = 0.875
	// maxEvictions bounds the bodies that are evicted for one that grows.
	maxEvictions = 32
)

// Errors of Body.Read.
var (
	ErrNoMemory = errors.New("memory limit for bodies reached")
	ErrTooLong  = errors.New("body exceeds its limit")
)

// Bodies bounds the memory of a host for bodies. It is safe for concurrent use.
type Bodies struct {
	max  int64
	used atomic.Int64
	// ending is the part of used that evicted bodies hold whose reads have not ended.
	ending  atomic.Int64
	readers readers
}

// NewBodies returns a limit in bytes.
func NewBodies(limit int64) *Bodies { return &Bodies{max: limit} }

// Bytes returns the memory in bytes that bodies hold.
func (s *Bodies) Bytes() int64 { return s.used.Load() }

// take takes n bytes if they fit into limit. Bodies that end may exceed it to a part.
func (s *Bodies) take(n, limit int64) bool {
	used := s.used.Add(n)
	if used-s.ending.Load() <= limit && used <= s.most(limit) {
		return true
	}
	s.used.Add(-n)
	return false
}

// most returns what all bodies may hold with a limit, those that end included.
func (s *Bodies) most(limit int64) int64 { return limit + int64(endingShare*float64(s.max)) }

// Body is the memory that one body holds of Bodies.
type Body struct {
	limit *Bodies
	// max bounds what all bodies together may hold when this one grows.
	max  int64
	held int64
	// reader is set while the body of a request is being read.
	reader *reader
}

// Request returns the memory of the body of a request, which holds nothing yet.
func (s *Bodies) Request() Body { return Body{limit: s, max: s.max} }

// Response returns the memory of the body of a response, which holds nothing yet.
func (s *Bodies) Response() Body {
	return Body{limit: s, max: int64(responseShare * float64(s.max))}
}

// Begin begins the read of a body of a request. stop must end the read: it is called if the
// body has not grown for long and others need its memory or its place among the bodies that
// are read, of which there are at most so many. Begin returns false if there is no place.
func (v *Body) Begin(most int, stop func()) bool {
	readers := &v.limit.readers
	if readers.len() >= most {
		freed, ok := readers.evictOne()
		if !ok {
			return false
		}
		v.limit.ending.Add(freed)
	}
	v.reader = readers.begin(stop)
	return true
}

// End ends the read and reports whether the body was evicted.
func (v *Body) End() bool {
	if v.reader == nil {
		return false
	}
	evicted := v.reader.end()
	v.reader = nil
	if evicted {
		v.limit.ending.Add(-v.held)
		v.Release()
	}
	return evicted
}

// Held returns the reserved bytes.
func (v *Body) Held() int64 { return v.held }

// Reserve raises the memory to n bytes and reports whether the limit permits it.
func (v *Body) Reserve(n int64) bool {
	more := n - v.held
	limit := v.max
	if v.reader != nil && n > smallBody {
		limit = int64(largeShare * float64(limit))
	}
	for i := 0; !v.limit.take(more, limit); i++ {
		if v.reader == nil || i == maxEvictions || v.limit.used.Load()+more > v.limit.most(limit) {
			return false
		}
		freed, ok := v.limit.readers.evictFor(v.reader, n)
		if !ok {
			return false
		}
		v.limit.ending.Add(freed)
	}
	if v.reader != nil && !v.reader.grow(n) {
		v.limit.used.Add(-more)
		return false
	}
	v.held = n
	return true
}

// Hold sets the memory to n bytes even if the limit does not permit them: a response that has
// begun can't do without its buffer. Others are refused the earlier.
func (v *Body) Hold(n int64) {
	v.limit.used.Add(n - v.held)
	v.held = n
}

// Read appends the bytes of r up to its end to b, which must be empty at the first call.
// It reserves memory before it reads, and twice as much each time it is full, since the
// declared length of a body may be false. The error is ErrNoMemory, ErrTooLong if b
// exceeds maxLen bytes, or that of r; b then holds what was read before.
func (v *Body) Read(b *bytes.Buffer, r io.Reader, maxLen int64) error {
	for {
		if b.Available() == 0 {
			size := min(max(2*v.held, firstReserve), maxLen+1)
			if !v.Reserve(size) {
				return ErrNoMemory
			}
			*b = *bytes.NewBuffer(append(make([]byte, 0, size), b.Bytes()...))
		}
		space := b.AvailableBuffer()
		n, err := r.Read(space[:cap(space)])
		b.Write(space[:n])
		switch {
		case int64(b.Len()) > maxLen:
			return ErrTooLong
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return fmt.Errorf("read body: %w", err)
		}
	}
}

// Release returns all reserved bytes. The body must not be being read.
func (v *Body) Release() {
	v.limit.used.Add(-v.held)
	v.held = 0
}
