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

// testHost returns a host whose addresses are not in use.
func testHost(name string) spec.Host {
	addr := netip.MustParseAddrPort("127.0.0.1:1")
	return spec.Host{Name: name, Site: "a1", Front: addr, Peer: addr}
}

// fakeSource is a Source with a fixed state and fixed targets.
type fakeSource struct {
	state    State
	targets  []netip.AddrPort
	received chan Peer
}

func (h *fakeSource) State(bool) State { return h.state }
func (h *fakeSource) Round(bool) Round { return Round{Local: h.targets, Wait: 200 * time.Millisecond} }

func (h *fakeSource) Receive(p Peer) {
	select {
	case h.received <- p:
	default:
	}
}

func listen(t *testing.T, processStart int64) *Exchange {
	t.Helper()
	e, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), processStart, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	return e
}

func (e *Exchange) addr() netip.AddrPort {
	return netip.MustParseAddrPort(e.conn.LocalAddr().String())
}

// TestExchange guards against hosts that do not receive each other's state, and
// against a wrong confirmation time of the configuration.
func TestExchange(t *testing.T) {
	a, b := listen(t, 1), listen(t, 2)
	ha := &fakeSource{state: State{Host: testHost("a"), ProcessStart: 1, Config: eras.Version{Number: 7}, ConfigAge: 40 * time.Millisecond}, received: make(chan Peer, 1)}
	hb := &fakeSource{state: State{Host: testHost("b"), ProcessStart: 2}, received: make(chan Peer, 1)}
	ha.targets = []netip.AddrPort{b.addr()}
	hb.targets = []netip.AddrPort{a.addr()}
	a.Start(ha)
	b.Start(hb)
	defer a.Close()
	defer b.Close()
	for end := time.Now().Add(10 * time.Second); ; {
		p := <-hb.received
		if p.ConfigConfirmed > 0 {
			if age := clock.Now() - p.ConfigConfirmed; age < 40*time.Millisecond || age > 5*time.Second {
				t.Errorf("configuration confirmed %v ago, want 40 ms and the transit time of the frame", age)
			}
			return
		}
		if time.Now().After(end) {
			t.Fatal("no confirmed configuration was received")
		}
	}
}

// TestEchoToEarlierProcess guards against a confirmation time in the future, from
// an echo of a time before this host lost power, when its clock was ahead. In a
// trial of the Comptoir site (mix --seed 1060502473550) no host read a new
// configuration for 17 s.
func TestEchoToEarlierProcess(t *testing.T) {
	now := clock.Now()
	tests := []struct {
		name  string
		frame frame
		want  bool
	}{
		{"to this process", frame{Echo: now - time.Second, EchoAge: time.Millisecond, ProcessStart: 5}, true},
		{"to an earlier process", frame{Echo: now + time.Hour, ProcessStart: 4}, false},
		{"no echo", frame{}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := listen(t, 5)
			h := &fakeSource{received: make(chan Peer, 1)}
			e.src = h
			defer e.conn.Close()
			state, err := cbor.Marshal(State{Host: testHost("b"), ProcessStart: 9, Config: eras.Version{Number: 7}, ConfigAge: time.Millisecond})
			if err != nil {
				t.Fatal(err)
			}
			tt.frame.Sent = 1
			tt.frame.State = state
			b, err := cbor.Marshal(tt.frame)
			if err != nil {
				t.Fatal(err)
			}
			if err := e.handle(b, netip.MustParseAddrPort("127.0.0.1:9")); err != nil {
				t.Fatal(err)
			}
			p := <-h.received
			if (p.ConfigConfirmed > 0) != tt.want || p.ConfigConfirmed > clock.Now() {
				t.Errorf("configuration confirmed at %v, now %v", p.ConfigConfirmed, clock.Now())
			}
		})
	}
}

// TestInvalidFrame guards against accepting a frame that can't be decoded.
func TestInvalidFrame(t *testing.T) {
	e := listen(t, 1)
	defer e.conn.Close()
	if err := e.handle([]byte("\xff\x00nonsense"), netip.MustParseAddrPort("127.0.0.1:9")); err == nil {
		t.Error("no error for an invalid frame")
	}
}
