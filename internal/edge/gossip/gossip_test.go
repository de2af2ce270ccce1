package gossip

import (
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/core/eras"
	"github.com/yuccalb/yuccalb/internal/core/spec"
	"github.com/yuccalb/yuccalb/internal/edge/clock"
)

// named returns a host with addresses that nobody uses.
func named(name string) spec.Host {
	addr := netip.MustParseAddrPort("127.0.0.1:1")
	return spec.Host{Name: name, Site: "a1", Front: addr, Peer: addr}
}

// host is a Source with fixed answers.
type host struct {
	state   State
	targets []netip.AddrPort
	heard   chan Peer
}

func (h *host) State(bool) State { return h.state }
func (h *host) Round(bool) Round { return Round{Near: h.targets, Wait: 200 * time.Millisecond} }
func (h *host) Heard(p Peer) {
	select {
	case h.heard <- p:
	default:
	}
}

func listen(t *testing.T, boot int64) *Exchange {
	t.Helper()
	e, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), boot, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	return e
}

func (e *Exchange) addr() netip.AddrPort {
	return netip.MustParseAddrPort(e.conn.LocalAddr().String())
}

// TestExchange guards against hosts that do not hear each other, and against a
// proof of the wrong time.
func TestExchange(t *testing.T) {
	a, b := listen(t, 1), listen(t, 2)
	ha := &host{state: State{Host: named("a"), Boot: 1, Config: eras.Version{Number: 7}, Proof: 40 * time.Millisecond}, heard: make(chan Peer, 1)}
	hb := &host{state: State{Host: named("b"), Boot: 2}, heard: make(chan Peer, 1)}
	ha.targets = []netip.AddrPort{b.addr()}
	hb.targets = []netip.AddrPort{a.addr()}
	a.Start(ha)
	b.Start(hb)
	defer a.Close()
	defer b.Close()
	for end := time.Now().Add(10 * time.Second); ; {
		p := <-hb.heard
		if p.Proof > 0 {
			if age := clock.Now() - p.Proof; age < 40*time.Millisecond || age > 5*time.Second {
				t.Errorf("age of the proof %v, want 40 ms and the way of the frame", age)
			}
			return
		}
		if time.Now().After(end) {
			t.Fatal("no proof was heard")
		}
	}
}

// TestEchoOfEarlierBoot guards against a proof in the future from an echo of a
// time before this host lost power, when its clock was further. Seen on the
// bench as a configuration that no host read for 17 s (Comptoir, mix --seed
// 1060502473550).
func TestEchoOfEarlierBoot(t *testing.T) {
	now := clock.Now()
	tests := []struct {
		name  string
		frame frame
		want  bool
	}{
		{"of this boot", frame{Echo: now - time.Second, Held: time.Millisecond, Boot: 5}, true},
		{"of an earlier boot", frame{Echo: now + time.Hour, Boot: 4}, false},
		{"none", frame{}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := listen(t, 5)
			h := &host{heard: make(chan Peer, 1)}
			e.src = h
			defer e.conn.Close()
			state, err := cbor.Marshal(State{Host: named("b"), Boot: 9, Config: eras.Version{Number: 7}, Proof: time.Millisecond})
			if err != nil {
				t.Fatal(err)
			}
			tt.frame.Sent = 1
			tt.frame.State = state
			b, err := cbor.Marshal(tt.frame)
			if err != nil {
				t.Fatal(err)
			}
			if err := e.take(b, netip.MustParseAddrPort("127.0.0.1:9")); err != nil {
				t.Fatal(err)
			}
			p := <-h.heard
			if (p.Proof > 0) != tt.want || p.Proof > clock.Now() {
				t.Errorf("proof %v at %v", p.Proof, clock.Now())
			}
		})
	}
}

// TestGarbage guards against a frame that ends the receiver.
func TestGarbage(t *testing.T) {
	e := listen(t, 1)
	defer e.conn.Close()
	if err := e.take([]byte("\xff\x00nonsense"), netip.MustParseAddrPort("127.0.0.1:9")); err == nil {
		t.Error("no error for a frame of nonsense")
	}
}
