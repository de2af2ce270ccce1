package config

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"io"
	"slices"

	"github.com/yuccalb/yuccalb/internal/core/model"
)

// maxSet is the largest uncompressed size of an encoded configuration, in bytes;
// 30,000 organisations with one key take 6 MB.
const maxSet = 64 << 20

// Set is one version of the configuration with the digests of its segments. It
// is immutable and safe for concurrent use.
type Set struct {
	Snapshot *model.Snapshot
	Segments []Digest
}

// NewSet returns a version of the configuration. The caller must not change cfg
// afterwards.
func NewSet(version uint64, cfg *model.Config) *Set {
	return newSet(version, cfg, digests(Split(cfg)))
}

func newSet(version uint64, cfg *model.Config, segments []Digest) *Set {
	return &Set{Snapshot: model.NewSnapshot(version, TotalDigest(segments).String(), cfg), Segments: segments}
}

// digests returns the digest of each segment.
func digests(segments [][]byte) []Digest {
	out := make([]Digest, len(segments))
	for i, s := range segments {
		out[i] = Sum(s)
	}
	return out
}

// Digests returns the digest of each segment.
func Digests(segments [][]byte) []Digest { return digests(segments) }

// Version returns the version number, or 0 for a nil set.
func (s *Set) Version() uint64 {
	if s == nil {
		return 0
	}
	return s.Snapshot.Version
}

// Digest returns the digest of the configuration, or "" for a nil set.
func (s *Set) Digest() string {
	if s == nil {
		return ""
	}
	return s.Snapshot.Digest
}

// MissingSegments returns the numbers of the segments that must be read to advance from s,
// which may be nil, to head. Empty segments are left out, because they are not stored.
func (s *Set) MissingSegments(head *Head) []int {
	var out []int
	for i, d := range head.Segments {
		if IsEmptySegment(d) || (s != nil && s.Segments[i] == d) {
			continue
		}
		out = append(out, i)
	}
	return out
}

// ApplyHead returns the version that head describes. The map read must hold the segments
// whose numbers MissingSegments returns; s may be nil.
func (s *Set) ApplyHead(head *Head, read map[int][]byte) (*Set, error) {
	for _, i := range s.MissingSegments(head) {
		data, ok := read[i]
		if !ok {
			return nil, fmt.Errorf("version %d: segment %d was not read", head.Version, i)
		}
		if got := Sum(data); got != head.Segments[i] {
			return nil, fmt.Errorf("version %d: segment %d has digest %s, want %s", head.Version, i, got, head.Segments[i])
		}
	}
	cfg := &model.Config{}
	if s != nil {
		*cfg = *s.Snapshot.Config
	}
	if data, ok := read[0]; ok {
		if err := decodeCommon(data, cfg); err != nil {
			return nil, err
		}
	}
	changed := func(i int) bool { return s == nil || s.Segments[i] != head.Segments[i] }
	orgs := make([]model.Org, 0, len(cfg.Orgs))
	for i := range cfg.Orgs {
		if !changed(SegmentOf(cfg.Orgs[i].Name)) {
			orgs = append(orgs, cfg.Orgs[i])
		}
	}
	names := make(interner)
	for i := 1; i < NumSegments; i++ {
		if !changed(i) || IsEmptySegment(head.Segments[i]) {
			continue
		}
		add, err := decodeOrgs(i, read[i], names)
		if err != nil {
			return nil, fmt.Errorf("version %d: %w", head.Version, err)
		}
		orgs = append(orgs, add...)
	}
	cfg.Orgs = sortedOrgs(orgs)
	return newSet(head.Version, cfg, slices.Clone(head.Segments)), nil
}

// Encode returns the whole configuration, compressed, for a peer that cannot be sent a
// patch. The format is a DEFLATE stream of a JSON array of the segments.
func (s *Set) Encode() []byte {
	segments := Split(s.Snapshot.Config)
	raw := make([]json.RawMessage, len(segments))
	for i, seg := range segments {
		raw[i] = seg
	}
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		panic(fmt.Sprintf("config: %v", err)) // the level is valid
	}
	// Writes to a bytes.Buffer never fail.
	_ = json.NewEncoder(w).Encode(raw)
	_ = w.Close()
	return buf.Bytes()
}

// DecodeSet decodes a set that Encode encoded. It fails if the digest is not the given
// one. Segments are decoded one by one, because holding the whole text beside the
// result would double the memory that a starting daemon needs.
func DecodeSet(data []byte, version uint64, digest string) (*Set, error) {
	plain := &io.LimitedReader{R: flate.NewReader(bytes.NewReader(data)), N: maxSet}
	dec := json.NewDecoder(plain)
	fail := func(err error) (*Set, error) {
		if plain.N <= 0 {
			err = fmt.Errorf("uncompressed configuration is larger than %d bytes", maxSet)
		}
		return nil, fmt.Errorf("decode version %d: %w", version, err)
	}
	if _, err := dec.Token(); err != nil {
		return fail(err)
	}
	j := newJoiner()
	for dec.More() {
		var raw json.RawMessage
		if err := dec.Decode(&raw); err != nil {
			return fail(err)
		}
		if err := j.add(raw); err != nil {
			return fail(err)
		}
	}
	cfg, err := j.config()
	if err != nil {
		return fail(err)
	}
	set := newSet(version, cfg, j.digests)
	if version == 0 || set.Digest() != digest {
		return fail(fmt.Errorf("configuration has digest %s, want %s", set.Digest(), digest))
	}
	return set, nil
}
