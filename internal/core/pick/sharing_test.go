package pick

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/roster"
	"github.com/yuccalb/yuccalb/internal/core/spec"
	"github.com/yuccalb/yuccalb/internal/fake/limits"
)

const (
	sharingEntryTTL    = 10 * time.Second        // of the entry of a host in the store
	sharingPeerTimeout = 1500 * time.Millisecond // from the last frame of a host
	sharingLook        = 400 * time.Millisecond
	sharingStep        = 50 * time.Millisecond
	sharingTime        = 100 * time.Second
	sharingStart       = 10 * time.Second // before the first fault
	sharingDiscover    = 1500 * time.Millisecond
)

// sharingHost is a host of a sharingSim.
type sharingHost struct {
	name      string
	store     bool // whether it reaches the store
	readOnly  bool // whether the store refuses its writes
	group     int  // it reaches the hosts of the same group
	mute      bool // whether it hears the others, and they do not hear it
	leaving   bool
	frozenTil time.Time
	stopped   time.Time // when a host that leaves ends, and begins anew
	started   time.Time
	entryEnd  time.Time
	entryAt   time.Time
	renewed   time.Time
	listed    time.Time
	list      []string
	heard     map[string]time.Time // when another one has last heard of this host
	lookAt    time.Time
	roster    roster.Roster
	table     *Table
}

// sharingSim plays hosts of a region that disagree on who the others are and send all that they
// may to one server.
type sharingSim struct {
	rng      *rand.Rand
	svc      spec.Service
	server   spec.Server
	hosts    []*sharingHost
	now      time.Time
	arrivals []time.Time
	limit    float64 // that the server names, unless it is 0
	refuses  bool    // whether the store refuses the writes of hosts at times, and drops entries
	onStep   func()  // called after each step if it is set
}

// start begins a process of a host.
func (s *sharingSim) start(h *sharingHost, first bool) {
	*h = sharingHost{name: h.name, store: h.store, readOnly: h.readOnly, group: h.group, mute: h.mute, started: s.now, heard: make(map[string]time.Time), lookAt: s.now, entryEnd: h.entryEnd}
	h.roster.First = first
	h.table = NewTable(s.svc, rand.New(rand.NewPCG(s.rng.Uint64(), 1)))
}

// hears reports whether a host gets the frames of another one.
func (h *sharingHost) hears(o *sharingHost) bool { return h.group == o.group && !o.mute }

// read updates the list of a host, from the store or from another host.
func (s *sharingSim) read(h *sharingHost) {
	if h.store && !h.mute {
		h.listed, h.list = s.now, nil
		for _, o := range s.hosts {
			if s.now.Before(o.entryEnd) {
				h.list = append(h.list, o.name)
			}
		}
		return
	}
	for _, o := range s.hosts {
		if o.hears(h) && h.hears(o) && o.listed.After(h.listed) {
			h.listed, h.list = o.listed, o.list
		}
	}
}

// look updates which hosts a host divides limits among.
func (s *sharingSim) look(h *sharingHost) {
	if h.store && !h.mute && !h.readOnly {
		if h.entryAt.IsZero() || !s.now.Before(h.entryEnd) {
			h.entryAt = s.now
		}
		h.renewed, h.entryEnd = s.now, s.now.Add(sharingEntryTTL)
	}
	s.read(h)
	if h.listed.IsZero() {
		return
	}
	v := roster.View{Self: h.name, Listed: h.list, ListedAt: h.listed, EntryAt: h.entryAt, RenewedAt: h.renewed, Leaving: h.leaving}
	for _, o := range s.hosts {
		if o == h {
			continue
		}
		if !h.hears(o) || s.now.Before(o.frozenTil) {
			if at := o.heard[h.name]; s.now.Sub(at) < sharingPeerTimeout {
				v.Peers = append(v.Peers, roster.Peer{Name: o.name})
			}
			continue
		}
		o.heard[h.name] = s.now
		v.Peers = append(v.Peers, roster.Peer{Name: o.name, Leaving: o.leaving, Echo: h.heard[o.name]})
	}
	m := h.roster.Update(v, s.now)
	hosts := RegionHosts{Self: h.name, Hosts: m.Names, Until: m.Until, Discovered: s.now.Sub(h.started) > sharingDiscover}
	h.table.Update(s.svc, []spec.Server{s.server}, nil, hosts, s.now)
	if s.limit > 0 {
		h.table.MergeLimits([]ServerLimit{{Process: Process{s.server.ID, s.server.Born}, Value: s.limit}}, s.now)
	}
}

// disturb lets something happen to a host.
func (s *sharingSim) disturb() {
	h := s.hosts[s.rng.IntN(len(s.hosts))]
	if s.refuses && s.rng.IntN(2) == 0 {
		h.readOnly = s.rng.IntN(3) > 0
		return
	}
	switch s.rng.IntN(8) {
	case 0:
		s.start(h, false)
	case 1, 2:
		h.store, h.group = false, 1+s.rng.IntN(len(s.hosts))
	case 3:
		h.mute = true
	case 4:
		h.store = false
	case 5:
		if !h.leaving {
			h.leaving, h.stopped = true, s.now.Add(time.Duration(s.rng.IntN(8))*time.Second)
			if !s.now.Before(h.frozenTil) {
				s.look(h) // a host acts on its own stop at once
			}
		}
	case 6:
		h.frozenTil = s.now.Add(time.Duration(s.rng.IntN(25)) * time.Second)
	default:
		h.store, h.group, h.mute = true, 0, false
	}
}

// play plays the trial; every names the time between two faults.
func (s *sharingSim) play(every time.Duration) {
	s.now = epoch
	for _, h := range s.hosts {
		h.store = true
		s.start(h, true)
	}
	busy := true
	for ; s.now.Sub(epoch) < sharingTime; s.now = s.now.Add(sharingStep) {
		if s.now.Sub(epoch) > sharingStart && s.rng.Int64N(int64(every/sharingStep)) == 0 {
			s.disturb()
		}
		if s.now.Sub(epoch) > sharingStart && s.rng.IntN(40) == 0 {
			busy = s.rng.IntN(4) > 0
		}
		for _, h := range s.hosts {
			s.step(h, busy)
		}
		if s.onStep != nil {
			s.onStep()
		}
	}
}

// step lets a host look, and send as much as it may.
func (s *sharingSim) step(h *sharingHost, busy bool) {
	if h.leaving && !s.now.Before(h.stopped) {
		if h.store && !h.mute {
			h.entryEnd = s.now
		}
		s.start(h, false)
	}
	if s.now.Before(h.frozenTil) {
		return
	}
	for busy && !h.listed.IsZero() {
		if _, ok := h.table.Pick(&Request{Prompt: 10}, s.now); !ok {
			break
		}
		s.arrivals = append(s.arrivals, s.now)
	}
	if !s.now.Before(h.lookAt) {
		h.lookAt = s.now.Add(sharingLook/2 + time.Duration(s.rng.Int64N(int64(sharingLook))))
		s.look(h)
	}
}

// newSharingSim returns a trial with n hosts.
func newSharingSim(n int, seed uint64) *sharingSim {
	s := &sharingSim{rng: rand.New(rand.NewPCG(seed, 41)), svc: engine, server: entryOf(0)}
	for i := range n {
		s.hosts = append(s.hosts, &sharingHost{name: fmt.Sprint("h", i)})
	}
	return s
}

// TestNamedLimitOfDisagreeingHosts guards against hosts that know different ones of the others, since
// they are cut off, stand still, start or stop, and together exceed the limit of a server.
func TestNamedLimitOfDisagreeingHosts(t *testing.T) {
	for name, refuses := range map[string]bool{"calls succeed or fail": false, "writes fail alone": true} {
		t.Run(name, func(t *testing.T) { checkNamedLimit(t, refuses) })
	}
}

// checkNamedLimit plays trials in which the store refuses only writes at times, or not.
func checkNamedLimit(t *testing.T, refuses bool) {
	const seeds = 150
	above, used := 0, 0
	for seed := range uint64(seeds) {
		s := newSharingSim(1+int(seed%5), seed)
		s.refuses = refuses
		s.limit = []float64{1, 2, 5, 20, 40}[s.rng.IntN(5)]
		s.play(time.Duration(1+s.rng.IntN(8)) * time.Second)
		got, want := limits.Most(s.arrivals), limits.Allowed(s.limit)
		if got > want {
			above++
			t.Logf("seed %d: %d hosts, %d requests within %v to a server that takes %v a second, at most %d allowed", seed, len(s.hosts), got, limits.Window, s.limit, want)
		}
		if i, _ := slices.BinarySearchFunc(s.arrivals, epoch.Add(sharingStart), time.Time.Compare); i > int(0.5*s.limit*sharingStart.Seconds()) {
			used++
		}
	}
	if above > 0 {
		t.Errorf("the limit is exceeded with %d of %d seeds", above, seeds)
	}
	if used < seeds {
		t.Errorf("%d of %d seeds: less than half of what the limit allows before the first fault", seeds-used, seeds)
	}
}

// TestColdServerOfDisagreeingHosts guards against hosts that know different ones of the others and
// together exceed the limit of a cold server.
func TestColdServerOfDisagreeingHosts(t *testing.T) {
	const seeds, window = 150, time.Second
	above := 0
	for seed := range uint64(seeds) {
		s := newSharingSim(1+int(seed%5), seed)
		s.svc.WarmupRate = []float64{2, 5, 10, 20}[s.rng.IntN(4)]
		s.server.Warm = time.Hour
		s.play(time.Duration(1+s.rng.IntN(8)) * time.Second)
		most, first := 0, 0
		for i, at := range s.arrivals {
			for at.Sub(s.arrivals[first]) >= window {
				first++
			}
			most = max(most, i-first+1)
		}
		if allowed := int(1.5*s.svc.WarmupRate + 3); most > allowed {
			above++
			t.Logf("seed %d: %d hosts, %d requests in a second to a cold server that takes %v, at most %d allowed", seed, len(s.hosts), most, s.svc.WarmupRate, allowed)
		}
	}
	if above > 0 {
		t.Errorf("the limit is exceeded with %d of %d seeds", above, seeds)
	}
}

// TestRefusalPartsOfDisagreeingHosts guards against hosts that know different ones of the others and
// together may cause more refusals than a server can turn away.
func TestRefusalPartsOfDisagreeingHosts(t *testing.T) {
	const seeds, slots = 400, 6
	above := 0
	for seed := range uint64(seeds) {
		s := newSharingSim(1+int(seed%5), seed)
		s.server.Warm = time.Hour // what is sent must be bounded
		limit := []int{4, 10, 20, 40}[s.rng.IntN(4)]
		most := 0
		s.onStep = func() {
			refusals := 0
			for _, h := range s.hosts {
				hosts := h.table.hostsAt(s.now)
				r := hosts.room(slots, limit, hosts.rank(s.server.ID))
				if len(hosts.Hosts) == 0 {
					continue // it has no list yet
				}
				refusals += r.refusals
			}
			most = max(most, refusals)
		}
		s.play(time.Duration(1+s.rng.IntN(8)) * time.Second)
		if most > limit {
			above++
			t.Logf("seed %d: %d hosts, parts of %d refusals of %d", seed, len(s.hosts), most, limit)
		}
	}
	if above > 0 {
		t.Errorf("more than the whole with %d of %d seeds", above, seeds)
	}
}
