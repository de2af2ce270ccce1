// Package stats holds the Prometheus metrics of a gateway host. The number of label
// values is bounded: labels name services, priorities, outcomes, reasons, calls, regions and
// parts of a request's time, but never organisations, requests or servers.
package stats

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// durationBuckets are the upper bounds of the buckets of all histograms, in seconds.
var durationBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.7, 1, 1.4, 2, 3, 5, 10}

// maxScrapes bounds the responses in progress of each page: each holds all its metrics.
const maxScrapes = 4

// StatePath is the path of a page with the gateway's counters and gauges only. A
// collector that keeps only the start of a page gets the decisions there, and not
// the metrics of the Go runtime, which sort before them.
const StatePath = "/metrics/state"

// Metrics holds the metrics of a host. It is safe for concurrent use.
type Metrics struct {
	// state holds the gateway's counters and gauges, times its histograms and
	// process the metrics of the Go runtime and the process.
	state, times, process *prometheus.Registry

	requests       *prometheus.CounterVec
	firstByte      *prometheus.HistogramVec
	firstByteParts *prometheus.HistogramVec
	response       *prometheus.HistogramVec
	attempts       *prometheus.CounterVec
	retries        *prometheus.CounterVec
	retriesDenied  *prometheus.CounterVec
	limitedSends   *prometheus.CounterVec
	held           *prometheus.CounterVec
	turnedAway     *prometheus.CounterVec
	waits          *prometheus.HistogramVec
	lent           *prometheus.CounterVec
	streamEnds     *prometheus.CounterVec
	brokenOff      *prometheus.CounterVec
	takeUps        *prometheus.CounterVec
	unrecorded     *prometheus.CounterVec
	store          *prometheus.CounterVec
	probes         *prometheus.CounterVec
	processChecks  *prometheus.CounterVec
	cautiousSends  *prometheus.CounterVec
	intakeRefused  *prometheus.CounterVec
}

// New returns metrics with their own registries.
func New() *Metrics {
	m := &Metrics{
		state: prometheus.NewRegistry(), times: prometheus.NewRegistry(), process: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "yuccalb_requests_total", Help: "Finished requests by service, outcome and reason.",
		}, []string{"service", "outcome", "reason"}),
		firstByte: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "yuccalb_first_byte_seconds", Help: "Time from arrival to the first byte of the response.", Buckets: durationBuckets,
		}, []string{"service"}),
		firstByteParts: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "yuccalb_first_byte_part_seconds", Help: "Parts of the time to the first byte: retry (until the last attempt), read (expected for the prompt), queue (the rest, at a server of the own region) or region (in another one).", Buckets: durationBuckets,
		}, []string{"service", "part"}),
		response: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "yuccalb_response_seconds", Help: "Time from arrival to the end of the response.", Buckets: durationBuckets,
		}, []string{"service"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "yuccalb_attempts_total", Help: "Requests sent, by service, place (local or the region) and outcome.",
		}, []string{"service", "place", "outcome"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "yuccalb_retries_total", Help: "Attempts after the first one, by service and what allowed them (budget, free or no budget).",
		}, []string{"service", "by"}),
		retriesDenied: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "yuccalb_retries_denied_total", Help: "Failed attempts that none followed, by service and reason (rules, time or budget exhausted).",
		}, []string{"service", "reason"}),
		limitedSends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "yuccalb_limited_sends_total", Help: "Requests sent to servers that named a limit, by service.",
		}, []string{"service"}),
		held: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "yuccalb_held_requests_total", Help: "Requests that waited for room at servers with a refusal limit, by service.",
		}, []string{"service"}),
		turnedAway: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "yuccalb_turned_away_total", Help: "Requests refused for lack of capacity, by service, priority and reason (queue full, displaced, waited, late, limit, in flight or server).",
		}, []string{"service", "priority", "reason"}),
		waits: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "yuccalb_wait_seconds", Help: "Time for which requests waited for room at servers, until they were sent, refused or displaced.", Buckets: durationBuckets,
		}, []string{"service"}),
		brokenOff: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "yuccalb_broken_off_total", Help: "Requests whose server closed the connection before the response was complete, by service.",
		}, []string{"service"}),
		lent: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "yuccalb_lent_requests_total", Help: "Requests that were sent by another host of the region because it has room at servers with a refusal limit, by service and outcome.",
		}, []string{"service", "outcome"}),
		streamEnds: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "yuccalb_stream_ends_total", Help: "Streams that ended without an error, by service, framing (length, chunked or close) and place of the end (event: within an event, between: after one).",
		}, []string{"service", "framing", "place"}),
		takeUps: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "yuccalb_take_ups_total", Help: "Streams that callers took up again, by service and where the version is known from at which they began (store, memory, base, only or unknown).",
		}, []string{"service", "from"}),
		unrecorded: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "yuccalb_unrecorded_streams_total", Help: "Streams whose first event was passed on before the store had recorded their version, by service.",
		}, []string{"service"}),
		cautiousSends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "yuccalb_cautious_sends_total", Help: "Requests that may not run twice and went by open connections or by another host because the path to the servers was in doubt, by service.",
		}, []string{"service"}),
		probes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "yuccalb_probes_total", Help: "Probes of servers that this host seemed not to reach, by service and outcome.",
		}, []string{"service", "outcome"}),
		processChecks: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "yuccalb_process_checks_total", Help: "Servers that were asked which process they are before a stream was sent on a connection, by service and result (same, other or unknown).",
		}, []string{"service", "result"}),
		store: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "yuccalb_store_calls_total", Help: "Calls of the platform's store by call and outcome.",
		}, []string{"call", "outcome"}),
	}
	m.intakeRefused = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "yuccalb_intake_refused_total", Help: "Connections and requests refused before they were read, by address and reason (connections, evicted, memory or lines).",
	}, []string{"address", "reason"})
	m.state.MustRegister(m.intakeRefused, m.requests, m.attempts, m.retries, m.retriesDenied, m.limitedSends, m.held, m.turnedAway, m.lent, m.streamEnds, m.brokenOff, m.takeUps, m.unrecorded, m.store, m.probes, m.processChecks, m.cautiousSends)
	m.times.MustRegister(m.firstByte, m.firstByteParts, m.response, m.waits)
	m.process.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// Gauge registers a gauge whose value is read when metrics are collected.
func (m *Metrics) Gauge(name, help string, value func() float64) {
	m.state.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
}

// Counter registers a counter whose value is read when metrics are collected.
func (m *Metrics) Counter(name, help string, value func() float64) {
	m.state.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, value))
}

// Request records a finished request and its duration.
func (m *Metrics) Request(service, outcome, reason string, took time.Duration) {
	m.requests.WithLabelValues(service, outcome, reason).Inc()
	m.response.WithLabelValues(service).Observe(took.Seconds())
}

// FirstByte records the time to the first byte of a response.
func (m *Metrics) FirstByte(service string, took time.Duration) {
	m.firstByte.WithLabelValues(service).Observe(took.Seconds())
}

// Parts of the time to the first byte: the time until the last attempt, then either
// the expected prefill time and the rest at a server of the local region, or the time
// in a remote region.
const (
	PartRetry   = "retry"
	PartPrefill = "read"
	PartQueue   = "queue"
	PartRegion  = "region"
)

// FirstBytePart records one of the parts of the time to the first byte.
func (m *Metrics) FirstBytePart(service, part string, took time.Duration) {
	m.firstByteParts.WithLabelValues(service, part).Observe(took.Seconds())
}

// Attempt records an attempt that was sent to a local server or a remote region.
func (m *Metrics) Attempt(service, place, outcome string) {
	m.attempts.WithLabelValues(service, place, outcome).Inc()
}

// Grant records whether an attempt follows a failed one, and what allowed it or why none
// does.
func (m *Metrics) Grant(service, reason string, permitted bool) {
	if permitted {
		m.retries.WithLabelValues(service, reason).Inc()
		return
	}
	m.retriesDenied.WithLabelValues(service, reason).Inc()
}

// LimitedSend records a request that was sent to a server that named a limit.
func (m *Metrics) LimitedSend(service string) { m.limitedSends.WithLabelValues(service).Inc() }

// Held records a request that waits for room at servers with a refusal limit.
func (m *Metrics) Held(service string) { m.held.WithLabelValues(service).Inc() }

// Waited records for how long a request waited for room at servers.
func (m *Metrics) Waited(service string, d time.Duration) {
	m.waits.WithLabelValues(service).Observe(d.Seconds())
}

// TurnedAway records a request that was refused for lack of capacity.
func (m *Metrics) TurnedAway(service string, priority int, reason string) {
	m.turnedAway.WithLabelValues(service, priorityLabel(priority), reason).Inc()
}

// Lent records a request that was sent by another host of the region because it has room.
func (m *Metrics) Lent(service, outcome string) { m.lent.WithLabelValues(service, outcome).Inc() }

// BrokenOff records a request that its server broke off before the response was complete.
func (m *Metrics) BrokenOff(service string) { m.brokenOff.WithLabelValues(service).Inc() }

// TakeUp records that a caller takes a stream up again, and where the version is known from at
// which it began.
func (m *Metrics) TakeUp(service, from string) { m.takeUps.WithLabelValues(service, from).Inc() }

// Unrecorded records that the first event of a stream was passed on before its version was
// recorded.
func (m *Metrics) Unrecorded(service string) { m.unrecorded.WithLabelValues(service).Inc() }

// StreamEnd records the end of a stream that ended without an error.
func (m *Metrics) StreamEnd(service, framing string, withinEvent bool) {
	place := "between"
	if withinEvent {
		place = "event"
	}
	m.streamEnds.WithLabelValues(service, framing, place).Inc()
}

// CautiousSend records a request that may not run twice and was sent with the path to the
// servers in doubt.
func (m *Metrics) CautiousSend(service string) { m.cautiousSends.WithLabelValues(service).Inc() }

// IntakeRefused records a connection or request that was refused before it was read.
func (m *Metrics) IntakeRefused(address, reason string) {
	m.intakeRefused.WithLabelValues(address, reason).Inc()
}

// Probe records a probe of a server.
func (m *Metrics) Probe(service string, err error) {
	outcome := "ok"
	if err != nil {
		outcome = "failed"
	}
	m.probes.WithLabelValues(service, outcome).Inc()
}

// ProcessCheck records that a stream was not sent before it was checked which process of the server a
// connection leads to, and whether it is the one expected.
func (m *Metrics) ProcessCheck(service, result string) {
	m.processChecks.WithLabelValues(service, result).Inc()
}

// Store records a call to the platform's store.
func (m *Metrics) Store(call string, err error) {
	outcome := "ok"
	if err != nil {
		outcome = "failed"
	}
	m.store.WithLabelValues(call, outcome).Inc()
}

// Handler serves the metrics in the Prometheus text format: those of StatePath there,
// and all of them on all other paths.
func (m *Metrics) Handler() http.Handler {
	all := prometheus.Gatherers{m.state, m.times, m.process}
	mux := http.NewServeMux()
	mux.Handle(StatePath, promhttp.HandlerFor(m.state, promhttp.HandlerOpts{MaxRequestsInFlight: maxScrapes}))
	mux.Handle("/", promhttp.HandlerFor(all, promhttp.HandlerOpts{MaxRequestsInFlight: maxScrapes}))
	return mux
}
