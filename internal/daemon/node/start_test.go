package node

import (
	"fmt"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/daemon/setup"
	"github.com/yuccalb/yuccalb/internal/fake/infra"
	"github.com/yuccalb/yuccalb/internal/fake/local"
)

// TestAddressInUse guards against a process that takes over the slot or the membership
// of a suspended process, which still holds the peer address.
func TestAddressInUse(t *testing.T) {
	platform := infra.New(infra.Options{})
	srv := httptest.NewServer(platform)
	defer srv.Close()
	peer := local.Addr(t)
	ln, err := net.Listen("tcp", peer.String())
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	s, err := setup.Parse(fmt.Appendf(nil, "site: a\nhttp: %s\npeer: %s\nadmin: %s\nplatform: %s\n", local.Addr(t), peer, local.Addr(t), srv.URL))
	if err != nil {
		t.Fatal(err)
	}
	if n, err := Start(t.Context(), Options{Settings: s, Log: zap.NewNop()}); err == nil {
		_ = n.Close(t.Context())
		t.Fatal("started on an address in use")
	}
	time.Sleep(300 * time.Millisecond) // goroutines started by mistake would have called the platform by now
	if calls := platform.Counts(); len(calls) != 0 {
		t.Errorf("the platform was called before the address was bound: %v", calls)
	}
}
