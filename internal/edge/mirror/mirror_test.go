package mirror

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/yuccalb/yuccalb/internal/core/eras"
	"github.com/yuccalb/yuccalb/internal/core/spec"
	"github.com/yuccalb/yuccalb/internal/edge/track"
	"github.com/yuccalb/yuccalb/internal/fake/local"
	"github.com/yuccalb/yuccalb/platform"
)

// host is a Viewer with a fixed view.
type host struct{ view track.View }

func (h *host) View() *track.View { return &h.view }

// TestReadFromPeer guards against a configuration or entries that differ from those
// that the peer has read, and against remaining times that become shorter.
func TestReadFromPeer(t *testing.T) {
	now := time.Now()
	addr := netip.MustParseAddrPort("10.0.0.1:80")
	want := &host{track.View{
		Snapshot: spec.NewSnapshot(spec.Config{}),
		Item:     platform.Item{Key: platform.ConfigKey, Value: []byte("{}"), Rev: eras.Revision{Era: 1, Count: 7}},
		Listing: &track.Listing{
			Entries: platform.Entries{
				Servers:   []spec.Server{{ID: "s1", Service: "desk", Addr: addr, Site: "a1", Slots: 3, Warm: time.Second, Born: 5, Seq: 6}},
				Hosts:     []spec.Host{{Name: "h1", Site: "a1", Front: addr, Peer: addr}},
				Evacuated: []string{"b1"},
			},
			EntriesRev: eras.Revision{Era: 1, Count: 9}, Asked: now.Add(-time.Second), Answered: now.Add(-900 * time.Millisecond),
			Expired: []spec.Server{{ID: "s2", Service: "desk", Addr: addr}}, RetainUntil: now.Add(time.Second), ExpiredRev: eras.Revision{Era: 1, Count: 8},
			Unconfirmed: []spec.Server{{ID: "s3", Service: "desk", Addr: addr}},
		},
	}}
	c := NewClient(http.DefaultTransport)
	from := local.Host(local.Serve(t, Handler(want)))
	it, err := c.Config(t.Context(), from)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want.view.Item, it); diff != "" {
		t.Errorf("configuration:\n%s", diff)
	}
	l, err := c.Entries(t.Context(), from)
	if err != nil {
		t.Fatal(err)
	}
	opts := []cmp.Option{cmpopts.EquateApproxTime(5 * time.Second), cmpopts.EquateComparable(netip.AddrPort{})}
	if diff := cmp.Diff(want.view.Listing, l, opts...); diff != "" {
		t.Errorf("listing:\n%s", diff)
	}
	if l.Answered.Before(want.view.Answered) {
		t.Errorf("Answered is %v too early, which makes cold servers look warm", want.view.Answered.Sub(l.Answered))
	}
}

// TestNothingRead guards against an empty configuration or listing from a peer that has
// read none.
func TestNothingRead(t *testing.T) {
	c := NewClient(http.DefaultTransport)
	from := local.Host(local.Serve(t, Handler(&host{track.View{Listing: &track.Listing{}}})))
	if _, err := c.Config(t.Context(), from); !errors.Is(err, ErrNotRead) {
		t.Errorf("configuration: %v, want %v", err, ErrNotRead)
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	if _, err := c.Entries(ctx, from); !errors.Is(err, ErrNotRead) {
		t.Errorf("entries: %v, want %v", err, ErrNotRead)
	}
}
