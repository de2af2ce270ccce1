package relay

import (
	"errors"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/core/pick"
	"github.com/yuccalb/yuccalb/internal/core/poison"
	"github.com/yuccalb/yuccalb/internal/core/retry"
	"github.com/yuccalb/yuccalb/internal/edge/fleet"
	"github.com/yuccalb/yuccalb/internal/edge/send"
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
		q.s.fleet.LogPoison(q.service, svc.Poison.Ended(c.Process(), now))
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

// endCheckTimeout bounds the check whether a server has ended. Within a region, a refused
// connection takes milliseconds.
const endCheckTimeout = 500 * time.Millisecond

// checkEnd opens a connection to a server that broke off a request, and closes it: if nothing
// listens there, the process has ended, which its entry shows only seconds later.
func (s *Relay) checkEnd(service string, p pick.Process, addr netip.AddrPort) {
	s.checks.Go(func() {
		conn, err := send.NewDialer(endCheckTimeout).Dial("tcp4", addr.String())
		if err == nil {
			_ = conn.Close() // nothing was sent
			return
		}
		svc := s.fleet.Service(service)
		if svc == nil || !errors.Is(err, syscall.ECONNREFUSED) {
			return
		}
		s.fleet.LogPoison(service, svc.Poison.Ended(p, time.Now()))
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
