package serve

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/adapt/engine"
	"github.com/yuccalb/yuccalb/internal/adapt/meter"
	"github.com/yuccalb/yuccalb/internal/adapt/plain"
	"github.com/yuccalb/yuccalb/internal/adapt/trace"
	"github.com/yuccalb/yuccalb/internal/core/member"
	"github.com/yuccalb/yuccalb/internal/core/model"
	"github.com/yuccalb/yuccalb/internal/core/route"
	"github.com/yuccalb/yuccalb/internal/daemon/target"
	"github.com/yuccalb/yuccalb/internal/fake/server"
	"github.com/yuccalb/yuccalb/internal/wire/peerpb"
)

var (
	selfAddr  = netip.MustParseAddrPort("127.0.0.1:7101")
	otherAddr = netip.MustParseAddrPort("127.0.0.1:7201")
	testKey   = model.HashKey("yk_test")
)

// fakeLimiter is a Limiter and Reservation that sums up reserved and unused tokens. It
// returns rej, if set, instead of a reservation.
type fakeLimiter struct {
	mu               sync.Mutex
	reserved, unused int64
	rej              *model.Rejection
}

func (l *fakeLimiter) Reserve(_ context.Context, _ *model.Org, tokens, _ int64) (Reservation, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rej != nil {
		return nil, l.rej
	}
	l.reserved += tokens
	return l, nil
}

func (l *fakeLimiter) Settle(unused int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unused += unused
}

// memorySink is a Sink that stores the response.
type memorySink struct {
	status       int
	body         strings.Builder
	disconnected bool // the caller has disconnected
}

func (s *memorySink) Head(status int, _ http.Header) error {
	s.status = status
	return nil
}

func (s *memorySink) Data(p []byte) error {
	if s.disconnected {
		return errors.New("caller has disconnected")
	}
	s.body.Write(p)
	return nil
}

// staticConfig is a Config that does not change.
type staticConfig struct{ snap *model.Snapshot }

func (c staticConfig) Current() *model.Snapshot { return c.snap }

// viewFunc adapts a function to Fleet.
type viewFunc func() *member.View

func (f viewFunc) View() *member.View { return f() }

// loopback is a Remote that carries forwarded requests to another Server in this process.
// It counts the streams.
type loopback struct {
	to     func() *Server
	mu     sync.Mutex
	opened int
	edit   func(*peerpb.ForwardMsg) // changes messages on the way
}

func (l *loopback) Forward(ctx context.Context, _ netip.AddrPort, _ bool) (Stream, error) {
	l.mu.Lock()
	l.opened++
	l.mu.Unlock()
	up, down := make(chan *peerpb.ForwardMsg, 64), make(chan *peerpb.ForwardMsg, 64)
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		defer close(down)
		_ = l.to().ServeForwarded(ctx, &pipe{ctx: ctx, in: up, out: down, cancel: func() {}, edit: l.edit})
	}()
	return &pipe{ctx: ctx, in: down, out: up, cancel: cancel}, nil
}

// pipe is one end of an in-memory Stream.
type pipe struct {
	ctx     context.Context
	in, out chan *peerpb.ForwardMsg
	cancel  func()
	edit    func(*peerpb.ForwardMsg)
}

func (p *pipe) Send(m *peerpb.ForwardMsg) error {
	if m.Data != nil {
		m.Data = append([]byte(nil), m.Data...)
	}
	select {
	case p.out <- m:
		return nil
	case <-p.ctx.Done():
		return p.ctx.Err()
	}
}

func (p *pipe) Recv() (*peerpb.ForwardMsg, error) {
	select {
	case m, ok := <-p.in:
		if !ok {
			return nil, io.EOF
		}
		if p.edit != nil {
			p.edit(m)
		}
		return m, nil
	case <-p.ctx.Done():
		return nil, p.ctx.Err()
	}
}

func (p *pipe) Close() error {
	p.cancel()
	return nil
}

// CloseStalled implements Stream.
func (p *pipe) CloseStalled() { p.cancel() }

// host is a Server with its dependencies.
type host struct {
	*Server
	limiter *fakeLimiter
	snap    *model.Snapshot
	targets *target.Set
}

// testConfig returns a configuration with two data centres in two regions and one
// organisation that may use both. The servers are in data centre "a".
func testConfig(servers map[string][]netip.AddrPort) *model.Config {
	cfg := &model.Config{
		Regions: []model.Region{{Name: "east"}, {Name: "west"}},
		Sites:   []model.Site{{Name: "a", Region: "west", Slots: 1}, {Name: "b", Region: "east", Slots: 1}},
		Services: []model.Service{
			{Name: "engines", Kind: model.KindEngine, Model: "fake"},
			{Name: "desk", Kind: model.KindPlain},
		},
		Routes: []model.Route{
			{Name: "book", Service: "desk", Kind: model.KindPlain, Path: "/bookings", Once: true, Deadline: 5 * time.Second},
			{Name: "chat", Service: "engines", Kind: model.KindChat, ReservedTokens: 20, Deadline: 5 * time.Second},
			{Name: "post", Service: "desk", Kind: model.KindPlain, Path: "/notes", Deadline: 5 * time.Second},
			{Name: "stock", Service: "desk", Kind: model.KindPlain, Method: http.MethodGet, Path: "/stock", Deadline: 5 * time.Second},
			{Name: "west-only", Service: "desk", Kind: model.KindPlain, Path: "/x", Regions: []string{"west"}, Deadline: 5 * time.Second},
		},
		Orgs: []model.Org{{Name: "shop", Rate: 1000, Burst: 1000, Keys: []model.Key{{Hash: testKey}}}},
	}
	for i := range cfg.Services {
		for _, addr := range servers[cfg.Services[i].Name] {
			cfg.Services[i].Servers = append(cfg.Services[i].Servers, model.Server{Addr: addr, Site: "a"})
		}
	}
	return cfg
}

// newHost returns a host in a data centre. With a remote it has a view of one healthy
// host in the other data centre.
func newHost(t *testing.T, site string, addr netip.AddrPort, cfg *model.Config, remote Remote, orders Once) *host {
	t.Helper()
	tracer, err := trace.New(t.Context(), trace.Config{})
	if err != nil {
		t.Fatal(err)
	}
	snap := model.NewSnapshot(1, "d", cfg)
	now := time.Now()
	table := member.New(member.Config{Self: member.Ident{Addr: addr, Site: site, Incarnation: 1}}, now)
	remoteSite, remoteAddr := "b", otherAddr
	if site == "b" {
		remoteSite, remoteAddr = "a", selfAddr
	}
	if remote != nil {
		table.Receive(&member.Heartbeat{
			From: member.Ident{Addr: remoteAddr, Site: remoteSite, Incarnation: 1},
			Summaries: []member.Summary{{
				Site: remoteSite, At: 1, Members: []member.Host{{Addr: remoteAddr, State: member.StateLive, Incarnation: 1}},
				Capacities: []member.Capacity{{Service: "engines", Servers: 1, Free: 100}, {Service: "desk", Servers: 1, Free: 100}},
			}},
		}, now)
	}
	view := table.View(now)
	targets := target.New(target.Config{Site: site, WAN: 1 << 30, Seed: 1})
	targets.Update(snap, view, now)
	for _, s := range targets.Servers() {
		targets.RecordLoads([]target.Load{{Service: s.Service, Load: route.Load{Addr: s.Addr, BatchSize: 8, Prefill: 1000, At: now}}})
	}
	limiter := &fakeLimiter{}
	eng, pl := engine.New(engine.Options{}), plain.New(plain.Options{})
	t.Cleanup(func() {
		if err := errors.Join(eng.Close(), pl.Close()); err != nil {
			t.Error(err)
		}
	})
	return &host{limiter: limiter, snap: snap, targets: targets, Server: New(Options{
		Self: addr, Config: staticConfig{snap}, Fleet: viewFunc(func() *member.View { return view }),
		Limiter: limiter, Targets: targets, Engine: eng, Plain: pl, Remote: remote, Once: orders,
		Meter: meter.New(), Tracer: tracer,
	})}
}

// call returns a call of organisation "shop" on a route.
func (h *host) call(name, body string) *Call {
	def := h.snap.Route(name)
	c := &Call{
		ID: "r1", Route: def, Org: h.snap.Org("shop"), Key: testKey, HasKey: true, Arrived: time.Now(),
		Deadline: time.Now().Add(def.EffectiveDeadline()), Hops: []netip.AddrPort{h.o.Self}, Method: def.Method,
		Path: def.Path, Body: []byte(body),
	}
	if c.Method == "" {
		c.Method = http.MethodPost
	}
	c.Regions = h.snap.AllowedRegions(c.Org, def)
	if def.Kind == model.KindChat {
		c.Chat, _ = ParseChat(c.Body)
	}
	return c
}

// do serves a call until its deadline and returns the response.
func (h *host) do(t *testing.T, c *Call) (*memorySink, *model.Rejection) {
	t.Helper()
	ctx, cancel := context.WithDeadline(t.Context(), c.Deadline)
	defer cancel()
	sink := &memorySink{}
	return sink, h.Serve(ctx, c, sink)
}

// startServer runs a fake backend server on a loopback address.
func startServer(t *testing.T, s server.Server) netip.AddrPort {
	t.Helper()
	p, err := server.Start(netip.MustParseAddrPort("127.0.0.1:0"), s)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := p.Close(); err != nil {
			t.Error(err)
		}
	})
	return p.Addr
}
