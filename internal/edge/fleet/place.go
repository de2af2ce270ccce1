package fleet

import (
	"slices"
	"strings"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/pick"
	"github.com/yuccalb/yuccalb/internal/core/steer"
)

// Place is another region that can serve a request.
type Place struct {
	Region string
	// Hosts must not be changed.
	Hosts []steer.Host
	pick.Summary
	held []uint32
}

// Holds reports whether a server of the region is expected to cache a prefix.
func (p *Place) Holds(prefix uint64) bool {
	return slices.Contains(p.held, pick.Short(prefix))
}

// Places returns the other regions with usable servers of a service and hosts
// that can be reached.
func (f *Fleet) Places(service string) []Place {
	var places []Place
	for _, r := range f.reports.recent(time.Now()) {
		sum := r.Services[service]
		if sum.Servers == 0 {
			continue
		}
		if len(r.hosts) > 0 {
			places = append(places, Place{Region: r.Name, Hosts: r.hosts, Summary: sum, held: r.Held[service]})
		}
	}
	slices.SortFunc(places, func(a, b Place) int { return strings.Compare(a.Region, b.Region) })
	return places
}
