package relay

import (
	"errors"

	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/core/resume"
	"github.com/yuccalb/yuccalb/internal/edge/clock"
	"github.com/yuccalb/yuccalb/internal/edge/send"
	"github.com/yuccalb/yuccalb/platform"
)

// process returns the process of the chosen server to which a stream must be sent that may go on
// elsewhere: only of this process is the software version known. It returns nil for other requests.
func (q *request) process() *send.Process {
	if !q.resumable() {
		return nil
	}
	p := q.choice.Process()
	until := resume.OpenedUntil(q.s.fleet.Confirmed(p), clock.Now())
	return &send.Process{Born: p.Born, Until: until, Target: platform.ReportPath, Parse: platform.ParseBorn}
}

// otherProcess reports whether an attempt failed because the connection does not lead, as far as is
// known, to the process that was chosen. The request was not sent then, and the server gets
// no other attempt of it.
func (q *request) otherProcess(err error) bool {
	result := ""
	switch {
	case errors.Is(err, send.ErrOtherProcess):
		result = "other"
	case errors.Is(err, send.ErrUnknownProcess):
		result = "unknown"
	default:
		return false
	}
	q.s.stats.ProcessCheck(q.service, result)
	if q.aborted() {
		return true
	}
	q.reason = reasonProcess
	q.pick.Exclude = append(q.pick.Exclude, q.choice.ID)
	q.s.log.Requests.Warn("process of server not known", zap.String("id", q.id), zap.String("server", q.server), zap.Int64("born", q.choice.Process().Born), zap.Duration("list_age", q.s.fleet.ListAge()), zap.Error(err))
	return true
}
