package pick

import "time"

// reserveFraction is the inverse of the part of a server's batch slots that deferrable
// requests leave free. A request that is not deferrable then finds a free slot on any server,
// also while hosts do not know yet what the others have just sent.
const reserveFraction = 8

// open returns how many of a number of slots deferrable requests may take.
func open(slots int) int { return slots - (slots+reserveFraction-1)/reserveFraction }

// reserved reports whether the free slots of a server are reserved for requests other than a
// deferrable one.
func (t *Table) reserved(s *server, req *Request) bool {
	slots := s.slots(&t.model)
	return req.Deferrable && slots > 0 && s.total().Running >= open(slots)
}

// Reserved reports whether the free slots of a region are reserved, if n requests were sent
// there since it reported. The argument turns is how many requests a slot can serve meanwhile.
func (s *Summary) Reserved(n int, turns float64) bool {
	room := open(s.Slots) - (s.Slots - s.Free)
	return s.Slots > 0 && float64(n) >= float64(room)*(1+turns)
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
