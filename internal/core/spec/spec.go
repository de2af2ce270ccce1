// Package spec holds what the gateway needs to know to serve a request on a
// platform that keeps the configuration: routes, services, organisations and
// backend servers. All types are plain data; a Snapshot is immutable and safe
// for concurrent use.
package spec

import (
	"net/netip"
	"time"
)

// Config is one version of the operator's configuration.
type Config struct {
	// Version is the operator's number; it increases in uneven steps.
	Version  int64
	Routes   []Route
	Services []Service
	Orgs     []Org
	Limits   Limits
}

// Route leads requests of one host name and path prefix to services.
type Route struct {
	Name string
	// Host is the host name in lower case; Prefix begins and ends with a
	// slash.
	Host, Prefix string
	// Targets holds at least one service.
	Targets []Target
	// Idempotent is set when running a request twice does no harm: a safe
	// call, or a stream that can be resumed.
	Idempotent bool
	// Stream is set when the response is a series of events.
	Stream bool
	// Resumable is set when another server can go on after a given event.
	Resumable bool
	// Open routes need no key.
	Open bool
	// Sticky routes carry prompts whose parts are worth routing by.
	Sticky bool
	// Timeout is the longest time that a caller waits; 0 sets no limit.
	Timeout time.Duration
	// Goal is the time to the first byte at which a response is on time.
	Goal time.Duration
	// Priority is the rank of the route, 0 first.
	Priority int
	// Attempts bounds the servers that one request is sent to, at least 1.
	Attempts int
	// Regions limits where requests are served; empty means anywhere.
	Regions []string
}

// Target is one service of a route and its share of the requests.
type Target struct {
	Service string
	Weight  int
}

// Service is a set of backend servers that give the same answers.
type Service struct {
	Name string
	// Engine is set for model engines; Slots is the size of their batch and
	// Cache their memory in tokens.
	Engine bool
	Slots  int
	Cache  int
	// Conns bounds the connections to one server from all hosts together; 0
	// sets no limit.
	Conns int
	// WarmRate bounds the requests per second to a server that has just
	// started, over all hosts; 0 sets no limit.
	WarmRate float64
}

// Org is an organisation.
type Org struct {
	Name string
	Keys []string
	// Priority replaces the priority of the route if Ranked is set.
	Priority int
	Ranked   bool
	// Rate and Burst are over all hosts; a Rate of 0 sets no limit. They
	// count tokens if ByToken is set, else requests.
	Rate, Burst float64
	ByToken     bool
	// Plain is the cost in tokens of a request that states none.
	Plain float64
	// Regions limits where requests are served; empty means anywhere.
	Regions []string
}

// Limits bounds what callers send. Zero fields set no limit.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout is the longest time to read a header, IdleTimeout the
	// longest idle time of a connection.
	HeaderTimeout, IdleTimeout time.Duration
}

// Server is a backend server as it registered itself.
type Server struct {
	ID      string
	Service string
	Addr    netip.AddrPort
	Site    string
	Slots   int
	// Leaving servers get no new requests.
	Leaving bool
	// Warm is how long the server stays slow from the time of the entry on.
	Warm time.Duration
	// Born is the start of the process in Unix milliseconds, 0 if not told.
	Born int64
	// Seq changes with each heartbeat of the server.
	Seq int64
}

// Host is a host of this system as it registered itself.
type Host struct {
	Name string `cbor:"1,keyasint"`
	Site string `cbor:"2,keyasint"`
	// Front takes callers' connections, Peer those of other hosts.
	Front netip.AddrPort `cbor:"3,keyasint"`
	Peer  netip.AddrPort `cbor:"4,keyasint"`
	// Cores is the processor time that the host may take, 0 if not told.
	Cores float64 `cbor:"5,keyasint,omitempty"`
	// Settled is the era of the store of which the host had known for long
	// enough to believe its entries when it registered.
	Settled int64 `cbor:"6,keyasint,omitempty"`
}
