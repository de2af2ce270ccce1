package track

import (
	"testing"

	"github.com/yuccalb/yuccalb/internal/core/spec"
	"github.com/yuccalb/yuccalb/platform"
)

// TestDigestOfSlots guards against hosts that keep the former slots of a server: they read
// entries that another host has read only if the digest differs.
func TestDigestOfSlots(t *testing.T) {
	entries := func(slots int, seq int64) platform.Entries {
		return platform.Entries{Servers: []spec.Server{{ID: "s", Service: "desk", Slots: slots, Seq: seq}}}
	}
	if digest(entries(6, 1)) == digest(entries(8, 2)) {
		t.Error("6 and 8 slots have the same digest")
	}
	if digest(entries(6, 1)) != digest(entries(6, 2)) {
		t.Error("a heartbeat changes the digest")
	}
}
