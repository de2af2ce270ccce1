package intake

import (
	"sync"
	"time"
)

const (
	// SmallBody is the size in bytes up to which a body counts as small. Small ones find
	// memory after large ones no longer do.
	SmallBody = 64 << 10
	// stallTime is how long a body must not have grown before it is evicted for a small
	// body or for one more body, and longStallTime for a large body. A body grows when it
	// doubles, so that a slow trickle does not count.
	stallTime     = 250 * time.Millisecond
	longStallTime = time.Second
	// readerCandidates is the number of bodies that are looked at for one that is large
	// enough.
	readerCandidates = 32
)

// Readers holds the bodies that are being read, in the order in which they last grew. It is
// safe for concurrent use. The zero value is empty.
type Readers struct {
	mu          sync.Mutex
	first, last *Reader
	n           int
}

// Reader is a body that is being read.
type Reader struct {
	set        *Readers
	stop       func()
	held       int64
	grown      time.Time
	prev, next *Reader
	evicted    bool
}

// Begin adds a body. stop ends the read if the body is evicted. It is not called after End,
// and must not call s.
func (s *Readers) Begin(stop func()) *Reader {
	r := &Reader{set: s, stop: stop}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.push(r)
	return r
}

// Len returns the number of bodies.
func (s *Readers) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.n
}

// Grow states the memory in bytes that the body holds. It returns false if the body was
// evicted.
func (r *Reader) Grow(held int64) bool {
	r.set.mu.Lock()
	defer r.set.mu.Unlock()
	if r.evicted {
		return false
	}
	r.held = held
	r.set.remove(r)
	r.set.push(r)
	return true
}

// End removes the body. It reports whether the body was evicted, so that its memory was
// released already.
func (r *Reader) End() bool {
	r.set.mu.Lock()
	defer r.set.mu.Unlock()
	if !r.evicted {
		r.set.remove(r)
	}
	return r.evicted
}

// EvictFor evicts another body for r, which needs memory to grow to n bytes. It returns the
// memory that the evicted one holds until its read ends, and whether there was one.
func (s *Readers) EvictFor(r *Reader, n int64) (int64, bool) {
	stall := stallTime
	if n > SmallBody {
		stall = longStallTime
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.evicted {
		return 0, false
	}
	s.remove(r)
	s.push(r) // it has just filled what it held
	return s.evict(stall, 1)
}

// EvictOne evicts a body to bound their number. It returns the memory that it holds until
// its read ends, and whether there was one.
func (s *Readers) EvictOne() (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evict(stallTime, 0)
}

// evict evicts the body that has not grown for longest, and at least for stall, among those
// that hold at least so many bytes. The caller holds s.mu.
func (s *Readers) evict(stall time.Duration, least int64) (int64, bool) {
	now := time.Now()
	r := s.first
	for i := 0; r != nil && i < readerCandidates && now.Sub(r.grown) >= stall; i++ {
		if r.held >= least {
			s.remove(r)
			r.evicted = true
			r.stop()
			return r.held, true
		}
		r = r.next
	}
	return 0, false
}

func (s *Readers) push(r *Reader) {
	r.grown = time.Now()
	r.prev, r.next = s.last, nil
	if s.last == nil {
		s.first = r
	} else {
		s.last.next = r
	}
	s.last = r
	s.n++
}

func (s *Readers) remove(r *Reader) {
	if r.prev == nil {
		s.first = r.next
	} else {
		r.prev.next = r.next
	}
	if r.next == nil {
		s.last = r.prev
	} else {
		r.next.prev = r.prev
	}
	s.n--
}
