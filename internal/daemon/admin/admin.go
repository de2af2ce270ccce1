// Package admin implements the HTTP interface for operators: status, health, metrics,
// profiles, planned stop and orders to engines. It listens on an address of its own that
// callers can't reach.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/pprof"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/daemon/orders"
	"github.com/yuccalb/yuccalb/internal/edge/intake"
)

// Status is the state of a host and its view of peers, data centres and servers.
type Status struct {
	Host    netip.AddrPort `json:"host"`
	Site    string         `json:"site"`
	Region  string         `json:"region"`
	State   string         `json:"state"`
	Version uint64         `json:"version"`
	Digest  string         `json:"digest"`
	// Confirmed is the time since the store was last known to have no newer version,
	// or since the start if it never was.
	Confirmed Duration `json:"confirmed"`
	Uptime    Duration `json:"uptime"`
	Running   int      `json:"running"`
	// Slot is the number of the claimed slot, or -1 for none.
	Slot    int      `json:"slot"`
	Peers   []Peer   `json:"peers"`
	Sites   []Site   `json:"sites"`
	Servers []Server `json:"servers"`
	// Limited lists the organisations that were recently rejected by their rate limit.
	Limited []string `json:"limited"`
}

// Duration is a time.Duration that is encoded as text, such as "1.5s".
type Duration time.Duration

// String returns the duration in the form "1.5s".
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText implements encoding.TextMarshaler. It rounds to milliseconds.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).Round(time.Millisecond).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("duration: %w", err)
	}
	*d = Duration(v)
	return nil
}

// Peer is another host of the data centre.
type Peer struct {
	Host     netip.AddrPort `json:"host"`
	State    string         `json:"state"`
	Version  uint64         `json:"version"`
	Received Duration       `json:"heard"`
}

// Site is another data centre.
type Site struct {
	Name    string `json:"name"`
	Region  string `json:"region"`
	State   string `json:"state"`
	Version uint64 `json:"version"`
	// Received is the time since the last summary of the data centre was received.
	Received Duration `json:"heard"`
	Hosts    int      `json:"hosts"`
}

// Server is a backend server of the data centre.
type Server struct {
	Addr    netip.AddrPort `json:"addr"`
	Service string         `json:"service"`
	State   string         `json:"state"`
	Queued  int            `json:"queued"`
	Running int            `json:"running"`
	Limit   int            `json:"limit"`
}

// Node is the part of the daemon that operators can query and control.
type Node interface {
	Status() Status
	// Leave requests a planned stop and does not wait for it.
	Leave()
	// Order sends an order to an engine and returns when the engine has accepted it.
	Order(ctx context.Context, o orders.Order) error
}

// Admin is the HTTP server for operators. Create it with New.
type Admin struct {
	node Node
	http *http.Server
}

const (
	// readTimeout bounds the reading of a request.
	readTimeout = 10 * time.Second
	// orderTimeout bounds the handling of an order, which may have to wait until an
	// earlier order is no longer in effect. The write timeout must exceed it.
	orderTimeout = 90 * time.Second
	// maxOrderBytes bounds the body of an order request.
	maxOrderBytes = 64 << 10
	// maxHeader bounds the header of a request in bytes.
	maxHeader = 64 << 10
)

// New returns a server. It does not listen until Serve is called.
func New(node Node, metrics http.Handler, log *zap.Logger) *Admin {
	a := &Admin{node: node}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", a.status)
	mux.HandleFunc("POST /drain", a.drain)
	mux.HandleFunc("POST /order", a.order)
	mux.HandleFunc("GET /health", a.health)
	mux.Handle("GET /metrics", metrics)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	a.http = &http.Server{
		Handler: mux, MaxHeaderBytes: maxHeader, ReadTimeout: readTimeout, WriteTimeout: orderTimeout + readTimeout,
		ErrorLog: zap.NewStdLog(log.Named("admin")),
	}
	intake.Attach(a.http)
	return a
}

// Serve accepts connections on ln until Close.
func (a *Admin) Serve(ln net.Listener) error {
	if err := a.http.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve admin interface on %s: %w", ln.Addr(), err)
	}
	return nil
}

// Close stops accepting connections and waits for requests in progress until ctx ends.
func (a *Admin) Close(ctx context.Context) error {
	if err := a.http.Shutdown(ctx); err != nil {
		return fmt.Errorf("shut down admin interface: %w", err)
	}
	return nil
}

func (a *Admin) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, a.node.Status())
}

func (a *Admin) drain(w http.ResponseWriter, _ *http.Request) {
	a.node.Leave()
	writeJSON(w, http.StatusAccepted, a.node.Status())
}

// order sends an order to an engine. The response is 200 if the engine accepted it, 409
// if the load has already been ordered or another host is sending orders to the engine,
// 502 if it is unknown whether the order was carried out, and 503 if it was not.
func (a *Admin) order(w http.ResponseWriter, r *http.Request) {
	var o orders.Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxOrderBytes)).Decode(&o); err != nil {
		http.Error(w, "order: "+err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), orderTimeout)
	defer cancel()
	err := a.node.Order(ctx, o)
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, o)
	case errors.Is(err, orders.ErrBusy), errors.Is(err, orders.ErrDuplicate):
		http.Error(w, err.Error(), http.StatusConflict)
	case errors.Is(err, orders.ErrUnknown):
		http.Error(w, err.Error(), http.StatusBadGateway)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

// health responds 200 while the host serves callers, and 503 before it has a
// configuration and once it is leaving.
func (a *Admin) health(w http.ResponseWriter, _ *http.Request) {
	s := a.node.Status()
	code := http.StatusOK
	if s.Version == 0 || s.State != "live" {
		code = http.StatusServiceUnavailable
	}
	writeJSON(w, code, struct {
		State   string `json:"state"`
		Version uint64 `json:"version"`
	}{s.State, s.Version})
}

// writeJSON writes v as the response. It ignores errors, which mean that the client has
// closed the connection.
func writeJSON(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(v)
}
