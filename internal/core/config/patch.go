package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"

	"github.com/yuccalb/yuccalb/internal/core/model"
)

// Patch is the difference between two versions, in the form that peers exchange.
type Patch struct {
	From uint64 `json:"from"`
	To   uint64 `json:"to"`
	// Base and Digest are the digests of versions From and To.
	Base   string `json:"base"`
	Digest string `json:"digest"`
	// Common is set if anything but organisations changed.
	Common *commonPart `json:"core,omitempty"`
	// Orgs holds the changed and new organisations, sorted by name.
	Orgs []model.Org `json:"orgs,omitempty"`
	// Removed holds the names of the removed organisations, sorted.
	Removed []string `json:"gone,omitempty"`
}

// NewPatch returns the patch from one set to another.
func NewPatch(from, to *Set) *Patch {
	p := &Patch{From: from.Version(), To: to.Version(), Base: from.Digest(), Digest: to.Digest()}
	if from.Segments[0] != to.Segments[0] {
		c := to.Snapshot.Config
		p.Common = &commonPart{c.Regions, c.Sites, c.Services, c.Routes}
	}
	segmentChanged := func(org string) bool {
		i := SegmentOf(org)
		return from.Segments[i] != to.Segments[i]
	}
	for i := range to.Snapshot.Config.Orgs {
		org := &to.Snapshot.Config.Orgs[i]
		if !segmentChanged(org.Name) {
			continue
		}
		if old := from.Snapshot.Org(org.Name); old == nil || !reflect.DeepEqual(old, org) {
			p.Orgs = append(p.Orgs, *org)
		}
	}
	for i := range from.Snapshot.Config.Orgs {
		name := from.Snapshot.Config.Orgs[i].Name
		if segmentChanged(name) && to.Snapshot.Org(name) == nil {
			p.Removed = append(p.Removed, name)
		}
	}
	return p
}

// Compose returns the patch that has the same effect as p followed by next.
func (p *Patch) Compose(next *Patch) (*Patch, error) {
	if next.From != p.To || next.Base != p.Digest {
		return nil, fmt.Errorf("patch from version %d does not follow version %d", next.From, p.To)
	}
	out := &Patch{From: p.From, To: next.To, Base: p.Base, Digest: next.Digest, Common: p.Common}
	if next.Common != nil {
		out.Common = next.Common
	}
	orgs := make(map[string]model.Org, len(p.Orgs)+len(next.Orgs))
	removed := make(map[string]bool, len(p.Removed)+len(next.Removed))
	for _, patch := range []*Patch{p, next} {
		for _, o := range patch.Orgs {
			orgs[o.Name] = o
			delete(removed, o.Name)
		}
		for _, name := range patch.Removed {
			removed[name] = true
			delete(orgs, name)
		}
	}
	out.Orgs = slices.Collect(maps.Values(orgs))
	sortOrgs(out.Orgs)
	out.Removed = slices.Sorted(maps.Keys(removed))
	return out, nil
}

// Encode returns the patch as JSON.
func (p *Patch) Encode() []byte { return mustJSON(p) }

// DecodePatch decodes a patch that Encode encoded.
func DecodePatch(data []byte) (*Patch, error) {
	p := &Patch{}
	if err := json.Unmarshal(data, p); err != nil {
		return nil, fmt.Errorf("decode patch: %w", err)
	}
	return p, nil
}

// Apply returns the version that results from applying p to s. It fails if p starts
// from another version, if its target version is not higher, or if the result does
// not have the digest that p specifies.
func (s *Set) Apply(p *Patch) (*Set, error) {
	if s == nil || p.From != s.Version() || p.Base != s.Digest() {
		return nil, fmt.Errorf("patch applies to version %d (%s), have version %d (%s)", p.From, p.Base, s.Version(), s.Digest())
	}
	if p.To <= p.From {
		return nil, fmt.Errorf("patch goes from version %d to version %d, want a higher version", p.From, p.To)
	}
	cfg := *s.Snapshot.Config
	segments := slices.Clone(s.Segments)
	if p.Common != nil {
		cfg.Regions, cfg.Sites, cfg.Services, cfg.Routes = p.Common.Regions, p.Common.Sites, p.Common.Services, p.Common.Routes
		segments[0] = Sum(encodeCommon(&cfg))
	}
	cfg.Orgs = p.mergeOrgs(s.Snapshot.Config.Orgs)
	changed := make(map[int][]model.Org)
	for _, o := range p.Orgs {
		changed[SegmentOf(o.Name)] = nil
	}
	for _, name := range p.Removed {
		changed[SegmentOf(name)] = nil
	}
	for i := range cfg.Orgs {
		if n := SegmentOf(cfg.Orgs[i].Name); hasKey(changed, n) {
			changed[n] = append(changed[n], cfg.Orgs[i])
		}
	}
	for n, orgs := range changed {
		segments[n] = Sum(encodeOrgs(orgs))
	}
	if got := TotalDigest(segments).String(); got != p.Digest {
		return nil, fmt.Errorf("patch to version %d gives digest %s, want %s", p.To, got, p.Digest)
	}
	return newSet(p.To, &cfg, segments), nil
}

// mergeOrgs returns orgs with the changes of p applied, sorted by name.
func (p *Patch) mergeOrgs(orgs []model.Org) []model.Org {
	changed := make(map[string]bool, len(p.Orgs)+len(p.Removed))
	for _, o := range p.Orgs {
		changed[o.Name] = true
	}
	for _, name := range p.Removed {
		changed[name] = true
	}
	out := make([]model.Org, 0, len(orgs)+len(p.Orgs))
	for i := range orgs {
		if !changed[orgs[i].Name] {
			out = append(out, orgs[i])
		}
	}
	out = append(out, p.Orgs...)
	return sortedOrgs(out)
}

func hasKey[K comparable, V any](m map[K]V, k K) bool {
	_, ok := m[k]
	return ok
}
