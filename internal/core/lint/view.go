package lint

import "time"

// Attr identifies an attribute of an entry. Each format has its own name for it.
type Attr string

// Attributes of routes, services and organisations. A format need not have all.
const (
	AttrName     Attr = "name"
	AttrHost     Attr = "host"
	AttrPrefix   Attr = "prefix"
	AttrTarget   Attr = "target" // service of a route; with an index, one of several
	AttrWeight   Attr = "weight" // of a target, with an index
	AttrTimeout  Attr = "timeout"
	AttrPause    Attr = "pause"
	AttrGoal     Attr = "goal"
	AttrPriority Attr = "priority"
	AttrAttempts Attr = "attempts"
	AttrRegions  Attr = "regions"
	AttrRoutes   Attr = "routes" // of an organisation, with an index
	AttrConns    Attr = "conns"
	AttrWarmup   Attr = "warmup"
	AttrSlots    Attr = "slots"
	AttrTokens   Attr = "tokens" // capacity of a KV cache
	AttrServers  Attr = "servers"
	AttrKeys     Attr = "keys"
	AttrRate     Attr = "rate"
	AttrBurst    Attr = "burst"
	AttrCost     Attr = "cost" // of a request that does not state its tokens
)

// Attributes of the configuration as a whole.
const (
	AttrVersion       Attr = "version"
	AttrOrgs          Attr = "organisations"
	AttrHeaderBytes   Attr = "header bytes"
	AttrBodyBytes     Attr = "body bytes"
	AttrHeaderTimeout Attr = "header timeout"
	AttrIdleTimeout   Attr = "idle timeout"
)

// Locator returns the path of an attribute. The index selects an item of a list; -1
// stands for the attribute as a whole.
type Locator func(a Attr, index int) Path

// View holds what the rules need of a configuration. Numbers are as they are written,
// also if they are out of range. Attributes that a format does not have keep their zero
// values, which no rule reports.
type View struct {
	// Version is set by the operator if Versioned is set. It increases.
	Version   int64
	Versioned bool
	Services  []Service
	Routes    []Route
	Orgs      []Org
	// KeyRequired is set if routes that are not public need a key.
	KeyRequired bool
	// BurstRefuses is set if a request that costs more than the burst of its
	// organisation is refused. Otherwise it waits for a full bucket.
	BurstRefuses bool
	// Regions are the existing regions; nil if they are not known.
	Regions []string
	Limits  Limits
	At      Locator
	// Defs are the definitions as they are written, to compare versions.
	Defs []Def
}

// Limits bounds the requests and connections of callers.
type Limits struct {
	HeaderBytes, BodyBytes     int64
	HeaderTimeout, IdleTimeout time.Duration
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name                 string
	Slots, Tokens, Conns int64
	Warmup               float64
	// Located is set if the format lists servers. Regions are then those with a
	// server that takes new requests.
	Located bool
	Regions []string
	At      Locator
}

// Route directs requests to services.
type Route struct {
	Name string
	// Matched is set if requests are matched by Host and Prefix, and not by Name.
	Matched      bool
	Host, Prefix string
	Targets      []Target
	Public       bool
	Timeout      time.Duration
	// Pause is the longest time between two events of a stream; 0 if it is not stated.
	Pause    time.Duration
	Goal     time.Duration
	Priority int64
	Attempts int64
	// Regions limits where requests are served; empty means anywhere.
	Regions []string
	// Cost is the least cost of a request on the route, which adds to that of its
	// organisation.
	Cost float64
	At   Locator
}

// Target is a service of a route. Weight counts only if there are several.
type Target struct {
	Service string
	Weight  int64
}

// Org is an organisation.
type Org struct {
	Name string
	// Keys identify the API keys. They are compared, but never shown.
	Keys        []string
	HasPriority bool
	Priority    int64
	// Rate and Burst limit the organisation in Unit. A Rate of 0 sets no limit.
	Rate, Burst float64
	Unit        string
	// Cost is the cost of a request that does not state it.
	Cost float64
	// Regions limits where requests are served; empty means anywhere.
	Regions []string
	// Routes are those that the organisation may use; empty means all.
	Routes []string
	At     Locator
}
