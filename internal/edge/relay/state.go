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
	rateLimit.record(q, svc, resp, now)
	refusalLimit.record(q, svc, resp, now)
	if resp.Status != http.StatusServiceUnavailable {
		return
	}
	if d, ok := platform.ParseRetryAfter(resp.Header); ok && svc.Table.Pause(&q.choice, d, now) {
		q.s.log.Info("server wants no requests", zap.String("id", q.id), zap.String("server", q.server), zap.Duration("for", d))
	}
}

// limitKind is a kind of limit that servers state in their responses, with values V and
// changes C.
type limitKind[V, C any] struct {
	name  string
	parse func(h http.Header) (limit V, stated bool, err error)
	state func(t *pick.Table, c *pick.Choice, limit V, now time.Time) (C, bool)
	end   func(t *pick.Table, c *pick.Choice, now time.Time) (C, bool)
	log   func(log *zap.Logger, c C, source ...zap.Field)
}

var (
	rateLimit = limitKind[float64, pick.LimitChange]{
		"limit", platform.ParseServerLimit, (*pick.Table).NameLimit, (*pick.Table).EndLimit, fleet.LogLimit,
	}
	refusalLimit = limitKind[int, pick.RefusalChange]{
		"refusal limit", platform.ParseRefusalLimit, (*pick.Table).StateRefusalLimit, (*pick.Table).EndRefusalLimit, fleet.LogRefusalLimit,
	}
)

// record records the limit that a response of a server states, or that it states none any
// more. Only a success shows the end of a limit: a failure may come from a part of the
// server that does not know it.
func (k limitKind[V, C]) record(q *request, svc *fleet.Service, resp *send.Response, now time.Time) {
	limit, stated, err := k.parse(resp.Header)
	if err != nil {
		q.s.log.Requests.Warn(k.name+" of server ignored", zap.String("id", q.id), zap.String("server", q.server), zap.Error(err))
		return
	}
	var c C
	changed := false
	switch {
	case stated:
		c, changed = k.state(svc.Table, &q.choice, limit, now)
	case success(resp) && signed(resp):
		c, changed = k.end(svc.Table, &q.choice, now)
	}
	if changed {
		k.log(q.s.log.Requests, c, zap.String("id", q.id), zap.Int("status", resp.Status))
	}
}
