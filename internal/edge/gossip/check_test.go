package gossip

import (
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/core/pick"
)

// TestAbsurdState guards against a state that can be decoded and makes no
// sense: one such message kept a host from serving for as long as it was
// remembered.
func TestAbsurdState(t *testing.T) {
	addr := netip.MustParseAddrPort("127.0.0.1:1")
	for name, spoil := range map[string]func(*State){
		"":                func(*State) {},
		"no name":         func(s *State) { s.Host.Name = "" },
		"no address":      func(s *State) { s.Host.Peer = netip.AddrPort{} },
		"cores":           func(s *State) { s.Host.Cores = math.NaN() },
		"proof of future": func(s *State) { s.Proof = -time.Second },
		"old list":        func(s *State) { s.Listed = math.MaxInt64 },
		"negative load": func(s *State) {
			s.Loads = map[string]map[string]pick.Load{"chat": {"s": {Running: -1}}}
		},
		"huge load": func(s *State) {
			s.Loads = map[string]map[string]pick.Load{"chat": {"s": {Unread: math.MaxInt64}}}
		},
		"no parts":      func(s *State) { s.Placed = map[string][]pick.Placement{"chat": {{Server: "s"}}} },
		"negative part": func(s *State) { s.Placed = map[string][]pick.Placement{"chat": {{Parts: []pick.Part{{Tokens: -1}}}}} },
		"spent":         func(s *State) { s.Spent = map[string]float64{"o": math.Inf(1)} },
		"young region":  func(s *State) { s.Regions = []Region{{Name: "b", Age: -time.Hour}} },
		"member":        func(s *State) { s.Regions = []Region{{Name: "b", Members: []Member{{}}}} },
		"servers": func(s *State) {
			s.Regions = []Region{{Name: "b", Services: map[string]pick.Summary{"chat": {Servers: -1}}}}
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := State{Host: named("h"), Boot: 1}
			spoil(&s)
			body, err := cbor.Marshal(s)
			if err != nil {
				t.Fatal(err)
			}
			b, err := cbor.Marshal(frame{Sent: 1, State: body})
			if err != nil {
				t.Fatal(err)
			}
			e := &Exchange{src: deaf{}, log: zap.NewNop(), peers: make(map[string]Peer), echo: make(map[netip.AddrPort]echo)}
			err = e.take(b, addr)
			if taken := err == nil; taken != (name == "") {
				t.Errorf("taken: %v, %v", taken, err)
			}
			if n := len(e.peers); n > 0 && name != "" {
				t.Errorf("%d hosts are kept", n)
			}
		})
	}
}
