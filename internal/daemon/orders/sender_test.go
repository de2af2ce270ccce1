package orders

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccalb/yuccalb/internal/adapt/engine"
	"github.com/yuccalb/yuccalb/internal/adapt/store"
	"github.com/yuccalb/yuccalb/internal/core/model"
	"github.com/yuccalb/yuccalb/internal/fake/infra"
	"github.com/yuccalb/yuccalb/internal/fake/server"
)

var (
	engineAddr = netip.MustParseAddrPort("127.0.0.1:9001")
	firstHost  = netip.MustParseAddrPort("127.0.0.1:7001")
	secondHost = netip.MustParseAddrPort("127.0.0.1:7002")
)

// testEnv is a fake store and a fake engine, which may or may not check fencing tokens.
type testEnv struct {
	kv     *store.Client
	client *engine.Client
	engine *server.Engine
	def    model.Server
}

// withEnv runs f in a synctest bubble with a new environment.
func withEnv(t *testing.T, fenced bool, f func(t *testing.T, env *testEnv)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		platform, network := infra.New(infra.Options{}), server.NewNetwork()
		env := &testEnv{
			kv:     store.New("http://platform", platform.Transport()),
			client: engine.New(engine.Options{Dial: network.Dial}),
			engine: server.NewEngine(server.EngineConfig{Fenced: fenced, OrderTime: 5 * time.Second}),
			def:    model.Server{Addr: engineAddr, Fenced: fenced},
		}
		network.Serve(engineAddr, env.engine)
		f(t, env)
		env.kv.Close()
		if err := errors.Join(env.client.Close(), env.engine.Close(), network.Close()); err != nil {
			t.Error(err)
		}
	})
}

func (env *testEnv) load(name string) Order {
	return Order{Server: engineAddr, Command: OrderLoad, Model: name}
}

// TestLoadOnce guards against a load that is ordered twice, by one host or by two.
func TestLoadOnce(t *testing.T) {
	withEnv(t, true, func(t *testing.T, env *testEnv) {
		ctx := t.Context()
		if err := New(env.kv, env.client, firstHost).Send(ctx, env.def, env.load("m")); err != nil {
			t.Fatal(err)
		}
		for _, host := range []netip.AddrPort{firstHost, secondHost} {
			if err := New(env.kv, env.client, host).Send(ctx, env.def, env.load("m")); !errors.Is(err, ErrDuplicate) {
				t.Errorf("second order of the load: %v", err)
			}
		}
		if n := len(env.engine.Orders()); n != 1 {
			t.Errorf("the engine accepted %d orders", n)
		}
	})
}

// TestSuccessiveHolders guards against orders of two holders that are in effect at the
// same time on an engine that ignores fencing tokens.
func TestSuccessiveHolders(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		withEnv(t, fenced, func(t *testing.T, env *testEnv) {
			ctx := t.Context()
			for i, host := range []netip.AddrPort{firstHost, secondHost, firstHost} {
				err := New(env.kv, env.client, host).Send(ctx, env.def, Order{Server: engineAddr, Command: "role", Model: string(rune('a' + i))})
				if err != nil {
					t.Errorf("order %d: %v", i, err)
				}
			}
			if n := server.Overlaps(env.engine.Orders()); !fenced && n != 0 {
				t.Errorf("%d pairs of orders were in effect at the same time", n)
			}
			if n := len(env.engine.Orders()); n != 3 {
				t.Errorf("the engine accepted %d orders", n)
			}
		})
	}
}

// TestConcurrentHolders guards against two hosts that send orders to one engine at the
// same time.
func TestConcurrentHolders(t *testing.T) {
	withEnv(t, false, func(t *testing.T, env *testEnv) {
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- New(env.kv, env.client, firstHost).Send(ctx, env.def, env.load("m")) }()
		time.Sleep(time.Second) // the first host waits until earlier orders are no longer in effect
		if err := New(env.kv, env.client, secondHost).Send(t.Context(), env.def, env.load("n")); !errors.Is(err, ErrBusy) {
			t.Errorf("second host: %v", err)
		}
		cancel()
		if err := <-done; !errors.Is(err, context.Canceled) {
			t.Errorf("first host: %v", err)
		}
		if n := len(env.engine.Orders()); n != 0 {
			t.Errorf("the engine accepted %d orders", n)
		}
	})
}
