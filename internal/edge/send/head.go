package send

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
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
	errEncoding      = errors.New("response header has a transfer encoding that does not apply")
	errManyLongHeads = errors.New("too many long response headers at the same time")
)

// encodingField is the name of the field that encodes the body.
const encodingField = "Transfer-Encoding"

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
	// name is the start of the current line, and encoded is set once one has begun with encodingField.
	name    []byte
	encoded bool
	// err is set once the head has exceeded a limit.
	err error
}

// begin begins a head.
func (h *headLimit) begin() {
	name := h.name[:0]
	if name == nil {
		name = make([]byte, 0, len(encodingField)+1)
	}
	*h = headLimit{long: h.long, held: h.held, name: name}
}

// add counts bytes of the head, which may be followed by bytes of the body. It returns err.
func (h *headLimit) add(b []byte) error {
	for len(b) > 0 && !h.ended {
		line, rest, whole := bytes.Cut(b, []byte{'\n'})
		h.size += len(b) - len(rest)
		h.name = append(h.name, line[:min(len(line), cap(h.name)-len(h.name))]...)
		h.text = h.text || len(bytes.TrimSuffix(line, []byte{'\r'})) > 0
		if whole {
			h.lines++
			h.ended = !h.text
			h.text = false
			h.encoded = h.encoded || h.encodes()
			h.name = h.name[:0]
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

// encodes reports whether the current line is the field encodingField.
func (h *headLimit) encodes() bool {
	n := len(encodingField)
	return len(h.name) > n && bytes.IndexByte([]byte(": \t"), h.name[n]) >= 0 && strings.EqualFold(string(h.name[:n]), encodingField)
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
