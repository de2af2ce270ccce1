package pick

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccalb/yuccalb/internal/core/spec"
)

const (
	// warmers is the most hosts that send to one cold server: each may send
	// one request at any time, whatever the rate.
	warmers = 4
	// warmShare is the part of a cold server's rate that hosts take together:
	// those that are cut off from each other may count fewer hosts each.
	warmShare = 0.55
	// probationRate bounds the requests per second of one host to a server
	// of unknown state.
	probationRate = 2.0
)

// Warming tells which hosts of the region share the rate of a cold server.
type Warming struct {
	// Self is the own host and Hosts are the names of all hosts of the
	// region.
	Self  string
	Hosts []string
	// Settled is set once the host has had time to learn of the others; until
	// then it sends nothing to cold servers.
	Settled bool
	// Reports is the time between reports of these hosts.
	Reports time.Duration
}

// rate returns the requests per second that the own host may send to a cold
// server; a negative rate sets no limit.
func (w *Warming) rate(svc *spec.Service, id string) float64 {
	if svc.WarmRate <= 0 {
		return -1
	}
	n := max(len(w.Hosts), 1)
	if !w.Settled {
		return 0
	}
	if n <= warmers {
		return warmShare * svc.WarmRate / float64(n)
	}
	own := xxhash.Sum64String(id + w.Self)
	ahead := 0
	for _, name := range w.Hosts {
		if xxhash.Sum64String(id+name) > own {
			ahead++
		}
	}
	if ahead >= warmers || !slices.Contains(w.Hosts, w.Self) {
		return 0
	}
	return warmShare * svc.WarmRate / warmers
}
