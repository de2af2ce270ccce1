package port

import (
	"net/netip"
	"testing"
)

// TestOwn guards against an address that is handed out twice.
func TestOwn(t *testing.T) {
	seen := make(map[netip.AddrPort]bool)
	for range 200 {
		addr, err := Own()
		if err != nil {
			t.Fatal(err)
		}
		if seen[addr] {
			t.Fatalf("%v was returned twice", addr)
		}
		seen[addr] = true
	}
}
