package pick

import (
	"math"
	"slices"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/spec"
)

// server is what a host believes of one backend server.
type server struct {
	spec.Server
	own   Load
	peers map[string]Load
	cache cache
	// warmAt is when the server stops being cold.
	warmAt time.Time
	// allow counts requests that may be sent while the server is cold.
	allow   float64
	allowAt time.Time

	failures  int
	downUntil time.Time
	probing   bool
	// beats counts heartbeats since the last failure, while probation is set.
	probation bool
	beats     int
	fullUntil time.Time
	// reading is the share of time in which prompts are read for so long that
	// events of streams come late.
	reading share
	// restUntil is when the server wants requests of this host again.
	restUntil time.Time
	errors    float64
	slow      float64
	slowAt    time.Time
	evacuated bool
}

func newServer(s spec.Server) *server {
	return &server{Server: s, peers: make(map[string]Load), slow: 1, cache: newCache()}
}

// update takes a newer entry of the same server.
func (s *server) update(e spec.Server, now time.Time) {
	if e.Born != s.Born || e.Addr != s.Addr {
		s.cache = newCache()
		s.clear()
	}
	if e.Seq != s.Seq && s.probation {
		s.beats++
		if s.beats >= probationBeats {
			s.probation = false
		}
	}
	s.Server = e
	s.warmAt = now.Add(e.Warm)
}

// clear forgets failures.
func (s *server) clear() {
	s.failures = 0
	s.downUntil = time.Time{}
	s.probing = false
	s.errors = 0
	s.slow = 1
	s.restUntil = time.Time{}
}

// total returns the load of all hosts.
func (s *server) total() Load {
	l := s.own
	for _, p := range s.peers {
		l.add(p)
	}
	return l
}

// reads records how much is to be read from now on.
func (s *server) reads(m *model, now time.Time) { s.reading.set(m.late(s.total().Unread), now) }

// slowness returns how many times longer than expected the server takes.
func (s *server) slowness(now time.Time) float64 {
	if s.slow == 1 {
		return 1
	}
	d := now.Sub(s.slowAt)
	return 1 + (s.slow-1)*math.Pow(0.5, float64(d)/float64(slowHalf))
}

// measure compares the time to a first byte with its expectation.
func (s *server) measure(took, expected time.Duration, now time.Time) {
	ratio := float64(max(took, floorTime)) / float64(max(expected, floorTime))
	ratio = min(max(ratio, 0.5), maxSlow)
	s.slow = min(max(s.slowness(now)*(1-slowWeight)+ratio*slowWeight, 1), maxSlow)
	s.slowAt = now
}

// limited reports whether the server must get few requests for now.
func (s *server) limited(now time.Time) bool { return s.probation || now.Before(s.warmAt) }

// refill lets the allowance of a limited server grow by rate per second.
func (s *server) refill(rate float64, now time.Time) {
	if !s.allowAt.IsZero() {
		s.allow += now.Sub(s.allowAt).Seconds() * rate
	}
	s.allow = min(s.allow, 1)
	s.allowAt = now
}

// usable reports whether a request may be sent to a server that stays. The rate
// of a cold server is worked out only if the server is one: it takes a hash for
// each host of the region.
func (s *server) usable(req *Request, svc *spec.Service, warm *Warming, now time.Time) bool {
	if now.Before(s.restUntil) || slices.Contains(req.Exclude, s.ID) {
		return false
	}
	if s.failures >= failuresDown && (now.Before(s.downUntil) || s.probing) {
		return false
	}
	if !s.limited(now) {
		return true
	}
	rate := warm.rate(svc, s.ID)
	if rate < 0 {
		if !s.probation {
			return true
		}
		rate = probationRate
	}
	s.refill(rate, now)
	return s.allow >= 1
}

// fail counts a failure; weight failuresDown sets the server aside at once.
func (s *server) fail(weight int, now time.Time) {
	s.failures += weight
	if s.failures < failuresDown {
		return
	}
	n := min(s.failures/failuresDown-1, 8)
	s.downUntil = now.Add(min(firstBackoff<<n, maxBackoff))
	s.probing = false
	s.probation = true
	s.beats = 0
}

// cost is what speaks against sending a request to a server.
type cost struct {
	// score orders the servers, time is the expected time to the first byte.
	// The score also holds what a choice costs others, and doubts.
	score, time time.Duration
	// unread is the part of the prompt that is to be read, in tokens.
	unread int
}

// cost rates the server under a load for a request; rank is that of the server
// for the prefix.
func (s *server) cost(l Load, req *Request, m *model, rank int, now time.Time) cost {
	slow := s.slowness(now)
	hit := s.cache.hit(req.Parts, now)
	c := cost{unread: max(req.Prompt-hit, 0)}
	c.time = scale(m.ReadTime(l.Unread+c.unread)+time.Duration(l.Running)*batchDelay, slow)
	c.time += s.queue(l, m)
	c.score = c.time + time.Duration(s.errors*float64(errorDelay))
	if missed := m.ReadTime(req.Shared() - hit); missed > 0 {
		c.score += scale(missed, (MissWeight-1)*slow+float64(rank)*rankWeight)
	}
	c.score += m.stall(l, req, c.unread, s.reading.get(now))
	if req.Connected != nil && !req.Connected(s.Addr) {
		c.score += dialDelay
	}
	if now.Before(s.fullUntil) {
		c.score += fullDelay
	}
	if slots := s.slots(m); slots > 0 && l.Running >= slots {
		c.score += fullDelay
	}
	return c
}

// candidate rates the server for a request.
func (s *server) candidate(req *Request, m *model, rank int, now time.Time) candidate {
	l := s.total()
	c := candidate{server: s, load: l, cost: s.cost(l, req, m, rank, now), slope: batchDelay + m.ReadTime(req.Prompt)}
	slots := s.slots(m)
	if slots == 0 {
		c.free = math.Inf(1)
		return c
	}
	c.free = float64(max(slots-l.Running, 0))
	if l.Running >= slots {
		c.slope += m.Held / time.Duration(slots)
	}
	return c
}

// slots returns the number of requests that the server works on at once.
func (s *server) slots(m *model) int { return max(s.Slots, m.Slots) }

// queue returns the expected wait for a place in the batch and in the memory.
func (s *server) queue(l Load, m *model) time.Duration {
	var d time.Duration
	if slots := s.slots(m); slots > 0 && l.Running >= slots {
		d += m.Held * time.Duration(l.Running-slots+1) / time.Duration(slots)
	}
	if over := float64(l.Memory) - memoryShare*float64(m.Cache); m.Cache > 0 && over > 0 {
		d += 2 * m.ReadTime(int(over))
	}
	return d
}

// model is what is known of all servers of a service.
type model struct {
	spec.Service
	Pace
}

// scale multiplies a duration.
func scale(d time.Duration, x float64) time.Duration { return time.Duration(float64(d) * x) }
