package intake

import (
	"container/list"
	"sync"
	"time"
)

const (
	// smallBody is the size in bytes up to which a body counts as small. Small ones find
	// memory after large ones no longer do.
	smallBody = 64 << 10
	// stallTime is how long a body must not have grown before it is evicted for a small
	// body or for one more body, and longStallTime for a large body. A body grows when it
	// doubles, so that a slow trickle does not count.
	stallTime     = 250 * time.Millisecond
	longStallTime = time.Second
	// readerCandidates is the number of bodies that are looked at for one that is large
	// enough.
	readerCandidates = 32
)

// readers holds the bodies that are being read, in the order in which they last grew. It is
// safe for concurrent use. The zero value is empty.
type readers struct {
	mu   sync.Mutex
	list list.List // of *reader
}

// reader is a body that is being read.
type reader struct {
	set     *readers
	place   *list.Element
	stop    func()
	held    int64
	grown   time.Time
	evicted bool
}

// begin adds a body. stop ends the read if the body is evicted. It is not called after end,
// and must not call s.
func (s *readers) begin(stop func()) *reader {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &reader{set: s, stop: stop, grown: time.Now()}
	r.place = s.list.PushBack(r)
	return r
}

// len returns the number of bodies.
func (s *readers) len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list.Len()
}

// grow states the memory in bytes that the body holds. It returns false if the body was
// evicted.
func (r *reader) grow(held int64) bool {
	r.set.mu.Lock()
	defer r.set.mu.Unlock()
	if r.evicted {
		return false
	}
	r.held = held
	r.hasGrown()
	return true
}

// hasGrown moves the body behind all others. The caller holds set.mu.
func (r *reader) hasGrown() {
	r.grown = time.Now()
	r.set.list.MoveToBack(r.place)
}

// end removes the body and reports whether it was evicted.
func (r *reader) end() bool {
	r.set.mu.Lock()
	defer r.set.mu.Unlock()
	r.set.list.Remove(r.place) // does nothing if it was evicted
	return r.evicted
}

// evictFor evicts another body for r, which needs memory to grow to n bytes. It returns the
// memory that the evicted one holds until its read ends, and whether there was one.
func (s *readers) evictFor(r *reader, n int64) (int64, bool) {
	stall := stallTime
	if n > smallBody {
		stall = longStallTime
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.evicted {
		return 0, false
	}
	r.hasGrown() // it has just filled what it held
	return s.evict(stall, 1)
}

// evictOne evicts a body to bound their number. It returns the memory that it holds until
// its read ends, and whether there was one.
func (s *readers) evictOne() (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evict(stallTime, 0)
}

// evict evicts the body that has not grown for longest, and at least for stall, among those
// that hold at least so many bytes. The caller holds s.mu.
func (s *readers) evict(stall time.Duration, least int64) (int64, bool) {
	now := time.Now()
	e := s.list.Front()
	for i := 0; e != nil && i < readerCandidates; i++ {
		r := e.Value.(*reader)
		if now.Sub(r.grown) < stall {
			break // the others have grown since
		}
		if r.held >= least {
			s.list.Remove(e)
			r.evicted = true
			r.stop()
			return r.held, true
		}
		e = e.Next()
	}
	return 0, false
}
