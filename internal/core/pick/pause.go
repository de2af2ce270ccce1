package pick

import (
	"maps"
	"time"
)

// maxPause bounds the pause that a server may request, and all waits.
const maxPause = 10 * time.Minute

// requestedPause is a pause that a process has requested.
type requestedPause struct {
	at, until time.Time
}

// Pause records that the server of a choice has asked this host to pause its requests
// for a time, and reports whether the host was not pausing them already.
func (t *Table) Pause(c *Choice, d time.Duration, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := c.Process()
	old := t.pauses[p].until
	if until := now.Add(min(d, maxPause)); until.After(old) {
		t.pauses[p] = requestedPause{now, until}
	}
	return !now.Before(old)
}

// movePause lets a pause hold for the process that has taken the place of another one, if it was requested after
// the last list, which still named the former one: the new process may have requested it.
func (t *Table) movePause(former, process Process) {
	p, ok := t.pauses[former]
	if ok && former != process && p.at.After(t.listedAt) && p.until.After(t.pauses[process].until) {
		t.pauses[process] = p
	}
}

// pause returns the time until the end of the pause that a server has requested, 0 if
// there is none.
func (t *Table) pause(s *server, now time.Time) time.Duration {
	return max(t.pauses[s.process()].until.Sub(now), 0)
}

// expirePauses removes the pauses that have ended.
func (t *Table) expirePauses(now time.Time) {
	maps.DeleteFunc(t.pauses, func(_ Process, p requestedPause) bool { return !now.Before(p.until) })
}

// Wait is the time until a server accepts a request that it does not accept now.
type Wait struct {
	For time.Duration
	// Limited is set if the server's allowance is used up, and Full if the server has
	// a refusal limit and no room. Both are unset if it has requested a pause.
	Limited, Full bool
}

// ShortestWait returns the wait for the first of the servers that accept no request
// because of a pause or an allowance, or false if there is none. Servers that may
// not get the request and leaving ones do not count.
func (t *Table) ShortestWait(req *Request, now time.Time) (Wait, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var shortest Wait
	found := false
	for _, s := range t.servers {
		if t.leaving(s) || !req.allows(s) {
			continue
		}
		if w := t.wait(s, req.Extra, now); w.For > 0 && (!found || w.For < shortest.For) {
			shortest = w
			found = true
		}
	}
	return shortest, found
}

// wait returns the wait for a server, which is zero if neither a pause nor an
// allowance keeps a request from it. The allowance of a failed server does not count:
// its backoff does. The argument extra is that of the request.
func (t *Table) wait(s *server, extra bool, now time.Time) Wait {
	w := Wait{For: t.pause(s, now)}
	if full, _ := t.full(s, &Request{Extra: extra}, now); full && s.failures < failureThreshold {
		if d := t.roomWait(s, now); d > w.For {
			w = Wait{For: d, Full: true}
		}
	}
	a, limited := t.allowance(s, now)
	if !limited || s.failures >= failureThreshold {
		return w
	}
	s.refill(a, now)
	if d := a.refillTime(s.level); d > w.For {
		w = Wait{For: d, Limited: true}
	}
	return w
}
