package resume

import (
	"strconv"
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
	if w := b.Writes(0, start); len(w) > 0 {
		t.Errorf("writes %+v without servers", w)
	}
	b.Update(names, servers("v2", "v1", "v1", "v2", "v2"), nil, start)
	if !b.MustRecord("desk", "v2", false, 0) {
		t.Error("a stream need not be recorded although the base is unknown")
	}
	if diff := cmp.Diff([]Base{base("v2", 0)}, b.Writes(0, start)); diff != "" {
		t.Errorf("writes (-want +got):\n%s", diff)
	}
	records := []Base{base("v2", 3)}
	b.Update(names, servers("v1", "v1", "v2"), records, start)
	if v, ok := b.Base("desk", 0); v != "v2" || !ok || len(b.Writes(0, start.Add(time.Hour))) > 0 {
		t.Errorf("base %q, %v, writes %+v", v, ok, b.Writes(0, start.Add(time.Hour)))
	}
	if b.MustRecord("desk", "v2", false, 0) || !b.MustRecord("desk", "v1", false, 0) || !b.MustRecord("desk", "v2", true, 0) {
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
	left := start.Add(2 * time.Minute)
	b.absent(left, left.Add(absentTime-1))
	if w := b.Writes(0, left.Add(absentTime-1)); len(w) > 0 {
		t.Errorf("writes %+v too early", w)
	}
	if diff := cmp.Diff([]Base{base("v2", 3)}, b.Writes(0, left.Add(absentTime))); diff != "" {
		t.Errorf("writes (-want +got):\n%s", diff)
	}
}

// marked is the record of a base that is absent.
var marked = Base{Service: "desk", Version: "v1", Absent: true, Rev: eras.Revision{Count: 3}}

// absent updates b each few seconds, from one time to another, by lists without the base.
func (b *Bases) absent(from, to time.Time) {
	for now := from; now.Before(to); now = now.Add(maxUnseen / 2) {
		b.Update(names, servers("v2", "v2"), []Base{marked}, now)
	}
	b.Update(names, servers("v2", "v2"), []Base{marked}, to)
}

// TestBaseReplacedByOldList guards against a host that stood still, or can't read the list of servers, and
// takes the base for absent although its servers are back: streams without a record began at them.
func TestBaseReplacedByOldList(t *testing.T) {
	var b Bases
	b.absent(start, start.Add(time.Minute))
	end := start.Add(absentTime)
	if w := b.Writes(time.Hour, end); len(w) > 0 {
		t.Errorf("writes %+v by an old list", w)
	}
	if w := b.Writes(0, end); len(w) > 0 {
		t.Errorf("writes %+v although the list was not read for minutes", w)
	}
	b.absent(end, end.Add(absentTime-1)) // it is absent again, or still
	if w := b.Writes(0, end.Add(absentTime-1)); len(w) > 0 {
		t.Errorf("writes %+v: the base may have been back", w)
	}
	if w := b.Writes(maxListAge+1, end.Add(absentTime)); len(w) > 0 {
		t.Errorf("writes %+v by an outdated list", w)
	}
	if w := b.Writes(0, end.Add(absentTime)); len(w) != 1 {
		t.Errorf("writes %+v", w)
	}
}

// TestBaseBack guards against streams of other versions that began without a record while no server of the
// base was listed, and are taken for streams of the base once one is back.
func TestBaseBack(t *testing.T) {
	var b Bases
	b.Update(names, servers("v2"), []Base{base("v1", 3)}, start)
	if diff := cmp.Diff([]Base{marked}, b.Writes(0, start)); diff != "" {
		t.Errorf("writes (-want +got):\n%s", diff)
	}
	b.absent(start, start.Add(absentListed))
	if _, u := b.Unrecorded("desk", 0, start.Add(absentListed-1)); u != None {
		t.Errorf("hosts may not know that the base is absent: %v", u)
	}
	if _, u := b.Unrecorded("desk", 0, start.Add(absentListed)); u != Any {
		t.Errorf("a stream can't begin although all hosts know: %v", u)
	}
	back := start.Add(absentListed)
	for at := time.Duration(0); at <= absentKept; at += maxUnseen / 2 {
		b.Update(names, servers("v1", "v2"), []Base{marked}, back.Add(at))
		if v, known := b.Began("desk", 0); known {
			t.Fatalf("a stream without a record is taken for one of %q", v)
		}
		if !b.MustRecord("desk", "v1", false, 0) {
			t.Fatal("a stream of the base is not recorded, and can't be taken up")
		}
		if w := b.Writes(0, back.Add(at)); (len(w) > 0) != (at >= absentKept) {
			t.Errorf("after %v writes %+v", at, w)
		}
	}
	b.Update(names, servers("v1", "v2"), []Base{base("v1", 4)}, back.Add(absentKept))
	if v, known := b.Began("desk", 0); v != "v1" || !known {
		t.Errorf("began at %q, %v", v, known)
	}
	if v, known := b.Began("desk", maxListAge+1); known {
		t.Errorf("began at %q by an outdated list", v)
	}
	if b.MustRecord("desk", "v1", false, maxListAge+1) {
		t.Error("streams of the base wait for a record during an outage of the store")
	}
}

// TestOldBase guards against streams that begin, or go on, by a base version that has been replaced since
// the host has read it.
func TestOldBase(t *testing.T) {
	var b Bases
	b.Update(names, servers("v1", "v1"), []Base{base("v1", 3)}, start)
	const old = maxBaseAge + 1
	if v, known := b.Base("desk", old); known {
		t.Errorf("base %q", v)
	}
	if v, known := b.Only("desk", nil, old); known {
		t.Errorf("only version %q", v)
	}
	if !b.MustRecord("desk", "v1", false, old) {
		t.Error("a stream need not be recorded")
	}
	if v, u := b.Unrecorded("desk", old, start); u != None || u.Allows("v1", v) {
		t.Errorf("begins without a record at %q, %v", v, u)
	}
	if v, u := b.Unrecorded("desk", maxBaseAge, start); u != OnlyBase || !u.Allows("v1", v) || u.Allows("v2", v) {
		t.Errorf("begins without a record at %q, %v", v, u)
	}
	if absentTime-maxBaseAge < time.Minute {
		t.Error("a stream without a record may last until the base is replaced")
	}
}

// TestBaseLost guards against another base after the store was restored from a copy without
// the record: streams at the former one have no record.
func TestBaseLost(t *testing.T) {
	var b Bases
	b.Update(names, servers("v1", "v2", "v2"), []Base{base("v1", 3)}, start)
	b.Update(names, servers("v2", "v2"), nil, start)
	if diff := cmp.Diff([]Base{base("v1", 0)}, b.Writes(0, start)); diff != "" {
		t.Errorf("writes (-want +got):\n%s", diff)
	}
	if v, ok := b.Base("desk", 0); v != "v1" || !ok {
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
			if v, ok := b.Only("desk", tt.recorded, 0); v != tt.want || ok != tt.ok {
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
		rule    Unrecorded
	}{
		"two versions":           {servers("v1", "v2", "v2"), []Base{base("v1", 3)}, "v1", OnlyBase},
		"the base unknown":       {servers("v1", "v2", "v2"), nil, "v2", OnlyBase},
		"the base has just left": {servers("v2", "v2"), []Base{base("v1", 3)}, "v1", None},
		"hosts may not know it":  {servers("v2", "v2"), []Base{marked}, "v1", None},
		"no servers":             {nil, nil, "", Any},
	} {
		t.Run(name, func(t *testing.T) {
			var b Bases
			b.Update(names, tt.servers, tt.records, start)
			if v, rule := b.Unrecorded("desk", 0, start); v != tt.want || rule != tt.rule {
				t.Errorf("%q, %v", v, rule)
			}
		})
	}
}

// TestBaseKeptWhileLeftOut guards against a service whose base changes while a version of the configuration leaves
// it out and the store is restored from a copy without its record, so that streams go on at another version; and
// against streams that are refused because its absence has to be noticed again.
func TestBaseKeptWhileLeftOut(t *testing.T) {
	var b Bases
	b.Update(names, servers("v1", "v2"), []Base{base("v1", 3)}, start)
	b.Update(nil, servers("v1", "v2", "v2"), []Base{base("v1", 3)}, start.Add(time.Second))
	b.Update(names, servers("v1", "v2", "v2"), nil, start.Add(2*time.Second)) // the copy has no record
	if v, known := b.Base("desk", 0); v != "v1" || !known {
		t.Errorf("base %q, %v, want v1", v, known)
	}
	if diff := cmp.Diff([]Base{base("v1", 0)}, b.Writes(0, start.Add(2*time.Second))); diff != "" {
		t.Errorf("writes (-want +got):\n%s", diff)
	}
	b.absent(start.Add(3*time.Second), start.Add(20*time.Second))
	b.Update(nil, servers("v2"), []Base{marked}, start.Add(20*time.Second))
	now := start.Add(21 * time.Second)
	b.Update(names, servers("v2"), []Base{marked}, now)
	if _, unrecorded := b.Unrecorded("desk", 0, now); unrecorded != Any {
		t.Errorf("streams may begin without a record at %v, want any version", unrecorded)
	}
}

// TestUnnamedServicesBounded guards against memory that grows with each service that a version leaves out.
func TestUnnamedServicesBounded(t *testing.T) {
	var b Bases
	for i := range 3 * maxUnnamed {
		b.Update([]string{strconv.Itoa(i)}, nil, nil, start.Add(time.Duration(i)*time.Second))
	}
	if n := len(b.services); n != maxUnnamed+1 {
		t.Errorf("%d services, want %d", n, maxUnnamed+1)
	}
	b.Update(names, nil, nil, start.Add(2*unnamedTime))
	if n := len(b.services); n != 1 {
		t.Errorf("%d services after their time, want 1", n)
	}
}
