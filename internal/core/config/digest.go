package config

import (
	"crypto/sha256"
	"encoding/base64"
	"fmt"
)

// Digest is the SHA-256 digest of a segment or of a whole configuration.
type Digest [sha256.Size]byte

// Sum returns the digest of data.
func Sum(data []byte) Digest { return sha256.Sum256(data) }

// TotalDigest returns the digest of the configuration whose segments have these digests.
func TotalDigest(segments []Digest) Digest {
	h := sha256.New()
	for _, d := range segments {
		h.Write(d[:])
	}
	return Digest(h.Sum(nil))
}

// String returns the digest in unpadded base64url, which takes 43 characters.
// Hexadecimal would make the head with its 257 digests a third larger.
func (d Digest) String() string { return base64.RawURLEncoding.EncodeToString(d[:]) }

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(text []byte) error {
	b, err := base64.RawURLEncoding.Strict().DecodeString(string(text))
	if err != nil {
		return fmt.Errorf("decode digest: %w", err)
	}
	if len(b) != len(d) {
		return fmt.Errorf("digest has %d bytes, want %d", len(b), len(d))
	}
	copy(d[:], b)
	return nil
}
