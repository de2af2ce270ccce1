// Package reach decides whether a host reaches the backend servers of its region. A host
// that alone has lost its path to them sees what it also sees when servers fail: refused,
// reset or silent connections. Only that no server at all responds tells one from the other.
//
// A Path is safe for concurrent use. It reads no clock: the time is an argument.
package reach

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// minServers is the number of servers that must have failed, unless there are fewer,
	// and minFailures that of failed attempts.
	minServers, minFailures = 2, 2
	// settle is the time after which minServers are enough even if they are less than
	// half of the servers: some may crash together while the others happen to be idle.
	settle = 300 * time.Millisecond
	// evidenceTTL is the time after which failures without any further one no longer
	// count: an idle host sees no responses in between.
	evidenceTTL = 3 * time.Second
	// silence is the time without a byte from any server, while several have requests
	// to answer, after which the path is doubted.
	silence = 700 * time.Millisecond
	// probeInterval is the mean time between two probes, which is varied by half so
	// that hosts do not probe together.
	probeInterval = 250 * time.Millisecond
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

// evidence are failed attempts since the last response that contradicts them.
type evidence struct {
	since, last time.Time
	count       int
	servers     map[string]bool
}

func (e *evidence) add(server string, now time.Time) {
	if e.count > 0 && now.Sub(e.last) > evidenceTTL {
		e.count = 0
	}
	e.last = now
	if e.count == 0 {
		e.since = now
		e.servers = make(map[string]bool)
	}
	e.count++
	if len(e.servers) < maxServers {
		e.servers[server] = true
	}
}

// enough reports whether the evidence shows that none of n servers can be reached.
func (e *evidence) enough(n int, now time.Time) bool {
	if e.count < minFailures || len(e.servers) < min(minServers, max(n, 1)) {
		return false
	}
	return 2*len(e.servers) >= n || now.Sub(e.since) >= settle
}

// waiting are the requests in progress to one server.
type waiting struct {
	count int
	since time.Time // when the first of them was sent
}

// Path is the path from a host to the servers of its region.
type Path struct {
	mu sync.Mutex
	// servers is the number of servers of the region.
	servers int
	state   State
	// failed are attempts without any response since the last response, and refused
	// those that got none on a new connection since the last that did.
	failed, refused evidence
	waiting         map[string]*waiting
	heardAt         time.Time // the last byte from any server
	probeAt         time.Time // of the next probe
	rng             *rand.Rand
}

// NewPath returns a path that counts as intact; rng varies the times of probes.
func NewPath(rng *rand.Rand) *Path {
	return &Path{waiting: make(map[string]*waiting), rng: rng}
}

// SetServers sets the number of servers of the region.
func (p *Path) SetServers(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.servers = n
}

// State returns the state of the path.
func (p *Path) State() State {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state
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
func (p *Path) Ended(server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.waiting[server]
	if w == nil {
		return
	}
	if w.count--; w.count <= 0 {
		delete(p.waiting, server)
	}
}

// Responded records bytes from a server; opened is set if the request was sent on a
// connection opened for it. It reports whether the state has changed.
func (p *Path) Responded(opened bool, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heardAt = now
	p.failed.count = 0
	if opened {
		p.refused.count = 0
	}
	return p.update(now)
}

// Failed records an attempt at a server that got no byte of a response; opened is set if
// it needed a new connection. It reports whether the state has changed.
func (p *Path) Failed(server string, opened bool, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failed.add(server, now)
	if opened {
		p.refused.add(server, now)
	}
	return p.update(now)
}

// update sets the state and reports whether it has changed. Once the path is lost, only a
// response changes that, and only one on a new connection restores it.
func (p *Path) update(now time.Time) bool {
	old := p.state
	switch {
	case p.failed.enough(p.servers, now), p.state == Lost && p.failed.count > 0:
		p.state = Lost
	case p.refused.enough(p.servers, now), p.state != Reached && p.refused.count > 0:
		p.state = OpenOnly
	default:
		p.state = Reached
	}
	return p.state != old
}

// Probe reports whether a server should be probed now: while the path is not intact, while
// it is doubted, or if the caller wants it for a reason of its own.
func (p *Path) Probe(wanted bool, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !wanted && p.state == Reached && !p.doubted(now) || now.Before(p.probeAt) {
		return false
	}
	p.probeAt = now.Add(probeInterval/2 + time.Duration(p.rng.Int64N(int64(probeInterval))))
	return true
}

// doubted reports whether several servers owe responses, and no byte of any has come for
// some time. A single server may be silent and go on.
func (p *Path) doubted(now time.Time) bool {
	if now.Sub(p.heardAt) < silence {
		return false
	}
	n := 0
	for _, w := range p.waiting {
		if now.Sub(w.since) >= silence {
			n++
		}
	}
	return n > 0 && n >= min(minServers, p.servers)
}
