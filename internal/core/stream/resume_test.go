package stream

import "testing"

// TestFollows guards against taking a server that begins a stream again for one that resumes it,
// and the other way round.
func TestFollows(t *testing.T) {
	for name, tt := range map[string]struct {
		events, last   string
		follows, known bool
	}{
		"next":                     {"id: 4\ndata: x\n\n", "3", true, true},
		"some left out":            {"id: 9\ndata: x\n\n", "3", true, true},
		"again from the start":     {"id: 1\ndata: x\n\nid: 2\n\n", "3", false, true},
		"the same event again":     {"data: x\nid: 3\n\n", "3", false, true},
		"numbers of other lengths": {"id: 10\n\n", "9", true, true},
		"no identifier yet":        {"data: x\n\n: comment\n", "3", false, false},
		"an identifier later":      {"data: x\r\n\r\nid:2\r\n\r\n", "3", false, true},
		"an empty identifier":      {"id:\ndata: x\n\n", "3", false, false},
		"no number":                {"id: b\n\n", "a", true, true},
		"no number, the same":      {"id: a\n\n", "a", false, true},
		"a word in data":           {"data: id: 1\n\n", "3", false, false},
	} {
		t.Run(name, func(t *testing.T) {
			follows, known := Follows([]byte(tt.events), tt.last)
			if follows != tt.follows || known != tt.known {
				t.Errorf("follows %v, known %v", follows, known)
			}
		})
	}
}
