// Package reach decides whether a host reaches the backend servers of its region. A host
// that alone has lost its path to them sees what it also sees when servers fail: refused,
// reset or silent connections. Only that no server at all responds tells one from the other.
//
// A Path is safe for concurrent use. It reads no clock: the time is an argument.
package reach

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// minServers is the number of servers that must have failed, unless no other one is
	// left, and minFailures that of failed attempts.
	minServers, minFailures = 2, 2
	// settle is the time after which minServers are enough even if they are not the
	// most: some may crash together while the others happen to be idle.
	settle = 300 * time.Millisecond
	// evidenceTTL is the time after which failures without any further one no longer
	// count: an idle host sees no responses in between.
	evidenceTTL = 3 * time.Second
	// silence is the time without a byte from any server, while several have requests
	// to answer, after which the path is doubted.
	silence = 700 * time.Millisecond
	// probeInterval is the mean time between two probes, which is varied by half so
	// that hosts do not probe together. Up to maxProbes run at a time while the path is in
	// doubt, and one while it is known not to be intact.
	probeInterval = 250 * time.Millisecond
	maxProbes     = 3
	// probeWait is the time without an answer to a probe after which requests that may not
	// run twice are no longer sent over a silent path.
	probeWait = 150 * time.Millisecond
	// maxServers bounds the servers that are remembered.
	maxServers = 64
)

// State is what is known of the path to the servers.
type State int

// States. In OpenOnly servers respond on connections that are open, and none can be
// opened. In Lost none responds.
const (
	Reached State = iota
	OpenOnly
	Lost
)

// String returns the name of the state as logs print it.
func (s State) String() string {
	switch s {
	case OpenOnly:
		return "open only"
	case Lost:
		return "lost"
	default:
		return "reached"
	}
}

// evidence are the servers whose last attempt failed, and the failures since the last
// response of any server.
type evidence struct {
	bad map[string]bool
	// fresh are the servers that were not bad before.
	fresh       map[string]bool
	count       int
	since, last time.Time
}

// fail records a failed attempt.
func (e *evidence) fail(server string, now time.Time) {
	if e.count > 0 && now.Sub(e.last) > evidenceTTL {
		e.clear()
	}
	if e.count == 0 {
		e.since = now
	}
	e.count++
	e.last = now
	if e.bad[server] || len(e.bad) >= maxServers {
		return
	}
	if e.bad == nil {
		e.bad, e.fresh = make(map[string]bool), make(map[string]bool)
	}
	e.bad[server] = true
	e.fresh[server] = true
}

// respond records a response of a server.
func (e *evidence) respond(server string) {
	delete(e.bad, server)
	e.clear()
}

// clear forgets the failures, but not which servers are bad.
func (e *evidence) clear() {
	e.count = 0
	clear(e.fresh)
}

// retain forgets the servers that are not listed.
func (e *evidence) retain(listed map[string]bool) {
	maps.DeleteFunc(e.bad, func(id string, _ bool) bool { return !listed[id] })
	maps.DeleteFunc(e.fresh, func(id string, _ bool) bool { return !listed[id] })
}

// enough reports whether the evidence shows that none of n servers can be reached.
// Servers that were bad before say nothing new.
func (e *evidence) enough(n int, now time.Time) bool {
	good := n - len(e.bad)
	switch {
	case e.count < minFailures || now.Sub(e.last) > evidenceTTL:
		return false
	case good <= 0:
		return true
	case len(e.fresh) < minServers:
		return false
	}
	return len(e.fresh) > good || now.Sub(e.since) >= settle
}

// waiting are the requests in progress to one server.
type waiting struct {
	count int
	since time.Time // when the first of them was sent
}

// silent reports whether the server owes a response for some time.
func (w *waiting) silent(now time.Time) bool { return now.Sub(w.since) >= silence }

// Path is the path from a host to the servers of its region.
type Path struct {
	mu sync.Mutex
	// servers is the number of servers of the region.
	servers int
	state   State
	// failed are attempts without any response, and refused those of them that needed
	// a new connection.
	failed, refused evidence
	changedAt       time.Time // the last change of state
	waiting         map[string]*waiting
	// overdue are the servers to which a request has ended without a byte from any server,
	// by the time of its end. They still count as waiting.
	overdue map[string]time.Time
	heardAt time.Time // the last byte from any server
	probeAt time.Time // of the next probe
	// probing are the servers being probed, and probedAt is when the first probe since
	// the last byte from any server was sent, zero if there was none.
	probing  map[string]bool
	probedAt time.Time
	rng      *rand.Rand
}

// NewPath returns a path that counts as intact; rng varies the times of probes.
func NewPath(rng *rand.Rand) *Path {
	return &Path{waiting: make(map[string]*waiting), overdue: make(map[string]time.Time), probing: make(map[string]bool), rng: rng}
}

// SetServers sets the servers of the region.
func (p *Path) SetServers(listed map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.servers = len(listed)
	p.failed.retain(listed)
	p.refused.retain(listed)
}

// State returns the state of the path.
func (p *Path) State() State {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state
}

// Cautious returns the state to go by for a request that may not run twice. Before it is
// known whether the path is intact, such a request goes by an open connection once a new one
// has failed, and by none once a probe of a silent path is not answered.
func (p *Path) Cautious(now time.Time) State {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.state != Reached:
		return p.state
	case p.doubted(now) && !p.probedAt.IsZero() && now.Sub(p.probedAt) >= probeWait:
		return Lost
	case p.newDoubted(now):
		return OpenOnly
	}
	return Reached
}

// Since returns the state of the path and how long it has lasted.
func (p *Path) Since(now time.Time) (State, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state, now.Sub(p.changedAt)
}

// Tick reports whether the state changes with the time alone.
func (p *Path) Tick(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.update(now)
}

// Sent records that a request is sent to a server.
func (p *Path) Sent(server string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.waiting[server]
	if w == nil {
		w = &waiting{since: now}
		p.waiting[server] = w
	}
	w.count++
}

// Ended records the end of a request to a server, whatever its outcome.
func (p *Path) Ended(server string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.waiting[server]
	if w == nil {
		return
	}
	if w.silent(now) && p.heardAt.Before(w.since) && len(p.overdue) < maxServers {
		p.overdue[server] = now
	}
	if w.count--; w.count <= 0 {
		delete(p.waiting, server)
	}
}

// Responded records bytes from a server; opened is set if the request was sent on a
// connection opened for it. It reports whether the state has changed.
func (p *Path) Responded(server string, opened bool, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heardAt = now
	clear(p.overdue)
	p.probedAt = time.Time{}
	p.failed.respond(server)
	if opened {
		p.refused.respond(server)
	}
	return p.update(now)
}

// Failed records an attempt at a server that got no byte of a response; opened is set if
// it needed a new connection. It reports whether the state has changed.
func (p *Path) Failed(server string, opened bool, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failed.fail(server, now)
	if opened {
		p.refused.fail(server, now)
	}
	return p.update(now)
}

// update sets the state and reports whether it has changed. A state other than Reached
// lasts until a response contradicts it.
func (p *Path) update(now time.Time) bool {
	state := Reached
	switch {
	case p.failed.enough(p.servers, now), p.state == Lost && p.failed.count > 0:
		state = Lost
	case p.refused.enough(p.servers, now), p.state != Reached && p.refused.count > 0:
		state = OpenOnly
	}
	if state == p.state {
		return false
	}
	p.state = state
	p.changedAt = now
	return true
}

// Probe reports whether a server should be probed now: while the path is not intact, while
// it is doubted, or if the caller wants it for a reason of its own.
func (p *Path) Probe(wanted bool, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := 1
	switch {
	case p.state != Reached:
	case p.doubted(now), p.newDoubted(now):
		limit = maxProbes
	case !wanted:
		return false
	}
	if len(p.probing) >= limit || now.Before(p.probeAt) {
		return false
	}
	p.probeAt = now.Add(probeInterval/2 + time.Duration(p.rng.Int64N(int64(probeInterval))))
	return true
}

// ProbeSent records that a probe is sent to a server. ProbeEnded must be called once it has
// ended.
func (p *Path) ProbeSent(server string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.probing[server] = true
	if p.probedAt.IsZero() {
		p.probedAt = now
	}
}

// ProbeEnded records the end of a probe of a server, whatever its outcome.
func (p *Path) ProbeEnded(server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.probing, server)
}

// Probing reports whether a server is being probed.
func (p *Path) Probing(server string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.probing[server]
}

// Bad reports whether the last attempt at a server failed.
func (p *Path) Bad(server string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failed.bad[server]
}

// doubted reports whether several servers owe responses, and no byte of any has come for
// some time. A single server may be silent and go on. A host with few requests has one in
// progress at a time, so that those which have ended lately count as well.
func (p *Path) doubted(now time.Time) bool {
	if now.Sub(p.heardAt) < silence {
		return false
	}
	n := 0
	for _, w := range p.waiting {
		if w.silent(now) {
			n++
		}
	}
	for server, at := range p.overdue {
		if w := p.waiting[server]; now.Sub(at) <= evidenceTTL && (w == nil || !w.silent(now)) {
			n++
		}
	}
	return n > 0 && n >= min(minServers, p.servers)
}

// newDoubted reports whether a new connection has failed lately, and none has been opened
// since.
func (p *Path) newDoubted(now time.Time) bool {
	return p.refused.count > 0 && now.Sub(p.refused.last) <= evidenceTTL
}
