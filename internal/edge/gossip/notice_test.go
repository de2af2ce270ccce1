package gossip

import (
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/core/pick"
)

// TestNotice guards against notices that count a request twice, because the last state of
// their host includes it, or that come from an unknown or ended process.
func TestNotice(t *testing.T) {
	src := &fakeSource{received: make(chan Peer, 1)}
	e := &Exchange{processStart: 7, src: src, log: zap.NewNop(), peers: make(map[string]Peer), echo: make(map[netip.AddrPort]echo)}
	host := testHost("h1")
	handle := func(f frame) error {
		b, err := cbor.Marshal(f)
		if err != nil {
			t.Fatal(err)
		}
		return e.handle(b, host.Peer)
	}
	notice := func(sent time.Duration, start int64, unread int) frame {
		n := pick.Notice{Server: "s", Load: pick.Load{Running: 1, Unread: unread}}
		return frame{Sent: sent, Notice: &Notice{Host: "h1", ProcessStart: start, Service: "chat", Notice: n}}
	}
	state, err := cbor.Marshal(State{Host: host, ProcessStart: 3})
	if err != nil {
		t.Fatal(err)
	}
	for _, step := range []struct {
		name  string
		frame frame
		want  int64 // notices passed on so far
		fails bool
	}{
		{"from an unknown host", notice(4, 3, 2000), 0, false},
		{"state", frame{Sent: 5, State: state}, 0, false},
		{"sent after the state", notice(6, 3, 2000), 1, false},
		{"sent before the state", notice(4, 3, 2000), 1, false},
		{"from an ended process", notice(7, 2, 2000), 1, false},
		{"invalid", notice(8, 3, -1), 1, true},
	} {
		if err := handle(step.frame); (err != nil) != step.fails {
			t.Errorf("%s: error %v", step.name, err)
		}
		if n := src.notices.Load(); n != step.want {
			t.Errorf("%s: %d notices passed on, want %d", step.name, n, step.want)
		}
	}
}
