package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/pick"
	"github.com/yuccalb/yuccalb/internal/core/reach"
	"github.com/yuccalb/yuccalb/internal/core/retry"
	"github.com/yuccalb/yuccalb/internal/core/steer"
	"github.com/yuccalb/yuccalb/internal/edge/fleet"
	"github.com/yuccalb/yuccalb/internal/edge/send"
)

const (
	// neighbourDelay is added to the time to the first byte by way of another host of
	// the region.
	neighbourDelay = 5 * time.Millisecond
	// hungAfter is how long the path must have been lost before requests in progress are
	// broken off that may be repeated.
	hungAfter = 200 * time.Millisecond
	// pathInterval is the interval at which the path to the servers is examined.
	pathInterval = 50 * time.Millisecond
	// probeTimeout bounds a probe with the opening of its connection.
	probeTimeout = 800 * time.Millisecond
)

// neighbour returns another host of the region, by which the request is sent because this one
// does not reach the servers of its service. The argument usable is set if this host may
// send it to one all the same.
func (q *request) neighbour(svc *fleet.Service, usable bool, now time.Time) (netip.AddrPort, bool) {
	q.target.ConnectedOnly = false
	if svc == nil || q.forwarded || !q.allows(q.s.fleet.LocalRegion()) {
		return netip.AddrPort{}, false
	}
	state := q.pathState(now)
	q.reached, q.cautious = state, state != q.s.fleet.Path().State()
	if state == reach.Reached && q.s.fleet.Reaches(q.service) {
		return netip.AddrPort{}, false
	}
	hosts := q.s.fleet.Neighbours(q.service, now)
	if len(hosts) == 0 {
		return netip.AddrPort{}, false
	}
	switch state {
	case reach.Reached:
		if usable && !svc.Table.Failing() {
			return netip.AddrPort{}, false // one of the single requests to servers on probation
		}
	case reach.OpenOnly:
		q.target.ConnectedOnly = true
		if q.tally.Ran == 0 { // a retry needs a new connection
			if _, _, ok := svc.Table.Expect(q.target, now); ok {
				return netip.AddrPort{}, false
			}
		}
	}
	addr, ok := q.pickNeighbour(hosts)
	if !ok {
		q.target.ConnectedOnly = false
	}
	return addr, ok
}

// pathState returns the state of the path to the servers to go by for the request.
func (q *request) pathState(now time.Time) reach.State {
	if q.route.Idempotent || q.route.Resumable {
		return q.s.fleet.Path().State()
	}
	return q.s.fleet.Path().Cautious(now)
}

// via returns the request for the choice of a server by another host.
func (q *request) via() *pick.Request {
	r := *q.target
	r.Via = true
	r.ConnectedOnly = false
	r.Exclude = nil
	return &r
}

// hung are the attempts at servers of the local region that may be repeated. They are
// broken off when the path to the servers is lost.
type hung struct {
	mu       sync.Mutex
	attempts map[*request]context.CancelFunc
}

// add adds an attempt of a request.
func (h *hung) add(q *request, cancel context.CancelFunc) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.attempts == nil {
		h.attempts = make(map[*request]context.CancelFunc)
	}
	h.attempts[q] = cancel
}

// remove removes the attempt of a request.
func (h *hung) remove(q *request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.attempts, q)
}

// breakOff breaks off all attempts.
func (h *hung) breakOff() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, cancel := range h.attempts {
		cancel()
	}
}

// exchangeLocal is exchange with the chosen server. An attempt that may be repeated is broken
// off when the path to the servers is lost.
func (q *request) exchangeLocal(onFirstByte func()) (retry.Result, pick.Outcome) {
	ctx := q.ctx
	if (q.route.Idempotent || q.route.Resumable) && !q.forwarded {
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(ctx)
		defer cancel()
		q.s.hung.add(q, cancel)
		defer q.s.hung.remove(q)
	}
	path := q.s.fleet.Path()
	path.Sent(q.choice.ID, time.Now())
	defer func() { path.Ended(q.choice.ID, time.Now()) }()
	req := q.outgoing(q.serverHeader(q.choice.ID), q.dest)
	req.Process = q.process()
	req.IdleOnly = q.target.ConnectedOnly
	return q.exchange(ctx, q.s.servers, req, onFirstByte)
}

// serverOutcome returns the outcome to record for the chosen server. While this host is cut
// off, a broken or refused connection says nothing about the server.
func (q *request) serverOutcome(o pick.Outcome) pick.Outcome {
	if (o == pick.NoConnect || o == pick.Broken) && q.s.fleet.CutOff() {
		return pick.Aborted
	}
	return o
}

// recordSilence records an attempt at a server that got no response.
func (q *request) recordSilence(err error) {
	if cancelled(q.ctx) || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.Canceled) {
		return
	}
	var e *send.Error
	q.recordFailure(errors.As(err, &e) && !e.Reused)
}

// recordFailure records that the connection to a server failed; opened is set if the attempt
// needed a new one.
func (q *request) recordFailure(opened bool) {
	if !q.fromPeerHost() {
		q.s.changedPath(q.s.fleet.Path().Failed(q.choice.ID, opened, time.Now()))
	}
}

// recordResponse records that a server has begun to respond.
func (q *request) recordResponse(resp *send.Response) {
	if q.fromPeerHost() {
		return
	}
	q.choice.Connection(resp.Opened)
	q.s.changedPath(q.s.fleet.Path().Responded(q.choice.ID, !resp.Reused, time.Now()))
}

// recordBytes records further bytes of a response.
func (q *request) recordBytes() {
	if !q.fromPeerHost() {
		q.s.changedPath(q.s.fleet.Path().Responded(q.choice.ID, false, time.Now()))
	}
}

// changedPath acts on a change of the path to the servers.
func (s *Relay) changedPath(changed bool) {
	if changed {
		s.fleet.PathChanged()
	}
}

// watchPath probes servers while this host does not seem to reach them.
func (s *Relay) watchPath() {
	t := time.NewTicker(pathInterval)
	defer t.Stop()
	for {
		select {
		case <-s.stop.ended.Done():
			return
		case <-t.C:
		}
		now := time.Now()
		s.changedPath(s.fleet.Path().Tick(now))
		if state, d := s.fleet.Path().Since(now); state == reach.Lost && d >= hungAfter && s.fleet.CutOff() {
			s.hung.breakOff()
		}
		if target, ok := s.fleet.ProbeDue(now); ok {
			s.fleet.Path().ProbeSent(target.Server.ID, now)
			s.checks.Go(func() { s.probe(target) })
		}
	}
}

// probe asks a server for its health on a new connection. Any response shows that it is
// reached; the connection is kept for requests.
func (s *Relay) probe(t fleet.Target) {
	defer s.fleet.Path().ProbeEnded(t.Server.ID)
	resp, err := s.ask(context.Background(), &send.Request{
		Addr: t.Server.Addr, Target: t.HealthPath, Deadline: time.Now().Add(probeTimeout), NewConn: true,
	})
	s.stats.Probe(t.Service, err)
	if err != nil {
		s.changedPath(s.fleet.Path().Failed(t.Server.ID, true, time.Now()))
		return
	}
	if svc := s.fleet.Service(t.Service); svc != nil && success(resp) {
		svc.Table.Confirm(t.Server.ID)
	}
	s.changedPath(s.fleet.Path().Responded(t.Server.ID, true, time.Now()))
}

// ask sends a GET request of the host's own to a server. It reads the response, whose connection is kept for requests.
func (s *Relay) ask(ctx context.Context, req *send.Request) (*send.Response, error) {
	req.Method, req.Host, req.Header = http.MethodGet, req.Addr.String(), http.Header{}
	resp, err := s.servers.Do(ctx, req)
	if err != nil {
		return nil, err
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(resp, maxDrain)) // an error closes the connection
	_ = resp.Close()                                           // it returns no errors
	return resp, nil
}

// pickNeighbour returns one of the hosts, at random by their weights, that this request was
// not sent to before.
func (q *request) pickNeighbour(hosts []steer.Host) (netip.AddrPort, bool) {
	hosts = q.untried(hosts)
	if len(hosts) == 0 {
		return netip.AddrPort{}, false
	}
	return steer.Sample(hosts, 1, newRand())[0], true
}
