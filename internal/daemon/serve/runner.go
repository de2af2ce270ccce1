package serve

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"time"

	"github.com/yuccalb/yuccalb/internal/adapt/engine"
	"github.com/yuccalb/yuccalb/internal/core/model"
	"github.com/yuccalb/yuccalb/internal/core/retry"
	"github.com/yuccalb/yuccalb/internal/core/route"
	"github.com/yuccalb/yuccalb/internal/daemon/pause"
	"github.com/yuccalb/yuccalb/internal/daemon/target"
)

// runner makes the attempts of one call.
type runner struct {
	s        *Server
	c        *Call
	sink     Sink
	use      *usage
	svc      *target.Service
	attempts *retry.Attempts

	attemptCount int  // attempts made
	delivered    bool // any byte reached the sink
	position     int  // tokens of the response received
	collected    *collector
	trail        *Trail
}

// failure is a failed attempt.
type failure struct {
	outcome retry.Outcome
	rej     *model.Rejection
	// unreachable is set when a forward failed because the other host could not be
	// reached or the stream to it failed before the response was complete.
	unreachable bool
}

// loop makes attempts until one succeeds or the retry rules allow no more.
func (r *runner) loop(ctx context.Context) *model.Rejection {
	req := r.c.routeRequest()
	var resume *route.Choice
	var last *failure
	r.trail = trail(ctx)
	for {
		f, choice := r.attempt(ctx, req, resume)
		if f == nil {
			return nil
		}
		if last != nil && f.rej.Reason == model.ReasonNoServer && f.outcome == retry.NotWritten {
			return r.finalRejection(last) // no target is left: report the earlier failure
		}
		last = f
		if ctx.Err() != nil {
			return r.contextRejection(ctx, f)
		}
		if !r.retryable(f) {
			return r.finalRejection(f)
		}
		d := r.decide(f)
		if d.Action == retry.Stop {
			return r.finalRejection(f)
		}
		resume = nil
		if d.Action == retry.Retry { // the next server starts the response from the beginning
			r.position, r.collected = 0, nil
		}
		if d.Action == retry.Resume {
			if choice == nil { // only the server that started a response can resume it
				return r.finalRejection(f)
			}
			resume = choice
		}
		if pause.Sleep(ctx, d.Delay) != nil {
			return r.contextRejection(ctx, f)
		}
	}
}

// retryable reports whether the failure is one of a server or host, as opposed to a
// rejection that every other attempt would get too.
func (r *runner) retryable(f *failure) bool {
	switch f.rej.Reason {
	case model.ReasonOverloaded, model.ReasonDeadline, model.ReasonBadRequest, model.ReasonRegionDenied, model.ReasonLeaving, model.ReasonTooLarge:
		return false
	case model.ReasonNoServer:
		return r.attemptCount > 0
	}
	return true
}

// decide reports a failure to the retry rules and returns their decision.
func (r *runner) decide(f *failure) (d retry.Decision) {
	r.s.random(func(rng *rand.Rand) {
		d = r.attempts.Fail(retry.Failure{Outcome: f.outcome, Delivered: r.delivered, Position: r.position}, &r.s.budget, rng)
	})
	return d
}

// finalRejection returns the rejection after the last attempt. Its Run is model.RunNo
// only if that holds for every attempt.
func (r *runner) finalRejection(f *failure) *model.Rejection {
	rej := *f.rej
	if r.delivered {
		rej.Reason = model.ReasonTruncated
	}
	if r.delivered || r.attempts.Run() == model.RunUnknown {
		rej.Run = model.RunUnknown
	}
	return &rej
}

// contextRejection returns the rejection of a call whose context has ended: its deadline
// has passed, its key was revoked or its caller has disconnected.
func (r *runner) contextRejection(ctx context.Context, f *failure) *model.Rejection {
	r.decide(f)
	rej := *f.rej
	if errors.Is(ctx.Err(), context.DeadlineExceeded) || errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		rej.Reason, rej.Text = model.ReasonDeadline, "the request's deadline has passed"
	}
	f.rej = &rej
	return r.finalRejection(f)
}

// attempt makes one attempt: with the server in resume if it is set, otherwise with a
// server or data centre that the router picks. A nil failure means success. The returned
// choice is the server in the local data centre that was used, for a resume.
func (r *runner) attempt(ctx context.Context, req *route.Request, resume *route.Choice) (*failure, *route.Choice) {
	queueReq := r.c.queueRequest()
	if resume != nil {
		release, err := r.svc.Gate.Acquire(ctx, queueReq)
		if err != nil {
			return notRun(asRejection(err)), nil
		}
		defer release()
		return r.local(ctx, req, *resume, false), resume
	}
	req.QueueWait = r.svc.Gate.Expected(queueReq)
	d, err := r.svc.Router.Pick(req, time.Now())
	if err != nil {
		return notRun(r.pickRejection(err)), nil
	}
	if d.Remote() {
		return r.remote(ctx, req, d.Site), nil
	}
	release, err := r.svc.Gate.Acquire(ctx, queueReq)
	if err != nil {
		r.svc.Router.Table.Done(d.Server, route.Result{Aborted: true, Cached: -1}, time.Now())
		return notRun(asRejection(err)), nil
	}
	defer release()
	choice := d.Server
	if req.QueueWait > 0 { // the choice was made before the wait and may be stale
		r.svc.Router.Table.Done(choice, route.Result{Aborted: true, Cached: -1}, time.Now())
		if choice, err = r.svc.Router.Table.Pick(req, time.Now()); err != nil {
			return notRun(asRejection(err).WithRetryAfter(time.Second)), nil
		}
	}
	return r.local(ctx, req, choice, true), &choice
}

// pickRejection converts an error of the router. The allowed regions of a request were
// determined when the entry host admitted it. If none of them can be reached now, that is
// an outage, so region_denied becomes no_server: callers would take region_denied as
// final.
func (r *runner) pickRejection(err error) *model.Rejection {
	rej := asRejection(err)
	if rej.Reason == model.ReasonRegionDenied && !r.c.forwarded() {
		rej = model.Reject(model.ReasonNoServer, "no backend server is reachable in an allowed region")
	}
	return rej.WithRetryAfter(time.Second)
}

// notRun returns the failure of an attempt that sent nothing.
func notRun(rej *model.Rejection) *failure {
	return &failure{outcome: retry.NotWritten, rej: rej}
}

// local dispatches to a server of the local data centre. Residency is checked again
// immediately before. If tracked is set, the router counts the attempt and must be
// given its result; a resume is not counted.
func (r *runner) local(ctx context.Context, req *route.Request, choice route.Choice, tracked bool) *failure {
	region := r.s.o.Targets.Region()
	if !r.c.allows(region) {
		if tracked {
			r.svc.Router.Table.Done(choice, route.Result{Aborted: true, Cached: -1}, time.Now())
		}
		return notRun(model.Reject(model.ReasonRegionDenied, "region %q is not allowed for this request", region))
	}
	if f := r.checkDispatch(); f != nil {
		if tracked {
			r.svc.Router.Table.Done(choice, route.Result{Aborted: true, Cached: -1}, time.Now())
		}
		return f
	}
	r.attemptCount++
	r.s.o.Meter.CountAttempt(r.c.Route.Name)
	trail(ctx).add("server " + choice.Addr.String())
	ctx, span := r.s.o.Tracer.Start(ctx, "server "+choice.Addr.String())
	defer span.End()
	var err error
	if r.c.Chat != nil {
		err = r.chat(ctx, choice)
	} else {
		err = r.plain(ctx, choice)
	}
	if tracked {
		r.svc.Router.Table.Done(choice, r.result(ctx, err), time.Now())
	}
	if err == nil {
		return nil
	}
	req.Exclude = append(req.Exclude, choice.Addr)
	return r.serverFailure(choice.Addr, err)
}

// checkDispatch calls beforeDispatch, if set, and returns its error as a failure.
func (r *runner) checkDispatch() *failure {
	if r.c.beforeDispatch == nil {
		return nil
	}
	if err := r.c.beforeDispatch(); err != nil {
		return notRun(asRejection(err))
	}
	return nil
}

// result converts the result of an attempt for the router. Errors that say nothing about
// the health of the server count as aborted.
func (r *runner) result(ctx context.Context, err error) route.Result {
	res := route.Result{Cached: -1}
	if r.use.counted && err == nil {
		res.Cached = int(r.use.cached)
	}
	switch e := engine.AsError(err); {
	case err == nil:
	case ctx.Err() != nil || e == nil || e.Kind == engine.KindCancelled || e.Kind == engine.KindInvalid:
		res.Aborted = true
	case e.Kind == engine.KindStatus && e.Status < 500 || e.Stage == engine.StageRefused:
		res.Aborted = true
	default:
		res.Failed = true
	}
	return res
}

// serverFailure converts the error of an attempt with a backend server. After a stall,
// idle connections to the server are closed too.
func (r *runner) serverFailure(addr netip.AddrPort, err error) *failure {
	e := engine.AsError(err)
	if e == nil { // the sink failed: the caller has disconnected
		return &failure{outcome: retry.Started, rej: model.Reject(model.ReasonTruncated, "%v", err).MayHaveRun()}
	}
	if e.Kind == engine.KindStalled {
		r.s.o.Engine.CloseIdle(addr)
		r.s.o.Plain.CloseIdle(addr)
	}
	rej := &model.Rejection{Reason: model.ReasonNoServer, Run: e.Run(), RetryAfter: e.RetryAfter, Text: err.Error()}
	f := &failure{rej: rej}
	switch e.Stage {
	case engine.StageUnwritten:
		f.outcome = retry.NotWritten
	case engine.StageRefused:
		f.outcome = retry.Refused
		rej.Run = model.RunNo
	case engine.StageWritten:
		f.outcome = retry.NoResponse
		rej.Reason = model.ReasonUnknown
	case engine.StageAnswered:
		f.outcome = retry.Started
		rej.Reason = model.ReasonUnknown
	}
	if e.Kind == engine.KindStatus && e.Status >= 400 && e.Status < 500 && e.Stage == engine.StageAnswered {
		rej.Reason = model.ReasonBadRequest
	}
	if rej.RetryAfter == 0 && rej.Run == model.RunNo {
		rej.RetryAfter = time.Second
	}
	return f
}

// attemptID returns the id of the current attempt. It differs between attempts, so that
// a late response can't be taken for that of another attempt.
func (r *runner) attemptID() string {
	return r.c.ID + "." + strconv.Itoa(len(r.c.Hops)) + "." + strconv.Itoa(r.attemptCount)
}
