package reach

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const ms = time.Millisecond

// event is an attempt at a server at a time. A negative number is a response of the server.
type event struct {
	at     time.Duration
	server int
	opened bool
}

// listed returns the names of n servers.
func listed(n int) map[string]bool {
	names := make(map[string]bool)
	for i := range n {
		names[fmt.Sprint(i+1)] = true
	}
	return names
}

// TestState guards against a path that counts as lost because single servers fail, break
// responses off or refuse connections, and against a lost one that counts as intact.
func TestState(t *testing.T) {
	tests := []struct {
		name    string
		servers int
		events  []event
		want    State
	}{
		{"no attempts", 4, nil, Reached},
		{"one server fails", 4, []event{{0, 1, true}, {10 * ms, 1, true}, {900 * ms, 1, true}}, Reached},
		{"one of one breaks a response off", 1, []event{{0, 1, false}}, Reached},
		{"the only server fails", 1, []event{{0, 1, true}, {300 * ms, 1, true}}, Lost},
		{"two of four fail at once", 4, []event{{0, 1, false}, {1 * ms, 2, false}}, Reached},
		{"most servers are reset", 4, []event{{0, 1, false}, {1 * ms, 2, false}, {2 * ms, 3, false}}, Lost},
		{"tests of servers that failed before", 4, []event{{0, 1, true}, {1 * ms, 2, true}, {2 * ms, 3, true}, {900 * ms, -4, true}, {1000 * ms, 1, true}, {1500 * ms, 2, true}, {1900 * ms, 3, true}}, Reached},
		{"the last good server fails", 4, []event{{0, 1, true}, {1 * ms, 2, true}, {2 * ms, 3, true}, {900 * ms, -4, true}, {1000 * ms, 4, true}, {1001 * ms, 4, true}}, Lost},
		{"two of twelve crash", 12, []event{{0, 1, false}, {1 * ms, 2, true}}, Reached},
		{"two of twelve fail, nothing else responds", 12, []event{{0, 1, false}, {1 * ms, 2, true}, {400 * ms, 1, true}}, Lost},
		{"two fail, another one responds", 4, []event{{0, 1, false}, {1 * ms, -4, false}, {2 * ms, 2, false}}, Reached},
		{"an idle host sees two failures", 4, []event{{0, 1, true}, {10 * time.Second, 2, true}}, Reached},
		{"connections refused, open ones live", 4, []event{{0, 1, true}, {1 * ms, -4, false}, {2 * ms, 2, true}, {3 * ms, -4, false}, {350 * ms, 1, true}, {351 * ms, -4, false}}, OpenOnly},
		{"one server refuses connections", 4, []event{{0, 1, true}, {1 * ms, -4, false}, {2 * ms, 1, true}, {3 * ms, -4, true}, {4 * ms, 2, true}}, Reached},
		{"regained on an open connection", 4, []event{{0, 1, true}, {1 * ms, 2, true}, {2 * ms, 3, true}, {3 * ms, -4, false}}, OpenOnly},
		{"regained", 4, []event{{0, 1, true}, {1 * ms, 2, true}, {2 * ms, 3, true}, {3 * ms, -4, true}}, Reached},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := NewPath(rand.New(rand.NewPCG(1, 2)))
			p.SetServers(listed(tt.servers))
			start := time.Unix(1_700_000_000, 0)
			changes := 0
			for _, e := range tt.events {
				changed := false
				if e.server < 0 {
					changed = p.Responded(fmt.Sprint(-e.server), e.opened, start.Add(e.at))
				} else {
					changed = p.Failed(fmt.Sprint(e.server), e.opened, start.Add(e.at))
				}
				if changed {
					changes++
				}
			}
			if got := p.State(); got != tt.want {
				t.Errorf("state %v after %d changes, want %v", got, changes, tt.want)
			}
		})
	}
}

// TestProbe guards against probes while one server is silent or responses come, and
// against a silent path that nobody probes, or that is probed all the time.
func TestProbe(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	p := NewPath(rand.New(rand.NewPCG(1, 2)))
	p.SetServers(listed(4))
	p.Sent("1", start)
	p.Sent("1", start)
	p.Ended("1", start)
	if p.Probe(false, start.Add(5*time.Second)) {
		t.Error("probed because one server is silent")
	}
	p.Sent("2", start)
	if p.Probe(false, start.Add(silence-ms)) {
		t.Error("probed before the silence is long enough")
	}
	p.Responded("3", false, start.Add(100*ms))
	if p.Probe(false, start.Add(100*ms+silence-ms)) {
		t.Error("probed although bytes came")
	}
	n := 0
	for at := time.Second; at < 11*time.Second; at += 10 * ms {
		if p.Probe(false, start.Add(at)) {
			n++
		}
	}
	if want := int(10 * time.Second / probeInterval); n < want/2 || n > 2*want {
		t.Errorf("%d probes in 10 s of silence, want about %d", n, want)
	}
	p.Ended("2", start.Add(11*time.Second))
	if p.Probe(false, start.Add(12*time.Second)) {
		t.Error("probed although no request waits")
	}
}

// TestOverdue guards against a silent path that nobody probes, since requests to its servers wait
// one after the other, and against probes once any server has sent a byte.
func TestOverdue(t *testing.T) {
	const deadline = time.Second
	start := time.Unix(1_700_000_000, 0)
	for name, c := range map[string]struct {
		server string        // of the second request
		heard  time.Duration // after the start, 0 for never
		at     time.Duration // after the second request was sent
		want   bool
	}{
		"two servers":               {"2", 0, silence, true},
		"not long enough":           {"2", 0, silence - ms, false},
		"the same server":           {"1", 0, silence, false},
		"a byte during the first":   {"2", 500 * ms, silence, false},
		"a byte during the second":  {"2", deadline + ms, silence + 2*ms, false},
		"the first ended long ago":  {"2", 0, evidenceTTL + ms, false},
		"both ended, the last late": {"2", 0, 2 * time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			p := NewPath(rand.New(rand.NewPCG(1, 2)))
			p.SetServers(listed(4))
			p.Sent("1", start)
			if c.heard > 0 && c.heard < deadline {
				p.Responded("3", false, start.Add(c.heard))
			}
			p.Ended("1", start.Add(deadline))
			p.Sent(c.server, start.Add(deadline))
			if c.heard > deadline {
				p.Responded("3", false, start.Add(c.heard))
			}
			if c.at > deadline {
				p.Ended(c.server, start.Add(2*deadline))
			}
			if got := p.Probe(false, start.Add(deadline+c.at)); got != c.want {
				t.Errorf("probed: %v", got)
			}
		})
	}
}

// TestCautious guards against requests that may not run twice and are sent over a path in doubt,
// and against a doubt that a single silent server raises, or that does not end.
func TestCautious(t *testing.T) {
	const wait = silence + probeWait
	start := time.Unix(1_700_000_000, 0)
	send := func(p *Path, servers ...string) {
		for _, s := range servers {
			p.Sent(s, start)
		}
	}
	tests := []struct {
		name  string
		at    time.Duration
		event func(p *Path)
		want  State
	}{
		{"nothing", 0, func(*Path) {}, Reached},
		{"a new connection fails", ms, func(p *Path) { p.Failed("1", true, start) }, OpenOnly},
		{"an old connection fails", ms, func(p *Path) { p.Failed("1", false, start) }, Reached},
		{"one is opened after it", 2 * ms, func(p *Path) {
			p.Failed("1", true, start)
			p.Responded("2", true, start.Add(ms))
		}, Reached},
		{"it failed long ago", evidenceTTL + ms, func(p *Path) { p.Failed("1", true, start) }, Reached},
		{"silence without a probe", wait, func(p *Path) { send(p, "1", "2") }, Reached},
		{"silence and a probe without an answer", wait, func(p *Path) {
			send(p, "1", "2")
			p.ProbeSent("3", start.Add(silence))
		}, Lost},
		{"a probe that was sent just now", wait, func(p *Path) {
			send(p, "1", "2")
			p.ProbeSent("3", start.Add(wait))
		}, Reached},
		{"the probe is answered", wait, func(p *Path) {
			send(p, "1", "2")
			p.ProbeSent("3", start.Add(silence))
			p.Responded("3", true, start.Add(silence+ms))
		}, Reached},
		{"one server is silent for a second and more", 1500 * ms, func(p *Path) {
			send(p, "1")
			p.ProbeSent("3", start.Add(silence))
		}, Reached},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := NewPath(rand.New(rand.NewPCG(1, 2)))
			p.SetServers(listed(4))
			tt.event(p)
			if got := p.Cautious(start.Add(tt.at)); got != tt.want {
				t.Errorf("%v, want %v", got, tt.want)
			}
			if got := p.State(); got != Reached {
				t.Errorf("the path counts as %v", got)
			}
		})
	}
}

// TestProbesAtATime guards against a path in doubt that is decided late because probes wait for
// one another, and against many probes over a path that is known to be lost.
func TestProbesAtATime(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	p := NewPath(rand.New(rand.NewPCG(1, 2)))
	p.SetServers(listed(8))
	p.Sent("1", start)
	p.Sent("2", start)
	n := 0
	probe := func(at time.Duration) {
		if p.Probe(false, start.Add(at)) {
			n++
			p.ProbeSent(fmt.Sprint(n), start.Add(at))
		}
	}
	for at := silence; at < 5*time.Second; at += 10 * ms {
		probe(at)
	}
	if n != maxProbes {
		t.Errorf("%d probes at a time while the path is in doubt, want %d", n, maxProbes)
	}
	for i := range n {
		p.Failed(fmt.Sprint(i+1), true, start.Add(5*time.Second))
		p.ProbeEnded(fmt.Sprint(i + 1))
	}
	p.Tick(start.Add(5*time.Second + settle))
	if got := p.State(); got != Lost {
		t.Fatalf("state %v, want %v", got, Lost)
	}
	n = 0
	for at := 6 * time.Second; at < 10*time.Second; at += 10 * ms {
		probe(at)
	}
	if n != 1 {
		t.Errorf("%d probes at a time while the path is lost, want 1", n)
	}
}
