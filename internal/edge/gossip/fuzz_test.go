package gossip

import (
	"net/netip"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"
)

// deaf is a source that only takes what arrives.
type deaf struct{ Source }

// Heard takes a state.
func (deaf) Heard(Peer) {}

// FuzzTake guards against a datagram that ends the process: any host, or
// anything else that knows the port, may send one.
func FuzzTake(f *testing.F) {
	state, err := cbor.Marshal(State{Boot: 1})
	if err != nil {
		f.Fatal(err)
	}
	b, err := cbor.Marshal(frame{Sent: 1, Echo: 2, Held: 3, Boot: 4, State: state})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte{})
	f.Add(b[:len(b)/2])
	f.Fuzz(func(_ *testing.T, b []byte) {
		e := &Exchange{boot: 4, src: deaf{}, log: zap.NewNop(), peers: make(map[string]Peer), echo: make(map[netip.AddrPort]echo)}
		_ = e.take(b, netip.MustParseAddrPort("127.0.0.1:1")) // an error is as good as none
	})
}
