package node

import (
	"testing"

	"github.com/yuccalb/yuccalb/internal/core/route"
)

// TestServerState guards against a status that shows an overloaded or unavailable server
// as up.
func TestServerState(t *testing.T) {
	for want, l := range map[string]route.Load{
		"up":      {BatchSize: 16, Running: 15, Prefill: 1000, Pending: 1400},
		"full":    {BatchSize: 16, Running: 16, Prefill: 1000},
		"slow":    {BatchSize: 16, Running: 16, Prefill: 1000, Pending: 1401},
		"leaving": {BatchSize: 16, Running: 16, Prefill: 1000, Pending: 5000, Leaving: true},
		"down":    {Leaving: true, Down: true},
	} {
		if got := serverState(l); got != want {
			t.Errorf("%+v: state %q, want %q", l, got, want)
		}
	}
}
