// Package stream finds the events in a stream of server-sent events. A line ends with
// LF, CR or CRLF, and an empty line ends an event.
package stream

import (
	"bytes"
	"strconv"
	"strings"
)

// Scanner finds the ends of events in a stream that arrives in parts. Its zero value is
// at the start of a stream. It is not safe for concurrent use.
type Scanner struct {
	// event is set after a line with a field until the empty line that ends the event.
	event bool
	// ended is set once an event has ended.
	ended bool
	// text is set after the first byte of a line, and comment if that is a colon.
	text, comment bool
	// cr is set after a CR: an LF that follows belongs to the same line ending.
	cr bool
}

// Scan reads the next part of the stream. It returns the number of bytes of b up to the
// last position that is not within an event or a comment, 0 if there is none.
func (s *Scanner) Scan(b []byte) int {
	end := 0
	for i, c := range b {
		switch {
		case c == '\n' && s.cr:
			s.cr = false
		case c == '\n' || c == '\r':
			s.endLine()
			s.cr = c == '\r'
		default:
			s.add(c)
			continue
		}
		if !s.event {
			end = i + 1
		}
	}
	return end
}

// Ended reports whether an event has ended.
func (s *Scanner) Ended() bool { return s.ended }

// add reads a byte of a line.
func (s *Scanner) add(c byte) {
	if !s.text {
		s.text = true
		s.comment = c == ':'
	}
	s.cr = false
}

// endLine reads the end of a line.
func (s *Scanner) endLine() {
	switch {
	case !s.text:
		s.ended = s.ended || s.event
		s.event = false
	case !s.comment:
		s.event = true
	}
	s.text = false
	s.comment = false
}

// Follows reports whether the events in b, with which a server resumes a stream, follow the one
// with the identifier last. A server that does not know how to resume begins again, with an
// identifier that is not greater or, if they are no numbers, the same. It returns false
// for known if none of the events has an identifier. b must start at the start of a line.
func Follows(b []byte, last string) (follows, known bool) {
	first := firstID(b)
	if first == "" {
		return false, false
	}
	m, err1 := strconv.ParseUint(last, 10, 64)
	n, err2 := strconv.ParseUint(first, 10, 64)
	if err1 != nil || err2 != nil {
		return first != last, true
	}
	return n > m, true
}

// firstID returns the identifier of the first event in b that has one, or an empty string.
func firstID(b []byte) string {
	for line := range bytes.FieldsFuncSeq(b, func(r rune) bool { return r == '\n' || r == '\r' }) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			if id := strings.TrimSpace(string(value)); id != "" {
				return id
			}
		}
	}
	return ""
}

// LastID returns the identifier of the last event in b that has one, or an empty
// string. b must start at the start of a line.
func LastID(b []byte) string {
	field := []byte("id:")
	for {
		i := bytes.LastIndex(b, field)
		if i < 0 {
			return ""
		}
		if i == 0 || b[i-1] == '\n' || b[i-1] == '\r' {
			line := b[i+len(field):]
			if j := bytes.IndexAny(line, "\r\n"); j >= 0 {
				line = line[:j]
			}
			return strings.TrimSpace(string(line))
		}
		b = b[:i]
	}
}
