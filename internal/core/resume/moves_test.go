package resume

import (
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/spec"
)

// TestMoved guards against streams that are taken up at another service than they began at, and
// against refusals of those whose route has not changed for them.
func TestMoved(t *testing.T) {
	const within = 10 * time.Second
	route := func(services ...string) spec.Route {
		r := spec.Route{Host: "h", Prefix: "/ask/"}
		for _, s := range services {
			r.Targets = append(r.Targets, spec.Target{Service: s, Weight: 1})
		}
		return r
	}
	desk, shop, split := route("desk"), route("shop"), route("desk", "shop")
	for name, tt := range map[string]struct {
		versions []spec.Route
		hash     uint64
		after    time.Duration // since the last version
		want     bool
	}{
		"one version":                     {[]spec.Route{desk}, 0, 0, false},
		"another version, not moved":      {[]spec.Route{desk, desk}, 0, 0, false},
		"moved":                           {[]spec.Route{desk, shop}, 0, within, true},
		"moved long ago":                  {[]spec.Route{desk, shop}, 0, within + 1, false},
		"moved and moved back":            {[]spec.Route{desk, shop, desk}, 0, 0, true},
		"split, and the hash stays":       {[]spec.Route{desk, split}, 0, 0, false},
		"split, and the hash moves":       {[]spec.Route{desk, split}, 1, 0, true},
		"no longer split, the hash stays": {[]spec.Route{split, shop}, 1, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			var m Moves
			for _, r := range tt.versions {
				m.Update([]spec.Route{r}, start)
			}
			last := tt.versions[len(tt.versions)-1]
			if got := m.Moved(&last, tt.hash, within, start.Add(tt.after)); got != tt.want {
				t.Errorf("got %v", got)
			}
		})
	}
}

// TestMovedBeforeUpdate guards against a move that goes unnoticed because a request goes by a version
// of which the host has not taken notice otherwise.
func TestMovedBeforeUpdate(t *testing.T) {
	var m Moves
	m.Update([]spec.Route{{Targets: []spec.Target{{Service: "desk", Weight: 1}}}}, start)
	if shop := (spec.Route{Targets: []spec.Target{{Service: "shop", Weight: 1}}}); !m.Moved(&shop, 0, 0, start) {
		t.Error("the move is not noticed")
	}
}

// TestMovedWhileLeftOut guards against a move that goes unnoticed because a version in between has
// left the route out.
func TestMovedWhileLeftOut(t *testing.T) {
	var m Moves
	desk := spec.Route{Prefix: "/ask/", Targets: []spec.Target{{Service: "desk", Weight: 1}}}
	shop := spec.Route{Prefix: "/ask/", Targets: []spec.Target{{Service: "shop", Weight: 1}}}
	m.Update([]spec.Route{desk}, start)
	m.Update(nil, start.Add(time.Second))
	m.Update([]spec.Route{shop}, start.Add(2*time.Second))
	if !m.Moved(&shop, 0, 10*time.Second, start.Add(3*time.Second)) {
		t.Error("the move is not noticed")
	}
}
