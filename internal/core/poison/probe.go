package poison

import (
	"math"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/eras"
)

// Record is what the store holds of the suspicion of a part. It outlives the hosts, and
// only the host that replaces it may send a probe.
type Record struct {
	Part Part
	// Probes is the number of probes allowed so far.
	Probes int
	Rev    eras.Revision
}

// holds are the times for which no request with a suspected part is sent: from the
// beginning of the suspicion to the first probe, from this to the next, and so on. The
// last one repeats. A whole request waits as requestHolds tells: it may end up to 64 others
// with its server, and nobody else misses it. After as many probes it is not sent until it
// has not come for suspectTTL.
var (
	holds        = []time.Duration{15 * time.Second, 45 * time.Second, 2 * time.Minute, 5 * time.Minute}
	requestHolds = []time.Duration{time.Minute, 5 * time.Minute}
)

// hold returns the time to the next probe of a part.
func hold(part Part, probes int) time.Duration {
	probes = max(probes, 0)
	switch {
	case !part.Whole():
		return holds[min(probes, len(holds)-1)]
	case probes < len(requestHolds):
		return requestHolds[probes]
	}
	return never
}

// never is a time to a probe that is not reached.
const never = time.Duration(math.MaxInt64)

// minWait is the least time after which a refused request should come again: a probe that
// is due is sent and answered meanwhile.
const minWait = 2 * time.Second

// Verdict is whether a request may be sent.
type Verdict struct {
	// Refuse is set if it may not; Part is then the suspected part, Index its position
	// and Wait the time until a probe may be sent, at least minWait.
	Refuse bool
	Index  int
	Wait   time.Duration
	// Probe is set if the request is a probe: it has one suspected part and may be sent
	// all the same. A probe that was not run must be returned.
	Probe bool
	Part  Part
}

// Check reports whether a request with these parts may be sent. Only one with a single
// suspected part can be a probe: its outcome tells something about that part.
func (d *Detector) Check(parts []Part, now time.Time) Verdict {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.suspects) == 0 {
		return Verdict{}
	}
	v := Verdict{}
	n := 0
	for i, part := range parts[:min(len(parts), MaxParts+1)] {
		s := d.suspects[part]
		if s == nil {
			continue
		}
		n++
		s.asked = now
		wait := suspectTTL
		if h := hold(part, s.probes); h < never {
			wait = max(h-now.Sub(s.since), minWait)
		}
		if !v.Refuse || wait > v.Wait {
			v = Verdict{Refuse: true, Index: i, Wait: wait, Part: part}
		}
	}
	if n != 1 || !d.suspects[v.Part].probeDue(v.Part, now) {
		return v
	}
	d.suspects[v.Part].sent = true
	return Verdict{Probe: true, Part: v.Part}
}

// replaceTime is how long before the next hold ends a host may no longer send a probe that
// it was allowed: another one may have read the record this much earlier, and replaces it.
const replaceTime = 2 * time.Second

// probeDue reports whether this host may send a probe: it has replaced the record, and no
// other one may have replaced it since.
func (s *suspect) probeDue(part Part, now time.Time) bool {
	h := hold(part, s.probes)
	return s.allowed > 0 && s.allowed == s.probes && !s.sent && (h == never || now.Sub(s.since) < h-replaceTime)
}

// ReturnProbe allows another request to be the probe of a part: the first one was not run.
func (d *Detector) ReturnProbe(part Part) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.suspects[part]; s != nil {
		s.sent = false
	}
}

// Suspects returns the number of suspected parts.
func (d *Detector) Suspects() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.suspects)
}

// unlistedTime is how long a host that has seen no crash under a part itself leaves it to
// others to write the record of its suspicion.
const unlistedTime = 1500 * time.Millisecond

// recordDelay bounds the time from the removal of a record to the time at which this host
// no longer reads it.
const recordDelay = 10 * time.Second

// Records takes over the records that the store lists at now. It suspects parts whose
// record is new to this host, since other hosts may have ended meanwhile.
func (d *Detector) Records(list []Record, now time.Time) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	var changes []Change
	listed := make(map[Part]Record, len(list))
	for _, r := range list {
		listed[r.Part] = r
		if d.records[r.Part].Rev == r.Rev {
			continue
		}
		d.records[r.Part] = r
		if s := d.suspects[r.Part]; s != nil {
			if r.Probes > s.probes {
				s.probes = r.Probes
				s.since = now
			}
			continue
		}
		if !d.begunSince(r.Part, now.Add(-recordDelay)) {
			changes = append(changes, d.adopt(r.Part, now, now)...)
		}
	}
	for part := range d.records {
		if _, ok := listed[part]; !ok {
			delete(d.records, part)
		}
	}
	for part, s := range d.suspects {
		if _, ok := listed[part]; ok {
			s.unlisted = time.Time{}
		} else if s.unlisted.IsZero() {
			s.unlisted = now
		}
	}
	return changes
}

// Writes returns the records that this host should write: those of suspected parts that
// the store does not list, and those of parts of which it may send a probe if it is the
// first to replace the record. The argument first is set at one host of each region.
func (d *Detector) Writes(first bool, now time.Time) []Record {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []Record
	for part, s := range d.suspects {
		listed := s.unlisted.IsZero()
		s.replacing = 0
		switch {
		case !listed && (s.own || first && now.Sub(s.unlisted) > unlistedTime):
			list = append(list, Record{Part: part, Probes: s.probes})
		case listed && !s.probeDue(part, now) && now.Sub(s.since) >= hold(part, s.probes) && now.Sub(s.asked) < time.Second:
			s.replacing = s.probes + 1
			list = append(list, Record{Part: part, Probes: s.replacing, Rev: d.records[part].Rev})
		}
	}
	return list
}

// Written records that this host has replaced the record of a part by r, by a call that began at asked: the
// answer may have come late.
func (d *Detector) Written(r Record, asked time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.records[r.Part] = r
	s := d.suspects[r.Part]
	if s == nil {
		return
	}
	s.unlisted = time.Time{}
	if r.Probes == s.replacing && r.Probes >= s.probes { // the host may have read r already
		s.probes = r.Probes
		s.since = asked
		s.allowed, s.sent = r.Probes, false
	}
}

// Removals returns the records that this host should remove: those of parts that were
// suspected wrongly, as it has seen itself or, if first is set, another host has. The
// argument first is that of Writes.
func (d *Detector) Removals(first bool) []Record {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []Record
	for part, c := range d.cleared {
		if r, ok := d.records[part]; ok && (c.own || first) {
			list = append(list, r)
		}
	}
	return list
}

// Removed records that the store no longer holds a record.
func (d *Detector) Removed(r Record) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.records[r.Part].Rev == r.Rev {
		delete(d.records, r.Part)
	}
}
