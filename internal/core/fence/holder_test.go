package fence

import (
	"cmp"
	"flag"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// init sets a fixed seed for property tests, which -rapid.seed on the command
// line overrides. Failures are not written to files, because later runs would
// replay them.
func init() {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.nofailfile", "true")
}

const (
	ttl       = 10 * time.Second
	maxEffect = 3 * time.Second
	gap       = 2 * time.Second
)

var (
	engine = netip.MustParseAddrPort("127.0.0.1:9001")
	start  = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
)

// candidate is a process that competes for the lease.
type candidate struct {
	*Holder
	drift int // of its clock, in parts per thousand
	// onResponse processes a response of the store that the process has not read
	// yet.
	onResponse func(now time.Time)
}

// localTime returns the time on the process's clock at a true time.
func (c *candidate) localTime(at time.Duration) time.Time {
	return start.Add(at + at*time.Duration(c.drift)/1000)
}

// trueTime returns the true time for a time on the process's clock.
func (c *candidate) trueTime(t time.Time) time.Duration {
	if t.Before(start) {
		return 0
	}
	return t.Sub(start) * 1000 / time.Duration(1000+c.drift)
}

// leaseStore grants one lease at a time.
type leaseStore struct {
	token   uint64
	until   time.Duration
	owner   *candidate
	pending []request
}

// request is a request for a lease, or for its renewal, in transit to the store.
// Its times are true times.
type request struct {
	from      *candidate
	asked, at time.Duration
}

// advance processes the requests that have arrived by now. A process reads the
// response at its next step.
func (s *leaseStore) advance(now time.Duration) {
	slices.SortStableFunc(s.pending, func(a, b request) int { return cmp.Compare(a.at, b.at) })
	for len(s.pending) > 0 && s.pending[0].at <= now {
		r := s.pending[0]
		s.pending = s.pending[1:]
		c, asked := r.from, r.from.localTime(r.asked)
		switch {
		case s.owner == c && r.at < s.until:
			s.until = r.at + ttl
			token := s.token
			c.onResponse = func(time.Time) { c.Renewed(token, asked, ttl) }
		case r.at >= s.until:
			s.token++
			s.owner, s.until = c, r.at+ttl
			token := s.token
			c.onResponse = func(now time.Time) { c.Acquired(token, asked, now, ttl) }
		}
	}
}

// effect is the period, in true time, in which an order is in effect on a server.
type effect struct {
	token    uint64
	from, to time.Duration
}

// TestPausedHolder guards against a paused holder and the next one having orders
// in effect at the same time on a server that ignores tokens. It simulates pauses
// at any step, store responses that are read late, early releases, and clocks
// that run at different rates. It also guards against loads that are ordered
// twice by one holder or closer together than the gap.
func TestPausedHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &leaseStore{}
		candidates := make([]*candidate, 2)
		for i := range candidates {
			candidates[i] = &candidate{
				Holder: NewHolder(maxEffect, NewSpacer(gap)),
				drift:  rapid.IntRange(-5, 5).Draw(t, "drift"),
			}
		}
		ms := func(name string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
		}
		var at time.Duration
		var effects []effect
		loads := map[string]uint64{}
		for range rapid.IntRange(10, 200).Draw(t, "steps") {
			c := rapid.SampledFrom(candidates).Draw(t, "candidate")
			switch rapid.IntRange(0, 4).Draw(t, "pass") {
			case 0:
				at += ms("ms", 4000)
			case 1:
				at = max(at, c.trueTime(c.leaseEnd)-time.Millisecond)
			case 2:
				at = max(at, c.trueTime(c.waitEnd)+time.Millisecond)
			case 3:
				at = max(at, store.until-ms("early", 300))
			}
			store.advance(at)
			if c.onResponse != nil {
				c.onResponse(c.localTime(at))
				c.onResponse = nil
			}
			switch rapid.SampledFrom([]string{"ask", "ask", "send", "send", "release"}).Draw(t, "action") {
			case "ask":
				store.pending = append(store.pending, request{c, at, at + ms("delay", 500)})
			case "release":
				if c.Release(); store.owner == c {
					store.until = min(store.until, at)
				}
			case "send":
				o := Order{Server: engine, Load: rapid.SampledFrom([]string{"", "", "", "a", "b"}).Draw(t, "load")}
				d := c.Send(o, c.localTime(at))
				if d.Verdict != Send {
					continue
				}
				if token, ok := loads[o.Load]; ok && o.Load != "" && token == d.Token {
					t.Errorf("load %s was ordered twice under token %d", o.Load, token)
				}
				loads[o.Load] = d.Token
				network := ms("network", 500)
				effects = append(effects, effect{d.Token, at + network, at + maxEffect})
			}
		}
		for i, a := range effects {
			for _, b := range effects[:i] {
				if a.token != b.token && a.from < b.to && b.from < a.to {
					t.Errorf("orders %+v and %+v are in effect at the same time", b, a)
				}
			}
		}
	})
}

// TestHolder guards against unnecessary waits for fenced servers, loads that are
// ordered too closely together, and loads that are lost or sent twice after a
// failure.
func TestHolder(t *testing.T) {
	at := func(d time.Duration) time.Time { return start.Add(d) }
	h := NewHolder(maxEffect, NewSpacer(gap))
	expect := func(name string, d Decision, want Verdict, when time.Duration) {
		t.Helper()
		if d.Verdict != want || want == Wait && !d.At.Equal(at(when)) {
			t.Errorf("%s: %v at %v, want %v at %v", name, d.Verdict, d.At, want, at(when))
		}
	}
	unfenced := Order{Server: engine}
	fenced := Order{Server: engine, Fenced: true}
	load := func(id string) Order { return Order{Server: engine, Fenced: true, Load: id} }
	expect("no lease", h.Send(fenced, at(0)), NoLease, 0)
	h.Acquired(4, at(0), at(time.Second), ttl)
	expect("fenced", h.Send(fenced, at(time.Second)), Send, 0)
	expect("not fenced", h.Send(unfenced, at(time.Second)), Wait, time.Second+maxEffect+maxEffect/100)
	expect("load of the predecessor", h.Send(load("a"), at(time.Second)), Wait, time.Second+gap)
	expect("first load", h.Send(load("a"), at(4*time.Second)), Send, 0)
	expect("second load", h.Send(load("b"), at(5*time.Second)), Wait, 6*time.Second)
	expect("same load", h.Send(load("a"), at(6*time.Second)), Duplicate, 0)
	h.UndoSend(load("a"))
	expect("load not written", h.Send(load("a"), at(6*time.Second)), Send, 0)
	h.AddSent("c")
	expect("known load", h.Send(load("c"), at(9*time.Second)), Duplicate, 0)
	expect("lease ended", h.Send(fenced, at(9900*time.Millisecond)), NoLease, 0)
	h.Renewed(3, at(9*time.Second), ttl)
	expect("other lease renewed", h.Send(fenced, at(10*time.Second)), NoLease, 0)
	h.Renewed(4, at(9*time.Second), ttl)
	expect("renewed", h.Send(fenced, at(10*time.Second)), Send, 0)
	h.Release()
	expect("released", h.Send(fenced, at(10*time.Second)), NoLease, 0)
}
