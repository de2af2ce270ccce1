package relay

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
		{"beyond the limit", strings.NewReader("0123456789a"), 10, 1 << 20, errTooLong, 11},
		{"byte by byte", iotest.OneByteReader(strings.NewReader(strings.Repeat("x", 40_000))), 1 << 20, 1 << 20, nil, 40_000},
		{"no memory", strings.NewReader(strings.Repeat("x", 40_000)), 1 << 20, 2 * firstReserve, errNoMemory, 2 * firstReserve},
		{"broken", io.MultiReader(strings.NewReader("abc"), iotest.ErrReader(broken)), 10, 1 << 20, broken, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := &byteLimit{max: c.memory}
			v := reservation{limit: m, max: m.max}
			var b bytes.Buffer
			if err := v.read(&b, c.r, c.maxLen); !errors.Is(err, c.want) {
				t.Errorf("error %v, want %v", err, c.want)
			}
			if b.Len() != c.length {
				t.Errorf("read %d bytes, want %d", b.Len(), c.length)
			}
			if m.used.Load() < int64(b.Cap()) {
				t.Errorf("%d bytes are reserved, %d are held", m.used.Load(), b.Cap())
			}
			v.release()
			if n := m.used.Load(); n != 0 {
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
		v := reservation{limit: &byteLimit{}, max: 1 << 30}
		var b bytes.Buffer
		_ = v.read(&b, iotest.ErrReader(io.ErrUnexpectedEOF), 4<<20) // only the allocation is tested
	}
	runtime.ReadMemStats(&after)
	if n := (after.TotalAlloc - before.TotalAlloc) / readers; n > 2*firstReserve {
		t.Errorf("%d bytes allocated for a body of which nothing arrived", n)
	}
}

// TestResponseMemory guards against servers that end no response and so keep callers from
// sending their bodies.
func TestResponseMemory(t *testing.T) {
	s := &Relay{bodyMemory: byteLimit{max: 100}}
	var held []reservation
	for range 100 {
		if v := s.responseMemory(); v.reserve(1) {
			held = append(held, v)
		}
	}
	if v := s.requestMemory(); len(held) != 75 || !v.reserve(25) || v.reserve(26) {
		t.Errorf("%d bytes of responses and %d of a request are held", len(held), v.held)
	}
}
