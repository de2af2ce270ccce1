package config

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
	"testing/fstest"

	"github.com/google/go-cmp/cmp"

	"github.com/yuccalb/yuccalb/internal/fake/golden"
)

// validConfig is a valid configuration that test cases extend with errors.
const validConfig = `regions: [{name: west}]
sites: [{name: q, region: west, slots: 4}]
services: [{name: eng, kind: engine, servers: [{addr: "10.0.0.1:1", site: q}]}]
routes: [{name: chat, service: eng, kind: chat}]
organisations: [{name: o, rate: 1, burst: 2, keys: [{hash: ` + hash1 + `}]}]
`

const (
	hash1 = "1111111111111111111111111111111111111111111111111111111111111111"
	hash2 = "2222222222222222222222222222222222222222222222222222222222222222"
)

// TestReadErrors guards against errors in files that are accepted, that are reported
// without file, line and field, or that hide other errors.
func TestReadErrors(t *testing.T) {
	org := func(fields string) string {
		return validConfig + "---\n" + "organisations:\n- {name: p, " + fields + "}\n"
	}
	const rest = ", burst: 2"
	for _, tt := range []struct {
		name, text string // each YAML document becomes a file: a.yaml, b.yaml, ...
		want       []string
	}{
		{"valid", validConfig, nil},
		{"unknown field", validConfig + "extra: 1\n", []string{`a.yaml:6: extra: unknown field`}},
		{"unknown nested field", org("rate: 1, burst: 2, brust: 3"), []string{`b.yaml:2: organisations[0].brust: unknown field`}},
		{"duplicate region", validConfig + "---\n\nregions: [{name: west}]\n", []string{`b.yaml:2: regions[0].name: "west" is defined twice, first at a.yaml:1`}},
		{"field set twice", org("rate: 1, rate: 2, burst: 3"), []string{`b.yaml:2: organisations[0].rate: set twice, first in line 2`}},
		{"undefined service", validConfig + "---\nroutes: [{name: r, service: x, kind: chat}]", []string{`b.yaml:1: routes[r].service: service "x" is not defined`}},
		{"wrong service kind", validConfig + "---\nroutes: [{name: r, service: eng, kind: plain}]", []string{`b.yaml:1: routes[r].kind: a plain route needs a service of kind plain, "eng" is engine`}},
		{"undefined region in residency", org("rate: 1" + rest + ", regions: [west,\n  mars]"), []string{`b.yaml:3: organisations[p].regions[1]: region "mars" is not defined`}},
		{"undefined home region", org("rate: 1" + rest + ",\n  home: mars"), []string{`b.yaml:3: organisations[p].home: region "mars" is not defined`}},
		{"undefined route of organisation", org("rate: 1" + rest + ", routes: [x]"), []string{`b.yaml:2: organisations[p].routes[0]: route "x" is not defined`}},
		{"site in undefined region", validConfig + "---\nsites: [{name: r, region: mars, slots: 1}]", []string{`b.yaml:1: sites[r].region: region "mars" is not defined`}},
		{"site without slots", validConfig + "---\nsites: [{name: r, region: west}]", []string{`b.yaml:1: sites[r].slots: value 0: want 1 to 10000`}},
		{"server at undefined site", validConfig + "---\nservices: [{name: s, kind: plain, servers: [{addr: '10.0.0.2:1', site: r}]}]", []string{`b.yaml:1: services[s].servers[0].site: data centre "r" is not defined`}},
		{"invalid server address", validConfig + "---\nservices: [{name: s, kind: plain, servers: [{addr: host, site: q}]}]", []string{`b.yaml:1: services[0].servers[0].addr: value "host": not an ip:port`}},
		{"server at two sites", validConfig + "---\nsites: [{name: r, region: west, slots: 1}]\nservices: [{name: s, kind: plain, servers: [{addr: '10.0.0.1:1', site: r}]}]", []string{`b.yaml:2: services[s].servers[0].site: server 10.0.0.1:1 is also listed in data centre "q"`}},
		{"negative rate", org("rate: -1" + rest), []string{`b.yaml:2: organisations[p].rate: value -1: want 1 to 1099511627776 tokens per second`}},
		{"zero rate, no burst", org("rate: 0"), []string{
			`b.yaml:2: organisations[p].rate: value 0: want 1 to 1099511627776 tokens per second`,
			`b.yaml:2: organisations[p].burst: value 0: want 1 to 1099511627776 tokens`,
		}},
		{"rate not a number", org("rate: fast" + rest), []string{`b.yaml:2: organisations[0].rate: value "fast": want a whole number`}},
		{"duration without unit", org("rate: 1" + rest + ", fresh: 5"), []string{`b.yaml:2: organisations[0].fresh: value "5": want a duration such as 30s`}},
		{"null instead of a list", org("rate: 1" + rest + ", regions: "), []string{`b.yaml:2: organisations[0].regions: want a list`}},
		{"invalid key hash", org("rate: 1" + rest + ", keys: [{hash: abc}]"), []string{`b.yaml:2: organisations[0].keys[0].hash: value "abc": key hash has 3 characters, want 64 hexadecimal digits`}},
		{"same key twice", org("rate: 1" + rest + ", keys: [{note: x},\n {hash: " + hash1 + "}]"), []string{
			`b.yaml:2: organisations[p].keys[0].hash: a key hash is required`,
			`b.yaml:3: organisations[p].keys[1].hash: key ` + hash1 + ` occurs twice, first for organisation "o" at a.yaml:5`,
		}},
		{"invalid names", validConfig + "---\nregions: [{name: a/b}, {}]", []string{
			`b.yaml:1: regions[0].name: name "a/b": want 1 to 63 letters, digits, dots, underscores and hyphens, the first a letter or digit`,
			`b.yaml:1: regions[1].name: a name is required`,
		}},
		{"amend an undefined organisation", validConfig + "---\namend: {organisations: [{name: x, rate: 3}], keys: []}", []string{
			`b.yaml:1: amend.organisations[0].name: "x" is not defined in this or an earlier file`,
			`b.yaml:1: amend.keys: unknown field`,
		}},
		{"amend before the definition", "amend: {organisations: [{name: o, rate: 3}]}\n---\n" + validConfig, []string{`a.yaml:1: amend.organisations[0].name: "o" is not defined in this or an earlier file`}},
		{"amend to an invalid value", validConfig + "---\namend:\n  organisations: [{name: o, rate: -3}]", []string{`b.yaml:2: organisations[o].rate: value -3: want 1 to 1099511627776 tokens per second`}},
		{"remove undefined names", validConfig + "---\nremove: {organisations: [x], routes: [y], services: [z], keys: [" + hash2 + ", ab]}", []string{
			`b.yaml:1: remove.routes[0]: "y" is not defined in this or an earlier file`,
			`b.yaml:1: remove.services[0]: "z" is not defined in this or an earlier file`,
			`b.yaml:1: remove.keys[0]: no organisation has the key ` + hash2,
			`b.yaml:1: remove.keys[1]: value "ab": key hash has 2 characters, want 64 hexadecimal digits`,
			`b.yaml:1: remove.organisations[0]: "x" is not defined in this or an earlier file`,
		}},
		{"remove a service in use", validConfig + "---\nremove: {services: [eng]}", []string{`a.yaml:4: routes[chat].service: service "eng" is not defined`}},
		{"syntax error", validConfig + "---\nregions: [\n", []string{`b.yaml:1: did not find expected node content`}},
		{"file too large", validConfig + "---\n#" + strings.Repeat("x", MaxFile), []string{`b.yaml: file is larger than 1048576 bytes`}},
		{"flow nesting too deep", validConfig + "---\nregions: " + strings.Repeat("[", 17) + strings.Repeat("]", 17), []string{`b.yaml:1: nested more than 16 levels deep`}},
		{"block nesting too deep", validConfig + "---\nregions:\n" + strings.Repeat("- ", 20_000), []string{`b.yaml:2: exceeded max depth of 10000`}},
		{"alias bomb", validConfig + "---\n" + aliasBomb(), []string{`b.yaml:1: more than 1048576 values after aliases are expanded`}},
		{"recursive alias", validConfig + "---\nregions: &a [*a]", []string{`b.yaml:1: nested more than 16 levels deep`}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			fsys := fstest.MapFS{"README.md": {Data: []byte("not read")}}
			for i, doc := range strings.Split(tt.text, "---\n") {
				fsys[string(rune('a'+i))+".yaml"] = &fstest.MapFile{Data: []byte(doc)}
			}
			_, err := Read(fsys)
			var got []string
			if err != nil {
				got = strings.Split(err.Error(), "\n")
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("errors (-want +got):\n%s", diff)
			}
			var p *Problem
			if err != nil && (!errors.As(err, &p) || p.File == "") {
				t.Errorf("error %v is not a Problem with a file", err)
			}
		})
	}
}

// aliasBomb returns a small file that expands to 10^8 values.
func aliasBomb() string {
	var b strings.Builder
	b.WriteString("a0: &a0 [x, x, x, x, x, x, x, x, x, x]\n")
	for i := 1; i < 8; i++ {
		fmt.Fprintf(&b, "a%d: &a%d [%s*a%d]\n", i, i, strings.Repeat(fmt.Sprintf("*a%d, ", i-1), 9), i-1)
	}
	return b.String()
}

// TestReadDirectory guards against a wrong directory that is read as an empty
// configuration, and against a second document that is ignored.
func TestReadDirectory(t *testing.T) {
	_, err := Read(fstest.MapFS{"a.yml": {Data: []byte(validConfig)}, ".b.yaml": {Data: []byte(validConfig)}})
	if err == nil || err.Error() != ".: the directory has no *.yaml files" {
		t.Errorf("error %v, want one about missing files", err)
	}
	_, err = Read(fstest.MapFS{"a.yaml": {Data: []byte("regions: [{name: a}]\n---\nregions: [{name: b}]\n")}})
	if err == nil || err.Error() != "a.yaml:2: a file holds only one YAML document" {
		t.Errorf("error %v, want one about the second document", err)
	}
}

// TestDiff guards against changes that Diff does not show. It also covers merging,
// amend and remove.
func TestDiff(t *testing.T) {
	a, err := Read(os.DirFS("testdata/a"))
	if err != nil {
		t.Fatal(err)
	}
	b, err := Read(os.DirFS("testdata/b"))
	if err != nil {
		t.Fatal(err)
	}
	got := "# nothing to a\n" + Diff(nil, a) + "# a to b\n" + Diff(a, b) + "# b to a\n" + Diff(b, a) + "# a to a\n" + Diff(a, a)
	golden.Equal(t, "diff.golden", got)
}

func ExampleRead() {
	_, err := Read(fstest.MapFS{
		"10-regions.yaml": {Data: []byte("regions: [{name: west}]\n")},
		"20-shops.yaml":   {Data: []byte("organisations:\n- {name: shop1, rate: 0, burst: 100, home: east}\n")},
	})
	fmt.Println(err)
	// Output:
	// 20-shops.yaml:2: organisations[shop1].rate: value 0: want 1 to 1099511627776 tokens per second
	// 20-shops.yaml:2: organisations[shop1].home: region "east" is not defined
}

// FuzzRead guards against input that makes Read panic, and against an accepted
// configuration that changes when it is encoded as segments and decoded.
func FuzzRead(f *testing.F) {
	f.Add([]byte(validConfig), []byte("amend: {organisations: [{name: o, keys: [{hash: "+hash2+"}]}]}\nremove: {keys: ["+hash1+"]}"))
	f.Add([]byte(aliasBomb()), []byte("a: &a [*a]"))
	f.Add([]byte("regions: [{name: w}]\nregions: &x\n? [a]\n: b"), []byte("remove: {organisations: [o]}\namend: [x]"))
	f.Fuzz(func(t *testing.T, a, b []byte) {
		cfg, err := Read(fstest.MapFS{"a.yaml": {Data: a}, "b.yaml": {Data: b}})
		if err != nil {
			return
		}
		if err := Check(cfg); err != nil {
			t.Fatalf("Check of a configuration that Read accepted: %v", err)
		}
		back, err := Join(Split(cfg))
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(cfg, back, cmpAddr); diff != "" {
			t.Fatalf("configuration after Split and Join (-want +got):\n%s", diff)
		}
	})
}
