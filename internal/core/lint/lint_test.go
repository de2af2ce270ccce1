package lint

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// locate returns a locator whose fields are the attributes.
func locate(name string) Locator {
	return func(a Attr, index int) Path {
		p := Path{File: "f", Field: name + "." + string(a)}
		if index >= 0 {
			p.Field = fmt.Sprintf("%s[%d]", p.Field, index)
		}
		return p
	}
}

// testView returns a configuration without findings.
func testView() *View {
	return &View{
		Version: 2, Versioned: true, KeyRequired: true, At: locate("config"), Regions: []string{"north", "south"},
		Services: []Service{
			{Name: "s", Slots: 8, Conns: 9, At: locate("s")},
			{Name: "sited", Located: true, Regions: []string{"north"}, At: locate("sited")},
		},
		Routes: []Route{
			{Name: "r", Matched: true, Host: "h", Prefix: "/", Timeout: time.Second, Goal: time.Second, Targets: []Target{{"s", 1}}, Cost: 4, At: locate("r")},
			{Name: "q", Matched: true, Host: "h", Prefix: "/q/", Targets: []Target{{"sited", 1}}, Regions: []string{"north", "south"}, At: locate("q")},
		},
		Orgs: []Org{{Name: "o", Keys: []string{"k"}, Rate: 1, Burst: 5, Cost: 1, Unit: "tokens", Regions: []string{"north"}, At: locate("o")}},
	}
}

// rule is a change to testView and the findings that it causes.
type rule struct {
	name   string
	change func(*View)
	want   []string
}

func checkRules(t *testing.T, rules []rule) {
	t.Helper()
	for _, tt := range append(rules, rule{"unchanged", func(*View) {}, nil}) {
		v := testView()
		tt.change(v)
		var got []string
		for _, f := range Check(v) {
			got = append(got, f.String()[len("f: "):])
		}
		if diff := cmp.Diff(tt.want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", tt.name, diff)
		}
	}
}

// TestFaults guards against values that hosts reject or misread and that pass the check,
// and against secrets in messages.
func TestFaults(t *testing.T) {
	checkRules(t, []rule{
		{"route without service", func(v *View) { v.Routes[0].Targets = nil }, []string{
			`r.target: error: the route has no service`, `s.name: warning: no route uses the service`,
		}},
		{"undefined service", func(v *View) { v.Routes[0].Targets = []Target{{"s", 1}, {"x", 1}} }, []string{
			`r.target[1]: error: service "x" is not defined`,
		}},
		{"negative weight", func(v *View) { v.Routes[0].Targets = []Target{{"s", 1}, {"s", -1}} }, []string{
			`r.weight[1]: error: must not be negative`,
		}},
		{"names", func(v *View) { v.Routes[0].Name, v.Services[1].Name, v.Orgs[0].Name = "q", "s", "" }, []string{
			`o.name: error: a name is required`,
			`q.name: error: "q" is defined twice`,
			`q.target[0]: error: service "sited" is not defined`,
			`sited.name: error: "s" is defined twice`,
		}},
		{"negative numbers", func(v *View) {
			v.Routes[0].Timeout, v.Routes[0].Goal, v.Routes[0].Attempts = -1, -1, -1
			v.Services[0].Slots, v.Services[0].Conns, v.Services[0].Tokens, v.Services[0].Warmup = -1, -1, -1, -1
			v.Orgs[0].Rate, v.Orgs[0].Burst, v.Orgs[0].Cost = -1, -1, -1
			v.Limits = Limits{-1, -1, -1, -1}
		}, []string{
			`config.body bytes: error: must not be negative`, `config.header bytes: error: must not be negative`,
			`config.header timeout: error: must not be negative`, `config.idle timeout: error: must not be negative`,
			`o.burst: error: must not be negative`, `o.cost: error: must not be negative`, `o.rate: error: must not be negative`,
			`r.attempts: error: must not be negative`, `r.goal: error: must not be negative`, `r.timeout: error: must not be negative`,
			`s.conns: error: must not be negative`, `s.slots: error: must not be negative`,
			`s.tokens: error: must not be negative`, `s.warmup: error: must not be negative`,
		}},
		{"priorities", func(v *View) {
			v.Routes[0].Priority, v.Routes[1].Priority, v.Orgs[0].HasPriority, v.Orgs[0].Priority = 9, 10, true, -1
		}, []string{
			`o.priority: error: value -1: want 0 to 9`, `q.priority: error: value 10: want 0 to 9`,
		}},
		{"unknown region", func(v *View) { v.Routes[0].Regions = []string{"north", "mars"} }, []string{
			`r.regions[1]: error: region "mars" does not exist`,
		}},
		{"regions not known", func(v *View) { v.Regions, v.Routes[0].Regions = nil, []string{"north", "mars"} }, nil},
		{"keys", func(v *View) {
			v.Orgs = append(v.Orgs, Org{Name: "p", Keys: []string{"", "k"}, At: locate("p")})
		}, []string{
			`p.keys[0]: error: the key is empty`, `p.keys[1]: error: the key occurs twice, first for organisation "o"`,
		}},
	})
}

// TestMatches guards against entries that no request can match and that are not
// reported, and against reports of entries that some request matches.
func TestMatches(t *testing.T) {
	checkRules(t, []rule{
		{"hidden route", func(v *View) { v.Routes[1].Host, v.Routes[1].Prefix = "H", "/" }, []string{
			`q.prefix: warning: the route is hidden by route "r" with the same host and prefix`,
		}},
		{"same prefix of another host", func(v *View) { v.Routes[1].Host, v.Routes[1].Prefix = "g", "/" }, nil},
		{"routes found by name", func(v *View) {
			v.Routes[0], v.Routes[1].Matched = Route{Name: "r", Targets: v.Routes[0].Targets}, false
		}, nil},
		{"hosts", func(v *View) { v.Routes[0].Host, v.Routes[1].Host = "", "h:80" }, []string{
			`q.host: warning: value "h:80" matches no request: want a host name without port or scheme`,
			`r.host: warning: without a host the route matches no request`,
		}},
		{"prefixes", func(v *View) { v.Routes[0].Prefix, v.Routes[1].Prefix = "a", "/a?b" }, []string{
			`q.prefix: warning: value "/a?b" matches no request: paths have no query, fragment or space`,
			`r.prefix: warning: value "a" matches no request: paths begin with a slash`,
		}},
		{"open prefixes", func(v *View) { v.Routes[0].Prefix, v.Routes[1].Prefix = "", "/a" }, []string{
			`q.prefix: warning: value "/a" does not end with a slash: it matches longer names, too`,
			`r.prefix: warning: an empty prefix matches all paths that no other route of the host matches: want /`,
		}},
		{"weight 0", func(v *View) { v.Routes[0].Targets = []Target{{"s", 0}, {"sited", 1}} }, []string{
			`r.weight[0]: warning: weight 0: service "s" gets no request of the route`,
		}},
		{"all weights 0", func(v *View) { v.Routes[0].Targets = []Target{{"s", 0}, {"sited", 0}} }, []string{
			`r.weight[0]: warning: all weights are 0: all requests of the route go to service "s"`,
			`r.weight[1]: warning: weight 0: service "sited" gets no request of the route`,
		}},
		{"no server in home regions", func(v *View) { v.Routes[1].Regions, v.Orgs[0].Regions = []string{"south"}, nil }, []string{
			`q.regions: warning: service "sited" has no server in any of these regions`,
		}},
		{"no server", func(v *View) { v.Services[1].Regions = nil }, []string{`sited.servers: warning: no server takes new requests`}},
		{"organisation without a key", func(v *View) { v.Orgs = append(v.Orgs, Org{Name: "p", At: locate("p")}) }, []string{
			`p.keys: warning: without a key the organisation can use public routes only`,
		}},
		{"no key at all", func(v *View) { v.Orgs = nil }, []string{
			`config.organisations: warning: no organisation has a key: only public routes can be used`,
		}},
		{"only public routes", func(v *View) { v.Orgs, v.Routes[0].Public, v.Routes[1].Public = nil, true, true }, nil},
		{"no keys needed", func(v *View) { v.Orgs, v.KeyRequired = nil, false }, nil},
		{"one route out of reach", func(v *View) { v.Orgs[0].Regions = []string{"south"} }, nil},
		{"listed route out of reach", func(v *View) { v.Orgs[0].Regions, v.Orgs[0].Routes = []string{"south"}, []string{"r", "q"} }, []string{
			`o.routes[1]: warning: route "q" is served in none of the organisation's regions`,
		}},
		{"all but a public route out of reach", func(v *View) { v.Orgs[0].Regions, v.Routes[0].Public = []string{"south"}, true }, []string{
			`o.regions: warning: no route that the organisation may use is served in these regions`,
		}},
		{"regions not known", func(v *View) { v.Regions, v.Orgs[0].Regions = nil, []string{"mars"} }, nil},
		{"all routes out of reach", func(v *View) { v.Orgs[0].Regions, v.Routes[0].Regions = []string{"south"}, []string{"north"} }, []string{
			`o.regions: warning: no route that the organisation may use is served in these regions`,
		}},
	})
}

// TestLimits guards against contradictory limits that are not reported, and against
// reports of limits that just fit.
func TestLimits(t *testing.T) {
	const exceeds = "it is admitted only when nothing of the burst is used, and then exceeds it"
	checkRules(t, []rule{
		{"goal above timeout", func(v *View) { v.Routes[0].Goal++ }, []string{`r.goal: warning: the goal of 1.000000001s is longer than the timeout of 1s`}},
		{"pause above timeout", func(v *View) { v.Routes[0].Pause = v.Routes[0].Timeout + 1 }, []string{`r.pause: warning: the longest pause of 1.000000001s between events is longer than the timeout of 1s`}},
		{"goal without timeout", func(v *View) { v.Routes[0].Timeout = 0 }, nil},
		{"connections below slots", func(v *View) { v.Services[0].Conns = 7 }, []string{`s.conns: warning: 7 connections to a server can't use its 8 slots`}},
		{"connections for all slots", func(v *View) { v.Services[0].Conns = 8 }, nil},
		{"no limit of connections", func(v *View) { v.Services[0].Conns = 0 }, nil},
		{"rate 0 with a burst", func(v *View) { v.Orgs[0].Rate = 0 }, []string{`o.burst: warning: the burst of 5 tokens has no effect: a rate of 0 sets no limit`}},
		{"no limit", func(v *View) { v.Orgs[0].Rate, v.Orgs[0].Burst = 0, 0 }, nil},
		{"burst below cost", func(v *View) { v.Orgs[0].Burst = 4 }, []string{`o.burst: warning: a request on route r that does not state its size costs 5 tokens, more than the burst of 4: ` + exceeds}},
		{"burst below cost, refused", func(v *View) { v.Orgs[0].Burst, v.BurstRefuses = 4, true }, []string{`o.burst: warning: a request on route r that does not state its size costs 5 tokens, more than the burst of 4: it is refused`}},
		{"costly route not permitted", func(v *View) { v.Orgs[0].Burst, v.Orgs[0].Routes = 4, []string{"q"} }, nil},
		{"costly route public", func(v *View) { v.Orgs[0].Burst, v.Routes[0].Public = 4, true }, nil},
		{"negative burst", func(v *View) { v.Orgs[0].Burst = -1 }, []string{`o.burst: error: must not be negative`}},
		{"rate without a burst", func(v *View) { v.Orgs[0].Burst, v.Routes[0].Cost = 0, 0 }, []string{`o.burst: warning: a request that does not state its size costs 1 tokens, more than the burst of 0: ` + exceeds}},
	})
}

// TestAgainst guards against differences that are not reported, and against reports of
// lists that were only reordered.
func TestAgainst(t *testing.T) {
	def := func(key string, values ...string) Def {
		d := Def{Key: key, Path: Path{File: "f", Field: key}}
		for i, s := range values {
			if s != "" {
				name := string(rune('a' + i))
				d.Fields = append(d.Fields, Field{Name: name, Path: Path{File: "f", Field: key + "." + name}, Values: []string{s}})
			}
		}
		return d
	}
	list := func(values ...string) Def {
		return Def{Key: "l", Fields: []Field{{Name: "n", Path: Path{File: "f", Field: "l.n"}, List: true, Values: values}}}
	}
	for _, tt := range []struct {
		name      string
		old, next []Def
		change    func(*View)
		want      []string
	}{
		{name: "equal", old: []Def{def("x", "1")}, next: []Def{def("x", "1")}},
		{name: "added and removed", old: []Def{def("x", "1")}, next: []Def{def("y", "2"), def("z")}, want: []string{
			"f: x: change: removed: a 1", "f: y: change: added: a 2", "f: z: change: added: no fields",
		}},
		{name: "fields", old: []Def{def("x", "1", "2", "")}, next: []Def{def("x", "3", "", "4")}, want: []string{
			"f: x.a: change: 1 -> 3", "f: x.b: change: no longer set: 2", "f: x.c: change: set to 4",
		}},
		{name: "lists", old: []Def{list("p", "q", "q")}, next: []Def{list("q", "r", "s")}, want: []string{"f: l.n: change: adds r, s; removes p, q"}},
		{name: "reordered list", old: []Def{list("p", "q")}, next: []Def{list("q", "p")}},
		{name: "version not increased", old: []Def{def("x", "1")}, change: func(v *View) { v.Version = 1 }, want: []string{
			"f: config.version: error: version 1 does not follow version 1 in force: after a restore of the store, hosts keep the latter", "f: x: change: removed: a 1",
		}},
		{name: "same version, no change", change: func(v *View) { v.Version = 1 }},
		{name: "list of organisations left out", change: func(v *View) { v.KeyRequired = false }, want: []string{
			"f: config.organisations: warning: the list of organisations is left out: all routes become open without a key",
		}},
	} {
		old, next := testView(), testView()
		old.Version, old.Defs, next.Defs = 1, tt.old, tt.next
		if tt.change != nil {
			tt.change(next)
		}
		var got []string
		for _, f := range Against(old, next) {
			got = append(got, f.String())
		}
		if diff := cmp.Diff(tt.want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", tt.name, diff)
		}
	}
}

func ExampleCheck() {
	at := func(a Attr, _ int) Path { return Path{File: "routes.yaml", Line: 7, Field: "routes[ask]." + string(a)} }
	for _, f := range Check(&View{Routes: []Route{{Name: "ask", Goal: time.Minute, Timeout: time.Second, At: at}}}) {
		fmt.Println(f)
	}
	// Output:
	// routes.yaml:7: routes[ask].goal: warning: the goal of 1m0s is longer than the timeout of 1s
	// routes.yaml:7: routes[ask].target: error: the route has no service
}
