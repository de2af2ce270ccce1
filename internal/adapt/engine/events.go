package engine

import (
	"bytes"
	"errors"
	"fmt"
	"io"
)

const (
	// eventBuffer is the initial size of a stream's buffer in bytes; an event
	// with one token takes about 200.
	eventBuffer = 4 << 10
	// maxEvent bounds one event in bytes.
	maxEvent = 256 << 10
)

var errEventSize = fmt.Errorf("event is larger than %d bytes", maxEvent)

// Event is one server-sent event.
type Event struct {
	// Raw is the whole event as it was received, including its blank line.
	Raw []byte
	// Data is the content of the first "data:" line of Raw without surrounding
	// space. It is empty for events without data.
	Data []byte
	// Done is set on the end mark, the event with the data [DONE].
	Done bool
}

// events splits a body into events. The size of its buffer depends on the largest
// event and not on the number of events.
type events struct {
	src  io.Reader
	buf  []byte
	r, w int // buf[r:w] is unread
	err  error
}

// newEvents returns a reader of the events of src.
func newEvents(src io.Reader) *events {
	return &events{src: src, buf: make([]byte, eventBuffer)}
}

// next returns the next complete event, whose bytes are valid until the next call.
// A last event without its blank line is not returned.
func (e *events) next() (Event, error) {
	scanned := 0 // length of the start of the unread bytes that contains no end of an event
	for {
		if n := endOfEvent(e.buf[e.r+scanned : e.w]); n > 0 {
			raw := e.buf[e.r : e.r+scanned+n]
			e.r += len(raw)
			return parseEvent(raw), nil
		}
		if e.err != nil {
			return Event{}, e.err
		}
		// The end of an event takes up to 4 bytes, which may be split between two
		// reads.
		scanned = max(0, e.w-e.r-3)
		if err := e.fill(); err != nil {
			return Event{}, err
		}
	}
}

// fill reads once and appends the bytes to the unread ones. A read error is kept in
// e.err, so that next first returns the events before it.
func (e *events) fill() error {
	if e.r > 0 {
		e.w = copy(e.buf, e.buf[e.r:e.w])
		e.r = 0
	}
	if e.w == len(e.buf) {
		if len(e.buf) >= maxEvent {
			return errEventSize
		}
		e.buf = append(e.buf, make([]byte, len(e.buf))...)
	}
	n, err := e.src.Read(e.buf[e.w:])
	e.w += n
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	e.err = err
	return nil
}

// endOfEvent returns the number of bytes up to and including the first blank line,
// or 0 if there is none.
func endOfEvent(b []byte) int {
	for i := 0; ; {
		n := bytes.IndexByte(b[i:], '\n')
		if n < 0 {
			return 0
		}
		i += n + 1
		switch {
		case bytes.HasPrefix(b[i:], []byte("\n")):
			return i + 1
		case bytes.HasPrefix(b[i:], []byte("\r\n")):
			return i + 2
		}
	}
}

// parseEvent returns the event with the bytes raw.
func parseEvent(raw []byte) Event {
	ev := Event{Raw: raw}
	for rest := raw; len(rest) > 0; {
		line, tail, _ := bytes.Cut(rest, []byte("\n"))
		if data, ok := bytes.CutPrefix(line, []byte("data:")); ok {
			ev.Data = bytes.TrimSpace(data)
			ev.Done = string(ev.Data) == "[DONE]"
			return ev
		}
		rest = tail
	}
	return ev
}
