package member

import (
	"net/netip"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// geo derives the region of a data centre from the first letter of its name.
type geo struct{}

func (geo) RegionOf(site string) string {
	return map[byte]string{'n': "north", 's': "south", 'e': "east"}[site[0]]
}

// answerView returns the view of host 0 in data centre n1 with hosts in every
// state.
func answerView() *View {
	tab := New(Config{Self: ident(0, "n1", 1), HTTP: simHTTP(0)}, sec(-12))
	heartbeat := func(i, at int, leaving bool) {
		tab.Receive(&Heartbeat{From: ident(i, "n1", 1), HTTP: simHTTP(i), Leaving: leaving}, sec(at))
	}
	heartbeat(4, -12, false) // failed
	for i := -11; i < 0; i++ {
		tab.Tick(sec(i))
	}
	heartbeat(3, -4, false) // suspect
	heartbeat(1, 0, false)
	heartbeat(2, 0, true)
	for i, site := range []string{"n2", "s1", "s2", "e1", "x1"} {
		healthy := Host{Addr: simAddr(10 + i), HTTP: simHTTP(10 + i), State: StateLive}
		left := Host{Addr: simAddr(20 + i), HTTP: simHTTP(20 + i), State: StateLeaving}
		tab.Receive(&Heartbeat{From: ident(10+i, site, 1), Summaries: []Summary{{Site: site, At: 1, Members: []Host{healthy, left}}}}, sec(0))
	}
	return tab.View(sec(0))
}

// Guards against answers with hosts outside the allowed regions or hosts that are
// not healthy, and against a wrong order of preference.
func TestAnswers(t *testing.T) {
	v := answerView()
	for _, tc := range []struct {
		allowed string
		want    []string // possible orders
	}{
		{"north south east", []string{"n1 n1 n2 s1 s2 e1", "n1 n1 n2 s2 s1 e1", "n1 n1 n2 e1 s1 s2", "n1 n1 n2 e1 s2 s1"}},
		{"south", []string{"s1 s2", "s2 s1"}},
		{"north", []string{"n1 n1 n2"}},
		{"west", []string{""}},
		{"", []string{""}},
	} {
		for seed := range uint64(20) {
			var sites []string
			for _, a := range v.Answers(geo{}, strings.Fields(tc.allowed), seed) {
				sites = append(sites, a.Site)
				if a.Region != (geo{}).RegionOf(a.Site) || a.Addr.Port() != 8000 {
					t.Errorf("answer %+v has a wrong region or address", a)
				}
			}
			if got := strings.Join(sites, " "); !slices.Contains(tc.want, got) {
				t.Errorf("allowed %q, seed %d: %q, want one of %q", tc.allowed, seed, got, tc.want)
			}
		}
	}
}

// Guards against an order that sends all callers to the same host first.
func TestAnswersSpread(t *testing.T) {
	v := answerView()
	first, third := make(map[netip.AddrPort]int), make(map[netip.AddrPort]int)
	for seed := range uint64(1000) {
		a := v.Answers(geo{}, []string{"north", "south"}, seed)
		first[a[0].Addr]++
		third[a[3].Addr]++
	}
	for _, m := range []map[netip.AddrPort]int{first, third} {
		for a, n := range m {
			if n < 400 || n > 600 {
				t.Errorf("%s comes first for %d of 1000 callers, want about 500", a, n)
			}
		}
		if len(m) != 2 {
			t.Errorf("%d hosts share the first place, want 2", len(m))
		}
	}
}

// Guards against an order that differs between hosts with the same members, and
// against a duty that moves although the host that has it stays.
func TestRank(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "hosts")
		addrs := make([]netip.AddrPort, n)
		for i := range addrs {
			addrs[i] = simAddr(i)
		}
		duty := rapid.String().Draw(t, "duty")
		want := OrderOf(duty, addrs)
		mixed := rapid.Permutation(addrs).Draw(t, "order")
		if got := OrderOf(duty, mixed); !slices.Equal(got, want) {
			t.Fatalf("order for the duty depends on the order of addresses: %v and %v", got, want)
		}
		if got := OwnerOf(duty, mixed); got != want[0] {
			t.Fatalf("OwnerOf: %s, want %s", got, want[0])
		}
		v := &View{self: Ident{Addr: want[0]}}
		for _, a := range mixed {
			v.nodes = append(v.nodes, node{a, hashAddr(a)})
		}
		if !v.Has(duty) || v.Order(duty)[0] != want[0] {
			t.Fatalf("order of the view: %v, want %v", v.Order(duty), want)
		}
		if n > 1 {
			failed := rapid.IntRange(1, n-1).Draw(t, "failed")
			var rest []netip.AddrPort
			for _, a := range addrs {
				if a != want[failed] {
					rest = append(rest, a)
				}
			}
			if got := OwnerOf(duty, rest); got != want[0] {
				t.Fatalf("the duty moved from %s to %s when another host failed", want[0], got)
			}
		}
	})
}
