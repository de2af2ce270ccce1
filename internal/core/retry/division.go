package retry

import "time"

// Members is what one host knows of all hosts.
type Members struct {
	// Local are the names of the hosts of the region that are registered or reachable,
	// with this host, and Remote is the number of those of other regions.
	Local  []string
	Remote int
	// Reachable is the number of hosts in Local that have been heard of lately, with this
	// one.
	Reachable int
	// Regions is the number of regions.
	Regions int
	// ListAge is the time since the list of registered hosts was known to be current.
	ListAge time.Duration
}

// Division divides retries among all hosts, as one of them sees it. It is not safe for
// concurrent use. The zero value is ready to use.
type Division struct{}

// Part returns the part of the retries that falls to the host.
func (d *Division) Part(retries float64, m Members, _ time.Time) float64 {
	return retries / float64(len(m.Local)+m.Remote)
}
