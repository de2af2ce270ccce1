package quota_test

import (
	"net/netip"
	"slices"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/model"
	"github.com/yuccalb/yuccalb/internal/core/quota"
	"github.com/yuccalb/yuccalb/internal/core/slots"
)

// base is the time at which all simulations start.
var base = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// host is an address in a simulation and the process that runs on it.
type host struct {
	w            *simulation
	addr         netip.AddrPort
	site         model.Site
	fixedSlot    int // slot held when slots are not claimed in the store; -1 for none
	gen          int // generation of the process
	up           bool
	stopping     bool
	pausedUntil  time.Duration
	noStoreUntil time.Duration
	offset       time.Duration
	rate         float64

	node          *quota.Node
	claim         *slots.ClaimState
	version       uint64
	lastHeartbeat map[netip.AddrPort]time.Time
	members       []netip.AddrPort
	nRemote       int
	outbox        map[netip.AddrPort][]quota.Settlement
	flushPending  bool
}

func (w *simulation) newHost(site int, addr netip.AddrPort) *host {
	h := &host{w: w, addr: addr, site: w.cfg.Sites[site], rate: 1 + w.f.drift*w.rng.Float64(), offset: w.upTo(time.Hour)}
	if w.rng.IntN(3) == 0 {
		h.rate = 1 + w.f.drift
	}
	w.hosts[addr] = h
	w.sites[h.site.Name] = append(w.sites[h.site.Name], h)
	return h
}

func (h *host) clock() time.Time {
	return base.Add(h.offset + h.w.now + time.Duration(float64(h.w.now)*(h.rate-1)))
}

// start starts a new process.
func (h *host) start() {
	w := h.w
	h.gen++
	w.epoch++
	h.up, h.stopping, h.pausedUntil = true, false, 0
	h.lastHeartbeat, h.members, h.outbox, h.flushPending = map[netip.AddrPort]time.Time{}, nil, map[netip.AddrPort][]quota.Settlement{}, false
	incarnation := int64(w.now) + 1
	h.node = quota.NewNode(h.clock(), h.addr, h.site.Name, incarnation, w.rng)
	h.claim = slots.New(slots.Holder{Addr: h.addr, Incarnation: incarnation}, h.clock(), w.f.takeoverDelay)
	h.load()
	if !w.f.claimSlots && h.gen == 1 && h.fixedSlot >= 0 {
		h.node.SetSlot(h.clock(), h.fixedSlot, h.clock().Add(1000*time.Hour))
	}
	h.later(w.upTo(time.Second), h.tick)
	if w.f.claimSlots {
		h.later(w.upTo(200*time.Millisecond), h.poll)
	}
}

func (h *host) kill() {
	h.up = false
	h.gen++
	h.w.epoch++
}

// apply activates a version together with the current floor. Unless the
// simulation skips versions, it applies all versions before it first.
func (h *host) apply(version uint64) {
	for ; !h.w.skipVersions && h.version > 0 && h.version < version; h.version++ {
		h.node.Apply(h.clock(), h.w.snaps[h.version-1], h.w.floor())
	}
	h.version = max(h.version, version)
	h.node.Apply(h.clock(), h.w.snaps[h.version-1], h.w.floor())
}

// load gives a new process the version and the history of the running process
// with the newest version, or the latest published version if none runs.
func (h *host) load() {
	var best *host
	for _, site := range h.w.cfg.Sites {
		for _, other := range h.w.sites[site.Name] {
			if other != h && other.up && (best == nil || other.version > best.version) {
				best = other
			}
		}
	}
	newest := uint64(len(h.w.snaps))
	if best != nil {
		newest = best.version
	}
	h.version = 0
	h.apply(newest)
	if best != nil && best.node.Shares().Complete() {
		h.node.Restore(h.clock(), best.node.Shares().History())
	}
}

// later runs fn in this process after d, or after its pause if it is paused then.
func (h *host) later(d time.Duration, fn func()) {
	gen := h.gen
	h.w.at(d, func() { h.do(gen, fn) })
}

func (h *host) do(gen int, fn func()) {
	switch {
	case h.gen != gen || !h.up:
	case h.w.now < h.pausedUntil:
		h.w.at(h.pausedUntil-h.w.now, func() { h.do(gen, fn) })
	default:
		fn()
	}
}

// send runs fn at the process that runs on the address on arrival.
func (h *host) send(to netip.AddrPort, size int, fn func(p *host)) {
	w := h.w
	p := w.hosts[to]
	if size > 0 {
		w.st.messages++
		w.st.bytes += size
	}
	if p == nil || w.f.loss > 0 && w.rng.Float64() < w.f.loss {
		return
	}
	if w.brokenLinks[[2]netip.AddrPort{h.addr, to}] {
		return
	}
	if h.site.Name != p.site.Name && w.isolatedSites[h.site.Name] != w.isolatedSites[p.site.Name] {
		return
	}
	w.at(w.delay(h.site, p.site), func() { p.do(p.gen, func() { fn(p) }) })
	if w.f.dup > 0 && w.rng.Float64() < w.f.dup {
		w.at(w.delay(h.site, p.site), func() { p.do(p.gen, func() { fn(p) }) })
	}
}

// reply is like send, but only generation gen of the process receives it.
func (h *host) reply(to *host, gen, size int, fn func()) {
	h.send(to.addr, size, func(p *host) {
		if p.gen == gen {
			fn()
		}
	})
}

// tick runs every second and updates the view, the floor and the slot, and sends
// heartbeats.
func (h *host) tick() {
	now := h.clock()
	members := []netip.AddrPort{}
	if !h.stopping {
		members = append(members, h.addr)
	}
	for addr, at := range h.lastHeartbeat {
		if now.Sub(at) < 3*time.Second {
			members = append(members, addr)
		}
	}
	sortAddrs(members)
	if v := h.makeView(members); !slices.Equal(members, h.members) || len(v.Remotes) != h.nRemote {
		h.members, h.nRemote = members, len(v.Remotes)
		h.node.SetView(now, v)
	}
	h.apply(h.version)
	h.node.Sweep(now)
	h.syncSlot()
	for _, peer := range h.w.sites[h.site.Name] {
		if peer != h {
			h.sendHeartbeat(peer.addr)
		}
	}
	h.later(time.Second, h.tick)
}

func (h *host) sendHeartbeat(to netip.AddrPort) {
	sent, returned, gen, leaving := h.clock(), h.node.ReturnedLease(to), h.gen, h.stopping
	h.send(to, 0, func(p *host) {
		if delete(p.lastHeartbeat, h.addr); !leaving {
			p.lastHeartbeat[h.addr] = p.clock()
		}
		lease, ok := p.node.Lease(p.clock(), h.addr, returned)
		if !ok {
			return
		}
		h.w.st.leases++
		h.w.st.leaseBytes += leaseSize(lease)
		p.reply(h, gen, 0, func() { h.node.AcceptLease(h.clock(), to, sent, lease) })
	})
}

// syncSlot passes the state of the slot claim to the node, and ends a stopping
// process when its slot is released.
func (h *host) syncSlot() {
	if !h.w.f.claimSlots {
		return
	}
	now := h.clock()
	slot, until, ok := h.claim.Slot(now)
	if !ok || h.stopping {
		h.node.SetSlot(now, -1, now)
	} else {
		h.node.SetSlot(now, slot, until)
	}
	if h.stopping && h.node.Idle(now) {
		h.claim.Release()
		if !h.claim.Held() {
			h.kill()
			h.w.at(h.w.upTo(5*time.Second), h.start)
		}
	}
}

// poll reads the slot record and writes what the claim rules require. A
// response may be lost after a write took effect.
func (h *host) poll() {
	w, key := h.w, h.site.Name
	h.later(2*time.Second+w.upTo(time.Second), h.poll)
	conditions := slots.Conditions{Slots: h.node.Shares().Slots(key), Failed: func(a netip.AddrPort) bool {
		at, ok := h.lastHeartbeat[a]
		return a != h.addr && (!ok || h.clock().Sub(at) > 5*time.Second)
	}}
	sent := h.clock()
	w.call(h, func(*record) bool { return true }, func(rec slots.Record, version uint64) {
		next := h.claim.Read(h.clock(), sent, rec, version, conditions)
		h.syncSlot()
		if next == nil {
			return
		}
		wrote := h.clock()
		w.call(h, func(r *record) bool {
			if r.version != version {
				return false
			}
			r.rec, r.version = *next, version+1
			return true
		}, func(rec slots.Record, version uint64) {
			h.claim.Written(h.clock(), wrote, rec, version)
			h.syncSlot()
		})
	})
}

// call sends a call to the store; done runs if it succeeds and its response arrives.
func (w *simulation) call(h *host, serve func(*record) bool, done func(slots.Record, uint64)) {
	gen := h.gen
	w.at(w.upTo(30*time.Millisecond), func() {
		r := w.store[h.site.Name]
		if r == nil {
			r = &record{}
			w.store[h.site.Name] = r
		}
		if w.storeDown || w.now < h.noStoreUntil || !serve(r) || w.rng.Float64() < w.f.loss {
			return
		}
		rec, version := r.rec, r.version
		w.at(w.upTo(30*time.Millisecond), func() { h.do(gen, func() { done(rec, version) }) })
	})
}
