// Package model defines the configuration of the load balancer and the
// rejections that callers receive. All types are plain data. A Snapshot is
// immutable and safe for concurrent use.
package model

import (
	"net/netip"
	"time"
)

// Kind is the protocol of a service or route.
type Kind string

// Kinds of services and routes. A chat route forwards to an engine, a plain
// route to a plain service.
const (
	KindEngine Kind = "engine"
	KindPlain  Kind = "plain"
	KindChat   Kind = "chat"
)

// Class separates requests that are expected to finish quickly from long ones.
type Class string

// Classes of requests. The zero value is treated as ClassShort.
const (
	ClassShort Class = "short"
	ClassLong  Class = "long"
)

// Config is the complete configuration, merged from all files.
type Config struct {
	Regions  []Region  `yaml:"regions,omitempty" json:"regions,omitempty"`
	Sites    []Site    `yaml:"sites,omitempty" json:"sites,omitempty"`
	Services []Service `yaml:"services,omitempty" json:"services,omitempty"`
	Routes   []Route   `yaml:"routes,omitempty" json:"routes,omitempty"`
	Orgs     []Org     `yaml:"organisations,omitempty" json:"organisations,omitempty"`
}

// Region is a set of data centres that are close to each other.
type Region struct {
	Name string `yaml:"name" json:"name"`
}

// Site is a data centre.
type Site struct {
	Name   string `yaml:"name" json:"name"`
	Region string `yaml:"region" json:"region"`
	// Slots is the number of parts of every rate limit that the hosts of the
	// data centre can hold. It must be at least the number of hosts.
	Slots int `yaml:"slots" json:"slots"`
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name    string   `yaml:"name" json:"name"`
	Kind    Kind     `yaml:"kind" json:"kind"`
	Model   string   `yaml:"model,omitempty" json:"model,omitempty"`
	Servers []Server `yaml:"servers,omitempty" json:"servers,omitempty"`
}

// Server is a backend server.
type Server struct {
	Addr netip.AddrPort `yaml:"addr" json:"addr"`
	Site string         `yaml:"site" json:"site"`
	// Fenced is set when the server rejects orders with a stale fencing token.
	Fenced bool `yaml:"fenced,omitempty" json:"fenced,omitempty"`
	// Leaving is set while the server is drained and must get no new requests.
	Leaving bool `yaml:"leaving,omitempty" json:"leaving,omitempty"`
}

// Route maps requests to a service.
type Route struct {
	Name    string `yaml:"name" json:"name"`
	Service string `yaml:"service" json:"service"`
	Kind    Kind   `yaml:"kind" json:"kind"`
	// Method and Path are sent to a plain service. An empty Method means the
	// method of the caller's request.
	Method string `yaml:"method,omitempty" json:"method,omitempty"`
	Path   string `yaml:"path,omitempty" json:"path,omitempty"`
	// Open routes need no API key, and their requests belong to no organisation.
	Open bool `yaml:"open,omitempty" json:"open,omitempty"`
	// Once marks calls that must run at most once.
	Once bool `yaml:"once,omitempty" json:"once,omitempty"`
	// Regions lists the regions where the route may be served. Empty means all.
	Regions []string `yaml:"regions,omitempty" json:"regions,omitempty"`
	// Deadline is the maximum time from the arrival of a request to the last
	// byte of its response. Zero means DefaultDeadline.
	Deadline time.Duration `yaml:"deadline,omitempty" json:"deadline,omitempty"`
	// ReservedTokens is the number of tokens reserved for the response of a request
	// that sets no max_tokens.
	ReservedTokens int64 `yaml:"answer,omitempty" json:"answer,omitempty"`
	Class          Class `yaml:"class,omitempty" json:"class,omitempty"`
}

// Org is an organisation.
type Org struct {
	Name string `yaml:"name" json:"name"`
	// Rate, in tokens per second, and Burst, in tokens, limit the organisation
	// over all hosts together.
	Rate  int64 `yaml:"rate" json:"rate"`
	Burst int64 `yaml:"burst" json:"burst"`
	// Weight is the share of the capacity relative to other organisations when
	// capacity is short. 0 means 1.
	Weight int `yaml:"weight,omitempty" json:"weight,omitempty"`
	// Regions lists the regions where requests may be served. Empty means all.
	Regions []string `yaml:"regions,omitempty" json:"regions,omitempty"`
	// HomeRegion is the region whose hosts hold most of the rate limit.
	HomeRegion string `yaml:"home,omitempty" json:"home,omitempty"`
	// Routes lists the routes that the organisation may use. Empty means all.
	Routes []string `yaml:"routes,omitempty" json:"routes,omitempty"`
	// MaxConfigAge is the maximum time since a host last confirmed its configuration
	// for the host to accept the organisation's keys. 0 means no limit.
	MaxConfigAge time.Duration `yaml:"fresh,omitempty" json:"fresh,omitempty"`
	Keys         []Key         `yaml:"keys,omitempty" json:"keys,omitempty"`
}

// Key is an API key. Only its hash is stored.
type Key struct {
	Hash KeyHash `yaml:"hash" json:"hash"`
	Note string  `yaml:"note,omitempty" json:"note,omitempty"`
}
