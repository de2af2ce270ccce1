package route

import (
	"net/netip"
	"time"
)

// Server is a backend server of the own data centre.
type Server struct {
	Addr netip.AddrPort
	// Leaving servers get no new requests.
	Leaving bool
	// Network is the round-trip time to the server.
	Network time.Duration
}

// Load is a server's load report.
type Load struct {
	Addr    netip.AddrPort
	Queued  int // requests waiting
	Running int // requests in the batch
	Limit   int // requests that fit the batch; 0 when not known
	Pending int // prompt tokens waiting for prefill
	Prefill int // prompt tokens per second; 0 when not known
	Leaving bool
	Down    bool
	// At is the time of the report on this host's clock.
	At time.Time
}

// sent is a change of a server's load by this host.
type sent struct {
	at     int64
	tokens int32 // prompt tokens to prefill
	delta  int32 // +1 for a request sent, -1 for one that ended
}

// history is the number of own changes kept per server. Reports are at most a
// few seconds old and one host sends about 40 requests per second in all.
const history = 128

// state is what is known of one server. Times are unix nanoseconds. The fields
// that every decision reads come first and fill one cache line.
type state struct {
	requests float64 // requests at the server
	limit    float64
	fill     float64 // 1/limit
	pending  float64 // prompt tokens waiting at time drained
	drained  int64
	pace     float64 // 1/prefill
	network  float64 // round-trip time in seconds
	failures int32
	closed   bool // leaving or down by the settings or the last report
	live     bool // in the server list
	// reportedClosed is what the last report said, which outlives changes of
	// the settings.
	reportedClosed bool

	server   Server
	gen      uint32
	reported int64
	prefill  float64 // prompt tokens per second
	retryAt  int64
	probing  int64 // time of the probe that is under way, or 0

	changes *[history]sent
	next    int // changes written
}

// setPrefill and setLimit keep the reciprocals, since the divisions took a
// third of the time of a decision.
func (s *state) setPrefill(rate int) {
	s.prefill, s.pace = float64(rate), 0
	if rate > 0 {
		s.pace = 1 / s.prefill
	}
}

func (s *state) setLimit(limit int) {
	s.limit, s.fill = float64(limit), 0
	if limit > 0 {
		s.fill = 1 / s.limit
	}
}

// setServer replaces the settings of the server.
func (s *state) setServer(server Server) {
	s.server = server
	s.network = server.Network.Seconds()
	s.closed = server.Leaving || s.reportedClosed
	s.live = true
}

// report replaces the load by a report and replays what this host has changed
// since. Reports older than the last one are ignored.
func (s *state) report(load *Load, peers float64) {
	at := load.At.UnixNano()
	if at < s.reported {
		return
	}
	s.reported = at
	s.reportedClosed = load.Leaving || load.Down
	s.closed = s.server.Leaving || s.reportedClosed
	s.requests = float64(load.Queued + load.Running)
	s.setLimit(load.Limit)
	s.pending = float64(load.Pending)
	s.drained = at
	if load.Prefill > 0 {
		s.setPrefill(load.Prefill)
	}
	// A request sent just before the report had not reached the server yet.
	since := at - int64(s.server.Network)/2
	for i := max(0, s.next-history); i < s.next; i++ {
		if c := s.changes[i%history]; c.at > since {
			s.apply(c, peers)
		}
	}
}

// change applies and records an own change.
func (s *state) change(c sent, peers float64) {
	s.changes[s.next%history] = c
	s.next++
	s.apply(c, peers)
}

func (s *state) apply(c sent, peers float64) {
	s.drain(c.at)
	s.requests = max(0, s.requests+float64(c.delta)*peers)
	s.pending += float64(c.tokens) * peers
}

// drain lets waiting prompt tokens fall off at the prefill rate until at.
func (s *state) drain(at int64) {
	if at > s.drained {
		s.pending = max(0, s.pending-s.prefill*float64(at-s.drained)/1e9)
		s.drained = at
	}
}

// available reports whether the server may get a request, and whether that
// request is a probe.
func (s *state) available(at int64) (ok, probe bool) {
	if s.failures == 0 || s.closed {
		return !s.closed, false
	}
	if at < s.retryAt || (s.probing != 0 && at-s.probing < int64(probeTimeout)) {
		return false, false
	}
	return true, true
}

// wait returns the expected seconds until the server starts on a new request.
func (s *state) wait(at int64, service float64) float64 {
	w := s.pending * s.pace
	if at > s.drained {
		w -= float64(at-s.drained) * 1e-9
	}
	w = max(w, 0)
	if s.limit == 0 {
		return max(w, s.requests*service)
	}
	slot := service * s.fill // mean time until a place in the batch is free
	if s.requests >= s.limit {
		return max(w, (s.requests-s.limit+1)*slot)
	}
	// The batch may be fuller than it seems. Without this term servers that
	// held a common prefix were chosen regardless of their load until their
	// batch was full; the p99 on the traces was then two to three times higher.
	u := s.requests * s.fill
	return w + u*u*u*u*slot
}
