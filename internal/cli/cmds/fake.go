package cmds

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/yuccalb/yuccalb/internal/fake/infra"
	"github.com/yuccalb/yuccalb/internal/fake/server"
)

// FakeCmd groups the commands that run fakes of the services around the gateway.
type FakeCmd struct {
	Platform FakePlatformCmd `cmd:"" help:"Run a stand-in for the platform: key-value service, host list, directory, weight store."`
	Engine   FakeEngineCmd   `cmd:"" help:"Run a stand-in for a model engine."`
	Plain    FakePlainCmd    `cmd:"" help:"Run a stand-in for a plain service."`
}

// FakePlatformCmd runs a fake platform.
type FakePlatformCmd struct {
	Addr netip.AddrPort `arg:"" help:"Address to listen on."`
}

// Run executes the command.
func (c *FakePlatformCmd) Run(e *env) error {
	return serveUntilSignal(e, "platform", c.Addr, infra.New(infra.Options{}))
}

// FakeEngineCmd runs a fake model engine.
type FakeEngineCmd struct {
	Addr    netip.AddrPort `arg:"" help:"Address to listen on."`
	First   time.Duration  `help:"Time to the first token." default:"50ms"`
	Token   time.Duration  `help:"Time per token." default:"20ms"`
	Prefill int            `help:"Prompt tokens per second." default:"20000"`
	Limit   int            `help:"Requests that run at a time." default:"16"`
	Cache   int            `help:"Size of the prefix cache in tokens." default:"65536"`
	Fenced  bool           `help:"Reject orders with a stale fencing token."`
}

// Run executes the command.
func (c *FakeEngineCmd) Run(e *env) error {
	return serveUntilSignal(e, "engine", c.Addr, server.NewEngine(server.EngineConfig{
		Model: "fake", First: c.First, Token: c.Token, Prefill: c.Prefill, Limit: c.Limit, Cache: c.Cache, Fenced: c.Fenced,
	}))
}

// FakePlainCmd runs a fake plain service.
type FakePlainCmd struct {
	Addr netip.AddrPort `arg:"" help:"Address to listen on."`
	Work time.Duration  `help:"Time that a call takes." default:"5ms"`
}

// Run executes the command.
func (c *FakePlainCmd) Run(e *env) error {
	return serveUntilSignal(e, "plain service", c.Addr, server.NewPlain(server.PlainConfig{Work: c.Work}))
}

// shutdownTimeout bounds the shutdown of a fake and the reading of a request's
// headers.
const shutdownTimeout = 2 * time.Second

// serveUntilSignal serves h until SIGINT or SIGTERM.
func serveUntilSignal(e *env, name string, addr netip.AddrPort, h http.Handler) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	srv := &http.Server{Addr: addr.String(), Handler: h, ReadHeaderTimeout: shutdownTimeout}
	serveErr := make(chan error, 1)
	go func() { serveErr <- srv.ListenAndServe() }()
	e.Printf("stand-in for a %s on %s\n", name, addr)
	select {
	case err := <-serveErr:
		return fmt.Errorf("serve %s: %w", addr, err)
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := srv.Shutdown(shutdownCtx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("shut down: %w", err)
	}
	return nil
}
