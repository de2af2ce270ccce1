// Package local gives tests loopback addresses that no other test uses.
package local

import (
	"net/netip"
	"testing"

	"github.com/yuccalb/yuccalb/internal/fake/port"
)

// Addr returns an address that nobody listens on.
func Addr(t testing.TB) netip.AddrPort {
	t.Helper()
	addr, err := port.Own()
	if err != nil {
		t.Fatal(err)
	}
	return addr
}
