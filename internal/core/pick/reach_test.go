package pick

import (
	"testing"
	"time"
)

// TestTakeProbe guards against probes of servers that leave, are evacuated, have requested a
// pause, or have got what their limits allow.
func TestTakeProbe(t *testing.T) {
	now := epoch
	tab := newTable(4)
	c := mustPick(t, tab, &Request{Exclude: []string{"s1", "s2", "s3"}}, now)
	paused := c.ID
	tab.Pause(&c, time.Minute, now)
	list := entries(4)
	if tab.TakeProbe(paused, now) {
		t.Error("a server was probed in its pause")
	}
	for _, e := range list {
		if e.ID != paused && !tab.TakeProbe(e.ID, now) {
			t.Errorf("%s was not probed", e.ID)
		}
	}
	var failed string
	for _, e := range list {
		if e.ID != paused {
			failed = e.ID
		}
	}
	tab.mu.Lock()
	tab.servers[failed].recordFailure(failureThreshold, now)
	tab.mu.Unlock()
	probes := 0
	for at := time.Duration(0); at < 10*time.Second; at += 50 * time.Millisecond {
		if tab.TakeProbe(failed, now.Add(at)) {
			probes++
		}
	}
	if most := int(warmupRateShare*engine.WarmupRate*10) + 2; probes == 0 || probes > most {
		t.Errorf("%d probes in 10 s of a server on probation, want 1 to %d", probes, most)
	}
	tab.Update(tab.model.Service, list, []string{list[0].Site}, allDiscovered("h0"), now)
	for _, e := range list {
		if e.Site == list[0].Site && tab.TakeProbe(e.ID, now) {
			t.Errorf("%s was probed although its data centre is evacuated", e.ID)
		}
	}
	if tab.TakeProbe("gone", now) {
		t.Error("a server was probed that is not listed")
	}
}
