package serve

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/yuccalb/yuccalb/internal/adapt/engine"
	"github.com/yuccalb/yuccalb/internal/adapt/plain"
	"github.com/yuccalb/yuccalb/internal/adapt/trace"
	"github.com/yuccalb/yuccalb/internal/core/member"
	"github.com/yuccalb/yuccalb/internal/core/model"
	"github.com/yuccalb/yuccalb/internal/core/retry"
	"github.com/yuccalb/yuccalb/internal/core/route"
	"github.com/yuccalb/yuccalb/internal/daemon/target"
	"github.com/yuccalb/yuccalb/internal/daemon/wait"
)

// Limiter reserves tokens of an organisation's limit. The error is a
// *model.Rejection.
type Limiter interface {
	Reserve(ctx context.Context, org *model.Org, tokens, refundable int64) (Reservation, error)
}

// Reservation holds reserved tokens until the response has ended.
type Reservation interface {
	// Settle refunds the unused tokens; it is called exactly once.
	Settle(unused int64)
}

// Config provides the configuration in force.
type Config interface {
	Current() *model.Snapshot
}

// Fleet provides the current view of the membership.
type Fleet interface {
	View() *member.View
}

// Meter records attempts, forwarded bytes and the tokens of responses.
type Meter interface {
	CountAttempt(route string)
	CountForward(site string, bytes int)
	AddTokens(prompt, response, cached int64)
}

// Options are the dependencies of a Server; all are required.
type Options struct {
	Self    netip.AddrPort
	Config  Config
	Fleet   Fleet
	Limiter Limiter
	Targets *target.Set
	Engine  *engine.Client
	Plain   *plain.Client
	Remote  Remote
	Once    Once
	Meter   Meter
	Tracer  *trace.Provider
}

// Server serves calls. It is safe for concurrent use.
type Server struct {
	o      Options
	budget retry.Budget

	mu  sync.Mutex
	rng *rand.Rand
}

// New returns a Server.
func New(o Options) *Server {
	return &Server{o: o, rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
}

// Serve serves a call that a caller sent to this host. A nil rejection means that the
// whole response was sent. A rejection after the start of the response means that the
// response is incomplete.
func (s *Server) Serve(ctx context.Context, c *Call, sink Sink) *model.Rejection {
	trail(ctx).add("host " + s.o.Self.String())
	cost := costOf(c)
	res, rej := s.reserve(ctx, c, cost)
	if rej != nil {
		return rej
	}
	use := &usage{}
	if c.Route.Once && c.IdempotencyKey != "" {
		rej = s.serveOnce(ctx, c, sink, use)
	} else {
		rej = s.run(ctx, c, sink, use)
	}
	res.Settle(cost.unused(use, rej))
	s.o.Meter.AddTokens(use.prompt, use.response, use.cached)
	return rej
}

// reserve reserves the tokens of the call from the organisation's rate limit.
func (s *Server) reserve(ctx context.Context, c *Call, cost cost) (Reservation, *model.Rejection) {
	if c.Org == nil {
		return noReservation{}, nil
	}
	res, err := s.o.Limiter.Reserve(ctx, c.Org, cost.total(), cost.response)
	if err != nil {
		return nil, asRejection(err)
	}
	return res, nil
}

// noReservation is the Reservation of a call without an organisation, which is not
// rate-limited.
type noReservation struct{}

// Settle implements Reservation.
func (noReservation) Settle(int64) {}

// asRejection returns the rejection that err wraps. Any other error is converted to a
// rejection with model.ReasonOverloaded.
func asRejection(err error) *model.Rejection {
	var rej *model.Rejection
	if errors.As(err, &rej) {
		return rej
	}
	return model.Reject(model.ReasonOverloaded, "%v", err).WithRetryAfter(time.Second)
}

// run sends the call to a backend server or another data centre, with retries, and
// passes the response to sink. It sets use to the tokens that were used.
func (s *Server) run(ctx context.Context, c *Call, sink Sink, use *usage) *model.Rejection {
	svc := s.o.Targets.Service(c.Route.Service)
	if svc == nil {
		return model.Reject(model.ReasonNoServer, "service %q of route %q is not known here yet", c.Route.Service, c.Route.Name).WithRetryAfter(time.Second)
	}
	s.budget.Deposit()
	r := &runner{s: s, c: c, sink: sink, use: use, svc: svc, attempts: retry.NewAttempts(retryCall(c))}
	return r.loop(ctx)
}

// retryCall describes the call to the retry rules. A plain call is retried only if its
// method is idempotent by the HTTP standard and the route is not marked once.
func retryCall(c *Call) retry.Call {
	if c.Route.Once {
		return retry.Call{Once: true}
	}
	if c.Chat != nil {
		return retry.Call{Idempotent: true, Resumable: true}
	}
	return retry.Call{Idempotent: idempotent(c.Method)}
}

// idempotent reports whether the HTTP standard defines method as idempotent.
func idempotent(method string) bool {
	return slices.Contains([]string{http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete}, method)
}

// routeRequest describes the call to the router.
func (c *Call) routeRequest() *route.Request {
	req := &route.Request{
		Regions: c.Regions, Forwarded: c.forwarded(),
		Bytes: len(c.Body), Prompt: int(tokens(len(c.Body))),
	}
	if c.Chat != nil {
		req.Chain = route.Chain(c.Chat.Prompt)
		req.Prompt = int(c.Chat.promptTokens())
		req.Bytes += int(c.Chat.MaxTokens) * bytesPerToken
	}
	return req
}

// queueRequest describes the call to the fair queue of its service.
func (c *Call) queueRequest() wait.Request {
	req := wait.Request{Class: c.Route.Class, Tokens: costOf(c).total(), Deadline: c.Deadline}
	if c.Org != nil {
		req.Org, req.Weight = c.Org.Name, c.Org.Weight
	}
	return req
}

// random calls f with the server's random source, which is not safe for concurrent use.
func (s *Server) random(f func(*rand.Rand)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.rng)
}

// cost is the number of tokens that a call reserves.
type cost struct{ prompt, response int64 }

// costOf returns the cost of a call. For a chat it also sets MaxTokens if the request
// does not. A plain call costs the tokens of its body and the number that the route sets
// for the response.
func costOf(c *Call) cost {
	if c.Chat != nil {
		c.Chat.bound(c.Route)
		return cost{prompt: c.Chat.promptTokens(), response: c.Chat.MaxTokens}
	}
	return cost{prompt: max(1, tokens(len(c.Body))), response: c.Route.ReservedTokens}
}

func (c cost) total() int64 { return c.prompt + c.response }

// unused returns the number of reserved tokens that the call did not use. A request that
// was not run used none. Without a count of the response's tokens, all reserved tokens
// count as used.
func (c cost) unused(use *usage, rej *model.Rejection) int64 {
	if rej != nil && rej.Run == model.RunNo {
		return c.total()
	}
	if !use.counted {
		return 0
	}
	return max(0, c.response-use.response)
}

// usage holds the numbers of tokens of a response.
type usage struct {
	prompt, response, cached int64
	counted                  bool // the numbers are set
}
