// Package spread decides which hosts exchange state reports between regions and
// how often hosts of one region report to each other. The traffic of a host grows
// with the size of its region and the number of regions, not with the number of
// all hosts.
package spread

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccalb/yuccalb/internal/core/spec"
)

const (
	// RemoteInterval is the time between reports to remote regions.
	RemoteInterval = 600 * time.Millisecond
	// minInterval and maxInterval bound the time between reports to hosts of
	// the same region. Each of these adds intervalPerHost, so that a host sends
	// and receives at most a hundred reports a second until maxInterval is
	// reached.
	minInterval     = 200 * time.Millisecond
	maxInterval     = 500 * time.Millisecond
	intervalPerHost = 10 * time.Millisecond
	// minWidth is the number of hosts of a region that exchange reports with as
	// many of another one. The second covers the failure of the first.
	minWidth = 2
	// overdue is the age of a report from which more hosts take part:
	// widenFactor times as many, and again after each widenInterval.
	overdue       = 2500 * time.Millisecond
	widenFactor   = 4
	widenInterval = 500 * time.Millisecond
	// AllHosts is the width at which every host takes part.
	AllHosts = math.MaxInt
)

// Interval returns the time between reports to the other hosts of a region with
// n hosts.
func Interval(n int) time.Duration {
	return min(max(time.Duration(n)*intervalPerHost, minInterval), maxInterval)
}

// Width returns how many hosts of each of two regions exchange reports. Age is
// the age of the last report in the direction in which it is older.
func Width(age time.Duration) int {
	n := minWidth
	for limit := overdue; age > limit; limit += widenInterval {
		if n > AllHosts/widenFactor {
			return AllHosts
		}
		n *= widenFactor
	}
	return n
}

// Order sorts the hosts of a region by hash and alternates between data centres.
// Each host gets the same order from the same set, and the first hosts are in
// different data centres.
func Order(hosts []spec.Host) []spec.Host {
	sites := make(map[string][]spec.Host)
	for _, h := range hosts {
		sites[h.Site] = append(sites[h.Site], h)
	}
	groups := make([][]spec.Host, 0, len(sites))
	for _, g := range sites {
		slices.SortFunc(g, compareHash)
		groups = append(groups, g)
	}
	slices.SortFunc(groups, func(a, b []spec.Host) int { return compareHash(a[0], b[0]) })
	list := make([]spec.Host, 0, len(hosts))
	for i := 0; len(list) < len(hosts); i++ {
		for _, g := range groups {
			if i < len(g) {
				list = append(list, g[i])
			}
		}
	}
	return list
}

func compareHash(a, b spec.Host) int {
	return cmp.Or(cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)), cmp.Compare(a.Name, b.Name))
}

// Position returns the position of a host in an order, from 0, or the number of hosts
// if it is not among them.
func Position(name string, order []spec.Host) int {
	i := slices.IndexFunc(order, func(h spec.Host) bool { return h.Name == name })
	if i < 0 {
		return len(order)
	}
	return i
}
