// Package local gives tests loopback addresses that no other test uses.
package local

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
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

// Serve runs a handler until the end of the test and returns its base URL.
// Connections that are open then are closed.
func Serve(t testing.TB, h http.Handler) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s.URL
}

// Host returns the address in a URL that Serve returned.
func Host(url string) netip.AddrPort {
	return netip.MustParseAddrPort(strings.TrimPrefix(url, "http://"))
}
