package retry

import (
	"time"

	"github.com/yuccalb/yuccalb/internal/core/roster"
)

const (
	// raiseTime is how long a greater part has to hold before it replaces a smaller one.
	raiseTime = 10 * time.Second
	// firstTime is how long a host of a first start may have its part before the others are
	// known to count it: it takes a while until its entry is written and read.
	firstTime = 6 * time.Second
)

// Division divides retries among all hosts, as one of them sees it: in equal parts among the
// regions, whose number is fixed, and then among the hosts of the region that it has known lately.
// Hosts that know different ones of the others hold no more in sum: a part is lowered at once and
// raised only after raiseTime, and a host that others may have forgotten holds firstPart. It is not
// safe for concurrent use. The zero value is ready to use.
type Division struct {
	// First is set when the whole system starts with this host: no other one has a part
	// yet, so that it need not wait for its own.
	First bool

	part float64
	// begun is when the first part was computed, and held is set once the others were known
	// to count this host.
	begun time.Time
	held  bool
	// higher is the least of the greater parts since higherSince, which is zero if the
	// last part was not greater.
	higher      float64
	higherSince time.Time
}

// Part returns the part of the retries that falls to the host, which is a member of one of some
// regions.
func (d *Division) Part(retries float64, regions int, m roster.Members, now time.Time) float64 {
	if d.begun.IsZero() {
		d.begun = now
		d.part = firstPart
		if d.First {
			d.part = retries
		}
	}
	d.held = d.held || m.Holds(now)
	part := retries / float64(max(regions, 1)*max(m.Lately, 1))
	if first := d.First && !d.held && now.Sub(d.begun) < firstTime; !first && !m.Holds(now) {
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
