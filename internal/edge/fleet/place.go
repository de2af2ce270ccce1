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
	held map[uint32]bool
}

// Cached returns how many tokens of parts the servers of the region are
// expected to cache.
func (p *Place) Cached(parts []pick.Part) int {
	n := 0
	for _, part := range parts {
		if !p.held[pick.Short(part.Key)] {
			break
		}
		n += part.Tokens
	}
	return n
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
			places = append(places, Place{Region: r.Name, Hosts: r.hosts, Summary: sum, held: r.held[service]})
		}
	}
	slices.SortFunc(places, func(a, b Place) int { return strings.Compare(a.Region, b.Region) })
	return places
}
