package fleet

import (
	"slices"
	"strings"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/pick"
	"github.com/yuccalb/yuccalb/internal/core/steer"
)

// RemoteRegion is another region that can serve a request.
type RemoteRegion struct {
	Region string
	// Hosts must not be changed.
	Hosts []steer.Host
	pick.Summary
	cachedParts map[uint32]bool // short keys of prompt parts
}

// Cached returns how many tokens of parts, counted from the start of the prompt, the
// servers of the region are expected to have cached.
func (r *RemoteRegion) Cached(parts []pick.Part) int {
	n := 0
	for _, part := range parts {
		if !r.cachedParts[pick.ShortKey(part.Key)] {
			break
		}
		n += part.Tokens
	}
	return n
}

// RemoteRegions returns the remote regions with a current report that have usable
// servers of a service and hosts that are not leaving, ordered by name.
func (f *Fleet) RemoteRegions(service string) []RemoteRegion {
	var regions []RemoteRegion
	now := time.Now()
	for _, r := range f.reports.recent(now) {
		sum := r.Services[service]
		if sum.Servers == 0 {
			continue
		}
		if hosts := f.reaching(r, service, now); len(hosts) > 0 {
			regions = append(regions, RemoteRegion{Region: r.Name, Hosts: hosts, Summary: sum, cachedParts: r.parts[service]})
		}
	}
	slices.SortFunc(regions, func(a, b RemoteRegion) int { return strings.Compare(a.Region, b.Region) })
	return regions
}
