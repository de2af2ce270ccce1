package gossip

import (
	"net/netip"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"
)

// discard is a source that discards what it receives.
type discard struct{ Source }

// Receive discards a state.
func (discard) Receive(Peer) {}

// FuzzHandle guards against a datagram that ends the process: any program that
// reaches the port may send one.
func FuzzHandle(f *testing.F) {
	state, err := cbor.Marshal(State{ProcessStart: 1})
	if err != nil {
		f.Fatal(err)
	}
	b, err := cbor.Marshal(frame{Sent: 1, Echo: 2, EchoAge: 3, ProcessStart: 4, State: state})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte{})
	f.Add(b[:len(b)/2])
	f.Fuzz(func(_ *testing.T, b []byte) {
		e := &Exchange{processStart: 4, src: discard{}, log: zap.NewNop(), peers: make(map[string]Peer), echo: make(map[netip.AddrPort]echo)}
		_ = e.handle(b, netip.MustParseAddrPort("127.0.0.1:1")) // errors are allowed, panics are not
	})
}
