package order

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/model"
)

const (
	// TicketPrefix is the prefix of every encoded ticket. An opaque key must not
	// start with it.
	TicketPrefix = "yt_"
	// minSecretBytes is the minimum length of a signing secret: 128 bits.
	minSecretBytes = 16
	// maxTicketChars is the maximum length of an encoded ticket.
	maxTicketChars = 1024
	// macContext is prepended to the signed data, so that a signature of other
	// data is not valid for a ticket.
	macContext = "yuccalb ticket 1\n"
)

// Ticket is a signed idempotency key. Its booking is recorded in the memory of
// its owner.
type Ticket struct {
	Org string `json:"org"`
	// Owner is the address at which peers reach the host. Incarnation is the
	// host's start time.
	Owner       netip.AddrPort `json:"owner"`
	Incarnation int64          `json:"incarnation"`
	ID          string         `json:"id"`
	Issued      time.Time      `json:"issued"`
	Until       time.Time      `json:"until"`
}

// IsTicket reports whether an idempotency key is a ticket.
func IsTicket(key string) bool { return strings.HasPrefix(key, TicketPrefix) }

// Signer signs and verifies tickets. It is safe for concurrent use.
type Signer struct{ secrets [][]byte }

// NewSigner returns a signer. It signs with the first secret and also accepts
// signatures with the others, so that a secret can be rotated without downtime.
func NewSigner(secrets ...[]byte) (*Signer, error) {
	if len(secrets) == 0 {
		return nil, fmt.Errorf("no secret for tickets")
	}
	for i, s := range secrets {
		if len(s) < minSecretBytes {
			return nil, fmt.Errorf("secret %d for tickets has %d bytes, want at least %d", i, len(s), minSecretBytes)
		}
	}
	return &Signer{secrets: secrets}, nil
}

// Sign returns the signed text of a ticket.
func (s *Signer) Sign(t Ticket) (string, error) {
	data, err := json.Marshal(t)
	if err != nil {
		return "", fmt.Errorf("encode ticket: %w", err)
	}
	enc := base64.RawURLEncoding
	return TicketPrefix + enc.EncodeToString(data) + "." + enc.EncodeToString(computeMAC(s.secrets[0], data)), nil
}

// Check verifies and decodes the text of a ticket, which must have been issued
// to org. It does not check the expiry, which the owner does in Book.Begin.
func (s *Signer) Check(text, org string) (Ticket, *model.Rejection) {
	data, mac, err := split(text)
	if err != nil {
		return Ticket{}, model.Reject(model.ReasonBadRequest, "ticket: %v", err)
	}
	if !s.verifyMAC(data, mac) {
		// The ticket may have been signed with a revoked secret, and its
		// booking may have run.
		return Ticket{}, model.Reject(model.ReasonBadRequest, "ticket: signature does not match").MayHaveRun()
	}
	var t Ticket
	if err := json.Unmarshal(data, &t); err != nil {
		return Ticket{}, model.Reject(model.ReasonBadRequest, "ticket: %v", err).MayHaveRun()
	}
	if t.Org != org {
		return Ticket{}, model.Reject(model.ReasonBadRequest, "ticket was issued to another organisation")
	}
	return t, nil
}

// verifyMAC reports whether mac is the signature of data with any of the secrets.
func (s *Signer) verifyMAC(data, mac []byte) bool {
	for _, secret := range s.secrets {
		if hmac.Equal(mac, computeMAC(secret, data)) {
			return true
		}
	}
	return false
}

// split decodes the two parts of an encoded ticket.
func split(text string) (data, mac []byte, err error) {
	if len(text) > maxTicketChars {
		return nil, nil, fmt.Errorf("longer than %d characters", maxTicketChars)
	}
	left, right, ok := strings.Cut(strings.TrimPrefix(text, TicketPrefix), ".")
	if !ok || !IsTicket(text) {
		return nil, nil, fmt.Errorf("malformed")
	}
	enc := base64.RawURLEncoding.Strict()
	if data, err = enc.DecodeString(left); err != nil {
		return nil, nil, err
	}
	mac, err = enc.DecodeString(right)
	return data, mac, err
}

// computeMAC returns the signature of data, an HMAC with SHA-256.
func computeMAC(secret, data []byte) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write([]byte(macContext))
	h.Write(data)
	return h.Sum(nil)
}
