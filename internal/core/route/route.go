// Package route chooses where a request runs: on a backend server of the local
// data centre, or in another data centre to which it is forwarded.
//
// Hard constraints are applied first: data residency, the hop limit, servers
// that are leaving and servers already tried. Among the remaining servers the
// one with the lowest expected time to first token is chosen.
//
// Table, Sites and Router are safe for concurrent use: request goroutines call
// Pick and Done while a control goroutine replaces server lists and loads. Each
// Table and each Sites holds one mutex for the duration of a decision.
package route

import (
	"net/netip"
	"slices"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/model"
)

// Rejections returned by Pick. The rejected request did not run on any server.
var (
	// ErrRegion rejects a request for which neither the local data centre nor
	// any other in the list of Sites is in an allowed region.
	ErrRegion error = model.Reject(model.ReasonRegionDenied, "no data centre in an allowed region")
	// ErrNoServer rejects a request for which no server is available.
	ErrNoServer error = model.Reject(model.ReasonNoServer, "no backend server is available")
)

// Request holds the properties of a request that routing depends on. The package
// retains its slices only in the returned Choice and never modifies them.
type Request struct {
	// Chain holds the block digests of the prompt, as returned by the function
	// Chain.
	Chain []uint64
	// Prompt is the length of the prompt in tokens.
	Prompt int
	// Bytes is the expected size of request and response together on a wide-area
	// link.
	Bytes int
	// Regions lists the regions where the request may be served. An empty list
	// allows none.
	Regions []string
	// Exclude lists servers that have already failed this request.
	Exclude []netip.AddrPort
	// ExcludeSites lists data centres that have already failed this request.
	ExcludeSites []string
	// Forwarded is set when the request was forwarded by another host. It is
	// then not forwarded again.
	Forwarded bool
	// QueueWait is the expected wait in this host's queue before the request
	// could be sent to a local server.
	QueueWait time.Duration
}

// allows reports whether the request may be served in region.
func (r *Request) allows(region string) bool {
	return slices.Contains(r.Regions, region)
}

// Choice is a chosen backend server. The caller must pass it to Table.Done
// exactly once.
type Choice struct {
	Addr netip.AddrPort
	// Expected is the expected time to first token, without the random noise
	// that is added to compare servers.
	Expected time.Duration
	// Cached is the number of prompt tokens expected to be in the server's
	// prefix cache.
	Cached int
	// Probe is set when the request tests whether a failed server has recovered.
	Probe bool

	chain    []uint64
	slot     int32
	gen      uint32
	matched  int32 // leading blocks expected to be cached
	uncached int   // prompt tokens expected not to be cached
	at       int64 // time of the decision
}

// Result is the result of a request sent to a server.
type Result struct {
	// Failed is set when the server failed: the connection was refused or lost,
	// the stream stalled, or the server returned an error.
	Failed bool
	// Aborted is set when the request ended for another reason before its
	// response was complete, such as a caller that disconnected.
	Aborted bool
	// Cached is the cached-token count in the response, or negative if the
	// response contained none.
	Cached int
}
