// Package spread decides which hosts carry reports between regions and how
// often hosts of one region report to each other. What a host sends then grows
// with its own region and with the number of regions, not with all hosts.
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
	// Far is the time between reports to other regions.
	Far = 600 * time.Millisecond
	// leastInterval and mostInterval bound the time between reports to hosts
	// of the same region, and hostInterval is what each of these adds to it:
	// a host sends and receives at most a hundred a second until the bound.
	leastInterval = 200 * time.Millisecond
	mostInterval  = 500 * time.Millisecond
	hostInterval  = 10 * time.Millisecond
	// pair is the number of hosts of a region that exchange reports with as
	// many of another one: the second stands in for a first that was lost.
	pair = 2
	// overdue is the age of a report from which more hosts take part, widen
	// times as many after each widenAfter.
	overdue    = 2500 * time.Millisecond
	widen      = 4
	widenAfter = 500 * time.Millisecond
	// All is the width with which every host takes part.
	All = math.MaxInt
)

// Interval returns the time between reports to the other hosts of a region of
// n hosts.
func Interval(n int) time.Duration {
	return min(max(time.Duration(n)*hostInterval, leastInterval), mostInterval)
}

// Width returns how many hosts of each of two regions exchange reports. The
// argument age is that of the last report in the direction that is worse off.
func Width(age time.Duration) int {
	n := pair
	for limit := overdue; age > limit; limit += widenAfter {
		if n > All/widen {
			return All
		}
		n *= widen
	}
	return n
}

// Order sorts the hosts of a region so that all of them agree on it, and so
// that the first ones are of different data centres.
func Order(hosts []spec.Host) []spec.Host {
	sites := make(map[string][]spec.Host)
	for _, h := range hosts {
		sites[h.Site] = append(sites[h.Site], h)
	}
	groups := make([][]spec.Host, 0, len(sites))
	for _, g := range sites {
		slices.SortFunc(g, byHash)
		groups = append(groups, g)
	}
	slices.SortFunc(groups, func(a, b []spec.Host) int { return byHash(a[0], b[0]) })
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

func byHash(a, b spec.Host) int {
	return cmp.Or(cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)), cmp.Compare(a.Name, b.Name))
}

// Rank returns the place of a host in an order, 0 first; the number of hosts
// if it is not among them.
func Rank(name string, order []spec.Host) int {
	i := slices.IndexFunc(order, func(h spec.Host) bool { return h.Name == name })
	if i < 0 {
		return len(order)
	}
	return i
}
