package send

import (
	"bytes"
	"errors"
	"fmt"
	"sync/atomic"
)

const (
	// maxHead bounds the status line and header of a response in bytes, and maxLines
	// its lines: short fields take many times their size in memory.
	maxHead  = 64 << 10
	maxLines = 256
	// A head of more than longHead bytes counts as long. maxLongHeads bounds those that
	// all requests of a client hold at the same time.
	longHead     = 8 << 10
	maxLongHeads = 128
)

var (
	errHeadTooLong   = fmt.Errorf("response header exceeds %d bytes", maxHead)
	errTooManyLines  = fmt.Errorf("response header exceeds %d lines", maxLines)
	errManyLongHeads = errors.New("too many long response headers at the same time")
)

// headLimit bounds the memory of the head that is read on a connection.
type headLimit struct {
	// long counts the long heads of the client.
	long *atomic.Int64
	// held is set while the head of this connection is counted in long.
	held        bool
	size, lines int
	// text is set if the current line is not empty, and ended after the empty line at
	// the end of the head.
	text, ended bool
	// err is set once the head has exceeded a limit.
	err error
}

// begin begins a head.
func (h *headLimit) begin() { *h = headLimit{long: h.long, held: h.held} }

// add counts bytes of the head, which may be followed by bytes of the body. It returns err.
func (h *headLimit) add(b []byte) error {
	for len(b) > 0 && !h.ended {
		line, rest, whole := bytes.Cut(b, []byte{'\n'})
		h.size += len(b) - len(rest)
		h.text = h.text || len(bytes.TrimSuffix(line, []byte{'\r'})) > 0
		if whole {
			h.lines++
			h.ended = !h.text
			h.text = false
		}
		b = rest
	}
	switch {
	case h.size > maxHead:
		h.err = errHeadTooLong
	case h.lines > maxLines:
		h.err = errTooManyLines
	case h.size > longHead && !h.acquire():
		h.err = errManyLongHeads
	}
	return h.err
}

// acquire counts the head as long and reports whether there may be one more.
func (h *headLimit) acquire() bool {
	if h.held {
		return true
	}
	if h.long.Add(1) > maxLongHeads {
		h.long.Add(-1)
		return false
	}
	h.held = true
	return true
}

// release ends the use of the head.
func (h *headLimit) release() {
	if h.held {
		h.long.Add(-1)
	}
	h.held = false
}
