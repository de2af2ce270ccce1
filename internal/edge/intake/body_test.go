package intake

import (
	"bytes"
	"errors"
	"io"
	"runtime"
	"strings"
	"testing"
	"testing/iotest"
)

// TestReservedRead guards against truncated bodies, bodies beyond their limit, and
// reserved memory that is not released.
func TestReservedRead(t *testing.T) {
	broken := errors.New("broken")
	for _, c := range []struct {
		name           string
		r              io.Reader
		maxLen, memory int64
		want           error
		length         int
	}{
		{"empty", strings.NewReader(""), 10, 1 << 20, nil, 0},
		{"at the limit", strings.NewReader("0123456789"), 10, 1 << 20, nil, 10},
		{"beyond the limit", strings.NewReader("0123456789a"), 10, 1 << 20, ErrTooLong, 11},
		{"byte by byte", iotest.OneByteReader(strings.NewReader(strings.Repeat("x", 40_000))), 1 << 20, 1 << 20, nil, 40_000},
		{"no memory", strings.NewReader(strings.Repeat("x", 40_000)), 1 << 20, 2 * firstReserve, ErrNoMemory, 2 * firstReserve},
		{"broken", io.MultiReader(strings.NewReader("abc"), iotest.ErrReader(broken)), 10, 1 << 20, broken, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := NewBodies(c.memory)
			v := m.Request()
			var b bytes.Buffer
			if err := v.Read(&b, c.r, c.maxLen); !errors.Is(err, c.want) {
				t.Errorf("error %v, want %v", err, c.want)
			}
			if b.Len() != c.length {
				t.Errorf("read %d bytes, want %d", b.Len(), c.length)
			}
			if m.Bytes() < int64(b.Cap()) {
				t.Errorf("%d bytes are reserved, %d are held", m.Bytes(), b.Cap())
			}
			v.Release()
			if n := m.Bytes(); n != 0 {
				t.Errorf("%d bytes were not released", n)
			}
		})
	}
}

// TestReadAhead guards against allocating memory for bytes that were declared but
// did not arrive: a few dozen callers would exhaust the memory of a small host.
func TestReadAhead(t *testing.T) {
	const readers = 100
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range readers {
		v := NewBodies(1 << 30).Request()
		var b bytes.Buffer
		_ = v.Read(&b, iotest.ErrReader(io.ErrUnexpectedEOF), 4<<20) // only the allocation is tested
	}
	runtime.ReadMemStats(&after)
	if n := (after.TotalAlloc - before.TotalAlloc) / readers; n > 2*firstReserve {
		t.Errorf("%d bytes allocated for a body of which nothing arrived", n)
	}
}

// TestResponseMemory guards against servers that end no response and so keep callers from
// sending their bodies.
func TestResponseMemory(t *testing.T) {
	s := NewBodies(100)
	var held []Body
	for range 100 {
		if v := s.Response(); v.Reserve(1) {
			held = append(held, v)
		}
	}
	if v := s.Request(); len(held) != 75 || !v.Reserve(25) || v.Reserve(26) {
		t.Errorf("%d bytes of responses and %d of a request are held", len(held), v.held)
	}
}

// TestEvictedBody guards against bodies that stop and keep others from being read, and
// against memory that is released twice or not at all when one is evicted.
func TestEvictedBody(t *testing.T) {
	s := NewBodies(1 << 20)
	stops := 0
	stopped, next := s.Request(), s.Request()
	if !stopped.Begin(1, func() { stops++ }) || !stopped.Reserve(800<<10) {
		t.Fatal("no room for the first body")
	}
	if next.Begin(1, nil) || !next.Begin(2, nil) || next.Reserve(300<<10) {
		t.Fatal("a body that grows was evicted")
	}
	stopped.reader.grown = stopped.reader.grown.Add(-2 * longStallTime)
	if !next.Reserve(300<<10) || stops != 1 || stopped.Reserve(801<<10) {
		t.Errorf("the body was ended %d times, want 1", stops)
	}
	if !stopped.End() || next.End() {
		t.Error("the wrong body was evicted")
	}
	stopped.Release()
	next.Release()
	if s.Bytes() != 0 || s.readers.len() != 0 {
		t.Errorf("%d bytes of %d bodies are left", s.Bytes(), s.readers.len())
	}
}
