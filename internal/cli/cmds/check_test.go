package cmds_test

import (
	"bytes"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/yuccalb/yuccalb/internal/cli/cmds"
	"github.com/yuccalb/yuccalb/internal/fake/infra"
	"github.com/yuccalb/yuccalb/platform/plattest"
)

const validFolder = `regions: [{name: west}]
sites: [{name: q, region: west, slots: 4}]
services: [{name: eng, kind: engine, servers: [{addr: "10.0.0.1:1", site: q}]}]
routes: [{name: chat, service: eng, kind: chat}]
organisations: [{name: o, rate: 1, burst: 600, keys: [{hash: 1111111111111111111111111111111111111111111111111111111111111111}]}]
`

// fileConfig returns a platform's configuration.
func fileConfig(version int, services ...string) string {
	return string(plattest.Config{
		Version: version, Services: services,
		Routes: []plattest.Route{{Prefix: "/r/", Service: "s", Kind: "safe", TimeoutMS: 1000, Regions: []string{"west"}}},
	}.JSON())
}

// TestCheck guards against checks that exit with a wrong code, print findings to the
// wrong place, or change the output for a folder without findings.
func TestCheck(t *testing.T) {
	srv := httptest.NewServer(infra.New(infra.Options{}))
	defer srv.Close()
	root := t.TempDir()
	for name, text := range map[string]string{
		"good/a.yaml": validFolder,
		"warn/a.yaml": strings.Replace(validFolder, "burst: 600", "burst: 5", 1),
		"bad/a.yaml":  strings.Replace(validFolder, "rate: 1", "rate: -1", 1),
		"good.json":   fileConfig(3, "s"),
		"warn.json":   strings.Replace(fileConfig(4, "s"), "{", `{"extra": 1, `, 1),
		"bad.json":    fileConfig(3, "t"),
		"broken.json": "{",
		"notes.txt":   "{}",
	} {
		file := filepath.Join(root, name)
		if err := os.MkdirAll(filepath.Dir(file), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	const (
		folderLine = "configuration ROOT/good: 1 regions, 1 data centres, 1 services, 1 routes, 1 organisations\n"
		burst      = "a.yaml:5: organisations[o].burst: warning: a request on route chat that does not state its size costs 513 tokens, more than the burst of 5: it is refused\n"
	)
	for _, tt := range []struct {
		args     string
		code     int
		out, err string // parts of the output
	}{
		{"", 2, "", "neither a configuration nor --settings is given"},
		{"ROOT/good", 0, folderLine, ""},
		{"ROOT/warn", 0, burst, ""},
		{"ROOT/warn --strict", 2, "more than the burst", "ROOT/warn: 1 warnings\n"},
		{"ROOT/bad", 2, "", "yuccalb: configuration ROOT/bad:\na.yaml:5: organisations[o].rate: value -1: want 1 to 1099511627776 tokens per second\n"},
		{"ROOT/bad --json", 2, `"field": "organisations[o].rate"`, "1 errors"},
		{"ROOT/good --regions west", 2, "", "--regions is for JSON files"},
		{"ROOT/good --against ROOT/warn", 0, "organisations[o].burst: change: 5 -> 600\n", ""},
		{"ROOT/good --against ROOT/bad", 2, "", "organisations[o].rate: value -1"},
		{"ROOT/good --against ROOT/good.json", 2, "", "not of the same format"},
		{"ROOT/good --against ROOT/none", 2, "", "no such file"},
		{"ROOT/good --platform " + srv.URL, 0, "a.yaml:4: routes[chat]: change: added: service eng, kind chat\n", ""},
		{"ROOT/good --platform " + srv.URL + " --against ROOT/warn", 2, "", "exclude each other"},
		{"ROOT/good --platform http://127.0.0.1:1 --timeout 100ms", 4, "", "read the configuration in force"},
		{"ROOT/good.json", 0, "configuration ROOT/good.json: version 3, 1 services, 1 routes, 0 organisations\n", ""},
		{"ROOT/good.json --regions east,north", 2, `[0]: error: region "west" does not exist`, "1 errors"},
		{"ROOT/good.json --platform " + srv.URL, 2, "", "use --against"},
		{"ROOT/warn.json --against ROOT/good.json", 0, "change: 3 -> 4\n", ""},
		{"ROOT/warn.json --against ROOT/broken.json", 2, "", "broken.json:1: error: unexpected end of JSON input"},
		{"ROOT/warn.json --json", 0, `"message": "unknown field`, ""},
		{"ROOT/bad.json", 2, `bad.json:1: routes[/r/].service: error: service "s" is not defined`, "ROOT/bad.json: 1 errors\n"},
		{"ROOT/broken.json", 2, "broken.json:1: error: unexpected end of JSON input\n", "1 errors"},
		{"ROOT/notes.txt", 2, "", "want a configuration folder"},
		{"ROOT/none", 2, "", "no such file"},
	} {
		var out, errs bytes.Buffer
		args := strings.Fields(strings.ReplaceAll("check "+tt.args, "ROOT", root))
		code := cmds.Run(args, &out, &errs)
		gotOut, gotErr := strings.ReplaceAll(out.String(), root, "ROOT"), strings.ReplaceAll(errs.String(), root, "ROOT")
		if code != tt.code || !strings.Contains(gotOut, tt.out) || !strings.Contains(gotErr, tt.err) || tt.err == "" && gotErr != "" {
			t.Errorf("check %s: exit code %d, output %q, errors %q; want %d, %q, %q", tt.args, code, gotOut, gotErr, tt.code, tt.out, tt.err)
		}
		if strings.HasPrefix(tt.out, "configuration") && gotOut != tt.out {
			t.Errorf("check %s, without findings: %q, want %q", tt.args, gotOut, tt.out)
		}
		if strings.Contains(tt.args, "--json") && !json.Valid(out.Bytes()) {
			t.Errorf("check %s: output is not JSON: %s", tt.args, gotOut)
		}
	}
}
