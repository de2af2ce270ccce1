// Package entry implements a gateway host: it starts the host's components, serves
// its addresses, and shuts it down gracefully.
package entry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/core/reach"
	"github.com/yuccalb/yuccalb/internal/core/spec"
	"github.com/yuccalb/yuccalb/internal/edge/boot"
	"github.com/yuccalb/yuccalb/internal/edge/fleet"
	"github.com/yuccalb/yuccalb/internal/edge/gossip"
	"github.com/yuccalb/yuccalb/internal/edge/intake"
	"github.com/yuccalb/yuccalb/internal/edge/ledger"
	"github.com/yuccalb/yuccalb/internal/edge/logs"
	"github.com/yuccalb/yuccalb/internal/edge/mirror"
	"github.com/yuccalb/yuccalb/internal/edge/relay"
	"github.com/yuccalb/yuccalb/internal/edge/send"
	"github.com/yuccalb/yuccalb/internal/edge/stats"
	"github.com/yuccalb/yuccalb/platform"
)

const (
	// lookupTTL is the TTL of lookup responses.
	lookupTTL = time.Second
	// drainDelay is how long a draining host accepts new connections, since some
	// callers use a lookup response for three times its TTL. It ends early once
	// no request has arrived for quietPeriod.
	drainDelay   = 3*lookupTTL + 200*time.Millisecond
	quietPeriod  = 700 * time.Millisecond
	pollInterval = 50 * time.Millisecond
	// firstRequestTimeout is how long a host that no longer listens waits for the
	// first request on a connection.
	firstRequestTimeout = time.Second
	// exitMargin is reserved at the end of the grace period.
	exitMargin = 400 * time.Millisecond
	// headerTimeout bounds the reading of a header. idleTimeout bounds the idle
	// time of connections, unless the configuration sets it for callers.
	headerTimeout = 5 * time.Second
	idleTimeout   = 60 * time.Second
	// keepAliveShare is the share of the file descriptors beyond which callers'
	// connections are closed after each response: callers open more connections
	// under load and keep them.
	keepAliveShare = 0.35
	// runningShare is the share of the file descriptors that bounds the requests
	// in progress: each needs one for its caller and one for its server.
	runningShare = 0.35
	// defaultFiles is the number of file descriptors assumed when the settings
	// state no limit.
	defaultFiles = 4096
	// maxHeader bounds a header in bytes.
	maxHeader = 64 << 10
	// sweepInterval is the interval between sweeps of idle connections, and
	// summaryInterval that between summaries of log lines left out.
	sweepInterval   = time.Second
	summaryInterval = 5 * time.Second
	// memoryShare is the share of the memory limit that becomes the soft limit of
	// the Go garbage collector.
	memoryShare = 0.7
	// bodyShare is the share of the memory limit for request and response bodies.
	bodyShare = 0.125
	// defaultMemory is the memory in MB assumed when the settings state no limit.
	defaultMemory    = 512
	storeDialTimeout = time.Second
	// auxTimeout bounds the reading of a request and the writing of its response on
	// the addresses for lookups, health checks and metrics.
	auxTimeout = 5 * time.Second
)

// Shares of all connections that the addresses may have. Front leaves a part to other
// hosts: a connection that one of them opens in vain may cost a request that must not run
// twice.
const (
	frontShare   = 0.85
	peerShare    = 0.75
	lookupShare  = 0.25
	readyShare   = 0.05
	metricsShare = 0.05
)

// Entry is a running gateway host.
type Entry struct {
	settings     boot.Settings
	log          *logs.Logger
	exchange     *gossip.Exchange
	fleet        *fleet.Fleet
	ledger       *ledger.Ledger
	relay        *relay.Relay
	stateHandler http.Handler

	gate        *intake.Gate
	callerConns *connTracker
	listener    *listener // serves front
	front, peer *http.Server
	aux         []*http.Server
	stop        chan struct{}
	done        sync.WaitGroup

	closeOnce sync.Once
	closeErr  error
}

// Start starts a host with the given settings. It returns once all addresses are
// bound; the configuration may not have been read yet.
func Start(settings boot.Settings, log *logs.Logger) (*Entry, error) {
	return start(settings, log, send.NewDialer(send.DefaultDial).DialContext)
}

// start is Start with the function that opens connections to servers.
func start(settings boot.Settings, log *logs.Logger, dial send.DialFunc) (*Entry, error) {
	if settings.Memory > 0 {
		debug.SetMemoryLimit(int64(float64(settings.Memory<<20) * memoryShare))
	}
	if settings.Memory == 0 {
		settings.Memory = defaultMemory
	}
	if settings.Files == 0 {
		settings.Files = defaultFiles
	}
	e := &Entry{settings: settings, log: log, callerConns: newConnTracker(), stop: make(chan struct{})}
	exchange, err := gossip.Listen(settings.Peer, time.Now().UnixNano(), log.Logger)
	if err != nil {
		return nil, err
	}
	metrics := stats.New()
	transport := &http.Transport{DialContext: send.NewDialer(storeDialTimeout).DialContext, MaxIdleConnsPerHost: 4, MaxResponseHeaderBytes: maxHeader}
	store := platform.NewStore(settings.Store, transport)
	e.exchange = exchange
	e.gate = intake.New(intake.LimitsOf(settings.Memory<<20, settings.Files, settings.Cores), metrics.IntakeRefused, log.Logger)
	e.fleet = fleet.New(fleet.Options{
		Self:   spec.Host{Name: settings.Host, Site: settings.Site, Front: settings.Front, Peer: settings.Peer, Cores: settings.Cores},
		Region: settings.Region, Sites: settings.Sites, Seeds: settings.Seeds, First: settings.First,
		Revoke: settings.Revoke, Retries: settings.Retries, RetryRatio: settings.Ratio, Log: log.Logger, Requests: log.Requests,
		Store: store, Records: store, PeerReader: mirror.NewClient(transport), Count: metrics.Store,
	}, exchange)
	e.stateHandler = mirror.Handler(e.fleet)
	files := float64(settings.Files)
	e.ledger = ledger.New(ledger.Options{Store: store, Count: metrics.Store, Log: log.Requests})
	e.relay = relay.New(relay.Options{
		Fleet: e.fleet, Records: e.ledger, Log: log, Stats: metrics, Dial: dial, MaxRunning: int64(runningShare * files),
		MaxBodyBytes:     int64(bodyShare * float64(settings.Memory<<20)),
		DisableKeepAlive: func() bool { return float64(e.callerConns.Open()) > keepAliveShare*files },
	})
	e.fleet.Start()
	e.registerMetrics(metrics)
	if err := e.listen(metrics); err != nil {
		return nil, errors.Join(err, e.Close(context.Background()))
	}
	e.done.Go(e.sweep)
	log.Info("started", zap.Stringer("front", settings.Front), zap.String("site", settings.Site), zap.String("region", settings.Region), zap.Bool("first", settings.First), zap.Stringer("store", settings.Store))
	return e, nil
}

// registerMetrics registers the metrics whose values the components hold.
func (e *Entry) registerMetrics(m *stats.Metrics) {
	m.Gauge("yuccalb_config_version", "Operator's version of the configuration in force.", func() float64 {
		if s := e.fleet.View().Snapshot; s != nil {
			return float64(s.Version)
		}
		return 0
	})
	m.Gauge("yuccalb_list_age_seconds", "Time since the list of servers was last known to be current.", func() float64 { return e.fleet.ListAge().Seconds() })
	m.Gauge("yuccalb_key_age_seconds", "Time since the keys were last known to be current.", func() float64 {
		age, _ := e.fleet.KeyAge()
		return age.Seconds()
	})
	m.Gauge("yuccalb_limited_servers", "Servers of the region that name a limit.", func() float64 {
		n, _ := e.fleet.LimitedServers()
		return float64(n)
	})
	m.Gauge("yuccalb_limited_rate", "Sum of the limits that servers of the region name, in requests per second over all hosts.", func() float64 {
		_, rate := e.fleet.LimitedServers()
		return rate
	})
	m.Gauge("yuccalb_retry_part", "Retries that the budget of each service may hold at this host.", e.fleet.RetryPart)
	m.Gauge("yuccalb_sharing_hosts", "Hosts of the region among which this host divides limits over all of them.", func() float64 {
		n, _ := e.fleet.Sharing()
		return float64(n)
	})
	m.Gauge("yuccalb_parts_held", "Whether this host may use its parts of limits over all hosts.", func() float64 {
		if _, holding := e.fleet.Sharing(); holding {
			return 1
		}
		return 0
	})
	m.Gauge("yuccalb_path_lost", "Whether this host reaches no server of its region, or can open no connection to them.", func() float64 {
		if e.fleet.Path().State() == reach.Reached {
			return 0
		}
		return 1
	})
	m.Gauge("yuccalb_refusal_limited_servers", "Servers of the region with a refusal limit.", func() float64 { return float64(e.fleet.RefusalLimited()) })
	m.Waiting(e.fleet.Waiting)
	m.Gauge("yuccalb_own_room", "Requests for which this host has room of its own at servers with a refusal limit.", func() float64 { return float64(e.fleet.OwnRoom()) })
	m.Gauge("yuccalb_suspected_parts", "Requests and parts of prompts that are suspected to make servers crash.", func() float64 { return float64(e.fleet.SuspectedParts()) })
	m.Gauge("yuccalb_peers", "Other hosts heard of lately.", func() float64 {
		n := 0
		for _, p := range e.exchange.Peers() {
			if time.Since(p.Received) < gossip.PeerTimeout {
				n++
			}
		}
		return float64(n)
	})
	m.Gauge("yuccalb_caller_connections", "Open connections of callers.", func() float64 { return float64(e.callerConns.Open()) })
	m.Gauge("yuccalb_intake_bytes", "Memory that connections of callers and the heads of their requests are charged for, in bytes.", func() float64 { return float64(e.gate.Bytes()) })
	m.Gauge("yuccalb_inflight_requests", "Requests being served.", func() float64 { return float64(e.relay.Running()) })
	m.Gauge("yuccalb_body_bytes", "Memory that bodies of requests and responses hold, in bytes.", func() float64 { return float64(e.relay.BodyBytes()) })
	m.Gauge("yuccalb_server_body_bytes", "Large request bodies in flight to the server with the most, in bytes.", func() float64 { return float64(e.relay.MostInFlight()) })
	m.Counter("yuccalb_store_restores_total", "Times that the store came back from a copy.", func() float64 { return float64(e.fleet.Restores()) })
	m.Counter("yuccalb_connections_opened_total", "Connections opened to backend servers.", func() float64 { return float64(e.relay.Opened()) })
	m.Counter("yuccalb_log_lines_dropped_total", "Log lines dropped because the buffer was full.", func() float64 { return float64(e.log.Dropped()) })
	m.Counter("yuccalb_log_lines_sampled_total", "Log lines about requests left out by sampling.", func() float64 { return float64(e.log.Sampled()) })
}

// listen binds all addresses and serves them.
func (e *Entry) listen(m *stats.Metrics) error {
	e.front = e.server(e.callerConns.Handler(e.relay))
	e.front.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return e.callerConns.ConnContext(e.connContext(ctx, c), c)
	}
	e.front.IdleTimeout = 0 // sweep closes idle connections, by the configuration in force
	e.front.ConnState = e.callerConns.State
	e.peer = e.server(http.HandlerFunc(e.servePeer))
	ready := e.server(http.HandlerFunc(e.serveReady))
	lookup := e.server(http.HandlerFunc(e.serveLookup))
	e.aux = []*http.Server{ready, lookup}
	addrs := []address{
		{e.front, e.settings.Front, intake.Options{Name: "front", Share: frontShare}},
		{e.peer, e.settings.Peer, intake.Options{Name: "peer", Share: peerShare, Header: relay.NotRunLine}},
		{ready, e.settings.Ready, intake.Options{Name: "ready", Share: readyShare}},
		{lookup, e.settings.Lookup, intake.Options{Name: "lookup", Share: lookupShare}},
	}
	if e.settings.Metrics.IsValid() {
		srv := e.server(m.Handler())
		e.aux = append(e.aux, srv)
		addrs = append(addrs, address{srv, e.settings.Metrics, intake.Options{Name: "metrics", Share: metricsShare}})
	}
	for _, srv := range e.aux {
		srv.ReadTimeout, srv.WriteTimeout = auxTimeout, auxTimeout
	}
	for _, a := range addrs {
		srv, addr := a.srv, a.addr
		cfg := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}}
		l, err := cfg.Listen(context.Background(), "tcp4", addr.String())
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		if tcp, ok := l.(*net.TCPListener); ok && srv == e.front {
			e.listener = newListener(tcp)
			l = e.listener
		}
		intake.Attach(srv)
		l = e.gate.Listen(l, a.intake)
		e.done.Go(func() {
			if err := srv.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
				e.log.Error("listener failed", zap.Stringer("addr", addr), zap.Error(err))
			}
		})
	}
	return nil
}

// address is an address that a server serves.
type address struct {
	srv    *http.Server
	addr   netip.AddrPort
	intake intake.Options
}

// server returns a server with the common limits.
func (e *Entry) server(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
		DisableGeneralOptionsHandler: true, ErrorLog: zap.NewStdLog(e.log.Requests), ConnContext: e.connContext,
	}
}

// connContext bounds the bytes that the kernel holds for an accepted connection. The context of its requests stays
// as it is.
func (e *Entry) connContext(ctx context.Context, c net.Conn) context.Context {
	if err := send.LimitUnsent(c); err != nil {
		e.log.Debug("unsent bytes of a connection not limited", zap.Error(err))
	}
	return ctx
}

// servePeer serves other hosts, which read the state of the store or forward requests.
func (e *Entry) servePeer(w http.ResponseWriter, r *http.Request) {
	if mirror.IsStateRequest(r) && !relay.Forwarded(r) {
		e.stateHandler.ServeHTTP(w, r)
		return
	}
	e.relay.ServePeer(w, r)
}

// serveReady responds to a readiness check.
func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !e.fleet.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// serveLookup responds with the hosts that a caller should use.
func (e *Entry) serveLookup(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.LookupPath {
		http.NotFound(w, r)
		return
	}
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	hosts := e.fleet.HostsFor(r.URL.Query().Get("region"), rng)
	if len(hosts) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := platform.EncodeLookup(hosts, lookupTTL)
	if err != nil {
		e.log.Error("lookup response not encoded", zap.Error(err))
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if _, err := w.Write(body); err != nil {
		e.log.Debug("lookup response not written", zap.Error(err))
	}
}

// sweep closes idle connections and logs the summaries of omitted log lines, at
// intervals.
func (e *Entry) sweep() {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	summary := time.NewTicker(summaryInterval)
	defer summary.Stop()
	for {
		select {
		case <-e.stop:
			return
		case now := <-t.C:
			e.relay.Sweep(now)
			e.callerConns.Sweep(now, e.callerIdleTimeout())
		case <-summary.C:
			e.log.Summarize()
			e.gate.Report()
		}
	}
}

// callerIdleTimeout returns the idle timeout of callers' connections.
func (e *Entry) callerIdleTimeout() time.Duration {
	if snap := e.fleet.View().Snapshot; snap != nil && snap.Limits.IdleTimeout > 0 {
		return snap.Limits.IdleTimeout
	}
	return idleTimeout
}

// Reload applies the settings that can change while the host runs.
func (e *Entry) Reload(s boot.Settings) {
	e.fleet.SetSeeds(s.Seeds)
	e.log.Info("settings reloaded", zap.Int("seeds", len(s.Seeds)))
}

// Close shuts the host down gracefully: it notifies other hosts and callers, and
// waits for requests in progress until the grace period ends or ctx is done.
// Later calls wait for the first and return the same error.
func (e *Entry) Close(ctx context.Context) error {
	e.closeOnce.Do(func() { e.closeErr = e.shutdown(ctx) })
	return e.closeErr
}

func (e *Entry) shutdown(ctx context.Context) error {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, max(e.settings.Grace-exitMargin, 0))
	defer cancel()
	var err error
	if e.front != nil {
		e.fleet.Leave()
		end, _ := ctx.Deadline() // WithTimeout has set it
		e.relay.StartDrain(began.Add(2*lookupTTL), end)
		e.awaitNoRequests(ctx)
		e.drain(ctx)
		err = errors.Join(e.front.Shutdown(ctx), e.peer.Shutdown(ctx))
		if errors.Is(err, context.DeadlineExceeded) && e.relay.Running() == 0 {
			// net/http polls for the end of requests and may miss it by
			// an interval.
			err = nil
		}
		e.log.Info("requests ended", zap.Int64("running", e.relay.Running()), zap.Duration("took", time.Since(began)))
		for _, srv := range append(e.aux, e.front, e.peer) {
			err = errors.Join(err, srv.Close())
		}
	}
	close(e.stop)
	err = errors.Join(err, e.fleet.Close(), e.relay.Close(), e.ledger.Close())
	e.done.Wait()
	if err != nil {
		return fmt.Errorf("close host: %w", err)
	}
	return nil
}

// drain stops listening and waits until the last connection of a caller has its
// response. http.Server.Shutdown alone would close a connection without a
// response if it reads the request afterwards.
func (e *Entry) drain(ctx context.Context) {
	if e.listener == nil {
		return // the address could not be bound
	}
	if err := e.listener.Drain(); err != nil {
		e.log.Warn("listener not closed", zap.Error(err))
	}
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for e.callerConns.Drain(time.Now(), pollInterval, firstRequestTimeout) > 0 {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// awaitNoRequests waits until callers no longer send requests to this host, at most
// for drainDelay.
func (e *Entry) awaitNoRequests(ctx context.Context) {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for end := time.Now().Add(drainDelay); time.Now().Before(end) && !e.relay.Idle(quietPeriod); {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}
