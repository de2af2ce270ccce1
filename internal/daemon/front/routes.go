package front

import (
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/adapt/trace"
	"github.com/yuccalb/yuccalb/internal/core/member"
	"github.com/yuccalb/yuccalb/internal/core/model"
	"github.com/yuccalb/yuccalb/internal/daemon/pause"
	"github.com/yuccalb/yuccalb/internal/daemon/serve"
	"github.com/yuccalb/yuccalb/internal/edge/intake"
)

// maxIdempotencyKey bounds an Idempotency-Key, in bytes.
const maxIdempotencyKey = 512

// maxRequestID bounds a caller's X-Request-Id, in bytes.
const maxRequestID = 64

// hosts handles GET /v1/hosts: it returns the hosts that the caller should use.
func (f *Front) hosts(w http.ResponseWriter, r *http.Request) {
	id := requestID(r)
	snap := f.cfg.Current()
	caller, rej := f.authenticate(r, snap)
	if rej != nil {
		reject(w, id, rej)
		return
	}
	var regions []string
	if caller.org != nil {
		regions = caller.org.Regions
	}
	hosts := f.fleet.Hosts(regions)
	if hosts == nil {
		hosts = []Host{}
	}
	w.Header().Set("Cache-Control", "max-age="+strconv.Itoa(int(member.AnswerTTL.Seconds())))
	writeJSON(w, http.StatusOK, struct {
		Hosts []Host `json:"hosts"`
		TTL   string `json:"ttl"`
	}{hosts, member.AnswerTTL.String()})
}

// ticket handles POST /v1/tickets: it issues an idempotency key that can be used while the
// store is down.
func (f *Front) ticket(w http.ResponseWriter, r *http.Request) {
	id := requestID(r)
	caller, rej := f.authenticate(r, f.cfg.Current())
	if rej == nil && caller.org == nil {
		rej = model.Reject(model.ReasonKeyMissing, "tickets need a key")
	}
	if rej != nil {
		reject(w, id, rej)
		return
	}
	text, err := f.tickets.Ticket(caller.org.Name)
	if err != nil {
		reject(w, id, model.Reject(model.ReasonOverloaded, "%v", err).WithRetryAfter(time.Second))
		return
	}
	writeJSON(w, http.StatusOK, struct {
		Ticket string `json:"ticket"`
	}{text})
}

// chat handles POST /v1/chat/completions. The model in the body is the name of the route.
func (f *Front) chat(w http.ResponseWriter, r *http.Request) {
	f.handle(w, r, func(snap *model.Snapshot, c *serve.Call) *model.Rejection {
		chat, err := serve.ParseChat(c.Body)
		if err != nil {
			return model.Reject(model.ReasonBadRequest, "%v", err)
		}
		c.Chat = chat
		c.Route = snap.Route(chat.Model)
		if c.Route == nil || c.Route.Kind != model.KindChat {
			c.Route = nil
			return model.Reject(model.ReasonRouteUnknown, "no chat route %q", chat.Model)
		}
		return nil
	})
}

// plain handles /v1/call/{route}, a call of a plain service.
func (f *Front) plain(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("route")
	f.handle(w, r, func(snap *model.Snapshot, c *serve.Call) *model.Rejection {
		c.Route = snap.Route(name)
		if c.Route == nil || c.Route.Kind != model.KindPlain {
			c.Route = nil
			return model.Reject(model.ReasonRouteUnknown, "no plain route %q", name)
		}
		c.Path, c.RawQuery = c.Route.Path, r.URL.RawQuery
		if c.Method = c.Route.Method; c.Method == "" {
			c.Method = r.Method
		}
		return nil
	})
}

// handle serves a request up to the end of the response. After the body was read, resolve
// sets the route and the other fields of the call that depend on the kind of request.
func (f *Front) handle(w http.ResponseWriter, r *http.Request, resolve func(*model.Snapshot, *serve.Call) *model.Rejection) {
	f.requests.add()
	defer f.requests.done()
	arrived := time.Now()
	c := &serve.Call{
		ID: requestID(r), Arrived: arrived, Hops: []netip.AddrPort{f.self},
		IdempotencyKey: r.Header.Get("Idempotency-Key"), ContentType: r.Header.Get("Content-Type"),
	}
	ctx, tr := serve.WithTrail(trace.Parent(r.Context(), r.Header.Get("traceparent")))
	ctx, span := f.tracer.Start(ctx, "entry", attribute.String("request", c.ID))
	defer span.End()
	out := &sink{w: w, rc: http.NewResponseController(w), id: c.ID, trail: func() []string { return tr.Steps }}

	memory := f.bodies.Request()
	defer memory.Release()
	rej := f.prepare(w, r, c, &memory, resolve)
	if rej == nil {
		out.chatStream = c.Chat != nil && c.Chat.Stream
		out.onFirstByte = func() { f.meter.ObserveFirstByte(c.Route.Name, time.Since(arrived)) }
		rej = f.run(ctx, c, out)
	}
	f.record(c, rej, time.Since(arrived))
	if rej != nil {
		span.SetAttributes(attribute.String("rejection", string(rej.Reason)))
		out.fail(rej)
	}
}

// prepare authenticates the caller, reads the body, resolves the route, authorizes the
// request and sets its deadline. A request with a missing, unknown or revoked key is
// rejected before its body is read, unless it has no key and may be for an open route.
func (f *Front) prepare(w http.ResponseWriter, r *http.Request, c *serve.Call, memory *intake.Body, resolve func(*model.Snapshot, *serve.Call) *model.Rejection) *model.Rejection {
	snap := f.cfg.Current()
	caller, rej := f.authenticate(r, snap)
	if rej != nil {
		return rej
	}
	if caller.org == nil && !mayBeOpen(snap, r) {
		return model.Reject(model.ReasonKeyMissing, "the route needs a key")
	}
	if len(c.IdempotencyKey) > maxIdempotencyKey {
		return model.Reject(model.ReasonBadRequest, "Idempotency-Key is longer than %d bytes", maxIdempotencyKey)
	}
	if rej := f.readBody(w, r, c, memory); rej != nil {
		return rej
	}
	if rej := resolve(snap, c); rej != nil {
		return rej
	}
	if leaksKey(snap, caller.rawKey, c.RawQuery, c.Body) {
		return model.Reject(model.ReasonBadRequest, "the query or the body holds a key; keys belong in the Authorization header")
	}
	regions, rej := authorize(snap, caller, c.Route)
	if rej != nil {
		return rej
	}
	c.Org, c.Key, c.HasKey, c.Regions = caller.org, caller.key, caller.hasKey, regions
	c.Deadline = c.Arrived.Add(c.Route.EffectiveDeadline())
	return f.applyDeadline(r, c)
}

// mayBeOpen reports whether a request may be for an open route. The route of a chat
// request is known only after its body was read, so any open chat route counts. An unknown
// route counts as well, so that it is rejected as unknown.
func mayBeOpen(snap *model.Snapshot, r *http.Request) bool {
	if name := r.PathValue("route"); name != "" {
		route := snap.Route(name)
		return route == nil || route.Open
	}
	for i := range snap.Config.Routes {
		if snap.Config.Routes[i].Open && snap.Config.Routes[i].Kind == model.KindChat {
			return true
		}
	}
	return false
}

// bodyRetryAfter is when a caller may retry for whose body there was no memory.
const bodyRetryAfter = time.Second

// readBody reads the body, up to Limits.Body bytes and for at most Limits.Read. A body that
// stops is ended earlier if others need its memory.
func (f *Front) readBody(w http.ResponseWriter, r *http.Request, c *serve.Call, memory *intake.Body) *model.Rejection {
	if r.Body == nil || r.ContentLength == 0 {
		c.Body = []byte{}
		return nil
	}
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(f.limits.Read)) // not supported by recorders in tests
	overloaded := func() *model.Rejection {
		w.Header().Set("Connection", "close") // the rest of the body is not read
		return model.Reject(model.ReasonOverloaded, "no memory for the body").WithRetryAfter(bodyRetryAfter)
	}
	if !memory.Begin(max(f.limits.Conns/2, 1), func() { _ = rc.SetReadDeadline(time.Now()) }) { // fails if the connection is closed
		return overloaded()
	}
	var body bytes.Buffer
	err := memory.Read(&body, http.MaxBytesReader(w, r.Body, f.limits.Body), f.limits.Body)
	if memory.End() || errors.Is(err, intake.ErrNoMemory) {
		return overloaded()
	}
	if err == nil {
		// After an error the deadline is kept. The HTTP server reads the rest of
		// the body before it sends the response and would otherwise block forever.
		_ = rc.SetReadDeadline(time.Time{})
	}
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return model.Reject(model.ReasonTooLarge, "the body is larger than %d bytes", large.Limit)
	}
	if err != nil {
		return model.Reject(model.ReasonBadRequest, "the body did not arrive whole within %s", f.limits.Read)
	}
	c.Body = body.Bytes()
	return nil
}

// applyDeadline shortens the deadline of the call to the caller's X-Deadline, in
// milliseconds after arrival.
func (f *Front) applyDeadline(r *http.Request, c *serve.Call) *model.Rejection {
	text := r.Header.Get("X-Deadline")
	if text == "" {
		return nil
	}
	ms, err := strconv.Atoi(text)
	if err != nil || ms <= 0 {
		return model.Reject(model.ReasonBadRequest, "X-Deadline %q is not a positive number of milliseconds", text)
	}
	if d := c.Arrived.Add(time.Duration(ms) * time.Millisecond); d.Before(c.Deadline) {
		c.Deadline = d
	}
	return nil
}

// run serves the call. It cancels the call when its deadline passes, its key is revoked or
// the configuration is no longer fresh enough for the organisation.
func (f *Front) run(ctx context.Context, c *serve.Call, out *sink) *model.Rejection {
	ctx, cancel := context.WithDeadlineCause(ctx, c.Deadline, errDeadline)
	defer cancel()
	if !c.HasKey {
		return f.server.Serve(ctx, c, out)
	}
	ctx, revoke := context.WithCancelCause(ctx)
	defer revoke(nil)
	stop := f.watchKey(c, func() { revoke(errRevoked) })
	defer stop()
	rej := f.server.Serve(ctx, c, out)
	if rej != nil && errors.Is(context.Cause(ctx), errRevoked) {
		rej = &model.Rejection{Reason: model.ReasonKeyRevoked, Run: rej.Run, Text: "the key was revoked while the request ran"}
	}
	return rej
}

// Causes of the cancellation of a request.
var (
	errDeadline = errors.New("the request's deadline has passed")
	errRevoked  = errors.New("the key was revoked")
)

// keyCheckInterval is the time between two checks of a running request's key.
const keyCheckInterval = 500 * time.Millisecond

// watchKey calls revoked once if the key of c is revoked, or if the configuration is older
// than the organisation allows. The returned function stops the checks and waits for one
// in progress.
func (f *Front) watchKey(c *serve.Call, revoked func()) (stop func()) {
	return pause.Repeat(keyCheckInterval, func() bool {
		org := f.cfg.Current().KeyOrg(c.Key)
		if org != nil && org.Name == c.Org.Name && (org.MaxConfigAge <= 0 || f.cfg.ConfirmedAge() <= org.MaxConfigAge) {
			return true
		}
		revoked()
		return false
	})
}

// record counts and logs a finished request. Metrics and log contain no key and no prompt.
func (f *Front) record(c *serve.Call, rej *model.Rejection, took time.Duration) {
	route, org := "none", ""
	if c.Route != nil {
		route = c.Route.Name
	}
	if c.Org != nil {
		org = c.Org.Name
	}
	fields := []zap.Field{
		zap.String("request", c.ID), zap.String("route", route),
		zap.String("org", org), zap.Duration("took", took),
	}
	if rej == nil {
		f.meter.CountRequest(route, "ok")
		f.log.Info("request served", fields...)
		return
	}
	f.meter.CountRequest(route, string(rej.Reason))
	f.log.Info("request rejected", append(fields, zap.String("reason", string(rej.Reason)), zap.String("run", string(rej.Run)), zap.String("text", rej.Text))...)
}

// requestID returns a unique id: the caller's X-Request-Id with a random suffix, or a
// random id if the header is missing, is too long, contains characters other than letters,
// digits, "-" and "_", or contains the prefix of a key.
func requestID(r *http.Request) string {
	id := rand.Text()
	given := r.Header.Get("X-Request-Id")
	if given == "" || len(given) > maxRequestID || strings.ContainsFunc(given, invalidIDRune) || strings.Contains(given, model.KeyPrefix) {
		return id
	}
	return given + "." + id[:12]
}

// invalidIDRune reports whether a rune is not allowed in a caller's request id.
func invalidIDRune(c rune) bool {
	return !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_')
}
