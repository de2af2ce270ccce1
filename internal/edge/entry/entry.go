// Package entry assembles a gateway host from its parts and listens on its
// addresses.
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

	"github.com/yuccalb/yuccalb/internal/core/spec"
	"github.com/yuccalb/yuccalb/internal/edge/boot"
	"github.com/yuccalb/yuccalb/internal/edge/fleet"
	"github.com/yuccalb/yuccalb/internal/edge/gossip"
	"github.com/yuccalb/yuccalb/internal/edge/logs"
	"github.com/yuccalb/yuccalb/internal/edge/mirror"
	"github.com/yuccalb/yuccalb/internal/edge/relay"
	"github.com/yuccalb/yuccalb/internal/edge/send"
	"github.com/yuccalb/yuccalb/internal/edge/stats"
	"github.com/yuccalb/yuccalb/platform"
)

const (
	// lookupTTL is how long callers may keep the answer of a lookup.
	lookupTTL = time.Second
	// linger is how long a leaving host takes new connections: some callers
	// keep the answer of a lookup for three times its lifetime. It ends early
	// once no request has arrived for quiet.
	linger    = 3*lookupTTL + 200*time.Millisecond
	quiet     = 700 * time.Millisecond
	quietTick = 50 * time.Millisecond
	// drainPatience is how long a host that no longer listens waits for the
	// first request on a connection.
	drainPatience = time.Second
	// exitMargin is kept free at the end of the grace time.
	exitMargin = 400 * time.Millisecond
	// headerWait and idleWait bound reading a header and idle connections
	// while the configuration sets no limits.
	headerWait = 5 * time.Second
	idleWait   = 60 * time.Second
	// crowdedShare of the descriptors may be callers' connections before each
	// ends with its response: callers under load open new ones and keep them.
	crowdedShare = 0.35
	// runningShare of the descriptors may be requests in progress: each needs
	// one to its caller and one to its server.
	runningShare = 0.35
	// defaultFiles is assumed when the settings state no limit.
	defaultFiles = 4096
	// maxHeader bounds a header in bytes.
	maxHeader = 64 << 10
	// sweepEvery is the interval between sweeps of idle connections, and
	// summaryEvery that between summaries of log lines left out.
	sweepEvery   = time.Second
	summaryEvery = 5 * time.Second
	// memoryShare of the memory limit is the target of the garbage collector.
	memoryShare = 0.7
	// bodyShare of the memory may be bodies that are held at once.
	bodyShare = 0.125
	// defaultMemory in MB is assumed when the settings state no limit.
	defaultMemory = 512
	storeDial     = time.Second
)

// Entry is a running gateway host.
type Entry struct {
	settings boot.Settings
	log      *logs.Logger
	exchange *gossip.Exchange
	fleet    *fleet.Fleet
	relay    *relay.Relay
	mirror   http.Handler

	callers     *conns
	listener    *listener // of front
	front, peer *http.Server
	aux         []*http.Server
	stop        chan struct{}
	done        sync.WaitGroup

	closing sync.Once
	closed  error
}

// Start runs a host with the given settings. It returns once all addresses
// are bound; the configuration may not be known yet.
func Start(settings boot.Settings, log *logs.Logger) (*Entry, error) {
	if settings.Memory > 0 {
		debug.SetMemoryLimit(int64(float64(settings.Memory<<20) * memoryShare))
	}
	if settings.Memory == 0 {
		settings.Memory = defaultMemory
	}
	if settings.Files == 0 {
		settings.Files = defaultFiles
	}
	e := &Entry{settings: settings, log: log, callers: newConns(), stop: make(chan struct{})}
	exchange, err := gossip.Listen(settings.Peer, time.Now().UnixNano(), log.Logger)
	if err != nil {
		return nil, err
	}
	metrics := stats.New()
	transport := &http.Transport{DialContext: send.NewDialer(storeDial).DialContext, MaxIdleConnsPerHost: 4, MaxResponseHeaderBytes: maxHeader}
	e.exchange = exchange
	e.fleet = fleet.New(fleet.Options{
		Self:   spec.Host{Name: settings.Host, Site: settings.Site, Front: settings.Front, Peer: settings.Peer, Cores: settings.Cores},
		Region: settings.Region, Sites: settings.Sites, Seeds: settings.Seeds, First: settings.First,
		Revoke: settings.Revoke, Retries: settings.Retries, RetryRatio: settings.Ratio, Log: log.Logger, Requests: log.Requests,
		Store: platform.NewStore(settings.Store, transport), Mirror: mirror.NewClient(transport), Count: metrics.Store,
	}, exchange)
	e.mirror = mirror.Handler(e.fleet)
	files := float64(settings.Files)
	e.relay = relay.New(relay.Options{
		Fleet: e.fleet, Log: log, Stats: metrics, MaxRunning: int64(runningShare * files),
		MaxBodyBytes:     int64(bodyShare * float64(settings.Memory<<20)),
		DisableKeepAlive: func() bool { return float64(e.callers.Open()) > crowdedShare*files },
	})
	e.fleet.Start()
	e.gauges(metrics)
	if err := e.listen(metrics); err != nil {
		return nil, errors.Join(err, e.Close(context.Background()))
	}
	e.done.Go(e.sweep)
	log.Info("started", zap.Stringer("front", settings.Front), zap.String("site", settings.Site), zap.String("region", settings.Region), zap.Bool("first", settings.First), zap.Stringer("store", settings.Store))
	return e, nil
}

// gauges registers the metrics that are read from the parts.
func (e *Entry) gauges(m *stats.Metrics) {
	m.Gauge("yuccalb_config_version", "Operator's version of the configuration in force.", func() float64 {
		if s := e.fleet.View().Snapshot; s != nil {
			return float64(s.Version)
		}
		return 0
	})
	m.Gauge("yuccalb_key_age_seconds", "Time since the keys were last known to be current.", func() float64 {
		age, _ := e.fleet.KeyAge()
		return age.Seconds()
	})
	m.Gauge("yuccalb_peers", "Other hosts heard of lately.", func() float64 {
		n := 0
		for _, p := range e.exchange.Peers() {
			if time.Since(p.Heard) < gossip.Lost {
				n++
			}
		}
		return float64(n)
	})
	m.Gauge("yuccalb_caller_connections", "Open connections of callers.", func() float64 { return float64(e.callers.Open()) })
	m.Gauge("yuccalb_inflight_requests", "Requests being served.", func() float64 { return float64(e.relay.Running()) })
	m.Counter("yuccalb_store_restores_total", "Times that the store came back from a copy.", func() float64 { return float64(e.fleet.Restores()) })
	m.Counter("yuccalb_connections_opened_total", "Connections opened to backend servers.", func() float64 { return float64(e.relay.Opened()) })
	m.Counter("yuccalb_log_lines_dropped_total", "Log lines dropped because the buffer was full.", func() float64 { return float64(e.log.Dropped()) })
	m.Counter("yuccalb_log_lines_sampled_total", "Log lines about requests left out by sampling.", func() float64 { return float64(e.log.Sampled()) })
}

func (e *Entry) listen(m *stats.Metrics) error {
	e.front = e.server(e.relay)
	e.front.IdleTimeout = 0 // sweep closes them by the configuration in force
	e.front.ConnState = e.callers.State
	e.peer = e.server(http.HandlerFunc(e.servePeer))
	ready := e.server(http.HandlerFunc(e.serveReady))
	lookup := e.server(http.HandlerFunc(e.serveLookup))
	e.aux = []*http.Server{ready, lookup}
	addrs := map[*http.Server]netip.AddrPort{
		e.front: e.settings.Front, e.peer: e.settings.Peer, ready: e.settings.Ready, lookup: e.settings.Lookup,
	}
	if e.settings.Metrics.IsValid() {
		srv := e.server(m.Handler())
		e.aux = append(e.aux, srv)
		addrs[srv] = e.settings.Metrics
	}
	for srv, addr := range addrs {
		cfg := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}}
		l, err := cfg.Listen(context.Background(), "tcp4", addr.String())
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		if tcp, ok := l.(*net.TCPListener); ok && srv == e.front {
			e.listener = newListener(tcp)
			l = e.listener
		}
		e.done.Go(func() {
			if err := srv.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
				e.log.Error("listener failed", zap.Stringer("addr", addr), zap.Error(err))
			}
		})
	}
	return nil
}

func (e *Entry) server(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerWait, IdleTimeout: idleWait, MaxHeaderBytes: maxHeader,
		DisableGeneralOptionsHandler: true, ErrorLog: zap.NewStdLog(e.log.Requests),
	}
}

// servePeer serves another host, which asks for state or forwards a request.
func (e *Entry) servePeer(w http.ResponseWriter, r *http.Request) {
	if mirror.Wanted(r) && !relay.Forwarded(r) {
		e.mirror.ServeHTTP(w, r)
		return
	}
	e.relay.ServePeer(w, r)
}

func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !e.fleet.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// serveLookup tells a caller which hosts to use.
func (e *Entry) serveLookup(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.LookupPath {
		http.NotFound(w, r)
		return
	}
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	hosts := e.fleet.Lead(r.URL.Query().Get("region"), rng)
	if len(hosts) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := platform.EncodeLookup(hosts, lookupTTL)
	if err != nil {
		e.log.Error("lookup not encoded", zap.Error(err))
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if _, err := w.Write(body); err != nil {
		e.log.Debug("lookup not taken", zap.Error(err))
	}
}

// sweep closes idle connections and sums up the log at intervals.
func (e *Entry) sweep() {
	t := time.NewTicker(sweepEvery)
	defer t.Stop()
	summary := time.NewTicker(summaryEvery)
	defer summary.Stop()
	for {
		select {
		case <-e.stop:
			return
		case now := <-t.C:
			e.relay.Sweep(now)
			e.callers.Sweep(now, e.idleLimit())
		case <-summary.C:
			e.log.Summarize()
		}
	}
}

// idleLimit returns how long a caller's connection may be idle.
func (e *Entry) idleLimit() time.Duration {
	if snap := e.fleet.View().Snapshot; snap != nil && snap.Limits.IdleTimeout > 0 {
		return snap.Limits.IdleTimeout
	}
	return idleWait
}

// Reload takes over settings that may change while the host runs.
func (e *Entry) Reload(s boot.Settings) {
	e.fleet.SetSeeds(s.Seeds)
	e.log.Info("settings reloaded", zap.Int("seeds", len(s.Seeds)))
}

// Close stops the host gracefully: other hosts and callers are told, requests
// in progress are completed, and Close waits for them until the grace time or
// ctx ends. Later calls wait for the first and return the same error.
func (e *Entry) Close(ctx context.Context) error {
	e.closing.Do(func() { e.closed = e.shutdown(ctx) })
	return e.closed
}

func (e *Entry) shutdown(ctx context.Context) error {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, max(e.settings.Grace-exitMargin, 0))
	defer cancel()
	var err error
	if e.front != nil {
		e.fleet.Leave()
		end, _ := ctx.Deadline() // set above
		e.relay.StartDrain(began.Add(2*lookupTTL), end)
		e.pause(ctx)
		e.drain(ctx)
		err = errors.Join(e.front.Shutdown(ctx), e.peer.Shutdown(ctx))
		if errors.Is(err, context.DeadlineExceeded) && e.relay.Running() == 0 {
			// net/http looks at intervals only whether requests have ended.
			err = nil
		}
		e.log.Info("requests ended", zap.Int64("running", e.relay.Running()), zap.Duration("took", time.Since(began)))
		for _, srv := range append(e.aux, e.front, e.peer) {
			err = errors.Join(err, srv.Close())
		}
	}
	close(e.stop)
	err = errors.Join(err, e.fleet.Close(), e.relay.Close())
	e.done.Wait()
	if err != nil {
		return fmt.Errorf("close host: %w", err)
	}
	return nil
}

// drain stops listening and waits until the last connection of a caller has had
// its response. net/http's Shutdown would close those whose request it reads
// afterwards without a response.
func (e *Entry) drain(ctx context.Context) {
	if e.listener == nil {
		return // the address was taken
	}
	if err := e.listener.Drain(); err != nil {
		e.log.Warn("listener not closed", zap.Error(err))
	}
	t := time.NewTicker(quietTick)
	defer t.Stop()
	for e.callers.Drain(time.Now(), quietTick, drainPatience) > 0 {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// pause waits until callers have learned that the host leaves.
func (e *Entry) pause(ctx context.Context) {
	t := time.NewTicker(quietTick)
	defer t.Stop()
	for end := time.Now().Add(linger); time.Now().Before(end) && !e.relay.Idle(quiet); {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}
