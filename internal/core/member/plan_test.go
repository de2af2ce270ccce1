package member

import (
	"flag"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestMain fixes the seed of property tests unless the command line sets one.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20", "rapid.checks": "400", "rapid.nofailfile": "true"} {
		set := false
		flag.Visit(func(f *flag.Flag) { set = set || f.Name == name })
		if set {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		fmt.Printf("-%s=%s\n", name, value)
	}
	os.Exit(m.Run())
}

func sec(n int) time.Time { return simStart.Add(time.Duration(n) * time.Second) }

func ident(i int, site string, inc int64) Ident {
	return Ident{Addr: simAddr(i), Site: site, Incarnation: inc}
}

// sends returns the host numbers that the heartbeats of a plan go to, with "!"
// after those of full heartbeats.
func sends(p *Plan) []string {
	var out []string
	for _, b := range p.Heartbeats {
		s := fmt.Sprint(b.To.Addr().As4()[3] - 1)
		if b.Full {
			s += "!"
		}
		out = append(out, s)
	}
	return out
}

// Guards against a peer that never receives what only full heartbeats carry, and
// against sending nothing but full heartbeats.
func TestFullBeats(t *testing.T) {
	tab := New(Config{Self: ident(0, "a", 1), Seeds: []netip.AddrPort{simAddr(1)}}, sec(0))
	reply := func(i int, inc int64, at int, full bool) {
		tab.ReceiveReply(simAddr(i), &Reply{From: ident(i, "", inc), Sent: sec(at), Full: full}, sec(at))
	}
	for i, tc := range []struct {
		do   func(at int)
		want []string
	}{
		{func(int) {}, []string{"1!"}},
		{func(at int) { reply(1, 5, at, true) }, []string{"1!"}}, // the peer itself is a new host
		{func(at int) { reply(1, 5, at, true) }, []string{"1"}},
		{func(at int) { reply(1, 5, at, false) }, []string{"1"}},
		{func(at int) { reply(1, 6, at, false) }, []string{"1!"}}, // restarted
		{func(at int) { reply(1, 6, at, true) }, []string{"1"}},
		{func(at int) {
			reply(1, 6, at, false)
			tab.Receive(&Heartbeat{From: ident(2, "a", 3)}, sec(at))
		}, []string{"1!", "2!"}}, // a new host has to be reported to peers
		{func(at int) { reply(1, 6, at, true); reply(2, 3, at, true) }, []string{"1", "2"}},
	} {
		tc.do(i)
		if got := sends(tab.Tick(sec(i + 1))); !slices.Equal(got, tc.want) {
			t.Errorf("tick %d: heartbeats %v, want %v", i, got, tc.want)
		}
	}
}

// Guards against a host that becomes reachable again without a full heartbeat to
// the other peers that reports it.
func TestFullAfterReturn(t *testing.T) {
	tab := New(Config{Self: ident(0, "a", 1)}, sec(0))
	for i := range 20 {
		tab.Receive(&Heartbeat{From: ident(1, "a", 5)}, sec(i))
		if i < 2 || i == 19 {
			tab.Receive(&Heartbeat{From: ident(2, "a", 5)}, sec(i))
		}
		plan := tab.Tick(sec(i))
		// At tick 14 the periodic full heartbeat is due.
		if want := i == 19; i > 1 && i != 14 && plan.Heartbeats[0].Full != want {
			t.Errorf("tick %d: full heartbeat to host 1: %v, want %v", i, plan.Heartbeats[0].Full, want)
		}
		tab.ReceiveReply(simAddr(1), &Reply{From: ident(1, "", 5), Sent: plan.At, Full: plan.Heartbeats[0].Full}, sec(i))
	}
}

// Guards against a reply from the wrong host, a reply that counts from when it
// arrives instead of when its heartbeat was sent, and a reply that sets back the
// time of a later heartbeat.
func TestReplies(t *testing.T) {
	tab := New(Config{Self: ident(0, "a", 1)}, sec(0))
	if v := tab.ReceiveReply(simAddr(1), &Reply{From: ident(2, "a", 5), Sent: sec(0)}, sec(0)); v != Refused {
		t.Errorf("reply of another host: verdict %d, want Refused", v)
	}
	tab.ReceiveReply(simAddr(1), &Reply{From: ident(1, "a", 5), Sent: sec(0)}, sec(2))
	if s := tab.View(sec(3)).State(simAddr(1)); s != StateSuspect {
		t.Errorf("3 s after the answered heartbeat was sent: state %s, want suspect", s)
	}
	tab.Receive(&Heartbeat{From: ident(1, "a", 5)}, sec(3))
	tab.ReceiveReply(simAddr(1), &Reply{From: ident(1, "a", 5), Sent: sec(1)}, sec(4))
	if s := tab.View(sec(5)).State(simAddr(1)); s != StateLive {
		t.Errorf("2 s after a heartbeat: state %s, want live", s)
	}
}

// Guards against a host that is never contacted because the record of an earlier
// process that left its address suppresses heartbeats.
func TestLeftAddresses(t *testing.T) {
	for _, tc := range []struct {
		name  string
		seeds []netip.AddrPort
		named []Host
		want  int
	}{
		{"other", nil, nil, 0},
		{"seed", []netip.AddrPort{simAddr(1)}, nil, 2},
		{"named by a peer with a new incarnation", nil, []Host{{Addr: simAddr(1), Incarnation: 6}}, 3},
		{"named by a peer with the old one", nil, []Host{{Addr: simAddr(1), Incarnation: 5}}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tab := New(Config{Self: ident(0, "a", 1), Seeds: tc.seeds}, sec(0))
			tab.Receive(&Heartbeat{From: ident(1, "a", 5), Leaving: true}, sec(0))
			tab.addContacts([]Host{{Addr: simAddr(1), Incarnation: 5}}, sec(0))
			for i := range 11 {
				tab.Tick(sec(i))
			}
			tab.addContacts(tc.named, sec(11))
			n := 0
			for i := range 10 {
				n += len(tab.Tick(sec(11 + i)).Heartbeats)
			}
			if n != tc.want {
				t.Errorf("%d heartbeats in 10 ticks, want %d", n, tc.want)
			}
		})
	}
}

// Guards against full heartbeats that name only healthy hosts: a host that started
// in the meantime must discover a paused one.
func TestFullNamesSuspects(t *testing.T) {
	tab := New(Config{Self: ident(0, "a", 1)}, sec(0))
	tab.Receive(&Heartbeat{From: ident(1, "a", 5)}, sec(0))
	for i := range 4 {
		tab.Tick(sec(i))
	}
	full := tab.Tick(sec(4)).Full
	if len(full) != 1 || len(full[0].Members) != 2 || full[0].Members[1].State != StateSuspect {
		t.Errorf("full summaries %+v, want one that names the suspect", full)
	}
}

// Guards against summaries that replace newer ones, are used after they have
// expired, or come from a host of a third data centre.
func TestSummaries(t *testing.T) {
	type in struct {
		at   int
		from Ident
		sum  Summary
	}
	sum := func(site string, at int64, version uint64, members ...Host) Summary {
		return Summary{Site: site, At: at, Version: version, Members: members}
	}
	host := Host{Addr: simAddr(7), HTTP: simHTTP(7), State: StateLive, Incarnation: 1}
	b1, relay := ident(5, "b", 10), ident(1, "a", 10)
	for _, tc := range []struct {
		name    string
		in      []in
		now     int
		version uint64 // 0: no summary
		members int
	}{
		{"first", []in{{0, b1, sum("b", 1, 3, host)}}, 1, 3, 1},
		{"members unchanged", []in{{0, b1, sum("b", 1, 3, host)}, {1, b1, sum("b", 2, 4)}}, 1, 4, 1},
		{"reordered", []in{{0, b1, sum("b", 2, 4, host)}, {0, b1, sum("b", 1, 3)}}, 1, 4, 1},
		{"repeated", []in{{0, b1, sum("b", 2, 4)}, {4, b1, sum("b", 2, 4)}}, 5, 0, 0},
		{"old incarnation", []in{{0, b1, sum("b", 2, 4)}, {0, ident(5, "b", 9), sum("b", 9, 3)}}, 1, 4, 0},
		{"new incarnation", []in{{0, b1, sum("b", 9, 3)}, {0, ident(5, "b", 11), sum("b", 2, 4)}}, 1, 4, 0},
		{"other sender", []in{{0, b1, sum("b", 9, 3)}, {0, ident(6, "b", 1), sum("b", 2, 4)}}, 1, 4, 0},
		{"relayed", []in{{0, relay, sum("b", 1, 3, host)}}, 1, 3, 1},
		{"expired", []in{{0, b1, sum("b", 1, 3)}}, 5, 0, 0},
		{"sent by a third data centre", []in{{0, ident(5, "c", 10), sum("b", 1, 3)}}, 1, 0, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tab := New(Config{Self: ident(0, "a", 1)}, sec(0))
			for _, m := range tc.in {
				tab.Receive(&Heartbeat{From: m.from, Summaries: []Summary{m.sum}}, sec(m.at))
			}
			s, ok := tab.View(sec(tc.now)).Site("b")
			if ok != (tc.version != 0) || s.Version != tc.version || len(s.Members) != tc.members {
				t.Errorf("summary %+v, %v; want version %d and %d members", s, ok, tc.version, tc.members)
			}
		})
	}
}

// Guards against a summary that peers relay to each other in a loop, and against
// one that is relayed twice.
func TestRelays(t *testing.T) {
	tab := New(Config{Self: ident(0, "a", 1)}, sec(0))
	tab.Receive(&Heartbeat{From: ident(1, "a", 10), Summaries: []Summary{{Site: "c", At: 1}}}, sec(0))
	tab.Receive(&Heartbeat{From: ident(5, "b", 10), Summaries: []Summary{{Site: "b", At: 1}}}, sec(0))
	var got []string
	for i := range 6 {
		for _, s := range tab.Tick(sec(i + 1)).Brief {
			got = append(got, s.Site)
		}
	}
	if diff := cmp.Diff([]string{"b"}, got); diff != "" {
		t.Errorf("relayed summaries (-want +got):\n%s", diff)
	}
}

// Guards against relays without members to peers that may have received other
// members from another host in the meantime, and against full heartbeats that
// are ignored because of a brief one of the same tick.
func TestRelayedMembers(t *testing.T) {
	tab := New(Config{Self: ident(0, "a", 1)}, sec(0))
	members := []Host{{Addr: simAddr(5), State: StateLive, Incarnation: 1}}
	var with []int
	for i := 1; i <= 12; i++ {
		if i < 6 || i > 8 {
			tab.Receive(&Heartbeat{From: ident(5, "b", 10), Summaries: []Summary{{Site: "b", At: int64(i), Members: members}}}, sec(i))
		}
		plan := tab.Tick(sec(i))
		for _, s := range plan.Brief {
			if s.Members != nil {
				with = append(with, i)
			}
			if plan.Full[0].At <= s.At {
				t.Errorf("tick %d: the full summary has stamp %d, the brief one %d", i, plan.Full[0].At, s.At)
			}
		}
	}
	if diff := cmp.Diff([]int{1, 9}, with); diff != "" {
		t.Errorf("ticks with members in brief relays (-want +got):\n%s", diff)
	}
}

// Guards against a host that stays isolated after a long partition from the data
// centre of its only seed.
func TestForeignSeedKept(t *testing.T) {
	for _, hours := range []int{2, 30} {
		tab := New(Config{Self: ident(0, "a", 1), Seeds: []netip.AddrPort{simAddr(5)}}, sec(0))
		tab.ReceiveReply(simAddr(5), &Reply{From: ident(5, "b", 1), Sent: sec(0)}, sec(0))
		if heartbeats := tab.Tick(sec(1)).Heartbeats; len(heartbeats) != 0 {
			t.Errorf("heartbeats %v to a host of another data centre", heartbeats)
		}
		tab.Tick(sec(hours * 3600))
		links, heartbeats := 0, 0
		for i := range retryTicks {
			plan := tab.Tick(sec(hours*3600 + 1 + i))
			links, heartbeats = links+len(plan.Links), heartbeats+len(plan.Heartbeats)
		}
		if hours < 24 && links == 0 || links+heartbeats == 0 {
			t.Errorf("%d hours after the last message from the seed: %d links, %d heartbeats", hours, links, heartbeats)
		}
	}
}

// Guards against missing hints when the halves of a remote data centre have not
// discovered each other, and against hints with hosts of expired summaries.
func TestHint(t *testing.T) {
	half := func(i int, at int64) []Summary {
		return []Summary{{Site: "b", At: at, Members: []Host{{Addr: simAddr(i), State: StateLive, Incarnation: 1}}}}
	}
	for _, tc := range []struct{ relayed, want int }{{3, 1}, {-3, 0}} {
		tab := New(Config{Self: ident(0, "a", 1)}, sec(-4))
		for i := -4; i < 4; i++ {
			if i == tc.relayed {
				tab.Receive(&Heartbeat{From: ident(1, "a", 10), Leaving: true, Summaries: half(6, 1)}, sec(i))
			}
			tab.Tick(sec(i))
		}
		tab.Receive(&Heartbeat{From: ident(5, "b", 10), Summaries: half(5, 1)}, sec(4))
		links := tab.Tick(sec(4)).Links
		if len(links) != 1 || len(links[0].Hint.Members) != tc.want {
			t.Errorf("other half relayed at %d s: links %+v, want one with %d hints", tc.relayed, links, tc.want)
		}
	}
}

// Guards against a link that keeps trying a host that does not answer, and
// against a data centre without links because its only host leaves.
func TestLinks(t *testing.T) {
	tab := New(Config{Self: ident(0, "a", 1)}, sec(0))
	tab.List([]ListEntry{{Addr: simAddr(5), Site: "b"}, {Addr: simAddr(6), Site: "b"}, {Addr: simAddr(7), Site: "b", Leaving: true}}, sec(0))
	if links := tab.Tick(sec(1)).Links; len(links) != 0 {
		t.Errorf("links %v before SettleTime has passed", links)
	}
	tried := make(map[netip.AddrPort]bool)
	for i := range 4 {
		links := tab.Tick(sec(2 + i)).Links
		if len(links) != 1 {
			t.Fatalf("links %v, want one", links)
		}
		tried[links[0].To] = true
		tab.LinkFailed("b", sec(2+i))
	}
	if len(tried) != 2 || tried[simAddr(7)] {
		t.Errorf("tried %v, want the two healthy hosts", tried)
	}
	tab.Leave(sec(6))
	if links := tab.Tick(sec(6)).Links; len(links) != 1 {
		t.Errorf("links of a leaving host without peers: %v, want one", links)
	}
}
