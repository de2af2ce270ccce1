package pick

import (
	"math"
	"slices"
	"time"
)

const (
	// refusalWindow is how long a refusal counts: the second of the limit, and a margin
	// for the time between server and host.
	refusalWindow = 1250 * time.Millisecond
	// refusalPercent is the part of a refusal limit, in percent, that the hosts divide.
	// The rest is for requests within their parts of the room that are refused all the
	// same, and for hosts that count fewer hosts than there are.
	refusalPercent = 75
	// spareSlots is the number of slots of which one is left free if a refusal is too
	// much for some host with own slots: a new connection may hold one for a moment.
	spareSlots = 8
	// windowGrowth is the part by which the window of a server grows in a second, at
	// least one request.
	windowGrowth = 0.25
	// minRoomWait is the least time after which a server is expected to have room.
	minRoomWait = 50 * time.Millisecond
)

// room is the part of a server's room that falls to this host while the server has a
// refusal limit.
type room struct {
	// own is the number of requests in progress for which there is room whatever the
	// other hosts send.
	own int
	// refusals is the number of refusals within refusalWindow that this host may
	// cause. It may have as many requests beyond own in progress.
	refusals int
}

// room divides the slots of a server and its refusal limit among the hosts. What is left
// over goes to the lowest ranks. Only hosts with own slots have a part of the refusals.
func (h *RegionHosts) room(slots, limit, rank int) room {
	if !h.Discovered && len(h.Hosts) > 0 {
		return room{}
	}
	n := max(len(h.Hosts), 1)
	refusals := limit * refusalPercent / 100
	if h.lapsed {
		refusals = int(float64(refusals) * lapsedRefusalShare)
	}
	sharing := min(n, slots)
	if refusals < sharing && slots > 1 && slots < math.MaxInt32 {
		slots -= (slots + spareSlots - 1) / spareSlots
	}
	r := room{own: part(slots, n, rank)}
	if rank < sharing {
		r.refusals = part(refusals, sharing, rank)
	}
	return r
}

// part returns the part of a total that falls to the host with a rank among n.
func part(total, n, rank int) int {
	p := total / n
	if rank >= 0 && rank < total%n {
		p++
	}
	return p
}

// refusal is a refusal by a server with a refusal limit.
type refusal struct {
	at time.Time
	// extra is set if the request was beyond this host's own part of the room.
	extra bool
}

// refusals are those by one server within refusalWindow, and what follows from them.
type refusals struct {
	list []refusal
	// window bounds the requests in progress since cutAt, when the last refusal
	// lowered it. It is 0 before the first one and once it has grown back.
	window float64
	cutAt  time.Time
	// only is set while the server has refused this host's requests within its own part
	// of the room, and has served none since.
	only bool
}

// maxRefusals bounds the refusals that are remembered for a server; older ones are
// dropped first.
const maxRefusals = 256

// add records a refusal with running requests left in progress.
func (r *refusals) add(extra bool, running int, now time.Time) {
	if len(r.list) >= maxRefusals {
		r.list = slices.Delete(r.list, 0, 1)
	}
	r.list = append(r.list, refusal{at: now, extra: extra})
	r.only = r.only || !extra
	w := r.limit(now)
	if math.IsInf(w, 1) {
		w = float64(running)
	}
	r.window = min(max(float64(running), w/2), w)
	r.window = max(r.window, minWindow)
	r.cutAt = now
}

// minWindow is the least window: it lets one request through.
const minWindow = 0.5

// limit returns the window at now.
func (r *refusals) limit(now time.Time) float64 {
	if r.window == 0 {
		return math.Inf(1)
	}
	return r.window + now.Sub(r.cutAt).Seconds()*max(1, r.window*windowGrowth)
}

// count removes refusals that no longer count, and returns the number of the others and
// whether one of them was within this host's own part.
func (r *refusals) count(now time.Time) (n int, own bool) {
	r.list = slices.DeleteFunc(r.list, func(x refusal) bool { return now.Sub(x.at) >= refusalWindow })
	for _, x := range r.list {
		own = own || !x.extra
	}
	return len(r.list), own
}

// room returns the number of requests that the server processes at once.
func (s *server) room(m *model) int {
	switch {
	case s.Slots > 0:
		return s.Slots
	case m.Slots > 0:
		return m.Slots
	}
	return math.MaxInt32 // unknown: only refusals show it
}

// full reports whether a server with a refusal limit has no room for a request, and
// whether a request that it may get is beyond this host's own part of the room.
func (t *Table) full(s *server, req *Request, now time.Time) (full, extra bool) {
	limit, limited := t.roomLimit(s, now)
	if !limited {
		return false, false
	}
	slots := s.room(&t.model)
	r := t.hostsAt(now).room(slots, limit, t.rank(s))
	running := s.local.Running
	if w := s.refusals.limit(now); float64(running) >= w {
		if w < float64(r.own+r.refusals) {
			return true, false
		}
		s.refusals.window = 0
	}
	refused, own := s.refusals.count(now)
	if own && refused >= max(r.refusals, 1) {
		return true, false
	}
	if s.refusals.only && running+refused >= max(r.refusals, 1) {
		return true, false // those in progress may be refused as well
	}
	if running < r.own {
		return false, false
	}
	if !req.Extra || !t.unused(now) || running >= r.own+r.refusals-refused || s.total().Running >= slots {
		return true, false
	}
	return false, true
}

// roomWait returns the time until a server that is full is expected to have room.
func (t *Table) roomWait(s *server, now time.Time) time.Duration {
	d := t.model.SlotTime / time.Duration(max(s.total().Running, 1)) // others lend their room
	if refused, own := s.refusals.count(now); own && refused > 0 {
		d = max(d, s.refusals.list[0].at.Add(refusalWindow).Sub(now))
	}
	return min(max(d, minRoomWait), maxPause)
}

// Room returns the number of requests that this host may have in progress at servers with a
// refusal limit if the other hosts leave room.
func (t *Table) Room() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := 0
	for _, s := range t.servers {
		if limit, limited := t.refusalLimit(s); limited && !t.leaving(s) {
			r := t.hosts.room(s.room(&t.model), limit, t.rank(s))
			sum += min(r.own+r.refusals, s.room(&t.model), maxRefusals)
		}
	}
	return sum
}
