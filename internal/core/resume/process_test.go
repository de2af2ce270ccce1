package resume

import (
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/spec"
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

// TestListsAfterOutage guards against streams that begin by the first list after an outage of the store, which
// may name processes that ended in it, and against refusals of those that registered after it.
func TestListsAfterOutage(t *testing.T) {
	var l Lists
	old, next := []spec.Server{{ID: "s1", Born: 1}}, []spec.Server{{ID: "s1", Born: 1}, {ID: "s2", Born: 1}}
	for i, tt := range []struct {
		servers  []spec.Server
		at, want time.Duration
	}{
		{old, 10 * time.Second, 10 * time.Second},
		{old, 11 * time.Second, 11 * time.Second},
		{next, 20 * time.Second, 11 * time.Second}, // after an outage
		{next, 21 * time.Second, 11 * time.Second},
		{next, 21500 * time.Millisecond, 11 * time.Second},
		{next, 30 * time.Second, 11 * time.Second}, // after another one
		{next, 31 * time.Second, 11 * time.Second},
		{next, 32 * time.Second, 32 * time.Second},
	} {
		l.Update(tt.servers, tt.at)
		if got := l.Confirmed("s1", 1, tt.at); got != tt.want {
			t.Errorf("%d: %v, want %v", i, got, tt.want)
		}
		if got := l.Confirmed("s2", 1, tt.at); got != tt.at {
			t.Errorf("%d: %v for a server that registered after the outage, want %v", i, got, tt.at)
		}
	}
}
