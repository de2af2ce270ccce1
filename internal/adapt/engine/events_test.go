package engine

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// TestEvents guards against events that are joined, split or lost because the body
// arrives in reads that end inside an event.
func TestEvents(t *testing.T) {
	const body = "data: a\n\n: ping\n\ndata: b\r\n\r\nid: 7\ndata: c\n\ndata: [DONE]\n\ndata: half"
	for _, tc := range []struct {
		name string
		src  io.Reader
	}{
		{"whole", strings.NewReader(body)},
		{"bytes", iotest.OneByteReader(strings.NewReader(body))},
		{"halves", iotest.HalfReader(strings.NewReader(body))},
	} {
		t.Run(tc.name, func(t *testing.T) {
			e := newEvents(tc.src)
			var data []string
			var raw []byte
			for {
				ev, err := e.next()
				if err != nil {
					if !errors.Is(err, io.ErrUnexpectedEOF) {
						t.Fatalf("error %v, want unexpected EOF", err)
					}
					break
				}
				data = append(data, string(ev.Data))
				raw = append(raw, ev.Raw...)
			}
			if got := strings.Join(data, "|"); got != "a||b|c|[DONE]" {
				t.Errorf("data %q", got)
			}
			if string(raw)+"data: half" != body {
				t.Errorf("raw bytes differ: %q", raw)
			}
		})
	}
}

// TestEventSize guards against unbounded memory for an event that never ends.
func TestEventSize(t *testing.T) {
	e := newEvents(io.MultiReader(strings.NewReader("data: "), iotest.DataErrReader(endless{})))
	if _, err := e.next(); !errors.Is(err, errEventSize) {
		t.Errorf("error %v, want %v", err, errEventSize)
	}
}

// endless is a reader that returns x for ever.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return copy(p, bytes.Repeat([]byte("x"), len(p))), nil }

// TestEventsAllocations guards against allocations that grow with the length of a
// stream.
func TestEventsAllocations(t *testing.T) {
	e := newEvents(&repeat{text: "data: {\"id\":\"x\",\"choices\":[{\"delta\":{\"content\":\"oak \"}}]}\n\n"})
	n := testing.AllocsPerRun(10_000, func() {
		if _, err := e.next(); err != nil {
			t.Fatal(err)
		}
	})
	if n != 0 {
		t.Errorf("%v allocations per event", n)
	}
}

// repeat is a reader that returns text again and again.
type repeat struct {
	text string
	at   int // position in text
}

func (r *repeat) Read(p []byte) (int, error) {
	n := copy(p, r.text[r.at:])
	r.at = (r.at + n) % len(r.text)
	return n, nil
}
