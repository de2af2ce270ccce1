package relay

import (
	"errors"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/core/pick"
	"github.com/yuccalb/yuccalb/internal/core/poison"
	"github.com/yuccalb/yuccalb/internal/core/reach"
	"github.com/yuccalb/yuccalb/internal/core/retry"
	"github.com/yuccalb/yuccalb/internal/edge/fleet"
)

// checkPoison returns a refusal if the request, or a part of its prompt, is suspected to make
// servers crash and the request is not a probe.
func (q *request) checkPoison(now time.Time) *refusal {
	svc := q.s.fleet.Service(q.service)
	if svc == nil || q.forwarded && q.probe || svc.Poison.Suspects() == 0 {
		return nil
	}
	v := svc.Poison.Check(q.allParts(), now)
	if v.Probe {
		q.probe = true
		q.probePart = v.Part
		q.s.log.Info("suspected request sent as a probe", zap.String("id", q.id), zap.String("service", q.service), zap.Stringer("part_hash", v.Part))
	}
	if !v.Refuse {
		return nil
	}
	if v.Part.Whole() {
		q.refusalInputs = append(q.refusalInputs, zap.Stringer("request_hash", v.Part))
		return &refusal{http.StatusServiceUnavailable, reasonPoisonRequest, v.Wait}
	}
	name := strings.Join(q.partNames(v.Index, v.Index+1), "")
	q.refusalInputs = append(q.refusalInputs, zap.String("part", name))
	return &refusal{http.StatusServiceUnavailable, reasonPoison, v.Wait}
}

// endProbe returns the permission for a probe if the request was not run.
func (q *request) endProbe(res retry.Result) {
	if !q.probe || q.forwarded {
		return
	}
	q.probe = false
	// A new configuration may have removed the service meanwhile.
	if svc := q.s.fleet.Service(q.service); svc != nil && res == retry.NotRun {
		svc.Poison.ReturnProbe(q.probePart)
	}
}

// recordBegun records that the response to the last attempt has begun.
func (q *request) recordBegun() {
	if q.began {
		return
	}
	q.began = true
	q.clearParts(q.parts)
}

// recordComplete records that the response to the last attempt is a complete success, as
// far as its framing shows.
func (q *request) recordComplete() {
	// Most of the time the body need not be hashed.
	if svc := q.s.fleet.Service(q.service); svc != nil && svc.Poison.Watching() {
		q.clearParts([]poison.Part{q.whole()})
	}
}

// clearParts records that a server has answered requests with some parts.
func (q *request) clearParts(parts []poison.Part) {
	if svc := q.s.fleet.Service(q.service); svc != nil {
		q.s.fleet.LogPoison(q.service, svc.Poison.Begun(parts, time.Now()), zap.String("id", q.id))
	}
}

// recordCrash records what an attempt at a server tells about a crash: that it broke off
// the request, or that nothing listens at its address. The parts of the prompt are not
// the cause if the response had begun. One that ends with its connection may be
// complete.
func (q *request) recordCrash(svc *fleet.Service, c *pick.Choice, o pick.Outcome) {
	now := time.Now()
	switch {
	case !q.connLost || o == pick.Aborted || q.began && q.endUnknown:
	case o == pick.NoConnect:
		q.s.checkEnd(q.service, c.Process(), q.dest.addr)
	default:
		q.s.stats.BrokenOff(q.service)
		parts := q.allParts()
		if q.began {
			parts = parts[len(parts)-1:]
		}
		changes, first := svc.Poison.Broken(c.Process(), parts, q.sentAt, now)
		q.s.fleet.LogPoison(q.service, changes)
		if first {
			q.s.checkEnd(q.service, c.Process(), q.dest.addr)
		}
	}
}

const (
	// endSettle is how long the path to the servers must have been intact when a refused
	// connection counts for the end of a process: a host that is cut off sees the same.
	endSettle = 500 * time.Millisecond
	// endCheckTime bounds how long it is checked again because the path was not intact.
	endCheckTime = 10 * time.Second
)

// ends are the processes that are being checked for their end.
type ends struct {
	mu      sync.Mutex
	checked map[pick.Process]bool
}

// begin adds a process unless it is being checked already.
func (e *ends) begin(p pick.Process) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.checked[p] {
		return false
	}
	if e.checked == nil {
		e.checked = make(map[pick.Process]bool)
	}
	e.checked[p] = true
	return true
}

// end removes a process.
func (e *ends) end(p pick.Process) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.checked, p)
}

// checkEnd checks whether nothing listens any more at the address of a server that broke off
// or refused a connection: then the process has ended, which its entry shows only seconds
// later.
func (s *Relay) checkEnd(service string, p pick.Process, addr netip.AddrPort) {
	if !s.ends.begin(p) {
		return
	}
	s.checks.Go(func() {
		defer s.ends.end(p)
		for began := time.Now(); time.Since(began) < endCheckTime && s.servers.Refused(addr); {
			select {
			case <-s.stop.ended.Done():
				return
			case <-time.After(endSettle):
			}
			if state, d := s.fleet.Path().Since(time.Now()); state != reach.Reached || d < endSettle {
				continue
			}
			if svc := s.fleet.Service(service); svc != nil {
				s.fleet.LogPoison(service, svc.Poison.Ended(p, time.Now()))
			}
			return
		}
	})
}

// connEnded reports whether an error shows that the server closed the connection.
func connEnded(err error) bool {
	for _, target := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}
