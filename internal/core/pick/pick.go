// Package pick chooses the backend server of the local region that a request is
// sent to, by the expected time to the first byte. The estimate depends on the
// prompts waiting for prefill at each server, on the prefixes that its prefix cache
// should hold, and on the load that the other hosts of the region report.
//
// A Table is safe for concurrent use. It reads no clock: the time is an
// argument, and all times of one table come from one clock.
package pick

import (
	"net/netip"
	"time"
)

// Parameters of the estimate for a server.
const (
	// batchDelay is added to the time to the first byte per running request.
	batchDelay = 500 * time.Microsecond
	// rankPenalty is the part of the prefill time of a prefix that is added per
	// rank of a rendezvous hash. It keeps the hosts of a region from placing a
	// new prefix on several servers at once.
	rankPenalty = 0.4
	// dialPenalty is added for a server to which a connection must be opened. Each
	// host then keeps using the same servers while others are no better.
	dialPenalty = 3 * time.Millisecond
	// maxMemoryShare is the part of a server's KV cache that running requests may
	// take before further ones are expected to queue.
	maxMemoryShare = 0.8
	// cacheShare is the part of a server's KV cache that is expected to hold
	// prefixes.
	cacheShare = 0.8
	// prefixTTL is how long an unused prefix is expected to stay cached.
	prefixTTL = 60 * time.Second
)

// MissWeight is the factor by which the prefill time of a prefix that is not cached
// counts. It exceeds 1 because the prefill also delays the server's other requests.
const MissWeight = 3.0

// PrefixTokens is the length of the shortest prefix to route by. Prefill of shorter
// ones takes less time than sending the request to another server costs.
const PrefixTokens = 1000

// MaxParts bounds the parts into which the shared prefix of a prompt is divided.
const MaxParts = 8

// Parameters for servers that fail or are slow.
const (
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// failureThreshold is the number of consecutive failures after which a server
	// gets no requests for a backoff. A failed connect counts as that many.
	failureThreshold = 3
	// fullPenalty is added for servers that refused a request within fullPeriod
	// or whose batch slots are all taken.
	fullPenalty = 400 * time.Millisecond
	fullPeriod  = 300 * time.Millisecond
	// errorPenalty is added in proportion to a server's error rate, a moving
	// average in which the newest outcome has errorWeight.
	errorPenalty = 1500 * time.Millisecond
	errorWeight  = 0.1
	// slowdownWeight is the weight of the newest measurement in the moving average
	// of a server's slowdown, and slowdownHalfLife the half-life of its decay.
	slowdownWeight   = 0.15
	slowdownHalfLife = 4 * time.Second
	maxSlowdown      = 10.0
	// minCompared is the lower bound of both times, the measured and the expected
	// one, that are compared for the slowdown.
	minCompared = 80 * time.Millisecond
	// probationHeartbeats is the number of heartbeats after which the
	// probation of a failed server ends.
	probationHeartbeats = 2
)

// Request describes a request for which a server is chosen.
type Request struct {
	// Parts divide the prefix of the prompt that other requests share.
	Parts []Part
	// Prompt is the number of tokens of the prompt, and Output the maximum number
	// of tokens of the response.
	Prompt, Output int
	// Exclude lists the IDs of servers that have failed this request.
	Exclude []string
	// Pinned is set if only servers of the software version Version may be chosen.
	Pinned  bool
	Version string
	// Connected reports whether a connection to a server is open. It may be nil.
	// ConnectedOnly is set if only such servers may be chosen.
	Connected     func(netip.AddrPort) bool
	ConnectedOnly bool
	// Via is set if another host of the region would choose the server. What failed
	// at this host, and its parts of limits, do not count then.
	Via bool
	// Within is the time within which the response is to begin to be on time. Servers at
	// which it is expected to begin later are chosen only if there are no others. 0 sets no
	// limit.
	Within time.Duration
	// Deferrable is set if the servers admit other requests before this one.
	Deferrable bool
	// Extra is set if the request may go to a server with a refusal limit although this
	// host's own part of the server's room is taken.
	Extra bool
}

// Choice is a chosen server. It must be passed to Done exactly once.
type Choice struct {
	ID string
	// Expected is the expected time to the first byte.
	Expected time.Duration
	// Load is the load of the server from all hosts before the request, and
	// Cached reports whether part of the prompt was expected to be cached.
	Load   Load
	Cached bool
	// PrefillTime is the expected prefill time of the tokens that are not cached.
	PrefillTime time.Duration
	// Limited is set if the server has named a limit, and Limit is this limit in
	// requests per second over all hosts.
	Limited bool
	Limit   float64
	// Version is that of the server's software.
	Version string

	server *server
	// refusalLimited is set if the server had a refusal limit, and extra if the request
	// is beyond this host's own part of the server's room.
	refusalLimited, extra bool

	born       int64
	sent       time.Time
	deferrable bool
	unread     int // tokens of the prompt that are not cached
	memory     int // tokens of the prompt and at most of the response
	output     int // tokens at most of the response
	// firstByte is when the response began, zero before that.
	firstByte time.Time
	// connOpened is when the connection was opened on which the response came, zero
	// if that is unknown.
	connOpened time.Time
}

// load returns a load of the request, all of which is deferrable if the request is.
func (c *Choice) load(running, unread, memory int) Load {
	l := Load{Running: running, Unread: unread, Memory: memory}
	if c.deferrable {
		l.Later, l.LaterUnread, l.LaterMemory = running, unread, memory
	}
	return l
}

// Connection records when the connection was opened on which the response comes.
func (c *Choice) Connection(opened time.Time) { c.connOpened = opened }

// Process returns the process of the server to which the request is sent.
func (c *Choice) Process() Process { return Process{ID: c.ID, Born: c.born} }

// outlived reports whether the response came on a connection from before the last failure
// of the server, which shows that its process has not restarted.
func (c *Choice) outlived(s *server) bool {
	return !c.connOpened.IsZero() && c.connOpened.Before(s.failedAt) && c.born == s.Born
}

// Outcome is the outcome of a request that was sent to a server.
type Outcome int

// Outcomes. Failed is an error response and NotRun a refusal by the server.
// WrongServer is a response by another server at the same address, NoConnect a
// connection that could not be opened, Broken one that failed before the end of the
// response, and Aborted a caller that disconnected.
const (
	Served Outcome = iota
	Failed
	NotRun
	WrongServer
	NoConnect
	Broken
	Aborted
)

// Load is the load on a server from the requests of one or more hosts. Hosts report it
// under the names of its fields.
type Load struct {
	// Running is the number of requests. Unread is the number of uncached prompt
	// tokens of those whose response has not begun, Memory that of all tokens.
	Running, Unread, Memory int
	// Later, LaterUnread and LaterMemory are the parts of Running, Unread and Memory that
	// are deferrable, see Request.Deferrable. Earlier versions report none.
	Later       int `cbor:",omitempty"`
	LaterUnread int `cbor:",omitempty"`
	LaterMemory int `cbor:",omitempty"`
}

func (l *Load) add(o Load) {
	l.Running += o.Running
	l.Unread += o.Unread
	l.Memory += o.Memory
	l.Later += o.Later
	l.LaterUnread += o.LaterUnread
	l.LaterMemory += o.LaterMemory
}

// ahead returns the part of the load on a server with a number of batch slots that it serves
// before a request that is not deferrable: all but the deferrable requests that wait for a slot.
func (l Load) ahead(slots int) Load {
	waiting := min(l.Later, l.Running-slots)
	if slots <= 0 || waiting <= 0 {
		return l
	}
	unread := l.LaterUnread * waiting / l.Later
	memory := l.LaterMemory * waiting / l.Later
	l.add(Load{Running: -waiting, Unread: -unread, Memory: -memory, Later: -waiting, LaterUnread: -unread, LaterMemory: -memory})
	return l
}

// Placement records that a request with a prefix was sent to a server, which should
// have the prefix cached from then on.
type Placement struct {
	Server string `cbor:"1,keyasint"`
	Parts  []Part `cbor:"2,keyasint"`
}

// prefix returns the key of the whole prefix.
func (p *Placement) prefix() uint64 { return p.Parts[len(p.Parts)-1].Key }

// timedPlacement is a Placement with its time, kept for reports to peers.
type timedPlacement struct {
	Placement
	at time.Time
}
