package gossip

import (
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/core/pick"
	"github.com/yuccalb/yuccalb/internal/core/poison"
)

// TestInvalidState guards against accepting a state that can be decoded but holds
// invalid values: one such message prevented a host from serving until its sender
// was removed from the peers.
func TestInvalidState(t *testing.T) {
	addr := netip.MustParseAddrPort("127.0.0.1:1")
	for name, modify := range map[string]func(*State){
		"":                           func(*State) {},
		"no name":                    func(s *State) { s.Host.Name = "" },
		"no address":                 func(s *State) { s.Host.Peer = netip.AddrPort{} },
		"cores not a number":         func(s *State) { s.Host.Cores = math.NaN() },
		"negative configuration age": func(s *State) { s.ConfigAge = -time.Second },
		"huge entries age":           func(s *State) { s.EntriesAge = math.MaxInt64 },
		"negative load": func(s *State) {
			s.Loads = map[string]map[string]pick.Load{"chat": {"s": {Running: -1}}}
		},
		"huge load": func(s *State) {
			s.Loads = map[string]map[string]pick.Load{"chat": {"s": {Unread: math.MaxInt64}}}
		},
		"placement without parts": func(s *State) { s.Placements = map[string][]pick.Placement{"chat": {{Server: "s"}}} },
		"negative tokens of a part": func(s *State) {
			s.Placements = map[string][]pick.Placement{"chat": {{Parts: []pick.Part{{Tokens: -1}}}}}
		},
		"negative limit":        func(s *State) { s.Limits = map[string][]pick.ServerLimit{"chat": {{Value: -1}}} },
		"limit not a number":    func(s *State) { s.Limits = map[string][]pick.ServerLimit{"chat": {{Value: math.NaN()}}} },
		"limit from the future": func(s *State) { s.Limits = map[string][]pick.ServerLimit{"chat": {{Age: -time.Second}}} },
		"negative room":         func(s *State) { s.Rooms = map[string]pick.HostRoom{"chat": {Own: -1}} },
		"infinite tokens":       func(s *State) { s.Admitted = map[string]float64{"o": math.Inf(1)} },
		"crash in the future": func(s *State) {
			s.Poison = map[string]poison.Report{"chat": {Crashes: []poison.Crash{{Age: -time.Second}}}}
		},
		"negative position": func(s *State) {
			s.Poison = map[string]poison.Report{"chat": {Crashes: []poison.Crash{{Position: -1}}}}
		},
		"response in the future": func(s *State) {
			s.Poison = map[string]poison.Report{"chat": {Begun: []poison.Begun{{Age: -time.Second}}}}
		},
		"suspicion in the future in a region": func(s *State) {
			s.Regions = []Region{{Name: "b", Poison: map[string]poison.Report{"chat": {Suspects: []poison.Suspect{{Age: -time.Second}}}}}}
		},
		"negative region age": func(s *State) { s.Regions = []Region{{Name: "b", Age: -time.Hour}} },
		"member without name": func(s *State) { s.Regions = []Region{{Name: "b", Members: []Member{{}}}} },
		"negative servers": func(s *State) {
			s.Regions = []Region{{Name: "b", Services: map[string]pick.Summary{"chat": {Servers: -1}}}}
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := State{Host: testHost("h"), ProcessStart: 1}
			modify(&s)
			body, err := cbor.Marshal(s)
			if err != nil {
				t.Fatal(err)
			}
			b, err := cbor.Marshal(frame{Sent: 1, State: body})
			if err != nil {
				t.Fatal(err)
			}
			e := &Exchange{src: discard{}, log: zap.NewNop(), peers: make(map[string]Peer), echo: make(map[netip.AddrPort]echo)}
			err = e.handle(b, addr)
			if accepted := err == nil; accepted != (name == "") {
				t.Errorf("accepted: %v, %v", accepted, err)
			}
			if n := len(e.peers); n > 0 && name != "" {
				t.Errorf("%d peers are stored", n)
			}
		})
	}
}
