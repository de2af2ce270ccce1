package intake

import "bytes"

const (
	// byteCost and lineCost are the memory in bytes that net/http needs for a byte and
	// for a line of a head: it copies the bytes, and each field takes a place in a map,
	// a slice of values and two strings, with the room that these keep to grow.
	byteCost = 2
	lineCost = 256
)

// head measures the head of a request as its bytes arrive. The zero value is at the start
// of a head.
type head struct {
	size, lines int
	// text is set once a line was not empty, and filled while the current one is not:
	// empty lines before the first other one do not end a head. cr is set while the
	// last byte of an otherwise empty line was a carriage return.
	text, filled, cr bool
}

// add counts bytes of the head. It returns how many of them belong to it, fewer than all
// only if the head ends before the others.
func (h *head) add(b []byte) int {
	n := 0
	for n < len(b) {
		i := bytes.IndexByte(b[n:], '\n')
		line := b[n:]
		if i >= 0 {
			line = line[:i]
		}
		h.fill(line)
		if i < 0 {
			n = len(b)
			break
		}
		n += i + 1
		h.lines++
		if h.endLine() {
			break
		}
	}
	h.size += n
	return n
}

// fill adds bytes without a line feed to the current line.
func (h *head) fill(line []byte) {
	if h.filled || len(line) == 0 {
		return
	}
	h.filled = h.cr || len(line) > 1 || line[0] != '\r'
	h.cr = !h.filled
}

// endLine ends the current line and reports whether the head ends with it.
func (h *head) endLine() bool {
	ended := h.text && !h.filled
	h.text = h.text || h.filled
	h.filled, h.cr = false, false
	return ended
}

// cost returns the memory in bytes that the head takes.
func (h *head) cost() int64 { return byteCost*int64(h.size) + lineCost*int64(h.lines) }
