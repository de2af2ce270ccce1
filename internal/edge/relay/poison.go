package relay

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/core/pick"
	"github.com/yuccalb/yuccalb/internal/core/retry"
	"github.com/yuccalb/yuccalb/internal/edge/fleet"
)

// checkPoison returns a refusal if the prompt has a part that is suspected to make servers
// crash and the request is not a probe.
func (q *request) checkPoison(now time.Time) *refusal {
	svc := q.s.fleet.Service(q.service)
	if svc == nil || len(q.parts) == 0 || q.forwarded && q.probe {
		return nil
	}
	v := svc.Poison.Check(q.parts, now)
	if v.Probe {
		q.probe = true
		q.probePart = v.Part
		q.s.log.Info("request with a suspected prompt part sent as a probe", zap.String("id", q.id), zap.String("service", q.service), zap.Strings("parts", q.partNames(0, maxLoggedParts)))
	}
	if !v.Refuse {
		return nil
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
	if svc := q.s.fleet.Service(q.service); svc != nil {
		q.s.fleet.LogPoison(q.service, svc.Poison.Begun(q.parts, time.Now()), zap.String("id", q.id))
	}
}

// recordCrash records what an attempt at a server tells about a crash: that it broke off
// the request before the response had begun, or that nothing listens at its address.
func (q *request) recordCrash(svc *fleet.Service, c *pick.Choice, o pick.Outcome) {
	now := time.Now()
	switch {
	case o == pick.NoConnect && q.connLost:
		q.s.fleet.LogPoison(q.service, svc.Poison.Ended(c.Process(), now))
	case o != pick.Aborted && q.connLost && !q.began && len(q.parts) > 0:
		q.s.stats.BrokenOff(q.service)
		q.s.fleet.LogPoison(q.service, svc.Poison.Broken(c.Process(), q.parts, now))
	}
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
