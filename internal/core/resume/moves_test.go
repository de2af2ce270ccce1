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
		r := spec.Route{Host: "h", Prefix: "/ask/", Resumable: true}
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
			if got := m.Moved(last.Target(tt.hash), last.Host, "/ask/x", tt.hash, within, start.Add(tt.after)); got != tt.want {
				t.Errorf("got %v", got)
			}
		})
	}
}

// TestMovedBeforeUpdate guards against a move that goes unnoticed because a request goes by a version
// of which the host has not taken notice otherwise.
func TestMovedBeforeUpdate(t *testing.T) {
	var m Moves
	m.Update([]spec.Route{{Prefix: "/ask/", Resumable: true, Targets: []spec.Target{{Service: "desk", Weight: 1}}}}, start)
	if !m.Moved("shop", "", "/ask/x", 0, 0, start) {
		t.Error("the move is not noticed")
	}
}

// TestMovedWhileLeftOut guards against a move that goes unnoticed because a version in between has
// left the route out.
func TestMovedWhileLeftOut(t *testing.T) {
	var m Moves
	desk := spec.Route{Prefix: "/ask/", Resumable: true, Targets: []spec.Target{{Service: "desk", Weight: 1}}}
	shop := spec.Route{Prefix: "/ask/", Resumable: true, Targets: []spec.Target{{Service: "shop", Weight: 1}}}
	m.Update([]spec.Route{desk}, start)
	m.Update(nil, start.Add(time.Second))
	m.Update([]spec.Route{shop}, start.Add(2*time.Second))
	if !m.Moved("shop", "", "/ask/x", 0, 10*time.Second, start.Add(3*time.Second)) {
		t.Error("the move is not noticed")
	}
}

// TestMovedByLongerPrefix guards against a stream that is taken up at another service, because a version has
// added or removed a route with a longer prefix, while no route was moved itself.
func TestMovedByLongerPrefix(t *testing.T) {
	to := func(prefix, service string, resumable bool) spec.Route {
		return spec.Route{Prefix: prefix, Resumable: resumable, Targets: []spec.Target{{Service: service, Weight: 1}}}
	}
	all, part, plain := to("/ask/", "desk", true), to("/ask/x/", "shop", true), to("/", "desk", false)
	for name, tt := range map[string]struct {
		versions [][]spec.Route
		service  string
		path     string
		want     bool
	}{
		"added":                     {[][]spec.Route{{all}, {all, part}}, "shop", "/ask/x/1", true},
		"removed":                   {[][]spec.Route{{all, part}, {all}}, "desk", "/ask/x/1", true},
		"another path":              {[][]spec.Route{{all}, {all, part}}, "desk", "/ask/1", false},
		"added where nothing was":   {[][]spec.Route{{}, {all}}, "desk", "/ask/1", false},
		"added below a plain route": {[][]spec.Route{{plain}, {plain, part}}, "shop", "/ask/x/1", false},
	} {
		t.Run(name, func(t *testing.T) {
			var m Moves
			for _, routes := range tt.versions {
				m.Update(routes, start)
			}
			if got := m.Moved(tt.service, "", tt.path, 0, 10*time.Second, start.Add(time.Second)); got != tt.want {
				t.Errorf("got %v", got)
			}
		})
	}
}

// TestMovedDuringLongStream guards against a move that is forgotten before a long stream has ended.
func TestMovedDuringLongStream(t *testing.T) {
	var m Moves
	shop := []spec.Route{{Prefix: "/ask/", Resumable: true, Targets: []spec.Target{{Service: "shop", Weight: 1}}}}
	m.Update([]spec.Route{{Prefix: "/ask/", Resumable: true, Targets: []spec.Target{{Service: "desk", Weight: 1}}}}, start)
	for s := range 100 {
		m.Update(shop, start.Add(time.Duration(s)*time.Second))
	}
	if !m.Moved("shop", "", "/ask/x", 0, 2*time.Minute, start.Add(100*time.Second)) {
		t.Error("the move is not noticed")
	}
}
