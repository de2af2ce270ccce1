package pick

import "time"

// queueFraction is the inverse of the part of a server's batch slots that deferrable requests
// may have waiting there. They keep the batch full; further ones wait at their hosts, from
// which they can go to any server, and leave the queue of the server to other requests.
const queueFraction = 4

// open returns how many requests a server with a number of slots may have when it gets a
// deferrable one.
func open(slots int) int { return slots + slots/queueFraction }

// reserved reports whether a server has room left only for requests other than a deferrable
// one.
func (t *Table) reserved(s *server, req *Request) bool {
	slots := s.slots(&t.model)
	return req.Deferrable && slots > 0 && s.total().Running >= open(slots)
}

// Reserved reports whether a region has no room for a deferrable request, if n were sent
// there since it reported. The argument turns is how many requests a slot can serve meanwhile.
func (s *Summary) Reserved(n int, turns float64) bool {
	room := open(s.Slots) - (s.Slots - s.Free)
	return s.Slots > 0 && float64(n) >= float64(room)*(1+turns)
}

// deferred counts the deferrable requests that this host has sent within the interval of
// state reports.
type deferred struct {
	since time.Time
	sent  int
}

// recordDeferred counts a deferrable request.
func (t *Table) recordDeferred(now time.Time) {
	if now.Sub(t.deferred.since) >= t.hosts.ReportInterval {
		t.deferred = deferred{since: now}
	}
	t.deferred.sent++
}

// partExcess is the factor by which a host may exceed its part of the room, so that the room
// that hosts with less traffic leave is used.
const partExcess = 1.25

// spent reports whether this host has sent its part of the deferrable requests for which the
// servers have room until the next state reports: what is free, and what their slots become
// free for meanwhile. All hosts see the same room, and would together send many times as much.
// The parts are in proportion to the requests in progress, since hosts differ in size.
func (t *Table) spent(now time.Time) bool {
	n := len(t.hosts.Hosts)
	if n <= 1 || now.Sub(t.deferred.since) >= t.hosts.ReportInterval {
		return false
	}
	room, slots, own, all := 0, 0, 0, 0
	for _, s := range t.servers {
		if t.leaving(s) || s.failures >= failureThreshold {
			continue
		}
		k := s.slots(&t.model)
		running := s.total().Running
		slots += k
		room += max(open(k)-running, 0)
		own += s.local.Running
		all += running
	}
	turnover := float64(slots) * t.hosts.ReportInterval.Seconds() / max(t.model.SlotTime, time.Millisecond).Seconds()
	part := float64(own+1) / float64(all+n)
	return float64(t.deferred.sent) >= partExcess*part*(float64(room+t.deferred.sent)+turnover)
}

// Backlog returns how many requests of this host the servers can serve within a time, if each
// host of the region gets an equal part of their slots.
func (t *Table) Backlog(d time.Duration) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	slots := 0
	for _, s := range t.servers {
		if !t.leaving(s) && s.failures < failureThreshold {
			slots += s.slots(&t.model)
		}
	}
	n := max(len(t.hosts.Hosts), 1)
	return int(float64(slots) / float64(n) * d.Seconds() / max(t.model.SlotTime, time.Millisecond).Seconds())
}
