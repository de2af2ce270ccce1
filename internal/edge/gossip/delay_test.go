package gossip

import (
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/core/pick"
	"github.com/yuccalb/yuccalb/internal/edge/clock"
)

// TestAgeOfWaitingFrame guards against a host that stood still and takes a statement about a limit for a
// new one although its frame has waited to be read: it would ignore newer ones for as long.
func TestAgeOfWaitingFrame(t *testing.T) {
	state := State{
		Host:          testHost("h1"),
		Limits:        map[string][]pick.ServerLimit{"desk": {{Age: 2 * time.Second, Ended: true}}},
		RefusalLimits: map[string][]pick.RefusalLimit{"desk": {{Age: 2 * time.Second, Value: 4}}},
	}
	body, err := cbor.Marshal(state)
	if err != nil {
		t.Fatal(err)
	}
	for name, tt := range map[string]struct {
		echoOf   int64 // the process to which the echo belongs
		min, max time.Duration
	}{
		"echo":                       {7, 17 * time.Second, 18 * time.Second},
		"echo to an earlier process": {6, 2 * time.Second, 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			src := &fakeSource{received: make(chan Peer, 1)}
			e := &Exchange{processStart: 7, src: src, log: zap.NewNop(), peers: make(map[string]Peer), echo: make(map[netip.AddrPort]echo)}
			// This host sent a frame 20 s ago, which the peer had got 5 s before it sent its own.
			b, err := cbor.Marshal(frame{Sent: time.Second, Echo: clock.Now() - 20*time.Second, EchoAge: 5 * time.Second, ProcessStart: tt.echoOf, State: body})
			if err != nil {
				t.Fatal(err)
			}
			if err := e.handle(b, testHost("h1").Peer); err != nil {
				t.Fatal(err)
			}
			got := (<-src.received).State
			limit, refusals := got.Limits["desk"][0].Age, got.RefusalLimits["desk"][0].Age
			if limit < tt.min || limit > tt.max || refusals != limit {
				t.Errorf("ages %v and %v, want from %v to %v", limit, refusals, tt.min, tt.max)
			}
		})
	}
}
