package pick

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccalb/yuccalb/internal/core/spec"
)

const (
	// maxWarmupHosts bounds the hosts that send to one cold server, since each of
	// them may send one request at any time, whatever the rate.
	maxWarmupHosts = 4
	// warmupRateShare is the part of a cold server's rate limit that the hosts use
	// together. The rest is for a network partition, in which each host may count
	// fewer hosts than share the limit.
	warmupRateShare = 0.55
	// probationRate is the rate limit, in requests per second, of one host for a
	// server on probation.
	probationRate = 2.0
)

// WarmupHosts describes the hosts of the region, which share the rate limits of cold
// servers.
type WarmupHosts struct {
	// Self is the name of this host and Hosts are those of all hosts of the region.
	Self  string
	Hosts []string
	// Discovered is set once this host has had time to discover the others. Until
	// then it sends nothing to cold servers that have a rate limit.
	Discovered bool
	// ReportInterval is the interval at which these hosts report their load.
	ReportInterval time.Duration
}

// rate returns the requests per second that this host may send to a cold server; a
// negative rate sets no limit. With more than maxWarmupHosts hosts, a rendezvous hash
// selects those that may send to the server.
func (w *WarmupHosts) rate(svc *spec.Service, id string) float64 {
	if svc.WarmupRate <= 0 {
		return -1
	}
	n := max(len(w.Hosts), 1)
	if !w.Discovered {
		return 0
	}
	if n <= maxWarmupHosts {
		return warmupRateShare * svc.WarmupRate / float64(n)
	}
	self := xxhash.Sum64String(id + w.Self)
	higher := 0
	for _, name := range w.Hosts {
		if xxhash.Sum64String(id+name) > self {
			higher++
		}
	}
	if higher >= maxWarmupHosts || !slices.Contains(w.Hosts, w.Self) {
		return 0
	}
	return warmupRateShare * svc.WarmupRate / maxWarmupHosts
}
