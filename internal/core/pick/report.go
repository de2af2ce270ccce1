package pick

import (
	"maps"
	"slices"
	"time"
)

// placementRepeat is how long a placement is repeated in reports, so that a single
// lost report has no effect.
const placementRepeat = time.Second

// loadTTL is how long the loads that a host has reported count after its last report. A host that
// has ended, or does not come back under its name, reports none any more.
const loadTTL = 5 * time.Second

// expireLoads removes the loads of hosts that report none any more.
func (t *Table) expireLoads(now time.Time) {
	for host, at := range t.reported {
		if now.Sub(at) <= loadTTL {
			continue
		}
		delete(t.reported, host)
		for _, s := range t.servers {
			delete(s.peers, host)
			s.updateLateShare(&t.model, now)
		}
	}
}

// MergePeer replaces the loads that another host of the region has reported for its
// requests, by server, and applies its placements.
func (t *Table) MergePeer(host string, loads map[string]Load, placements []Placement, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reported[host] = now
	for id, s := range t.servers {
		l, ok := loads[id]
		if !ok {
			delete(s.peers, host)
		} else {
			s.peers[host] = l
		}
		s.updateLateShare(&t.model, now)
	}
	for _, p := range placements {
		if s := t.servers[p.Server]; s != nil && len(p.Parts) <= MaxParts {
			s.cache.put(p.Parts, t.cacheLimit(), now)
		}
	}
}

// Report returns the load of this host's requests by server, and its placements
// within placementRepeat without duplicates.
func (t *Table) Report(now time.Time) (map[string]Load, []Placement) {
	t.mu.Lock()
	defer t.mu.Unlock()
	loads := make(map[string]Load)
	for id, s := range t.servers {
		if s.local != (Load{}) {
			loads[id] = s.local
		}
	}
	t.placements = slices.DeleteFunc(t.placements, func(p timedPlacement) bool { return now.Sub(p.at) > placementRepeat })
	type placementKey struct {
		server string
		prefix uint64
	}
	seen := make(map[placementKey]bool)
	list := make([]Placement, 0, len(t.placements))
	for _, p := range t.placements {
		if k := (placementKey{p.Server, p.prefix()}); !seen[k] {
			seen[k] = true
			list = append(list, p.Placement)
		}
	}
	return loads, list
}

// maxCachedParts bounds the cached parts that are reported to other regions.
const maxCachedParts = 256

// waitUnit is the unit of CachedPart.Wait, and maxWaitUnits bounds it.
const (
	waitUnit     = 10 * time.Millisecond
	maxWaitUnits = 255
)

// CachedPart is a part that servers are expected to have cached.
type CachedPart struct {
	Key uint32 // see ShortKey
	// Wait is the expected time to the first byte of a short request, in units of
	// waitUnit, at the server with the part that is the first to be free.
	Wait uint8
	used time.Time
}

// CachedParts returns the parts that servers are expected to have cached. If there are more
// than maxCachedParts, it returns the most recently used ones.
func (t *Table) CachedParts(now time.Time) []CachedPart {
	t.mu.Lock()
	defer t.mu.Unlock()
	parts := make(map[uint32]CachedPart)
	for _, s := range t.servers {
		if t.leaving(s) {
			continue
		}
		wait := uint8(min(t.shortWait(s, t.wait(s, true, now), now)/waitUnit, maxWaitUnits))
		for key, e := range s.cache.entries {
			if now.Sub(e.used) >= prefixTTL {
				continue
			}
			k := ShortKey(key)
			p, known := parts[k]
			if !known || wait < p.Wait {
				p.Wait = wait
			}
			if e.used.After(p.used) {
				p.used = e.used
			}
			p.Key = k
			parts[k] = p
		}
	}
	list := slices.SortedFunc(maps.Values(parts), func(a, b CachedPart) int { return b.used.Compare(a.used) })
	return list[:min(len(list), maxCachedParts)]
}

// WaitOf returns the wait that the wait of a CachedPart stands for.
func WaitOf(units uint8) time.Duration { return time.Duration(units) * waitUnit }

// shortWait returns the expected time to the first byte of a short request at a server, with
// the time until it accepts another request.
func (t *Table) shortWait(s *server, w Wait, now time.Time) time.Duration {
	return w.For + s.cost(s.total(), &Request{}, &t.model, 0, now).time
}

// ShortKey returns the short form of a part's key that is used in reports.
func ShortKey(prefix uint64) uint32 { return uint32(prefix >> 32) }

// Summary is the state of a service in a region, as reported to other regions under
// the names of its fields.
type Summary struct {
	// Servers is the number of usable servers. Wait is the expected time to the
	// first byte of a short request, averaged over the better half of these
	// servers, to which requests go. It includes the time until a server with a
	// limit accepts another request.
	Servers int
	Wait    time.Duration
	// Limited is set if all usable servers have got what their limits allow, or have
	// a refusal limit and no room.
	Limited bool
	// Free is the number of free batch slots of engines: Slots is the number of all. Both
	// are 0 for plain services, whose few slots change hands too often for a report to tell
	// how many will be free.
	Free, Slots int
}

// Summary returns the state of the service in the local region.
func (t *Table) Summary(now time.Time) Summary {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := Summary{Limited: true}
	var waits []time.Duration
	for _, s := range t.servers {
		if t.leaving(s) || t.pause(s, now) > 0 || s.failures >= failureThreshold || s.slowStart(now) {
			continue
		}
		w := t.wait(s, true, now)
		sum.Servers++
		sum.Limited = sum.Limited && (w.Limited || w.Full)
		waits = append(waits, t.shortWait(s, w, now))
		if slots := s.slots(&t.model); slots > 0 && t.model.Engine {
			sum.Slots += slots
			sum.Free += max(slots-s.total().Running, 0)
		}
	}
	if sum.Servers == 0 {
		return Summary{}
	}
	sum.Wait = lowerMean(waits)
	return sum
}

// lowerMean returns the mean of the lower half of list, which must not be
// empty.
func lowerMean(list []time.Duration) time.Duration {
	slices.Sort(list)
	half := list[:(len(list)+1)/2]
	var sum time.Duration
	for _, d := range half {
		sum += d
	}
	return sum / time.Duration(len(half))
}
