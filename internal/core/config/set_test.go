package config

import (
	"flag"
	"fmt"
	"net/netip"
	"os"
	"runtime"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/yuccalb/yuccalb/internal/core/model"
	"github.com/yuccalb/yuccalb/internal/fake/heap"
)

// TestMain fixes the seed of the property tests; rapid prints it on a failure.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("1")
	}
	os.Exit(m.Run())
}

var cmpAddr = cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })

// testConfig returns a configuration with n organisations and a proportional number of
// servers, 3800 for 30,000 organisations.
func testConfig(n int) *model.Config {
	cfg := &model.Config{
		Regions:  []model.Region{{Name: "east"}, {Name: "west"}},
		Sites:    []model.Site{{Name: "q", Region: "west", Slots: 4}},
		Services: []model.Service{{Name: "eng", Kind: model.KindEngine}},
		Routes:   []model.Route{{Name: "chat", Service: "eng", Kind: model.KindChat}},
	}
	for i := range 3800 * n / 30_000 {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 9000)
		cfg.Services[0].Servers = append(cfg.Services[0].Servers, model.Server{Addr: addr, Site: "q", Fenced: true})
	}
	for i := range n {
		cfg.Orgs = append(cfg.Orgs, testOrg(i, 2000))
	}
	sortOrgs(cfg.Orgs)
	return cfg
}

func testOrg(i int, rate int64) model.Org {
	name := fmt.Sprintf("organisation-%d", i)
	return model.Org{
		Name: name, Rate: rate, Burst: 16_000, Weight: 1, Regions: []string{"west"}, HomeRegion: "west",
		Keys: []model.Key{{Hash: model.HashKey(name), Note: "desk"}},
	}
}

// mutate returns a copy of cfg with a few random changes.
func mutate(t *rapid.T, cfg *model.Config) *model.Config {
	out := *cfg
	byName := make(map[string]model.Org)
	for _, o := range cfg.Orgs {
		byName[o.Name] = o
	}
	for range rapid.IntRange(0, 4).Draw(t, "changes") {
		o := testOrg(rapid.IntRange(0, 30).Draw(t, "org"), rapid.Int64Range(1, 3).Draw(t, "rate"))
		if rapid.Bool().Draw(t, "gone") {
			delete(byName, o.Name)
		} else {
			byName[o.Name] = o
		}
	}
	out.Orgs = nil
	for _, o := range byName {
		out.Orgs = append(out.Orgs, o)
	}
	sortOrgs(out.Orgs)
	if rapid.Bool().Draw(t, "core") {
		out.Sites = []model.Site{{Name: "q", Region: "west", Slots: rapid.IntRange(1, 9).Draw(t, "slots")}}
	}
	return &out
}

// TestTransferPaths guards against a host that gets another configuration than the one
// published, whether through segments, a whole set, a patch or two composed patches.
func TestTransferPaths(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := NewSet(4, testConfig(rapid.IntRange(0, 20).Draw(t, "n")))
		b := NewSet(5, mutate(t, a.Snapshot.Config))
		c := NewSet(7, mutate(t, b.Snapshot.Config))
		check := func(path string, got *Set, err error) {
			t.Helper()
			if err != nil {
				t.Fatalf("%s: %v", path, err)
			}
			if got.Version() != c.Version() || got.Digest() != c.Digest() {
				t.Fatalf("%s: version %d (%s), want %d (%s)", path, got.Version(), got.Digest(), c.Version(), c.Digest())
			}
			if diff := cmp.Diff(c.Snapshot.Config, got.Snapshot.Config, cmpAddr); diff != "" {
				t.Fatalf("%s (-want +got):\n%s", path, diff)
			}
		}
		ab, bc := NewPatch(a, b), NewPatch(b, c)
		ac, err := ab.Compose(bc)
		if err != nil {
			t.Fatal(err)
		}
		for path, p := range map[string]*Patch{"patch": NewPatch(a, c), "composed patch": ac} {
			p, err = DecodePatch(p.Encode())
			if err != nil {
				t.Fatal(err)
			}
			got, err := a.Apply(p)
			check(path, got, err)
			if _, err := b.Apply(p); err == nil {
				t.Fatalf("%s from version 4 applied to version 5", path)
			}
		}
		for _, o := range ac.Orgs {
			if slices.Contains(ac.Removed, o.Name) {
				t.Fatalf("composed patch both sets and removes %s", o.Name)
			}
		}
		if _, err := bc.Compose(ab); err == nil {
			t.Fatal("patches were composed in the wrong order")
		}
		got, err := DecodeSet(c.Encode(), 7, c.Digest())
		check("whole set", got, err)
		head, err := DecodeHead((&Head{Version: 7, Digest: TotalDigest(c.Segments), Segments: c.Segments}).Encode())
		if err != nil {
			t.Fatal(err)
		}
		for path, from := range map[string]*Set{"segments": a, "segments from nothing": nil} {
			read := make(map[int][]byte)
			segments := Split(c.Snapshot.Config)
			for _, i := range from.MissingSegments(head) {
				read[i] = segments[i]
			}
			got, err := from.ApplyHead(head, read)
			check(path, got, err)
		}
	})
}

// TestCorruptData guards against accepting data that does not match its digest.
func TestCorruptData(t *testing.T) {
	a, b := NewSet(1, testConfig(10)), NewSet(2, testConfig(11))
	p := NewPatch(a, b)
	p.Orgs[0].Rate++
	if _, err := a.Apply(p); err == nil || !strings.Contains(err.Error(), "gives digest") {
		t.Errorf("changed patch: error %v, want one about the digest", err)
	}
	p = NewPatch(a, b)
	p.To = 1
	if _, err := a.Apply(p); err == nil {
		t.Error("patch to a version that is not higher was applied")
	}
	if _, err := DecodeSet(a.Encode(), 1, b.Digest()); err == nil {
		t.Error("set with another digest was accepted")
	}
	head := NewHead(nil, "n", a.Segments)
	read := make(map[int][]byte)
	for _, i := range (*Set)(nil).MissingSegments(head) {
		read[i] = Split(b.Snapshot.Config)[i]
	}
	changed := *a.Snapshot.Config
	changed.Orgs = append([]model.Org{testOrg(0, 1)}, changed.Orgs[1:]...)
	n := SegmentOf(changed.Orgs[0].Name)
	read[n] = Split(&changed)[n]
	if _, err := (*Set)(nil).ApplyHead(head, read); err == nil {
		t.Error("segment with another digest was accepted")
	}
	head.Segments[1] = Digest{}
	if _, err := DecodeHead(head.Encode()); err == nil {
		t.Error("head with another digest was accepted")
	}
}

// BenchmarkSnapshot reports the memory and the transferred bytes of a configuration
// with 30,000 organisations, and the time and bytes of one change to it.
func BenchmarkSnapshot(b *testing.B) {
	const orgs = 30_000
	cfg := testConfig(orgs)
	set := NewSet(1, cfg)
	whole := set.Encode()
	segments := Split(cfg)
	size := 0
	for _, s := range segments {
		size += len(s)
	}
	change := *cfg
	change.Orgs = append([]model.Org{}, cfg.Orgs...)
	change.Orgs[orgs/2].Rate++
	next := NewSet(2, &change)
	head := NewHead(nil, "0123456789abcdef", next.Segments).Encode()
	n := set.MissingSegments(&Head{Segments: next.Segments})

	b.Run("decode", func(b *testing.B) {
		var keep *Set
		before := heap.InUse()
		for b.Loop() {
			var err error
			if keep, err = DecodeSet(whole, 1, set.Digest()); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(heap.InUse()-before)/1e6, "MB-held")
		b.ReportMetric(float64(size)/1e6, "MB-segments")
		b.ReportMetric(float64(len(whole))/1e6, "MB-whole")
		runtime.KeepAlive(keep)
	})
	b.Run("change", func(b *testing.B) {
		var patch []byte
		for b.Loop() {
			patch = NewPatch(set, next).Encode()
			p, err := DecodePatch(patch)
			if err != nil {
				b.Fatal(err)
			}
			if _, err := set.Apply(p); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(len(patch)), "B-patch")
		b.ReportMetric(float64(len(head)), "B-head")
		b.ReportMetric(float64(len(Split(&change)[n[0]])), "B-segment")
		b.ReportMetric(float64(len(n)), "segments/change")
	})
}
