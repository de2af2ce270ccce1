package store_test

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccalb/yuccalb/internal/adapt/store"
	"github.com/yuccalb/yuccalb/internal/core/config"
	"github.com/yuccalb/yuccalb/internal/core/model"
	"github.com/yuccalb/yuccalb/internal/fake/infra"
)

// manyOrgs is the number of organisations in TestChangeCost. Run with -orgs 30000
// for the figures of the largest fleet.
var manyOrgs = flag.Int("orgs", 600, "organisations in TestChangeCost")

// TestChangeCost guards against a change that takes more store calls than a read
// of the head, a list, two writes and one delete, and against segments that
// accumulate in the store with each change.
func TestChangeCost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := infra.New(infra.Options{})
		c := store.New("http://platform", p.Transport())
		ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
		defer cancel()
		cfg := orgs(1)
		cfg.Orgs = nil
		for i := range *manyOrgs {
			name := fmt.Sprintf("organisation-%05d", i)
			cfg.Orgs = append(cfg.Orgs, model.Org{
				Name: name, Rate: 2000, Burst: 16_000, Regions: []string{"west"}, Keys: []model.Key{{Hash: model.HashKey(name)}},
			})
		}
		if _, err := store.Publish(ctx, c, cfg, "first", 0); err != nil {
			t.Fatal(err)
		}
		first, err := c.List(ctx, config.SegmentPrefix)
		if err != nil {
			t.Fatal(err)
		}
		p.ResetCounts()
		const changes = 20
		for i := range changes {
			cfg.Orgs[i].Rate = 3000
			if _, err := store.Publish(ctx, c, cfg, fmt.Sprint(i), 0); err != nil {
				t.Fatal(err)
			}
		}
		calls := 0
		for kind, n := range p.Counts() {
			calls += n.Calls
			t.Logf("%d organisations, per change: %.1f %s calls, %d B sent, %d B received",
				*manyOrgs, float64(n.Calls)/changes, kind, n.In/changes, n.Out/changes)
		}
		last, err := c.List(ctx, config.SegmentPrefix)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%d segments at first, %d after %d changes", len(first), len(last), changes)
		if len(last) > len(first) {
			t.Errorf("%d segments after %d changes, want %d", len(last), changes, len(first))
		}
		if calls > 5*changes {
			t.Errorf("%d store calls for %d changes, want at most %d", calls, changes, 5*changes)
		}
	})
}
