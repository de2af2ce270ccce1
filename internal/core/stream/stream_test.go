package stream

import (
	"fmt"
	"strings"
	"testing"
)

// TestScan guards against events that are held back, and against a stream that ends
// within an event and looks complete.
func TestScan(t *testing.T) {
	for _, c := range []struct {
		text string
		want int // bytes that are not within an event
	}{
		{"", 0},
		{"id: 1\ndata: a\n\n", 15},
		{"id: 1\ndata: a\n", 0},
		{"id: 1\ndata: a\n\nid: 2", 15},
		{"data: a\r\n\r\n", 11},
		{"data: a\r\n\r", 10},
		{"data: a\r\r", 9},
		{"data: a\rdata: b\r\r", 17},
		{"data: a\n\r\n", 10},
		{"data: a\r\n\n", 10},
		{"data: a\r\n", 0},
		{"\n\n", 2},
		{"data: a\n\n\n", 10},
		{": idle\n", 7},
		{": idle", 0},
		{"data: a\n: idle\n", 0},
		{"data: a\n\n: idle\ndata", 16},
	} {
		for size := 1; size <= max(len(c.text), 1); size++ {
			if got := scanParts(c.text, size); got != c.want {
				t.Errorf("%q in parts of %d: %d, want %d", c.text, size, got, c.want)
			}
		}
	}
}

// scanParts returns the last position that is not within an event when text arrives in
// parts of size bytes.
func scanParts(text string, size int) int {
	var s Scanner
	end := 0
	for i := 0; i < len(text); i += size {
		part := text[i:min(i+size, len(text))]
		if n := s.Scan([]byte(part)); n > 0 {
			end = i + n
		}
	}
	return end
}

// TestLastID guards against resuming a stream at a wrong event.
func TestLastID(t *testing.T) {
	for text, want := range map[string]string{
		"":                                      "",
		"data: id: 3\n\n":                       "",
		"id: 3\ndata: a\n\n":                    "3",
		"id:3\rdata: a\r\r":                     "3",
		"id: 3\r\ndata: a\r\n\r\nid: 4\r\n\r\n": "4",
		"id: 3\n\ndata: a\n\n":                  "3",
	} {
		if got := LastID([]byte(text)); got != want {
			t.Errorf("%q: %q, want %q", text, got, want)
		}
	}
}

// FuzzScan guards against forwarding an incomplete event, against complete events that are
// held back, against results that depend on how a stream is divided into parts, and
// against an event ID that is not in the events.
func FuzzScan(f *testing.F) {
	for _, text := range []string{"id: 1\r\ndata: a\r\n\r\n: idle\n", "id: 1\ndata: a\n\n", "id: 1\r\ndata: a\r\n\r\nid: 2\nda", "data: id: 3\n\n", "id:\n\n", "\n\n", "id: 1"} {
		f.Add(text, 3)
	}
	f.Fuzz(func(t *testing.T, text string, size int) {
		if size < 1 {
			return
		}
		n := scanParts(text, max(len(text), 1))
		if got := scanParts(text, size); got != n {
			t.Errorf("%q in parts of %d: %d, whole %d", text, size, got, n)
		}
		lines := strings.ReplaceAll(strings.ReplaceAll(text[:n], "\r\n", "\n"), "\r", "\n")
		if n > 0 && !strings.HasSuffix(lines, "\n") {
			t.Errorf("%q does not end with a line", text[:n])
		}
		last := lines
		if i := strings.LastIndex("\n"+lines, "\n\n"); i >= 0 {
			last = lines[i+1:]
		}
		for line := range strings.Lines(last) {
			if !strings.HasPrefix(line, ":") {
				t.Errorf("%q ends within an event", text[:n])
			}
		}
		for _, blank := range []string{"\n\n", "\r\r", "\r\n\r\n"} {
			if strings.Contains(text[n:], blank) {
				t.Errorf("a complete event remains in %q", text[n:])
			}
		}
		if id := LastID([]byte(text[:n])); !strings.Contains(text[:n], id) {
			t.Errorf("event %q is not in %q", id, text[:n])
		}
	})
}

func ExampleScanner() {
	var s Scanner
	fmt.Println(s.Scan([]byte(": idle\n")), s.Ended())
	fmt.Println(s.Scan([]byte("data: a\n\ndata: b\n")), s.Ended())
	fmt.Println(s.Scan([]byte("\n")), s.Ended())
	// Output:
	// 7 false
	// 9 true
	// 1 true
}
