package fleet

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/core/pick"
	"github.com/yuccalb/yuccalb/internal/core/steer"
	"github.com/yuccalb/yuccalb/internal/edge/gossip"
)

// load returns the longest expected time to the first byte of all services.
func load(services map[string]pick.Summary) time.Duration {
	var d time.Duration
	for _, s := range services {
		d = max(d, s.Wait)
	}
	return d
}

// CountHomes counts a request to a route that is restricted to home regions.
func (f *Fleet) CountHomes(homes []string) { f.homes.Add(homes) }

// regions returns the local region and the remote regions with a current report.
func (f *Fleet) regions() []steer.Region {
	var commonHomes []string
	hasHomes := false
	if snap := f.View().Snapshot; snap != nil {
		commonHomes, hasHomes = snap.CommonHomes()
	}
	now := time.Now()
	region := func(name string, services map[string]pick.Summary, members []gossip.Member) steer.Region {
		r := steer.Region{Name: name, Load: load(services), DeniedShare: f.homes.DeniedShare(name, commonHomes, hasHomes)}
		var cutOff []netip.AddrPort
		for _, m := range members {
			switch {
			case m.Leaving && m.Host.Name == f.opts.Self.Name:
				// The listener of this host closes soon.
			case m.Leaving:
				r.Leaving = append(r.Leaving, steer.Host{Addr: m.Host.Front, Weight: m.Host.Cores})
			case m.Ready:
				r.Hosts = append(r.Hosts, steer.Host{Addr: m.Host.Front, Weight: m.Host.Cores})
				if m.CutOff {
					cutOff = append(cutOff, m.Host.Front)
				}
			}
		}
		r.Hosts = withPath(r.Hosts, cutOff)
		return r
	}
	list := []steer.Region{region(f.opts.Region, f.summaries(now), f.members(now))}
	for _, r := range f.reports.recent(now) {
		list = append(list, region(r.Name, r.Services, r.Members))
	}
	return list
}

// HostsFor returns the addresses of hosts that a caller in a region should use. It
// returns nil if no host is available and this host is leaving.
func (f *Fleet) HostsFor(region string, rng *rand.Rand) []netip.AddrPort {
	regions := f.regions()
	hosts, name := steer.Pick(region, regions, rng)
	switch {
	case len(hosts) == 0 && f.Leaving():
		return nil
	case len(hosts) == 0:
		// The refusal by this host states when to retry.
		f.opts.Requests.Info("no host for a caller", zap.String("caller", region))
		return []netip.AddrPort{f.opts.Self.Front}
	case name != region:
		f.logRedirect(region, name, regions)
	}
	return hosts
}

// logRedirect logs that a caller is directed to another region, with the loads of
// both.
func (f *Fleet) logRedirect(caller, region string, regions []steer.Region) {
	e := f.opts.Requests.Check(zap.InfoLevel, "caller directed to another region")
	if e == nil {
		return
	}
	fields := []zap.Field{zap.String("caller", caller), zap.String("region", region), zap.Stringer("config", f.View().Item.Rev)}
	for _, r := range regions {
		switch r.Name {
		case region:
			fields = append(fields, zap.Duration("load", r.Load), zap.Float64("misfit", r.DeniedShare))
		case caller:
			fields = append(fields, zap.Duration("own_load", r.Load), zap.Int("own_hosts", len(r.Hosts)))
		}
	}
	e.Write(fields...)
}
