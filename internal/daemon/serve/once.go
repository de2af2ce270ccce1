package serve

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/netip"

	"github.com/yuccalb/yuccalb/internal/core/model"
	"github.com/yuccalb/yuccalb/internal/core/order"
	"github.com/yuccalb/yuccalb/internal/core/retry"
	"github.com/yuccalb/yuccalb/internal/daemon/once"
)

// Once stores the records of idempotency keys; *once.Once implements it.
type Once interface {
	Owner(org, key string) (owner netip.AddrPort, ok bool, err error)
	Begin(ctx context.Context, org, key, body string) (*once.Entry, error)
	Finish(e *once.Entry, outcome order.Outcome)
}

// serveOnce serves a call with an idempotency key on a route marked once. If the key is
// a ticket that names another host, the call is forwarded to that host.
func (s *Server) serveOnce(ctx context.Context, c *Call, sink Sink, use *usage) *model.Rejection {
	owner, remote, err := s.o.Once.Owner(c.orgName(), c.IdempotencyKey)
	if err != nil {
		return asRejection(err)
	}
	if !remote {
		return s.runOnce(ctx, c, sink, use)
	}
	r := &runner{s: s, c: c, sink: sink, use: use, attempts: retry.NewAttempts(retryCall(c)), trail: trail(ctx)}
	_, f := r.forward(ctx, owner, c.IdempotencyKey)
	if f == nil {
		return nil
	}
	if f.unreachable {
		return order.OwnerUnreachable() // an earlier request with this ticket may have run there
	}
	r.decide(f)
	return r.finalRejection(f)
}

// runOnce runs a call at most once for its idempotency key. After its record was created
// the call continues even if the caller disconnects, so that a repeated request receives
// the response.
func (s *Server) runOnce(ctx context.Context, c *Call, sink Sink, use *usage) *model.Rejection {
	digest := order.Digest([]byte(c.Route.Name), []byte(c.Method), []byte(c.Path), []byte(c.RawQuery), c.Body)
	entry, err := s.o.Once.Begin(ctx, c.orgName(), c.IdempotencyKey, digest)
	if err != nil {
		return asRejection(err)
	}
	if resp := entry.Recorded(); resp != nil {
		use.counted = true
		return replay(sink, resp)
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.Deadline)
	defer cancel()
	outcome := order.Outcome{Run: model.RunUnknown} // stays so if the run panics
	defer func() { s.o.Once.Finish(entry, outcome) }()
	c.beforeDispatch = entry.Dispatch
	rec := &recorder{sink: sink}
	rej := s.run(ctx, c, rec, use)
	outcome = rec.outcome(rej)
	return rej
}

// replay sends a recorded response.
func replay(sink Sink, resp *order.Response) *model.Rejection {
	h := http.Header{"Content-Type": {resp.Type}, "X-Replayed": {"true"}}
	err := sink.Head(resp.Status, h)
	if err == nil {
		err = sink.Data(resp.Body)
	}
	if err != nil {
		return &model.Rejection{Reason: model.ReasonTruncated, Run: model.RunUnknown, Text: fmt.Sprintf("send recorded response: %v", err)}
	}
	return nil
}

// recorder copies a response while it passes it to sink. Errors of sink are not returned,
// so that the request continues after the caller has disconnected.
type recorder struct {
	sink        Sink
	callerGone  bool
	status      int
	contentType string
	body        bytes.Buffer
}

// Head implements Sink.
func (r *recorder) Head(status int, header http.Header) error {
	r.status, r.contentType = status, header.Get("Content-Type")
	r.callerGone = r.sink.Head(status, header) != nil
	return nil
}

// Data implements Sink.
func (r *recorder) Data(p []byte) error {
	if r.body.Len() <= order.MaxBody {
		r.body.Write(p)
	}
	r.callerGone = r.callerGone || r.sink.Data(p) != nil
	return nil
}

// outcome returns the outcome to store in the record of the idempotency key.
func (r *recorder) outcome(rej *model.Rejection) order.Outcome {
	if rej == nil {
		return order.Outcome{Response: &order.Response{Status: r.status, Type: r.contentType, Body: r.body.Bytes()}, Run: model.RunUnknown}
	}
	return order.Outcome{Run: rej.Run}
}
