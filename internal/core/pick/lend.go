package pick

import (
	"maps"
	"math"
	"slices"
	"time"
)

// HostRoom is the room that a host has at the servers of a service with refusal limits,
// as hosts of a region report it to each other.
type HostRoom struct {
	// Own is the number of requests for which there is room whatever the other hosts
	// send, Running that of requests in progress, and Waiting that of those that wait
	// for room.
	Own     int `cbor:"1,keyasint,omitempty"`
	Running int `cbor:"2,keyasint,omitempty"`
	Waiting int `cbor:"3,keyasint,omitempty"`
	// Limited is set if a server has a refusal limit, and Limit is the least one.
	Limited bool `cbor:"4,keyasint,omitempty"`
	Limit   int  `cbor:"5,keyasint,omitempty"`
	// Idle is set if the host does not use its part: it has just started, or stops.
	Idle bool `cbor:"6,keyasint,omitempty"`
}

// lentTTL is the age after which a report about room no longer counts.
const lentTTL = 1500 * time.Millisecond

// busyWeight is the weight, as a part of its own slots, of a host at which none is free
// but no request waits: one will be free soon.
const busyWeight = 0.1

// lender is another host of the region whose room this host may use, by sending requests
// to it.
type lender struct {
	HostRoom
	reported time.Time
	// sent is the number of requests that this host has sent there since the report,
	// less those that have ended.
	sent int
	// full is set once the host has refused a request since the report.
	full bool
}

// weight returns how many more requests the host has room for, a small part of its own
// slots if it has none free and no request waits, and 0 if it should get none.
func (l *lender) weight(now time.Time) float64 {
	if l.full || l.Own == 0 || now.Sub(l.reported) > lentTTL {
		return 0
	}
	free := float64(min(l.Own-l.Running-l.Waiting-l.sent, l.Own))
	own := float64(l.Own)
	return math.Max(free, busyWeight*math.Min(own+free, own))
}

// HostRoom returns what this host reports about its room, the zero value if no server has a
// refusal limit. The argument waiting is the number of requests that wait.
func (t *Table) HostRoom(waiting int, now time.Time) HostRoom {
	t.mu.Lock()
	defer t.mu.Unlock()
	var r HostRoom
	for _, s := range t.servers {
		limit, limited := t.refusalLimit(s)
		if !limited {
			continue
		}
		if !r.Limited || limit < r.Limit {
			r.Limit = limit
		}
		r.Limited = true
		r.Idle = !t.hosts.Discovered
		r.Waiting = waiting
		if t.leaving(s) {
			continue
		}
		if !t.usable(s, &Request{}, now) && s.local.Running == 0 {
			continue // it gets nothing at all
		}
		own := t.hostsAt(now).room(s.room(&t.model), limit, t.rank(s)).own
		r.Own += int(math.Min(float64(own), s.refusals.limit(now)))
		r.Running += min(s.local.Running, own)
	}
	return r
}

// MergeRoom replaces what another host of the region has reported about its room, the zero
// value if no server has a refusal limit.
func (t *Table) MergeRoom(host string, r HostRoom, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lenders[host] = &lender{HostRoom: r, reported: now}
}

// roomLimit is refusalLimit for a host that may know of no statement yet: the least limit
// that the others report holds then.
func (t *Table) roomLimit(s *server, now time.Time) (limit int, limited bool) {
	if len(t.refusalLimits) > 0 {
		return t.refusalLimit(s)
	}
	for _, l := range t.lenders {
		if l.Limited && now.Sub(l.reported) <= lentTTL && (!limited || l.Limit < limit) {
			limit, limited = l.Limit, true
		}
	}
	return limit, limited
}

// unused reports whether one of the hosts that share limits has reported nothing lately, or
// that it does not use its part of the room.
func (t *Table) unused(now time.Time) bool {
	return slices.ContainsFunc(t.hosts.Hosts, func(host string) bool {
		l := t.lenders[host]
		return host != t.hosts.Self && (l == nil || l.Idle || now.Sub(l.reported) > lentTTL)
	})
}

// Lenders returns the hosts of the region that have room for a request at servers with
// refusal limits, with weights by which to choose one.
func (t *Table) Lenders(now time.Time) map[string]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make(map[string]float64)
	for host, l := range t.lenders {
		if w := l.weight(now); w > 0 {
			list[host] = w
		}
	}
	return list
}

// Lend records that a request is sent to a host that has room.
func (t *Table) Lend(host string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.lenders[host]; l != nil {
		l.sent++
	}
}

// Lent records the end of a request that was sent to a host that had room, and whether it
// had none after all.
func (t *Table) Lent(host string, full bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.lenders[host]; l != nil {
		l.sent--
		l.full = l.full || full
	}
}

// expireLenders removes old reports.
func (t *Table) expireLenders(now time.Time) {
	maps.DeleteFunc(t.lenders, func(_ string, l *lender) bool { return now.Sub(l.reported) > lentTTL })
}
