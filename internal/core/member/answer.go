package member

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// AnswerTTL is how long callers may use an answer. A host that stops as planned
// continues to serve for at least this time after it announced that it leaves.
const AnswerTTL = 5 * time.Second

// RegionLookup returns the region of a data centre, or "" when it is unknown.
// *model.Snapshot implements it.
type RegionLookup interface {
	RegionOf(site string) string
}

// Answer is one host in the list that a caller gets from a lookup.
type Answer struct {
	// Addr is the address for callers.
	Addr   netip.AddrPort
	Site   string
	Region string
}

// Answers returns the healthy hosts in the allowed regions in the order in which
// a caller should try them: the local data centre, the rest of the local region,
// then one remote region after the other. The order within each group and the
// order of remote regions depend on the seed, so that callers with different
// seeds share the load.
func (v *View) Answers(geo RegionLookup, allowed []string, seed uint64) []Answer {
	rng := rand.New(rand.NewPCG(seed, uint64(v.self.Incarnation)))
	localRegion := geo.RegionOf(v.self.Site)
	var sameSite, sameRegion []Answer
	remote := make(map[string][]Answer)
	if slices.Contains(allowed, localRegion) {
		sameSite = appendHealthy(nil, v.hosts, v.self.Site, localRegion)
	}
	var regions []string
	for _, s := range v.sites {
		region := geo.RegionOf(s.Name)
		if region == "" || !slices.Contains(allowed, region) {
			continue
		}
		if region == localRegion {
			sameRegion = appendHealthy(sameRegion, s.Members, s.Name, region)
			continue
		}
		if _, ok := remote[region]; !ok {
			regions = append(regions, region)
		}
		remote[region] = appendHealthy(remote[region], s.Members, s.Name, region)
	}
	shuffle(rng, sameSite)
	shuffle(rng, sameRegion)
	shuffle(rng, regions)
	all := append(sameSite, sameRegion...)
	for _, region := range regions {
		shuffle(rng, remote[region])
		all = append(all, remote[region]...)
	}
	return all
}

// appendHealthy appends the healthy hosts whose address for callers is known to list.
func appendHealthy(list []Answer, hosts []Host, site, region string) []Answer {
	for _, h := range hosts {
		if h.State == StateLive && h.HTTP.IsValid() {
			list = append(list, Answer{Addr: h.HTTP, Site: site, Region: region})
		}
	}
	return list
}

func shuffle[T any](rng *rand.Rand, s []T) {
	rng.Shuffle(len(s), func(i, j int) { s[i], s[j] = s[j], s[i] })
}
