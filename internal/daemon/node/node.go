// Package node assembles the components of a daemon and starts, drains and closes
// them. The daemon's command, the demo and tests use it.
package node

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	mrand "math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/adapt/engine"
	"github.com/yuccalb/yuccalb/internal/adapt/meter"
	"github.com/yuccalb/yuccalb/internal/adapt/peers"
	"github.com/yuccalb/yuccalb/internal/adapt/plain"
	"github.com/yuccalb/yuccalb/internal/adapt/plat"
	"github.com/yuccalb/yuccalb/internal/adapt/store"
	"github.com/yuccalb/yuccalb/internal/adapt/trace"
	"github.com/yuccalb/yuccalb/internal/core/member"
	"github.com/yuccalb/yuccalb/internal/core/order"
	"github.com/yuccalb/yuccalb/internal/core/slots"
	"github.com/yuccalb/yuccalb/internal/daemon/admin"
	"github.com/yuccalb/yuccalb/internal/daemon/beats"
	"github.com/yuccalb/yuccalb/internal/daemon/fetch"
	"github.com/yuccalb/yuccalb/internal/daemon/front"
	"github.com/yuccalb/yuccalb/internal/daemon/once"
	"github.com/yuccalb/yuccalb/internal/daemon/orders"
	"github.com/yuccalb/yuccalb/internal/daemon/pause"
	"github.com/yuccalb/yuccalb/internal/daemon/serve"
	"github.com/yuccalb/yuccalb/internal/daemon/setup"
	"github.com/yuccalb/yuccalb/internal/daemon/spend"
	"github.com/yuccalb/yuccalb/internal/daemon/target"
	"github.com/yuccalb/yuccalb/internal/edge/intake"
	"github.com/yuccalb/yuccalb/internal/wire/peerpb"
)

// minSecretSize is the minimum size of the secret that signs tickets, in bytes.
const minSecretSize = 32

// Options configures a daemon.
type Options struct {
	Settings *setup.Settings
	Log      *zap.Logger
	// Processor, if set, receives every trace span. It is meant for the demo and
	// tests.
	Processor sdk.SpanProcessor
	// Grace is how long the daemon continues to serve after it announced that it is
	// leaving, so that callers can move to other hosts; 0 means the lifetime of a
	// GET /v1/hosts response.
	Grace time.Duration
	// Dial, if set, opens the connections to other hosts. Tests use it to simulate
	// network partitions.
	Dial func(ctx context.Context, to netip.AddrPort) (net.Conn, error)
	// Transport, if set, carries the calls to the platform, for the same purpose.
	Transport http.RoundTripper
}

// Node is a running daemon.
type Node struct {
	o           Options
	log         *zap.Logger
	incarnation int64
	started     time.Time

	tracer   *trace.Provider
	metrics  *meter.Metrics
	kv       *store.Client
	platform *plat.Client
	client   *peers.Client
	engine   *engine.Client
	plain    *plain.Client
	limiter  *spend.Limiter
	limits   *trackedLimiter
	once     *once.Once
	orders   *orders.Sender
	targets  *target.Set
	server   *serve.Server
	peers    *peers.Server
	front    *front.Front
	admin    *admin.Admin
	gate     *intake.Gate
	config   *configuration
	beats    *beats.Loop
	claims   atomic.Pointer[spend.Claimer] // nil until the node has started
	exchange *exchange
	control  *control

	traffic   traffic
	closing   chan struct{} // closed when a planned stop has been requested
	closeOnce sync.Once
	serving   sync.WaitGroup
	state     atomic.Pointer[string]
}

// States of a node, as in the status.
var (
	stateLive    = "live"
	stateLeaving = "leaving"
)

// Start starts a daemon and returns once it listens. The daemon serves callers as soon
// as it has a configuration.
func Start(ctx context.Context, o Options) (_ *Node, err error) {
	now := time.Now()
	if o.Grace == 0 {
		o.Grace = member.AnswerTTL
	}
	n := &Node{
		o: o, log: o.Log, incarnation: now.UnixNano(), started: now,
		metrics: meter.New(), closing: make(chan struct{}),
	}
	n.traffic.open = o.Dial
	n.state.Store(&stateLive)
	s := o.Settings
	// Bind the peer address before any message is sent with it as the sender. If
	// another process still holds the address, it may be suspended rather than terminated,
	// and then neither its slot nor its membership may be taken over.
	var lns [3]net.Listener
	for i, addr := range []netip.AddrPort{s.Peer.AddrPort, s.HTTP.AddrPort, s.Admin.AddrPort} {
		if lns[i], err = net.Listen("tcp", addr.String()); err != nil {
			return nil, errors.Join(fmt.Errorf("listen: %w", err), closeAll(lns[:i]))
		}
	}
	if err := n.assemble(ctx, lns[0]); err != nil {
		return nil, errors.Join(err, closeAll(lns[:]))
	}
	n.registerMetrics()
	n.control.start()
	n.serving.Go(n.reportIntake)
	n.serving.Go(func() { n.logServeError(n.front.Serve(lns[1])) })
	admin := n.gate.Listen(lns[2], intake.Options{Name: "admin", Share: adminShare})
	n.serving.Go(func() { n.logServeError(n.admin.Serve(admin)) })
	n.log.Info("started", zap.Stringer("peer", s.Peer), zap.Stringer("http", s.HTTP), zap.String("site", s.Site))
	return n, nil
}

// closeAll closes listeners after a failed start.
func closeAll(lns []net.Listener) error {
	var errs []error
	for _, ln := range lns {
		if ln != nil {
			errs = append(errs, ln.Close())
		}
	}
	return errors.Join(errs...)
}

// logServeError logs the error with which a server stopped, if any.
func (n *Node) logServeError(err error) {
	if err != nil {
		n.log.Error("listener failed", zap.Error(err))
	}
}

// assemble creates the components of the daemon. It serves other hosts on ln.
func (n *Node) assemble(ctx context.Context, ln net.Listener) (err error) {
	s := n.o.Settings
	var creds *peers.Credentials
	if s.TLS.On() {
		if creds, err = peers.LoadCredentials(s.TLS.Cert, s.TLS.Key, s.TLS.CA); err != nil {
			return fmt.Errorf("load certificates: %w", err)
		}
	}
	n.tracer, err = trace.New(ctx, trace.Config{URL: s.Traces, Host: s.Peer.String(), Site: s.Site, Processor: n.o.Processor})
	if err != nil {
		return fmt.Errorf("start tracing: %w", err)
	}
	signer, err := newSigner(s.Secret)
	if err != nil {
		return err
	}
	n.kv = store.New(s.Platform, n.o.Transport)
	n.client = peers.NewClient(peers.Options{TLS: creds, Dialer: n.traffic.dial})
	n.engine, n.plain = engine.New(engine.Options{}), plain.New(plain.Options{})
	n.targets = target.New(target.Config{Site: s.Site, WAN: s.WAN, Seed: uint64(n.incarnation)})
	n.limiter = spend.New(spend.Config{
		Self: s.Peer.AddrPort, Site: s.Site, Incarnation: n.incarnation,
		Rand: newRand(), Sender: n.client, Log: n.log.Named("limits"),
	})
	n.limits = newTrackedLimiter(n.limiter)
	n.once = once.New(once.Options{Store: recordStore{n.kv}, Signer: signer, Host: s.Peer.AddrPort, Incarnation: n.incarnation})
	n.orders = orders.New(n.kv, n.engine, s.Peer.AddrPort)
	if err := n.startControl(); err != nil {
		return err
	}
	n.server = serve.New(serve.Options{
		Self: s.Peer.AddrPort, Config: n.config, Fleet: n.beats,
		Limiter: n.limits, Targets: n.targets, Engine: n.engine, Plain: n.plain,
		Remote: streamOpener{n.client}, Once: n.once, Meter: n.metrics, Tracer: n.tracer,
	})
	n.gate = newGate(s.Limits, n.metrics, n.log)
	n.front = front.New(front.Options{
		Config: n.config, Server: n.server, Fleet: n.control, Tickets: n.once, Meter: n.metrics,
		Tracer: n.tracer, Log: n.log, Self: s.Peer.AddrPort, Limits: s.Limits, Gate: n.gate, Bodies: intake.NewBodies(s.Limits.Memory << 20 / bodyPart),
	})
	n.admin = admin.New(n, n.metrics.Handler(), n.log)
	n.peers, err = peers.Serve(n.gate.Listen(&countedListener{ln, &n.traffic}, intake.Options{Name: "peer", Share: peerShare}), peers.Handler{
		Beat: n.beats, Pull: n.config, Grant: n.limiter, Settle: n.limiter, Forward: forwardHandler{n.server},
	}, peers.ServerOptions{TLS: creds})
	if err != nil {
		return fmt.Errorf("start server for other hosts: %w", err)
	}
	return nil
}

// startControl starts the components that follow the store and the other hosts:
// configuration, membership and slot claims.
func (n *Node) startControl() error {
	s := n.o.Settings
	platform, err := plat.New(s.Platform, n.o.Transport)
	if err != nil {
		return fmt.Errorf("create platform client: %w", err)
	}
	n.platform = platform
	self := member.Ident{Addr: s.Peer.AddrPort, Site: s.Site, Incarnation: n.incarnation}
	n.exchange, n.control = newExchange(n), newControl(n)
	hist := &history{limits: n.limiter}
	n.config = &configuration{start: n.started, history: hist, fetch: fetch.New(fetch.Options{
		Store: n.kv, Rand: newRand(), Log: n.log.Named("config"),
		Peers: puller{n.client, &peerpb.Ident{Addr: s.Peer.String(), Site: s.Site, Incarnation: n.incarnation}, hist},
	})}
	var seeds []netip.AddrPort
	for _, addr := range s.Peers {
		seeds = append(seeds, addr.AddrPort)
	}
	n.beats = beats.Start(beats.Options{
		Self: self, HTTP: s.HTTP.AddrPort, Seeds: seeds, Transport: n.client, Lister: platform, Directory: platform,
		Versions: n.exchange, Loads: n.exchange, Placements: n.exchange, Lessor: n.exchange, Lessee: n.exchange,
		Claims: n.exchange, Capacities: n.exchange, Pauses: n.exchange, Log: n.log.Named("members"),
	})
	n.exchange.loop.Store(n.beats)
	claims := spend.NewClaimer(spend.ClaimConfig{
		Self: slots.Holder{Addr: s.Peer.AddrPort, Incarnation: n.incarnation}, Site: s.Site, TakeoverDelay: s.Hold,
		Store: recordStore{n.kv}, Limiter: n.limiter, PeerFailed: n.control.presumedFailed, CheckCurrent: n.control.checkCurrent,
		Rand: newRand(), Log: n.log.Named("slots"),
	})
	n.claims.Store(claims)
	return nil
}

// newRand returns a random number generator with a random seed.
func newRand() *mrand.Rand { return mrand.New(mrand.NewPCG(mrand.Uint64(), mrand.Uint64())) }

// newSigner returns the signer of tickets with the secret in the file path. If path is
// empty, the host generates a secret, and only this process accepts its tickets.
func newSigner(path string) (*order.Signer, error) {
	secret := []byte(rand.Text() + rand.Text())
	if path != "" {
		var err error
		if secret, err = os.ReadFile(path); err != nil {
			return nil, fmt.Errorf("read secret for tickets: %w", err)
		}
		if len(secret) < minSecretSize {
			return nil, fmt.Errorf("secret for tickets %s: %d bytes, want at least %d", path, len(secret), minSecretSize)
		}
	}
	signer, err := order.NewSigner(secret)
	if err != nil {
		return nil, fmt.Errorf("create signer of tickets: %w", err)
	}
	return signer, nil
}

// Leave requests a planned stop. The code that started the daemon waits for Leaving
// and then calls Close.
func (n *Node) Leave() {
	n.closeOnce.Do(func() {
		n.state.Store(&stateLeaving)
		close(n.closing)
	})
}

// Leaving returns a channel that is closed once a planned stop has been requested.
func (n *Node) Leaving() <-chan struct{} { return n.closing }

// Running returns the number of callers' requests in progress.
func (n *Node) Running() int { return n.front.Running() }

// drainTimeout bounds the drain of running requests. It is the drain setting or, if
// longer, Grace plus the longest time that any route lets a request run.
func (n *Node) drainTimeout() time.Duration {
	d := n.o.Settings.Drain
	routes := n.config.Current().Config.Routes
	for i := range routes {
		d = max(d, n.o.Grace+routes[i].EffectiveDeadline())
	}
	return d
}

// Close stops the daemon gracefully. It announces that the host is leaving, serves
// until callers have moved, waits for running requests until the drain timeout or the
// end of ctx, releases the slot, and waits for all goroutines.
func (n *Node) Close(ctx context.Context) error {
	n.Leave()
	n.front.Leave()
	ctx, cancel := context.WithTimeout(ctx, n.drainTimeout())
	defer cancel()
	var errs []error
	if err := n.beats.Leave(ctx); err != nil { // for example, a peer is unreachable
		n.log.Warn("not all peers confirmed that this host is leaving", zap.Error(err))
	}
	releaseCtx, cancelRelease := context.WithCancel(ctx)
	defer cancelRelease()
	released := make(chan error, 1) // a release takes as long as the leases of the slot last
	go func() { released <- n.claims.Load().Release(releaseCtx) }()
	_ = pause.Sleep(ctx, n.o.Grace) // an end of ctx only shortens the grace period
	if left := n.front.Drain(ctx); left > 0 {
		n.metrics.Interrupted.Add(float64(left))
		errs = append(errs, fmt.Errorf("%d requests were still running at the drain timeout", left))
	}
	stop := time.AfterFunc(releaseTimeout, cancelRelease)
	defer stop.Stop()
	if err := <-released; err != nil { // the slot stays reserved for this address
		n.log.Warn("slot could not be released", zap.Error(err))
	}
	shutdownCtx, cancelShutdown := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancelShutdown()
	errs = append(errs,
		n.peers.Close(ctx), n.front.Close(shutdownCtx), n.once.Close(shutdownCtx),
		n.beats.Close(), n.limiter.Close(), n.config.fetch.Close(), n.targets.Close(), n.engine.Close(), n.plain.Close(),
		n.client.Close(), n.admin.Close(shutdownCtx), n.tracer.Close(shutdownCtx),
	)
	n.control.close()
	errs = append(errs, n.claims.Load().Close())
	n.kv.Close()
	n.serving.Wait()
	errs = append(errs, n.platform.Close())
	return errors.Join(errs...)
}

// releaseTimeout bounds the wait for the release of the slot after requests have ended.
// Leases and grants of the slot last up to 7.07 s, and the store may be unavailable.
const releaseTimeout = 10 * time.Second

// shutdownTimeout bounds the last steps of Close, after requests have ended.
const shutdownTimeout = 5 * time.Second
