// Package relay serves requests: it authorizes and admits them, chooses a
// backend server of the local region or a host of a remote region, sends them,
// and forwards the response. A request that may have run is never reported as
// not run.
package relay

import (
	"context"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/core/length"
	"github.com/yuccalb/yuccalb/internal/core/share"
	"github.com/yuccalb/yuccalb/internal/core/spec"
	"github.com/yuccalb/yuccalb/internal/edge/fleet"
	"github.com/yuccalb/yuccalb/internal/edge/intake"
	"github.com/yuccalb/yuccalb/internal/edge/logs"
	"github.com/yuccalb/yuccalb/internal/edge/send"
	"github.com/yuccalb/yuccalb/internal/edge/stats"
	"github.com/yuccalb/yuccalb/platform"
)

const (
	// maxBody bounds a body in bytes if the configuration sets no limit.
	maxBody = 8 << 20
	// defaultTimeout is the timeout of a route that sets none. Callers can only
	// shorten it.
	defaultTimeout = 30 * time.Second
	// bodyTimeout is the least time allowed for reading a body. A longer header
	// timeout of the configuration applies to the body as well.
	bodyTimeout = 5 * time.Second
	// readingShare is the share of the requests in progress whose bodies may be being
	// read, so that callers who stop in the middle of a body leave room to others.
	readingShare = 0.5
)

// Relay serves requests of callers and of other hosts.
type Relay struct {
	fleet   *fleet.Fleet
	records Records
	log     *logs.Logger
	stats   *stats.Metrics
	servers *send.Client
	peers   *send.Client
	running atomic.Int64
	// lastArrival is when the last request arrived, in Unix nanoseconds.
	lastArrival      atomic.Int64
	maxRunning       int64
	disableKeepAlive func() bool
	stop             *stopper
	lengths          length.Estimator
	clocks           peerClocks
	bodies           *intake.Bodies
	flight           *flight
	checks           sync.WaitGroup // of checks whether servers have ended, of probes and of watchPath
	hung             hung
	ends             ends
}

// Options sets up a Relay.
type Options struct {
	Fleet   *fleet.Fleet
	Records Records
	Log     *logs.Logger
	Stats   *stats.Metrics
	// Dial opens connections to servers.
	Dial send.DialFunc
	// MaxRunning bounds the requests in progress.
	MaxRunning int64
	// MaxBodyBytes bounds the memory for bodies of requests and responses.
	MaxBodyBytes int64
	// DisableKeepAlive reports whether connections of callers should be closed
	// after their responses.
	DisableKeepAlive func() bool
}

// New returns a relay.
func New(opts Options) *Relay {
	s := &Relay{
		fleet: opts.Fleet, records: opts.Records, log: opts.Log, stats: opts.Stats, maxRunning: opts.MaxRunning, disableKeepAlive: opts.DisableKeepAlive,
		stop: newStopper(), bodies: intake.NewBodies(opts.MaxBodyBytes), flight: newFlight(int64(flightShare * float64(opts.MaxBodyBytes))),
		servers: send.NewDialClient(opts.Dial), peers: send.NewClient(2 * send.DefaultDial),
	}
	s.checks.Go(s.watchPath)
	return s
}

// Close closes idle connections and waits for the checks and probes of servers, which
// take probeTimeout at most. Requests in progress must have ended.
func (s *Relay) Close() error {
	s.stop.end()
	s.checks.Wait()
	if err := s.servers.Close(); err != nil {
		return err
	}
	return s.peers.Close()
}

// Sweep closes connections that are past their idle timeout.
func (s *Relay) Sweep(now time.Time) {
	s.servers.Sweep(now)
	s.peers.Sweep(now)
}

// Opened returns the number of connections opened to servers.
func (s *Relay) Opened() int64 { return s.servers.Opened() }

// BodyBytes returns the memory in bytes that bodies hold.
func (s *Relay) BodyBytes() int64 { return s.bodies.Bytes() }

// Running returns the number of requests in progress.
func (s *Relay) Running() int64 { return s.running.Load() }

// Idle reports whether no request is in progress and none has arrived for d.
func (s *Relay) Idle(d time.Duration) bool {
	return s.running.Load() == 0 && time.Now().UnixNano()-s.lastArrival.Load() > int64(d)
}

// ServeHTTP serves a caller's request.
func (s *Relay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.running.Add(1)
	defer s.running.Add(-1)
	s.lastArrival.Store(time.Now().UnixNano())
	// A chunked request may also have a Content-Length, which net/http ignores
	// and hides. The bytes that follow on such a connection may be a smuggled
	// request, so it is closed.
	if len(r.TransferEncoding) > 0 || s.disableKeepAlive() {
		w.Header().Set("Connection", "close")
	}
	q := s.newRequest(w, r)
	defer q.reserved.Release()
	defer q.endAtStop()()
	if s.running.Load() > s.maxRunning {
		q.refuse(&refusal{http.StatusServiceUnavailable, reasonBusy, retryAfterHostState})
		return
	}
	if ref := s.admit(q); ref != nil {
		q.refuse(ref)
		return
	}
	q.serve()
}

// admit authorizes a request, reads its body and checks its rate limit.
func (s *Relay) admit(q *request) *refusal {
	v := s.fleet.View()
	if v.Snapshot == nil {
		return &refusal{http.StatusServiceUnavailable, reasonNoConfig, retryAfterHostState}
	}
	q.rev = v.Item.Rev
	path, ok := q.path()
	if !ok || q.id == "" {
		return &refusal{http.StatusBadRequest, reasonBadRequest, 0}
	}
	q.route = v.Snapshot.Route(q.r.Host, path)
	if q.route == nil {
		return &refusal{http.StatusNotFound, reasonNoRoute, 0}
	}
	q.setDeadline()
	if ref := s.checkDrain(q); ref != nil {
		return ref
	}
	if len(q.route.Regions) > 0 {
		s.fleet.CountHomes(q.route.Regions)
	}
	if ref := s.authorize(q, v.Snapshot); ref != nil {
		return ref
	}
	if ref := q.readBody(v.Snapshot.Limits); ref != nil {
		return ref
	}
	if ref := q.parsePrompt(); ref != nil {
		return ref
	}
	q.service = q.route.Target(q.hash())
	return s.checkRateLimit(q)
}

// authorize looks up the organisation of the request's API key.
func (s *Relay) authorize(q *request, snap *spec.Snapshot) *refusal {
	if !snap.RequiresKey || q.route.Public {
		return nil
	}
	age, fresh := s.fleet.KeyAge()
	q.keyAge = age
	if !fresh {
		return &refusal{http.StatusServiceUnavailable, reasonKeysUnconfirmed, retryAfterHostState}
	}
	keys := q.r.Header[platform.HeaderAPIKey]
	if len(keys) != 1 {
		return &refusal{http.StatusUnauthorized, reasonUnknownKey, 0}
	}
	q.org = snap.OrgByKey(keys[0])
	if q.org == nil {
		return &refusal{http.StatusUnauthorized, reasonUnknownKey, 0}
	}
	return nil
}

// checkRateLimit takes the request's tokens from the rate limit of its
// organisation, or refuses the request.
func (s *Relay) checkRateLimit(q *request) *refusal {
	if q.org == nil {
		return nil
	}
	limit := share.Limit{Rate: q.org.Rate, Burst: q.org.Burst}
	cost := q.cost()
	v := s.fleet.Limiter().Take(q.org.Name, limit, cost, time.Now())
	if !v.Admitted {
		q.refusalInputs = append(q.refusalInputs, zap.Float64("cost", cost), zap.Float64("left_of_limit", v.Level),
			zap.Float64("rate", limit.Rate), zap.Float64("burst", limit.Burst), zap.Int("lost_hosts", v.Unreachable))
		return &refusal{http.StatusTooManyRequests, reasonOrgLimit, max(v.Wait, retryAfterBusy)}
	}
	q.admittedCost = cost
	return nil
}

// destination is where an attempt is sent.
type destination struct {
	// region is empty for a server of the local region. It is set for another host, which
	// may be one of the local region.
	region string
	addr   netip.AddrPort
	// limitWait is the expected wait in a remote region whose servers have got what
	// their limits allow.
	limitWait time.Duration
	// unread is the number of prompt tokens that a remote region is expected to prefill.
	unread int
}

// Forwarded reports whether r is a caller's request that another host forwarded. The header that shows it has no
// value if the route has no property.
func Forwarded(r *http.Request) bool { return len(r.Header[headerRoute]) > 0 }

// ServePeer serves a request that another host forwarded to the servers of this
// region. That host has authorized and admitted it.
func (s *Relay) ServePeer(w http.ResponseWriter, r *http.Request) {
	s.running.Add(1)
	defer s.running.Add(-1)
	q := s.newRequest(w, r)
	defer q.reserved.Release()
	defer q.endAtStop()()
	if err := q.fromPeer(); err != nil {
		s.log.Error("invalid forwarded request", zap.String("id", q.id), zap.Error(err))
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if ref := s.checkDrain(q); ref != nil {
		q.refuse(ref)
		return
	}
	if ref := q.readBody(spec.Limits{}); ref != nil {
		q.refuse(ref)
		return
	}
	if ref := q.parsePrompt(); ref != nil {
		q.refuse(ref)
		return
	}
	q.serve()
}

// allows reports whether the request may be served in region. A forwarded one is
// served in the local region only: its first host has checked the regions of
// the route and of the organisation.
func (q *request) allows(region string) bool {
	if q.forwarded {
		return region == q.s.fleet.LocalRegion()
	}
	return spec.Allowed(q.route, q.org, region)
}

// cancelled reports whether the caller has disconnected.
func cancelled(ctx context.Context) bool { return ctx.Err() != nil }

// formatMillis returns d in whole milliseconds, at least 1.
func formatMillis(d time.Duration) string {
	return strconv.FormatInt(max(d.Milliseconds(), 1), 10)
}

// formatRetryAfter returns a Retry-After value in seconds.
func formatRetryAfter(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}
