package fleet

import (
	"slices"
	"strings"
	"sync"
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
	// Requests and Tokens are what the hosts of the local region are expected to have sent
	// there since the report of the region, which was created Age ago: each as much as
	// this one.
	Requests, Tokens int
	Age              time.Duration
	// parts are the waits at servers that have cached a part, by its short key.
	parts map[uint32]time.Duration
}

// Cached returns how many tokens of parts, counted from the start of the prompt, the
// servers of the region are expected to have cached, and the expected time to the first byte
// of a short request at these servers.
func (r *RemoteRegion) Cached(parts []pick.Part) (tokens int, wait time.Duration) {
	wait = r.Wait
	for _, part := range parts {
		w, cached := r.parts[pick.ShortKey(part.Key)]
		if !cached {
			break
		}
		tokens += part.Tokens
		if w != unknownWait {
			wait = w
		}
	}
	return tokens, wait
}

// RemoteRegions returns the remote regions with a current report that have usable
// servers of a service and hosts that are not leaving, ordered by name.
func (f *Fleet) RemoteRegions(service string) []RemoteRegion {
	var regions []RemoteRegion
	now := time.Now()
	hosts := float64(max(f.regionSize.Load(), 1))
	for _, r := range f.reports.recent(now) {
		sum := r.Services[service]
		if sum.Servers == 0 {
			continue
		}
		list := f.reaching(r, service, now)
		if len(list) == 0 {
			continue
		}
		age := now.Sub(r.created)
		n := f.sent.within(sentKey{r.Name, service}, age, now)
		regions = append(regions, RemoteRegion{
			Region: r.Name, Hosts: list, Summary: sum, parts: r.parts[service],
			Requests: int(n.requests * hosts), Tokens: int(n.tokens * hosts), Age: age,
		})
	}
	slices.SortFunc(regions, func(a, b RemoteRegion) int { return strings.Compare(a.Region, b.Region) })
	return regions
}

// SentRemote records that this host sends a request with a number of tokens to prefill to a
// remote region.
func (f *Fleet) SentRemote(region, service string, tokens int, now time.Time) {
	f.sent.add(sentKey{region, service}, tokens, now)
}

// sentKey names a service of a remote region.
type sentKey struct{ region, service string }

// amount is a number of requests and of the tokens that they need prefilled.
type amount struct{ requests, tokens float64 }

// sentWindow is the time over which the requests to remote regions are averaged: a host sends
// few of them between two reports, which say little of what the other hosts send.
const sentWindow = 2 * time.Second

// sentBin is the resolution of sentRequests.
const sentBin = 50 * time.Millisecond

// sentRequests holds what was sent to remote regions lately. It is safe for concurrent use;
// the zero value is empty.
type sentRequests struct {
	mu   sync.Mutex
	bins map[sentKey][]bin
}

// bin is what was sent from a time on, for sentBin.
type bin struct {
	at time.Time
	amount
}

func (s *sentRequests) add(k sentKey, tokens int, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.bins == nil {
		s.bins = make(map[sentKey][]bin)
	}
	list := s.bins[k]
	for len(list) > 0 && now.Sub(list[0].at) > sentWindow {
		list = list[1:]
	}
	if n := len(list); n == 0 || now.Sub(list[n-1].at) >= sentBin {
		list = append(list, bin{at: now})
	}
	last := &list[len(list)-1]
	last.requests++
	last.tokens += float64(tokens)
	s.bins[k] = list
}

// within returns what was sent on average within a time.
func (s *sentRequests) within(k sentKey, d time.Duration, now time.Time) amount {
	s.mu.Lock()
	defer s.mu.Unlock()
	var sum amount
	list := s.bins[k]
	for i := len(list) - 1; i >= 0 && now.Sub(list[i].at) <= sentWindow; i-- {
		sum.requests += list[i].requests
		sum.tokens += list[i].tokens
	}
	part := min(d.Seconds()/sentWindow.Seconds(), 1)
	return amount{sum.requests * part, sum.tokens * part}
}
