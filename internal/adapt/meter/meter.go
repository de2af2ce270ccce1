// Package meter holds the Prometheus metrics of a daemon. Label values are
// bounded: routes, reasons, data centres and states, never organisations.
package meter

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// firstByteBuckets are in seconds. 1.4 s is the target for the 95th percentile.
var firstByteBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.7, 1, 1.4, 2, 3, 5, 10, 30}

// Metrics is the set of a daemon's metrics. It is safe for concurrent use.
type Metrics struct {
	registry *prometheus.Registry

	// Requests counts finished requests by route and outcome, which is "ok" or the
	// reason of the rejection.
	Requests *prometheus.CounterVec
	// FirstByte observes the seconds from the arrival of a request to the first
	// byte of its response, by route.
	FirstByte *prometheus.HistogramVec
	// Attempts counts dispatches to backend servers, by route.
	Attempts *prometheus.CounterVec
	// Forwarded counts requests forwarded to another data centre, by data centre.
	Forwarded *prometheus.CounterVec
	// ForwardedBytes counts the request and response bytes of forwarded requests,
	// by data centre.
	ForwardedBytes *prometheus.CounterVec
	// Inflight is the number of requests that the host is serving.
	Inflight prometheus.Gauge
	// Tokens counts tokens by kind: "prompt", "answer" or "cached".
	Tokens *prometheus.CounterVec
	// Interrupted counts requests that a forced exit interrupted.
	Interrupted prometheus.Counter

	intakeRefused *prometheus.CounterVec
}

// maxScrapes bounds the responses in progress of the page: each holds all metrics.
const maxScrapes = 4

// New returns a set of metrics with its own registry.
func New() *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		Requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "yuccalb_requests_total", Help: "Finished requests by route and outcome.",
		}, []string{"route", "outcome"}),
		FirstByte: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "yuccalb_first_token_seconds", Help: "Time from arrival to the first byte of the response.", Buckets: firstByteBuckets,
		}, []string{"route"}),
		Attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "yuccalb_attempts_total", Help: "Dispatches to backend servers by route.",
		}, []string{"route"}),
		Forwarded: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "yuccalb_forwarded_total", Help: "Requests forwarded to another data centre.",
		}, []string{"site"}),
		ForwardedBytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "yuccalb_forwarded_bytes_total", Help: "Bytes of forwarded requests and responses.",
		}, []string{"site"}),
		Inflight: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "yuccalb_inflight_requests", Help: "Requests being served.",
		}),
		Tokens: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "yuccalb_tokens_total", Help: "Tokens by kind.",
		}, []string{"kind"}),
		Interrupted: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "yuccalb_interrupted_requests_total", Help: "Requests cut off by a forced exit.",
		}),
	}
	m.intakeRefused = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "yuccalb_intake_refused_total", Help: "Connections and requests refused before they were read, by address and reason.",
	}, []string{"address", "reason"})
	m.registry.MustRegister(
		m.intakeRefused, m.Requests, m.FirstByte, m.Attempts, m.Forwarded, m.ForwardedBytes,
		m.Inflight, m.Tokens, m.Interrupted,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return m
}

// Gauge registers a gauge whose value is read when metrics are collected.
func (m *Metrics) Gauge(name, help string, value func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
}

// Counter registers a counter whose value is read when metrics are collected.
func (m *Metrics) Counter(name, help string, value func() float64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, value))
}

// IntakeRefused counts a connection or request that was refused before it was read.
func (m *Metrics) IntakeRefused(address, reason string) {
	m.intakeRefused.WithLabelValues(address, reason).Inc()
}

// CountRequest counts a finished request.
func (m *Metrics) CountRequest(route, outcome string) {
	m.Requests.WithLabelValues(route, outcome).Inc()
}

// ObserveFirstByte observes that the first byte of a response was sent d after the request
// arrived.
func (m *Metrics) ObserveFirstByte(route string, d time.Duration) {
	m.FirstByte.WithLabelValues(route).Observe(d.Seconds())
}

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{Registry: m.registry, MaxRequestsInFlight: maxScrapes})
}

// CountAttempt counts a dispatch to a backend server.
func (m *Metrics) CountAttempt(route string) {
	m.Attempts.WithLabelValues(route).Inc()
}

// CountForward counts a request forwarded to another data centre and the n bytes of the
// request and its response.
func (m *Metrics) CountForward(site string, n int) {
	m.Forwarded.WithLabelValues(site).Inc()
	m.ForwardedBytes.WithLabelValues(site).Add(float64(n))
}

// AddTokens adds the token counts that an engine reported for a response.
func (m *Metrics) AddTokens(prompt, response, cached int64) {
	m.Tokens.WithLabelValues("prompt").Add(float64(prompt))
	m.Tokens.WithLabelValues("answer").Add(float64(response))
	m.Tokens.WithLabelValues("cached").Add(float64(cached))
}
