package config

import (
	"encoding/json"
	"fmt"
)

// Keys in the store.
const (
	HeadKey       = "yuccalb/head"
	SegmentPrefix = "yuccalb/seg/"
)

// SegmentKey returns the key of a segment in the store.
func SegmentKey(d Digest) string { return SegmentPrefix + d.String() }

// Head lists the segments of one version of the configuration by their digests. The
// head in the store changes only by compare-and-swap, from one version to the next.
type Head struct {
	Version uint64 `json:"version"`
	// Parent is the nonce of the previous version.
	Parent string `json:"parent"`
	// Nonce is chosen by the writer, which identifies its own write by it.
	Nonce    string   `json:"nonce"`
	Digest   Digest   `json:"digest"`
	Segments []Digest `json:"segments"`
}

// NewHead returns the head of the version after parent, or of version 1 if parent is
// nil.
func NewHead(parent *Head, nonce string, segments []Digest) *Head {
	h := &Head{Version: 1, Nonce: nonce, Digest: TotalDigest(segments), Segments: segments}
	if parent != nil {
		h.Version, h.Parent = parent.Version+1, parent.Nonce
	}
	return h
}

// Encode encodes the head as it is stored under HeadKey.
func (h *Head) Encode() []byte { return mustJSON(h) }

// DecodeHead decodes the value stored under HeadKey and checks its consistency.
func DecodeHead(data []byte) (*Head, error) {
	h := &Head{}
	if err := json.Unmarshal(data, h); err != nil {
		return nil, fmt.Errorf("decode head: %w", err)
	}
	if h.Version == 0 {
		return nil, fmt.Errorf("head has no version")
	}
	if len(h.Segments) != NumSegments {
		return nil, fmt.Errorf("head of version %d has %d segments, want %d", h.Version, len(h.Segments), NumSegments)
	}
	if total := TotalDigest(h.Segments); total != h.Digest {
		return nil, fmt.Errorf("head of version %d has digest %s, but its segments give %s", h.Version, h.Digest, total)
	}
	return h, nil
}
