// Package front is the HTTP server for callers. It limits the resources that a connection
// can use, authenticates and authorizes requests by the caller's key, and passes them to
// package serve.
package front

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/adapt/trace"
	"github.com/yuccalb/yuccalb/internal/core/model"
	"github.com/yuccalb/yuccalb/internal/daemon/serve"
	"github.com/yuccalb/yuccalb/internal/daemon/setup"
	"github.com/yuccalb/yuccalb/internal/edge/intake"
)

// Config provides the configuration in force.
type Config interface {
	Current() *model.Snapshot
	// ConfirmedAge returns the time since the store last confirmed that the
	// configuration is current.
	ConfirmedAge() time.Duration
}

// Server serves an authorized request. A nil rejection means that the whole response
// was sent.
type Server interface {
	Serve(ctx context.Context, c *serve.Call, sink serve.Sink) *model.Rejection
}

// Fleet selects the hosts that callers should use.
type Fleet interface {
	// Hosts returns the hosts in the allowed regions, most suitable first. An empty
	// list of regions allows all.
	Hosts(regions []string) []Host
}

// Tickets issues tickets: idempotency keys that name this host.
type Tickets interface {
	Ticket(org string) (string, error)
}

// Meter records finished requests.
type Meter interface {
	CountRequest(route, outcome string)
	ObserveFirstByte(route string, d time.Duration)
}

// Host is one entry of the response to GET /v1/hosts.
type Host struct {
	Addr   netip.AddrPort `json:"addr"`
	Site   string         `json:"site"`
	Region string         `json:"region"`
}

// Front is the HTTP server for callers. Create it with New.
type Front struct {
	cfg      Config
	server   Server
	fleet    Fleet
	tickets  Tickets
	meter    Meter
	tracer   *trace.Provider
	log      *zap.Logger
	self     netip.AddrPort
	limits   setup.Limits
	gate     *intake.Gate
	bodies   *intake.Bodies
	http     *http.Server
	requests requestTracker
	leaving  atomic.Bool
}

// Options are the dependencies and settings of a Front; all are required.
type Options struct {
	Config  Config
	Server  Server
	Fleet   Fleet
	Tickets Tickets
	Meter   Meter
	Tracer  *trace.Provider
	Log     *zap.Logger
	// Self is the address of this host in the hops of a request.
	Self   netip.AddrPort
	Limits setup.Limits
	// Gate and Bodies are the limits of the host for connections and bodies.
	Gate   *intake.Gate
	Bodies *intake.Bodies
}

// New returns a Front that does not accept connections until Serve is called.
func New(o Options) *Front {
	f := &Front{
		cfg: o.Config, server: o.Server, fleet: o.Fleet, tickets: o.Tickets,
		meter: o.Meter, tracer: o.Tracer, log: o.Log, self: o.Self, limits: o.Limits, gate: o.Gate, bodies: o.Bodies,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/hosts", f.hosts)
	mux.HandleFunc("POST /v1/chat/completions", f.chat)
	mux.HandleFunc("/v1/call/{route}", f.plain)
	mux.HandleFunc("POST /v1/tickets", f.ticket)
	mux.HandleFunc("GET /v1/ping", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
	})
	f.http = &http.Server{
		Handler:           f.closeWhenLeaving(mux),
		ReadHeaderTimeout: o.Limits.Wait,
		IdleTimeout:       o.Limits.Idle,
		MaxHeaderBytes:    o.Limits.Header,
		ErrorLog:          zap.NewStdLog(o.Log.Named("http")),
	}
	intake.Attach(f.http)
	return f
}

// Serve accepts connections on ln until Close. At most Limits.Conns are open at a time;
// for further ones, those without a complete request are closed.
func (f *Front) Serve(ln net.Listener) error {
	err := f.http.Serve(f.gate.Listen(ln, intake.Options{Name: "http", Conns: f.limits.Conns}))
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("serve callers on %s: %w", ln.Addr(), err)
}

// Leave makes connections close after their next response, so that callers request the
// list of hosts again. Requests are still served. Idle connections stay open until Close,
// because a request that a caller sends while its connection is being closed would be
// lost.
func (f *Front) Leave() {
	f.leaving.Store(true)
}

// closeWhenLeaving sets "Connection: close" in responses after Leave was called.
func (f *Front) closeWhenLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Drain waits until no request is running or ctx ends. It returns the number of requests
// that are still running.
func (f *Front) Drain(ctx context.Context) int {
	return f.requests.wait(ctx)
}

// Running returns the number of running requests.
func (f *Front) Running() int { return f.requests.count() }

// Close stops accepting connections and waits for running requests. If ctx ends first, it
// closes their connections and returns an error.
func (f *Front) Close(ctx context.Context) error {
	if err := f.http.Shutdown(ctx); err != nil {
		if cerr := f.http.Close(); cerr != nil {
			return fmt.Errorf("close connections of callers: %w", cerr)
		}
		return fmt.Errorf("shut down after the deadline: %w", err)
	}
	return nil
}
