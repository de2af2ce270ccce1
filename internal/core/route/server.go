package route

import (
	"net/netip"
	"time"
)

// Server is a backend server of the local data centre.
type Server struct {
	Addr netip.AddrPort
	// Leaving servers get no new requests.
	Leaving bool
	// RTT is the round-trip time to the server.
	RTT time.Duration
}

// Load is a server's load report.
type Load struct {
	Addr      netip.AddrPort
	Queued    int // requests waiting
	Running   int // requests in the batch
	BatchSize int // batch size in requests; 0 when not known
	Pending   int // prompt tokens waiting for prefill
	Prefill   int // prefill rate in tokens per second; 0 when not known
	Leaving   bool
	Down      bool
	// At is the time of the report on this host's clock.
	At time.Time
}

// loadChange is a change to a server's load caused by a request of this host.
type loadChange struct {
	at     int64
	tokens int32 // prompt tokens to prefill
	delta  int32 // +1 for a request sent, -1 for one that ended
}

// maxChanges is the number of load changes by this host that are kept per
// server. Load reports are at most a few seconds old and one host sends about 40
// requests per second to all servers together.
const maxChanges = 128

// serverState is the state of one server. Times are Unix nanoseconds. The fields
// that every decision reads come first and fill one CPU cache line.
type serverState struct {
	requests     float64 // requests at the server
	batchSize    float64
	invBatchSize float64 // 1/batchSize
	pending      float64 // prompt tokens waiting for prefill at time pendingAt
	pendingAt    int64
	invPrefill   float64 // 1/prefill
	rtt          float64 // round-trip time in seconds
	failures     int32
	disabled     bool // leaving or down by the configuration or the last report
	listed       bool // in the server list
	// reportedDisabled is set when the last report said leaving or down. It is
	// kept when the configuration changes.
	reportedDisabled bool

	server       Server
	gen          uint32
	reported     int64
	prefill      float64 // prompt tokens per second
	retryAt      int64
	probeStarted int64 // start of the probe in progress, or 0

	changes     *[maxChanges]loadChange
	changeCount int // changes recorded since the server was added
}

// setPrefill sets the prefill rate. Like setBatchSize it stores the reciprocal, too,
// because the divisions took a third of the time of a decision.
func (s *serverState) setPrefill(rate int) {
	s.prefill, s.invPrefill = float64(rate), 0
	if rate > 0 {
		s.invPrefill = 1 / s.prefill
	}
}

// setBatchSize sets the batch size.
func (s *serverState) setBatchSize(size int) {
	s.batchSize, s.invBatchSize = float64(size), 0
	if size > 0 {
		s.invBatchSize = 1 / s.batchSize
	}
}

// setServer replaces the configuration of the server.
func (s *serverState) setServer(server Server) {
	s.server = server
	s.rtt = server.RTT.Seconds()
	s.disabled = server.Leaving || s.reportedDisabled
	s.listed = true
}

// report replaces the load by that of a report and reapplies the changes that
// this host made after the report. Reports older than the last one are ignored.
func (s *serverState) report(load *Load, hosts float64) {
	at := load.At.UnixNano()
	if at < s.reported {
		return
	}
	s.reported = at
	s.reportedDisabled = load.Leaving || load.Down
	s.disabled = s.server.Leaving || s.reportedDisabled
	s.requests = float64(load.Queued + load.Running)
	s.setBatchSize(load.BatchSize)
	s.pending = float64(load.Pending)
	s.pendingAt = at
	if load.Prefill > 0 {
		s.setPrefill(load.Prefill)
	}
	// A request sent less than the one-way delay before the report had not
	// reached the server by then.
	since := at - int64(s.server.RTT)/2
	for i := max(0, s.changeCount-maxChanges); i < s.changeCount; i++ {
		if c := s.changes[i%maxChanges]; c.at > since {
			s.applyChange(c, hosts)
		}
	}
}

// recordChange applies a load change and records it for later reports.
func (s *serverState) recordChange(change loadChange, hosts float64) {
	s.changes[s.changeCount%maxChanges] = change
	s.changeCount++
	s.applyChange(change, hosts)
}

// applyChange adds a load change to the state. The change is multiplied by the
// number of hosts, because each of them is assumed to send the same load.
func (s *serverState) applyChange(change loadChange, hosts float64) {
	s.advance(change.at)
	s.requests = max(0, s.requests+float64(change.delta)*hosts)
	s.pending += float64(change.tokens) * hosts
}

// advance reduces the waiting prompt tokens by those prefilled up to at.
func (s *serverState) advance(at int64) {
	if at > s.pendingAt {
		s.pending = max(0, s.pending-s.prefill*float64(at-s.pendingAt)/1e9)
		s.pendingAt = at
	}
}

// available reports whether a request may be sent to the server, and whether
// that request is a probe.
func (s *serverState) available(at int64) (ok, probe bool) {
	if s.failures == 0 || s.disabled {
		return !s.disabled, false
	}
	if at < s.retryAt || (s.probeStarted != 0 && at-s.probeStarted < int64(probeTimeout)) {
		return false, false
	}
	return true, true
}

// wait returns the expected time, in seconds, until the server starts a new
// request. serviceTime is the mean service time of a request in seconds.
func (s *serverState) wait(at int64, serviceTime float64) float64 {
	w := s.pending * s.invPrefill
	if at > s.pendingAt {
		w -= float64(at-s.pendingAt) * 1e-9
	}
	w = max(w, 0)
	if s.batchSize == 0 {
		return max(w, s.requests*serviceTime)
	}
	slotTime := serviceTime * s.invBatchSize // mean time until a batch slot becomes free
	if s.requests >= s.batchSize {
		return max(w, (s.requests-s.batchSize+1)*slotTime)
	}
	// The batch may be fuller than the last report says. Without this term
	// servers with a common cached prefix were chosen regardless of their load
	// until their batch was full, and the p99 on the traces was two to three
	// times higher.
	u := s.requests * s.invBatchSize
	return w + u*u*u*u*slotTime
}
