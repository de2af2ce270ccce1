// Package mirror lets hosts of a region read from each other what one of them
// has read from the platform's store: the configuration and the entries.
package mirror

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/yuccalb/yuccalb/internal/core/eras"
	"github.com/yuccalb/yuccalb/internal/core/spec"
	"github.com/yuccalb/yuccalb/internal/edge/track"
	"github.com/yuccalb/yuccalb/platform"
)

const (
	// header marks requests for state; its value tells which.
	header      = "Yuccalb-State"
	kindConfig  = "config"
	kindEntries = "entries"
	// maxAnswer bounds an answer in bytes.
	maxAnswer = 16 << 20
)

// ErrNone means that a host has not read what was asked for.
var ErrNone = errors.New("host has not read it yet")

// config is the configuration as it was read.
type config struct {
	Rev   eras.Revision `cbor:"1,keyasint"`
	Value []byte        `cbor:"2,keyasint"`
}

// entries is one read of the entries. Times are told as ages, since hosts have
// different clocks.
type entries struct {
	List      eras.Revision `cbor:"1,keyasint"`
	Asked     time.Duration `cbor:"2,keyasint"`
	Answered  time.Duration `cbor:"3,keyasint"`
	Servers   []spec.Server `cbor:"4,keyasint"`
	Hosts     []spec.Host   `cbor:"5,keyasint"`
	Evacuated []string      `cbor:"6,keyasint"`
	Lapsed    []spec.Server `cbor:"7,keyasint,omitempty"`
	// Left is how long lapsed servers are kept.
	Left    time.Duration `cbor:"8,keyasint,omitempty"`
	Doubted []spec.Server `cbor:"9,keyasint,omitempty"`
}

// Reader is what a host has read.
type Reader interface{ View() *track.View }

// Wanted reports whether a request of another host asks for state.
func Wanted(r *http.Request) bool { return r.Header.Get(header) != "" }

// Handler answers requests for state.
func Handler(src Reader) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		v := src.View()
		var body any
		switch kind := r.Header.Get(header); {
		case kind == kindConfig && v.Snapshot != nil:
			body = config{Rev: v.Item.Rev, Value: v.Item.Value}
		case kind == kindEntries && v.Listed():
			body = encode(v.Listing, time.Now())
		}
		if body == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		b, err := cbor.Marshal(body)
		if err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		_, _ = w.Write(b) // the host that asked notices a short answer
	})
}

func encode(l *track.Listing, now time.Time) entries {
	return entries{
		List: l.List, Asked: now.Sub(l.Asked), Answered: now.Sub(l.Answered),
		Servers: l.Servers, Hosts: l.Hosts, Evacuated: l.Evacuated,
		Lapsed: l.Expired, Left: max(l.RetainUntil.Sub(now), 0), Doubted: l.Unconfirmed,
	}
}

// Client implements track.Mirror.
type Client struct{ http *http.Client }

// NewClient returns a client that uses transport.
func NewClient(transport http.RoundTripper) *Client {
	return &Client{http: &http.Client{Transport: transport}}
}

// Config returns the configuration in force at a host, or ErrNone.
func (c *Client) Config(ctx context.Context, host netip.AddrPort) (platform.Item, error) {
	var m config
	if err := c.get(ctx, host, kindConfig, &m); err != nil {
		return platform.Item{}, err
	}
	return platform.Item{Key: platform.ConfigKey, Value: m.Value, Rev: m.Rev}, nil
}

// Entries returns the last listing of a host, or ErrNone. Its times are later
// than the true ones by the time that the answer took.
func (c *Client) Entries(ctx context.Context, host netip.AddrPort) (*track.Listing, error) {
	var m entries
	if err := c.get(ctx, host, kindEntries, &m); err != nil {
		return nil, err
	}
	now := time.Now()
	l := &track.Listing{
		Entries:     platform.Entries{Servers: m.Servers, Hosts: m.Hosts, Evacuated: m.Evacuated},
		List:        m.List,
		Asked:       now.Add(-m.Asked),
		Answered:    now.Add(-m.Answered),
		Expired:     m.Lapsed,
		Unconfirmed: m.Doubted,
	}
	if len(m.Lapsed) > 0 {
		l.RetainUntil = now.Add(m.Left)
	}
	return l, nil
}

func (c *Client) get(ctx context.Context, host netip.AddrPort, kind string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+host.String()+"/", nil)
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	req.Header.Set(header, kind)
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("read %s of host: %w", kind, err)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return ErrNone
	default:
		return fmt.Errorf("read %s of host: status %d", kind, resp.StatusCode)
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return fmt.Errorf("read %s of host: %w", kind, err)
	}
	if err := cbor.Unmarshal(b, out); err != nil {
		return fmt.Errorf("decode %s of host: %w", kind, err)
	}
	return nil
}
