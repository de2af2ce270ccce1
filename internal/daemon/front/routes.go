package front

import (
	"context"
	"crypto/rand"
	"errors"
	"io"
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
)

// maxIdem bounds an Idempotency-Key, in bytes.
const maxIdem = 512

// maxID bounds a caller's X-Request-Id, in bytes.
const maxID = 64

// hosts answers which hosts the caller should use.
func (f *Front) hosts(w http.ResponseWriter, r *http.Request) {
	id := requestID(r)
	snap := f.cfg.Current()
	who, rej := f.authenticate(r, snap)
	if rej != nil {
		reject(w, id, rej)
		return
	}
	var regions []string
	if who.org != nil {
		regions = who.org.Regions
	}
	hosts := f.fleet.Hosts(regions)
	if hosts == nil {
		hosts = []Host{}
	}
	w.Header().Set("Cache-Control", "max-age="+strconv.Itoa(int(member.AnswerLife.Seconds())))
	writeJSON(w, http.StatusOK, struct {
		Hosts []Host `json:"hosts"`
		TTL   string `json:"ttl"`
	}{hosts, member.AnswerLife.String()})
}

// ticket issues an idempotency key that works while the store is down.
func (f *Front) ticket(w http.ResponseWriter, r *http.Request) {
	id := requestID(r)
	who, rej := f.authenticate(r, f.cfg.Current())
	if rej == nil && who.org == nil {
		rej = model.Reject(model.ReasonKeyMissing, "tickets need a key")
	}
	if rej != nil {
		reject(w, id, rej)
		return
	}
	text, err := f.tickets.Ticket(who.org.Name)
	if err != nil {
		reject(w, id, model.Reject(model.ReasonOverloaded, "%v", err).After(time.Second))
		return
	}
	writeJSON(w, http.StatusOK, struct {
		Ticket string `json:"ticket"`
	}{text})
}

// chat serves a chat request; the model in the body names the route.
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

// plain serves a call of a plain service.
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

// handle runs a request from its header to the end of the response. find sets
// the route of the call after the body was read.
func (f *Front) handle(w http.ResponseWriter, r *http.Request, find func(*model.Snapshot, *serve.Call) *model.Rejection) {
	f.gate.enter()
	defer f.gate.leave()
	arrived := time.Now()
	c := &serve.Call{
		ID: requestID(r), Arrived: arrived, Hops: []netip.AddrPort{f.self},
		IdempotencyKey: r.Header.Get("Idempotency-Key"), ContentType: r.Header.Get("Content-Type"),
	}
	ctx, tr := serve.WithTrail(trace.Parent(r.Context(), r.Header.Get("traceparent")))
	ctx, span := f.tracer.Start(ctx, "entry", attribute.String("request", c.ID))
	defer span.End()
	out := &sink{w: w, rc: http.NewResponseController(w), id: c.ID, trail: func() []string { return tr.Steps }}

	rej := f.prepare(w, r, c, find)
	if rej == nil {
		out.chat = c.Chat != nil && c.Chat.Stream
		out.started = func() { f.meter.Started(c.Route.Name, time.Since(arrived)) }
		rej = f.run(ctx, c, out)
	}
	f.record(c, rej, time.Since(arrived))
	if rej != nil {
		span.SetAttributes(attribute.String("rejection", string(rej.Reason)))
		out.fail(rej)
	}
}

// prepare authenticates the caller, reads the body and finds the route. A
// request whose key is missing or not in force is rejected before its body is
// read: only open routes can be used without a key.
func (f *Front) prepare(w http.ResponseWriter, r *http.Request, c *serve.Call, find func(*model.Snapshot, *serve.Call) *model.Rejection) *model.Rejection {
	snap := f.cfg.Current()
	who, rej := f.authenticate(r, snap)
	if rej != nil {
		return rej
	}
	if who.org == nil && !anyOpen(snap, r) {
		return model.Reject(model.ReasonKeyMissing, "the route needs a key")
	}
	if len(c.IdempotencyKey) > maxIdem {
		return model.Reject(model.ReasonBadRequest, "Idempotency-Key is longer than %d bytes", maxIdem)
	}
	if rej := f.read(w, r, c); rej != nil {
		return rej
	}
	if rej := find(snap, c); rej != nil {
		return rej
	}
	if leaks(snap, who.text, c.RawQuery, c.Body) {
		return model.Reject(model.ReasonBadRequest, "the query or the body holds a key; keys belong in the Authorization header")
	}
	regions, rej := admit(snap, who, c.Route)
	if rej != nil {
		return rej
	}
	c.Org, c.Key, c.HasKey, c.Regions = who.org, who.key, who.hasKey, regions
	c.Deadline = c.Arrived.Add(c.Route.Limit())
	return f.deadline(r, c)
}

// anyOpen reports whether a request without a key may lead to an open route.
// The route of a chat request is known only after its body was read.
func anyOpen(snap *model.Snapshot, r *http.Request) bool {
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

// read takes the body within the limits of size and time.
func (f *Front) read(w http.ResponseWriter, r *http.Request, c *serve.Call) *model.Rejection {
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(f.limits.Read)) // not supported by recorders in tests
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, f.limits.Body))
	if err == nil {
		// After an error the deadline stays: the server reads what is left of
		// the body before it sends the response, and would wait for ever.
		_ = rc.SetReadDeadline(time.Time{})
	}
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return model.Reject(model.ReasonTooLarge, "the body is larger than %d bytes", large.Limit)
	}
	if err != nil {
		return model.Reject(model.ReasonBadRequest, "the body did not arrive whole within %s", f.limits.Read)
	}
	c.Body = body
	return nil
}

// deadline applies the caller's X-Deadline, in milliseconds.
func (f *Front) deadline(r *http.Request, c *serve.Call) *model.Rejection {
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

// run serves the call and stops it as soon as its key is revoked.
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

// Causes of a cancelled request.
var (
	errDeadline = errors.New("the request's deadline has passed")
	errRevoked  = errors.New("the key was revoked")
)

// keyCheck is how often a running request's key is looked up again.
const keyCheck = 500 * time.Millisecond

// watchKey calls revoked when the key of c is no longer in force. The returned
// function ends the watch and waits for it.
func (f *Front) watchKey(c *serve.Call, revoked func()) (stop func()) {
	return pause.Every(keyCheck, func() bool {
		org := f.cfg.Current().KeyOrg(c.Key)
		if org != nil && org.Name == c.Org.Name && (org.Fresh <= 0 || f.cfg.Confirmed() <= org.Fresh) {
			return true
		}
		revoked()
		return false
	})
}

// record counts and logs a finished request. Neither holds a key or a prompt.
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
		f.meter.Done(route, "ok")
		f.log.Info("request served", fields...)
		return
	}
	f.meter.Done(route, string(rej.Reason))
	f.log.Info("request rejected", append(fields, zap.String("reason", string(rej.Reason)), zap.String("run", string(rej.Run)), zap.String("text", rej.Text))...)
}

// requestID returns the caller's X-Request-Id when it is a short plain word,
// or a new id. The engine sees the gateway's part only, which is unique.
func requestID(r *http.Request) string {
	id := rand.Text()
	given := r.Header.Get("X-Request-Id")
	if given == "" || len(given) > maxID || strings.ContainsFunc(given, notWord) || strings.Contains(given, model.KeyPrefix) {
		return id
	}
	return given + "." + id[:12]
}

// notWord reports whether a rune may not stand in a request id.
func notWord(c rune) bool {
	return !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_')
}
