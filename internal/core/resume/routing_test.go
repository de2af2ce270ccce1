package resume

import (
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/eras"
	"github.com/yuccalb/yuccalb/internal/core/spec"
)

// routesTo returns routes of streams of which the first leads to a service and the second to desk.
func routesTo(service string) []spec.Route {
	to := func(prefix, service string) spec.Route {
		return spec.Route{Prefix: prefix, Resumable: true, Targets: []spec.Target{{Service: service, Weight: 1}}}
	}
	return []spec.Route{to("/ask/", service), to("/chat/", "desk"), {Prefix: "/order/", Targets: []spec.Target{{Service: "other"}}}}
}

// store writes the record that m wants written, if any, and reads it.
func (m *Moves) store(t *testing.T, now time.Time, rev int64) *Routing {
	t.Helper()
	r, ok := m.Write(0, now)
	if !ok {
		return nil
	}
	r.Rev = eras.Revision{Count: rev}
	m.UpdateStored(&r, r.Rev, now)
	return &r
}

// TestRouting guards against streams that are taken up at another service than they began at by a host that has
// started after their route was moved, against refusals by one that knows since then that it was not, and against a
// record that is written at each version.
func TestRouting(t *testing.T) {
	const within = 10 * time.Second
	var m Moves
	m.Update(routesTo("desk"), start)
	first := m.store(t, start, 1)
	if first == nil || m.store(t, start, 2) != nil {
		t.Fatal("the record is not written once")
	}
	m.Update(append(routesTo("desk"), spec.Route{Prefix: "/new/", Resumable: true, Targets: []spec.Target{{Service: "desk"}}}), start)
	if m.store(t, start, 2) != nil {
		t.Error("the record is written again although all streams go to the same service")
	}
	m.Update(routesTo("shop"), start)
	if _, ok := m.Write(time.Hour, start); ok {
		t.Error("the record is written by an outdated list")
	}
	second := m.store(t, start, 2)
	m.Conflict(start)
	m.Update(routesTo("desk"), start)
	if _, ok := m.Write(0, start.Add(conflictPause-1)); ok {
		t.Error("the record is written again at once after a conflict")
	}
	if _, ok := m.Write(0, start.Add(conflictPause)); !ok {
		t.Error("the record is not written after a conflict")
	}
	m.Update(routesTo("shop"), start)
	m.UpdateStored(first, first.Rev, start.Add(conflictPause))
	if _, ok := m.Write(0, start.Add(conflictPause)); ok {
		t.Error("an older listing replaces the record")
	}
	for name, c := range map[string]struct {
		stored  *Routing
		service string
		path    string
		after   time.Duration
		want    bool
	}{
		"record of before":                 {first, "shop", "/ask/x", 0, true},
		"record of before, another route":  {first, "desk", "/chat/x", 0, false},
		"record of after":                  {second, "shop", "/ask/x", 0, true},
		"record of after, another route":   {second, "desk", "/chat/x", 0, false},
		"record of before, known for long": {first, "shop", "/ask/x", within + 1, false},
		"no record":                        {nil, "shop", "/ask/x", 0, false},
	} {
		var fresh Moves // of a host that starts at version 2
		fresh.Update(routesTo("shop"), start)
		fresh.UpdateStored(c.stored, eras.Revision{Count: 9}, start)
		if got := fresh.Moved(c.service, "", c.path, 0, within, start.Add(c.after)); got != c.want {
			t.Errorf("%s: moved %v", name, got)
		}
	}
	if third := m.store(t, start.Add(formerKept), 3); third == nil || len(third.Versions) != 1 || m.store(t, start.Add(2*formerKept), 4) != nil {
		t.Errorf("former routes are not removed once: %+v", third)
	}
}
