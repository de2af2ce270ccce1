// Package spec defines the data that the gateway needs to serve requests when a
// platform holds the configuration: routes, services, organisations and backend
// servers. All types are plain data; a Snapshot is immutable and safe for concurrent
// use.
package spec

import (
	"net/netip"
	"time"
)

// Config is a version of the operator's configuration.
type Config struct {
	// Version is assigned by the operator. It increases, by one or more.
	Version  int64
	Routes   []Route
	Services []Service
	// Orgs are the organisations. RequiresKey is set if the configuration lists them, even
	// if there are none: then only their keys open routes that are not public.
	Orgs        []Org
	RequiresKey bool
	Limits      Limits
}

// Route directs requests for a host name and a path prefix to services.
type Route struct {
	Name string
	// Host is the host name in lower case; Prefix begins and ends with a
	// slash.
	Host, Prefix string
	// Targets holds at least one service.
	Targets []Target
	// Idempotent is set when a request may run twice: a safe call, or a stream
	// that can be resumed.
	Idempotent bool
	// Stream is set when the response is a stream of events.
	Stream bool
	// Resumable is set when another server can resume a stream after a given event.
	Resumable bool
	// Public is set when requests need no API key.
	Public bool
	// Sticky is set when prompts share prefixes, so that requests should go to
	// servers that have these in their prefix cache.
	Sticky bool
	// Timeout bounds the duration of a request; 0 sets no limit.
	Timeout time.Duration
	// Goal is the latency target of the route: the time within which the first
	// byte of a response is due, 0 for none.
	Goal time.Duration
	// Pause is the longest time between two events of a stream with which the response is
	// still on time; 0 if it is not stated.
	Pause time.Duration
	// Priority is the importance of the route's requests; 0 is the most urgent.
	Priority int
	// Attempts bounds the attempts of a request that may have run it; it is at
	// least 1.
	Attempts int
	// Regions limits where requests are served; empty means anywhere.
	Regions []string
}

// Target is a service of a route and its weight among the route's targets.
type Target struct {
	Service string
	Weight  int
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name string
	// Engine is set for model engines. Slots is the number of batch slots of each,
	// and CacheTokens the capacity of its KV cache in tokens.
	Engine      bool
	Slots       int
	CacheTokens int
	// Pause is the shortest of the longest pauses between events that the routes to the
	// service state; 0 if none does.
	Pause time.Duration
	// Conns bounds the connections to one server over all hosts; 0 sets no limit.
	Conns int
	// HealthPath is the path of the servers' health check, empty if there is none.
	HealthPath string
	// WarmupRate bounds the requests per second to a cold server, over all hosts;
	// 0 sets no limit.
	WarmupRate float64
}

// Org is an organisation.
type Org struct {
	Name string
	Keys []string
	// Priority replaces the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// Rate, per second, and Burst limit the organisation over all hosts; a Rate
	// of 0 sets no limit. They count tokens if ByToken is set, otherwise requests.
	Rate, Burst float64
	ByToken     bool
	// DefaultTokens is the cost in tokens of a request that does not state its
	// tokens.
	DefaultTokens float64
	// Regions limits where requests are served; empty means anywhere.
	Regions []string
}

// Limits bounds the requests and connections of callers. Zero fields set no limit.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout bounds the time to read a header, IdleTimeout the idle time of
	// a connection.
	HeaderTimeout, IdleTimeout time.Duration
}

// Server is the registered entry of a backend server. Hosts send it to each other in
// CBOR under the names of its fields.
type Server struct {
	ID      string
	Service string
	Addr    netip.AddrPort
	Site    string
	// Version is that of the server's software. What two versions write does not fit
	// together.
	Version string
	Slots   int
	// Leaving is set while the server drains: it gets no new requests.
	Leaving bool
	// Warm is the remaining warm-up time of the server, 0 once it is warm.
	Warm time.Duration
	// Born is when the process started, in Unix milliseconds; 0 if unknown.
	Born int64
	// Seq changes with each heartbeat of the server.
	Seq int64
}

// Host is the registered entry of a host of this system.
type Host struct {
	Name string `cbor:"1,keyasint"`
	Site string `cbor:"2,keyasint"`
	// Front is the address for callers, Peer that for other hosts.
	Front netip.AddrPort `cbor:"3,keyasint"`
	Peer  netip.AddrPort `cbor:"4,keyasint"`
	// Cores is the number of processor cores that the host may use; 0 if unknown.
	Cores float64 `cbor:"5,keyasint,omitempty"`
	// TrustedEra is the era of the store that the host, when it registered, had
	// observed for long enough to trust the store's entries; 0 for none.
	TrustedEra int64 `cbor:"6,keyasint,omitempty"`
}
