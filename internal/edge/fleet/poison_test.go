package fleet

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/core/eras"
	"github.com/yuccalb/yuccalb/internal/core/poison"
	"github.com/yuccalb/yuccalb/platform"
)

// slowRecords is a store that carries out a write at once; its answer takes a while to be read.
type slowRecords struct{ answer time.Duration }

func (slowRecords) NoLease() platform.Lease { return platform.Lease{} }

func (slowRecords) Grant(context.Context, time.Duration) (platform.Lease, error) {
	return platform.Lease{}, nil
}

func (r slowRecords) Swap(context.Context, string, []byte, eras.Revision, platform.Lease) (eras.Revision, error) {
	time.Sleep(r.answer)
	return eras.Revision{Count: 9}, nil
}

func (slowRecords) Remove(context.Context, string, eras.Revision) error { return nil }

// TestProbeOfFrozenHost guards against a probe of a host that stood still between its write of the record
// and the answer: another one may have been allowed the next probe since.
func TestProbeOfFrozenHost(t *testing.T) {
	for name, tt := range map[string]struct {
		answer time.Duration
		probe  bool
	}{"an answer as usual": {time.Second, true}, "a host that stood still": {time.Minute, false}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &Fleet{opts: Options{Records: slowRecords{tt.answer}, Count: func(string, error) {}, Log: zap.NewNop()}}
				d, parts := poison.NewDetector(), []poison.Part{poison.NewPart("dead")}
				d.Records([]poison.Record{{Part: parts[0], Rev: eras.Revision{Count: 5}}}, time.Now())
				time.Sleep(20 * time.Second)
				if v := d.Check(parts, time.Now()); !v.Refuse {
					t.Fatalf("verdict %+v", v)
				}
				f.writeRecords("desk", d)
				if v := d.Check(parts, time.Now()); v.Probe != tt.probe {
					t.Errorf("verdict %+v", v)
				}
			})
		})
	}
}
