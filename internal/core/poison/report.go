package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/pick"
)

// Bounds of one report. Reports of all regions must fit into one frame between hosts.
const (
	maxReportedCrashes = 32
	maxReportedBegun   = 32
)

// Crash reports that a process ended under a request with a part whose response had not
// begun. Position is that of the part in the prompt.
type Crash struct {
	Part     Part          `cbor:"1,keyasint"`
	Position int           `cbor:"2,keyasint,omitempty"`
	Process  pick.Process  `cbor:"3,keyasint"`
	Age      time.Duration `cbor:"4,keyasint"`
	// Ran is the time from the send of the request to its end.
	Ran time.Duration `cbor:"5,keyasint,omitempty"`
}

// Begun reports when a response to a request with a part last began.
type Begun struct {
	Part Part          `cbor:"1,keyasint"`
	Age  time.Duration `cbor:"2,keyasint"`
}

// Suspect reports that a part is suspected, and for how long.
type Suspect struct {
	Part Part          `cbor:"1,keyasint"`
	Age  time.Duration `cbor:"2,keyasint"`
}

// Report is what hosts report to each other about the parts of prompts of one service.
type Report struct {
	Crashes  []Crash   `cbor:"1,keyasint,omitempty"`
	Begun    []Begun   `cbor:"2,keyasint,omitempty"`
	Suspects []Suspect `cbor:"3,keyasint,omitempty"`
}

// Empty reports whether the report holds nothing.
func (r *Report) Empty() bool { return len(r.Crashes)+len(r.Begun)+len(r.Suspects) == 0 }

// Report returns what this host knows from a scope or a nearer one, and the suspected
// parts. It leaves out crashes that a suspected part explains.
func (d *Detector) Report(s Scope, now time.Time) Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(now)
	var r Report
	for part, x := range d.suspects {
		r.Suspects = append(r.Suspects, Suspect{part, max(now.Sub(x.since), 0)})
	}
	r.Crashes = d.reportCrashes(s, now)
	r.Begun = d.reportBegun(s, now)
	return r
}

// reportCrashes returns the crashes under the likeliest causes, of those with equally many
// crashes the newest: others have received the older ones before.
func (d *Detector) reportCrashes(s Scope, now time.Time) []Crash {
	explained := d.explained()
	list := d.candidates(explained, 1, now)
	slices.SortStableFunc(list, func(a, b candidate) int { return cmp.Or(cmp.Compare(b.n, a.n), b.last.Compare(a.last)) })
	var out []Crash
	for _, c := range list {
		if !c.reported(now) {
			continue
		}
		for _, x := range c.list {
			if len(out) >= maxReportedCrashes {
				return out
			}
			if _, found := explained[x.process]; x.scope <= s && !found && x.at.After(c.begun) {
				out = append(out, Crash{c.part, c.position, x.process, max(now.Sub(x.at), 0), max(x.at.Sub(x.sent), 0)})
			}
		}
	}
	return out
}

const (
	// watchTime is how long after a crash other hosts are told when a response to a
	// request with one of its parts has begun.
	watchTime = time.Minute
	// repeatTime is how long a single crash under a part is repeated in reports, so that
	// lost ones have no effect. A process that ends takes up to 64 requests with it,
	// most of which come only once.
	repeatTime = 5 * time.Second
)

// reported reports whether other hosts need to know of the crashes.
func (c *crashes) reported(now time.Time) bool {
	age := now.Sub(c.last)
	return age <= repeatTime || len(c.list) > 1 && age <= crashTTL
}

// reportBegun returns when responses have begun to requests with the parts about which other
// hosts need to know: those that are or were suspected, and those with recent crashes.
func (d *Detector) reportBegun(s Scope, now time.Time) []Begun {
	var list []Begun
	add := func(part Part) {
		if at := d.begun.within(part, s); !at.IsZero() && now.Sub(at) <= crashTTL {
			list = append(list, Begun{part, max(now.Sub(at), 0)})
		}
	}
	for part := range d.cleared {
		add(part)
	}
	for part := range d.suspects {
		add(part)
	}
	for part, c := range d.crashed {
		if now.Sub(c.last) <= watchTime && c.reported(now) && d.suspects[part] == nil && d.cleared[part].at.IsZero() {
			add(part)
		}
	}
	slices.SortFunc(list, func(a, b Begun) int { return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Part, b.Part)) })
	return list[:min(len(list), maxReportedBegun)]
}

// Merge adds the report of another host, of this region or a remote one. It returns
// what has changed.
func (d *Detector) Merge(r Report, s Scope, received time.Time) []Change {
	if r.Empty() {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	var changes []Change
	for _, b := range r.Begun {
		changes = append(changes, d.recordBegun(b.Part, received.Add(-b.Age), s, received)...)
	}
	for _, x := range r.Suspects {
		changes = append(changes, d.adopt(x.Part, received.Add(-x.Age), received)...)
	}
	added := false
	for _, c := range r.Crashes {
		at := received.Add(-c.Age)
		if c.Position < 0 || c.Position > MaxParts || received.Sub(at) > crashTTL {
			continue
		}
		added = d.addCrash(c.Part, c.Position, crash{c.Process, at.Add(-c.Ran), at, s}, received) || added
	}
	// Only now, since a part must not be suspected before all parts of the report that
	// may explain its crashes are known.
	if s == Region {
		for _, c := range r.Crashes {
			changes = append(changes, d.recordEnd(c.Process, received)...)
		}
	}
	if added {
		changes = append(changes, d.evaluate(received)...)
	}
	return changes
}

// adopt suspects a part that another host has suspected since a time, unless a response to
// a request with it has begun later.
func (d *Detector) adopt(part Part, since, now time.Time) []Change {
	if d.suspects[part] != nil || d.begunSince(part, since) || d.cleared[part].at.After(since.Add(-maxSkew)) {
		return nil
	}
	d.suspect(part, &suspect{since: since, asked: now})
	return []Change{{Part: part}}
}

// suspect adds a suspected part. If there are too many, it removes the one that was asked
// for least recently.
func (d *Detector) suspect(part Part, s *suspect) {
	for len(d.suspects) >= maxSuspects {
		oldest := part
		for other, x := range d.suspects {
			if oldest == part || x.asked.Before(d.suspects[oldest].asked) {
				oldest = other
			}
		}
		delete(d.suspects, oldest)
	}
	delete(d.cleared, part)
	r, listed := d.records[part]
	s.probes = r.Probes
	if !listed {
		s.unlisted = s.asked
	}
	d.suspects[part] = s
}

// expire removes what is too old.
func (d *Detector) expire(now time.Time) {
	maps.DeleteFunc(d.crashed, func(_ Part, c *crashes) bool { return now.Sub(c.last) > crashTTL })
	maps.DeleteFunc(d.cleared, func(_ Part, c clearance) bool { return now.Sub(c.at) > clearedTTL })
	maps.DeleteFunc(d.suspects, func(_ Part, s *suspect) bool { return now.Sub(s.asked) > suspectTTL })
}
