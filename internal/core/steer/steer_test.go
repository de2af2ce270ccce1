package steer

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"
)

func host(n byte) []netip.AddrPort {
	return []netip.AddrPort{netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 80)}
}

// TestHosts guards against callers that are led to a region that may not take
// them, to a more loaded one, or nowhere.
func TestHosts(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name    string
		regions []Region
		away    [2]float64 // least and most part of the callers led to host 2
		none    bool
	}{
		{"idle", []Region{{"a", host(1), 0, true}, {"b", host(2), 0, true}}, [2]float64{0, 0}, false},
		{"peak", []Region{{"a", host(1), 600 * ms, true}, {"b", host(2), 0, true}}, [2]float64{0.7, 0.8}, false},
		{"both at their peak", []Region{{"a", host(1), 600 * ms, true}, {"b", host(2), 600 * ms, true}}, [2]float64{0, 0}, false},
		{"closed to others", []Region{{"a", host(1), 600 * ms, true}, {"b", host(2), 0, false}}, [2]float64{0, 0}, false},
		{"own hosts lost", []Region{{"a", nil, 0, true}, {"b", host(2), 900 * ms, true}}, [2]float64{1, 1}, false},
		{"unknown region", []Region{{"b", host(2), 0, true}}, [2]float64{1, 1}, false},
		{"nobody", nil, [2]float64{0, 0}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 2))
			const n = 1000
			away := 0
			for range n {
				got := Hosts("a", tt.regions, rng)
				if (len(got) == 0) != tt.none {
					t.Fatalf("got %v", got)
				}
				if len(got) > 0 && got[0] == host(2)[0] {
					away++
				}
			}
			if part := float64(away) / n; part < tt.away[0] || part > tt.away[1] {
				t.Errorf("%v of the callers are led away, want %v", part, tt.away)
			}
		})
	}
}
