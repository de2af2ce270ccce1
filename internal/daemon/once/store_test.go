package once_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/order"
	"github.com/yuccalb/yuccalb/internal/daemon/once"
)

// The seed of property tests is fixed; -rapid.seed on the command line overrides it.
// Failures are printed but not saved to files, because later runs would replay those.
func init() {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.nofailfile", "true")
}

var errStore = errors.New("store failed")

// faults are the fractions of store calls that have each fault.
type faults struct {
	fail  float64 // returns an error and has no effect
	lost  float64 // takes effect, but returns an error: the response is lost
	late  float64 // returns an error and takes effect 3 s later
	stale float64 // for reads: returns the value before the latest
}

// store is a fake key-value service in memory.
type store struct {
	mu     sync.Mutex
	rng    *rand.Rand
	faults faults
	values map[string][]value // by key; the value of version n is at n-1
	calls  int
	down   bool
	// next, if set, replaces the random fault of each call.
	next func(op string) string
}

type value struct{ data []byte }

func newStore(seed uint64, f faults) *store {
	return &store{rng: rand.New(rand.NewPCG(seed, 1)), faults: f, values: make(map[string][]value)}
}

// drawFault draws the fault and the latency of a call.
func (s *store) drawFault(op string) (fault string, latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	latency = time.Duration(s.rng.IntN(20)) * time.Millisecond
	r := s.rng.Float64()
	for _, c := range []struct {
		name  string
		share float64
	}{{"fail", s.faults.fail}, {"lost", s.faults.lost}, {"late", s.faults.late}} {
		if r -= c.share; r < 0 {
			fault = c.name
			break
		}
	}
	if s.next != nil {
		fault = s.next(op)
	}
	if s.down {
		fault = "fail"
	}
	return fault, latency
}

// do makes one call, whose effect is that of apply.
func (s *store) do(ctx context.Context, op string, apply func()) error {
	fault, latency := s.drawFault(op)
	locked := func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		apply()
	}
	select {
	case <-time.After(latency):
	case <-ctx.Done():
		// The request was sent already, so it may still take effect.
		if fault == "late" {
			time.AfterFunc(3*time.Second, locked)
		}
		return context.Cause(ctx)
	}
	switch fault {
	case "fail":
		return errStore
	case "late":
		time.AfterFunc(3*time.Second, locked)
		return errStore
	case "lost":
		locked()
		return errStore
	}
	locked()
	return nil
}

// client is a process's access to the store. It fails once the process has crashed.
type client struct {
	*store
	crashed *atomic.Bool
}

func (c client) Get(ctx context.Context, key string) (data []byte, version uint64, err error) {
	if c.crashed.Load() {
		return nil, 0, errStore
	}
	var result atomic.Pointer[[]value]
	err = c.do(ctx, "get", func() {
		v := c.values[key]
		if c.faults.stale > 0 && c.rng.Float64() < c.faults.stale && len(v) > 0 {
			v = v[:len(v)-1]
		}
		result.Store(&v)
	})
	if v := result.Load(); err == nil && len(*v) > 0 {
		data, version = (*v)[len(*v)-1].data, uint64(len(*v))
	}
	return data, version, err
}

func (c client) Put(ctx context.Context, key string, data []byte, prev uint64, lease string) (version uint64, ok bool, err error) {
	if c.crashed.Load() || lease == "" {
		return 0, false, errStore
	}
	var result atomic.Uint64
	err = c.do(ctx, "put", func() {
		if v := c.values[key]; uint64(len(v)) == prev {
			c.values[key] = append(slices.Clip(v), value{data: data})
			result.Store(prev + 1)
		}
	})
	return result.Load(), result.Load() > 0, err
}

func (c client) Grant(ctx context.Context, ttl time.Duration) (string, error) {
	if c.crashed.Load() || ttl < order.Retention {
		return "", errStore
	}
	return "lease", c.do(ctx, "grant", func() {})
}

// host is a host that can crash and restart.
type host struct {
	addr     netip.AddrPort
	store    *store
	once     *once.Once
	crashed  *atomic.Bool
	previous []*once.Once
}

// hosts returns n hosts that share a store.
func hosts(s *store, n int) []*host {
	all := make([]*host, n)
	for i := range all {
		all[i] = &host{addr: netip.MustParseAddrPort(fmt.Sprintf("127.0.0.1:%d", 8001+i)), store: s}
		all[i].start()
	}
	return all
}

var signer, _ = order.NewSigner([]byte("0123456789abcdef"))

// start replaces the host's process with a new one, as after a crash.
func (h *host) start() {
	if h.once != nil {
		h.crashed.Store(true)
		h.previous = append(h.previous, h.once)
	}
	h.crashed = &atomic.Bool{}
	h.once = once.New(once.Options{
		Store: client{h.store, h.crashed}, Signer: signer, Host: h.addr,
		Incarnation: int64(len(h.previous) + 1), Timeout: time.Second,
	})
}

// closeAll closes all processes. Those that crashed do not wait for their outcomes,
// which they can't write.
func closeAll(all []*host) error {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	var err error
	for _, h := range all {
		for _, o := range h.previous {
			o.Close(ended)
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
		err = errors.Join(err, h.once.Close(ctx))
		cancel()
	}
	return err
}

// setDown starts or ends an outage of the store.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// script gives the next calls the named faults, in order; "" means none. Calls after
// them have none, whatever the random faults are.
func (s *store) script(names ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next = func(string) string {
		if len(names) == 0 {
			return ""
		}
		name := names[0]
		names = names[1:]
		return name
	}
}

// count returns the number of store calls.
func (s *store) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}
