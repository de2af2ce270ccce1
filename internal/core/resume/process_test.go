package resume

import (
	"testing"
	"time"
)

// TestOpenedUntil guards against streams that begin at a process of which the list knows nothing: one
// that started after the list was last read, or shortly before an outage of the store.
func TestOpenedUntil(t *testing.T) {
	const confirmed = time.Hour
	for name, tt := range map[string]struct{ confirmed, now, opened time.Duration }{
		"a list that was just read":            {confirmed, confirmed, confirmed + maxListAge},
		"a list that is read late":             {confirmed, confirmed + maxListAge, confirmed + maxListAge},
		"an outdated list":                     {confirmed, confirmed + maxListAge + 1, confirmed - registerTime},
		"a process that the list doesn't name": {0, time.Second, 0},
	} {
		if got := OpenedUntil(tt.confirmed, tt.now); got != tt.opened {
			t.Errorf("%s: %v, want %v", name, got, tt.opened)
		}
	}
}
