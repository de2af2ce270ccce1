package relay

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/yuccalb/yuccalb/internal/edge/clock"
)

// driftPart bounds the part by which the clocks of two hosts may run at different speeds, as one of
// so many.
const driftPart = 1000

// maxClocks bounds the hosts whose clocks are known.
const maxClocks = 1024

// peerClocks knows the clocks of other hosts from their responses, so that a deadline can be stated
// to a host on its own clock: the remaining time alone says too much at a host that reads it late,
// because it stood still or the request was held on the way. It is safe for concurrent use; the
// zero value is ready.
type peerClocks struct {
	mu    sync.Mutex
	hosts map[netip.AddrPort]peerClock
}

// peerClock is the clock of one process of a host.
type peerClock struct {
	start int64 // of the process, in Unix nanoseconds
	// offset is at most what that clock was ahead of the one here at the time at.
	offset, at time.Duration
}

// record records the clock that a host has stated in a response which arrived at now.
func (c *peerClocks) record(host netip.AddrPort, text string, now time.Duration) {
	start, read, ok := parseClock(text)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hosts == nil || len(c.hosts) >= maxClocks {
		c.hosts = make(map[netip.AddrPort]peerClock)
	}
	p := peerClock{start, read - now, now}
	if old, known := c.hosts[host]; known && old.start == start {
		p.offset = max(p.offset, old.offset-(now-old.at)/driftPart)
	}
	c.hosts[host] = p
}

// state returns a time on the clock here as the host is to read it, and false if its clock is not
// known. The host's reading is earlier than the time, by the time that its responses take.
func (c *peerClocks) state(host netip.AddrPort, at time.Duration) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.hosts[host]
	if !ok {
		return "", false
	}
	return formatClock(p.start, at+p.offset), true
}

// formatClock encodes a reading of the clock of a process.
func formatClock(start int64, read time.Duration) string {
	return fmt.Sprintf("%d %d", start, read.Nanoseconds())
}

// parseClock decodes the result of formatClock.
func parseClock(text string) (start int64, read time.Duration, ok bool) {
	a, b, _ := strings.Cut(text, " ")
	start, err1 := strconv.ParseInt(a, 10, 64)
	n, err2 := strconv.ParseInt(b, 10, 64)
	return start, time.Duration(n), err1 == nil && err2 == nil
}

// statedDeadline returns the deadline that the host which forwarded the request has stated on the
// clock of this process, and false if it has stated none.
func (q *request) statedDeadline() (time.Time, bool) {
	start, at, ok := parseClock(q.r.Header.Get(headerUntil))
	if !ok || start != q.s.fleet.ProcessStart() {
		return time.Time{}, false
	}
	return time.Now().Add(at - clock.Now()), true
}

// stateDeadline returns the deadline of the request on the clock of the host at dest.
func (q *request) stateDeadline() (string, bool) {
	return q.s.clocks.state(q.dest.addr, clock.Now()+q.remaining())
}

// clockNow returns the reading of the clock of this process, for other hosts.
func (s *Relay) clockNow() string { return formatClock(s.fleet.ProcessStart(), clock.Now()) }
