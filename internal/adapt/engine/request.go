package engine

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"

	"github.com/yuccalb/yuccalb/internal/core/model"
)

// userAgent replaces the default of net/http, which names a Go version.
const userAgent = "yuccalb"

// CheckID returns an error unless id is a valid request id: 1 to 128 letters,
// digits, dots, hyphens and underscores that contain no API key.
func CheckID(id string) error {
	if id == "" || len(id) > 128 {
		return fmt.Errorf("request id has %d characters, want 1 to 128", len(id))
	}
	for _, r := range id {
		switch {
		case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9',
			r == '.', r == '-', r == '_':
		default:
			return fmt.Errorf("request id holds %q", r)
		}
	}
	if strings.Contains(id, model.KeyPrefix) {
		return errors.New("request id holds a key")
	}
	return nil
}

// CheckTrace returns an error unless text is a W3C traceparent or empty.
func CheckTrace(text string) error {
	if text == "" {
		return nil
	}
	parts := strings.Split(text, "-")
	if len(parts) != 4 || len(parts[0]) != 2 || len(parts[1]) != 32 || len(parts[2]) != 16 || len(parts[3]) != 2 {
		return errors.New("traceparent is malformed")
	}
	if strings.Trim(text, "0123456789abcdef-") != "" {
		return errors.New("traceparent holds other characters than hexadecimal digits")
	}
	return nil
}

// NewRequest returns a request with only those headers that every backend server
// may receive. A nil body means none. With noResend set, net/http can't read the
// body again to send it a second time.
func NewRequest(ctx context.Context, method string, addr netip.AddrPort, path, id, trace string, body []byte, noResend bool) (*http.Request, error) {
	if err := CheckID(id); err != nil {
		return nil, err
	}
	if err := CheckTrace(trace); err != nil {
		return nil, err
	}
	var r io.Reader
	if body != nil {
		r = bytes.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr.String()+path, r)
	if err != nil {
		return nil, err
	}
	if noResend {
		req.GetBody = nil
	}
	req.Header.Set("User-Agent", userAgent)
	req.Header.Set("X-Request-Id", id)
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if trace != "" {
		req.Header.Set("Traceparent", trace)
	}
	return req, nil
}
