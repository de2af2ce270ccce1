package server

import (
	"context"
	"crypto/rand"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// EngineConfig configures an Engine. Zero values select the defaults.
type EngineConfig struct {
	// Model is the name of the model in responses; default "model".
	Model string
	// First is the time to the first token in addition to prefill; default 0.
	First time.Duration
	// Token is the time per output token; default 0.
	Token time.Duration
	// Prefill is the prefill rate in prompt tokens per second; default 20,000.
	Prefill int
	// Limit is the number of batch slots; default 16.
	Limit int
	// Queue is the number of requests that may wait; default 256.
	Queue int
	// Cache is the size of the prefix cache in tokens; default 65,536.
	Cache int
	// LoadLag and CacheLag delay load reports and cache events.
	LoadLag, CacheLag time.Duration
	// CacheGap makes every CacheGap-th cache event get lost; 0 means none.
	CacheGap int
	// Fenced makes the engine reject orders with a stale fencing token.
	Fenced bool
	// OrderTime is how long an order is in effect.
	OrderTime time.Duration
}

// Engine is a fake model engine. It is safe for concurrent use.
type Engine struct {
	*base
	cfg    EngineConfig
	batch  *batch
	cache  *cache
	orders orders

	mu      sync.Mutex
	cancels map[string]context.CancelFunc // of running requests, by id
}

// NewEngine returns an engine with an empty prefix cache.
func NewEngine(cfg EngineConfig) *Engine {
	setDefault(&cfg.Model, "model")
	setDefault(&cfg.Prefill, 20_000)
	setDefault(&cfg.Limit, 16)
	setDefault(&cfg.Queue, 256)
	setDefault(&cfg.Cache, 65_536)
	return &Engine{
		base: newBase(), cfg: cfg,
		batch:   newBatch(cfg.Limit, cfg.Queue, cfg.Prefill),
		cache:   newCache(cfg.Cache, cfg.CacheGap, rand.Text()),
		orders:  orders{fenced: cfg.Fenced, duration: cfg.OrderTime},
		cancels: make(map[string]context.CancelFunc),
	}
}

// setDefault sets *p to value if it is zero.
func setDefault[T comparable](p *T, value T) {
	var zero T
	if *p == zero {
		*p = value
	}
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if e.control(w, r) {
		return
	}
	req := e.record(r)
	if e.stalled(r) {
		e.stall(r)
	}
	if e.Fault().Refuse {
		drop()
	}
	id, cancel := strings.CutPrefix(r.URL.Path, "/v1/requests/")
	switch {
	case r.URL.Path == "/v1/chat/completions" && r.Method == http.MethodPost:
		e.chat(w, r, req)
		return
	case r.URL.Path == "/v1/orders" && r.Method == http.MethodPost:
		e.order(w, r, req)
		return
	}
	e.echo(w, r, Fault{})
	switch {
	case r.URL.Path == "/v1/load":
		writeJSON(w, http.StatusOK, e.batch.report(e.Fault().Leaving, e.cfg.LoadLag))
	case r.URL.Path == "/v1/cache":
		after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
		writeJSON(w, http.StatusOK, e.cache.page(after, e.cfg.CacheLag))
	case cancel && r.Method == http.MethodDelete:
		e.cancel(w, id)
	default:
		writeJSON(w, http.StatusNotFound, map[string]string{"error": "no such path"})
	}
}

// order serves POST /v1/orders.
func (e *Engine) order(w http.ResponseWriter, r *http.Request, req *Request) {
	f := e.consumeFault()
	if !e.admit(w, r, f) {
		return
	}
	body, err := e.body(r, req)
	if err != nil || f.Drop == DropBody {
		drop()
	}
	o, ok, err := e.orders.add(body)
	switch {
	case err != nil:
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	case !ok:
		refuse(w, http.StatusConflict, "stale token")
		return
	}
	e.countRun("order " + o.Order + " " + o.Model)
	if f.Drop == DropRun || !e.sleep(r.Context(), time.Duration(f.Late)) {
		drop()
	}
	writeJSON(w, http.StatusAccepted, o)
}

// cancel serves DELETE /v1/requests/ID, which ends a running request.
func (e *Engine) cancel(w http.ResponseWriter, id string) {
	e.mu.Lock()
	cancel := e.cancels[id]
	e.mu.Unlock()
	if cancel == nil {
		writeJSON(w, http.StatusNotFound, map[string]string{"error": "no such request"})
		return
	}
	cancel()
	w.WriteHeader(http.StatusNoContent)
}

// Running returns the number of requests in the batch.
func (e *Engine) Running() int { return e.batch.report(false, 0).Running }

// Orders returns the accepted orders, oldest first.
func (e *Engine) Orders() []Order { return e.orders.all() }
