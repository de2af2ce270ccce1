// Package relay serves requests: it checks them, chooses a backend server or
// another region, sends them, and passes the response on. A request that may
// have run is never reported as not run.
package relay

import (
	"context"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/core/length"
	"github.com/yuccalb/yuccalb/internal/core/share"
	"github.com/yuccalb/yuccalb/internal/core/spec"
	"github.com/yuccalb/yuccalb/internal/edge/fleet"
	"github.com/yuccalb/yuccalb/internal/edge/logs"
	"github.com/yuccalb/yuccalb/internal/edge/send"
	"github.com/yuccalb/yuccalb/internal/edge/stats"
	"github.com/yuccalb/yuccalb/platform"
)

const (
	// maxBody bounds a body while the configuration sets no limit.
	maxBody = 8 << 20
	// defaultWait bounds a request whose caller and route set no timeout.
	defaultWait = 30 * time.Second
	// stopMargin is kept free at the end of a stop: net/http looks each 500 ms
	// at most whether the last request has ended.
	stopMargin = 500 * time.Millisecond
	// bodyWait bounds the reading of a body when the configuration sets no
	// limit.
	bodyWait = 5 * time.Second
)

// Relay serves requests of callers and of other hosts.
type Relay struct {
	fleet   *fleet.Fleet
	log     *logs.Logger
	stats   *stats.Metrics
	servers *send.Client
	peers   *send.Client
	running atomic.Int64
	// arrived is when the last request arrived, in Unix nanoseconds.
	arrived    atomic.Int64
	maxRunning int64
	crowded    func() bool
	// closing makes callers open their next connection elsewhere, and ends
	// is when requests in progress are cut off then, in Unix nanoseconds.
	closing atomic.Bool
	ends    atomic.Int64
	// late is when callers that still come have old answers of a look-up, in
	// Unix nanoseconds.
	late    atomic.Int64
	lengths length.Book
	bodies  byteLimit
}

// Options sets up a Relay.
type Options struct {
	Fleet *fleet.Fleet
	Log   *logs.Logger
	Stats *stats.Metrics
	// MaxRunning bounds the requests in progress.
	MaxRunning int64
	// Bodies bounds the bytes of requests' and responses' bodies that are held
	// at once.
	Bodies int64
	// Crowded reports whether connections of callers should end with their
	// responses.
	Crowded func() bool
}

// New returns a relay.
func New(opts Options) *Relay {
	return &Relay{
		fleet: opts.Fleet, log: opts.Log, stats: opts.Stats, maxRunning: opts.MaxRunning, crowded: opts.Crowded,
		bodies:  byteLimit{max: opts.Bodies},
		servers: send.NewClient(send.DefaultDial), peers: send.NewClient(2 * send.DefaultDial),
	}
}

// Close closes idle connections. Requests in progress must have ended.
func (s *Relay) Close() error {
	if err := s.servers.Close(); err != nil {
		return err
	}
	return s.peers.Close()
}

// Sweep closes connections that have been idle for too long.
func (s *Relay) Sweep(now time.Time) {
	s.servers.Sweep(now)
	s.peers.Sweep(now)
}

// Opened returns the number of connections opened to servers.
func (s *Relay) Opened() int64 { return s.servers.Opened() }

// Running returns the number of requests in progress.
func (s *Relay) Running() int64 { return s.running.Load() }

// Quiet reports whether no request runs and none has arrived for d.
func (s *Relay) Quiet(d time.Duration) bool {
	return s.running.Load() == 0 && time.Now().UnixNano()-s.arrived.Load() > int64(d)
}

// Leave asks callers to close their connections. Requests whose answers are
// expected to last beyond end are refused from now on, and from late on all
// that may last so long: few come then, and others can serve them.
func (s *Relay) Leave(late, end time.Time) {
	s.arrived.Store(time.Now().UnixNano())
	s.late.Store(late.UnixNano())
	s.ends.Store(end.UnixNano())
	s.closing.Store(true)
}

// outlasts refuses a request that a host that stops would cut off.
func (s *Relay) outlasts(q *request) *refusal {
	if !s.closing.Load() {
		return nil
	}
	took, known := s.lengths.Expect(q.route.Name)
	late := q.arrived.After(time.Unix(0, s.late.Load()))
	if left := q.left(); !known || late || took > left {
		took = left
	}
	if time.Now().Add(took + stopMargin).Before(time.Unix(0, s.ends.Load())) {
		return nil
	}
	return &refusal{http.StatusServiceUnavailable, reasonStop, retryElsewhere}
}

// ServeHTTP serves a caller's request.
func (s *Relay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.running.Add(1)
	defer s.running.Add(-1)
	s.arrived.Store(time.Now().UnixNano())
	// A body in chunks may have come with a length as well, which net/http
	// ignores and hides: what follows on such a connection is not trusted.
	if s.closing.Load() || len(r.TransferEncoding) > 0 || s.crowded() {
		w.Header().Set("Connection", "close")
	}
	q := s.newRequest(w, r)
	defer q.reserved.release()
	if s.running.Load() > s.maxRunning {
		q.refuse(&refusal{http.StatusServiceUnavailable, reasonBusy, retryState})
		return
	}
	if ref := s.admit(q); ref != nil {
		q.refuse(ref)
		return
	}
	q.serve()
}

// refusal is a final answer of the gateway's own.
type refusal struct {
	status int
	reason string
	// retry is when the caller should come back, 0 for never.
	retry time.Duration
}

// Reasons of refusals, in logs and metrics.
const (
	reasonBusy       = "too many requests in progress"
	reasonStop       = "host stops"
	reasonNoConfig   = "no configuration"
	reasonStale      = "keys not confirmed"
	reasonNoRoute    = "no route"
	reasonNoKey      = "unknown key"
	reasonBad        = "bad request"
	reasonBody       = "body too large"
	reasonMemory     = "no memory for bodies"
	reasonRead       = "body not read"
	reasonLimit      = "organisation over its limit"
	reasonNoServer   = "no server"
	reasonRest       = "servers want no requests"
	reasonOverload   = "deadline can't be met"
	reasonNotRun     = "refused by servers"
	reasonTimeout    = "timeout"
	reasonBroken     = "connection to server broken"
	reasonUnanswered = "no answer"
	reasonCut        = "response cut"
	reasonLeft       = "caller left"
)

// Times after which refused callers should come back.
const (
	retryState = time.Second
	retryBusy  = 300 * time.Millisecond
	// retryElsewhere is for refusals by a host whose neighbours can serve.
	retryElsewhere = 20 * time.Millisecond
)

// admit checks a request, reads its body and takes its tokens.
func (s *Relay) admit(q *request) *refusal {
	v := s.fleet.View()
	if v.Snapshot == nil {
		return &refusal{http.StatusServiceUnavailable, reasonNoConfig, retryState}
	}
	q.rev = v.Item.Rev
	path, ok := q.path()
	if !ok || q.id == "" {
		return &refusal{http.StatusBadRequest, reasonBad, 0}
	}
	q.route = v.Snapshot.Route(q.r.Host, path)
	if q.route == nil {
		return &refusal{http.StatusNotFound, reasonNoRoute, 0}
	}
	q.bound()
	if ref := s.outlasts(q); ref != nil {
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
	q.parsePrompt()
	q.service = q.route.Target(q.hash())
	return s.takeTokens(q)
}

// authorize finds the organisation of the request's key.
func (s *Relay) authorize(q *request, snap *spec.Snapshot) *refusal {
	if !snap.Keyed() || q.route.Open {
		return nil
	}
	age, fresh := s.fleet.KeyAge()
	q.keyAge = age
	if !fresh {
		return &refusal{http.StatusServiceUnavailable, reasonStale, retryState}
	}
	keys := q.r.Header[platform.HeaderKey]
	if len(keys) != 1 {
		return &refusal{http.StatusUnauthorized, reasonNoKey, 0}
	}
	q.org = snap.ByKey(keys[0])
	if q.org == nil {
		return &refusal{http.StatusUnauthorized, reasonNoKey, 0}
	}
	return nil
}

func (s *Relay) takeTokens(q *request) *refusal {
	if q.org == nil {
		return nil
	}
	limit := share.Limit{Rate: q.org.Rate, Burst: q.org.Burst}
	cost := q.cost()
	v := s.fleet.Book().Take(q.org.Name, limit, cost, time.Now())
	if !v.Admitted {
		q.inputs = append(q.inputs, zap.Float64("cost", cost), zap.Float64("left_of_limit", v.Level),
			zap.Float64("rate", limit.Rate), zap.Float64("burst", limit.Burst), zap.Int("lost_hosts", v.Lost))
		return &refusal{http.StatusTooManyRequests, reasonLimit, max(v.Wait, retryBusy)}
	}
	q.taken = cost
	return nil
}

// place is where one attempt goes.
type place struct {
	// region is empty for a server of the own region.
	region string
	addr   netip.AddrPort
}

// Forwarded reports whether another host forwards a request of a caller.
func Forwarded(r *http.Request) bool { return r.Header.Get(headerRoute) != "" }

// ServePeer serves a request that another host forwards to the servers of
// this region. The other host has checked it.
func (s *Relay) ServePeer(w http.ResponseWriter, r *http.Request) {
	s.running.Add(1)
	defer s.running.Add(-1)
	q := s.newRequest(w, r)
	defer q.reserved.release()
	if err := q.fromPeer(); err != nil {
		s.log.Error("request of another host not understood", zap.String("id", q.id), zap.Error(err))
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if ref := q.readBody(spec.Limits{}); ref != nil {
		q.refuse(ref)
		return
	}
	q.parsePrompt()
	q.serve()
}

// allows reports whether the request may be served in region. A forwarded one
// is served here only: its first host has checked the homes.
func (q *request) allows(region string) bool {
	if q.forwarded {
		return region == q.s.fleet.Home()
	}
	return spec.Allowed(q.route, q.org, region)
}

// cancelled reports whether the caller has left.
func cancelled(ctx context.Context) bool { return ctx.Err() != nil }

// formatMillis returns d in whole milliseconds, at least 1.
func formatMillis(d time.Duration) string {
	return strconv.FormatInt(max(d.Milliseconds(), 1), 10)
}

// formatRetry returns a Retry-After in seconds.
func formatRetry(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}
