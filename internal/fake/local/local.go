// Package local provides loopback addresses that no other test uses.
package local

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/yuccalb/yuccalb/internal/fake/port"
)

// Addr returns an address on which nothing listens.
func Addr(t testing.TB) netip.AddrPort {
	t.Helper()
	addr, err := port.Unique()
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

// Serve serves a handler until the end of the test, when it closes the open connections,
// and returns the base URL.
func Serve(t testing.TB, h http.Handler) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s.URL
}

// Host returns the address of the base URL that Serve returned.
func Host(url string) netip.AddrPort {
	return netip.MustParseAddrPort(strings.TrimPrefix(url, "http://"))
}
