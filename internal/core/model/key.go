package model

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// KeyPrefix is the prefix of every API key.
const KeyPrefix = "yk_"

// KeyHash is the SHA-256 digest of an API key.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of an API key.
func HashKey(text string) KeyHash {
	return sha256.Sum256([]byte(text))
}

// NewKey returns a new API key with at least 128 random bits.
func NewKey() string {
	return KeyPrefix + rand.Text()
}

// String returns the hash in hexadecimal.
func (h KeyHash) String() string {
	return hex.EncodeToString(h[:])
}

// MarshalText implements encoding.TextMarshaler.
func (h KeyHash) MarshalText() ([]byte, error) {
	return []byte(h.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler. The text must consist of
// 64 hexadecimal digits.
func (h *KeyHash) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(h)) {
		return fmt.Errorf("key hash has %d characters, want %d hexadecimal digits", len(text), hex.EncodedLen(len(h)))
	}
	if _, err := hex.Decode(h[:], text); err != nil {
		return fmt.Errorf("key hash: %w", err)
	}
	return nil
}
