package store_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/yuccalb/yuccalb/internal/adapt/store"
	"github.com/yuccalb/yuccalb/internal/core/config"
	"github.com/yuccalb/yuccalb/internal/core/model"
	"github.com/yuccalb/yuccalb/internal/fake/infra"
)

// TestMain fixes the seed of the property tests; rapid prints it on a failure.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "150"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = f.Value.Set(value)
		}
	}
	os.Exit(m.Run())
}

// lateStore is a fake store whose calls take effect late or lose their responses.
type lateStore struct {
	late sync.WaitGroup // writes in flight whose caller already got ErrOutcomeUnknown

	mu      sync.Mutex
	rng     *rand.Rand
	lose    float64       // fraction of the calls that lose their response
	pause   time.Duration // maximum delay of a paused caller's call
	entries map[string]store.Entry
	last    map[string]uint64 // last version of each key, also of deleted ones
	missing []string          // missing segments that a current head referenced
}

// random returns a random duration of at most d, different for each call so that
// the order of events depends on the seed only.
func (s *lateStore) random(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.rng.Int64N(int64(d) + 1))
}

// chance returns true with probability p.
func (s *lateStore) chance(p float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64() < p
}

// call runs f after a delay. A write whose response is lost runs f before the
// return, later, or never.
func (s *lateStore) call(write bool, f func() error) error {
	if s.chance(0.1) {
		time.Sleep(s.random(s.pause))
	}
	time.Sleep(s.random(20 * time.Millisecond))
	do := func() error {
		s.mu.Lock()
		defer s.mu.Unlock()
		err := f()
		s.check()
		return err
	}
	if write && s.chance(s.lose) {
		switch wait := s.random(s.pause); {
		case s.chance(0.3): // lost request
		case s.chance(0.3):
			_ = do() // lost response
		default:
			s.late.Go(func() {
				time.Sleep(wait)
				_ = do()
			})
		}
		time.Sleep(s.random(time.Second))
		return store.ErrOutcomeUnknown
	}
	err := do()
	time.Sleep(s.random(20 * time.Millisecond))
	return err
}

// check records segments that the current head references and that don't exist.
func (s *lateStore) check() {
	e, ok := s.entries[config.HeadKey]
	if !ok {
		return
	}
	h, err := config.DecodeHead(e.Value)
	if err != nil {
		panic(err)
	}
	for i, d := range h.Segments {
		if _, ok := s.entries[config.SegmentKey(d)]; !ok && !config.IsEmptySegment(d) && len(s.missing) < 3 {
			s.missing = append(s.missing, fmt.Sprintf("segment %d of version %d", i, h.Version))
		}
	}
}

func (s *lateStore) Get(_ context.Context, key string) (e store.Entry, err error) {
	return e, s.read(func() error {
		var ok bool
		if e, ok = s.entries[key]; !ok {
			return store.ErrNotFound
		}
		return nil
	})
}

func (s *lateStore) List(_ context.Context, prefix string) (items []store.Item, err error) {
	return items, s.read(func() error {
		for _, key := range slices.Sorted(maps.Keys(s.entries)) {
			if strings.HasPrefix(key, prefix) {
				items = append(items, store.Item{Key: key, Version: s.entries[key].Version})
			}
		}
		return nil
	})
}

// read is call for reads. A read whose response is lost does not run f.
func (s *lateStore) read(f func() error) error {
	if s.chance(s.lose) {
		time.Sleep(s.random(time.Second))
		return store.ErrUnavailable
	}
	return s.call(false, f)
}

// swap compares the version of a key with prev and increments it if they are equal.
func (s *lateStore) swap(key string, prev uint64) error {
	if at := s.entries[key].Version; at != prev {
		return &store.ConflictError{Key: key, Version: at}
	}
	s.last[key]++
	return nil
}

func (s *lateStore) Put(_ context.Context, key string, value []byte, prev uint64, _ string) (version uint64, err error) {
	var at uint64
	err = s.call(true, func() error {
		if err := s.swap(key, prev); err != nil {
			return err
		}
		s.entries[key] = store.Entry{Value: value, Version: s.last[key]}
		at = s.last[key]
		return nil
	})
	if err != nil {
		return 0, err
	}
	return at, nil
}

func (s *lateStore) Delete(_ context.Context, key string, prev uint64) error {
	return s.call(true, func() error {
		if _, ok := s.entries[key]; !ok {
			return store.ErrNotFound
		}
		if err := s.swap(key, prev); err != nil {
			return err
		}
		delete(s.entries, key)
		return nil
	})
}

// segments returns the number of segments in the store.
func (s *lateStore) segments() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for key := range s.entries {
		if strings.HasPrefix(key, config.SegmentPrefix) {
			n++
		}
	}
	return n
}

// variant returns one of nine configurations. Publishers alternate between them, so
// that they often need a segment again that another publisher is about to delete.
func variant(n int) *model.Config {
	cfg := orgs(2)
	cfg.Orgs[0].Rate, cfg.Orgs[1].Rate = int64(1+n%3), int64(1+n/3%3)
	return cfg
}

// TestCollect guards against deleting a segment that the current head references,
// and against unused segments that are never deleted, while calls are delayed,
// responses lost and publishers paused at random.
func TestCollect(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		lose := float64(rapid.IntRange(0, 40).Draw(rt, "lost")) / 100
		pause := time.Duration(rapid.IntRange(0, 20_000).Draw(rt, "pause")) * time.Millisecond
		plan := rapid.SliceOfN(rapid.SliceOfN(rapid.IntRange(0, 8), 1, 8), 2, 3).Draw(rt, "changes")
		var failures []string
		synctest.Test(t, func(t *testing.T) {
			s := &lateStore{
				rng: rand.New(rand.NewPCG(seed, 1)), lose: lose, pause: pause,
				entries: make(map[string]store.Entry), last: make(map[string]uint64),
			}
			failures = s.run(t.Context(), plan)
		})
		if len(failures) > 0 {
			rt.Fatalf("%v", failures)
		}
	})
}

// run makes the planned changes with concurrent publishers, then one change without
// faults. It returns what went wrong.
func (s *lateStore) run(ctx context.Context, plan [][]int) (failures []string) {
	var publishers sync.WaitGroup
	for i, changes := range plan {
		publishers.Go(func() {
			time.Sleep(time.Duration(i)) // makes the order of the first calls deterministic
			for j, n := range changes {
				ctx, cancel := context.WithTimeout(ctx, time.Minute)
				_, err := store.Publish(ctx, s, variant(n), fmt.Sprint(i, "/", j), 0)
				cancel()
				var conflict *store.PublishConflictError
				if err != nil && !errors.As(err, &conflict) && !errors.Is(err, store.ErrNoChange) &&
					!errors.Is(err, store.ErrOutcomeUnknown) && !errors.Is(err, store.ErrUnavailable) {
					s.mu.Lock()
					failures = append(failures, err.Error())
					s.mu.Unlock()
				}
			}
		})
	}
	publishers.Wait()
	s.late.Wait()
	s.lose, s.pause = 0, 0
	cfg := orgs(3)
	if _, err := store.Publish(ctx, s, cfg, "last", 0); err != nil {
		failures = append(failures, err.Error())
	}
	want := 0
	for _, d := range config.NewSet(1, cfg).Segments {
		if !config.IsEmptySegment(d) {
			want++
		}
	}
	if got := s.segments(); got != want {
		failures = append(failures, fmt.Sprintf("%d segments after the last change, want %d", got, want))
	}
	return append(failures, s.missing...)
}

// TestCollectBound guards against a publish that deletes an unbounded number of
// segments or fails because of the deletes, and against a backlog of unused
// segments that later publishes don't delete.
func TestCollectBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := infra.New(infra.Options{})
		c := store.New("http://platform", p.Transport())
		ctx := t.Context()
		for i := range 1500 {
			if _, err := c.Put(ctx, config.SegmentKey(config.Sum([]byte(fmt.Sprint(i)))), []byte("old"), 0, ""); err != nil {
				t.Fatal(err)
			}
		}
		for i, want := range []int{1000, 501, 1} {
			cfg := orgs(3)
			cfg.Orgs[0].Rate = int64(i + 2)
			pub, err := store.Publish(ctx, c, cfg, fmt.Sprint("n", i), 0)
			if err != nil {
				t.Fatal(err)
			}
			if pub.Deleted != want {
				t.Errorf("publish %d deleted %d segments, want %d", i, pub.Deleted, want)
			}
		}
		// Every call after the head was replaced fails.
		kv := hooked{c, func() { time.AfterFunc(1, func() { p.SetFault(infra.PartKV, infra.Fault{Hang: true}) }) }}
		began := time.Now()
		pub, err := store.Publish(ctx, slowHead{kv}, orgs(4), "outage", 0)
		if err != nil || pub.Deleted != 0 || time.Since(began) > 6*time.Second {
			t.Errorf("publish in an outage: %+v, %v after %v, want success without deletes in 6s", pub, err, time.Since(began))
		}
		p.SetFault(infra.PartKV, infra.Fault{})
		if pub, err := store.Publish(ctx, c, orgs(5), "after", 0); err != nil || pub.Deleted == 0 {
			t.Errorf("publish after an outage: %+v, %v, want deletes", pub, err)
		}
		if set, err := store.Load(ctx, c); err != nil || set.Version() != 5 {
			t.Errorf("in force: version %d, %v, want 5", set.Version(), err)
		}
	})
}

// slowHead delays the response to a put of the head.
type slowHead struct{ hooked }

func (s slowHead) Put(ctx context.Context, key string, value []byte, prev uint64, lease string) (uint64, error) {
	v, err := s.hooked.Put(ctx, key, value, prev, lease)
	if key == config.HeadKey {
		time.Sleep(time.Millisecond)
	}
	return v, err
}

// hookedGet calls f before the first get of a segment reaches the store. f replaces
// the head, which deletes the segment that is about to be read.
type hookedGet struct {
	*store.Client
	f func()
}

func (h *hookedGet) Get(ctx context.Context, key string) (store.Entry, error) {
	if f := h.f; f != nil && strings.HasPrefix(key, config.SegmentPrefix) {
		h.f = nil
		f()
	}
	return h.Client.Get(ctx, key)
}

// TestLoadDuringChange guards against a Load that fails because the head was
// replaced and its segments deleted after Load had read it.
func TestLoadDuringChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := store.New("http://platform", infra.New(infra.Options{}).Transport())
		publish := func(n int) {
			if _, err := store.Publish(t.Context(), c, variant(n), fmt.Sprint(n), 0); err != nil {
				t.Error(err)
			}
		}
		publish(0)
		set, err := store.Load(t.Context(), &hookedGet{c, func() { publish(4) }})
		if err != nil || set.Version() != 2 {
			t.Errorf("loaded version %d, %v, want 2", set.Version(), err)
		}
	})
}
