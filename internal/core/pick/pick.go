// Package pick chooses the backend server of the own region that a request is
// sent to, by its expected time to the first byte. The expectation rests on
// the prompts that wait to be read at each server, on the prefixes that its
// cache should hold, and on what the other hosts of the region report of
// their own requests.
//
// A Table is safe for concurrent use. It reads no clock: the time is an
// argument, and all times of one table come from one clock.
package pick

import (
	"net/netip"
	"time"
)

// Model of a server, used until its responses have been measured.
const (
	// batchDelay is what each request in the batch adds to a first byte.
	batchDelay = 500 * time.Microsecond
	// rankWeight keeps the hosts of a region from placing a new prefix on
	// several servers at once: per rank of a rendezvous hash, this part of the
	// time to read the prefix is added.
	rankWeight = 0.4
	// dialDelay is added for a server that a connection has to be opened to.
	// Hosts then keep to servers of their own while these are equally good.
	dialDelay = 3 * time.Millisecond
	// memoryShare of a server's memory may be taken by running requests
	// before another server is preferred.
	memoryShare = 0.8
	// cacheShare of a server's memory is expected to hold prefixes.
	cacheShare = 0.8
	// placedFor is how long a prefix is expected to stay unused in a cache.
	placedFor = 60 * time.Second
)

// MissWeight counts the time to read a prefix again more than once, since it
// also delays the other requests of the server.
const MissWeight = 3.0

// PrefixTokens is the shortest prefix that is worth routing by: shorter ones
// are read in less time than a detour takes.
const PrefixTokens = 1000

// MaxParts bounds the parts of a prompt that are told apart.
const MaxParts = 8

// Rules for servers that fail.
const (
	firstBackoff = 250 * time.Millisecond
	maxBackoff   = 2 * time.Second
	// failuresDown in a row set a server aside; a failed connect does so at
	// once.
	failuresDown = 3
	// fullDelay is added to servers that refused a request within fullFor.
	fullDelay = 400 * time.Millisecond
	fullFor   = 300 * time.Millisecond
	// errorDelay is added in proportion to a server's rate of errors.
	errorDelay  = 1500 * time.Millisecond
	errorWeight = 0.1
	// slowWeight is that of the newest measurement of a server's speed, and
	// slowHalf the time after which half of a deviation is forgotten.
	slowWeight = 0.15
	slowHalf   = 4 * time.Second
	maxSlow    = 10.0
	// floorTime is the shortest expected time that measurements are compared
	// with.
	floorTime = 80 * time.Millisecond
	// probationBeats is the number of heartbeats of a server that failed
	// after which its entry is believed again.
	probationBeats = 2
)

// Request is what the choice depends on.
type Request struct {
	// Parts are the parts at the start of the prompt that other requests
	// share.
	Parts []Part
	// Prompt and Output are all tokens to read and at most to write.
	Prompt, Output int
	// Exclude lists servers that failed this request.
	Exclude []string
	// Connected reports whether a connection to a server is at hand. It may
	// be nil.
	Connected func(netip.AddrPort) bool
}

// Choice is a chosen server. It is passed to Done once.
type Choice struct {
	ID string
	// Expected is the expected time to the first byte.
	Expected time.Duration
	// Load is that of the server, by all hosts, before the request, and
	// Cached whether it was expected to hold the prefix.
	Load   Load
	Cached bool
	// Read is how long the server should read what it has not cached.
	Read time.Duration

	server *server
	born   int64
	at     time.Time
	unread int
	memory int
	output int
	begun  time.Time // zero before the first byte
}

// Outcome is what became of a request.
type Outcome int

// Outcomes. NotRun stands for a refusal of the server, NoConnect for a
// connection that could not be opened, Broken for one that ended too soon,
// Aborted for a caller that left.
const (
	Served Outcome = iota
	Failed
	NotRun
	Gone
	NoConnect
	Broken
	Aborted
)

// Load is what the requests of one host or more take of a server.
type Load struct {
	// Running is the number of requests, Unread the tokens of their prompts
	// before the first byte, Memory all their tokens.
	Running, Unread, Memory int
}

func (l *Load) add(o Load) {
	l.Running += o.Running
	l.Unread += o.Unread
	l.Memory += o.Memory
}

// Placement is a prefix that was sent to a server.
type Placement struct {
	Server string `cbor:"1,keyasint"`
	Parts  []Part `cbor:"2,keyasint"`
}

// prefix returns the key of the whole prefix.
func (p *Placement) prefix() uint64 { return p.Parts[len(p.Parts)-1].Key }

// placed is a Placement with its time, kept for reports to peers.
type placed struct {
	Placement
	at time.Time
}
