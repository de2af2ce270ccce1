package reach

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const ms = time.Millisecond

// event is an attempt at a server at a time. A zero server is a response.
type event struct {
	at     time.Duration
	server int
	opened bool
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
		{"half of the servers are reset", 4, []event{{0, 1, false}, {1 * ms, 2, false}}, Lost},
		{"two of twelve crash", 12, []event{{0, 1, false}, {1 * ms, 2, true}}, Reached},
		{"two of twelve fail, nothing else responds", 12, []event{{0, 1, false}, {1 * ms, 2, true}, {400 * ms, 1, true}}, Lost},
		{"two fail, another one responds", 4, []event{{0, 1, false}, {1 * ms, 0, false}, {2 * ms, 2, false}}, Reached},
		{"an idle host sees two failures", 4, []event{{0, 1, true}, {10 * time.Second, 2, true}}, Reached},
		{"connections refused, open ones live", 4, []event{{0, 1, true}, {1 * ms, 0, false}, {2 * ms, 2, true}, {3 * ms, 0, false}}, OpenOnly},
		{"one server refuses connections", 4, []event{{0, 1, true}, {1 * ms, 0, false}, {2 * ms, 1, true}, {3 * ms, 0, true}, {4 * ms, 2, true}}, Reached},
		{"regained on an open connection", 4, []event{{0, 1, true}, {1 * ms, 2, true}, {2 * ms, 0, false}}, OpenOnly},
		{"regained", 4, []event{{0, 1, true}, {1 * ms, 2, true}, {2 * ms, 0, true}}, Reached},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := NewPath(rand.New(rand.NewPCG(1, 2)))
			p.SetServers(tt.servers)
			start := time.Unix(1_700_000_000, 0)
			changes := 0
			for _, e := range tt.events {
				changed := false
				if e.server == 0 {
					changed = p.Responded(e.opened, start.Add(e.at))
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
	p.SetServers(4)
	p.Sent("1", start)
	p.Sent("1", start)
	p.Ended("1")
	if p.Probe(false, start.Add(5*time.Second)) {
		t.Error("probed because one server is silent")
	}
	p.Sent("2", start)
	if p.Probe(false, start.Add(silence-ms)) {
		t.Error("probed before the silence is long enough")
	}
	p.Responded(false, start.Add(100*ms))
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
	p.Ended("2")
	if p.Probe(false, start.Add(12*time.Second)) {
		t.Error("probed although no request waits")
	}
}
