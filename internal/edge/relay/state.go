package relay

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/core/pick"
	"github.com/yuccalb/yuccalb/internal/edge/fleet"
	"github.com/yuccalb/yuccalb/internal/edge/send"
	"github.com/yuccalb/yuccalb/platform"
)

// recordServerState records what the headers of a response state about a server
// of the local region: that it is leaving, or, with 503 and Retry-After, that
// it requests a pause.
func (q *request) recordServerState(resp *send.Response) {
	svc := q.chosenFrom
	if q.dest.region != "" || svc == nil || resp.Status == http.StatusMisdirectedRequest {
		return // the response is not from the chosen server
	}
	now := time.Now()
	if resp.Header.Get(platform.HeaderLeaving) == platform.Leaving && svc.Table.MarkLeaving(&q.choice, now) {
		q.s.log.Info("server leaves", zap.String("id", q.id), zap.String("server", q.server), zap.Int("status", resp.Status))
	}
	q.recordLimit(svc, resp, now)
	q.recordRefusalLimit(svc, resp, now)
	if resp.Status != http.StatusServiceUnavailable {
		return
	}
	if d, ok := platform.ParseRetryAfter(resp.Header); ok && svc.Table.Pause(&q.choice, d, now) {
		q.s.log.Info("server wants no requests", zap.String("id", q.id), zap.String("server", q.server), zap.Duration("for", d))
	}
}

// recordLimit records the limit that a response of a server names, or that it names
// none any more. Only a success shows the end of a limit: a failure may come from a
// part of the server that does not know it.
func (q *request) recordLimit(svc *fleet.Service, resp *send.Response, now time.Time) {
	rate, named, err := platform.ParseServerLimit(resp.Header)
	if err != nil {
		q.s.log.Requests.Warn("limit of server ignored", zap.String("id", q.id), zap.String("server", q.server), zap.Error(err))
		return
	}
	var c pick.LimitChange
	changed := false
	switch {
	case named:
		c, changed = svc.Table.NameLimit(&q.choice, rate, now)
	case success(resp) && signed(resp):
		c, changed = svc.Table.EndLimit(&q.choice, now)
	}
	if changed {
		fleet.LogLimit(q.s.log.Requests, c, zap.String("id", q.id), zap.Int("status", resp.Status))
	}
}

// recordRefusalLimit records the refusal limit that a response of a server states, or
// that it states none any more, which only a success shows.
func (q *request) recordRefusalLimit(svc *fleet.Service, resp *send.Response, now time.Time) {
	limit, stated, err := platform.ParseRefusalLimit(resp.Header)
	if err != nil {
		q.s.log.Requests.Warn("refusal limit of server ignored", zap.String("id", q.id), zap.String("server", q.server), zap.Error(err))
		return
	}
	var c pick.RefusalChange
	changed := false
	switch {
	case stated:
		c, changed = svc.Table.StateRefusalLimit(&q.choice, limit, now)
	case success(resp) && signed(resp):
		c, changed = svc.Table.EndRefusalLimit(&q.choice, now)
	}
	if changed {
		fleet.LogRefusalLimit(q.s.log.Requests, c, zap.String("id", q.id), zap.Int("status", resp.Status))
	}
}
