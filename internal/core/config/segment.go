package config

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccalb/yuccalb/internal/core/model"
)

// NumSegments is the number of segments of a configuration. Segment 0 holds
// regions, data centres, services and routes, the others organisations.
const NumSegments = 257

// emptySegment is the encoding of a segment without organisations. It is not stored,
// because most segments of a small deployment are empty.
var emptySegment = []byte("[]")

// emptyDigest is the digest of emptySegment.
var emptyDigest = Sum(emptySegment)

// IsEmptySegment reports whether d is the digest of a segment without organisations,
// which is not kept in the store.
func IsEmptySegment(d Digest) bool { return d == emptyDigest }

// SegmentOf returns the segment that holds an organisation, from 1 to 256.
func SegmentOf(org string) int {
	return 1 + int(xxhash.Sum64String(org)%(NumSegments-1))
}

// commonPart is the contents of segment 0.
type commonPart struct {
	Regions  []model.Region  `json:"regions,omitempty"`
	Sites    []model.Site    `json:"sites,omitempty"`
	Services []model.Service `json:"services,omitempty"`
	Routes   []model.Route   `json:"routes,omitempty"`
}

// Split encodes cfg as NumSegments segments.
func Split(cfg *model.Config) [][]byte {
	parts := make([][]model.Org, NumSegments)
	for i := range cfg.Orgs {
		n := SegmentOf(cfg.Orgs[i].Name)
		parts[n] = append(parts[n], cfg.Orgs[i])
	}
	out := make([][]byte, NumSegments)
	out[0] = encodeCommon(cfg)
	for i := 1; i < NumSegments; i++ {
		out[i] = encodeOrgs(parts[i])
	}
	return out
}

// encodeCommon encodes segment 0 of cfg.
func encodeCommon(cfg *model.Config) []byte {
	return mustJSON(commonPart{cfg.Regions, cfg.Sites, cfg.Services, cfg.Routes})
}

// encodeOrgs encodes a segment of organisations, sorted by name.
func encodeOrgs(orgs []model.Org) []byte {
	if len(orgs) == 0 {
		return emptySegment
	}
	orgs = slices.Clone(orgs)
	sortOrgs(orgs)
	return mustJSON(orgs)
}

func sortOrgs(orgs []model.Org) {
	slices.SortFunc(orgs, func(a, b model.Org) int { return cmp.Compare(a.Name, b.Name) })
}

// sortedOrgs sorts orgs in place. It returns nil for an empty slice, as decoding does.
func sortedOrgs(orgs []model.Org) []model.Org {
	if len(orgs) == 0 {
		return nil
	}
	sortOrgs(orgs)
	return orgs
}

// mustJSON encodes v. It panics only if the type can't be encoded, which is a bug in
// this package.
func mustJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("config: encode %T: %v", v, err))
	}
	return data
}

// Join decodes the segments of a configuration. It is the inverse of Split.
func Join(segments [][]byte) (*model.Config, error) {
	j := newJoiner()
	for _, s := range segments {
		if err := j.add(s); err != nil {
			return nil, err
		}
	}
	return j.config()
}

// joiner decodes segments in order.
type joiner struct {
	cfg     *model.Config
	digests []Digest
	names   interner
}

func newJoiner() *joiner {
	return &joiner{cfg: &model.Config{}, digests: make([]Digest, 0, NumSegments), names: make(interner)}
}

// add decodes the next segment.
func (j *joiner) add(data []byte) error {
	i := len(j.digests)
	j.digests = append(j.digests, Sum(data))
	if i == 0 {
		return decodeCommon(data, j.cfg)
	}
	if i >= NumSegments {
		return fmt.Errorf("configuration has more than %d segments", NumSegments)
	}
	orgs, err := decodeOrgs(i, data, j.names)
	if err != nil {
		return err
	}
	j.cfg.Orgs = append(j.cfg.Orgs, orgs...)
	return nil
}

// config returns the configuration after all segments were added.
func (j *joiner) config() (*model.Config, error) {
	if len(j.digests) != NumSegments {
		return nil, fmt.Errorf("configuration has %d segments, want %d", len(j.digests), NumSegments)
	}
	j.cfg.Orgs = sortedOrgs(slices.Clip(j.cfg.Orgs))
	return j.cfg, nil
}

// decodeCommon decodes segment 0 into cfg. It leaves the organisations as they are.
func decodeCommon(data []byte, cfg *model.Config) error {
	var b commonPart
	if err := json.Unmarshal(data, &b); err != nil {
		return fmt.Errorf("decode segment 0: %w", err)
	}
	cfg.Regions, cfg.Sites, cfg.Services, cfg.Routes = b.Regions, b.Sites, b.Services, b.Routes
	return nil
}

// decodeOrgs decodes segment i, which holds organisations.
func decodeOrgs(i int, data []byte, names interner) ([]model.Org, error) {
	if bytes.Equal(data, emptySegment) {
		return nil, nil
	}
	var orgs []model.Org
	if err := json.Unmarshal(data, &orgs); err != nil {
		return nil, fmt.Errorf("decode segment %d: %w", i, err)
	}
	for n := range orgs {
		if got := SegmentOf(orgs[n].Name); got != i {
			return nil, fmt.Errorf("organisation %q is in segment %d, want %d", orgs[n].Name, i, got)
		}
		names.internOrg(&orgs[n])
	}
	return orgs, nil
}

// interner keeps one copy of each region and route name, which many organisations
// share.
type interner map[string]string

func (t interner) intern(s string) string {
	if kept, ok := t[s]; ok {
		return kept
	}
	t[s] = s
	return s
}

// internOrg replaces the region and route names in o with shared copies and removes
// spare capacity from its slices.
func (t interner) internOrg(o *model.Org) {
	o.HomeRegion = t.intern(o.HomeRegion)
	for i, s := range o.Regions {
		o.Regions[i] = t.intern(s)
	}
	for i, s := range o.Routes {
		o.Routes[i] = t.intern(s)
	}
	o.Regions, o.Routes, o.Keys = slices.Clip(o.Regions), slices.Clip(o.Routes), slices.Clip(o.Keys)
}
