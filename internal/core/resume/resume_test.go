package resume

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/yuccalb/yuccalb/internal/core/eras"
	"github.com/yuccalb/yuccalb/internal/core/spec"
)

var (
	start = time.Unix(1e9, 0)
	names = []string{"desk"}
)

// servers returns the entries of servers of the given versions.
func servers(versions ...string) []spec.Server {
	var list []spec.Server
	for _, v := range versions {
		list = append(list, spec.Server{Service: "desk", Version: v})
	}
	return list
}

func base(version string, rev int64) Base {
	return Base{Service: "desk", Version: version, Rev: eras.Revision{Count: rev}}
}

// TestFirstBase guards against a base version that differs between hosts or changes while its
// servers serve: streams without a record began at it.
func TestFirstBase(t *testing.T) {
	var b Bases
	b.Update(names, nil, nil, start)
	if w := b.Writes(start); len(w) > 0 {
		t.Errorf("writes %+v without servers", w)
	}
	b.Update(names, servers("v2", "v1", "v1", "v2", "v2"), nil, start)
	if !b.MustRecord("desk", "v2", false) {
		t.Error("a stream need not be recorded although the base is unknown")
	}
	if diff := cmp.Diff([]Base{base("v2", 0)}, b.Writes(start)); diff != "" {
		t.Errorf("writes (-want +got):\n%s", diff)
	}
	records := []Base{base("v2", 3)}
	b.Update(names, servers("v1", "v1", "v2"), records, start)
	if v, ok := b.Base("desk"); v != "v2" || !ok || len(b.Writes(start.Add(time.Hour))) > 0 {
		t.Errorf("base %q, %v, writes %+v", v, ok, b.Writes(start.Add(time.Hour)))
	}
	if b.MustRecord("desk", "v2", false) || !b.MustRecord("desk", "v1", false) || !b.MustRecord("desk", "v2", true) {
		t.Error("only streams at another version, and those that were begun before, must be recorded")
	}
}

// TestBaseReplaced guards against a base that changes while streams without a record may still
// be taken up, and against one that stays for ever after its version has left.
func TestBaseReplaced(t *testing.T) {
	var b Bases
	records := []Base{base("v1", 3)}
	b.Update(names, servers("v1", "v2"), records, start)
	b.Update(names, servers("v2", "v2"), records, start.Add(time.Second))
	b.Update(names, servers("v1", "v2"), records, start.Add(time.Minute)) // one comes back
	b.Update(names, servers("v2", "v2"), records, start.Add(2*time.Minute))
	left := start.Add(2 * time.Minute)
	if w := b.Writes(left.Add(absentTime - 1)); len(w) > 0 {
		t.Errorf("writes %+v too early", w)
	}
	if diff := cmp.Diff([]Base{base("v2", 3)}, b.Writes(left.Add(absentTime))); diff != "" {
		t.Errorf("writes (-want +got):\n%s", diff)
	}
}

// TestBaseLost guards against another base after the store was restored from a copy without
// the record: streams at the former one have no record.
func TestBaseLost(t *testing.T) {
	var b Bases
	b.Update(names, servers("v1", "v2", "v2"), []Base{base("v1", 3)}, start)
	b.Update(names, servers("v2", "v2"), nil, start)
	if diff := cmp.Diff([]Base{base("v1", 0)}, b.Writes(start)); diff != "" {
		t.Errorf("writes (-want +got):\n%s", diff)
	}
	if v, ok := b.Base("desk"); v != "v1" || !ok {
		t.Errorf("base %q, %v", v, ok)
	}
}

// TestOnly guards against a stream of which nothing is known that goes on although its version
// can't be known.
func TestOnly(t *testing.T) {
	for name, tt := range map[string]struct {
		servers  []spec.Server
		records  []Base
		recorded []string
		want     string
		ok       bool
	}{
		"one version":                {servers("v1", "v1"), []Base{base("v1", 3)}, nil, "v1", true},
		"streams recorded at it":     {servers("v1", "v1"), []Base{base("v1", 3)}, []string{"v1"}, "v1", true},
		"streams of another version": {servers("v1", "v1"), []Base{base("v1", 3)}, []string{"v1", "v2"}, "", false},
		"one version, base unknown":  {servers("v1", "v1"), nil, nil, "", false},
		"two versions":               {servers("v1", "v2"), []Base{base("v1", 3)}, nil, "v1", false},
		"the base has just left":     {servers("v2", "v2"), []Base{base("v1", 3)}, nil, "v1", false},
		"no servers":                 {nil, []Base{base("v1", 3)}, nil, "v1", false},
		"servers of another service": {[]spec.Server{{Service: "other", Version: "v1"}}, nil, nil, "", false},
	} {
		t.Run(name, func(t *testing.T) {
			var b Bases
			b.Update(names, tt.servers, tt.records, start)
			if v, ok := b.Only("desk", tt.recorded); v != tt.want || ok != tt.ok {
				t.Errorf("%q, %v", v, ok)
			}
		})
	}
}

// TestUnrecorded guards against streams that begin without a record at a version for which no host
// takes them, and against none at all once the base has left.
func TestUnrecorded(t *testing.T) {
	for name, tt := range map[string]struct {
		servers []spec.Server
		records []Base
		want    string
		only    bool
	}{
		"two versions":           {servers("v1", "v2", "v2"), []Base{base("v1", 3)}, "v1", true},
		"the base unknown":       {servers("v1", "v2", "v2"), nil, "v2", true},
		"the base has just left": {servers("v2", "v2"), []Base{base("v1", 3)}, "v1", false},
		"no servers":             {nil, nil, "", false},
	} {
		t.Run(name, func(t *testing.T) {
			var b Bases
			b.Update(names, tt.servers, tt.records, start)
			if v, only := b.Unrecorded("desk"); v != tt.want || only != tt.only {
				t.Errorf("%q, %v", v, only)
			}
		})
	}
}
