// Package mirror lets hosts read the configuration and the entries from a peer that has
// read them from the platform's store.
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
	"github.com/yuccalb/yuccalb/internal/core/resume"
	"github.com/yuccalb/yuccalb/internal/core/spec"
	"github.com/yuccalb/yuccalb/internal/edge/track"
	"github.com/yuccalb/yuccalb/platform"
)

const (
	// header marks a request for state, with kindConfig or kindEntries as its
	// value.
	header      = "Yuccalb-State"
	kindConfig  = "config"
	kindEntries = "entries"
	// maxResponseBytes bounds the body of a response.
	maxResponseBytes = 16 << 20
)

// ErrNotRead means that the host has not read the requested state from the store.
var ErrNotRead = errors.New("host has not read the requested state from the store")

// config is the configuration on the wire, with the value that was read.
type config struct {
	Rev   eras.Revision `cbor:"1,keyasint"`
	Value []byte        `cbor:"2,keyasint"`
}

// entries is a track.Listing on the wire. Times are sent as ages, since hosts have
// different clocks.
type entries struct {
	Rev       eras.Revision `cbor:"1,keyasint"`
	Asked     time.Duration `cbor:"2,keyasint"`
	Answered  time.Duration `cbor:"3,keyasint"`
	Servers   []spec.Server `cbor:"4,keyasint"`
	Hosts     []spec.Host   `cbor:"5,keyasint"`
	Evacuated []string      `cbor:"6,keyasint"`
	Expired   []spec.Server `cbor:"7,keyasint,omitempty"`
	// RetainFor is how long expired servers are still retained.
	RetainFor   time.Duration      `cbor:"8,keyasint,omitempty"`
	Unconfirmed []spec.Server      `cbor:"9,keyasint,omitempty"`
	Suspects    []platform.Suspect `cbor:"10,keyasint,omitempty"`
	Bases       []resume.Base      `cbor:"11,keyasint,omitempty"`
	Routing     *resume.Routing    `cbor:"12,keyasint,omitempty"`
	// ExpiredRev is zero if the host does not state it, so that it counts as old.
	ExpiredRev eras.Revision `cbor:"13,keyasint"`
}

// Viewer returns the current view of the responding host.
type Viewer interface{ View() *track.View }

// IsStateRequest reports whether a request from another host is for state.
func IsStateRequest(r *http.Request) bool { return r.Header.Get(header) != "" }

// Handler serves requests for state from the view of src. State that has not been
// read yet is 404.
func Handler(src Viewer) http.Handler {
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
		_, _ = w.Write(b) // the client detects a truncated response
	})
}

func encode(l *track.Listing, now time.Time) entries {
	return entries{
		Rev: l.EntriesRev, Asked: now.Sub(l.Asked), Answered: now.Sub(l.Answered),
		Servers: l.Servers, Hosts: l.Hosts, Evacuated: l.Evacuated,
		Expired: l.Expired, RetainFor: max(l.RetainUntil.Sub(now), 0), ExpiredRev: l.ExpiredRev, Unconfirmed: l.Unconfirmed, Suspects: l.Suspects, Bases: l.Bases, Routing: l.Routing,
	}
}

// Client implements track.PeerReader.
type Client struct{ http *http.Client }

// NewClient returns a client that sends its requests over transport.
func NewClient(transport http.RoundTripper) *Client {
	return &Client{http: &http.Client{Transport: transport}}
}

// Config returns the configuration in force at a host, or ErrNotRead if there is none.
func (c *Client) Config(ctx context.Context, host netip.AddrPort) (platform.Item, error) {
	var m config
	if err := c.get(ctx, host, kindConfig, &m); err != nil {
		return platform.Item{}, err
	}
	return platform.Item{Key: platform.ConfigKey, Value: m.Value, Rev: m.Rev}, nil
}

// Entries returns the last listing of a host, or ErrNotRead if there is none. Its times
// are later than the true ones by the time that the response took.
func (c *Client) Entries(ctx context.Context, host netip.AddrPort) (*track.Listing, error) {
	var m entries
	if err := c.get(ctx, host, kindEntries, &m); err != nil {
		return nil, err
	}
	now := time.Now()
	l := &track.Listing{
		Entries:     platform.Entries{Servers: m.Servers, Hosts: m.Hosts, Evacuated: m.Evacuated, Suspects: m.Suspects, Bases: m.Bases, Routing: m.Routing},
		EntriesRev:  m.Rev,
		Asked:       now.Add(-m.Asked),
		Answered:    now.Add(-m.Answered),
		Expired:     m.Expired,
		Unconfirmed: m.Unconfirmed,
	}
	if len(m.Expired) > 0 {
		l.RetainUntil = now.Add(m.RetainFor)
		l.ExpiredRev = m.ExpiredRev
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
		return fmt.Errorf("read %s from host: %w", kind, err)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return ErrNotRead
	default:
		return fmt.Errorf("read %s from host: status %d", kind, resp.StatusCode)
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("read %s from host: %w", kind, err)
	}
	if err := cbor.Unmarshal(b, out); err != nil {
		return fmt.Errorf("decode %s from host: %w", kind, err)
	}
	return nil
}
