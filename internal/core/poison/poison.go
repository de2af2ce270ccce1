// Package poison finds the requests, and the parts of prompts, that make backend servers
// crash. A server process that ends takes all its requests with it, so that one crash
// shows only which requests may be the cause, and which parts: those of requests whose
// response had not begun. A part is suspected once several processes have ended under it
// while no response to a request with it has begun, and a whole request once they have
// while no response to it was complete. Requests with a suspected part are refused until
// a response to one of them shows that the suspicion was wrong.
//
// A Detector is safe for concurrent use. It reads no clock: the time is an argument.
package poison

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccalb/yuccalb/internal/core/pick"
)

// Part identifies by a hash what requests may have in common: a part of their prompts, or
// all of their path, caller and body.
type Part uint64

// wholeRequest is set in parts that stand for a whole request.
const wholeRequest Part = 1 << 63

// NewPart returns the part of prompts with an identifier.
func NewPart(id string) Part { return Part(xxhash.Sum64String(id)) &^ wholeRequest }

// NewRequest returns the part that stands for a whole request. Requests with the same path,
// caller and body are the same request, whatever identifiers their attempts have.
func NewRequest(path, caller string, body []byte) Part {
	d := xxhash.New()
	// Writes to a digest return no errors. No path or name has a zero byte.
	_, _ = d.WriteString(path + "\x00" + caller + "\x00")
	_, _ = d.Write(body)
	return Part(d.Sum64()) | wholeRequest
}

// Whole reports whether the part stands for a whole request.
func (p Part) Whole() bool { return p&wholeRequest != 0 }

// String returns the part as logs and the store's records name it.
func (p Part) String() string { return strconv.FormatUint(uint64(p), 16) }

// MaxParts bounds the parts of one prompt that are examined. The part that stands for the
// whole request follows them, so that its position is MaxParts.
const MaxParts = 16

const (
	// threshold is the number of crashes from which on a part is suspected. Crashes
	// within spacing of one another count once: when a whole region fails, many
	// processes end at once under the parts that are in use. Those of a whole request
	// count apart if it was sent again after the one before, as a retry is.
	threshold = 3
	spacing   = 500 * time.Millisecond
	// partThreshold replaces threshold for a part of prompts if further crashes under
	// it are explained by a suspected request: the request may have been suspected
	// because it has the part.
	partThreshold = 2
	// maxSkew bounds the difference of times that hosts report to each other: a report
	// is late by the time that it takes.
	maxSkew = time.Second
	// pendingTTL is how long a request that broke off is remembered until the end of
	// its process is known. The entry of a process expires within a few seconds.
	pendingTTL = 20 * time.Second
	// crashTTL is how long crashes are remembered, and clearedTTL how long parts whose
	// suspicion was wrong are.
	crashTTL   = 5 * time.Minute
	clearedTTL = 2 * time.Minute
	// suspectTTL is how long a part is suspected after the last request with it.
	suspectTTL = 10 * time.Minute
)

// Bounds of the state, which callers can fill with parts that they make up.
const (
	maxPending  = 32   // processes
	maxPerBreak = 1024 // parts of the requests to one process
	maxCrashed  = 1024 // parts with crashes
	maxCrashes  = 64   // crashes of one part
	maxEnded    = 256  // processes known to have ended
	maxSuspects = 32
	maxCleared  = 64
)

// Change is the begin or the end of the suspicion of a part.
type Change struct {
	Part Part
	// Crashes is the number of crashes that led to the suspicion, 0 if another host
	// has reported it. It does not apply if Cleared is set: a response to a request
	// with the part has begun.
	Crashes int
	Cleared bool
}

// crash is the end of a process under requests with a part, the last of which was sent at
// the time sent.
type crash struct {
	process  pick.Process
	sent, at time.Time
	scope    Scope
}

// crashes are the crashes under a part. Position is the part's greatest position in a
// prompt.
type crashes struct {
	list     []crash
	last     time.Time
	position int
}

// add records a crash, once for each process, and reports whether it is new.
func (c *crashes) add(x crash, position int) bool {
	for i := range c.list {
		if c.list[i].process == x.process {
			c.list[i].scope = min(c.list[i].scope, x.scope)
			return false
		}
	}
	if len(c.list) >= maxCrashes {
		c.list = c.list[1:]
	}
	c.list = append(c.list, x)
	if x.at.After(c.last) {
		c.last = x.at
	}
	c.position = max(c.position, position)
	return true
}

// clearance is the end of a wrong suspicion. Own is set if a response to a request of this
// host has shown that it was wrong.
type clearance struct {
	at  time.Time
	own bool
}

// suspect is the state of a suspected part.
type suspect struct {
	// since is when the suspicion began, or the last probe was allowed to some host.
	since time.Time
	// asked is when the last request with the part came.
	asked time.Time
	// probes is the number of probes allowed so far, over all hosts, and allowed that of
	// the last one which this host was allowed, 0 for none. sent is set once it was sent.
	probes, allowed int
	sent            bool
	// replacing is the number of the probe for which this host replaces the record now, 0 for none.
	replacing int
	// own is set if this host has lost a request with the part itself.
	own bool
	// unlisted is the time since when the store holds no record of the suspicion, zero
	// while it holds one.
	unlisted time.Time
}
