// Package boot reads the settings file of a gateway host whose configuration is kept in
// the platform's store.
package boot

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"time"

	"go.yaml.in/yaml/v3"
)

// Settings are the settings of one host. The file is YAML; unknown fields are errors.
type Settings struct {
	Host   string `yaml:"host"`
	Site   string `yaml:"site"`
	Region string `yaml:"region"`
	// Sites maps each data centre to its region.
	Sites map[string]string `yaml:"sites"`
	// Front accepts requests from callers, Ready serves health checks, Lookup
	// returns the addresses that callers should connect to, and Metrics (optional)
	// serves metrics.
	Front   netip.AddrPort `yaml:"front"`
	Ready   netip.AddrPort `yaml:"ready"`
	Lookup  netip.AddrPort `yaml:"lookup"`
	Metrics netip.AddrPort `yaml:"metrics"`
	// Peer is the address for other hosts, over TCP and UDP.
	Peer netip.AddrPort `yaml:"peer"`
	// Seeds are hosts to read from when the store does not respond; only their
	// IP addresses are used.
	Seeds []netip.AddrPort `yaml:"seeds"`
	Store netip.AddrPort   `yaml:"store"`
	// First is set when the whole system starts for the first time.
	First bool `yaml:"first"`
	// Revoke is the time within which a revoked key must be refused by all hosts.
	// Grace is the time from the shutdown signal to the end of the process.
	Revoke time.Duration `yaml:"revoke"`
	Grace  time.Duration `yaml:"grace"`
	// Retries is the capacity of the retry budget of a service for all hosts
	// together, and Ratio the part of a retry that each request to it deposits.
	Retries int64   `yaml:"retries"`
	Ratio   float64 `yaml:"ratio"`
	// Cores is the number of processor cores that the process may use. Hosts with
	// more cores get more callers.
	Cores float64 `yaml:"cores"`
	// Memory is the maximum memory use of the process, in MB.
	Memory int64 `yaml:"memory"`
	// Files is the maximum number of open file descriptors of the process.
	Files int `yaml:"files"`
}

// Load reads and checks a settings file.
func Load(path string) (Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	s, err := Parse(b)
	if err != nil {
		return Settings{}, fmt.Errorf("settings %s: %w", path, err)
	}
	return s, nil
}

// Parse decodes and checks settings. The errors name the fields.
func Parse(b []byte) (Settings, error) {
	var s Settings
	d := yaml.NewDecoder(bytes.NewReader(b))
	d.KnownFields(true)
	if err := d.Decode(&s); err != nil {
		return Settings{}, fmt.Errorf("decode: %w", err)
	}
	return s, s.check()
}

// check returns the errors of all fields, joined.
func (s *Settings) check() error {
	var errs []error
	for name, v := range map[string]string{"host": s.Host, "site": s.Site, "region": s.Region} {
		if v == "" {
			errs = append(errs, fmt.Errorf("field %s is missing", name))
		}
	}
	for name, a := range map[string]netip.AddrPort{"front": s.Front, "ready": s.Ready, "lookup": s.Lookup, "peer": s.Peer, "store": s.Store} {
		if !a.IsValid() {
			errs = append(errs, fmt.Errorf("field %s is missing", name))
		}
	}
	if s.Sites[s.Site] != s.Region {
		errs = append(errs, fmt.Errorf("field sites: data centre %q is not in region %q", s.Site, s.Region))
	}
	for name, d := range map[string]time.Duration{"revoke": s.Revoke, "grace": s.Grace} {
		if d <= 0 {
			errs = append(errs, fmt.Errorf("field %s: %v is not positive", name, d))
		}
	}
	if s.Ratio < 0 || s.Ratio > 1 {
		errs = append(errs, fmt.Errorf("field ratio: %v is not between 0 and 1", s.Ratio))
	}
	if s.Cores < 0 {
		errs = append(errs, fmt.Errorf("field cores: %v is negative", s.Cores))
	}
	for name, n := range map[string]int64{"retries": s.Retries, "memory": s.Memory, "files": int64(s.Files)} {
		if n < 0 {
			errs = append(errs, fmt.Errorf("field %s: %d is negative", name, n))
		}
	}
	return errors.Join(errs...)
}
