package retry

import (
	"maps"
	"time"
)

const (
	// memberMemory is how long a host counts that is no longer known: others may not have
	// noticed yet that it is gone, and it may only be cut off.
	memberMemory = time.Minute
	// raiseTime is how long a greater part has to hold before it replaces a smaller one.
	raiseTime = 10 * time.Second
	// maxListAge is the age of the list of hosts from which on a host that does not hear
	// all others may be forgotten by them. It is below raiseTime, so that it gives up its
	// part before they divide it.
	maxListAge = 5 * time.Second
)

// Members is what one host knows of the hosts of its region.
type Members struct {
	// Names are those of the hosts that are registered or reachable, with this host.
	Names []string
	// Reachable is the number of hosts that have been heard of lately, with this one.
	Reachable int
	// Regions is the number of regions of the whole system.
	Regions int
	// ListAge is the time since the list of registered hosts was known to be current.
	ListAge time.Duration
}

// Division divides retries among all hosts, as one of them sees it: in equal parts among the
// regions, whose number is fixed, and then among the hosts of the region. Hosts that know
// different ones of the others hold no more in sum: a part is lowered at once and raised only
// after raiseTime, and a host that may be forgotten by the others holds firstPart. It is not
// safe for concurrent use. The zero value is ready to use.
type Division struct {
	// First is set when the whole system starts with this host: no other one has a part
	// yet, so that it need not wait for its own.
	First bool

	seen map[string]time.Time // when a host of the region was last known
	part float64
	// higher is the least of the greater parts since higherSince, which is zero if the
	// last part was not greater.
	higher      float64
	higherSince time.Time
}

// Part returns the part of the retries that falls to the host.
func (d *Division) Part(retries float64, m Members, now time.Time) float64 {
	if d.seen == nil {
		d.seen = make(map[string]time.Time)
		d.part = firstPart
		if d.First {
			d.part = retries
		}
	}
	for _, name := range m.Names {
		d.seen[name] = now
	}
	maps.DeleteFunc(d.seen, func(_ string, at time.Time) bool { return now.Sub(at) > memberMemory })
	part := retries / float64(max(m.Regions, 1)*max(len(d.seen), 1))
	if m.ListAge > maxListAge && m.Reachable < len(d.seen) {
		part = min(part, firstPart)
	}
	return d.adopt(part, now)
}

// adopt returns the part in force after part was computed.
func (d *Division) adopt(part float64, now time.Time) float64 {
	switch {
	case part <= d.part:
		d.part = part
		d.higherSince = time.Time{}
	case d.higherSince.IsZero():
		d.higher, d.higherSince = part, now
	default:
		d.higher = min(d.higher, part)
		if now.Sub(d.higherSince) >= raiseTime {
			d.part = d.higher
			d.higherSince = time.Time{}
		}
	}
	return d.part
}
