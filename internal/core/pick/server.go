package pick

import (
	"math"
	"slices"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/spec"
)

// server is the state of a backend server as seen by this host.
type server struct {
	spec.Server
	local Load            // of this host's requests
	peers map[string]Load // by host, as reported
	cache cache
	// warmAt is when the server becomes warm.
	warmAt time.Time
	// level is that of a token bucket, which limits the requests to a server with an
	// allowance. It was last refilled at refilledAt.
	level      float64
	refilledAt time.Time
	// hostRank is the rank of this host for the server, -1 if not yet computed.
	hostRank int

	// failures counts consecutive failures. From failureThreshold on, the server
	// gets no requests until downUntil, and one at a time after that: probing is
	// set while this one runs.
	failures  int
	downUntil time.Time
	probing   bool
	// probation is set from a failure until the server's entry is trusted again,
	// and heartbeats counts those since the failure.
	probation  bool
	heartbeats int
	failedAt   time.Time
	// fullUntil is when the last refusal by the server no longer counts.
	fullUntil time.Time
	// refusals are those of a server with a refusal limit.
	refusals refusals
	// lateShare is the share of time in which prefill takes so long that events
	// of streams come late.
	lateShare movingAverage
	// errorRate is a moving average of error responses and broken connections.
	errorRate float64
	// slowdown is the moving average of the ratio of measured to expected times to
	// the first byte, at least 1. It was updated at slowdownAt and decays from then
	// on.
	slowdown   float64
	slowdownAt time.Time
	// evacuated is set while the server's data centre is evacuated.
	evacuated bool
}

// allows reports whether a server may get the request.
func (r *Request) allows(s *server) bool {
	return !slices.Contains(r.Exclude, s.ID) && (!r.Pinned || r.Version == s.Version)
}

func newServer(s spec.Server) *server {
	return &server{Server: s, peers: make(map[string]Load), slowdown: 1, cache: newCache(), hostRank: -1}
}

// update replaces the entry of the server. The cache and the failures are those of a
// process, so they are reset if the entry is of another one.
func (s *server) update(e spec.Server, now time.Time) {
	if e.Born != s.Born || e.Addr != s.Addr {
		s.cache = newCache()
		s.resetFailures()
	}
	if e.Seq != s.Seq && s.probation {
		s.heartbeats++
		if s.heartbeats >= probationHeartbeats {
			s.probation = false
		}
	}
	s.Server = e
	s.warmAt = now.Add(e.Warm)
	s.hostRank = -1
}

// resetFailures clears failures, errors and the slowdown.
func (s *server) resetFailures() {
	s.failures = 0
	s.downUntil = time.Time{}
	s.probing = false
	s.errorRate = 0
	s.slowdown = 1
	s.refusals = refusals{}
}

// total returns the load from all hosts.
func (s *server) total() Load {
	l := s.local
	for _, p := range s.peers {
		l.add(p)
	}
	return l
}

// updateLateShare records from now on the probability of late events that follows
// from the prompts that wait for prefill.
func (s *server) updateLateShare(m *model, now time.Time) {
	s.lateShare.set(m.lateProbability(s.total().Unread), now)
}

// slowness returns the slowdown decayed to now: how many times longer than expected
// the server takes.
func (s *server) slowness(now time.Time) float64 {
	if s.slowdown == 1 {
		return 1
	}
	d := now.Sub(s.slowdownAt)
	return 1 + (s.slowdown-1)*math.Pow(0.5, float64(d)/float64(slowdownHalfLife))
}

// measure updates the slowdown by a measured time to the first byte.
func (s *server) measure(took, expected time.Duration, now time.Time) {
	ratio := float64(max(took, minCompared)) / float64(max(expected, minCompared))
	ratio = min(max(ratio, 0.5), maxSlowdown)
	s.slowdown = min(max(s.slowness(now)*(1-slowdownWeight)+ratio*slowdownWeight, 1), maxSlowdown)
	s.slowdownAt = now
}

// slowStart reports whether the server is cold or on probation.
func (s *server) slowStart(now time.Time) bool { return s.probation || now.Before(s.warmAt) }

// refill fills the token bucket of a server with an allowance.
func (s *server) refill(a allowance, now time.Time) {
	if now.Before(s.refilledAt) {
		return
	}
	if !s.refilledAt.IsZero() {
		s.level += now.Sub(s.refilledAt).Seconds() * a.rate
	}
	s.level = min(s.level, a.burst)
	s.refilledAt = now
}

// available reports whether the server may accept a request: it has not failed lately.
func (s *server) available(req *Request, now time.Time) bool {
	if !req.allows(s) || req.ConnectedOnly && !req.Connected(s.Addr) {
		return false
	}
	return req.Via || s.failures < failureThreshold || !now.Before(s.downUntil) && !s.probing
}

// recordFailure adds weight to the consecutive failures. From failureThreshold on, it
// starts a backoff, which doubles with each further failureThreshold, and probation.
func (s *server) recordFailure(weight int, now time.Time) {
	s.failures += weight
	if s.failures < failureThreshold {
		return
	}
	n := min(s.failures/failureThreshold-1, 8)
	s.downUntil = now.Add(min(initialBackoff<<n, maxBackoff))
	s.probing = false
	s.probation = true
	s.heartbeats = 0
	s.failedAt = now
}

// cost is the cost of sending a request to a server.
type cost struct {
	// time is the expected time to the first byte. Servers are compared by score,
	// which adds penalties: for delaying other requests, for errors, for a server
	// that may be full and for opening a connection.
	score, time time.Duration
	// unread is the number of tokens of the prompt that are not cached.
	unread int
}

// cost returns the cost of a request at the server under a load; rank is the server's
// rendezvous rank for the prefix.
func (s *server) cost(l Load, req *Request, m *model, rank int, now time.Time) cost {
	if !req.Deferrable {
		l = l.ahead(s.slots(m))
	}
	slow := s.slowness(now)
	hit := s.cache.hit(req.Parts, now)
	c := cost{unread: max(req.Prompt-hit, 0)}
	c.time = scale(m.PrefillTime(l.Unread+c.unread)+time.Duration(l.Running)*batchDelay, slow)
	c.time += s.queueTime(l, m)
	c.score = c.time + time.Duration(s.errorRate*float64(errorPenalty))
	if missed := m.PrefillTime(req.Shared() - hit); missed > 0 {
		c.score += scale(missed, (MissWeight-1)*slow+float64(rank)*rankPenalty)
	}
	c.score += m.stallCost(l, req, c.unread, s.lateShare.get(now))
	if req.Connected != nil && !req.Connected(s.Addr) {
		c.score += dialPenalty
	}
	if now.Before(s.fullUntil) {
		c.score += fullPenalty
	}
	if slots := s.slots(m); slots > 0 && l.Running >= slots {
		c.score += fullPenalty
	}
	return c
}

// candidate returns the server with its load and cost for a request.
func (s *server) candidate(req *Request, m *model, rank int, now time.Time) candidate {
	l := s.total()
	c := candidate{server: s, load: l, cost: s.cost(l, req, m, rank, now), slope: batchDelay + m.PrefillTime(req.Prompt)}
	slots := s.slots(m)
	if slots == 0 {
		c.free = math.Inf(1)
		return c
	}
	c.free = float64(max(slots-l.Running, 0))
	if l.Running >= slots {
		c.slope += m.SlotTime / time.Duration(slots)
	}
	return c
}

// slots returns the number of requests that the server runs at once, 0 if unknown.
func (s *server) slots(m *model) int { return max(s.Slots, m.Slots) }

// queueTime returns the expected wait for a batch slot and for space in the KV cache.
func (s *server) queueTime(l Load, m *model) time.Duration {
	var d time.Duration
	if slots := s.slots(m); slots > 0 && l.Running >= slots {
		d += m.SlotTime * time.Duration(l.Running-slots+1) / time.Duration(slots)
	}
	if over := float64(l.Memory) - maxMemoryShare*float64(m.CacheTokens); m.CacheTokens > 0 && over > 0 {
		d += 2 * m.PrefillTime(int(over))
	}
	return d
}

// model holds the parameters that the servers of a service have in common.
type model struct {
	spec.Service
	Pace
}

// scale returns d multiplied by x.
func scale(d time.Duration, x float64) time.Duration { return time.Duration(float64(d) * x) }
