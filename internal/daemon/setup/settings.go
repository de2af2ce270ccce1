// Package setup reads and checks the settings file of a daemon.
package setup

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"time"

	"go.yaml.in/yaml/v3"
)

// maxFileSize is the largest size of a settings file, in bytes.
const maxFileSize = 1 << 20

// Settings holds what a daemon needs before it can reach the platform and other daemons.
// Durations are written as in "1.5s".
type Settings struct {
	// Site is the data centre of the host.
	Site string `yaml:"site"`
	// HTTP is the address on which callers are served.
	HTTP Addr `yaml:"http"`
	// Peer is the address on which other daemons are served; it identifies the host.
	Peer Addr `yaml:"peer"`
	// Admin is the address on which operators are served. It must not be reachable for
	// callers.
	Admin Addr `yaml:"admin"`
	// Platform is the base URL of the platform's services.
	Platform string `yaml:"platform"`
	// Peers are addresses of daemons to contact first in order to join the fleet; any
	// subset of the fleet will do.
	Peers []Addr `yaml:"peers"`
	// TLS is the certificate that proves to other daemons that the host belongs to the
	// fleet.
	TLS TLS `yaml:"tls"`
	// Secret is the path of a file with the key that signs tickets. It is the same on
	// all hosts.
	Secret string `yaml:"secret"`
	// Traces is the URL of an OTLP collector over HTTP; empty means that
	// spans are not exported.
	Traces string `yaml:"traces"`
	// WAN limits forwarded requests to one remote region, in bytes per second; default
	// 4 MB/s.
	WAN int64 `yaml:"wan"`
	// Hold is how long a slot stays reserved for its host after the host has become
	// unreachable; default 6h. It must be the same on all hosts.
	Hold time.Duration `yaml:"hold"`
	// Drain is the timeout of a graceful shutdown; default 60s.
	Drain time.Duration `yaml:"drain"`
	// Limits bounds connections and requests of callers.
	Limits Limits `yaml:"limits"`
}

// Addr is an IP address and port. Its decoding errors give the line and the value.
type Addr struct{ netip.AddrPort }

// UnmarshalYAML implements yaml.Unmarshaler.
func (a *Addr) UnmarshalYAML(n *yaml.Node) error {
	p, err := netip.ParseAddrPort(n.Value)
	if err != nil {
		return fmt.Errorf("line %d: value %q: want IP:port", n.Line, n.Value)
	}
	a.AddrPort = p
	return nil
}

// TLS holds the paths of the certificate, the private key and the CA certificate of a
// host; all or none are set.
type TLS struct {
	Cert string `yaml:"cert"`
	Key  string `yaml:"key"`
	CA   string `yaml:"ca"`
}

// On reports whether the connections between daemons use TLS.
func (t TLS) On() bool { return t.Cert != "" }

// Limits holds the limits on connections and requests of callers. Conns applies to all
// callers together, the others to each connection or request.
type Limits struct {
	// Body is the largest request body in bytes; default 4 MiB.
	Body int64 `yaml:"body"`
	// Header is the largest request header in bytes; default 16 KiB.
	Header int `yaml:"header"`
	// Wait is the timeout for reading a request header; default 5s.
	Wait time.Duration `yaml:"wait"`
	// Read is the timeout for reading a request body; default 30s.
	Read time.Duration `yaml:"read"`
	// Idle is how long an idle connection is kept open; default 60s.
	Idle time.Duration `yaml:"idle"`
	// Conns is the largest number of open connections; default 8192.
	Conns int `yaml:"conns"`
	// Memory is the memory of the host in MB, from which the limits of connections,
	// request headers and bodies of all callers together are derived; default 640.
	Memory int64 `yaml:"memory"`
	// Files is the number of file descriptors of the process, from which the limit of
	// connections is derived; 0 means that of the operating system.
	Files int `yaml:"files"`
}

// Load reads and checks the settings file at path. Relative paths in the file are
// resolved against the directory of the file. Errors give file, field and value.
func Load(path string) (*Settings, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("open settings: %w", err)
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, maxFileSize+1))
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	if len(data) > maxFileSize {
		return nil, fmt.Errorf("%s: settings file is larger than %d bytes", path, maxFileSize)
	}
	s, err := Parse(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	dir := filepath.Dir(path)
	for _, p := range []*string{&s.TLS.Cert, &s.TLS.Key, &s.TLS.CA, &s.Secret} {
		if *p != "" && !filepath.IsAbs(*p) {
			*p = filepath.Join(dir, *p)
		}
	}
	return s, nil
}

// Parse decodes settings, sets defaults and checks the result.
func Parse(data []byte) (*Settings, error) {
	s := &Settings{}
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	if err := dec.Decode(s); err != nil && !errors.Is(err, io.EOF) {
		return nil, fmt.Errorf("decode settings: %w", err)
	}
	s.fillDefaults()
	if err := s.check(); err != nil {
		return nil, err
	}
	return s, nil
}

// fillDefaults sets the defaults of fields that are zero.
func (s *Settings) fillDefaults() {
	setDefault(&s.WAN, 4_000_000)
	setDefault(&s.Hold, 6*time.Hour)
	setDefault(&s.Drain, 60*time.Second)
	setDefault(&s.Limits.Body, 4<<20)
	setDefault(&s.Limits.Header, 16<<10)
	setDefault(&s.Limits.Wait, 5*time.Second)
	setDefault(&s.Limits.Read, 30*time.Second)
	setDefault(&s.Limits.Idle, 60*time.Second)
	setDefault(&s.Limits.Conns, 8192)
	setDefault(&s.Limits.Memory, 640)
}

// setDefault sets *p to value if it is zero.
func setDefault[T comparable](p *T, value T) {
	var zero T
	if *p == zero {
		*p = value
	}
}

// check returns an error that joins one error per invalid field.
func (s *Settings) check() error {
	var errs []error
	invalid := func(field string, value any, reason string) {
		errs = append(errs, fmt.Errorf("field %s: value %q: %s", field, fmt.Sprint(value), reason))
	}
	if s.Site == "" {
		invalid("site", s.Site, "a data centre is required")
	}
	for _, a := range []struct {
		field string
		addr  Addr
	}{{"http", s.HTTP}, {"peer", s.Peer}, {"admin", s.Admin}} {
		if !a.addr.IsValid() || a.addr.Port() == 0 {
			invalid(a.field, a.addr, "an address of the form IP:port is required")
		}
	}
	if s.HTTP == s.Peer || s.HTTP == s.Admin || s.Peer == s.Admin {
		invalid("http", s.HTTP, "http, peer and admin must be different addresses")
	}
	if u, err := url.Parse(s.Platform); err != nil || u.Scheme == "" || u.Host == "" {
		invalid("platform", s.Platform, "a URL such as http://10.0.0.1:7000 is required")
	}
	for _, p := range s.Peers {
		if !p.IsValid() || p.Port() == 0 {
			invalid("peers", p, "an address of the form IP:port is required")
		}
	}
	n := 0
	for _, p := range []string{s.TLS.Cert, s.TLS.Key, s.TLS.CA} {
		if p != "" {
			n++
		}
	}
	if n != 0 && n != 3 {
		invalid("tls", fmt.Sprintf("%d of 3 files", n), "cert, key and ca must be set together or not at all")
	}
	if !s.TLS.On() && s.Peer.IsValid() && !s.Peer.Addr().IsLoopback() {
		invalid("tls", "", "required unless peer is a loopback address")
	}
	for _, v := range []struct {
		field string
		value int64
	}{
		{"wan", s.WAN},
		{"hold", int64(s.Hold)},
		{"drain", int64(s.Drain)},
		{"limits.body", s.Limits.Body},
		{"limits.header", int64(s.Limits.Header)},
		{"limits.wait", int64(s.Limits.Wait)},
		{"limits.read", int64(s.Limits.Read)},
		{"limits.idle", int64(s.Limits.Idle)},
		{"limits.conns", int64(s.Limits.Conns)},
		{"limits.memory", s.Limits.Memory},
		{"limits.files", int64(s.Limits.Files)},
	} {
		if v.value < 0 {
			invalid(v.field, v.value, "must not be negative")
		}
	}
	return errors.Join(errs...)
}
