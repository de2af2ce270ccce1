package port

import (
	"net/netip"
	"testing"
)

// TestUnique guards against an address that is returned twice.
func TestUnique(t *testing.T) {
	seen := make(map[netip.AddrPort]bool)
	for range 200 {
		addr, err := Unique()
		if err != nil {
			t.Fatal(err)
		}
		if seen[addr] {
			t.Fatalf("%v was returned twice", addr)
		}
		seen[addr] = true
	}
}
