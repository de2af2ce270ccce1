package quota_test

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccalb/yuccalb/internal/core/model"
	"github.com/yuccalb/yuccalb/internal/core/quota"
	"github.com/yuccalb/yuccalb/internal/core/slots"
)

// faults configures the faults of a simulation.
type faults struct {
	loss, dup, slow        float64       // probabilities per message; a slow one takes up to 12 s
	kill, pause            time.Duration // mean time between faults, 0 for none
	partition, storeOutage time.Duration // likewise; of a data centre, of the store
	oneWay                 time.Duration // likewise; messages are lost in one direction
	noStore                time.Duration // likewise; the store does not answer one host
	claimSlots             bool          // whether slots are claimed in the store
	takeoverDelay          time.Duration // delay before the slot of a failed host is taken over
	drift                  float64       // highest clock rate minus 1
}

type event struct {
	at    time.Duration
	order int
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return x
}

// record is a value in the store and its version.
type record struct {
	rec     slots.Record
	version uint64
}

// simulation runs hosts in virtual time with a single seeded random source.
type simulation struct {
	rng    *rand.Rand
	now    time.Duration
	events events
	order  int
	f      faults

	cfg              *model.Config
	snaps            []*model.Snapshot
	hosts            map[netip.AddrPort]*host
	sites            map[string][]*host
	epoch            int // changes when a host starts or stops
	orders           map[string][]netip.AddrPort
	store            map[string]*record
	storeDown        bool
	isolatedSites    map[string]bool // data centres that cannot reach the others
	brokenLinks      map[[2]netip.AddrPort]bool
	hideAfter        time.Duration // when isolated data centres leave the views; 0 for never
	log              map[string][]*admission
	skipVersions     bool // hosts skip versions
	ignoreRejections bool // requests ignore cached rejections
	st               stats
}

// stats counts the messages and requests of the hosts.
type stats struct {
	messages, bytes, leases, leaseBytes, reserves, trips int
}

// admission is one entry of the admission log: an admitted request.
type admission struct {
	at, settled    time.Duration
	tokens, unused int64
}

func newSimulation(seed uint64, cfg *model.Config, f faults) *simulation {
	w := &simulation{
		rng: rand.New(rand.NewPCG(seed, 1)), f: f, cfg: cfg,
		hosts: map[netip.AddrPort]*host{}, sites: map[string][]*host{}, orders: map[string][]netip.AddrPort{},
		store: map[string]*record{}, isolatedSites: map[string]bool{}, brokenLinks: map[[2]netip.AddrPort]bool{}, log: map[string][]*admission{},
	}
	w.publish(cfg)
	for i, site := range cfg.Sites {
		for slot := range site.Slots {
			h := w.newHost(i, netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i), byte(slot)}), 7000))
			h.fixedSlot = slot
			h.start()
		}
	}
	w.every(f.kill, w.stopRandomHost)
	w.every(f.pause, w.pauseRandomHost)
	w.every(f.partition, w.isolateRandomSite)
	w.every(f.oneWay, func() {
		a, b := w.randomHost(), w.randomHost()
		if a == nil || b == nil {
			return
		}
		key := [2]netip.AddrPort{a.addr, b.addr}
		w.brokenLinks[key] = true
		w.at(w.upTo(30*time.Second), func() { delete(w.brokenLinks, key) })
	})
	w.every(f.noStore, func() {
		if h := w.randomHost(); h != nil {
			h.noStoreUntil = w.now + w.upTo(80*time.Second)
		}
	})
	w.every(f.storeOutage, func() {
		w.storeDown = true
		w.at(w.upTo(20*time.Second), func() { w.storeDown = false })
	})
	return w
}

// publish publishes a configuration as the newest version.
func (w *simulation) publish(cfg *model.Config) {
	w.cfg = cfg
	w.snaps = append(w.snaps, model.NewSnapshot(uint64(len(w.snaps)+1), "", cfg))
}

// floor returns the lowest version of all running processes.
func (w *simulation) floor() uint64 {
	low := uint64(len(w.snaps))
	for _, h := range w.hosts {
		if h.up {
			low = min(low, h.version)
		}
	}
	return low
}

// sortAddrs sorts addresses in place, so that a run depends only on its seed.
func sortAddrs(list []netip.AddrPort) []netip.AddrPort {
	slices.SortFunc(list, netip.AddrPort.Compare)
	return list
}

func (w *simulation) at(d time.Duration, run func()) {
	w.order++
	heap.Push(&w.events, event{w.now + d, w.order, run})
}

func (w *simulation) upTo(d time.Duration) time.Duration {
	return time.Duration(w.rng.Int64N(int64(d)))
}

func (w *simulation) every(mean time.Duration, run func()) {
	if mean > 0 {
		w.at(w.upTo(2*mean), func() { run(); w.every(mean, run) })
	}
}

func (w *simulation) run(until time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
	}
	w.now = until
}

// randomHost returns a random host that is up, or nil.
func (w *simulation) randomHost() *host {
	i := w.rng.IntN(len(w.cfg.Sites))
	list := w.sites[w.cfg.Sites[i].Name]
	if h := list[w.rng.IntN(len(list))]; h.up {
		return h
	}
	return nil
}

// stopRandomHost kills or stops a host, which later restarts on the same address
// or is replaced by a host on another one.
func (w *simulation) stopRandomHost() {
	h := w.randomHost()
	if h == nil {
		return
	}
	if w.f.claimSlots && w.rng.IntN(3) == 0 {
		h.stopping = true
		return
	}
	h.kill()
	w.at(w.upTo(8*time.Second), func() {
		if w.rng.IntN(3) == 0 && len(w.sites[h.site.Name]) < 6 {
			addr := netip.AddrPortFrom(h.addr.Addr(), h.addr.Port()+uint16(len(w.sites[h.site.Name])))
			fresh := w.newHost(slices.IndexFunc(w.cfg.Sites, func(s model.Site) bool { return s.Name == h.site.Name }), addr)
			fresh.fixedSlot = -1
			fresh.start()
			return
		}
		h.start()
	})
}

func (w *simulation) pauseRandomHost() {
	if h := w.randomHost(); h != nil {
		h.pausedUntil = w.now + w.upTo(15*time.Second)
	}
}

func (w *simulation) isolateRandomSite() {
	name := w.cfg.Sites[w.rng.IntN(len(w.cfg.Sites))].Name
	w.isolatedSites[name] = true
	w.at(w.upTo(20*time.Second), func() { delete(w.isolatedSites, name) })
}

// delay returns a random one-way delay between two data centres.
func (w *simulation) delay(a, b model.Site) time.Duration {
	d := 200 * time.Microsecond
	switch {
	case a.Region != b.Region:
		d = 55 * time.Millisecond
	case a.Name != b.Name:
		d = time.Millisecond
	}
	d += w.upTo(d/10 + 1)
	if w.f.slow > 0 && w.rng.Float64() < w.f.slow {
		d += w.upTo([]time.Duration{2 * time.Second, 12 * time.Second}[w.rng.IntN(2)])
	}
	return d
}

// rendezvousOrder orders hosts for a duty by rendezvous hashing.
func rendezvousOrder(members []netip.AddrPort, duty string) []netip.AddrPort {
	ordered := slices.Clone(members)
	weight := func(a netip.AddrPort) uint64 {
		b := binary.LittleEndian.AppendUint16(append([]byte(duty), a.Addr().AsSlice()...), a.Port())
		return xxhash.Sum64(b)
	}
	slices.SortFunc(ordered, func(a, b netip.AddrPort) int {
		if x, y := weight(a), weight(b); x != y {
			if x < y {
				return -1
			}
			return 1
		}
		return a.Compare(b)
	})
	return ordered
}

// entry returns the host of a data centre that owns a duty.
func (w *simulation) entry(site, duty string) netip.AddrPort {
	key := fmt.Sprintf("%d %s %s", w.epoch, site, duty)
	ordered, ok := w.orders[key]
	if !ok {
		var live []netip.AddrPort
		for _, h := range w.sites[site] {
			if h.up {
				live = append(live, h.addr)
			}
		}
		ordered = rendezvousOrder(live, duty)
		w.orders[key] = ordered
	}
	if len(ordered) == 0 {
		return netip.AddrPort{}
	}
	return ordered[0]
}

// excess returns the largest amount, in nanotokens, by which any window after
// start exceeds rate x t + burst; it is negative when no window does. Refunded
// tokens count as never admitted or, with late set, as admitted until they were
// refunded.
func (w *simulation) excess(org string, rate, burst int64, start time.Duration, late bool) int64 {
	type use struct {
		at time.Duration
		n  int64
	}
	var uses []use
	for _, a := range w.log[org] {
		if !late {
			uses = append(uses, use{a.at, a.tokens - a.unused})
			continue
		}
		uses = append(uses, use{a.at, a.tokens})
		if a.settled > 0 {
			uses = append(uses, use{a.settled, -a.unused})
		}
	}
	slices.SortStableFunc(uses, func(a, b use) int { return int(a.at - b.at) })
	most, level, last := int64(-1<<62), int64(0), start
	for _, u := range uses {
		if u.at < start {
			continue
		}
		level = max(0, level-rate*int64(u.at-last)) + u.n*1e9
		last = u.at
		most = max(most, level-burst*1e9)
	}
	return most
}

// makeView builds the view that the host has of the membership.
func (h *host) makeView(members []netip.AddrPort) *quota.View {
	cache := map[string][]netip.AddrPort{}
	v := &quota.View{Members: members, Order: func(duty string) []netip.AddrPort {
		if cache[duty] == nil {
			cache[duty] = rendezvousOrder(members, duty)
		}
		return cache[duty]
	}}
	for _, site := range h.w.cfg.Sites {
		hidden := h.w.hideAfter > 0 && h.w.now > h.w.hideAfter && h.w.isolatedSites[site.Name] != h.w.isolatedSites[h.site.Name]
		if site.Name != h.site.Name && !hidden {
			v.Remotes = append(v.Remotes, quota.Remote{Site: site.Name, Region: site.Region, Owner: func(duty string) netip.AddrPort {
				return h.w.entry(site.Name, duty)
			}})
		}
	}
	return v
}
