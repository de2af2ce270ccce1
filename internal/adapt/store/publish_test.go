package store_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccalb/yuccalb/internal/adapt/store"
	"github.com/yuccalb/yuccalb/internal/core/config"
	"github.com/yuccalb/yuccalb/internal/core/model"
	"github.com/yuccalb/yuccalb/internal/fake/infra"
)

// orgs returns a configuration with n organisations.
func orgs(n int) *model.Config {
	cfg := &model.Config{Regions: []model.Region{{Name: "west"}}}
	for i := range n {
		cfg.Orgs = append(cfg.Orgs, model.Org{Name: fmt.Sprintf("o%02d", i), Rate: 1, Burst: 1})
	}
	return cfg
}

// hooked is a client that calls f before each put of the head.
type hooked struct {
	*store.Client
	f func()
}

func (h hooked) Put(ctx context.Context, key string, value []byte, prev uint64, lease string) (uint64, error) {
	if key == config.HeadKey {
		h.f()
	}
	return h.Client.Put(ctx, key, value, prev, lease)
}

// TestPublish guards against a result of Publish that does not match what happened
// to the change in the store.
func TestPublish(t *testing.T) {
	for _, tt := range []struct {
		name    string
		fault   infra.Fault   // from the first put of the head on
		then    infra.Fault   // from the second put of the head on
		until   time.Duration // end of the fault, 0 for none
		race    bool          // another operator publishes first
		after   bool          // another operator publishes after the first put
		want    error
		version uint64 // configuration version in the store at the end
	}{
		{name: "no fault", version: 2},
		{name: "lost response", fault: infra.Fault{Lose: 1}, version: 2},
		{name: "responses lost for long", fault: infra.Fault{Lose: 3}, version: 2},
		{name: "lost response, stale data", fault: infra.Fault{Lose: 1, Old: 2}, version: 2},
		{name: "down for long", fault: infra.Fault{Down: true}, until: 10 * time.Second, version: 2},
		{name: "hangs for long", fault: infra.Fault{Hang: true}, until: 10 * time.Second, version: 2},
		{name: "down", fault: infra.Fault{Down: true}, want: store.ErrUnavailable, version: 1},
		{name: "lost response, then down", fault: infra.Fault{Lose: 1}, then: infra.Fault{Down: true}, want: store.ErrOutcomeUnknown, version: 2},
		{name: "hangs", fault: infra.Fault{Hang: true}, want: store.ErrOutcomeUnknown, version: 1},
		{name: "race", race: true, want: &store.PublishConflictError{Version: 2, Nonce: "rival"}, version: 2},
		{name: "race, lost response", race: true, fault: infra.Fault{Lose: 1}, want: &store.PublishConflictError{Version: 2, Nonce: "rival"}, version: 2},
		{name: "race, stale data", race: true, fault: infra.Fault{Old: 3}, want: &store.PublishConflictError{Version: 2, Nonce: "rival"}, version: 2},
		{name: "overtaken after a lost response", fault: infra.Fault{Lose: 1}, after: true, version: 3},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := infra.New(infra.Options{})
				c := store.New("http://platform", p.Transport())
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				if _, err := store.Publish(ctx, c, orgs(3), "first", 0); err != nil {
					t.Fatal(err)
				}
				publishCompeting := func() {
					if _, err := store.Publish(ctx, c, orgs(9), "rival", 0); err != nil {
						t.Errorf("competing publish: %v", err)
					}
				}
				puts := 0
				kv := hooked{c, func() {
					if puts++; puts == 2 && tt.after {
						publishCompeting()
					}
					if puts == 2 && tt.then.Down {
						p.SetFault(infra.PartKV, tt.then)
					}
					if puts > 1 {
						return
					}
					if tt.race {
						publishCompeting()
					}
					p.SetFault(infra.PartKV, tt.fault)
					if tt.until > 0 {
						time.AfterFunc(tt.until, func() { p.SetFault(infra.PartKV, infra.Fault{}) })
					}
				}}
				_, err := store.Publish(ctx, kv, orgs(4), "own", 1)
				var conflict, wantConflict *store.PublishConflictError
				if errors.As(tt.want, &wantConflict) {
					if !errors.As(err, &conflict) || *conflict != *wantConflict {
						t.Errorf("publish: %v, want %v", err, tt.want)
					}
				} else if !errors.Is(err, tt.want) {
					t.Errorf("publish: %v, want %v", err, tt.want)
				}
				if errors.Is(err, store.ErrOutcomeUnknown) && errors.Is(err, store.ErrUnavailable) {
					t.Errorf("publish: %v says both that nothing was written and that it is unknown", err)
				}
				p.SetFault(infra.PartKV, infra.Fault{})
				set, err := store.Load(t.Context(), c)
				if err != nil || set.Version() != tt.version {
					t.Errorf("in force: version %d, %v, want %d", set.Version(), err, tt.version)
				}
			})
		})
	}
}

// TestPublishCost guards against writing segments that did not change, and against
// a new version without a change.
func TestPublishCost(t *testing.T) {
	synctest.Test(t, testPublishCost)
}

func testPublishCost(t *testing.T) {
	p := infra.New(infra.Options{})
	c := store.New("http://platform", p.Transport())
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	if _, err := store.Publish(ctx, c, orgs(50), "a", 0); err != nil {
		t.Fatal(err)
	}
	p.ResetCounts()
	cfg := orgs(50)
	cfg.Orgs[7].Rate = 2
	pub, err := store.Publish(ctx, c, cfg, "b", 1)
	if err != nil || pub.Version != 2 || pub.Segments != 1 {
		t.Errorf("publication %+v, %v, want version 2 with 1 segment", pub, err)
	}
	if n := p.Counts()[infra.CallPut].Calls; n != 2 {
		t.Errorf("change took %d writes, want 2", n)
	}
	if _, err := store.Publish(ctx, c, cfg, "c", 0); !errors.Is(err, store.ErrNoChange) {
		t.Errorf("publish without a change: %v, want ErrNoChange", err)
	}
	p.SetFault(infra.PartKV, infra.Fault{Old: 1})
	if pub, err := store.Publish(ctx, c, orgs(51), "old", 2); err != nil || pub.Version != 3 {
		t.Errorf("publish after stale data: %+v, %v, want version 3", pub, err)
	}
	p.SetFault(infra.PartKV, infra.Fault{Old: 1})
	if pub, err := store.Publish(ctx, c, cfg, "revert", 0); err != nil || pub.Version != 4 {
		t.Errorf("revert, with stale data that equals it: %+v, %v, want version 4", pub, err)
	}
	p.SetFault(infra.PartKV, infra.Fault{Old: 1})
	if pub, err := store.Publish(ctx, c, orgs(52), "next", 4); err != nil || pub.Version != 5 {
		t.Errorf("publish on top of version 4, with stale data: %+v, %v, want version 5", pub, err)
	}
	var conflict *store.PublishConflictError
	if _, err := store.Publish(ctx, c, orgs(1), "d", 1); !errors.As(err, &conflict) || conflict.Version != 5 {
		t.Errorf("publish on top of an old version: %v, want a conflict with version 5", err)
	}
	cfg.Orgs[7].HomeRegion = "mars"
	if _, err := store.Publish(ctx, c, cfg, "e", 0); err == nil {
		t.Error("an invalid configuration was published")
	}
}
